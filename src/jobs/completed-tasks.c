#include "jobs/completed-tasks.h"

void
mm_completed_tasks_init(MmCompletedTasks *set, guint n_tasks) {
  set->n_tasks = n_tasks;
  set->n_completed = 0;
  set->ranges = NULL;
}

void
mm_completed_tasks_clear(MmCompletedTasks *set) {
  g_clear_pointer(&set->ranges, g_array_unref);
  set->n_tasks = set->n_completed = 0;
}

gsize
mm_completed_tasks_memory_bytes(const MmCompletedTasks *set) {
  return set->ranges != NULL ? sizeof *set->ranges + set->ranges->len * sizeof(MmTaskRange) : 0;
}

static guint
count_ranges(const MmCompletedTasks *set) {
  return set->ranges != NULL ? set->ranges->len : 0;
}

static const MmTaskRange *
range_at(const MmCompletedTasks *set, guint index) {
  return &g_array_index(set->ranges, MmTaskRange, index);
}

/* Returns the index of the first range that ends at or after the task, or the number of ranges if
 * there is none. */
static guint
find_range_ending_from(const MmCompletedTasks *set, guint task_number) {
  guint low = 0, high = count_ranges(set);

  while (low < high) {
    guint middle = low + (high - low) / 2;
    if (range_at(set, middle)->last < task_number)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

gboolean
mm_completed_tasks_contains(const MmCompletedTasks *set, guint task_number) {
  guint index = find_range_ending_from(set, task_number);

  return index < count_ranges(set) && range_at(set, index)->first <= task_number;
}

guint
mm_completed_tasks_end_of_range(const MmCompletedTasks *set, guint task_number) {
  return range_at(set, find_range_ending_from(set, task_number))->last;
}

guint
mm_completed_tasks_next(const MmCompletedTasks *set, guint task_number) {
  guint index = find_range_ending_from(set, task_number);

  return index < count_ranges(set) ? MAX(range_at(set, index)->first, task_number) : set->n_tasks;
}

/* Adds the tasks of the range, which the job must have. Replaces all ranges that overlap it or are
 * next to it by one range. */
static void
add_range(MmCompletedTasks *set, MmTaskRange added) {
  guint index = find_range_ending_from(set, added.first > 0 ? added.first - 1 : 0);
  guint end = index;
  MmTaskRange merged = added;

  for (; end < count_ranges(set) && range_at(set, end)->first <= added.last + 1; end++) {
    const MmTaskRange *known = range_at(set, end);
    merged.first = MIN(merged.first, known->first);
    merged.last = MAX(merged.last, known->last);
    set->n_completed -= known->last - known->first + 1;
  }
  if (set->ranges == NULL)
    set->ranges = g_array_new(FALSE, FALSE, sizeof(MmTaskRange));
  if (end > index)
    g_array_remove_range(set->ranges, index, end - index);
  g_array_insert_val(set->ranges, index, merged);
  set->n_completed += merged.last - merged.first + 1;
}

gboolean
mm_completed_tasks_add(MmCompletedTasks *set, guint task_number) {
  if (task_number >= set->n_tasks || mm_completed_tasks_contains(set, task_number))
    return FALSE;
  add_range(set, (MmTaskRange){ task_number, task_number });
  return TRUE;
}

void
mm_completed_tasks_add_all(MmCompletedTasks *set, const MmCompletedTasks *other) {
  for (guint i = 0; i < count_ranges(other); i++)
    add_range(set, *range_at(other, i));
}

static gint
compare_longest_first(gconstpointer a, gconstpointer b) {
  const MmTaskRange *x = a, *y = b;
  guint x_length = x->last - x->first, y_length = y->last - y->first;

  if (x_length != y_length)
    return x_length > y_length ? -1 : 1;
  return x->first < y->first ? -1 : x->first > y->first;
}

static gint
compare_lowest_first(gconstpointer a, gconstpointer b) {
  const MmTaskRange *x = a, *y = b;

  return x->first < y->first ? -1 : x->first > y->first;
}

/* Buffer size for one range: two numbers of up to ten digits, a dash, a separator and the
 * terminating NUL. */
#define RANGE_TEXT_MAX 32

/* Writes the range and a separator to the buffer, and returns the length of the text. */
static gsize
print_range(const MmTaskRange *range, char *buffer, gsize size) {
  if (range->first == range->last)
    return (gsize)g_snprintf(buffer, size, "%u,", range->first);
  return (gsize)g_snprintf(buffer, size, "%u-%u,", range->first, range->last);
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
    length += print_range(&g_array_index(ranges, MmTaskRange, n_kept), buffer, sizeof buffer);
    if (length > max_bytes)
      break;
  }
  g_array_set_size(ranges, n_kept);
}

char *
mm_completed_tasks_to_text(const MmCompletedTasks *set, gsize max_bytes) {
  g_autoptr(GArray) ranges = NULL;
  GString *text = g_string_new(NULL);
  char buffer[RANGE_TEXT_MAX];

  if (set->ranges == NULL)
    return g_string_free(text, FALSE);
  ranges = g_array_copy(set->ranges);
  keep_longest_ranges(ranges, max_bytes);
  g_array_sort(ranges, compare_lowest_first);
  for (guint i = 0; i < ranges->len; i++) {
    print_range(&g_array_index(ranges, MmTaskRange, i), buffer, sizeof buffer);
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
    add_range(set, (MmTaskRange){ (guint)first, (guint)last });
    if (*text == ',' && *++text == '\0')
      return FALSE;
  }
  return TRUE;
}
