/* Sets of machine groups, and which group a machine belongs to.
 *
 * The fleet is divided into a fixed number of groups by a stable hash of the machines' names, so a
 * machine's group never changes. Sets are CRoaring bitmaps; as text they are lists of ranges, as in
 * "0-3,7". */
#pragma once

#include <glib.h>
#include <roaring/roaring.h>

typedef roaring_bitmap_t MmGroupSet;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmGroupSet, roaring_bitmap_free)

/* The group, below `groups`, of the machine of this name. */
guint mm_group_of_machine(const char *machine, guint n_groups);

/* Free with g_free. */
char *mm_group_set_to_text(const MmGroupSet *set);
/* NULL where the text is malformed or names a group that is not below `groups`. */
MmGroupSet *mm_group_set_from_text(const char *text, guint n_groups);
