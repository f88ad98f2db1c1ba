/* Balancing the machine groups among the nodes. */
#pragma once

#include "sharing/sharing.h"

/* Orders moves where this node has the duty of balancing; broadcasts the moves under way here. */
void mm_sharing_balance(MmSharing *sharing);
void mm_sharing_broadcast_moves(MmSharing *sharing);

/* Which node should acquire each group without an owner. Nodes are in the order of their labels;
 * each assigned group counts as owned for the next. */
typedef struct MmSharePlan MmSharePlan;
MmSharePlan *mm_share_plan_new(const MmSharing *sharing);
void mm_share_plan_free(MmSharePlan *plan);
/* The label of the node that should acquire the next group, valid as long as the plan; NULL: no
 * node is live. */
const char *mm_share_plan_next_taker(MmSharePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSharePlan, mm_share_plan_free)
