#include "world/network.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "peers.pb-c.h"
#include "peers/links.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "store/replica.h"
#include "store/store.h"
#include "upgrade/format.h"

typedef struct {
  gint64 us;
  guint64 order;
  WorldCall call;
  gpointer data;
} Event;

static gint
earlier_first(gconstpointer a, gconstpointer b, gpointer data) {
  const Event *x = a, *y = b;

  if (x->us != y->us)
    return x->us < y->us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void
world_at(World *world, gint64 us, WorldCall callback, gpointer data) {
  Event *event = g_new(Event, 1);

  *event = (Event){ MAX(us, world->now_us), ++world->n_events, callback, data };
  g_sequence_insert_sorted(world->events, event, earlier_first, NULL);
}

double
world_uniform(World *world, double from, double to) {
  return g_rand_double_range(world->rand, from, to);
}

gint64
world_delay(World *world) {
  return (gint64)(world_uniform(world, 0.0005, 0.006) * G_USEC_PER_SEC);
}

void
world_break(World *world, const char *format, ...) {
  va_list args;

  va_start(args, format);
  g_ptr_array_add(world->broken, g_strdup_vprintf(format, args));
  va_end(args);
}

static gboolean
step(World *world, gint64 until_us) {
  GSequenceIter *first = g_sequence_get_begin_iter(world->events);
  Event event;

  if (g_sequence_iter_is_end(first))
    return FALSE;
  event = *(Event *)g_sequence_get(first);
  if (event.us > until_us)
    return FALSE;
  g_sequence_remove(first);
  world->now_us = event.us;
  event.call(event.data);
  return TRUE;
}

void
world_run(World *world, double seconds) {
  gint64 until = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);

  while (step(world, until))
    continue;
  world->now_us = until;
}

/* ---- what the nodes need of the outside ---- */

/* What comes to a node that stands still waits until it goes on, in the order in which it came.
 */
gboolean
world_node_stands_still(const WorldNode *world_node, guint generation, WorldCall callback,
                        gpointer data) {
  if (world_node->node == NULL || world_node->life != generation
      || world_node->world->now_us >= world_node->frozen_until_us)
    return FALSE;
  world_at(world_node->world, world_node->frozen_until_us, callback, data);
  return TRUE;
}

/* From seconds to well over a lease. */
gint64
world_lateness(World *world) {
  return (gint64)(world_uniform(world, 0.5, 3 * world->lease_s) * G_USEC_PER_SEC);
}

static MmTime
port_now(gpointer data) {
  WorldNode *world_node = data;

  return (MmTime){ (gint64)((double)world_node->world->now_us * world_node->clock_rate) };
}

static gint64
port_wall_ms(gpointer data) {
  WorldNode *world_node = data;

  return 1700000000000 + world_node->world->now_us / 1000 + (gint64)world_node->index * 37 - 40;
}

typedef struct {
  World *world;
  guint from;
  guint to;
  guint from_life;
  guint to_life;
  guint8 *bytes;
  gsize length;
} Parcel;

/* Index of node `of` among the peers of node `at`. */
static guint
peer_index(guint node, guint other) {
  return other < node ? other : other - 1;
}

static void
parcel_arrives(gpointer data) {
  Parcel *message = data;
  WorldNode *from = &message->world->nodes[message->from];
  WorldNode *to = &message->world->nodes[message->to];

  if (world_node_stands_still(to, message->to_life, parcel_arrives, message))
    return;
  if (to->node != NULL && to->life == message->to_life && from->life == message->from_life) {
    Mm__Frame *frame;
    frame = mm__frame__unpack(NULL, message->length, message->bytes);
    mm_links_frame(to->node->links, peer_index(message->to, message->from), frame);
    mm__frame__free_unpacked(frame, NULL);
  }
  g_free(message->bytes);
  g_free(message);
}

/* Index of the node that is peer `peer` of node `at`. */
static guint
node_index(guint node, guint peer) {
  return peer < node ? peer : peer + 1;
}

static void
port_send(gpointer data, guint peer, const Mm__Frame *frame) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  guint to = node_index(world_node->index, peer);
  Parcel *message;

  if (world_node->node == NULL || world->nodes[to].node == NULL || world_node->half_open[to]
      || world->now_us < world_node->cut_until_us || world->now_us < world->nodes[to].cut_until_us
      || world->now_us < world->links_refused_until_us)
    return;
  world->frames++;
  message = g_new(Parcel, 1);
  *message = (Parcel){ world,
                       world_node->index,
                       to,
                       world_node->life,
                       world->nodes[to].life,
                       NULL,
                       mm__frame__get_packed_size(frame) };
  world->frame_bytes += message->length;
  message->bytes = g_malloc(MAX(message->length, 1));
  mm__frame__pack(frame, message->bytes);
  /* In order: the same way always takes the same time. */
  world_at(world, world->now_us + 1500, parcel_arrives, message);
}

typedef struct {
  WorldNode *self;
  guint life;
  WorldCall call;
  gpointer data;
} Later;

static void
later_due(gpointer data) {
  Later *timer = data;

  if (world_node_stands_still(timer->self, timer->life, later_due, timer))
    return;
  if (timer->self->node != NULL && timer->self->life == timer->life)
    timer->call(timer->data);
  g_free(timer);
}

static void
port_later(gpointer data, guint ms, void (*callback)(gpointer data), gpointer callback_data) {
  WorldNode *world_node = data;
  Later *timer;

  if (world_node->node == NULL)
    return;
  timer = g_new(Later, 1);
  *timer = (Later){ world_node, world_node->life, callback, callback_data };
  world_at(world_node->world, world_node->world->now_us + (gint64)ms * 1000, later_due, timer);
}

/* ---- the nodes' lives ---- */

static void
tick(gpointer data) {
  Later *timer = data;

  if (timer->self->node == NULL || timer->self->life != timer->life) {
    g_free(timer);
    return;
  }
  if (world_node_stands_still(timer->self, timer->life, tick, timer))
    return;
  world_break_node(timer->self->world, timer->self->node, port_now(timer->self));
  mm_node_tick(timer->self->node);
  world_at(timer->self->world, timer->self->world->now_us + MM_NODE_TICK_MS * 1000, tick, timer);
}

static void
link_up(gpointer data) {
  Parcel *message = data;
  WorldNode *from = &message->world->nodes[message->from],
            *to = &message->world->nodes[message->to];

  if (world_node_stands_still(from, message->from_life, link_up, message))
    return;
  if (from->node != NULL && to->node != NULL && from->life == message->from_life
      && to->life == message->to_life && !from->half_open[message->to]
      && message->world->now_us >= from->cut_until_us && message->world->now_us >= to->cut_until_us
      && message->world->now_us >= message->world->links_refused_until_us)
    mm_links_connected(from->node->links, peer_index(message->from, message->to));
  g_free(message);
}

static void
link_nodes(World *world, guint from, guint to) {
  Parcel *message = g_new0(Parcel, 1);

  *message = (Parcel){ world, from, to, world->nodes[from].life, world->nodes[to].life, NULL, 0 };
  /* Which side comes first is left to chance. */
  world_at(world, world->now_us + 100000 + world_delay(world) * 20, link_up, message);
}

static void
port_reconnect(gpointer data, guint peer) {
  WorldNode *world_node = data;
  guint to = node_index(world_node->index, peer);

  world_node->world->reopened++;
  world_node->half_open[to] = FALSE;
  mm_links_down(world_node->node->links, peer);
  link_nodes(world_node->world, world_node->index, to);
}

/* Both ways with every other node that is there. */
static void
link_with_others(const WorldNode *world_node) {
  World *world = world_node->world;

  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == world_node->index || world->nodes[i].node == NULL || world_node->node == NULL)
      continue;
    link_nodes(world, world_node->index, i);
    link_nodes(world, i, world_node->index);
  }
}

static void
boot_node(gpointer data) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  MmPort platform = { world_node, port_now,       port_wall_ms, world_port_request,
                      port_send,  port_reconnect, port_later };
  Later *tick_timer;

  if (world->closing)
    return;
  tick_timer = g_new(Later, 1);
  world_node->clock_rate = world_uniform(world, 1.0, 1.0005);
  world_node->node = mm_node_new(world_node->settings, &world_node->operators, &platform,
                                 (guint32)g_rand_int(world->rand));
  if (world_node->highest_format != 0)
    world_node->node->format->highest_supported = world_node->highest_format;
  mm_node_start(world_node->node);
  *tick_timer = (Later){ world_node, world_node->life, NULL, NULL };
  world_at(world, world->now_us + MM_NODE_TICK_MS * 1000, tick, tick_timer);
  link_with_others(world_node);
}

static void
cut_over(gpointer data) {
  link_with_others(data);
}

void
world_cut_node(World *world, guint index, double seconds, gboolean delays_messages) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL || world->now_us < world_node->cut_until_us)
    return;
  world_node->cut_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_node->cut_holds = delays_messages;
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    mm_links_down(world->nodes[i].node->links, peer_index(i, index));
    mm_links_down(world_node->node->links, peer_index(index, i));
    world->nodes[i].half_open[index] = world_node->half_open[i] = FALSE;
  }
  world_at(world, world_node->cut_until_us + 1000, cut_over, world_node);
}

static void
links_allowed(gpointer data) {
  World *world = data;

  for (guint i = 0; i < WORLD_NODES; i++)
    for (guint k = 0; k < WORLD_NODES; k++)
      if (i != k && world->nodes[i].node != NULL && world->nodes[k].node != NULL)
        link_nodes(world, i, k);
}

void
world_refuse_links(World *world, double seconds) {
  if (world->now_us < world->links_refused_until_us)
    return;
  world->links_refused_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  for (guint i = 0; i < WORLD_NODES; i++) {
    memset(world->nodes[i].half_open, 0, sizeof world->nodes[i].half_open);
    for (guint k = 0; k < WORLD_NODES - 1 && world->nodes[i].node != NULL; k++)
      mm_links_down(world->nodes[i].node->links, k);
  }
  world_at(world, world->links_refused_until_us + 1000, links_allowed, world);
}

void
world_freeze_node(World *world, guint index, double seconds) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node != NULL && world->now_us >= world_node->frozen_until_us)
    world_node->frozen_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
}

static const char *const zone_names[] = { "a", "b", "c" };

gboolean
world_is_apart(const World *world, guint index, const WorldMachine *machine) {
  if (world->now_us < world->nodes[index].workers_cut_until_us)
    return TRUE;
  return world->now_us < world->zone_cut_until_us
         && (index == world->cut_zone) != (strcmp(machine->zone, zone_names[world->cut_zone]) == 0);
}

void
world_cut_zone(World *world, guint index, double seconds, gboolean delays_messages) {
  if (world->now_us < world->zone_cut_until_us)
    return;
  world->cut_zone = index;
  world->zone_cut_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_cut_node(world, index, seconds, delays_messages);
}

void
world_kill_node(World *world, guint index, double down_s) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL)
    return;
  /* What it had asked still comes back to it, so it is kept until the end; it can do nothing more.
   */
  g_ptr_array_add(world->zombies, world_node->node);
  world_node->node = NULL;
  world_node->life++;
  world_node->frozen_until_us = 0;
  memset(world_node->half_open, 0, sizeof world_node->half_open);
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    /* One that is being opened is tried again until it stands. */
    if (world->silent_ends && world->nodes[i].node->links->peers[peer_index(i, index)].connected)
      world->nodes[i].half_open[index] = TRUE;
    else
      mm_links_down(world->nodes[i].node->links, peer_index(i, index));
  }
  world_at(world, world->now_us + (gint64)(down_s * G_USEC_PER_SEC), boot_node, world_node);
}

void
world_note_status(gpointer data, int status, json_t *body) {
  *(int *)data = status;
}

/* ---- the world's own life ---- */

MmSettings *
world_node_settings(World *world, guint index) {
  MmSettings *settings;
  g_autofree char *reason = NULL;
  g_autofree char *label = g_strdup_printf("n-%u", index);
  g_autoptr(json_t) root = json_pack(
      "{s:s, s:s, s:s, s:s, s:{s:s, s:s}, s:{s:i, s:{s:f, s:f, s:f, s:f, s:f},"
      " s:{s:f, s:f, s:f, s:i}, s:{s:f, s:f}, s:{s:f, s:f, s:i}}}",
      "label", label, "zone", zone_names[index], "front", "127.0.0.1:1", "cluster_listen",
      "127.0.0.1:2", "external", "cloud", "127.0.0.1:3", "state", "127.0.0.1:4", "settings",
      "count", WORLD_NODES, "workers", "report_s", world->report_s, "lease_s",
      world->believed_lease_s > 0 ? world->believed_lease_s : world->lease_s, "gang_wait_s", 20.0,
      "gang_peer_s", 4.0, "cancel_s", world->cancel_s, "state", "rps", 200.0, "write_rps", 20.0,
      "value_kb", 4.0, "txn_ops", 12, "cloud", "rps", 6.0, "list_lag_s", 2.0, "resources", "cpu",
      0.1, "ram_mb", 64.0, "max_sockets", 1000);
  json_t *others = json_array(), *teams = json_array();

  g_assert_nonnull(root);
  for (guint i = 0; i < WORLD_NODES; i++) {
    g_autofree char *other = g_strdup_printf("n-%u", i);
    if (i != index)
      json_array_append_new(others, json_pack("{s:s, s:s, s:s}", "label", other, "zone",
                                              zone_names[i], "endpoint", "127.0.0.1:5"));
  }
  for (guint i = 0; i < 4; i++) {
    g_autofree char *name = g_strdup_printf("team-%u", i);
    json_array_append_new(teams,
                          json_pack("{s:s, s:f, s:f, s:f, s:f}", "name", name, "cpus", 4.0, "gpus",
                                    0.0, "cpus_max", world->team_cores, "gpus_max", 0.0));
  }
  json_object_set_new(root, "others", others);
  json_object_set_new(json_object_get(root, "settings"), "teams", teams);
  if (world->announce_next && !world->nodes[index].old)
    json_object_set_new(json_object_get(json_object_get(root, "settings"), "state"), "next",
                        json_pack("{s:f, s:f, s:i}", "write_rps", WORLD_NEXT_WRITE_RPS, "value_kb",
                                  WORLD_NEXT_VALUE_BYTES / 1024.0, "txn_ops", WORLD_NEXT_TXN_OPS));
  settings = mm_settings_from_json("world", root, &reason);
  if (settings == NULL)
    g_error("%s", reason);
  return settings;
}

static void
check_now_and_then(gpointer data) {
  World *world = data;

  if (!world->unchecked)
    world_check_all(world);
  world_at(world, world->now_us + 100000, check_now_and_then, world);
}

World *
world_new(guint32 seed) {
  World *world = g_new0(World, 1);

  world->rand = g_rand_new_with_seed(seed);
  world->events = g_sequence_new(g_free);
  world->zombies = g_ptr_array_new();
  world->settings_kept = g_ptr_array_new_with_free_func((GDestroyNotify)mm_settings_free);
  world->now_us = G_USEC_PER_SEC;
  world->lease_s = 8;
  world->report_s = 1;
  world->cancel_s = 25;
  world->capacity = 6;
  world->team_cores = 24;
  world->users_shun = -1;
  world->format = MM_FORMAT_LOWEST;
  world->value_bytes = 4096;
  world->txn_ops = 12;
  world->broken = g_ptr_array_new_with_free_func(g_free);
  world->machines = g_ptr_array_new();
  world->jobs = g_ptr_array_new();
  world->granted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  world->hires
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
  world_store_init(world);
  return world;
}

void
world_start(World *world) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    WorldNode *world_node = &world->nodes[i];
    world_node->world = world;
    world_node->index = i;
    world_node->settings = world_node_settings(world, i);
    world_node->operators = mm_operators_defaults();
    world_node->operators.groups = world_node->old ? 0 : world->groups;
    world_node->operators.group_hold_s = world->group_hold_s;
    world_at(world, world->now_us + (gint64)i * 30000, boot_node, world_node);
  }
  check_now_and_then(world);
}

static gboolean
drained(World *world, gint64 until) {
  return !step(world, until);
}

void
world_free(World *world) {
  gint64 until;

  world->closing = TRUE;
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (world->nodes[i].node != NULL)
      g_ptr_array_add(world->zombies, world->nodes[i].node);
    world->nodes[i].node = NULL;
    world->nodes[i].life++;
  }
  for (guint i = 0; i < world->machines->len; i++)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  /* Every answer that dead nodes still wait for comes, as none, within the longest time-out. */
  until = world->now_us + 120 * (gint64)G_USEC_PER_SEC;
  while (!drained(world, until))
    continue;
  for (guint i = 0; i < world->zombies->len; i++)
    mm_node_free(g_ptr_array_index(world->zombies, i));
  until = world->now_us + 10 * (gint64)G_USEC_PER_SEC;
  while (!drained(world, until))
    continue;
  for (guint i = 0; i < WORLD_NODES; i++)
    mm_settings_free(world->nodes[i].settings);
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = g_ptr_array_index(world->machines, i);
    world_machine_wipe(machine);
    g_ptr_array_unref(machine->tasks);
    g_free(machine);
  }
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = g_ptr_array_index(world->jobs, i);
    json_decref(job->body);
    mm_job_spec_clear(&job->spec);
    g_ptr_array_unref(job->needs);
    g_free(job->done);
    g_free(job);
  }
  world_store_free(world);
  g_hash_table_unref(world->hires);
  g_hash_table_unref(world->granted);
  g_ptr_array_unref(world->machines);
  g_ptr_array_unref(world->jobs);
  g_ptr_array_unref(world->zombies);
  g_ptr_array_unref(world->settings_kept);
  g_ptr_array_unref(world->broken);
  g_sequence_free(world->events);
  g_rand_free(world->rand);
  g_free(world);
}
