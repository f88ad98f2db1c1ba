#include "jobs/completed-tasks.h"

#include <string.h>

void
mm_completed_tasks_init(MmCompletedTasks *set, guint n_tasks) {
  set->n_tasks = n_tasks;
  set->n_completed = 0;
  set->bits = g_new0(guint64, (n_tasks + 63) / 64);
}

void
mm_completed_tasks_clear(MmCompletedTasks *set) {
  g_clear_pointer(&set->bits, g_free);
  set->n_tasks = set->n_completed = 0;
}

gsize
mm_completed_tasks_memory_bytes(const MmCompletedTasks *set) {
  return set->bits != NULL ? (set->n_tasks + 63) / 64 * sizeof *set->bits : 0;
}

gboolean
mm_completed_tasks_contains(const MmCompletedTasks *set, guint task_number) {
  return task_number < set->n_tasks && (set->bits[task_number / 64] >> (task_number % 64) & 1) != 0;
}

gboolean
mm_completed_tasks_add(MmCompletedTasks *set, guint task_number) {
  if (task_number >= set->n_tasks || mm_completed_tasks_contains(set, task_number))
    return FALSE;
  set->bits[task_number / 64] |= G_GUINT64_CONSTANT(1) << (task_number % 64);
  set->n_completed++;
  return TRUE;
}

typedef struct {
  guint first;
  guint last;
} TaskRange;

static gint
compare_longest_first(gconstpointer a, gconstpointer b) {
  const TaskRange *x = a, *y = b;
  guint x_length = x->last - x->first, y_length = y->last - y->first;

  if (x_length != y_length)
    return x_length > y_length ? -1 : 1;
  return x->first < y->first ? -1 : x->first > y->first;
}

static gint
compare_lowest_first(gconstpointer a, gconstpointer b) {
  const TaskRange *x = a, *y = b;

  return x->first < y->first ? -1 : x->first > y->first;
}

/* Buffer size for one range: two numbers of up to ten digits, a dash, a separator and the
 * terminating NUL. */
#define RANGE_TEXT_MAX 32

/* Writes the range and a separator to the buffer, and returns the length of the text. */
static gsize
print_range(const TaskRange *range, char *buffer, gsize size) {
  if (range->first == range->last)
    return (gsize)g_snprintf(buffer, size, "%u,", range->first);
  return (gsize)g_snprintf(buffer, size, "%u-%u,", range->first, range->last);
}

static GArray *
collect_ranges(const MmCompletedTasks *set) {
  GArray *ranges = g_array_new(FALSE, FALSE, sizeof(TaskRange));

  for (guint i = 0; i < set->n_tasks; i++) {
    TaskRange range = { i, i };
    if (!mm_completed_tasks_contains(set, i))
      continue;
    while (mm_completed_tasks_contains(set, range.last + 1))
      range.last++;
    g_array_append_val(ranges, range);
    i = range.last;
  }
  return ranges;
}

/* Keeps the longest ranges that fit into `max_bytes` and removes the others. The size of a range is
 * the length of its text including a separator. */
static void
keep_longest_ranges(GArray *ranges, gsize max_bytes) {
  char buffer[RANGE_TEXT_MAX];
  gsize length = 0;
  guint n_kept = 0;

  g_array_sort(ranges, compare_longest_first);
  for (; n_kept < ranges->len; n_kept++) {
    length += print_range(&g_array_index(ranges, TaskRange, n_kept), buffer, sizeof buffer);
    if (length > max_bytes)
      break;
  }
  g_array_set_size(ranges, n_kept);
}

char *
mm_completed_tasks_to_text(const MmCompletedTasks *set, gsize max_bytes) {
  g_autoptr(GArray) ranges = collect_ranges(set);
  GString *text = g_string_new(NULL);
  char buffer[RANGE_TEXT_MAX];

  keep_longest_ranges(ranges, max_bytes);
  g_array_sort(ranges, compare_lowest_first);
  for (guint i = 0; i < ranges->len; i++) {
    print_range(&g_array_index(ranges, TaskRange, i), buffer, sizeof buffer);
    g_string_append(text, buffer);
  }
  if (text->len > 0)
    g_string_truncate(text, text->len - 1);
  return g_string_free(text, FALSE);
}

/* Parses a range such as "7" or "7-9" and advances `*text` past it. Returns FALSE if the range is
 * malformed. */
static gboolean
parse_range(const char **text, guint64 *first, guint64 *last) {
  char *end;

  if (!g_ascii_isdigit(**text))
    return FALSE;
  *first = *last = g_ascii_strtoull(*text, &end, 10);
  if (*end == '-') {
    *text = end + 1;
    if (!g_ascii_isdigit(**text))
      return FALSE;
    *last = g_ascii_strtoull(*text, &end, 10);
  }
  *text = end;
  return TRUE;
}

gboolean
mm_completed_tasks_add_text(MmCompletedTasks *set, const char *text) {
  while (text != NULL && *text != '\0') {
    guint64 first, last;

    if (!parse_range(&text, &first, &last))
      return FALSE;
    if (last < first || last >= set->n_tasks || (*text != ',' && *text != '\0'))
      return FALSE;
    for (guint64 i = first; i <= last; i++)
      mm_completed_tasks_add(set, (guint)i);
    if (*text == ',' && *++text == '\0')
      return FALSE;
  }
  return TRUE;
}
