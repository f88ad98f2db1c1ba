/* The change history and the watches of the simulated key-value store. */
#include "world/internal.h"

#include <stdlib.h>

#include "base/wire.h"

/* How long after the end of a watch its node waits for the response. A later one reaches nobody. */
#define WATCH_CLIENT_TIMEOUT_US (2 * (gint64)G_USEC_PER_SEC)

/* A pending watch, which waits for changes of keys that begin with `prefix`. */
typedef struct {
  guint node; /* index of the node that opened the watch */
  char *prefix;
  guint64 after_revision;
  gint64 expires_at_us;
  MmResponseCallback callback;
  gpointer data;
  gboolean is_answered;
} Watch;

/* A recorded change of a key. */
typedef struct {
  guint64 revision;
  char *path;
  MmJson *event;
} KeyChange;

static void
change_free(gpointer data) {
  mm_json_unref(((KeyChange *)data)->event);
  g_free(((KeyChange *)data)->path);
  g_free(data);
}

static void
watch_free(gpointer data) {
  g_free(((Watch *)data)->prefix);
  g_free(data);
}

void
world_kv_watches_init(World *world) {
  world->changes = g_ptr_array_new_with_free_func(change_free);
  world->watches = g_ptr_array_new_with_free_func(watch_free);
}

void
world_kv_watches_free(World *world) {
  for (guint i = 0; i < world->watches->len; i++) {
    Watch *watch = g_ptr_array_index(world->watches, i);
    watch->callback(watch->data, 0, NULL);
  }
  g_ptr_array_unref(world->changes);
  g_ptr_array_unref(world->watches);
}

void
world_kv_record_change(World *world, const char *path, MmJson *event) {
  KeyChange *change = g_new(KeyChange, 1);

  mm_json_object_set(event, WIRE_VERSION, mm_json_new_count((guint64)world->revision));
  *change = (KeyChange){ world->revision, g_strdup(path), event };
  g_ptr_array_add(world->changes, change);
}

/* Returns the changes after the watch's revision, in order. The caller owns the list. */
static MmJson *
watched_changes(const World *world, const Watch *watch) {
  MmJson *events = mm_json_new_array();

  for (guint k = world->changes->len; k > 0; k--) {
    const KeyChange *change = g_ptr_array_index(world->changes, k - 1);
    if (change->revision <= watch->after_revision)
      break;
    if (g_str_has_prefix(change->path, watch->prefix))
      mm_json_array_insert(events, 0, mm_json_ref(change->event));
  }
  return events;
}

void
world_kv_answer_watches(World *world) {
  for (guint i = 0; i < world->watches->len; i++) {
    Watch *watch = g_ptr_array_index(world->watches, i);
    g_autoptr(MmJson) response = NULL;
    MmJson *events;

    if (watch->is_answered || world->now_us < world->outage_until_us
        || world->now_us < world->nodes[watch->node].kv_refuses_until_us)
      continue;
    events = watched_changes(world, watch);
    if (mm_json_array_size(events) == 0 && world->now_us < watch->expires_at_us) {
      mm_json_unref(events);
      continue;
    }
    response
        = mm_json_pack("{s:I, s:o}", WIRE_REVISION, (guint64)world->revision, WIRE_EVENTS, events);
    watch->is_answered = TRUE;
    if (world->now_us < watch->expires_at_us + WATCH_CLIENT_TIMEOUT_US)
      world->most_changes_at_once
          = MAX(world->most_changes_at_once, (guint)mm_json_array_size(events));
    watch->callback(watch->data, 200, response);
  }
  for (guint i = world->watches->len; i > 0; i--)
    if (((Watch *)g_ptr_array_index(world->watches, i - 1))->is_answered)
      g_ptr_array_remove_index_fast(world->watches, i - 1);
}

static const char *
find_query_value(const char *path, const char *name) {
  g_autofree char *name_and_equals = g_strconcat(name, "=", NULL);
  const char *position = strchr(path, '?');

  while (position != NULL) {
    position++;
    if (g_str_has_prefix(position, name_and_equals))
      return position + strlen(name_and_equals);
    position = strchr(position, '&');
  }
  return NULL;
}

char *
world_kv_query_parameter(const char *path, const char *name) {
  const char *value = find_query_value(path, name);

  return value != NULL ? g_strndup(value, strcspn(value, "&")) : NULL;
}

void
world_kv_add_watch(World *world, guint node, const char *path, MmResponseCallback callback,
                   gpointer data) {
  Watch *watch = g_new0(Watch, 1);

  watch->node = node;
  watch->prefix = world_kv_query_parameter(path, WIRE_PREFIX);
  watch->after_revision = g_ascii_strtoull(find_query_value(path, WIRE_AFTER), NULL, 10);
  watch->expires_at_us
      = world->now_us
        + (gint64)g_ascii_strtoull(find_query_value(path, WIRE_WAIT), NULL, 10) * 1000;
  watch->callback = callback;
  watch->data = data;
  g_ptr_array_add(world->watches, watch);
  world_kv_answer_watches(world);
}
