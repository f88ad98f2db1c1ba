/* Starting the move of a machine group to another node. */
#pragma once

#include "sharing/sharing.h"

/* Starts to move the group to another node, if this one owns it. Ordered by an operator
 * (`by_hand`), neither the minimum time nor the limit of moves under way counts. */
MmMoveResult mm_sharing_move(MmSharing *sharing, guint group, const char *target, gboolean by_hand);
/* Static text for users. */
const char *mm_sharing_move_result_text(MmMoveResult result);

/* From peers: an order to move a group that this node owns, the moves under way at the peer, and
 * the end of the link to it. */
void mm_sharing_move_ordered(MmSharing *sharing, guint peer, const Mm__MoveOrder *order);
void mm_sharing_moves_received(MmSharing *sharing, guint peer, const Mm__GroupMoves *moves);
void mm_sharing_peer_down(MmSharing *sharing, guint peer);
