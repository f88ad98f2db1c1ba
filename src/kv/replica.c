#include "kv/replica.h"

#include "base/json.h"
#include "base/log.h"
#include "base/wire.h"

/* How long the store waits for a change before it answers a watch. Kept short, because every
 * response, with or without changes, shows that the replica is current. */
#define WATCH_WAIT_MS 1500
#define RETRY_AFTER_MS 200
#define KEYS_PER_PAGE 400
/* The fraction of the key-value store's request rate that one node may use for watches. */
#define WATCH_RATE_SHARE 0.1

/* A watch that succeeded less than this long ago is resumed without asking how much has changed. */
#define GAP_CHECK_AFTER_MS 10000
/* The share of the node's memory that the missed changes may take, each as large as a value may be.
 * The response to a watch contains all of them at once, while a load reads page after page. */
#define MISSED_CHANGES_SHARE (1.0 / 8)

static void start_load(gpointer data);
static void start_watch(gpointer data);
static void resume_watch(gpointer data);

typedef struct {
  MmReplicaChanged changed;
  gpointer context;
} ChangeListener;

MmReplica *
mm_replica_new(const MmPlatform *platform, const MmSettings *settings, MmKvClient *kv) {
  MmReplica *replica = g_new0(MmReplica, 1);

  replica->platform = platform;
  replica->settings = settings;
  replica->kv = kv;
  replica->observers = g_array_new(FALSE, FALSE, sizeof(MmReplicaObserver));
  replica->change_listeners = g_array_new(FALSE, FALSE, sizeof(ChangeListener));
  replica->read_barrier = mm_read_barrier_new(replica);
  replica->shards = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  replica->live_nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return replica;
}

void
mm_replica_free(MmReplica *replica) {
  mm_read_barrier_free(replica->read_barrier);
  g_hash_table_unref(replica->shards);
  g_hash_table_unref(replica->live_nodes);
  g_clear_pointer(&replica->loaded_keys, g_hash_table_unref);
  g_free(replica->last_loaded_key);
  g_array_unref(replica->observers);
  g_array_unref(replica->change_listeners);
  g_free(replica);
}

void
mm_replica_add_observer(MmReplica *replica, const MmReplicaObserver *observer) {
  g_array_append_vals(replica->observers, observer, 1);
}

void
mm_replica_add_change_listener(MmReplica *replica, MmReplicaChanged changed, gpointer context) {
  ChangeListener listener = { changed, context };

  g_array_append_val(replica->change_listeners, listener);
}

void
mm_replica_set_outage_proof(MmReplica *replica, gboolean (*has_proved_outage)(gconstpointer),
                            gconstpointer context) {
  replica->has_proved_outage = has_proved_outage;
  replica->has_proved_outage_context = context;
}

static void
put_shard(MmReplica *replica, const char *name, const MmJson *value, MmKeyVersion version) {
  MmShard *shard = g_new(MmShard, 1);

  *shard = mm_record_decode_shard(value);
  shard->version = version;
  g_hash_table_replace(replica->shards, g_strdup(name), shard);
}

static void
record_node_removal(MmReplica *replica) {
  replica->last_node_lease_loss_at = mm_platform_now(replica->platform);
}

static void
put_live_node(MmReplica *replica, const char *label, const MmJson *value) {
  MmLiveNode *known = g_hash_table_lookup(replica->live_nodes, label);
  guint64 lease_id = mm_record_decode_live_node(value);
  MmLiveNode *added;

  if (known != NULL && known->lease_id == lease_id)
    return;
  if (known != NULL)
    record_node_removal(replica);
  added = g_new0(MmLiveNode, 1);
  added->lease_id = lease_id;
  added->first_seen_at = mm_platform_now(replica->platform);
  g_hash_table_replace(replica->live_nodes, g_strdup(label), added);
  mm_info("node joined node=%s lease=%" G_GUINT64_FORMAT, label, lease_id);
}

static void
put_term(MmReplica *replica, const MmJson *value, MmKeyVersion version) {
  replica->term.v = MAX(replica->term.v, mm_record_decode_term(value).v);
  replica->term_version = version;
}

static void
remove_live_node(MmReplica *replica, const char *label) {
  if (!g_hash_table_remove(replica->live_nodes, label))
    return;
  record_node_removal(replica);
  mm_info("node left: its key was removed node=%s", label);
}

static const MmReplicaObserver *
observer_of_key(const MmReplica *replica, const char *key) {
  for (guint i = 0; i < replica->observers->len; i++) {
    const MmReplicaObserver *observer = &g_array_index(replica->observers, MmReplicaObserver, i);
    gboolean is_prefix = g_str_has_suffix(observer->prefix, "/");
    if (is_prefix ? g_str_has_prefix(key, observer->prefix) : strcmp(key, observer->prefix) == 0)
      return observer;
  }
  return NULL;
}

static void
apply_put(MmReplica *replica, const char *key, const MmJson *value, MmKeyVersion version) {
  const MmReplicaObserver *observer = observer_of_key(replica, key);

  if (strcmp(key, MM_KEY_TERM) == 0)
    put_term(replica, value, version);
  else if (g_str_has_prefix(key, MM_KEY_SHARD))
    put_shard(replica, key + strlen(MM_KEY_SHARD), value, version);
  else if (g_str_has_prefix(key, MM_KEY_LIVE_NODE))
    put_live_node(replica, key + strlen(MM_KEY_LIVE_NODE), value);
  else if (observer != NULL && observer->put != NULL)
    observer->put(observer->context, key + strlen(observer->prefix), value, version);
}

static void
apply_delete(MmReplica *replica, const char *key) {
  const MmReplicaObserver *observer = observer_of_key(replica, key);

  if (g_str_has_prefix(key, MM_KEY_SHARD))
    g_hash_table_remove(replica->shards, key + strlen(MM_KEY_SHARD));
  else if (g_str_has_prefix(key, MM_KEY_LIVE_NODE))
    remove_live_node(replica, key + strlen(MM_KEY_LIVE_NODE));
  else if (observer != NULL && observer->removed != NULL)
    observer->removed(observer->context, key + strlen(observer->prefix));
}

gint64
mm_replica_staleness_us(const MmReplica *replica) {
  if (replica->has_proved_outage != NULL
      && replica->has_proved_outage(replica->has_proved_outage_context))
    return replica->staleness_us;
  return replica->staleness_us + (mm_platform_now(replica->platform).us - replica->staleness_at.us);
}

void
mm_replica_tick(MmReplica *replica) {
  replica->staleness_us = mm_replica_staleness_us(replica);
  replica->staleness_at = mm_platform_now(replica->platform);
  mm_read_barrier_tick(replica->read_barrier);
}

static void
notify_replica_changed(MmReplica *replica) {
  for (guint i = 0; i < replica->change_listeners->len; i++) {
    const ChangeListener *listener = &g_array_index(replica->change_listeners, ChangeListener, i);
    listener->changed(listener->context);
  }
}

static void
notify_page_loaded(MmReplica *replica) {
  for (guint i = 0; i < replica->observers->len; i++) {
    const MmReplicaObserver *observer = &g_array_index(replica->observers, MmReplicaObserver, i);
    if (observer->page_loaded != NULL)
      observer->page_loaded(observer->context);
  }
}

static void
schedule_load(MmReplica *replica) {
  mm_platform_call_after(replica->platform, RETRY_AFTER_MS, start_load, replica);
}

/* Removes the keys that were known before a reload but were not read by the reload, because these
 * keys have been deleted in the meantime. */
static void
remove_keys_missing_after_reload(MmReplica *replica) {
  g_autoptr(GPtrArray) known_keys = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init(&iter, replica->shards);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_SHARD, key, NULL));
  g_hash_table_iter_init(&iter, replica->live_nodes);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_LIVE_NODE, key, NULL));
  for (guint i = 0; i < replica->observers->len; i++) {
    const MmReplicaObserver *observer = &g_array_index(replica->observers, MmReplicaObserver, i);
    if (observer->list_keys != NULL)
      observer->list_keys(observer->context, observer->prefix, known_keys);
  }
  for (guint i = 0; i < known_keys->len; i++)
    if (!g_hash_table_contains(replica->loaded_keys, g_ptr_array_index(known_keys, i)))
      apply_delete(replica, g_ptr_array_index(known_keys, i));
}

/* Marks the replica as loaded once the watch has reached the newest version that any page showed.
 * The watch must reach that version because pages are read one after another. A later page may show
 * a term that is newer than the shards on an earlier page. */
static void
finish_load_if_caught_up(MmReplica *replica) {
  if (replica->is_loaded || replica->revision < replica->newest_loaded_version)
    return;
  replica->is_loaded = TRUE;
  replica->staleness_at = mm_platform_now(replica->platform);
  replica->staleness_us = replica->staleness_at.us - replica->load_started_at.us;
  /* Other nodes' leases may have expired without this node seeing it, and those nodes may have
   * answered workers until their leases expired. The completion of the load is therefore recorded
   * like the loss of a lease. Otherwise a node that was cut off while it started would count a
   * machine as lost although another node has answered the machine recently. */
  record_node_removal(replica);
  if (replica->term_at_start.v == 0)
    replica->term_at_start = replica->term;
  mm_info("replica loaded revision=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT,
          replica->revision, replica->term.v);
  notify_replica_changed(replica);
}

static void
apply_page(MmReplica *replica, const MmJson *items) {
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (items, i, item) {
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
}

static void
on_page_loaded(gpointer data, int status, MmJson *body) {
  MmReplica *replica = data;
  const MmJson *items = mm_json_get(body, WIRE_ITEMS);

  if (status != 200 || !mm_json_is_array(items)) {
    schedule_load(replica);
    return;
  }
  /* The watch starts at the first page's revision, so the watch may repeat changes that later pages
   * already contain. */
  if (replica->first_page_revision == 0)
    replica->first_page_revision = mm_json_count(body, WIRE_REVISION, 0);
  apply_page(replica, items);
  notify_page_loaded(replica);
  if (mm_json_flag(body, WIRE_MORE)) {
    mm_kv_client_list(replica->kv, MM_KEY_ROOT, replica->last_loaded_key, KEYS_PER_PAGE,
                      on_page_loaded, replica);
    return;
  }
  remove_keys_missing_after_reload(replica);
  g_clear_pointer(&replica->loaded_keys, g_hash_table_unref);
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
  replica->load_started_at = mm_platform_now(replica->platform);
  replica->first_page_revision = 0;
  replica->is_loaded = FALSE;
  mm_kv_client_list(replica->kv, MM_KEY_ROOT, NULL, KEYS_PER_PAGE, on_page_loaded, replica);
}

typedef struct {
  MmReplica *replica;
  MmTime sent_at;
} WatchRequest;

static void
apply_events(MmReplica *replica, const MmJson *events) {
  size_t i;
  MmJson *event;

  MM_JSON_ARRAY_FOREACH (events, i, event) {
    const char *put_key = mm_json_string(event, WIRE_PUT);
    const char *deleted_key = mm_json_string(event, WIRE_DELETE);
    if (put_key != NULL)
      apply_put(replica, put_key, mm_json_get(event, WIRE_VALUE),
                (MmKeyVersion){ mm_json_count(event, WIRE_VERSION, 0) });
    else if (deleted_key != NULL)
      apply_delete(replica, deleted_key);
  }
}

/* Starts the next watch. After a response with events, the watch is delayed to limit the request
 * rate. Changes in quick succession then arrive in one response. */
static void
start_next_watch(MmReplica *replica, MmTime sent_at, gboolean had_events) {
  double min_interval_ms = 1000 / (replica->settings->kv_requests_per_s * WATCH_RATE_SHARE);
  gint64 pause_ms
      = (gint64)min_interval_ms - mm_time_ms_since(mm_platform_now(replica->platform), sent_at);

  if (had_events && pause_ms > 0)
    mm_platform_call_after(replica->platform, (guint)pause_ms, start_watch, replica);
  else
    start_watch(replica);
}

static void
on_watch_response(gpointer data, int status, MmJson *body) {
  WatchRequest *request = data;
  MmReplica *replica = request->replica;
  MmTime sent_at = request->sent_at;
  MmJson *events = mm_json_get(body, WIRE_EVENTS);

  g_free(request);
  if (status == 410) {
    mm_info("replica reloading: watch revision no longer available revision=%" G_GUINT64_FORMAT,
            replica->revision);
    start_load(replica);
    return;
  }
  if (status != 200 || mm_json_get(body, WIRE_REVISION) == NULL) {
    mm_platform_call_after(replica->platform, RETRY_AFTER_MS, resume_watch, replica);
    return;
  }
  apply_events(replica, events);
  replica->revision = MAX(replica->revision, mm_json_count(body, WIRE_REVISION, 0));
  replica->current_as_of = mm_time_max(replica->current_as_of, sent_at);
  replica->staleness_at = mm_platform_now(replica->platform);
  replica->staleness_us = replica->staleness_at.us - sent_at.us;
  finish_load_if_caught_up(replica);
  if (mm_json_array_size(events) > 0 && replica->is_loaded)
    notify_replica_changed(replica);
  mm_read_barrier_replica_advanced(replica->read_barrier);
  start_next_watch(replica, sent_at, mm_json_array_size(events) > 0);
}

static void
start_watch(gpointer data) {
  MmReplica *replica = data;
  WatchRequest *request = g_new(WatchRequest, 1);

  *request = (WatchRequest){ replica, mm_platform_now(replica->platform) };
  mm_kv_client_watch(replica->kv, MM_KEY_ROOT, replica->revision, WATCH_WAIT_MS, on_watch_response,
                     request);
}

static guint64
max_missed_changes(const MmReplica *replica) {
  return mm_settings_memory_bytes(replica->settings, MISSED_CHANGES_SHARE)
         / replica->settings->kv_max_value_bytes;
}

static void
on_gap_read(gpointer data, int status, MmJson *body) {
  MmReplica *replica = data;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);

  if (status != 404 || revision == 0) {
    mm_platform_call_after(replica->platform, RETRY_AFTER_MS, resume_watch, replica);
    return;
  }
  if (revision <= replica->revision + max_missed_changes(replica)) {
    start_watch(replica);
    return;
  }
  mm_info("replica reloading: too many changes missed revision=%" G_GUINT64_FORMAT
          " store_revision=%" G_GUINT64_FORMAT,
          replica->revision, revision);
  start_load(replica);
}

/* Starts a watch after a failed one. If the replica has not been current for some time, first reads
 * the store's revision, and loads the replica anew if too much has changed. */
static void
resume_watch(gpointer data) {
  MmReplica *replica = data;
  MmTime now = mm_platform_now(replica->platform);

  if (mm_time_ms_since(now, replica->current_as_of) < GAP_CHECK_AFTER_MS)
    start_watch(replica);
  else
    mm_kv_client_get(replica->kv, MM_KEY_NEVER_WRITTEN, "", on_gap_read, replica);
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

void
mm_replica_when_current(MmReplica *replica, MmCurrentCallback on_current, gpointer data) {
  mm_read_barrier_wait(replica->read_barrier, on_current, data);
}
