/* Set of the completed tasks of a job, with a text form that lists ranges, such as "0-18,20".
 *
 * Tasks are numbered from 0. Every number in the set is below n_tasks. Tasks can be added but not
 * removed. The set is stored as ranges, so its memory depends on the number of gaps between
 * completed tasks and not on the number of tasks of the job. */
#pragma once

#include <glib.h>

/* Consecutive task numbers, both ends included. */
typedef struct {
  guint first;
  guint last;
} MmTaskRange;

typedef struct {
  guint n_tasks;
  guint n_completed;
  GArray *ranges; /* MmTaskRange, ascending, with at least one number between two ranges */
} MmCompletedTasks;

/* Initializes an empty set. */
void mm_completed_tasks_init(MmCompletedTasks *set, guint n_tasks);
void mm_completed_tasks_clear(MmCompletedTasks *set);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmCompletedTasks, mm_completed_tasks_clear)
/* Returns the memory of the set, in bytes, without the struct itself. */
gsize mm_completed_tasks_memory_bytes(const MmCompletedTasks *set);

gboolean mm_completed_tasks_contains(const MmCompletedTasks *set, guint task_number);
/* Returns the highest number such that this number and all numbers from `task_number` up to it are
 * in the set. `task_number` must be in the set. */
guint mm_completed_tasks_end_of_range(const MmCompletedTasks *set, guint task_number);
/* Returns the lowest number in the set that is not below `task_number`, or n_tasks if there is
 * none. */
guint mm_completed_tasks_next(const MmCompletedTasks *set, guint task_number);
/* Adds the task. Returns FALSE if the task was in the set already or the job has no such task. */
gboolean mm_completed_tasks_add(MmCompletedTasks *set, guint task_number);
/* Adds the tasks of `other`, a set for the same number of tasks. */
void mm_completed_tasks_add_all(MmCompletedTasks *set, const MmCompletedTasks *other);
/* Returns the ranges of the set as text, in ascending order; free with g_free. If not all ranges
 * fit into `max_bytes`, the text contains only the longest ranges. A caller that must know which
 * tasks the text contains therefore has to parse the text. */
char *mm_completed_tasks_to_text(const MmCompletedTasks *set, gsize max_bytes);
/* Adds the tasks of the text; NULL and "" add none. Returns FALSE if the text is malformed or
 * contains a task that the job does not have; in that case, some of the tasks may have been
 * added. */
gboolean mm_completed_tasks_add_text(MmCompletedTasks *set, const char *text);
