/* Half as many machines again as the largest fleet that is planned: no limit is met below that. The
 * cost is counted in messages and bytes. */
#include "base/wire.h"
#include "scheduler/scheduler.h"
#include "kv/replica.h"
#include "world/world.h"

#define MACHINES 6000
#define HEARTBEAT_S 10

static const char *const zones[] = { "a", "b", "c" };

static World *
fleet_world(void) {
  World *world = world_new(17);

  world->heartbeat_interval_s = HEARTBEAT_S;
  world->lease_s = 3 * HEARTBEAT_S;
  world->cancel_s = world->lease_s + 25;
  world->capacity = 40;
  world->team_cores = 4 * MACHINES;
  for (guint i = 0; i < MACHINES; i++)
    world_add_machine(world, i % 12 == 11 ? "big" : "small", zones[i % 3], FALSE,
                      world_uniform(world, 0.1, 2));
  world_start(world);
  for (guint i = 0; i < WORLD_NODES; i++)
    world->nodes[i].operators.idle_release_s = 1e6;
  return world;
}

static guint
machines_up(const World *world) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    n += machine->is_up && !machine->is_terminated;
  }
  return n;
}

/* Machines that the node knows from heartbeats and from the registry. */
static guint
machines_known(const World *world, guint node) {
  const GPtrArray *order = world->nodes[node].node->machine_table->sorted_machines;
  guint n = 0;

  for (guint i = 0; i < order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(order, i);
    n += machine->has_reported && mm_machine_has_registered_incarnation(machine)
         && !machine->lease_has_expired;
  }
  return n;
}

/* Machines that some shard leader still counts as unacknowledged. */
static guint
machines_unacknowledged(const World *world) {
  guint n = 0;

  for (guint i = 0; i < WORLD_NODES; i++) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, world->nodes[i].node->scheduler->led_shards);
    while (g_hash_table_iter_next(&iter, NULL, &value))
      n += g_hash_table_size(((const MmLedShard *)value)->unacknowledged_machines);
  }
  return n;
}

static guint
shards_owned(const World *world) {
  guint n = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    n += g_hash_table_size(world->nodes[i].node->scheduler->led_shards);
  return n;
}

static void
submit_arrays(World *world, guint n, guint tasks) {
  for (guint i = 0; i < n; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(world,
                 json_pack("{s:s, s:s, s:i}", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_ARRAY,
                           WIRE_TASKS, (int)tasks),
                 8);
  }
}

static gboolean
all_known(const World *world) {
  for (guint i = 0; i < WORLD_NODES; i++)
    if (machines_known(world, i) != machines_up(world))
      return FALSE;
  return machines_unacknowledged(world) == 0 && shards_owned(world) == 4;
}

#define KNOWN_WITHIN_S (5 * HEARTBEAT_S)

/* Every node knows every machine, and all of them have acknowledged the terms of all shard leaders.
 */
static void
run_until_all_known(World *world) {
  for (guint s = 0; s < KNOWN_WITHIN_S && !all_known(world); s++)
    world_run(world, 1);
  g_assert_true(all_known(world));
}

static gboolean
all_done(const World *world) {
  for (guint i = 0; i < world->jobs->len; i++)
    if (((const WorldJob *)g_ptr_array_index(world->jobs, i))->user_view != USER_SEES_DONE)
      return FALSE;
  return TRUE;
}

#define DONE_WITHIN_S 80

static void
run_until_all_done(World *world) {
  for (guint s = 0; s < DONE_WITHIN_S && !all_done(world); s++)
    world_run(world, 1);
  g_assert_true(all_done(world));
}

/* A heartbeat is passed on to two peers, whole where it shows anything new. */
#define BYTES_A_HEARTBEAT 600

static void
test_six_thousand_machines_are_served(void) {
  World *world = fleet_world();

  world_run(world, HEARTBEAT_S);
  run_until_all_known(world);
  /* Three of a hundred never come up in this world. */
  g_assert_cmpuint(machines_up(world), >=, MACHINES * 95 / 100);
  submit_arrays(world, 12, 400);
  run_until_all_done(world);
  /* All shards change hands. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.3 + 0.3 * i);
  world_run(world, HEARTBEAT_S);
  run_until_all_known(world);
  /* A zone is lost for longer than a lease, with a node. */
  world_cut_zone(world, 1, world->lease_s + HEARTBEAT_S, FALSE);
  submit_arrays(world, 4, 400);
  world_run(world, world->lease_s + 2 * HEARTBEAT_S);
  world_assert_invariants(world);
  run_until_all_known(world);
  submit_arrays(world, 4, 400);
  run_until_all_done(world);
  world_assert_invariants(world);
  g_test_message("%" G_GUINT64_FORMAT " reports, %" G_GUINT64_FORMAT " frames, %.0f bytes a report,"
                 " %" G_GUINT64_FORMAT " writes, %" G_GUINT64_FORMAT " direct commands",
                 world->n_heartbeats, world->n_frames,
                 (double)world->n_frame_bytes / (double)world->n_heartbeats, world->n_writes,
                 world->n_direct_commands);
  g_assert_cmpuint(world->n_frame_bytes, <, BYTES_A_HEARTBEAT * world->n_heartbeats);
  g_assert_cmpuint(world->n_writes, <, MACHINES);
  world_free(world);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/fleet/six-thousand-machines-are-served", test_six_thousand_machines_are_served);
  return g_test_run();
}
