/* Transactions that change the owners of machine groups. Each transaction that assigns a group to a
 * node increments the global term, requires the term and all keys that it changes to be at their
 * known versions, and attaches each key to the lease of its node. If the term, one of these keys or
 * one of these leases has changed, the transaction fails, however late the store applies it. */
#include "sharing/transactions.h"

#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "sharing/balance.h"

/* Once groups have had no owner for longer than this, any node may acquire these groups, not only
 * the node to which they are assigned. */
#define UNOWNED_WAIT_MS 1500
/* Time that a node of a new cluster waits for the other nodes to become live before it acquires
 * groups. */
#define STARTUP_WAIT_MS 1000
#define WRITE_INTERVAL_MS 100
#define CONFLICT_BACKOFF_MS 1000
/* Operations in the transaction of a move: it writes two ownership records and the term. */
#define MOVE_OPERATIONS 3

/* Returns this node's ownership record; NULL if there is none under its current lease. */
static const MmOwnershipRecord *
own_record(const MmSharing *sharing) {
  const MmOwnershipRecord *record
      = mm_group_map_ownership_record(sharing->map, sharing->node->settings->label.s);

  return record != NULL && record->lease_id == sharing->node->node_lease->lease_id ? record : NULL;
}

static MmKeyVersion
key_version(const MmSharing *sharing, const char *label) {
  return mm_group_map_key_version(sharing->map, label);
}

static void
delay_next_write(MmSharing *sharing, gint64 ms) {
  sharing->next_write_at = mm_time_add_ms(mm_node_now(sharing->node), ms);
}

/* Ends the move; this node keeps the group. */
static void
abort_move(MmSharing *sharing, MmOwnedGroup *owned, const char *reason) {
  owned->is_moving = FALSE;
  sharing->n_moving--;
  mm_info("machine group move aborted group=%u reason=\"%s\"", owned->number, reason);
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
on_write_response(gpointer data, int status, MmJson *body) {
  MmSharing *sharing = data;
  MmGroupWrite kind = sharing->write_in_flight;

  sharing->write_in_flight = MM_GROUP_WRITE_NONE;
  delay_next_write(sharing, WRITE_INTERVAL_MS);
  if (status == 200) {
    sharing->min_revision = mm_json_count(body, WIRE_REVISION, 0);
    sharing->is_move_unconfirmed = FALSE;
  } else if (status == 409) {
    /* Conflict: the term or a key has changed, as the replica will show. If the outcome of a move
     * was unknown, that move has either been applied, or cannot be applied any more, because
     * another transaction has changed this node's key. */
    sharing->is_move_unconfirmed = FALSE;
    delay_next_write(sharing, CONFLICT_BACKOFF_MS);
  } else if (status == 400) {
    /* The lease of the target or of this node has expired; the transaction can never be applied. */
    if (kind == MM_GROUP_WRITE_MOVE)
      abort_all_moves(sharing, "the target's lease has expired");
    sharing->is_move_unconfirmed = FALSE;
    delay_next_write(sharing, CONFLICT_BACKOFF_MS);
  } else if (status == 0 && kind == MM_GROUP_WRITE_MOVE) {
    /* No response: the move may still be applied. Until the outcome is known, no resources of the
     * groups in the move are granted. */
    sharing->is_move_unconfirmed = TRUE;
  }
}

static void
commit_write(MmSharing *sharing, MmTransaction *transaction, MmGroupWrite kind) {
  sharing->write_in_flight = kind;
  mm_kv_client_commit(sharing->node->kv, transaction, on_write_response, sharing);
}

/* Adds the increment of the global term to the transaction. Returns the new term. */
static MmTerm
increment_term(const MmSharing *sharing, MmTransaction *transaction) {
  const MmReplica *replica = sharing->node->replica;
  MmTerm term = { replica->term.v + 1 };

  mm_transaction_require_version(transaction, MM_KEY_TERM, "", replica->term_version);
  mm_transaction_put(transaction, MM_KEY_TERM, "", mm_record_encode_term(term), MM_NO_LEASE);
  return term;
}

static void
put_record(const MmSharing *sharing, MmTransaction *transaction, const char *label,
           const MmOwnershipRecordBuilder *builder, guint64 lease_id) {
  mm_transaction_require_version(transaction, MM_KEY_MACHINE_GROUPS, label,
                                 key_version(sharing, label));
  mm_transaction_put(transaction, MM_KEY_MACHINE_GROUPS, label,
                     mm_ownership_record_builder_to_json(builder), lease_id);
}

static gboolean
fits_value_limit(const MmSharing *sharing, const MmOwnershipRecordBuilder *builder) {
  g_autoptr(MmJson) json = mm_ownership_record_builder_to_json(builder);

  return mm_json_text_length(json) <= mm_kv_client_max_value_bytes(sharing->node->kv);
}

/* Returns the builder of a record with the groups of `record` except `without`, and with `added`
 * under `term`. `record`, `without` and `added` may be NULL. The JSON value may exceed the store's
 * size limit if there are many different terms. If groups are added and the value exceeds the
 * limit, all groups are listed under `term`. Their owner then has to wait for all machines to
 * acknowledge the new term. Free with mm_ownership_record_builder_free. */
static MmOwnershipRecordBuilder *
build_record(const MmSharing *sharing, const MmOwnershipRecord *record, guint64 lease_id,
             const MmGroupSet *without, const MmGroupSet *added, MmTerm term) {
  MmOwnershipRecordBuilder *builder = mm_ownership_record_builder_new(sharing->n_groups, lease_id);

  if (record != NULL)
    mm_ownership_record_builder_add_all(builder, record, without);
  for (guint group = 0; group < sharing->n_groups; group++)
    if (added != NULL && roaring_bitmap_contains(added, group))
      mm_ownership_record_builder_add(builder, group, term);
  if (added != NULL && !fits_value_limit(sharing, builder))
    mm_ownership_record_builder_set_all_terms(builder, term);
  return builder;
}

/* Acquisition of groups. */

/* Returns whether the group has no owner, or is owned by a previous incarnation of this node. */
static gboolean
is_available(const MmSharing *sharing, guint group) {
  const MmNode *node = sharing->node;
  const MmOwnershipRecord *record = mm_group_map_owner(sharing->map, group).record;

  return record == NULL
         || (mm_name_equal(&record->node, &node->settings->label)
             && record->lease_id != node->node_lease->lease_id);
}

/* Returns whether this node may acquire all groups without an owner, whichever node they are
 * assigned to. */
static gboolean
anyone_may_acquire(const MmSharing *sharing) {
  return sharing->unowned_since.us != 0
         && mm_time_ms_since(mm_node_now(sharing->node), sharing->unowned_since) > UNOWNED_WAIT_MS;
}

/* Returns whether this node must wait before it acquires groups. The node waits while the replica
 * does not contain the node's lease. A node of a new cluster, in which no group has ever had an
 * owner, also waits while other nodes may be about to become live. */
static gboolean
awaits_other_nodes(const MmSharing *sharing) {
  const MmNode *node = sharing->node;
  const MmLiveNode *own_node
      = g_hash_table_lookup(node->replica->live_nodes, node->settings->label.s);

  return own_node == NULL
         || (g_hash_table_size(node->replica->live_nodes) < node->settings->node_count
             && sharing->map->newest_term.v == 0
             && mm_time_ms_since(mm_node_now(node), own_node->first_seen_at) < STARTUP_WAIT_MS);
}

/* Returns the set of groups that this node should acquire. Free with roaring_bitmap_free. */
static MmGroupSet *
groups_to_acquire(const MmSharing *sharing) {
  g_autoptr(MmSharePlan) plan = mm_share_plan_new(sharing);
  MmGroupSet *set = roaring_bitmap_create();
  gboolean may_acquire_all = anyone_may_acquire(sharing);

  for (guint group = 0; group < sharing->n_groups; group++) {
    const char *acquirer;
    if (!is_available(sharing, group))
      continue;
    acquirer = mm_share_plan_next_acquirer(plan);
    if (may_acquire_all || g_strcmp0(acquirer, sharing->node->settings->label.s) == 0)
      roaring_bitmap_add(set, group);
  }
  return set;
}

static gboolean
acquire_groups(MmSharing *sharing) {
  MmNode *node = sharing->node;
  g_autoptr(MmGroupSet) wanted = NULL;
  g_autoptr(MmOwnershipRecordBuilder) builder = NULL;
  MmTransaction transaction;
  MmTerm term;

  /* A malformed record may list any group, so no group can be assumed to have no owner. Only the
   * node to which the malformed record belongs may acquire groups, because its acquisition replaces
   * that record. */
  if (awaits_other_nodes(sharing)
      || (g_hash_table_size(sharing->map->malformed) > 0
          && !g_hash_table_contains(sharing->map->malformed, node->settings->label.s)))
    return FALSE;
  wanted = groups_to_acquire(sharing);
  if (roaring_bitmap_is_empty(wanted))
    return FALSE;
  transaction = mm_transaction_begin();
  term = increment_term(sharing, &transaction);
  builder
      = build_record(sharing, own_record(sharing), node->node_lease->lease_id, NULL, wanted, term);
  put_record(sharing, &transaction, node->settings->label.s, builder, node->node_lease->lease_id);
  mm_info("machine group acquisition sent for %u group(s) term=%" G_GUINT64_FORMAT,
          (guint)roaring_bitmap_get_cardinality(wanted), term.v);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_ACQUIRE);
  return TRUE;
}

/* Moves of groups. */

/* Returns whether the group is to move and no grant on its machines is outstanding. */
static gboolean
is_ready_to_move(const MmSharing *sharing, const MmOwnedGroup *owned) {
  return owned != NULL && owned->is_moving
         && mm_grants_count_outstanding(sharing->grants, owned->number, sharing->n_groups) == 0;
}

/* Returns why the move must be aborted, a static string: the target is not live, or the move
 * started more than one worker lease ago, which happens if grants remain outstanding. NULL: the
 * move may continue. */
static const char *
abort_reason(const MmSharing *sharing, const MmOwnedGroup *owned) {
  const MmNode *node = sharing->node;
  gint64 since_ms = mm_time_ms_since(mm_node_now(node), owned->moving_since);

  if (g_hash_table_lookup(node->replica->live_nodes, owned->target.s) == NULL)
    return "the target is not live";
  if (since_ms > (gint64)(node->settings->worker_lease_s * 1000))
    return "grants outstanding for longer than a worker lease";
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

/* Returns the first group that is ready to move, together with all other groups that are ready to
 * move to the same target. Sets `target` unless the set is empty. Free with roaring_bitmap_free. */
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
  g_autoptr(MmOwnershipRecordBuilder) own_builder = NULL, target_builder = NULL;
  const MmOwnershipRecord *record;
  const MmLiveNode *live_target;
  MmName target;
  MmTransaction transaction;
  MmTerm term;

  abort_stuck_moves(sharing);
  if (sharing->n_moving == 0 || mm_kv_client_max_operations(node->kv) < MOVE_OPERATIONS)
    return FALSE;
  moved = groups_to_move(sharing, &target);
  if (roaring_bitmap_is_empty(moved) || own_record(sharing) == NULL)
    return FALSE;
  live_target = g_hash_table_lookup(node->replica->live_nodes, target.s);
  record = mm_group_map_ownership_record(sharing->map, target.s);
  if (record != NULL && record->lease_id != live_target->lease_id)
    return FALSE; /* the target must first acquire the groups of its previous incarnation */
  transaction = mm_transaction_begin();
  term = increment_term(sharing, &transaction);
  own_builder
      = build_record(sharing, own_record(sharing), node->node_lease->lease_id, moved, NULL, term);
  target_builder = build_record(sharing, record, live_target->lease_id, NULL, moved, term);
  put_record(sharing, &transaction, node->settings->label.s, own_builder,
             node->node_lease->lease_id);
  put_record(sharing, &transaction, target.s, target_builder, live_target->lease_id);
  mm_info("machine group move sent for %u group(s) target=%s term=%" G_GUINT64_FORMAT,
          (guint)roaring_bitmap_get_cardinality(moved), target.s, term.v);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_MOVE);
  return TRUE;
}

/* Determines the outcome of a move that got no response and may still be applied. Rewrites this
 * node's key. If the write succeeds, the move can no longer be applied, because the move requires
 * the key's previous version. If the write conflicts, another transaction has already changed the
 * key: either the move itself, or a transaction after which the move cannot be applied any more. */
static void
confirm_move(MmSharing *sharing) {
  MmNode *node = sharing->node;
  g_autoptr(MmOwnershipRecordBuilder) builder = NULL;
  MmTransaction transaction = mm_transaction_begin();

  builder = build_record(sharing, own_record(sharing), node->node_lease->lease_id, NULL, NULL,
                         (MmTerm){ 0 });
  put_record(sharing, &transaction, node->settings->label.s, builder, node->node_lease->lease_id);
  commit_write(sharing, &transaction, MM_GROUP_WRITE_CONFIRM);
}

/* Release while sharing is inactive. */

/* Deletes this node's ownership record. The reason is that starts are sent without grants while
 * sharing is inactive. Once sharing is active again, groups must therefore be acquired under new
 * terms that the machines have not acknowledged yet. Returns FALSE if there is no record. */
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
  if (sharing->is_move_unconfirmed && own_record(sharing) != NULL) {
    confirm_move(sharing);
    return;
  }
  if (!move_groups(sharing))
    acquire_groups(sharing);
}
