/* Balancing the machine groups among the nodes: the duty of the one node that leads the shard for
 * it. Its orders carry the shard's term, so those of a former leader are rejected. */
#include "sharing/balance.h"

#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "peers/peer-links.h"
#include "sharing/moves.h"
#include "sharing/shares.h"
#include "kv/replica.h"

#define BALANCE_INTERVAL_MS 500
#define MOVES_BROADCAST_INTERVAL_MS 1000
/* Shares must have been uneven for this long: a node that restarts is back within it. */
#define UNEVEN_WAIT_MS 10000
/* A node may be off its target by one group in this many of an even share before anything moves. */
#define SLACK_DIVISOR 8

struct MmSharePlan {
  GPtrArray *live; /* labels, in order */
  MmShare *shares;
  guint *targets;
};

MmSharePlan *
mm_share_plan_new(const MmSharing *sharing) {
  const MmNode *node = sharing->node;
  MmSharePlan *plan = g_new0(MmSharePlan, 1);
  guint n;

  plan->live = mm_replica_live_labels(node->replica);
  n = plan->live->len;
  plan->shares = g_new0(MmShare, MAX(n, 1));
  plan->targets = g_new0(guint, MAX(n, 1));
  for (guint i = 0; i < n; i++)
    plan->shares[i].weight
        = mm_operators_group_weight(node->operators, g_ptr_array_index(plan->live, i));
  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmGroupHolding *holding = mm_group_map_owner(sharing->map, group).holding;
    for (guint i = 0; holding != NULL && i < n; i++)
      plan->shares[i].owned += strcmp(holding->node.s, g_ptr_array_index(plan->live, i)) == 0;
  }
  mm_shares_targets(plan->shares, n, sharing->n_groups, plan->targets);
  return plan;
}

void
mm_share_plan_free(MmSharePlan *plan) {
  g_ptr_array_unref(plan->live);
  g_free(plan->shares);
  g_free(plan->targets);
  g_free(plan);
}

const char *
mm_share_plan_next_taker(MmSharePlan *plan) {
  guint taker = mm_shares_next_taker(plan->shares, plan->targets, plan->live->len);

  if (taker == G_MAXUINT)
    return NULL;
  plan->shares[taker].owned++;
  return g_ptr_array_index(plan->live, taker);
}

/* ---- balancing ---- */

static gboolean
leads_sharing_shard(const MmSharing *sharing) {
  return mm_node_lease_is_valid(sharing->node->node_lease)
         && mm_shard_ownership_leads(sharing->node->shard_ownership, MM_SHARD_SHARING);
}

static guint
moves_under_way(const MmSharing *sharing) {
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

/* Orders moves towards the targets, up to the limit of moves under way at once. */
static void
order_moves(MmSharing *sharing, MmSharePlan *plan) {
  guint n = plan->live->len;
  guint max_moves = (guint)sharing->node->operators->max_group_moves;
  guint slack = 1 + sharing->n_groups / MAX(n, 1) / SLACK_DIVISOR;
  guint under_way = moves_under_way(sharing);

  for (guint group = 0; group < sharing->n_groups && under_way < max_moves; group++) {
    const MmGroupHolding *holding = mm_group_map_owner(sharing->map, group).holding;
    MmShareMove move;
    const char *from;

    if (!mm_shares_next_move(plan->shares, plan->targets, n, slack, &move))
      break;
    from = g_ptr_array_index(plan->live, move.from);
    if (strcmp(holding->node.s, from) != 0 || is_group_moving(sharing, group))
      continue;
    order_move(sharing, group, from, g_ptr_array_index(plan->live, move.to));
    plan->shares[move.from].owned--;
    plan->shares[move.to].owned++;
    under_way++;
  }
}

/* Groups that are moving count as their target's. */
static void
count_moves_as_made(const MmSharing *sharing, MmSharePlan *plan) {
  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmOwnedGroup *owned = sharing->owned[group];
    if (owned == NULL || !owned->is_moving)
      continue;
    for (guint i = 0; i < plan->live->len; i++) {
      const char *label = g_ptr_array_index(plan->live, i);
      plan->shares[i].owned -= strcmp(label, sharing->node->settings->label.s) == 0;
      plan->shares[i].owned += strcmp(label, owned->target.s) == 0;
    }
  }
  for (guint p = 0; p < sharing->node->peer_links->n_peers; p++)
    for (guint k = 0; k < sharing->peer_moves[p]->len; k++) {
      const MmGroupMove *move = &g_array_index(sharing->peer_moves[p], MmGroupMove, k);
      const MmGroupHolding *holding = mm_group_map_owner(sharing->map, move->group).holding;
      if (holding == NULL || !mm_name_equal(&holding->node, &move->from))
        continue;
      for (guint i = 0; i < plan->live->len; i++) {
        const char *label = g_ptr_array_index(plan->live, i);
        plan->shares[i].owned -= strcmp(label, move->from.s) == 0;
        plan->shares[i].owned += strcmp(label, move->to.s) == 0;
      }
    }
}

static void
rebalance(MmSharing *sharing) {
  MmTime now = mm_node_now(sharing->node);
  g_autoptr(MmSharePlan) plan = mm_share_plan_new(sharing);
  MmTime since = sharing->uneven_since;
  guint slack = 1 + sharing->n_groups / MAX(plan->live->len, 1) / SLACK_DIVISOR;
  MmShareMove move;

  count_moves_as_made(sharing, plan);
  if (!mm_shares_next_move(plan->shares, plan->targets, plan->live->len, slack, &move)) {
    sharing->uneven_since.us = 0;
    return;
  }
  if (since.us == 0)
    sharing->uneven_since = now;
  else if (mm_time_ms_since(now, since) > UNEVEN_WAIT_MS)
    order_moves(sharing, plan);
}

/* ---- broadcast ---- */

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
  sharing->moves_sent_at = mm_node_now(sharing->node);
}

void
mm_sharing_balance(MmSharing *sharing) {
  MmTime now = mm_node_now(sharing->node);

  if (mm_time_ms_since(now, sharing->moves_sent_at) >= MOVES_BROADCAST_INTERVAL_MS)
    mm_sharing_broadcast_moves(sharing);
  if (mm_time_before(now, sharing->next_balance_at))
    return;
  sharing->next_balance_at = mm_time_add_ms(now, BALANCE_INTERVAL_MS);
  if (!leads_sharing_shard(sharing) || sharing->unowned_since.us != 0
      || g_hash_table_size(sharing->map->malformed) > 0)
    sharing->uneven_since.us = 0;
  else
    rebalance(sharing);
}
