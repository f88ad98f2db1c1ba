/* The set of a job's completed tasks, and its run-length text such as "0-18,20". */
#pragma once

#include <glib.h>

typedef struct {
  guint n_tasks;
  guint n_completed;
  guint64 *bits;
} MmCompletedTasks;

void mm_completed_tasks_init(MmCompletedTasks *set, guint n_tasks);
void mm_completed_tasks_clear(MmCompletedTasks *set);
gboolean mm_completed_tasks_contains(const MmCompletedTasks *set, guint task_number);
/* TRUE when it was not in the set before. */
gboolean mm_completed_tasks_add(MmCompletedTasks *set, guint task_number);
/* Writes runs, longest first, as far as they fit `most` bytes. What was left out is not in the
 * returned text, so whoever relies on it must read it back. */
char *mm_completed_tasks_to_text(const MmCompletedTasks *set, gsize max_bytes);
/* Adds what the text names; FALSE when it is not such a text (then a part may have been added). */
gboolean mm_completed_tasks_add_text(MmCompletedTasks *set, const char *text);
