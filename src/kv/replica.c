#include "kv/replica.h"

#include "base/wire.h"
#include "heartbeat/heartbeat-server.h"
#include "machines/registry.h"
#include "autoscaler/instance-types.h"
#include "jobs/job-table.h"
#include "scheduler/led-shards.h"
#include "leases/node-lease.h"
#include "sharing/sharing.h"
#include "kv/kv-client.h"
#include "upgrade/format.h"
#include "upgrade/versions.h"

/* Short, so that a returning watch keeps proving that the replica is fresh. */
#define WATCH_WAIT_MS 1500
#define RETRY_AFTER_MS 200
#define KEYS_PER_PAGE 400
/* Of the state service's requests, the share that one node's watches, and its reads of the
 * revision, may take. */
#define WATCH_RATE_SHARE 0.1
#define REVISION_READ_RATE_SHARE 0.05
#define CURRENT_TIMEOUT_MS 1500
#define MAX_WAITERS 512

typedef struct {
  MmCurrentCallback on_current;
  gpointer data;
  MmTime deadline;
  guint64 revision_read;     /* which read of the revision answers for it; 0: none yet */
  guint64 required_revision; /* what the replica must have reached; 0: not known yet */
} Waiter;

static void start_load(gpointer data);
static void start_watch(gpointer data);

MmReplica *
mm_replica_new(MmNode *node) {
  MmReplica *replica = g_new0(MmReplica, 1);

  replica->node = node;
  replica->waiters = g_queue_new();
  replica->shards = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  replica->live_nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return replica;
}

void
mm_replica_free(MmReplica *replica) {
  Waiter *waiter;

  while ((waiter = g_queue_pop_head(replica->waiters)) != NULL) {
    waiter->on_current(waiter->data, FALSE);
    g_free(waiter);
  }
  g_queue_free(replica->waiters);
  g_hash_table_unref(replica->shards);
  g_hash_table_unref(replica->live_nodes);
  g_clear_pointer(&replica->loaded_keys, g_hash_table_unref);
  g_free(replica->last_loaded_key);
  g_free(replica);
}

static void
put_shard(MmReplica *replica, const char *name, const json_t *value, MmKeyVersion version) {
  MmShard *shard = g_new0(MmShard, 1);

  shard->leader = mm_name(mm_json_string(value, "n"));
  shard->lease_id = mm_json_count(value, "c", 0);
  shard->term.v = mm_json_count(value, "t", 0);
  shard->version = version;
  g_hash_table_replace(replica->shards, g_strdup(name), shard);
}

static void
note_node_gone(MmReplica *replica) {
  replica->node_last_gone_at = mm_node_now(replica->node);
}

static void
put_live_node(MmReplica *replica, const char *label, const json_t *value) {
  MmLiveNode *known = g_hash_table_lookup(replica->live_nodes, label);
  guint64 lease_id = mm_json_count(value, "c", 0);
  MmLiveNode *added;

  if (known != NULL && known->lease_id == lease_id)
    return;
  if (known != NULL)
    note_node_gone(replica);
  added = g_new0(MmLiveNode, 1);
  added->lease_id = lease_id;
  added->seen_since = mm_node_now(replica->node);
  g_hash_table_replace(replica->live_nodes, g_strdup(label), added);
  mm_info("node %s is here with claim %" G_GUINT64_FORMAT, label, lease_id);
}

static void
apply_put(MmReplica *replica, const char *key, json_t *value, MmKeyVersion version) {
  if (strcmp(key, MM_KEY_FORMAT) == 0) {
    mm_format_key_changed(replica->node->format, value);
  } else if (strcmp(key, MM_KEY_TERM) == 0) {
    replica->term.v = MAX(replica->term.v, mm_json_count(value, "t", 0));
    replica->term_version = version;
  } else if (strcmp(key, MM_KEY_INSTANCE_TYPES) == 0) {
    mm_instance_types_load_stored(replica->node->instance_types, value, version);
  } else if (g_str_has_prefix(key, MM_KEY_SHARD)) {
    put_shard(replica, key + strlen(MM_KEY_SHARD), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_LIVE_NODE)) {
    put_live_node(replica, key + strlen(MM_KEY_LIVE_NODE), value);
  } else if (g_str_has_prefix(key, MM_KEY_REGISTRY_PACK)) {
    mm_registry_apply_pack(replica->node->registry, key + strlen(MM_KEY_REGISTRY_PACK), value,
                           version);
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_job_table_put(replica->node->job_table, key + strlen(MM_KEY_JOB), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_NODE_VERSION)) {
    mm_versions_key_changed(replica->node->versions, key + strlen(MM_KEY_NODE_VERSION), value,
                            version);
  } else if (g_str_has_prefix(key, MM_KEY_MACHINE_GROUPS)) {
    mm_sharing_key_changed(replica->node->sharing, key + strlen(MM_KEY_MACHINE_GROUPS), value,
                           version);
  }
}

static void
apply_delete(MmReplica *replica, const char *key) {
  if (strcmp(key, MM_KEY_FORMAT) == 0) {
    mm_format_key_changed(replica->node->format, NULL);
  } else if (g_str_has_prefix(key, MM_KEY_SHARD)) {
    g_hash_table_remove(replica->shards, key + strlen(MM_KEY_SHARD));
  } else if (g_str_has_prefix(key, MM_KEY_LIVE_NODE)) {
    if (g_hash_table_remove(replica->live_nodes, key + strlen(MM_KEY_LIVE_NODE))) {
      note_node_gone(replica);
      mm_info("node %s is gone", key + strlen(MM_KEY_LIVE_NODE));
    }
  } else if (g_str_has_prefix(key, MM_KEY_REGISTRY_PACK)) {
    mm_registry_forget_pack(replica->node->registry, key + strlen(MM_KEY_REGISTRY_PACK));
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_job_table_remove(replica->node->job_table, key + strlen(MM_KEY_JOB));
  } else if (g_str_has_prefix(key, MM_KEY_MACHINE_GROUPS)) {
    mm_sharing_key_changed(replica->node->sharing, key + strlen(MM_KEY_MACHINE_GROUPS), NULL,
                           (MmKeyVersion){ 0 });
  }
}

/* ---- questions that need a current replica ---- */

static void
answer_waiter(MmReplica *replica, GList *link, gboolean is_current) {
  Waiter *waiter = link->data;

  g_queue_delete_link(replica->waiters, link);
  waiter->on_current(waiter->data, is_current);
  g_free(waiter);
}

static void
answer_ready_waiters(MmReplica *replica) {
  MmTime now = mm_node_now(replica->node);
  GList *next;

  for (GList *link = replica->waiters->head; link != NULL; link = next) {
    const Waiter *waiter = link->data;
    next = link->next;
    if (waiter->required_revision != 0 && waiter->required_revision <= replica->revision
        && replica->is_loaded)
      answer_waiter(replica, link, TRUE);
    else if (!mm_time_before(now, waiter->deadline))
      answer_waiter(replica, link, FALSE);
  }
}

static void
on_revision_read(gpointer data, int status, json_t *body) {
  MmReplica *replica = data;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);
  GList *next;

  replica->is_reading_revision = FALSE;
  for (GList *link = replica->waiters->head; link != NULL; link = next) {
    Waiter *waiter = link->data;
    next = link->next;
    if (waiter->revision_read != replica->n_revision_reads || waiter->required_revision != 0)
      continue;
    if (status == 404 && revision != 0)
      waiter->required_revision = revision;
    else if (status == 429)
      waiter->revision_read = 0; /* one more try */
    else
      answer_waiter(replica, link, FALSE);
  }
  answer_ready_waiters(replica);
}

static void
start_revision_read(MmReplica *replica) {
  MmTime now = mm_node_now(replica->node);
  gint64 interval_ms
      = (gint64)(1000 / (replica->node->settings->kv_requests_per_s * REVISION_READ_RATE_SHARE));
  gboolean has_waiters = FALSE;

  if (replica->is_reading_revision || mm_time_before(now, replica->next_revision_read_at))
    return;
  for (GList *link = replica->waiters->head; link != NULL; link = link->next) {
    Waiter *waiter = link->data;
    if (waiter->revision_read != 0)
      continue;
    waiter->revision_read = replica->n_revision_reads + 1;
    has_waiters = TRUE;
  }
  if (!has_waiters)
    return;
  replica->n_revision_reads++;
  replica->is_reading_revision = TRUE;
  replica->next_revision_read_at = mm_time_add_ms(now, interval_ms);
  /* A key that never is: the answer tells the revision. */
  mm_kv_client_get(replica->node->kv, MM_KEY_NEVER_WRITTEN, "", on_revision_read, replica);
}

void
mm_replica_when_current(MmReplica *replica, MmCurrentCallback on_current, gpointer data) {
  Waiter *waiter;

  if (g_queue_get_length(replica->waiters) >= MAX_WAITERS || !replica->is_loaded) {
    on_current(data, FALSE);
    return;
  }
  waiter = g_new0(Waiter, 1);
  waiter->on_current = on_current;
  waiter->data = data;
  waiter->deadline = mm_time_add_ms(mm_node_now(replica->node), CURRENT_TIMEOUT_MS);
  g_queue_push_tail(replica->waiters, waiter);
  start_revision_read(replica);
}

gint64
mm_replica_staleness_us(const MmReplica *replica) {
  if (mm_node_lease_has_proved_outage(replica->node->node_lease))
    return replica->staleness_us;
  return replica->staleness_us + (mm_node_now(replica->node).us - replica->staleness_at.us);
}

void
mm_replica_tick(MmReplica *replica) {
  replica->staleness_us = mm_replica_staleness_us(replica);
  replica->staleness_at = mm_node_now(replica->node);
  if (g_queue_is_empty(replica->waiters))
    return;
  start_revision_read(replica);
  answer_ready_waiters(replica);
}

static void
notify_replica_changed(MmReplica *replica) {
  mm_scheduler_replica_changed(replica->node->scheduler);
  mm_sharing_replica_changed(replica->node->sharing);
  mm_heartbeat_server_replica_changed(replica->node->heartbeat_server);
}

static void
schedule_load(MmReplica *replica) {
  replica->node->platform.call_after(replica->node->platform.context, RETRY_AFTER_MS, start_load,
                                     replica);
}

/* After a reload: what was not met has been deleted meanwhile. */
static void
delete_vanished_keys(MmReplica *replica) {
  g_autoptr(GPtrArray) known_keys = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init(&iter, replica->shards);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_SHARD, key, NULL));
  g_hash_table_iter_init(&iter, replica->live_nodes);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_LIVE_NODE, key, NULL));
  mm_job_table_list_keys(replica->node->job_table, MM_KEY_JOB, known_keys);
  mm_registry_list_keys(replica->node->registry, MM_KEY_REGISTRY_PACK, known_keys);
  g_ptr_array_add(known_keys, g_strdup(MM_KEY_FORMAT));
  if (replica->node->sharing->map != NULL)
    mm_group_map_list_keys(replica->node->sharing->map, MM_KEY_MACHINE_GROUPS, known_keys);
  for (guint i = 0; i < known_keys->len; i++)
    if (!g_hash_table_contains(replica->loaded_keys, g_ptr_array_index(known_keys, i)))
      apply_delete(replica, g_ptr_array_index(known_keys, i));
}

/* Later pages may show a term that is newer than the part map of the first: until the watch has
 * come as far as the newest thing met, nothing is answered from here. */
static void
finish_load_if_caught_up(MmReplica *replica) {
  if (replica->is_loaded || replica->revision < replica->newest_loaded_version)
    return;
  replica->is_loaded = TRUE;
  replica->staleness_at = mm_node_now(replica->node);
  replica->staleness_us = replica->staleness_at.us - replica->load_started_at.us;
  /* Claims may have ended while nothing was seen of them, with answers given up to their end: a
   * node that was cut off as it started once counted machines as lost that another had just
   * answered. */
  note_node_gone(replica);
  if (replica->term_at_start.v == 0)
    replica->term_at_start = replica->term;
  mm_info("replica loaded at revision %" G_GUINT64_FORMAT ", term %" G_GUINT64_FORMAT,
          replica->revision, replica->term.v);
  notify_replica_changed(replica);
}

static void
on_page_loaded(gpointer data, int status, json_t *body) {
  MmReplica *replica = data;
  json_t *items = mm_json_get(body, WIRE_ITEMS);
  size_t i;
  json_t *item;

  if (status != 200 || !json_is_array(items)) {
    schedule_load(replica);
    return;
  }
  /* The first page's revision: the watch from there repeats what later pages may already show. */
  if (replica->first_page_revision == 0)
    replica->first_page_revision = mm_json_count(body, WIRE_REVISION, 0);
  json_array_foreach(items, i, item) {
    const char *key = mm_json_string(item, WIRE_KEY);
    if (key == NULL)
      continue;
    g_hash_table_add(replica->loaded_keys, g_strdup(key));
    replica->newest_loaded_version
        = MAX(replica->newest_loaded_version, mm_json_count(item, WIRE_VERSION, 0));
    apply_put(replica, key, mm_json_get(item, WIRE_VALUE),
              (MmKeyVersion){ mm_json_count(item, WIRE_VERSION, 0) });
    g_free(replica->last_loaded_key);
    replica->last_loaded_key = g_strdup(key);
  }
  mm_format_key_loaded(replica->node->format);
  if (mm_json_flag(body, WIRE_MORE)) {
    mm_kv_client_list(replica->node->kv, MM_KEY_ROOT, replica->last_loaded_key, KEYS_PER_PAGE,
                      on_page_loaded, replica);
    return;
  }
  delete_vanished_keys(replica);
  replica->revision = replica->first_page_revision;
  finish_load_if_caught_up(replica);
  start_watch(replica);
}

static void
start_load(gpointer data) {
  MmReplica *replica = data;

  g_clear_pointer(&replica->loaded_keys, g_hash_table_unref);
  replica->loaded_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_clear_pointer(&replica->last_loaded_key, g_free);
  replica->load_started_at = mm_node_now(replica->node);
  replica->first_page_revision = 0;
  replica->is_loaded = FALSE;
  mm_kv_client_list(replica->node->kv, MM_KEY_ROOT, NULL, KEYS_PER_PAGE, on_page_loaded, replica);
}

typedef struct {
  MmReplica *replica;
  MmTime sent_at;
} WatchRequest;

static void
on_watch_response(gpointer data, int status, json_t *body) {
  WatchRequest *request = data;
  MmReplica *replica = request->replica;
  MmTime sent_at = request->sent_at;
  json_t *events = mm_json_get(body, WIRE_EVENTS);
  size_t i;
  json_t *event;
  gint64 pause_ms;

  g_free(request);
  if (status == 410) {
    mm_info("the watch fell too far behind: reading everything again");
    start_load(replica);
    return;
  }
  if (status != 200 || mm_json_get(body, WIRE_REVISION) == NULL) {
    replica->node->platform.call_after(replica->node->platform.context, RETRY_AFTER_MS, start_watch,
                                       replica);
    return;
  }
  json_array_foreach(events, i, event) {
    const char *put_key = mm_json_string(event, WIRE_PUT);
    const char *deleted_key = mm_json_string(event, WIRE_DELETE);
    if (put_key != NULL)
      apply_put(replica, put_key, mm_json_get(event, WIRE_VALUE),
                (MmKeyVersion){ mm_json_count(event, WIRE_VERSION, 0) });
    else if (deleted_key != NULL)
      apply_delete(replica, deleted_key);
  }
  replica->revision = MAX(replica->revision, mm_json_count(body, WIRE_REVISION, 0));
  replica->fresh_until = mm_time_max(replica->fresh_until, sent_at);
  replica->staleness_at = mm_node_now(replica->node);
  replica->staleness_us = replica->staleness_at.us - sent_at.us;
  finish_load_if_caught_up(replica);
  if (json_array_size(events) > 0 && replica->is_loaded)
    notify_replica_changed(replica);
  answer_ready_waiters(replica);
  /* Changes that come close together are fetched together. */
  pause_ms = json_array_size(events) > 0
                 ? (gint64)(1000 / (replica->node->settings->kv_requests_per_s * WATCH_RATE_SHARE))
                       - mm_time_ms_since(mm_node_now(replica->node), sent_at)
                 : 0;
  if (pause_ms > 0)
    replica->node->platform.call_after(replica->node->platform.context, (guint)pause_ms,
                                       start_watch, replica);
  else
    start_watch(replica);
}

static void
start_watch(gpointer data) {
  MmReplica *replica = data;
  WatchRequest *request = g_new(WatchRequest, 1);

  *request = (WatchRequest){ replica, mm_node_now(replica->node) };
  mm_kv_client_watch(replica->node->kv, MM_KEY_ROOT, replica->revision, WATCH_WAIT_MS,
                     on_watch_response, request);
}

void
mm_replica_start(MmReplica *replica) {
  start_load(replica);
}

const MmShard *
mm_replica_shard(const MmReplica *replica, const char *name) {
  return g_hash_table_lookup(replica->shards, name);
}

static gint
compare_labels(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
mm_replica_live_labels(const MmReplica *replica) {
  GPtrArray *labels = g_ptr_array_new();
  GHashTableIter iter;
  gpointer label;

  g_hash_table_iter_init(&iter, replica->live_nodes);
  while (g_hash_table_iter_next(&iter, &label, NULL))
    g_ptr_array_add(labels, label);
  g_ptr_array_sort(labels, compare_labels);
  return labels;
}
