#include "sharing/sharing.h"

#include "leases/node-lease.h"
#include "peers/peer-links.h"
#include "kv/replica.h"
#include "upgrade/versions.h"
#include "sharing/balance.h"
#include "sharing/transactions.h"

MmSharing *
mm_sharing_new(MmNode *node) {
  MmSharing *sharing = g_new0(MmSharing, 1);

  sharing->node = node;
  sharing->n_groups = (guint)node->operators->group_count;
  sharing->grants = mm_grants_new(node);
  sharing->peer_moves = g_new0(GArray *, MAX(node->settings->peers->len, 1));
  for (guint i = 0; i < node->settings->peers->len; i++)
    sharing->peer_moves[i] = g_array_new(FALSE, FALSE, sizeof(MmGroupMove));
  if (sharing->n_groups == 0)
    return sharing;
  sharing->map = mm_group_map_new(sharing->n_groups);
  sharing->owned = g_new0(MmOwnedGroup *, sharing->n_groups);
  return sharing;
}

static void
owned_group_free(MmOwnedGroup *owned) {
  g_hash_table_unref(owned->unacknowledged);
  g_free(owned);
}

void
mm_sharing_free(MmSharing *sharing) {
  for (guint i = 0; i < sharing->node->settings->peers->len; i++)
    g_array_unref(sharing->peer_moves[i]);
  g_free(sharing->peer_moves);
  for (guint group = 0; group < sharing->n_groups; group++)
    if (sharing->owned[group] != NULL)
      owned_group_free(sharing->owned[group]);
  g_free(sharing->owned);
  g_clear_pointer(&sharing->map, mm_group_map_free);
  mm_grants_free(sharing->grants);
  g_free(sharing);
}

/* Owned groups. */

/* Returns whether the replica shows the current incarnation of this node as the group's owner. */
static gboolean
is_owned_in_replica(const MmSharing *sharing, guint group) {
  const MmNode *node = sharing->node;
  MmGroupOwner owner = mm_group_map_owner(sharing->map, group);

  return owner.record != NULL && node->node_lease->lease_id != 0
         && owner.record->lease_id == node->node_lease->lease_id
         && mm_name_equal(&owner.record->node, &node->settings->label);
}

gboolean
mm_sharing_owns(const MmSharing *sharing, guint group) {
  return group < sharing->n_groups && sharing->owned[group] != NULL
         && mm_node_lease_is_valid(sharing->node->node_lease)
         && is_owned_in_replica(sharing, group);
}

static void
remove_owned_group(MmSharing *sharing, guint group) {
  MmOwnedGroup *owned = sharing->owned[group];

  mm_debug("machine group ownership ended, not held under the current lease and term group=%u",
           group);
  sharing->n_owned--;
  sharing->n_moving -= owned->is_moving;
  sharing->n_moved += owned->is_moving;
  sharing->owned[group] = NULL;
  owned_group_free(owned);
  mm_grants_drop_group(sharing->grants, group, sharing->n_groups);
}

/* Adds the machine of a newly owned group to `unacknowledged`, unless the machine has acknowledged
 * the group's term. Without that acknowledgement, the machine may still execute starts granted by
 * earlier owners. A machine that is registered later needs no entry, because that machine receives
 * only responses of the group's term or a later term. */
static void
track_unacknowledged(MmSharing *sharing, const MmMachine *machine) {
  MmOwnedGroup *owned = sharing->owned[machine->group];

  if (owned == NULL || !machine->is_in_registry || machine->lease_has_expired)
    return;
  if (!machine->has_reported || machine->acknowledged_term.v < owned->term.v)
    g_hash_table_insert(owned->unacknowledged, g_strdup(machine->id.s),
                        GSIZE_TO_POINTER(machine->registered_incarnation));
}

static void
add_owned_group(MmSharing *sharing, guint group) {
  MmOwnedGroup *owned = g_new0(MmOwnedGroup, 1);

  owned->number = group;
  owned->term = mm_group_map_owner(sharing->map, group).term;
  owned->acquired_at = mm_node_now(sharing->node);
  owned->unacknowledged = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  sharing->owned[group] = owned;
  sharing->n_owned++;
}

/* Removes groups that this node no longer owns, or owns under another term, and adds newly owned
 * groups. */
static void
update_owned_groups(MmSharing *sharing) {
  const GPtrArray *machines = sharing->node->machine_table->sorted_machines;
  g_autoptr(MmGroupSet) added_groups = roaring_bitmap_create();

  for (guint group = 0; group < sharing->n_groups; group++) {
    gboolean is_owned = is_owned_in_replica(sharing, group);
    MmTerm term = mm_group_map_owner(sharing->map, group).term;

    if (sharing->owned[group] != NULL && (!is_owned || term.v != sharing->owned[group]->term.v))
      remove_owned_group(sharing, group);
    if (sharing->owned[group] == NULL && is_owned) {
      add_owned_group(sharing, group);
      roaring_bitmap_add(added_groups, group);
    }
  }
  if (roaring_bitmap_is_empty(added_groups))
    return;
  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!roaring_bitmap_contains(added_groups, machine->group))
      continue;
    track_unacknowledged(sharing, machine);
    machine->acknowledgement_requested_at.us = 0;
  }
  mm_info("machine group ownership began for %u group(s) owned=%u",
          (guint)roaring_bitmap_get_cardinality(added_groups), sharing->n_owned);
}

static void
update_unowned_since(MmSharing *sharing) {
  for (guint group = 0; group < sharing->n_groups; group++)
    if (mm_group_map_owner(sharing->map, group).record == NULL) {
      if (sharing->unowned_since.us == 0)
        sharing->unowned_since = mm_node_now(sharing->node);
      return;
    }
  sharing->unowned_since.us = 0;
}

/* Compares the stored number of groups with the settings, only once after this node has started. No
 * later comparison is needed, because the nodes that already share machines exclude a node with a
 * different number of groups. */
static void
check_stored_group_count(MmSharing *sharing) {
  if (!sharing->is_group_count_checked)
    sharing->conflicting_group_count = mm_group_map_conflicting_group_count(sharing->map);
  sharing->is_group_count_checked = TRUE;
}

static void
update_is_active(MmSharing *sharing) {
  gboolean is_active = mm_versions_common_group_count(sharing->node->versions) == sharing->n_groups;

  if (is_active != sharing->is_active)
    mm_info("machine group sharing is %s",
            is_active ? "active, all nodes announce the same number of groups"
                      : "inactive, not all nodes announce the same number of groups");
  sharing->is_active = is_active;
}

void
mm_sharing_replica_changed(MmSharing *sharing) {
  if (sharing->n_groups == 0)
    return;
  check_stored_group_count(sharing);
  update_is_active(sharing);
  update_owned_groups(sharing);
  update_unowned_since(sharing);
}

void
mm_sharing_key_changed(MmSharing *sharing, const char *label, const MmJson *value,
                       MmKeyVersion version) {
  if (sharing->n_groups == 0)
    return;
  if (value != NULL)
    mm_group_map_put(sharing->map, label, value, version);
  else
    mm_group_map_remove(sharing->map, label);
}

void
mm_sharing_tick(MmSharing *sharing) {
  if (sharing->n_groups == 0 || !sharing->node->replica->is_loaded
      || sharing->conflicting_group_count != 0)
    return;
  mm_sharing_write(sharing);
  if (sharing->is_active)
    mm_sharing_balance(sharing);
}

/* Heartbeats and registration. */

/* Returns whether the machine's newest message proves that the machine no longer executes starts
 * granted by earlier owners. A message that carries the group's term or a later term is such a
 * proof. A message from a newer incarnation than the one registered when the group was acquired is
 * also a proof, because tasks of the old incarnation no longer run. The same rule applies to the
 * acknowledgements of the term of a team's shard. */
static gboolean
acknowledges_group_term(const MmOwnedGroup *owned, const MmMachine *machine, gsize incarnation) {
  return machine->acknowledged_term.v >= owned->term.v
         || machine->latest_message_id.incarnation > incarnation;
}

void
mm_sharing_heartbeat_received(MmSharing *sharing, MmMachine *machine, MmHeartbeatId heartbeat_id,
                              gboolean is_direct_reply) {
  MmOwnedGroup *owned;
  gpointer incarnation;

  if (sharing->n_groups == 0)
    return;
  mm_grants_heartbeat_received(sharing->grants, machine, heartbeat_id, is_direct_reply);
  owned = sharing->owned[machine->group];
  if (owned != NULL
      && g_hash_table_lookup_extended(owned->unacknowledged, machine->id.s, NULL, &incarnation)
      && acknowledges_group_term(owned, machine, GPOINTER_TO_SIZE(incarnation)))
    g_hash_table_remove(owned->unacknowledged, machine->id.s);
}

void
mm_sharing_machine_gone(MmSharing *sharing, const MmMachine *machine) {
  MmOwnedGroup *owned;

  if (sharing->n_groups == 0)
    return;
  mm_grants_machine_gone(sharing->grants, machine->id.s);
  owned = sharing->owned[machine->group];
  if (owned != NULL)
    g_hash_table_remove(owned->unacknowledged, machine->id.s);
}

gboolean
mm_sharing_may_register(const MmSharing *sharing, const MmMachine *machine) {
  MmGroupOwner owner = { NULL, { 0 } };

  if (sharing->is_active)
    owner = mm_group_map_owner(sharing->map, machine->group);
  return owner.record != NULL ? mm_sharing_owns(sharing, machine->group)
                              : machine->serving_node == MM_SERVING_NODE_SELF;
}

MmTerm
mm_sharing_group_term(const MmSharing *sharing, const MmMachine *machine) {
  if (!sharing->is_active)
    return (MmTerm){ 0 };
  return mm_group_map_owner(sharing->map, machine->group).term;
}

gboolean
mm_sharing_awaits_acknowledgement(const MmSharing *sharing, const MmMachine *machine) {
  const MmOwnedGroup *owned;

  if (!sharing->is_active)
    return FALSE;
  owned = sharing->owned[machine->group];
  return owned != NULL && g_hash_table_contains(owned->unacknowledged, machine->id.s);
}

/* Grants. */

gboolean
mm_sharing_may_grant(const MmSharing *sharing, const MmMachine *machine) {
  guint group;
  const MmOwnedGroup *owned;

  if (!sharing->is_active)
    return FALSE;
  group = machine->group;
  owned = sharing->owned[group];
  /* No resources are granted on a machine that this node has quarantined or on an incarnation that
   * is not registered. After a change of owner, the next owner would not know that it must wait for
   * the acknowledgement of an unregistered incarnation. */
  return owned != NULL && !owned->is_moving && mm_sharing_owns(sharing, group)
         && mm_machine_is_usable(sharing->node->machine_table, machine)
         && mm_node_lease_may_answer_workers(sharing->node->node_lease)
         && !g_hash_table_contains(owned->unacknowledged, machine->id.s);
}

MmGrantSource
mm_sharing_grant_source(const MmSharing *sharing, const MmMachine *machine, guint *peer,
                        MmTerm *term) {
  MmGroupOwner owner;
  gint peer_index;

  if (!sharing->is_active)
    return MM_GRANTS_NOT_NEEDED;
  owner = mm_group_map_owner(sharing->map, machine->group);
  *term = owner.term;
  if (owner.record == NULL)
    return MM_GRANTS_UNAVAILABLE;
  if (mm_name_equal(&owner.record->node, &sharing->node->settings->label))
    return mm_sharing_may_grant(sharing, machine) ? MM_GRANTS_LOCAL : MM_GRANTS_UNAVAILABLE;
  peer_index = mm_peer_links_find(sharing->node->peer_links, owner.record->node.s);
  if (peer_index < 0 || !sharing->node->peer_links->peers[peer_index].is_up)
    return MM_GRANTS_UNAVAILABLE;
  *peer = (guint)peer_index;
  return MM_GRANTS_AT_PEER;
}

gboolean
mm_sharing_grant_is_current(const MmSharing *sharing, const char *machine, MmTerm term) {
  guint group;

  if (!sharing->is_active)
    return TRUE;
  group = mm_group_of_machine(machine, sharing->n_groups);
  return term.v != 0 && mm_group_map_owner(sharing->map, group).term.v == term.v;
}

void
mm_sharing_grant_requested(MmSharing *sharing, guint peer, const Mm__GrantRequest *request) {
  MmMachine *machine = mm_machine_table_find(sharing->node->machine_table, request->machine);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__GrantResponse response = MM__GRANT_RESPONSE__INIT;
  g_autofree protobuf_c_boolean *granted = g_new0(protobuf_c_boolean, MAX(request->n_starts, 1));
  gboolean may_grant = machine != NULL && mm_sharing_may_grant(sharing, machine)
                       && sharing->owned[machine->group]->term.v == request->term;

  for (size_t i = 0; i < request->n_starts && may_grant; i++) {
    MmGrant grant = { mm_name(request->starts[i]->job),
                      request->starts[i]->number,
                      { request->starts[i]->attempt },
                      { request->incarnation, request->sequence } };
    granted[i] = mm_grants_try_grant(sharing->grants, machine, &grant);
  }
  response.id = request->id;
  response.granted = granted;
  response.n_granted = request->n_starts;
  frame.body_case = MM__FRAME__BODY_GRANT_RESPONSE;
  frame.grant_response = &response;
  mm_peer_links_send(sharing->node->peer_links, peer, &frame);
}

/* Redirection of workers to the owner. */

gint
mm_sharing_redirect_target(MmSharing *sharing, const char *machine_id) {
  MmNode *node = sharing->node;
  MmTime now = mm_node_now(node);
  MmMachine *machine = mm_machine_table_find(node->machine_table, machine_id);
  MmGroupOwner owner;
  gint peer;

  if (machine == NULL)
    return MM_PEER_NONE;
  owner = mm_group_map_owner(sharing->map, machine->group);
  if (owner.record == NULL)
    return MM_PEER_NONE;
  peer = mm_peer_links_find(node->peer_links, owner.record->node.s);
  /* A worker that returns within one worker lease after its redirect could not reach the owner.
   * Therefore this node serves the worker. */
  if (peer < 0 || !mm_peer_links_peer_serves_workers(node->peer_links, (guint)peer)
      || (machine->last_redirected_at.us != 0
          && mm_time_ms_since(now, machine->last_redirected_at)
                 < (gint64)(node->settings->worker_lease_s * 1000)))
    return MM_PEER_NONE;
  machine->last_redirected_at = now;
  return peer;
}
