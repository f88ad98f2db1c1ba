/* Starts moves of groups to other nodes: checks whether a group may move, handles the orders of the
 * balancing node and of operators, and records the moves that peers announce. transactions.c
 * commits the moves. */
#include "sharing/moves.h"

#include "leases/shard-ownership.h"
#include "peers/peer-links.h"
#include "kv/replica.h"
#include "sharing/balance.h"

const char *
mm_sharing_move_result_text(MmMoveResult result) {
  static const char *const texts[] = {
    [MM_MOVE_STARTED] = "the move has begun",
    [MM_MOVE_SHARING_OFF] = "machines are not shared out",
    [MM_MOVE_UNKNOWN_GROUP] = "there is no such group",
    [MM_MOVE_UNKNOWN_NODE] = "there is no such node",
    [MM_MOVE_NOT_OWNER] = "the group has no owner at the moment",
    [MM_MOVE_SAME_NODE] = "the node owns the group already",
    [MM_MOVE_UNDER_WAY] = "a move of the group is under way",
    [MM_MOVE_TOO_SOON] = "the group has moved only just now",
    [MM_MOVE_TOO_MANY] = "too many moves are under way",
    [MM_MOVE_TARGET_NOT_LIVE] = "the node is not there at the moment",
  };

  return texts[result];
}

static MmMoveResult
may_move(const MmSharing *sharing, guint group, const char *target, gboolean is_manual) {
  const MmNode *node = sharing->node;
  const MmOwnedGroup *owned;
  gint64 owned_ms;

  if (!sharing->is_active)
    return MM_MOVE_SHARING_OFF;
  if (group >= sharing->n_groups)
    return MM_MOVE_UNKNOWN_GROUP;
  if (!mm_settings_has_node(node->settings, target))
    return MM_MOVE_UNKNOWN_NODE;
  if (!mm_sharing_owns(sharing, group))
    return MM_MOVE_NOT_OWNER;
  owned = sharing->owned[group];
  if (strcmp(target, node->settings->label.s) == 0)
    return MM_MOVE_SAME_NODE;
  if (owned->is_moving)
    return MM_MOVE_UNDER_WAY;
  if (g_hash_table_lookup(node->replica->live_nodes, target) == NULL)
    return MM_MOVE_TARGET_NOT_LIVE;
  owned_ms = mm_time_ms_since(mm_node_now(node), owned->acquired_at);
  if (!is_manual && owned_ms < (gint64)(node->operators->group_min_stay_s * 1000))
    return MM_MOVE_TOO_SOON;
  if (!is_manual && sharing->n_moving >= (guint)node->operators->max_group_moves)
    return MM_MOVE_TOO_MANY;
  return MM_MOVE_STARTED;
}

MmMoveResult
mm_sharing_move(MmSharing *sharing, guint group, const char *target, gboolean is_manual) {
  MmMoveResult result = may_move(sharing, group, target, is_manual);
  MmOwnedGroup *owned;

  if (result != MM_MOVE_STARTED)
    return result;
  owned = sharing->owned[group];
  owned->is_moving = TRUE;
  owned->target = mm_name(target);
  owned->moving_since = mm_node_now(sharing->node);
  sharing->n_moving++;
  mm_info("machine group move started group=%u target=%s", group, target);
  mm_sharing_broadcast_moves(sharing);
  return result;
}

/* Accepts an operator's order from any node. Accepts any other order only from the leader of the
 * balancing shard, and only with the shard's current term. */
void
mm_sharing_move_ordered(MmSharing *sharing, guint peer, const Mm__MoveOrder *order) {
  const MmShard *balancer_shard = mm_replica_shard(sharing->node->replica, MM_SHARD_SHARING);
  const MmName *sender = &sharing->node->peer_links->peers[peer].label;
  MmMoveResult result;

  if (!order->by_hand
      && (balancer_shard == NULL || balancer_shard->term.v != order->term
          || !mm_name_equal(&balancer_shard->leader, sender))) {
    mm_info("machine group move order rejected, sender does not lead the balancing shard"
            " sender=%s group=%u",
            sender->s, order->group);
    return;
  }
  result = mm_sharing_move(sharing, order->group, order->target, order->by_hand);
  if (result != MM_MOVE_STARTED)
    mm_debug("machine group move order rejected group=%u reason=\"%s\"", order->group,
             mm_sharing_move_result_text(result));
}

void
mm_sharing_moves_received(MmSharing *sharing, guint peer, const Mm__GroupMoves *moves) {
  GArray *peer_moves = sharing->peer_moves[peer];

  g_array_set_size(peer_moves, 0);
  for (size_t i = 0; i < MIN(moves->n_groups, moves->n_targets); i++) {
    MmGroupMove move = { moves->groups[i], sharing->node->peer_links->peers[peer].label,
                         mm_name(moves->targets[i]) };
    g_array_append_val(peer_moves, move);
  }
}

void
mm_sharing_peer_down(MmSharing *sharing, guint peer) {
  g_array_set_size(sharing->peer_moves[peer], 0);
}
