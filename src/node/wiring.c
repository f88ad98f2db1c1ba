#include "node/wiring.h"

#include "autoscaler/autoscaler.h"
#include "autoscaler/instance-types.h"
#include "dependencies/dependencies.h"
#include "heartbeat-server/heartbeat-server.h"
#include "job-api/job-capacity.h"
#include "jobs/job-table.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "machines/machine-table.h"
#include "machines/registry.h"
#include "peers/peer-broadcast.h"
#include "peers/peer-links.h"
#include "placement/accelerator-reserve.h"
#include "scheduler/heartbeats.h"
#include "scheduler/led-shards.h"
#include "scheduler/stop-commands.h"
#include "sharing/sharing.h"
#include "upgrade/format.h"
#include "upgrade/versions.h"

/* Observers of keys in the replica. */

static void
put_job(gpointer context, const char *job_id, const MmJson *value, MmKeyVersion version) {
  mm_job_table_put(context, job_id, value, version);
}

static void
remove_job(gpointer context, const char *job_id) {
  mm_job_table_remove(context, job_id);
}

static void
list_job_keys(gpointer context, const char *prefix, GPtrArray *keys) {
  mm_job_table_list_keys(context, prefix, keys);
}

static void
put_registry_pack(gpointer context, const char *pack_name, const MmJson *value,
                  MmKeyVersion version) {
  mm_registry_apply_pack(context, pack_name, value, version);
}

static void
remove_registry_pack(gpointer context, const char *pack_name) {
  mm_registry_remove_pack(context, pack_name);
}

static void
list_registry_keys(gpointer context, const char *prefix, GPtrArray *keys) {
  mm_registry_list_keys(context, prefix, keys);
}

static void
put_format(gpointer context, const char *name, const MmJson *value, MmKeyVersion version) {
  mm_format_key_changed(context, value);
}

static void
remove_format(gpointer context, const char *name) {
  mm_format_key_changed(context, NULL);
}

/* Lists the format key as known even if this node has never read the key. The reason is that a
 * reload reports a known key as removed if the store does not have the key. An absent key stands
 * for the first format, which is also the lowest format. */
static void
list_format_key(gpointer context, const char *prefix, GPtrArray *keys) {
  g_ptr_array_add(keys, g_strdup(prefix));
}

static void
format_page_loaded(gpointer context) {
  mm_format_key_loaded(context);
}

static void
put_machine_groups(gpointer context, const char *label, const MmJson *value, MmKeyVersion version) {
  mm_sharing_key_changed(context, label, value, version);
}

static void
remove_machine_groups(gpointer context, const char *label) {
  mm_sharing_key_changed(context, label, NULL, (MmKeyVersion){ 0 });
}

static void
list_machine_group_keys(gpointer context, const char *prefix, GPtrArray *keys) {
  const MmSharing *sharing = context;

  if (sharing->map != NULL)
    mm_group_map_list_keys(sharing->map, prefix, keys);
}

static void
put_instance_types(gpointer context, const char *name, const MmJson *value, MmKeyVersion version) {
  mm_instance_types_load_stored(context, value, version);
}

static void
put_node_version(gpointer context, const char *label, const MmJson *value, MmKeyVersion version) {
  mm_versions_key_changed(context, label, value, version);
}

/* The order matters: after a reload, keys that no longer exist are removed in the order in which
 * the observers were added. */
static void
observe_replica_keys(MmNode *node) {
  const MmReplicaObserver observers[] = {
    { MM_KEY_JOB, put_job, remove_job, list_job_keys, NULL, node->job_table },
    { MM_KEY_REGISTRY_PACK, put_registry_pack, remove_registry_pack, list_registry_keys, NULL,
      node->registry },
    { MM_KEY_FORMAT, put_format, remove_format, list_format_key, format_page_loaded, node->format },
    { MM_KEY_MACHINE_GROUPS, put_machine_groups, remove_machine_groups, list_machine_group_keys,
      NULL, node->sharing },
    { MM_KEY_INSTANCE_TYPES, put_instance_types, NULL, NULL, NULL, node->instance_types },
    { MM_KEY_NODE_VERSION, put_node_version, NULL, NULL, NULL, node->versions },
  };

  for (guint i = 0; i < G_N_ELEMENTS(observers); i++)
    mm_replica_add_observer(node->replica, &observers[i]);
}

/* Listeners to changes of the replica as a whole. */

static void
scheduler_replica_changed(gpointer context) {
  mm_scheduler_replica_changed(context);
}

static void
sharing_replica_changed(gpointer context) {
  mm_sharing_replica_changed(context);
}

static void
heartbeat_server_replica_changed(gpointer context) {
  mm_heartbeat_server_replica_changed(context);
}

/* The scheduler must be the first listener, because it determines which shards this node leads and
 * since when it leads them. */
static void
listen_to_replica(MmNode *node) {
  mm_replica_add_change_listener(node->replica, scheduler_replica_changed, node->scheduler);
  mm_replica_add_change_listener(node->replica, sharing_replica_changed, node->sharing);
  mm_replica_add_change_listener(node->replica, heartbeat_server_replica_changed,
                                 node->heartbeat_server);
}

/* Observers of the job table. */

static void
placement_job_added(gpointer context, MmJob *job) {
  mm_placement_record_accelerated_job(context, &job->spec);
}

static void
scheduler_job_changed(gpointer context, MmJob *job) {
  mm_scheduler_job_changed(context, job);
}

static void
scheduler_job_cancelled(gpointer context, const char *job_id) {
  mm_scheduler_job_cancelled(context, job_id);
}

static void
scheduler_job_removing(gpointer context, MmJob *job) {
  mm_scheduler_job_removed(context, job);
}

static void
dependencies_job_added(gpointer context, MmJob *job) {
  mm_dependencies_job_added(context, job);
}

static void
dependencies_job_removed(gpointer context, const char *job_id) {
  mm_dependencies_job_removed(context, job_id);
}

static void
dependencies_job_ended(gpointer context, const char *job_id, const MmTerminalState *terminal) {
  mm_dependencies_job_ended(context, job_id, terminal->is_cancelled, terminal->completed_at_ms);
}

static void
job_api_job_added(gpointer context, MmJob *job) {
  mm_job_capacity_job_added(context, job);
}

static void
job_api_job_removing(gpointer context, MmJob *job) {
  mm_job_capacity_job_removing(context, job);
}

/* The dependencies module must be the last observer, because it calls the scheduler for each new
 * job. */
static void
observe_job_table(MmNode *node) {
  const MmJobObserver observers[] = {
    { .added = placement_job_added, .context = node->placement },
    { .added = job_api_job_added, .removing = job_api_job_removing, .context = node->job_api },
    { .changed = scheduler_job_changed,
      .cancelled = scheduler_job_cancelled,
      .removing = scheduler_job_removing,
      .context = node->scheduler },
    { .added = dependencies_job_added,
      .removed = dependencies_job_removed,
      .ended = dependencies_job_ended,
      .context = node->dependencies },
  };

  for (guint i = 0; i < G_N_ELEMENTS(observers); i++)
    mm_job_table_add_observer(node->job_table, &observers[i]);
}

/* Observers of machines. */

static void
scheduler_heartbeat_recorded(gpointer context, MmMachine *machine, const MmHeartbeat *heartbeat,
                             gboolean has_changes) {
  mm_scheduler_heartbeat_received(context, machine, heartbeat, has_changes);
}

static void
scheduler_machine_ended(gpointer context, MmMachine *machine) {
  mm_scheduler_machine_gone(context, machine);
}

static void
sharing_heartbeat_recorded(gpointer context, MmMachine *machine, const MmHeartbeat *heartbeat,
                           gboolean has_changes) {
  mm_sharing_heartbeat_received(context, machine, heartbeat->heartbeat_id,
                                heartbeat->is_direct_reply);
}

static void
sharing_machine_ended(gpointer context, MmMachine *machine) {
  mm_sharing_machine_gone(context, machine);
}

static void
observe_machines(MmNode *node) {
  const MmMachineObserver observers[] = {
    { scheduler_heartbeat_recorded, scheduler_machine_ended, node->scheduler },
    { sharing_heartbeat_recorded, sharing_machine_ended, node->sharing },
  };

  for (guint i = 0; i < G_N_ELEMENTS(observers); i++)
    mm_machine_table_add_observer(node->machine_table, &observers[i]);
}

/* Event callbacks of the dependencies and the autoscaler. */

static void
scheduler_job_ready(gpointer context, MmJob *job) {
  mm_scheduler_job_ready(context, job);
}

static void
broadcast_machine_gone(gpointer context, const char *machine_id) {
  mm_peer_broadcast_machine_gone(context, machine_id);
}

static void
set_event_callbacks(MmNode *node) {
  mm_dependencies_set_callbacks(
      node->dependencies, &(MmDependenciesCallbacks){ .job_cancelled = scheduler_job_cancelled,
                                                      .job_ready = scheduler_job_ready,
                                                      .context = node->scheduler });
  mm_autoscaler_set_release_callback(node->autoscaler, broadcast_machine_gone, node->peer_links);
}

/* Callbacks through which modules query modules of higher layers. */

static gboolean
supports_format(gconstpointer context) {
  return mm_format_is_supported(context);
}

static gboolean
has_proved_outage(gconstpointer context) {
  return mm_node_lease_has_proved_outage(context);
}

static MmTime
peers_last_refused_at(gconstpointer context) {
  return mm_peer_links_last_refused_at(context);
}

static MmTime
peers_last_served_at(gconstpointer context) {
  return mm_peer_links_last_served_at(context);
}

static guint64
lease_announced_by_peer(gconstpointer context, guint peer) {
  const MmNode *node = context;

  return node->peer_links->peers[peer].lease_id;
}

static gboolean
all_machines_seen_recently(gconstpointer context) {
  const MmNode *node = context;

  return mm_machine_table_all_seen_recently(node->machine_table);
}

static gboolean
group_count_has_no_conflict(gconstpointer context) {
  const MmSharing *sharing = context;

  return sharing->conflicting_group_count == 0;
}

static void
set_callbacks(MmNode *node) {
  mm_kv_client_set_write_guard(node->kv, supports_format, node->format);
  mm_replica_set_outage_proof(node->replica, has_proved_outage, node->node_lease);
  mm_node_lease_set_peers(node->node_lease,
                          &(MmLeasePeers){ .last_refused_at = peers_last_refused_at,
                                           .last_served_at = peers_last_served_at,
                                           .context = node->peer_links });
  mm_shard_ownership_set_callbacks(
      node->shard_ownership,
      &(MmShardOwnershipCallbacks){ .lease_announced_by_peer = lease_announced_by_peer,
                                    .all_machines_seen_recently = all_machines_seen_recently,
                                    .context = node });
  mm_versions_set_announce_guard(node->versions, group_count_has_no_conflict, node->sharing);
}

void
mm_node_wire(MmNode *node) {
  observe_replica_keys(node);
  listen_to_replica(node);
  observe_job_table(node);
  observe_machines(node);
  set_event_callbacks(node);
  set_callbacks(node);
}
