#include "store/replica.h"

#include "base/wire.h"
#include "checkin/checkin.h"
#include "checkin/roster.h"
#include "fleet/types.h"
#include "jobs/book.h"
#include "owner/owner.h"
#include "store/store.h"

/* Short, so that a returning watch keeps proving that the replica is fresh. */
#define WATCH_MS 1500
#define RETRY_MS 200
#define PAGE 400

static void load(gpointer data);
static void watch(gpointer data);

MmReplica *
mm_replica_new(MmNode *node) {
  MmReplica *replica = g_new0(MmReplica, 1);

  replica->node = node;
  replica->parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  replica->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return replica;
}

void
mm_replica_free(MmReplica *replica) {
  g_hash_table_unref(replica->parts);
  g_hash_table_unref(replica->nodes);
  g_clear_pointer(&replica->seen, g_hash_table_unref);
  g_free(replica->after);
  g_free(replica);
}

static void
put_part(MmReplica *replica, const char *name, const json_t *value, MmMark mark) {
  MmPart *part = g_new0(MmPart, 1);

  part->holder = mm_name(mm_json_string(value, "n"));
  part->claim = mm_json_count(value, "c", 0);
  part->term.v = mm_json_count(value, "t", 0);
  part->mark = mark;
  g_hash_table_replace(replica->parts, g_strdup(name), part);
}

static void
node_gone(MmReplica *replica) {
  replica->node_gone = mm_node_now(replica->node);
}

static void
put_node(MmReplica *replica, const char *label, const json_t *value) {
  MmNodeClaim *old = g_hash_table_lookup(replica->nodes, label);
  guint64 claim = mm_json_count(value, "c", 0);
  MmNodeClaim *new;

  if (old != NULL && old->claim == claim)
    return;
  if (old != NULL)
    node_gone(replica);
  new = g_new0(MmNodeClaim, 1);
  new->claim = claim;
  new->since = mm_node_now(replica->node);
  g_hash_table_replace(replica->nodes, g_strdup(label), new);
  mm_info("node %s is here with claim %" G_GUINT64_FORMAT, label, claim);
}

static void
apply_put(MmReplica *replica, const char *key, json_t *value, MmMark mark) {
  if (strcmp(key, MM_KEY_TERM) == 0) {
    replica->term.v = MAX(replica->term.v, mm_json_count(value, "t", 0));
    replica->term_mark = mark;
  } else if (strcmp(key, MM_KEY_TYPES) == 0) {
    mm_types_stored(replica->node->types, value);
  } else if (g_str_has_prefix(key, MM_KEY_PART)) {
    put_part(replica, key + strlen(MM_KEY_PART), value, mark);
  } else if (g_str_has_prefix(key, MM_KEY_NODE)) {
    put_node(replica, key + strlen(MM_KEY_NODE), value);
  } else if (g_str_has_prefix(key, MM_KEY_MACHINE)) {
    mm_roster_registered(replica->node->roster, key + strlen(MM_KEY_MACHINE), value, mark);
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_book_put(replica->node->book, key + strlen(MM_KEY_JOB), value, mark);
  }
}

static void
apply_delete(MmReplica *replica, const char *key) {
  if (g_str_has_prefix(key, MM_KEY_PART)) {
    g_hash_table_remove(replica->parts, key + strlen(MM_KEY_PART));
  } else if (g_str_has_prefix(key, MM_KEY_NODE)) {
    if (g_hash_table_remove(replica->nodes, key + strlen(MM_KEY_NODE))) {
      node_gone(replica);
      mm_info("node %s is gone", key + strlen(MM_KEY_NODE));
    }
  } else if (g_str_has_prefix(key, MM_KEY_MACHINE)) {
    mm_roster_unregistered(replica->node->roster, key + strlen(MM_KEY_MACHINE));
  } else if (g_str_has_prefix(key, MM_KEY_JOB)) {
    mm_book_remove(replica->node->book, key + strlen(MM_KEY_JOB));
  }
}

static void
changed(MmReplica *replica) {
  mm_owner_replica_changed(replica->node->owner);
  mm_checkin_replica_changed(replica->node->checkin);
}

static void
retry_load(MmReplica *replica) {
  replica->node->port.later(replica->node->port.self, RETRY_MS, load, replica);
}

/* After a reload: what was not met has been deleted meanwhile. */
static void
forget_unmet(MmReplica *replica) {
  g_autoptr(GPtrArray) gone = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init(&iter, replica->parts);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(gone, g_strconcat(MM_KEY_PART, key, NULL));
  g_hash_table_iter_init(&iter, replica->nodes);
  while (g_hash_table_iter_next(&iter, &key, NULL))
    g_ptr_array_add(gone, g_strconcat(MM_KEY_NODE, key, NULL));
  mm_book_list_keys(replica->node->book, MM_KEY_JOB, gone);
  mm_roster_list_keys(replica->node->roster, MM_KEY_MACHINE, gone);
  for (guint i = 0; i < gone->len; i++)
    if (!g_hash_table_contains(replica->seen, g_ptr_array_index(gone, i)))
      apply_delete(replica, g_ptr_array_index(gone, i));
}

static void
page_loaded(gpointer data, int status, json_t *body) {
  MmReplica *replica = data;
  json_t *items = mm_json_get(body, W_ITEMS);
  size_t i;
  json_t *item;

  if (status != 200 || !json_is_array(items)) {
    retry_load(replica);
    return;
  }
  /* The first page's revision: the watch from there repeats what later pages may already show. */
  if (replica->loading_epoch == 0)
    replica->loading_epoch = mm_json_count(body, W_REVISION, 0);
  json_array_foreach(items, i, item) {
    const char *key = mm_json_string(item, W_KEY);
    if (key == NULL)
      continue;
    g_hash_table_add(replica->seen, g_strdup(key));
    apply_put(replica, key, mm_json_get(item, W_VALUE),
              (MmMark){ mm_json_count(item, W_VERSION, 0) });
    g_free(replica->after);
    replica->after = g_strdup(key);
  }
  if (mm_json_flag(body, W_MORE)) {
    mm_store_list(replica->node->store, MM_KEY_ROOT, replica->after, PAGE, page_loaded, replica);
    return;
  }
  forget_unmet(replica);
  replica->epoch = replica->loading_epoch;
  replica->loaded = TRUE;
  mm_info("replica loaded at revision %" G_GUINT64_FORMAT ", term %" G_GUINT64_FORMAT,
          replica->epoch, replica->term.v);
  changed(replica);
  watch(replica);
}

static void
load(gpointer data) {
  MmReplica *replica = data;

  g_clear_pointer(&replica->seen, g_hash_table_unref);
  replica->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_clear_pointer(&replica->after, g_free);
  replica->loading_epoch = 0;
  mm_store_list(replica->node->store, MM_KEY_ROOT, NULL, PAGE, page_loaded, replica);
}

typedef struct {
  MmReplica *replica;
  MmTime sent;
} Watch;

static void
watched(gpointer data, int status, json_t *body) {
  Watch *w = data;
  MmReplica *replica = w->replica;
  MmTime sent = w->sent;
  json_t *events = mm_json_get(body, W_EVENTS);
  size_t i;
  json_t *event;

  g_free(w);
  if (status == 410) {
    mm_info("the watch fell too far behind: reading everything again");
    load(replica);
    return;
  }
  if (status != 200 || mm_json_get(body, W_REVISION) == NULL) {
    replica->node->port.later(replica->node->port.self, RETRY_MS, watch, replica);
    return;
  }
  json_array_foreach(events, i, event) {
    const char *put = mm_json_string(event, W_PUT);
    const char *gone = mm_json_string(event, W_DELETE);
    if (put != NULL)
      apply_put(replica, put, mm_json_get(event, W_VALUE),
                (MmMark){ mm_json_count(event, W_VERSION, 0) });
    else if (gone != NULL)
      apply_delete(replica, gone);
  }
  replica->epoch = MAX(replica->epoch, mm_json_count(body, W_REVISION, 0));
  replica->fresh = mm_time_max(replica->fresh, sent);
  if (json_array_size(events) > 0)
    changed(replica);
  watch(replica);
}

static void
watch(gpointer data) {
  MmReplica *replica = data;
  Watch *w = g_new(Watch, 1);

  *w = (Watch){ replica, mm_node_now(replica->node) };
  mm_store_watch(replica->node->store, MM_KEY_ROOT, replica->epoch, WATCH_MS, watched, w);
}

void
mm_replica_start(MmReplica *replica) {
  load(replica);
}

const MmPart *
mm_replica_part(const MmReplica *replica, const char *name) {
  return g_hash_table_lookup(replica->parts, name);
}

static gint
compare_labels(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
mm_replica_live(const MmReplica *replica) {
  GPtrArray *live = g_ptr_array_new();
  GHashTableIter iter;
  gpointer label;

  g_hash_table_iter_init(&iter, replica->nodes);
  while (g_hash_table_iter_next(&iter, &label, NULL))
    g_ptr_array_add(live, label);
  g_ptr_array_sort(live, compare_labels);
  return live;
}
