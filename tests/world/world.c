#include "world/network.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "peers.pb-c.h"
#include "peers/peer-links.h"
#include "peers/peer-receiver.h"
#include "scheduler/scheduler.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/format.h"

typedef struct {
  gint64 at_us;
  guint64 order;
  WorldCallback callback;
  gpointer data;
} Event;

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data) {
  const Event *x = a, *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void
world_schedule(World *world, gint64 us, WorldCallback callback, gpointer data) {
  Event *event = g_new(Event, 1);

  *event = (Event){ MAX(us, world->now_us), ++world->n_events, callback, data };
  g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

double
world_uniform(World *world, double from, double to) {
  return g_rand_double_range(world->rand, from, to);
}

gint64
world_network_delay(World *world) {
  return (gint64)(world_uniform(world, 0.0005, 0.006) * G_USEC_PER_SEC);
}

void
world_report_violation(World *world, const char *format, ...) {
  va_list args;

  va_start(args, format);
  g_ptr_array_add(world->violations, g_strdup_vprintf(format, args));
  va_end(args);
}

static gboolean
run_next_event(World *world, gint64 until_us) {
  GSequenceIter *first = g_sequence_get_begin_iter(world->events);
  Event event;

  if (g_sequence_iter_is_end(first))
    return FALSE;
  event = *(Event *)g_sequence_get(first);
  if (event.at_us > until_us)
    return FALSE;
  g_sequence_remove(first);
  world->now_us = event.at_us;
  event.callback(event.data);
  return TRUE;
}

void
world_run(World *world, double seconds) {
  gint64 until = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);

  while (run_next_event(world, until))
    continue;
  world->now_us = until;
}

/* ---- what the nodes need of the outside ---- */

/* What comes to a node that stands still waits until it goes on, in the order in which it came.
 */
gboolean
world_defer_while_frozen(const WorldNode *world_node, guint generation, WorldCallback callback,
                         gpointer data) {
  if (world_node->node == NULL || world_node->generation != generation
      || world_node->world->now_us >= world_node->frozen_until_us)
    return FALSE;
  world_schedule(world_node->world, world_node->frozen_until_us, callback, data);
  return TRUE;
}

/* From seconds to well over a lease. */
gint64
world_duplicate_delay(World *world) {
  return (gint64)(world_uniform(world, 0.5, 3 * world->lease_s) * G_USEC_PER_SEC);
}

static MmTime
platform_now(gpointer data) {
  WorldNode *world_node = data;

  return (MmTime){ (gint64)((double)world_node->world->now_us * world_node->clock_rate) };
}

static gint64
platform_wall_ms(gpointer data) {
  WorldNode *world_node = data;

  return 1700000000000 + world_node->world->now_us / 1000 + (gint64)world_node->index * 37 - 40;
}

typedef struct {
  World *world;
  guint from;
  guint to;
  guint from_generation;
  guint to_generation;
  guint8 *bytes;
  gsize length;
} LinkMessage;

/* Index of node `of` among the peers of node `at`. */
static guint
peer_index(guint node, guint other) {
  return other < node ? other : other - 1;
}

static void
deliver_link_message(gpointer data) {
  LinkMessage *message = data;
  WorldNode *from = &message->world->nodes[message->from];
  WorldNode *to = &message->world->nodes[message->to];

  if (world_defer_while_frozen(to, message->to_generation, deliver_link_message, message))
    return;
  if (to->node != NULL && to->generation == message->to_generation
      && from->generation == message->from_generation) {
    Mm__Frame *frame;
    frame = mm__frame__unpack(NULL, message->length, message->bytes);
    mm_peer_links_receive(to->node->peer_links, peer_index(message->to, message->from), frame);
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
platform_send(gpointer data, guint peer, const Mm__Frame *frame) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  guint to = node_index(world_node->index, peer);
  LinkMessage *message;

  if (world_node->node == NULL || world->nodes[to].node == NULL || world_node->is_link_half_open[to]
      || world->now_us < world_node->cut_until_us || world->now_us < world->nodes[to].cut_until_us
      || world->now_us < world->links_refused_until_us)
    return;
  world->n_frames++;
  message = g_new(LinkMessage, 1);
  *message = (LinkMessage){ world,
                            world_node->index,
                            to,
                            world_node->generation,
                            world->nodes[to].generation,
                            NULL,
                            mm__frame__get_packed_size(frame) };
  world->n_frame_bytes += message->length;
  message->bytes = g_malloc(MAX(message->length, 1));
  mm__frame__pack(frame, message->bytes);
  /* In order: the same way always takes the same time. */
  world_schedule(world, world->now_us + 1500, deliver_link_message, message);
}

typedef struct {
  WorldNode *world_node;
  guint generation;
  WorldCallback callback;
  gpointer data;
} NodeTimer;

static void
on_timer_due(gpointer data) {
  NodeTimer *timer = data;

  if (world_defer_while_frozen(timer->world_node, timer->generation, on_timer_due, timer))
    return;
  if (timer->world_node->node != NULL && timer->world_node->generation == timer->generation)
    timer->callback(timer->data);
  g_free(timer);
}

static void
platform_call_after(gpointer data, guint ms, void (*callback)(gpointer data),
                    gpointer callback_data) {
  WorldNode *world_node = data;
  NodeTimer *timer;

  if (world_node->node == NULL)
    return;
  timer = g_new(NodeTimer, 1);
  *timer = (NodeTimer){ world_node, world_node->generation, callback, callback_data };
  world_schedule(world_node->world, world_node->world->now_us + (gint64)ms * 1000, on_timer_due,
                 timer);
}

/* ---- the nodes' lives ---- */

static void
tick_node(gpointer data) {
  NodeTimer *timer = data;

  if (timer->world_node->node == NULL || timer->world_node->generation != timer->generation) {
    g_free(timer);
    return;
  }
  if (world_defer_while_frozen(timer->world_node, timer->generation, tick_node, timer))
    return;
  world_make_node_faulty(timer->world_node->world, timer->world_node->node,
                         platform_now(timer->world_node));
  mm_node_tick(timer->world_node->node);
  world_schedule(timer->world_node->world,
                 timer->world_node->world->now_us + MM_NODE_TICK_MS * 1000, tick_node, timer);
}

static void
on_link_up(gpointer data) {
  LinkMessage *message = data;
  WorldNode *from = &message->world->nodes[message->from],
            *to = &message->world->nodes[message->to];

  if (world_defer_while_frozen(from, message->from_generation, on_link_up, message))
    return;
  if (from->node != NULL && to->node != NULL && from->generation == message->from_generation
      && to->generation == message->to_generation && !from->is_link_half_open[message->to]
      && message->world->now_us >= from->cut_until_us && message->world->now_us >= to->cut_until_us
      && message->world->now_us >= message->world->links_refused_until_us)
    mm_peer_links_connected(from->node->peer_links, peer_index(message->from, message->to));
  g_free(message);
}

static void
link_nodes(World *world, guint from, guint to) {
  LinkMessage *message = g_new0(LinkMessage, 1);

  *message
      = (LinkMessage){ world, from, to, world->nodes[from].generation, world->nodes[to].generation,
                       NULL,  0 };
  /* Which side comes first is left to chance. */
  world_schedule(world, world->now_us + 100000 + world_network_delay(world) * 20, on_link_up,
                 message);
}

static void
platform_reconnect(gpointer data, guint peer) {
  WorldNode *world_node = data;
  guint to = node_index(world_node->index, peer);

  world_node->world->n_reconnects++;
  world_node->is_link_half_open[to] = FALSE;
  mm_peer_links_disconnected(world_node->node->peer_links, peer);
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
  MmPlatform platform
      = { world_node,    platform_now,       platform_wall_ms,   world_platform_request,
          platform_send, platform_reconnect, platform_call_after };
  NodeTimer *tick_timer;

  if (world->is_shutting_down)
    return;
  tick_timer = g_new(NodeTimer, 1);
  world_node->clock_rate = world_uniform(world, 1.0, 1.0005);
  world_node->node = mm_node_new(world_node->settings, &world_node->operators, &platform,
                                 (guint32)g_rand_int(world->rand));
  if (world_node->highest_format != 0)
    world_node->node->format->highest_supported = world_node->highest_format;
  mm_node_start(world_node->node);
  *tick_timer = (NodeTimer){ world_node, world_node->generation, NULL, NULL };
  world_schedule(world, world->now_us + MM_NODE_TICK_MS * 1000, tick_node, tick_timer);
  link_with_others(world_node);
}

static void
on_cut_over(gpointer data) {
  link_with_others(data);
}

void
world_cut_node(World *world, guint index, double seconds, gboolean delays_messages) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL || world->now_us < world_node->cut_until_us)
    return;
  world_node->cut_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_node->cut_delays_messages = delays_messages;
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    mm_peer_links_disconnected(world->nodes[i].node->peer_links, peer_index(i, index));
    mm_peer_links_disconnected(world_node->node->peer_links, peer_index(index, i));
    world->nodes[i].is_link_half_open[index] = world_node->is_link_half_open[i] = FALSE;
  }
  world_schedule(world, world_node->cut_until_us + 1000, on_cut_over, world_node);
}

static void
on_links_allowed(gpointer data) {
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
    memset(world->nodes[i].is_link_half_open, 0, sizeof world->nodes[i].is_link_half_open);
    for (guint k = 0; k < WORLD_NODES - 1 && world->nodes[i].node != NULL; k++)
      mm_peer_links_disconnected(world->nodes[i].node->peer_links, k);
  }
  world_schedule(world, world->links_refused_until_us + 1000, on_links_allowed, world);
}

void
world_freeze_node(World *world, guint index, double seconds) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node != NULL && world->now_us >= world_node->frozen_until_us)
    world_node->frozen_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
}

static const char *const zone_names[] = { "a", "b", "c" };

gboolean
world_is_partitioned(const World *world, guint index, const WorldMachine *machine) {
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
  g_ptr_array_add(world->ended_nodes, world_node->node);
  world_node->node = NULL;
  world_node->generation++;
  world_node->frozen_until_us = 0;
  memset(world_node->is_link_half_open, 0, sizeof world_node->is_link_half_open);
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    /* One that is being opened is tried again until it stands. */
    if (world->ends_leave_half_open
        && world->nodes[i].node->peer_links->peers[peer_index(i, index)].is_connected)
      world->nodes[i].is_link_half_open[index] = TRUE;
    else
      mm_peer_links_disconnected(world->nodes[i].node->peer_links, peer_index(i, index));
  }
  world_schedule(world, world->now_us + (gint64)(down_s * G_USEC_PER_SEC), boot_node, world_node);
}

void
world_record_status(gpointer data, int status, json_t *body) {
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
      "count", WORLD_NODES, "workers", "report_s", world->heartbeat_interval_s, "lease_s",
      world->configured_lease_s > 0 ? world->configured_lease_s : world->lease_s, "gang_wait_s",
      20.0, "gang_peer_s", 4.0, "cancel_s", world->cancel_s, "state", "rps", 200.0, "write_rps",
      20.0, "value_kb", 4.0, "txn_ops", 12, "cloud", "rps", 6.0, "list_lag_s", 2.0, "resources",
      "cpu", 0.1, "ram_mb", 64.0, "max_sockets", 1000);
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
  if (world->announces_next_limits && !world->nodes[index].is_old_version)
    json_object_set_new(json_object_get(json_object_get(root, "settings"), "state"), "next",
                        json_pack("{s:f, s:f, s:i}", "write_rps", WORLD_NEXT_WRITE_RPS, "value_kb",
                                  WORLD_NEXT_VALUE_BYTES / 1024.0, "txn_ops", WORLD_NEXT_TXN_OPS));
  settings = mm_settings_from_json("world", root, &reason);
  if (settings == NULL)
    g_error("%s", reason);
  return settings;
}

static void
check_periodically(gpointer data) {
  World *world = data;

  if (!world->skips_checks)
    world_check_invariants(world);
  world_schedule(world, world->now_us + 100000, check_periodically, world);
}

World *
world_new(guint32 seed) {
  World *world = g_new0(World, 1);

  world->rand = g_rand_new_with_seed(seed);
  world->events = g_sequence_new(g_free);
  world->ended_nodes = g_ptr_array_new();
  world->retired_settings = g_ptr_array_new_with_free_func((GDestroyNotify)mm_settings_free);
  world->now_us = G_USEC_PER_SEC;
  world->lease_s = 8;
  world->heartbeat_interval_s = 1;
  world->cancel_s = 25;
  world->capacity = 6;
  world->team_cores = 24;
  world->avoided_node = -1;
  world->format = MM_FORMAT_LOWEST;
  world->value_bytes = 4096;
  world->txn_ops = 12;
  world->violations = g_ptr_array_new_with_free_func(g_free);
  world->machines = g_ptr_array_new();
  world->jobs = g_ptr_array_new();
  world->cores_granted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  world->launches
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
  world_kv_init(world);
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
    world_node->operators.groups = world_node->is_old_version ? 0 : world->group_count;
    world_node->operators.group_hold_s = world->group_hold_s;
    world_schedule(world, world->now_us + (gint64)i * 30000, boot_node, world_node);
  }
  check_periodically(world);
}

static gboolean
is_drained(World *world, gint64 until) {
  return !run_next_event(world, until);
}

void
world_free(World *world) {
  gint64 until;

  world->is_shutting_down = TRUE;
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (world->nodes[i].node != NULL)
      g_ptr_array_add(world->ended_nodes, world->nodes[i].node);
    world->nodes[i].node = NULL;
    world->nodes[i].generation++;
  }
  for (guint i = 0; i < world->machines->len; i++)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  /* Every answer that dead nodes still wait for comes, as none, within the longest time-out. */
  until = world->now_us + 120 * (gint64)G_USEC_PER_SEC;
  while (!is_drained(world, until))
    continue;
  for (guint i = 0; i < world->ended_nodes->len; i++)
    mm_node_free(g_ptr_array_index(world->ended_nodes, i));
  until = world->now_us + 10 * (gint64)G_USEC_PER_SEC;
  while (!is_drained(world, until))
    continue;
  for (guint i = 0; i < WORLD_NODES; i++)
    mm_settings_free(world->nodes[i].settings);
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = g_ptr_array_index(world->machines, i);
    world_machine_clear_tasks(machine);
    g_ptr_array_unref(machine->tasks);
    g_free(machine);
  }
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = g_ptr_array_index(world->jobs, i);
    json_decref(job->body);
    mm_job_spec_clear(&job->spec);
    g_ptr_array_unref(job->dependencies);
    g_free(job->is_task_done);
    g_free(job);
  }
  world_kv_free(world);
  g_hash_table_unref(world->launches);
  g_hash_table_unref(world->cores_granted);
  g_ptr_array_unref(world->machines);
  g_ptr_array_unref(world->jobs);
  g_ptr_array_unref(world->ended_nodes);
  g_ptr_array_unref(world->retired_settings);
  g_ptr_array_unref(world->violations);
  g_sequence_free(world->events);
  g_rand_free(world->rand);
  g_free(world);
}
