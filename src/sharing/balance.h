/* Balances the machine groups among the nodes. */
#pragma once

#include "sharing/sharing.h"

/* If this node leads the balancing shard, tells the owners of machine groups which groups to move
 * to which nodes. On every node, broadcasts the node's moves in progress when due. */
void mm_sharing_balance(MmSharing *sharing);
/* Sends all peers the list of moves in progress on this node. */
void mm_sharing_broadcast_moves(MmSharing *sharing);

/* Assignment of groups without an owner to the live nodes, which are sorted by label. */
typedef struct MmSharePlan MmSharePlan;
MmSharePlan *mm_share_plan_new(const MmSharing *sharing);
void mm_share_plan_free(MmSharePlan *plan);
/* Returns the label of the node that should acquire the next group without an owner, and counts the
 * group as owned by that node. The plan owns the label. Returns NULL if no node is live. */
const char *mm_share_plan_next_acquirer(MmSharePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSharePlan, mm_share_plan_free)
