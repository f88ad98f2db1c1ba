#include "sharing/group-set.h"

#include <stdlib.h>

#define FNV_OFFSET G_GUINT64_CONSTANT(14695981039346656037)
#define FNV_PRIME G_GUINT64_CONSTANT(1099511628211)
#define FMIX64_MULTIPLIER_1 G_GUINT64_CONSTANT(0xff51afd7ed558ccd)
#define FMIX64_MULTIPLIER_2 G_GUINT64_CONSTANT(0xc4ceb9fe1a85ec53)

/* Computes the FNV-1a hash and applies the finalizer of MurmurHash3. Machine names differ only in
 * their last digits, and FNV-1a alone maps such names to close values. */
static guint64
hash_name(const char *name) {
  guint64 hash = FNV_OFFSET;

  for (const char *cursor = name; *cursor != '\0'; cursor++) {
    hash ^= (guchar)*cursor;
    hash *= FNV_PRIME;
  }
  hash ^= hash >> 33;
  hash *= FMIX64_MULTIPLIER_1;
  hash ^= hash >> 33;
  hash *= FMIX64_MULTIPLIER_2;
  hash ^= hash >> 33;
  return hash;
}

guint
mm_group_of_machine(const char *machine, guint n_groups) {
  return n_groups > 0 ? (guint)(hash_name(machine) % n_groups) : 0;
}

/* Writes a sorted sequence of groups as ranges. */
typedef struct {
  GString *text;
  guint first;
  guint last;
  gboolean has_range;
} RangeWriter;

static void
write_range(RangeWriter *ranges) {
  if (!ranges->has_range)
    return;
  if (ranges->text->len > 0)
    g_string_append_c(ranges->text, ',');
  g_string_append_printf(ranges->text, "%u", ranges->first);
  if (ranges->last > ranges->first)
    g_string_append_printf(ranges->text, "-%u", ranges->last);
}

static bool
add_to_ranges(guint32 group, void *data) {
  RangeWriter *ranges = data;

  if (ranges->has_range && group == ranges->last + 1) {
    ranges->last = group;
    return true;
  }
  write_range(ranges);
  ranges->has_range = TRUE;
  ranges->first = ranges->last = group;
  return true;
}

char *
mm_group_set_to_text(const MmGroupSet *set) {
  RangeWriter ranges = { g_string_new(NULL), 0, 0, FALSE };

  roaring_iterate(set, add_to_ranges, &ranges);
  write_range(&ranges);
  return g_string_free(ranges.text, FALSE);
}

static gboolean
parse_number(const char **cursor, guint n_groups, guint *number) {
  char *end = NULL;
  guint64 value;

  if (!g_ascii_isdigit(**cursor))
    return FALSE;
  value = g_ascii_strtoull(*cursor, &end, 10);
  if (value >= n_groups)
    return FALSE;
  *number = (guint)value;
  *cursor = end;
  return TRUE;
}

static gboolean
parse_range(const char **cursor, guint n_groups, MmGroupSet *set) {
  guint first, last;

  if (!parse_number(cursor, n_groups, &first))
    return FALSE;
  last = first;
  if (**cursor == '-') {
    ++*cursor;
    if (!parse_number(cursor, n_groups, &last) || last < first)
      return FALSE;
  }
  roaring_bitmap_add_range_closed(set, first, last);
  return TRUE;
}

MmGroupSet *
mm_group_set_from_text(const char *text, guint n_groups) {
  g_autoptr(MmGroupSet) set = roaring_bitmap_create();
  const char *cursor = text;

  while (*cursor != '\0') {
    if (!parse_range(&cursor, n_groups, set))
      return NULL;
    if (*cursor == ',' && cursor[1] != '\0')
      cursor++;
    else if (*cursor != '\0')
      return NULL;
  }
  return g_steal_pointer(&set);
}
