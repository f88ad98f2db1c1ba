#include "store/replica.h"

#include "base/wire.h"
#include "checkin/checkin.h"
#include "checkin/registry.h"
#include "fleet/types.h"
#include "jobs/job-table.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "sharing/sharing.h"
#include "store/store.h"
#include "upgrade/format.h"
#include "upgrade/versions.h"

/* Short, so that a returning watch keeps proving that the replica is fresh. */
#define WATCH_MS 1500
#define RETRY_MS 200
#define PAGE 400
/* Of the state service's requests, the share that one node's watches, and its reads of the
 * revision, may take. */
#define WATCH_SHARE 0.1
#define READ_SHARE 0.05
#define CURRENT_MS 1500
#define WAITERS_MAX 512

typedef struct {
  MmCurrent call;
  gpointer data;
  MmTime deadline;
  guint64 read;     /* which read of the revision answers for it; 0: none yet */
  guint64 revision; /* what the replica must have reached; 0: not known yet */
} Waiter;

static void load(gpointer data);
static void watch(gpointer data);

MmReplica *
mm_replica_new(MmNode *node) {
  MmReplica *replica = g_new0(MmReplica, 1);

  replica->node = node;
  replica->waiters = g_queue_new();
  replica->parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  replica->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return replica;
}

void
mm_replica_free(MmReplica *replica) {
  Waiter *waiter;

  while ((waiter = g_queue_pop_head(replica->waiters)) != NULL) {
    waiter->call(waiter->data, FALSE);
    g_free(waiter);
  }
  g_queue_free(replica->waiters);
  g_hash_table_unref(replica->parts);
  g_hash_table_unref(replica->nodes);
  g_clear_pointer(&replica->seen, g_hash_table_unref);
  g_free(replica->after);
  g_free(replica);
}

static void
put_part(MmReplica *replica, const char *name, const json_t *value, MmKeyVersion version) {
  MmShard *shard = g_new0(MmShard, 1);

  shard->holder = mm_name(mm_json_string(value, "n"));
  shard->claim = mm_json_count(value, "c", 0);
  shard->term.v = mm_json_count(value, "t", 0);
  shard->version = version;
  g_hash_table_replace(replica->parts, g_strdup(name), shard);
}

static void
node_gone(MmReplica *replica) {
  replica->node_gone = mm_node_now(replica->node);
}

static void
put_node(MmReplica *replica, const char *label, const json_t *value) {
  MmNodeClaim *known = g_hash_table_lookup(replica->nodes, label);
  guint64 lease_id = mm_json_count(value, "c", 0);
  MmNodeClaim *added;

  if (known != NULL && known->claim == lease_id)
    return;
  if (known != NULL)
    node_gone(replica);
  added = g_new0(MmNodeClaim, 1);
  added->claim = lease_id;
  added->since = mm_node_now(replica->node);
  g_hash_table_replace(replica->nodes, g_strdup(label), added);
  mm_info("node %s is here with claim %" G_GUINT64_FORMAT, label, lease_id);
}

static void
apply_put(MmReplica *replica, const char *key, json_t *value, MmKeyVersion version) {
  if (strcmp(key, MM_KEY_FORMAT) == 0) {
    mm_format_seen(replica->node->format, value);
  } else if (strcmp(key, MM_KEY_TERM) == 0) {
    replica->term.v = MAX(replica->term.v, mm_json_count(value, "t", 0));
    replica->term_version = version;
  } else if (strcmp(key, MM_KEY_TYPES) == 0) {
    mm_types_stored(replica->node->types, value, version);
  } else if (g_str_has_prefix(key, MM_KEY_SHARD)) {
    put_part(replica, key + strlen(MM_KEY_SHARD), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_NODE)) {
    put_node(replica, key + strlen(MM_KEY_NODE), value);
  } else if (g_str_has_prefix(key, MM_KEY_PACK)) {
    mm_registry_put(replica->node->registry, key + strlen(MM_KEY_PACK), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_job_table_put(replica->node->job_table, key + strlen(MM_KEY_JOB), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_VERSION)) {
    mm_versions_seen(replica->node->versions, key + strlen(MM_KEY_VERSION), value, version);
  } else if (g_str_has_prefix(key, MM_KEY_GROUPS)) {
    mm_sharing_key_changed(replica->node->sharing, key + strlen(MM_KEY_GROUPS), value, version);
  }
}

static void
apply_delete(MmReplica *replica, const char *key) {
  if (strcmp(key, MM_KEY_FORMAT) == 0) {
    mm_format_seen(replica->node->format, NULL);
  } else if (g_str_has_prefix(key, MM_KEY_SHARD)) {
    g_hash_table_remove(replica->parts, key + strlen(MM_KEY_SHARD));
  } else if (g_str_has_prefix(key, MM_KEY_NODE)) {
    if (g_hash_table_remove(replica->nodes, key + strlen(MM_KEY_NODE))) {
      node_gone(replica);
      mm_info("node %s is gone", key + strlen(MM_KEY_NODE));
    }
  } else if (g_str_has_prefix(key, MM_KEY_PACK)) {
    mm_registry_remove(replica->node->registry, key + strlen(MM_KEY_PACK));
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_job_table_remove(replica->node->job_table, key + strlen(MM_KEY_JOB));
  } else if (g_str_has_prefix(key, MM_KEY_GROUPS)) {
    mm_sharing_key_changed(replica->node->sharing, key + strlen(MM_KEY_GROUPS), NULL,
                           (MmKeyVersion){ 0 });
  }
}

/* ---- questions that need a current replica ---- */

static void
let_go(MmReplica *replica, GList *link, gboolean is_current) {
  Waiter *waiter = link->data;

  g_queue_delete_link(replica->waiters, link);
  waiter->call(waiter->data, is_current);
  g_free(waiter);
}

static void
answer_waiters(MmReplica *replica) {
  MmTime now = mm_node_now(replica->node);
  GList *next;

  for (GList *link = replica->waiters->head; link != NULL; link = next) {
    const Waiter *waiter = link->data;
    next = link->next;
    if (waiter->revision != 0 && waiter->revision <= replica->revision && replica->loaded)
      let_go(replica, link, TRUE);
    else if (!mm_time_before(now, waiter->deadline))
      let_go(replica, link, FALSE);
  }
}

static void
revision_read(gpointer data, int status, json_t *body) {
  MmReplica *replica = data;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);
  GList *next;

  replica->reading = FALSE;
  for (GList *link = replica->waiters->head; link != NULL; link = next) {
    Waiter *waiter = link->data;
    next = link->next;
    if (waiter->read != replica->reads || waiter->revision != 0)
      continue;
    if (status == 404 && revision != 0)
      waiter->revision = revision;
    else if (status == 429)
      waiter->read = 0; /* one more try */
    else
      let_go(replica, link, FALSE);
  }
  answer_waiters(replica);
}

static void
read_revision(MmReplica *replica) {
  MmTime now = mm_node_now(replica->node);
  gint64 interval_ms = (gint64)(1000 / (replica->node->settings->state_rps * READ_SHARE));
  gboolean has_waiters = FALSE;

  if (replica->reading || mm_time_before(now, replica->next_read))
    return;
  for (GList *link = replica->waiters->head; link != NULL; link = link->next) {
    Waiter *waiter = link->data;
    if (waiter->read != 0)
      continue;
    waiter->read = replica->reads + 1;
    has_waiters = TRUE;
  }
  if (!has_waiters)
    return;
  replica->reads++;
  replica->reading = TRUE;
  replica->next_read = mm_time_add_ms(now, interval_ms);
  /* A key that never is: the answer tells the revision. */
  mm_store_get(replica->node->store, MM_KEY_NONE, "", revision_read, replica);
}

void
mm_replica_when_current(MmReplica *replica, MmCurrent on_current, gpointer data) {
  Waiter *waiter;

  if (g_queue_get_length(replica->waiters) >= WAITERS_MAX || !replica->loaded) {
    on_current(data, FALSE);
    return;
  }
  waiter = g_new0(Waiter, 1);
  waiter->call = on_current;
  waiter->data = data;
  waiter->deadline = mm_time_add_ms(mm_node_now(replica->node), CURRENT_MS);
  g_queue_push_tail(replica->waiters, waiter);
  read_revision(replica);
}

gint64
mm_replica_staleness_us(const MmReplica *replica) {
  if (mm_claims_outage(replica->node->claims))
    return replica->stale_us;
  return replica->stale_us + (mm_node_now(replica->node).us - replica->ticked.us);
}

void
mm_replica_tick(MmReplica *replica) {
  replica->stale_us = mm_replica_staleness_us(replica);
  replica->ticked = mm_node_now(replica->node);
  if (g_queue_is_empty(replica->waiters))
    return;
  read_revision(replica);
  answer_waiters(replica);
}

static void
changed(MmReplica *replica) {
  mm_owner_replica_changed(replica->node->owner);
  mm_sharing_replica_changed(replica->node->sharing);
  mm_checkin_replica_changed(replica->node->checkin);
}

static void
retry_load(MmReplica *replica) {
  replica->node->port.later(replica->node->port.self, RETRY_MS, load, replica);
}

/* After a reload: what was not met has been deleted meanwhile. */
static void
forget_unmet(MmReplica *replica) {
  g_autoptr(GPtrArray) known_keys = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init(&iter, replica->parts);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_SHARD, key, NULL));
  g_hash_table_iter_init(&iter, replica->nodes);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(known_keys, g_strconcat(MM_KEY_NODE, key, NULL));
  mm_job_table_list_keys(replica->node->job_table, MM_KEY_JOB, known_keys);
  mm_registry_list_keys(replica->node->registry, MM_KEY_PACK, known_keys);
  g_ptr_array_add(known_keys, g_strdup(MM_KEY_FORMAT));
  if (replica->node->sharing->map != NULL)
    mm_group_map_list_keys(replica->node->sharing->map, MM_KEY_GROUPS, known_keys);
  for (guint i = 0; i < known_keys->len; i++)
    if (!g_hash_table_contains(replica->seen, g_ptr_array_index(known_keys, i)))
      apply_delete(replica, g_ptr_array_index(known_keys, i));
}

/* Later pages may show a term that is newer than the part map of the first: until the watch has
 * come as far as the newest thing met, nothing is answered from here. */
static void
check_whole(MmReplica *replica) {
  if (replica->loaded || replica->revision < replica->newest_version)
    return;
  replica->loaded = TRUE;
  replica->ticked = mm_node_now(replica->node);
  replica->stale_us = replica->ticked.us - replica->loading.us;
  /* Claims may have ended while nothing was seen of them, with answers given up to their end: a
   * node that was cut off as it started once counted machines as lost that another had just
   * answered. */
  node_gone(replica);
  if (replica->first_term.v == 0)
    replica->first_term = replica->term;
  mm_info("replica loaded at revision %" G_GUINT64_FORMAT ", term %" G_GUINT64_FORMAT,
          replica->revision, replica->term.v);
  changed(replica);
}

static void
page_loaded(gpointer data, int status, json_t *body) {
  MmReplica *replica = data;
  json_t *items = mm_json_get(body, WIRE_ITEMS);
  size_t i;
  json_t *item;

  if (status != 200 || !json_is_array(items)) {
    retry_load(replica);
    return;
  }
  /* The first page's revision: the watch from there repeats what later pages may already show. */
  if (replica->loading_revision == 0)
    replica->loading_revision = mm_json_count(body, WIRE_REVISION, 0);
  json_array_foreach(items, i, item) {
    const char *key = mm_json_string(item, WIRE_KEY);
    if (key == NULL)
      continue;
    g_hash_table_add(replica->seen, g_strdup(key));
    replica->newest_version = MAX(replica->newest_version, mm_json_count(item, WIRE_VERSION, 0));
    apply_put(replica, key, mm_json_get(item, WIRE_VALUE),
              (MmKeyVersion){ mm_json_count(item, WIRE_VERSION, 0) });
    g_free(replica->after);
    replica->after = g_strdup(key);
  }
  mm_format_loaded(replica->node->format);
  if (mm_json_flag(body, WIRE_MORE)) {
    mm_store_list(replica->node->store, MM_KEY_ROOT, replica->after, PAGE, page_loaded, replica);
    return;
  }
  forget_unmet(replica);
  replica->revision = replica->loading_revision;
  check_whole(replica);
  watch(replica);
}

static void
load(gpointer data) {
  MmReplica *replica = data;

  g_clear_pointer(&replica->seen, g_hash_table_unref);
  replica->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_clear_pointer(&replica->after, g_free);
  replica->loading = mm_node_now(replica->node);
  replica->loading_revision = 0;
  replica->loaded = FALSE;
  mm_store_list(replica->node->store, MM_KEY_ROOT, NULL, PAGE, page_loaded, replica);
}

typedef struct {
  MmReplica *replica;
  MmTime sent;
} Watch;

static void
watched(gpointer data, int status, json_t *body) {
  Watch *request = data;
  MmReplica *replica = request->replica;
  MmTime sent_at = request->sent;
  json_t *events = mm_json_get(body, WIRE_EVENTS);
  size_t i;
  json_t *event;
  gint64 pause_ms;

  g_free(request);
  if (status == 410) {
    mm_info("the watch fell too far behind: reading everything again");
    load(replica);
    return;
  }
  if (status != 200 || mm_json_get(body, WIRE_REVISION) == NULL) {
    replica->node->port.later(replica->node->port.self, RETRY_MS, watch, replica);
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
  replica->fresh = mm_time_max(replica->fresh, sent_at);
  replica->ticked = mm_node_now(replica->node);
  replica->stale_us = replica->ticked.us - sent_at.us;
  check_whole(replica);
  if (json_array_size(events) > 0 && replica->loaded)
    changed(replica);
  answer_waiters(replica);
  /* Changes that come close together are fetched together. */
  pause_ms = json_array_size(events) > 0
                 ? (gint64)(1000 / (replica->node->settings->state_rps * WATCH_SHARE))
                       - mm_time_ms_since(mm_node_now(replica->node), sent_at)
                 : 0;
  if (pause_ms > 0)
    replica->node->port.later(replica->node->port.self, (guint)pause_ms, watch, replica);
  else
    watch(replica);
}

static void
watch(gpointer data) {
  MmReplica *replica = data;
  Watch *request = g_new(Watch, 1);

  *request = (Watch){ replica, mm_node_now(replica->node) };
  mm_store_watch(replica->node->store, MM_KEY_ROOT, replica->revision, WATCH_MS, watched, request);
}

void
mm_replica_start(MmReplica *replica) {
  load(replica);
}

const MmShard *
mm_replica_shard(const MmReplica *replica, const char *name) {
  return g_hash_table_lookup(replica->parts, name);
}

static gint
compare_labels(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
mm_replica_live(const MmReplica *replica) {
  GPtrArray *labels = g_ptr_array_new();
  GHashTableIter iter;
  gpointer label;

  g_hash_table_iter_init(&iter, replica->nodes);
  while (g_hash_table_iter_next(&iter, &label, NULL))
    g_ptr_array_add(labels, label);
  g_ptr_array_sort(labels, compare_labels);
  return labels;
}
