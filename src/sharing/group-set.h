/* Sets of machine groups, and the assignment of machines to groups.
 *
 * A stable hash of the machine's name assigns the machine to one of a fixed number of groups. A
 * machine's group therefore never changes. Sets are CRoaring bitmaps. Their text form is a list of
 * ranges, such as "0-3,7". */
#pragma once

#include <glib.h>
#include <roaring/roaring.h>

typedef roaring_bitmap_t MmGroupSet;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmGroupSet, roaring_bitmap_free)

/* Returns the group, below `n_groups`, of the machine with this name; 0 if `n_groups` is 0. The
 * hash function must never change, because nodes of different versions must compute the same group
 * for a machine. */
guint mm_group_of_machine(const char *machine, guint n_groups);

/* Returns the set's text form. Free with g_free. */
char *mm_group_set_to_text(const MmGroupSet *set);
/* Parses a set's text form. Returns NULL if the text is malformed or contains a group that is not
 * below `n_groups`. Free with roaring_bitmap_free. */
MmGroupSet *mm_group_set_from_text(const char *text, guint n_groups);
