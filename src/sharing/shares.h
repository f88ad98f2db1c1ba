/* Computes how many machine groups each node should own, and a minimal sequence of moves towards
 * these numbers. Pure functions without state. */
#pragma once

#include "sharing/group-set.h"

/* One node's weight and number of owned groups. */
typedef struct {
  double weight; /* 0: the node should own no group */
  guint owned;
} MmShare;

/* Computes the number of groups that each node should own, in proportion to the weights by the
 * largest remainder method. Among equal remainders the node that owns more groups takes precedence,
 * which avoids needless moves. If all weights are 0, all nodes have equal shares. Writes one number
 * per node to `targets`. */
void mm_shares_targets(const MmShare *shares, guint n_nodes, guint n_groups, guint *targets);

/* A move of one group between two nodes, given by their indexes. */
typedef struct {
  guint from;
  guint to;
} MmShareMove;

/* Computes the next move of one group, from the node furthest above its target to the node furthest
 * below it. Returns FALSE if no move is needed: no node is above its target, no node is below its
 * target, or neither of the two nodes deviates from its target by more than `slack`. `slack` is
 * ignored if the target of the node furthest above is 0, so that this node releases all its
 * groups. */
gboolean mm_shares_next_move(const MmShare *shares, const guint *targets, guint n_nodes,
                             guint slack, MmShareMove *move);

/* Returns the index of the node that should acquire the next group without an owner: the node
 * furthest below its target, the first among equals. G_MAXUINT: there are no nodes. */
guint mm_shares_next_acquirer(const MmShare *shares, const guint *targets, guint n_nodes);
