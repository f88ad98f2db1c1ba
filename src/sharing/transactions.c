/* The transactions by which groups change hands. Each that gives a group to a node raises the
 * global term and is guarded by the term's version, by the version of each key that it changes, and
 * attaches each key to the lease of its node. So it fails once anything that it was built on has
 * changed, however late the store applies it. */
#include "sharing/transactions.h"

#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "sharing/balance.h"

/* A group that has had no owner for this long is acquired by any node. */
#define UNOWNED_WAIT_MS 1500
/* At the start all nodes should be live before groups are distributed. */
#define START_WAIT_MS 1000
#define WRITE_INTERVAL_MS 100
#define CONFLICT_BACKOFF_MS 1000
/* A move writes two keys and the term. */
#define MOVE_OPERATIONS 3

static const MmGroupHolding *
own_holding(const MmSharing *sharing) {
  const MmGroupHolding *holding
      = mm_group_map_holding(sharing->map, sharing->node->settings->label.s);

  return holding != NULL && holding->lease_id == sharing->node->node_lease->lease_id ? holding
                                                                                     : NULL;
}

static MmKeyVersion
key_version(const MmSharing *sharing, const char *label) {
  return mm_group_map_key_version(sharing->map, label);
}

static void
delay_next_write(MmSharing *sharing, gint64 ms) {
  sharing->next_write_at = mm_time_add_ms(mm_node_now(sharing->node), ms);
}

/* The group stays here. */
static void
abort_move(MmSharing *sharing, MmOwnedGroup *owned, const char *reason) {
  owned->is_moving = FALSE;
  sharing->n_moving--;
  mm_info("aborted move group=%u reason=\"%s\"", owned->number, reason);
}

static void
abort_all_moves(MmSharing *sharing, const char *reason) {
  for (guint group = 0; group < sharing->n_groups; group++) {
    MmOwnedGroup *owned = sharing->owned[group];
    if (owned != NULL && owned->is_moving)
      abort_move(sharing, owned, reason);
  }
  mm_sharing_broadcast_moves(sharing);
}

static void
on_write_response(gpointer data, int status, json_t *body) {
  MmSharing *sharing = data;
  MmGroupWrite kind = sharing->write_in_flight;

  sharing->write_in_flight = MM_GROUP_WRITE_NONE;
  delay_next_write(sharing, WRITE_INTERVAL_MS);
  if (status == 200) {
    sharing->min_revision = mm_json_count(body, WIRE_REVISION, 0);
    sharing->is_move_unconfirmed = FALSE;
  } else if (status == 409) {
    /* Something that it was built on has changed: the replica will show what. A move whose outcome
     * was unknown has then been applied, or was made to fail by another change of this node's key.
     */
    sharing->is_move_unconfirmed = FALSE;
    delay_next_write(sharing, CONFLICT_BACKOFF_MS);
  } else if (status == 400) {
    /* The target's lease has expired, or this node's: the transaction can never be applied. */
    if (kind == MM_GROUP_WRITE_MOVE)
      abort_all_moves(sharing, "the target's lease has expired");
    sharing->is_move_unconfirmed = FALSE;
    delay_next_write(sharing, CONFLICT_BACKOFF_MS);
  } else if (status == 0 && kind == MM_GROUP_WRITE_MOVE) {
    /* It may still be applied. Nothing is granted of those groups before the outcome is known. */
    sharing->is_move_unconfirmed = TRUE;
  }
}

static void
commit_write(MmSharing *sharing, MmTransaction *transaction, MmGroupWrite kind) {
  sharing->write_in_flight = kind;
  mm_kv_client_commit(sharing->node->kv, transaction, on_write_response, sharing);
}

/* Adds the raising of the global term to the transaction; returns the new term. */
static MmTerm
raise_term(const MmSharing *sharing, MmTransaction *transaction) {
  const MmReplica *replica = sharing->node->replica;
  MmTerm term = { replica->term.v + 1 };

  mm_transaction_require_version(transaction, MM_KEY_TERM, "", replica->term_version);
  mm_transaction_put(transaction, MM_KEY_TERM, "", mm_record_encode_term(term), MM_NO_LEASE);
  return term;
}

static void
put_value(const MmSharing *sharing, MmTransaction *transaction, const char *label,
          const MmGroupValue *value, guint64 lease_id) {
  mm_transaction_require_version(transaction, MM_KEY_MACHINE_GROUPS, label,
                                 key_version(sharing, label));
  mm_transaction_put(transaction, MM_KEY_MACHINE_GROUPS, label, mm_group_value_to_json(value),
                     lease_id);
}

static gboolean
fits_value_limit(const MmSharing *sharing, const MmGroupValue *value) {
  g_autoptr(json_t) json = mm_group_value_to_json(value);

  return json_dumpb(json, NULL, 0, JSON_COMPACT) <= mm_kv_client_max_value_bytes(sharing->node->kv);
}

/* The holding's groups except `without`, and `added` under the term. Where so many terms exceed the
 * limit of a value, all are listed under the new one: their owner then waits for the machines'
 * acknowledgements once more. Free with mm_group_value_free. */
static MmGroupValue *
build_value(const MmSharing *sharing, const MmGroupHolding *holding, guint64 lease_id,
            const MmGroupSet *without, const MmGroupSet *added, MmTerm term) {
  MmGroupValue *value = mm_group_value_new(sharing->n_groups, lease_id);

  if (holding != NULL)
    mm_group_value_add_all(value, holding, without);
  for (guint group = 0; group < sharing->n_groups; group++)
    if (added != NULL && roaring_bitmap_contains(added, group))
      mm_group_value_add(value, group, term);
  if (added != NULL && !fits_value_limit(sharing, value))
    mm_group_value_use_one_term(value, term);
  return value;
}

/* ---- acquiring ---- */

/* Whether nobody owns the group, or a previous incarnation of this node does. */
static gboolean
is_free(const MmSharing *sharing, guint group) {
  const MmNode *node = sharing->node;
  const MmGroupHolding *holding = mm_group_map_owner(sharing->map, group).holding;

  return holding == NULL
         || (mm_name_equal(&holding->node, &node->settings->label)
             && holding->lease_id != node->node_lease->lease_id);
}

static gboolean
anyone_may_acquire(const MmSharing *sharing) {
  return sharing->unowned_since.us != 0
         && mm_time_ms_since(mm_node_now(sharing->node), sharing->unowned_since) > UNOWNED_WAIT_MS;
}

/* At the very start the other nodes may be about to show. */
static gboolean
awaits_other_nodes(const MmSharing *sharing) {
  const MmNode *node = sharing->node;
  const MmLiveNode *own_node
      = g_hash_table_lookup(node->replica->live_nodes, node->settings->label.s);

  return own_node == NULL
         || (g_hash_table_size(node->replica->live_nodes) < node->settings->node_count
             && sharing->map->newest_term.v == 0
             && mm_time_ms_since(mm_node_now(node), own_node->seen_since) < START_WAIT_MS);
}

static MmGroupSet *
groups_to_acquire(const MmSharing *sharing) {
  g_autoptr(MmSharePlan) plan = mm_share_plan_new(sharing);
  MmGroupSet *set = roaring_bitmap_create();
  gboolean may_take_all = anyone_may_acquire(sharing);

  for (guint group = 0; group < sharing->n_groups; group++) {
    const char *taker;
    if (!is_free(sharing, group))
      continue;
    taker = mm_share_plan_next_taker(plan);
    if (may_take_all || g_strcmp0(taker, sharing->node->settings->label.s) == 0)
      roaring_bitmap_add(set, group);
  }
  return set;
}

static gboolean
acquire_groups(MmSharing *sharing) {
  MmNode *node = sharing->node;
  g_autoptr(MmGroupSet) wanted = NULL;
  g_autoptr(MmGroupValue) value = NULL;
  MmTransaction transaction;
  MmTerm term;

  /* The groups of a malformed key are not known to be free. Its node writes the key anew. */
  if (awaits_other_nodes(sharing)
      || (g_hash_table_size(sharing->map->malformed) > 0
          && !g_hash_table_contains(sharing->map->malformed, node->settings->label.s)))
    return FALSE;
  wanted = groups_to_acquire(sharing);
  if (roaring_bitmap_is_empty(wanted))
    return FALSE;
  transaction = mm_transaction_begin();
  term = raise_term(sharing, &transaction);
  value
      = build_value(sharing, own_holding(sharing), node->node_lease->lease_id, NULL, wanted, term);
  put_value(sharing, &transaction, node->settings->label.s, value, node->node_lease->lease_id);
  mm_info("acquiring %u machine group(s) term=%" G_GUINT64_FORMAT,
          (guint)roaring_bitmap_get_cardinality(wanted), term.v);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_ACQUIRE);
  return TRUE;
}

/* ---- moves ---- */

/* Whether no grant on the group's machines is outstanding. */
static gboolean
is_ready_to_move(const MmSharing *sharing, const MmOwnedGroup *owned) {
  return owned != NULL && owned->is_moving
         && mm_grants_count_outstanding(sharing->grants, owned->number, sharing->n_groups) == 0;
}

/* Why the move can't be made: the target is not live, or grants stay unresolved for longer than the
 * machines' leases last. NULL: it may still be. */
static const char *
abort_reason(const MmSharing *sharing, const MmOwnedGroup *owned) {
  const MmNode *node = sharing->node;
  gint64 since_ms = mm_time_ms_since(mm_node_now(node), owned->moving_since);

  if (g_hash_table_lookup(node->replica->live_nodes, owned->target.s) == NULL)
    return "the target is not live";
  if (since_ms > (gint64)(node->settings->worker_lease_s * 1000))
    return "granted starts are unresolved for too long";
  return NULL;
}

static void
abort_stuck_moves(MmSharing *sharing) {
  for (guint group = 0; group < sharing->n_groups && sharing->n_moving > 0; group++) {
    MmOwnedGroup *owned = sharing->owned[group];
    const char *reason;

    if (owned == NULL || !owned->is_moving)
      continue;
    reason = abort_reason(sharing, owned);
    if (reason == NULL)
      continue;
    abort_move(sharing, owned, reason);
    mm_sharing_broadcast_moves(sharing);
  }
}

/* The groups that are ready to move to the same target as the first that is. Free the set. */
static MmGroupSet *
groups_to_move(const MmSharing *sharing, MmName *target) {
  MmGroupSet *set = roaring_bitmap_create();

  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmOwnedGroup *owned = sharing->owned[group];
    if (!is_ready_to_move(sharing, owned))
      continue;
    if (roaring_bitmap_is_empty(set))
      *target = owned->target;
    if (mm_name_equal(target, &owned->target))
      roaring_bitmap_add(set, group);
  }
  return set;
}

static gboolean
move_groups(MmSharing *sharing) {
  MmNode *node = sharing->node;
  g_autoptr(MmGroupSet) moved = NULL;
  g_autoptr(MmGroupValue) own_value = NULL, targets_value = NULL;
  const MmGroupHolding *holding;
  const MmLiveNode *live_target;
  MmName target;
  MmTransaction transaction;
  MmTerm term;

  abort_stuck_moves(sharing);
  if (sharing->n_moving == 0 || mm_kv_client_max_operations(node->kv) < MOVE_OPERATIONS)
    return FALSE;
  moved = groups_to_move(sharing, &target);
  if (roaring_bitmap_is_empty(moved) || own_holding(sharing) == NULL)
    return FALSE;
  live_target = g_hash_table_lookup(node->replica->live_nodes, target.s);
  holding = mm_group_map_holding(sharing->map, target.s);
  if (holding != NULL && holding->lease_id != live_target->lease_id)
    return FALSE; /* the target's new incarnation first acquires what the previous one owned */
  transaction = mm_transaction_begin();
  term = raise_term(sharing, &transaction);
  own_value
      = build_value(sharing, own_holding(sharing), node->node_lease->lease_id, moved, NULL, term);
  targets_value = build_value(sharing, holding, live_target->lease_id, NULL, moved, term);
  put_value(sharing, &transaction, node->settings->label.s, own_value, node->node_lease->lease_id);
  put_value(sharing, &transaction, target.s, targets_value, live_target->lease_id);
  mm_info("moving %u machine group(s) target=%s term=%" G_GUINT64_FORMAT,
          (guint)roaring_bitmap_get_cardinality(moved), target.s, term.v);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_MOVE);
  return TRUE;
}

/* A move without a response may be applied late. Writing this node's key once more makes it fail,
 * since it is guarded by the key's version; where that write conflicts, the move has been applied.
 */
static void
confirm_move(MmSharing *sharing) {
  MmNode *node = sharing->node;
  g_autoptr(MmGroupValue) value = NULL;
  MmTransaction transaction = mm_transaction_begin();

  value = build_value(sharing, own_holding(sharing), node->node_lease->lease_id, NULL, NULL,
                      (MmTerm){ 0 });
  put_value(sharing, &transaction, node->settings->label.s, value, node->node_lease->lease_id);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_CONFIRM);
}

/* ---- when sharing is no longer active at every node ---- */

/* While sharing is inactive, starts are sent that no owner has granted: when it is active again,
 * groups must be acquired anew, under terms that the machines have yet to acknowledge. */
static gboolean
release_groups(MmSharing *sharing) {
  const char *label = sharing->node->settings->label.s;
  MmTransaction transaction;

  if (key_version(sharing, label).v == 0)
    return FALSE;
  transaction = mm_transaction_begin();
  mm_transaction_require_version(&transaction, MM_KEY_MACHINE_GROUPS, label,
                                 key_version(sharing, label));
  mm_transaction_delete(&transaction, MM_KEY_MACHINE_GROUPS, label);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_RELEASE);
  return TRUE;
}

void
mm_sharing_write(MmSharing *sharing) {
  MmNode *node = sharing->node;

  if (sharing->write_in_flight != MM_GROUP_WRITE_NONE || !mm_node_lease_is_valid(node->node_lease)
      || mm_kv_client_is_refused(node->kv)
      || mm_time_before(mm_node_now(node), sharing->next_write_at)
      || node->replica->revision < sharing->min_revision)
    return;
  sharing->next_write_at = mm_time_add_ms(mm_node_now(node), WRITE_INTERVAL_MS);
  if (!sharing->is_active) {
    release_groups(sharing);
    return;
  }
  if (sharing->is_move_unconfirmed && own_holding(sharing) != NULL) {
    confirm_move(sharing);
    return;
  }
  if (!move_groups(sharing))
    acquire_groups(sharing);
}
