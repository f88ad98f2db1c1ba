/* How many machine groups each node should own, and the fewest moves that get there. Pure. */
#pragma once

#include "sharing/group-set.h"

typedef struct {
  double weight; /* 0: it should own none */
  guint owned;
} MmShare;

/* Divides the groups in proportion to the weights, by largest remainders; among equal remainders
 * nodes that own more come first, so that nothing moves without need. Fills `targets`, one a node;
 * where all weights are 0, all nodes weigh the same. */
void mm_shares_targets(const MmShare *shares, guint n_nodes, guint n_groups, guint *targets);

typedef struct {
  guint from;
  guint to;
} MmShareMove;

/* The next move of one group, from the node that is furthest above its target to the one furthest
 * below. FALSE when nothing should move: all are within `slack` of their targets, or own none where
 * they should not. */
gboolean mm_shares_next_move(const MmShare *shares, const guint *targets, guint n_nodes,
                             guint slack, MmShareMove *move);

/* The node to which a group without an owner goes: the one furthest below its target, among equals
 * the first. G_MAXUINT: there is no node. */
guint mm_shares_next_taker(const MmShare *shares, const guint *targets, guint n_nodes);
