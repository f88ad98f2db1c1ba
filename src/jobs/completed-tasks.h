/* The set of a job's completed tasks, and its run-length text such as "0-18,20".
 *
 * Tasks are numbered from 0; a number beyond the job's tasks is in no set. Tasks are only added. */
#pragma once

#include <glib.h>

typedef struct {
  guint n_tasks;
  guint n_completed;
  guint64 *bits; /* one for each task */
} MmCompletedTasks;

void mm_completed_tasks_init(MmCompletedTasks *set, guint n_tasks);
void mm_completed_tasks_clear(MmCompletedTasks *set);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmCompletedTasks, mm_completed_tasks_clear)

gboolean mm_completed_tasks_contains(const MmCompletedTasks *set, guint task_number);
/* TRUE when the task was not in the set before. */
gboolean mm_completed_tasks_add(MmCompletedTasks *set, guint task_number);
/* The text of the longest runs that fit `max_bytes`, in rising order. Tasks may be missing from it:
 * what the text is to guarantee must be read back from it. */
char *mm_completed_tasks_to_text(const MmCompletedTasks *set, gsize max_bytes);
/* Adds the tasks of the text; NULL and "" add none. FALSE when it is malformed or names a task that
 * the job does not have; some may have been added then. */
gboolean mm_completed_tasks_add_text(MmCompletedTasks *set, const char *text);
