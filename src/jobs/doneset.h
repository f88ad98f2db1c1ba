/* The set of a job's completed tasks, and its run-length text such as "0-18,20". */
#pragma once

#include <glib.h>

typedef struct {
  guint size;
  guint count;
  guint64 *bits;
} MmDoneSet;

void mm_done_set_init(MmDoneSet *set, guint n_tasks);
void mm_done_set_clear(MmDoneSet *set);
gboolean mm_done_set_has(const MmDoneSet *set, guint task_number);
/* TRUE when it was not in the set before. */
gboolean mm_done_set_add(MmDoneSet *set, guint task_number);
/* Writes runs, longest first, as far as they fit `most` bytes. What was left out is not in the
 * returned text, so whoever relies on it must read it back. */
char *mm_done_set_text(const MmDoneSet *set, gsize max_bytes);
/* Adds what the text names; FALSE when it is not such a text (then a part may have been added). */
gboolean mm_done_set_parse(MmDoneSet *set, const char *text);
