/* Starts moves of machine groups to other nodes. */
#pragma once

#include "sharing/sharing.h"

/* Starts to move the group to the node `target`, if this node owns the group. A move requested by
 * an operator (`is_manual`) is exempt from the minimum time between moves and from the limit of
 * concurrent moves. */
MmMoveResult mm_sharing_move(MmSharing *sharing, guint group, const char *target,
                             gboolean is_manual);
/* Returns a description of the result for users, a static string. */
const char *mm_sharing_move_result_text(MmMoveResult result);

/* Handles a peer's order to move a group that this node owns. Rejects the order unless it comes
 * from an operator or from the leader of the balancing shard. */
void mm_sharing_move_ordered(MmSharing *sharing, guint peer, const Mm__MoveOrder *order);
/* Replaces the list of moves in progress at the peer. */
void mm_sharing_moves_received(MmSharing *sharing, guint peer, const Mm__GroupMoves *moves);
/* Clears the list of moves in progress at the peer; called when the link to the peer has closed. */
void mm_sharing_peer_down(MmSharing *sharing, guint peer);
