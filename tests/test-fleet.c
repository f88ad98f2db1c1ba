/* Tests a fleet with half as many machines again as the largest planned fleet, to show that no
 * limit is reached below that size. The cost is counted in messages and bytes. */
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
  world->worker_lease_s = 3 * HEARTBEAT_S;
  world->cancel_s = world->worker_lease_s + 25;
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
count_machines_up(const World *world) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    n += machine->is_up && !machine->is_terminated;
  }
  return n;
}

/* Returns the number of machines that have an unexpired lease and that the node knows both from
 * heartbeats and from the registry. */
static guint
count_machines_known(const World *world, guint node) {
  const GPtrArray *order = world->nodes[node].node->machine_table->sorted_machines;
  guint n = 0;

  for (guint i = 0; i < order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(order, i);
    n += machine->has_reported && mm_machine_has_registered_incarnation(machine)
         && !machine->lease_has_expired;
  }
  return n;
}

/* Returns the number of machines that shard leaders count as unacknowledged, summed over all
 * shards. */
static guint
count_unacknowledged_machines(const World *world) {
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
count_led_shards(const World *world) {
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
                 mm_json_pack("{s:s, s:s, s:i}", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_ARRAY,
                              WIRE_TASKS, (int)tasks),
                 8);
  }
}

static gboolean
all_machines_known(const World *world) {
  for (guint i = 0; i < WORLD_NODES; i++)
    if (count_machines_known(world, i) != count_machines_up(world))
      return FALSE;
  return count_unacknowledged_machines(world) == 0 && count_led_shards(world) == 4;
}

#define KNOWN_TIMEOUT_S (5 * HEARTBEAT_S)

/* Runs until every node knows every machine and all machines have acknowledged the terms of all
 * shard leaders. */
static void
run_until_all_machines_known(World *world) {
  for (guint s = 0; s < KNOWN_TIMEOUT_S && !all_machines_known(world); s++)
    world_run(world, 1);
  g_assert_true(all_machines_known(world));
}

static gboolean
all_jobs_done(const World *world) {
  for (guint i = 0; i < world->jobs->len; i++)
    if (((const WorldJob *)g_ptr_array_index(world->jobs, i))->user_view != USER_SEES_DONE)
      return FALSE;
  return TRUE;
}

#define DONE_TIMEOUT_S 80

static void
run_until_all_jobs_done(World *world) {
  for (guint s = 0; s < DONE_TIMEOUT_S && !all_jobs_done(world); s++)
    world_run(world, 1);
  g_assert_true(all_jobs_done(world));
}

/* Bound on the average number of bytes in frames between nodes per heartbeat. A heartbeat is
 * forwarded to two peers, in full if it contains anything new. */
#define MAX_BYTES_PER_HEARTBEAT 600

static void
test_six_thousand_machines_are_served(void) {
  World *world = fleet_world();

  world_run(world, HEARTBEAT_S);
  run_until_all_machines_known(world);
  /* Three in a hundred machines never come up in the simulated world. */
  g_assert_cmpuint(count_machines_up(world), >=, MACHINES * 95 / 100);
  submit_arrays(world, 12, 400);
  run_until_all_jobs_done(world);
  /* All nodes restart, so that every shard is acquired again. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.3 + 0.3 * i);
  world_run(world, HEARTBEAT_S);
  run_until_all_machines_known(world);
  /* A zone is partitioned with its node, for longer than the duration of a worker's lease. */
  world_partition_zone(world, 1, world->worker_lease_s + HEARTBEAT_S, FALSE);
  submit_arrays(world, 4, 400);
  world_run(world, world->worker_lease_s + 2 * HEARTBEAT_S);
  world_assert_invariants(world);
  run_until_all_machines_known(world);
  submit_arrays(world, 4, 400);
  run_until_all_jobs_done(world);
  world_assert_invariants(world);
  g_test_message("%" G_GUINT64_FORMAT " heartbeats, %" G_GUINT64_FORMAT
                 " frames, %.0f bytes per heartbeat,"
                 " %" G_GUINT64_FORMAT " writes, %" G_GUINT64_FORMAT " direct commands",
                 world->n_heartbeats, world->n_frames,
                 (double)world->n_frame_bytes / (double)world->n_heartbeats, world->n_writes,
                 world->n_direct_commands);
  g_assert_cmpuint(world->n_frame_bytes, <, MAX_BYTES_PER_HEARTBEAT * world->n_heartbeats);
  g_assert_cmpuint(world->n_writes, <, MACHINES);
  world_free(world);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/fleet/six-thousand-machines-are-served", test_six_thousand_machines_are_served);
  return g_test_run();
}
