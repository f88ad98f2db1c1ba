/* The simulated key-value store: versioned keys, transactions and leases. */
#include "world/internal.h"

#include <stdlib.h>

#include "base/wire.h"

/* Page size of key listings. The size is small so that nodes have to read several pages. */
#define KEYS_PER_PAGE 7

static void
key_free(gpointer data) {
  mm_json_unref(((WorldKey *)data)->value);
  g_free(data);
}

static gint
compare_paths(gconstpointer a, gconstpointer b, gpointer data) {
  return strcmp(a, b);
}

static void expire_leases(gpointer data);

void
world_kv_init(World *world) {
  world->keys = g_tree_new_full(compare_paths, NULL, g_free, key_free);
  world->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  world_kv_watches_init(world);
  world_schedule(world, world->now_us, expire_leases, world);
}

void
world_kv_free(World *world) {
  world_kv_watches_free(world);
  g_tree_unref(world->keys);
  g_hash_table_unref(world->leases);
}

static void
delete_key(World *world, const char *path) {
  if (g_tree_remove(world->keys, path))
    world_kv_record_change(world, path, mm_json_pack("{s:s}", WIRE_DELETE, path));
}

static void
put_key(World *world, const char *path, MmJson *value, guint64 lease_id) {
  WorldKey *key = g_new(WorldKey, 1);

  *key = (WorldKey){ mm_json_ref(value), world->revision, lease_id };
  g_tree_replace(world->keys, g_strdup(path), key);
  world_kv_record_change(world, path,
                         mm_json_pack("{s:s, s:O}", WIRE_PUT, path, WIRE_VALUE, value));
}

/* Paths of the keys attached to a lease, as collected by collect_leased_key. */
typedef struct {
  GPtrArray *paths;
  guint64 lease_id;
} LeasedKeys;

static gboolean
collect_leased_key(gpointer path, gpointer value, gpointer data) {
  LeasedKeys *leased_keys = data;

  if (((WorldKey *)value)->lease_id == leased_keys->lease_id)
    g_ptr_array_add(leased_keys->paths, g_strdup(path));
  return FALSE;
}

static void
end_lease(World *world, guint64 id) {
  LeasedKeys leased_keys = { g_ptr_array_new_with_free_func(g_free), id };

  g_tree_foreach(world->keys, collect_leased_key, &leased_keys);
  if (leased_keys.paths->len > 0)
    world->revision++;
  for (guint i = 0; i < leased_keys.paths->len; i++)
    delete_key(world, g_ptr_array_index(leased_keys.paths, i));
  g_ptr_array_unref(leased_keys.paths);
  g_hash_table_remove(world->leases, &id);
}

static void
expire_leases(gpointer data) {
  World *world = data;
  GHashTableIter iter;
  gpointer value;
  g_autoptr(GArray) ended = g_array_new(FALSE, FALSE, sizeof(guint64));

  if (world->now_us >= world->outage_until_us) {
    g_hash_table_iter_init(&iter, world->leases);
    while (g_hash_table_iter_next(&iter, NULL, &value))
      if (world->now_us >= ((WorldLease *)value)->expires_at_us)
        g_array_append_val(ended, ((WorldLease *)value)->id);
    for (guint i = 0; i < ended->len; i++)
      end_lease(world, g_array_index(ended, guint64, i));
    world_kv_answer_watches(world);
  }
  world_schedule(world, world->now_us + 20000, expire_leases, world);
}

static void
on_outage_ended(gpointer data) {
  World *world = data;
  GHashTableIter iter;
  gpointer value;

  /* Leases do not expire during an outage. When the outage ends, each lease has its full time to
   * live. */
  g_hash_table_iter_init(&iter, world->leases);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    ((WorldLease *)value)->expires_at_us = world->now_us + ((WorldLease *)value)->ttl_us;
}

void
world_kv_outage(World *world, double seconds) {
  world->outage_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_schedule(world, world->outage_until_us, on_outage_ended, world);
}

/* Returns whether the rate limit allows this many changes. The limit is a token bucket that holds
 * the writes of one second. If the changes are allowed, their tokens are taken from the bucket. */
static gboolean
is_within_write_rate(World *world, gsize n_changes) {
  double max_rps = world->write_rps;

  if (max_rps <= 0)
    return TRUE;
  world->write_tokens
      = MIN(max_rps,
            world->write_tokens
                + max_rps * (double)(world->now_us - world->write_tokens_at_us) / G_USEC_PER_SEC);
  world->write_tokens_at_us = world->now_us;
  if (world->write_tokens < (double)n_changes) {
    world->n_rate_limited++;
    return FALSE;
  }
  world->write_tokens -= (double)n_changes;
  return TRUE;
}

static gboolean
is_too_large(const World *world, const MmJson *conditions, const MmJson *changes) {
  size_t i;
  MmJson *item;

  if (mm_json_array_size(changes) > world->txn_ops
      || mm_json_array_size(conditions) > 4 * world->txn_ops)
    return TRUE;
  MM_JSON_ARRAY_FOREACH (changes, i, item)
    if (mm_json_text_length(mm_json_get(item, WIRE_VALUE)) > world->value_bytes)
      return TRUE;
  return FALSE;
}

/* Returns the keys whose versions differ from the versions in the conditions. The caller owns the
 * list. */
static MmJson *
failed_conditions(const World *world, const MmJson *conditions) {
  MmJson *failed = mm_json_new_array();
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (conditions, i, item) {
    const char *path = mm_json_string(item, WIRE_KEY);
    const WorldKey *key = g_tree_lookup(world->keys, path);
    if ((key != NULL ? key->version : 0) != mm_json_count(item, WIRE_VERSION, 0))
      mm_json_array_append(failed, mm_json_new_string(path));
  }
  return failed;
}

static gboolean
all_leases_exist(const World *world, const MmJson *changes) {
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (changes, i, item) {
    guint64 lease_id = mm_json_count(item, WIRE_LEASE, 0);
    if (lease_id != 0 && g_hash_table_lookup(world->leases, &lease_id) == NULL)
      return FALSE;
  }
  return TRUE;
}

static void
apply_changes(World *world, const MmJson *changes) {
  size_t i;
  MmJson *item;

  if (mm_json_array_size(changes) > 0)
    world->revision++;
  MM_JSON_ARRAY_FOREACH (changes, i, item) {
    world->n_writes++;
    if (mm_json_string(item, WIRE_PUT) != NULL)
      put_key(world, mm_json_string(item, WIRE_PUT), mm_json_get(item, WIRE_VALUE),
              mm_json_count(item, WIRE_LEASE, 0));
    else
      delete_key(world, mm_json_string(item, WIRE_DELETE));
  }
}

static int
commit_transaction(World *world, const MmJson *body, MmJson **response) {
  const MmJson *conditions = mm_json_get(body, WIRE_CONDITIONS),
               *changes = mm_json_get(body, WIRE_OPERATIONS);
  g_autoptr(MmJson) failed = NULL;

  if (world->has_unannounced_limits && is_too_large(world, conditions, changes)) {
    world->n_too_large++;
    *response = mm_json_error("too large");
    return 400;
  }
  g_assert_false(is_too_large(world, conditions, changes));
  if (!is_within_write_rate(world, mm_json_array_size(changes))) {
    *response = mm_json_error("too many changes");
    return 429;
  }
  failed = failed_conditions(world, conditions);
  if (mm_json_array_size(failed) > 0) {
    *response = mm_json_pack("{s:O, s:I}", WIRE_CONFLICT, failed, WIRE_REVISION,
                             (guint64)world->revision);
    world->n_conflicts++;
    return 409;
  }
  if (!all_leases_exist(world, changes)) {
    *response = mm_json_error("no such lease");
    return 400;
  }
  apply_changes(world, changes);
  *response = mm_json_pack("{s:I}", WIRE_REVISION, (guint64)world->revision);
  world_kv_answer_watches(world);
  return 200;
}

/* A page of a key listing: at most `max_items` keys that begin with `prefix` and come after the key
 * `after`. */
typedef struct {
  const char *prefix;
  const char *after; /* NULL: from the first key */
  guint64 max_items;
  MmJson *items;
  gboolean has_more;
} KeyPage;

static gboolean
append_key(gpointer path, gpointer value, gpointer data) {
  KeyPage *page = data;
  const WorldKey *key = value;

  if (!g_str_has_prefix(path, page->prefix)
      || (page->after != NULL && strcmp(path, page->after) <= 0))
    return FALSE;
  if (mm_json_array_size(page->items) >= page->max_items) {
    page->has_more = TRUE;
    return TRUE;
  }
  mm_json_array_append(page->items, mm_json_pack("{s:s, s:O, s:I}", WIRE_KEY, path, WIRE_VALUE,
                                                 key->value, WIRE_VERSION, (guint64)key->version));
  return FALSE;
}

static int
list_keys(World *world, const char *path, MmJson **response) {
  g_autofree char *prefix = world_kv_query_parameter(path, WIRE_PREFIX);
  g_autofree char *after = world_kv_query_parameter(path, WIRE_AFTER);
  KeyPage page = { prefix, after, KEYS_PER_PAGE, mm_json_new_array(), FALSE };

  g_tree_foreach(world->keys, append_key, &page);
  *response = mm_json_pack("{s:o, s:b, s:I}", WIRE_ITEMS, page.items, WIRE_MORE, page.has_more,
                           WIRE_REVISION, (guint64)world->revision);
  return 200;
}

static int
get_key(const World *world, const char *key_path, MmJson **response) {
  const WorldKey *key = g_tree_lookup(world->keys, key_path);

  if (key == NULL) {
    *response = mm_json_pack("{s:I}", WIRE_REVISION, (guint64)world->revision);
    return 404;
  }
  *response
      = mm_json_pack("{s:O, s:I}", WIRE_VALUE, key->value, WIRE_VERSION, (guint64)key->version);
  return 200;
}

static int
grant_lease(World *world, const MmJson *body, MmJson **response) {
  WorldLease *lease = g_new(WorldLease, 1);

  lease->id = ++world->last_lease_id;
  lease->ttl_us = (gint64)mm_json_count(body, WIRE_TTL, 0) * 1000;
  lease->expires_at_us = world->now_us + lease->ttl_us;
  g_hash_table_insert(world->leases, &lease->id, lease);
  *response = mm_json_pack("{s:I}", WIRE_LEASE, (guint64)lease->id);
  return 200;
}

static int
renew_lease(World *world, guint64 id, MmJson **response) {
  WorldLease *lease = g_hash_table_lookup(world->leases, &id);

  if (lease == NULL)
    return 404;
  lease->expires_at_us = world->now_us + lease->ttl_us;
  *response = mm_json_new_object();
  return 200;
}

int
world_kv_handle(World *world, const char *method, const char *path, const MmJson *body,
                MmJson **response) {
  if (strcmp(path, WIRE_TXN_PATH) == 0)
    return commit_transaction(world, body, response);
  if (g_str_has_prefix(path, WIRE_KEYS_PATH "?"))
    return list_keys(world, path, response);
  if (g_str_has_prefix(path, WIRE_KEYS_PATH "/"))
    return get_key(world, path + strlen(WIRE_KEYS_PATH "/"), response);
  if (strcmp(path, WIRE_LEASES_PATH) == 0)
    return grant_lease(world, body, response);
  if (g_str_has_prefix(path, WIRE_LEASES_PATH "/"))
    return renew_lease(world, g_ascii_strtoull(path + strlen(WIRE_LEASES_PATH "/"), NULL, 10),
                       response);
  return 400;
}
