/* Balances the machine groups among the nodes. Only the leader of the balancing shard tells the
 * owners of groups which groups to move. Each such order carries the shard's term, so that an owner
 * can reject an order of a former leader. */
#include "sharing/balance.h"

#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "peers/peer-links.h"
#include "sharing/moves.h"
#include "sharing/shares.h"
#include "kv/replica.h"

#define BALANCE_INTERVAL_MS 500
#define MOVES_BROADCAST_INTERVAL_MS 1000
/* The shares must be imbalanced for longer than this before groups move, because a node that
 * restarts is back within this time. */
#define IMBALANCE_WAIT_MS 10000
/* A node may deviate from its target by 1 + (an even share / SLACK_DIVISOR) groups before any group
 * moves. */
#define SLACK_DIVISOR 8

struct MmSharePlan {
  GPtrArray *live_labels; /* sorted; the arrays below have one element per label */
  MmShare *shares;
  guint *targets;
};

MmSharePlan *
mm_share_plan_new(const MmSharing *sharing) {
  const MmNode *node = sharing->node;
  MmSharePlan *plan = g_new0(MmSharePlan, 1);
  guint n;

  plan->live_labels = mm_replica_live_labels(node->replica);
  n = plan->live_labels->len;
  plan->shares = g_new0(MmShare, MAX(n, 1));
  plan->targets = g_new0(guint, MAX(n, 1));
  for (guint i = 0; i < n; i++)
    plan->shares[i].weight
        = mm_operators_group_weight(node->operators, g_ptr_array_index(plan->live_labels, i));
  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmOwnershipRecord *record = mm_group_map_owner(sharing->map, group).record;
    for (guint i = 0; record != NULL && i < n; i++)
      plan->shares[i].owned += strcmp(record->node.s, g_ptr_array_index(plan->live_labels, i)) == 0;
  }
  mm_shares_targets(plan->shares, n, sharing->n_groups, plan->targets);
  return plan;
}

void
mm_share_plan_free(MmSharePlan *plan) {
  g_ptr_array_unref(plan->live_labels);
  g_free(plan->shares);
  g_free(plan->targets);
  g_free(plan);
}

const char *
mm_share_plan_next_acquirer(MmSharePlan *plan) {
  guint acquirer = mm_shares_next_acquirer(plan->shares, plan->targets, plan->live_labels->len);

  if (acquirer == G_MAXUINT)
    return NULL;
  plan->shares[acquirer].owned++;
  return g_ptr_array_index(plan->live_labels, acquirer);
}

/* Orders to move groups. */

static gboolean
leads_sharing_shard(const MmSharing *sharing) {
  return mm_node_lease_is_valid(sharing->node->node_lease)
         && mm_shard_ownership_leads(sharing->node->shard_ownership, MM_SHARD_SHARING);
}

static guint
count_moves_under_way(const MmSharing *sharing) {
  guint n = sharing->n_moving;

  for (guint i = 0; i < sharing->node->peer_links->n_peers; i++)
    n += sharing->peer_moves[i]->len;
  return n;
}

static gboolean
is_group_moving(const MmSharing *sharing, guint group) {
  if (sharing->owned[group] != NULL && sharing->owned[group]->is_moving)
    return TRUE;
  for (guint i = 0; i < sharing->node->peer_links->n_peers; i++)
    for (guint k = 0; k < sharing->peer_moves[i]->len; k++)
      if (g_array_index(sharing->peer_moves[i], MmGroupMove, k).group == group)
        return TRUE;
  return FALSE;
}

static void
order_move(MmSharing *sharing, guint group, const char *from, const char *to) {
  MmNode *node = sharing->node;
  gint peer = mm_peer_links_find(node->peer_links, from);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__MoveOrder message = MM__MOVE_ORDER__INIT;

  if (peer < 0) {
    mm_sharing_move(sharing, group, to, FALSE);
    return;
  }
  message.group = group;
  message.target = (char *)to;
  message.term = mm_replica_shard(node->replica, MM_SHARD_SHARING)->term.v;
  frame.body_case = MM__FRAME__BODY_MOVE_ORDER;
  frame.move_order = &message;
  mm_peer_links_send(node->peer_links, (guint)peer, &frame);
}

/* Sends the owners of groups orders to move groups, so that the nodes' shares approach the targets.
 * Stops at the limit of concurrent moves. */
static void
order_moves(MmSharing *sharing, MmSharePlan *plan) {
  guint n = plan->live_labels->len;
  guint max_moves = (guint)sharing->node->operators->max_group_moves;
  guint slack = 1 + sharing->n_groups / MAX(n, 1) / SLACK_DIVISOR;
  guint under_way = count_moves_under_way(sharing);

  for (guint group = 0; group < sharing->n_groups && under_way < max_moves; group++) {
    const MmOwnershipRecord *record = mm_group_map_owner(sharing->map, group).record;
    MmShareMove move;
    const char *from;

    if (!mm_shares_next_move(plan->shares, plan->targets, n, slack, &move))
      break;
    from = g_ptr_array_index(plan->live_labels, move.from);
    if (strcmp(record->node.s, from) != 0 || is_group_moving(sharing, group))
      continue;
    order_move(sharing, group, from, g_ptr_array_index(plan->live_labels, move.to));
    plan->shares[move.from].owned--;
    plan->shares[move.to].owned++;
    under_way++;
  }
}

/* Changes the plan as if all moves in progress were completed. */
static void
apply_moves_under_way(const MmSharing *sharing, MmSharePlan *plan) {
  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmOwnedGroup *owned = sharing->owned[group];
    if (owned == NULL || !owned->is_moving)
      continue;
    for (guint i = 0; i < plan->live_labels->len; i++) {
      const char *label = g_ptr_array_index(plan->live_labels, i);
      plan->shares[i].owned -= strcmp(label, sharing->node->settings->label.s) == 0;
      plan->shares[i].owned += strcmp(label, owned->target.s) == 0;
    }
  }
  for (guint p = 0; p < sharing->node->peer_links->n_peers; p++)
    for (guint k = 0; k < sharing->peer_moves[p]->len; k++) {
      const MmGroupMove *move = &g_array_index(sharing->peer_moves[p], MmGroupMove, k);
      const MmOwnershipRecord *record = mm_group_map_owner(sharing->map, move->group).record;
      if (record == NULL || !mm_name_equal(&record->node, &move->from))
        continue;
      for (guint i = 0; i < plan->live_labels->len; i++) {
        const char *label = g_ptr_array_index(plan->live_labels, i);
        plan->shares[i].owned -= strcmp(label, move->from.s) == 0;
        plan->shares[i].owned += strcmp(label, move->to.s) == 0;
      }
    }
}

static void
rebalance(MmSharing *sharing) {
  MmTime now = mm_node_now(sharing->node);
  g_autoptr(MmSharePlan) plan = mm_share_plan_new(sharing);
  MmTime since = sharing->imbalanced_since;
  guint slack = 1 + sharing->n_groups / MAX(plan->live_labels->len, 1) / SLACK_DIVISOR;
  MmShareMove move;

  apply_moves_under_way(sharing, plan);
  if (!mm_shares_next_move(plan->shares, plan->targets, plan->live_labels->len, slack, &move)) {
    sharing->imbalanced_since.us = 0;
    return;
  }
  if (since.us == 0)
    sharing->imbalanced_since = now;
  else if (mm_time_ms_since(now, since) > IMBALANCE_WAIT_MS)
    order_moves(sharing, plan);
}

/* Broadcast of moves in progress. */

void
mm_sharing_broadcast_moves(MmSharing *sharing) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__GroupMoves message = MM__GROUP_MOVES__INIT;
  g_autofree guint32 *groups = g_new0(guint32, MAX(sharing->n_moving, 1));
  g_autofree char **targets = g_new0(char *, MAX(sharing->n_moving, 1));

  for (guint group = 0; group < sharing->n_groups; group++) {
    MmOwnedGroup *owned = sharing->owned[group];
    if (owned == NULL || !owned->is_moving)
      continue;
    groups[message.n_groups++] = group;
    targets[message.n_targets++] = owned->target.s;
  }
  message.groups = groups;
  message.targets = targets;
  frame.body_case = MM__FRAME__BODY_GROUP_MOVES;
  frame.group_moves = &message;
  for (guint i = 0; i < sharing->node->peer_links->n_peers; i++)
    mm_peer_links_send(sharing->node->peer_links, i, &frame);
  sharing->moves_broadcast_at = mm_node_now(sharing->node);
}

void
mm_sharing_balance(MmSharing *sharing) {
  MmTime now = mm_node_now(sharing->node);

  if (mm_time_ms_since(now, sharing->moves_broadcast_at) >= MOVES_BROADCAST_INTERVAL_MS)
    mm_sharing_broadcast_moves(sharing);
  if (mm_time_before(now, sharing->next_balance_at))
    return;
  sharing->next_balance_at = mm_time_add_ms(now, BALANCE_INTERVAL_MS);
  if (!leads_sharing_shard(sharing) || sharing->unowned_since.us != 0
      || g_hash_table_size(sharing->map->malformed) > 0)
    sharing->imbalanced_since.us = 0;
  else
    rebalance(sharing);
}
