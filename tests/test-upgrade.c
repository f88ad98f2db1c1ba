/* Upgrades: old and new nodes side by side and on each other's data, restarted a few at a time
 * beside random faults, and limits of the key-value store that fall at a random moment. */
#include "base/wire.h"
#include "jobs/job-table.h"
#include "peers.pb-c.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/versions.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* All nodes old, with so many machines that their packs outgrow the limits to come. */
static World *
old_world(guint32 seed, guint machines) {
  World *world = world_new(seed);

  world->announces_next_limits = TRUE;
  world->team_cores = 4 * MAX(machines, 6);
  for (guint i = 0; i < WORLD_NODES; i++)
    world->nodes[i].is_old_version = TRUE;
  world_add_machines(world, machines, "small", 3);
  world_start(world);
  world_run(world, 4);
  return world;
}

static guint
nodes_knowing_all_new(const World *world) {
  guint n = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    n += world->nodes[i].node != NULL
         && mm_versions_all_support(world->nodes[i].node->versions, MM_VERSION_DEPENDENCIES);
  return n;
}

/* A job that depends on another gets 503 until every node has announced the new version, and is
 * accepted from then on, whichever node ends. */
static void
test_dependencies_wait_for_all_nodes(void) {
  World *world = old_world(1, 6);
  WorldJob *first = world_submit(world, json_object(), 2), *after;

  world_run(world, 6);
  g_assert_cmpint(first->user_view, >=, USER_SEES_ACCEPTED);
  after = world_submit_dependent(world, json_object(), 2, &first, 1);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world_run(world, 3);
    g_assert_false(after->was_accepted);
    g_assert_cmpuint(nodes_knowing_all_new(world), ==, 0);
    world_upgrade_node(world, i, 0.5);
  }
  world_run(world, 12); /* a request to a node that has just ended waits for five */
  g_assert_cmpuint(nodes_knowing_all_new(world), ==, WORLD_NODES);
  g_assert_true(after->was_accepted);
  /* Announcements stay while a node is down. */
  world_kill_node(world, 2, 60);
  world_run(world, 6);
  g_assert_cmpuint(nodes_knowing_all_new(world), ==, WORLD_NODES - 1);
  after = world_submit_dependent(world, json_object(), 2, &first, 1);
  world_run(world, 30);
  g_assert_cmpint(after->user_view, ==, USER_SEES_DONE);
  world_assert_invariants(world);
  world_free(world);
}

/* Services on most machines, so that none is returned for being idle. */
static World *
world_of_services(guint32 seed, guint machines) {
  World *world = old_world(seed, machines);

  for (guint i = 0; i < 4; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i);
    world_submit(world,
                 json_pack("{s:s, s:s, s:i, s:f}", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_SERVICE,
                           WIRE_TASKS, (int)machines / 4, WIRE_CORES, 4.0),
                 0);
  }
  world_run(world, 20);
  return world;
}

static gsize
largest_pack(const World *world) {
  const MmReplica *replica = world->nodes[0].node->replica;
  gsize most = 0;
  guint i;

  g_assert_true(replica->is_loaded);
  for (i = 0; i < WORLD_NODES; i++)
    for (guint k = 0; k < 16; k++) {
      g_autofree char *path = g_strdup_printf(MM_KEY_REGISTRY_PACK "n-%u/%u", i, k);
      const WorldKey *key = g_tree_lookup(world->keys, path);
      if (key != NULL)
        most = MAX(most, json_dumpb(key->value, NULL, 0, JSON_COMPACT));
    }
  return most;
}

/* Registry packs that were written under larger limits are split before they change, and lost
 * machines leave them. */
static void
test_large_packs_are_split(void) {
  World *world = world_of_services(2, 120);
  guint registered = 0;

  g_assert_cmpuint(largest_pack(world), >, WORLD_NEXT_VALUE_BYTES);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world_upgrade_node(world, i, 0.5);
    world_run(world, 6);
  }
  world_lower_limits(world);
  for (guint i = 0; i < world->machines->len; i += 4)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  world_run(world, 60);
  world_assert_invariants(world);
  g_assert_cmpuint(largest_pack(world), <=, WORLD_NEXT_VALUE_BYTES);
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    const MmMachine *seen = mm_machine_table_find(world->nodes[0].node->machine_table, machine->id);
    gboolean known = seen != NULL && seen->is_in_registry;
    if (machine->is_up)
      registered += known;
    else
      g_assert_false(known);
  }
  g_assert_cmpuint(registered, >=, 80);
  world_free(world);
}

static void
submit_something(World *world, gboolean pipelines) {
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  json_t *body
      = json_pack("{s:s, s:i}", WIRE_TEAM, team, WIRE_TASKS, g_rand_int_range(world->rand, 1, 9));
  WorldJob *need = pipelines ? world_any_job(world) : NULL;

  if (need != NULL && need->was_accepted && need->spec.kind != MM_JOB_KIND_SERVICE)
    world_submit_dependent(world, body, world_uniform(world, 1, 8), &need, 1);
  else
    world_submit(world, body, world_uniform(world, 1, 8));
}

/* Limits that fall though nothing announced them: nodes that are refused write less at a time, and
 * nothing is sent twice as it was for long. */
static void
test_unannounced_limits_are_learned(void) {
  World *world = world_new(3);
  guint refused;

  world->has_unannounced_limits = TRUE;
  world->team_cores = 4 * 120;
  world_add_machines(world, 120, "small", 2);
  world_start(world);
  world_run(world, 4);
  for (guint i = 0; i < 8; i++)
    submit_something(world, FALSE);
  world_run(world, 10);
  world_lower_limits(world);
  for (guint i = 0; i < world->machines->len; i += 10)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  /* One node acquires all shards at once. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, i == 0 ? 0.5 : 30);
  world_run(world, 20);
  for (guint i = 0; i < 20; i++) {
    submit_something(world, FALSE);
    world_run(world, 1);
  }
  refused = world->n_too_large;
  g_assert_cmpuint(refused, >, 0);
  world_run(world, 60);
  world_assert_invariants(world);
  g_test_message("%u transactions refused, %u of them in the last minute", world->n_too_large,
                 world->n_too_large - refused);
  g_assert_cmpuint(world->n_too_large - refused, <=, 6);
  for (guint i = 0; i < world->jobs->len; i++)
    g_assert_cmpint(((const WorldJob *)g_ptr_array_index(world->jobs, i))->user_view, ==,
                    USER_SEES_DONE);
  world_free(world);
}

/* The nodes are upgraded at random moments; users use what is new once all are, and the limits fall
 * at some moment after that. */
static void
test_rolling_upgrade(gconstpointer data) {
  World *world = old_world(GPOINTER_TO_UINT(data), 9);
  guint turns[WORLD_NODES], all_new = 0, fall;

  for (guint i = 0; i < WORLD_NODES; i++) {
    turns[i] = 8 + (guint)g_rand_int_range(world->rand, 0, 25);
    all_new = MAX(all_new, turns[i] + 5);
  }
  fall = all_new + (guint)g_rand_int_range(world->rand, 0, 30);
  for (guint second = 0; second < 100; second++) {
    if (second % 2 == 0)
      submit_something(world, second > all_new);
    if (second % 11 == 7)
      world_cancel(world_any_job(world));
    for (guint i = 0; i < WORLD_NODES; i++)
      if (turns[i] == second)
        world_upgrade_node(world, i, world_uniform(world, 0.2, 3));
    if (second == fall)
      world_lower_limits(world);
    if (second > 5 && world_uniform(world, 0, 1) < 0.12)
      world_inject_random_fault(world);
    world_run(world, 1);
    world_assert_invariants(world);
  }
  world->faults_ended_at_us = world->now_us + 45 * SECOND;
  world_run(world, 240);
  world_assert_invariants(world);
  g_test_message("%u requests over the rate", world->n_rate_limited);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  guint days = 6;

  world_test_init(&argc, &argv);
  /* More days than CI plays: MM_UPGRADE_DAYS=100 tests/test-upgrade */
  if (g_getenv("MM_UPGRADE_DAYS") != NULL)
    days = (guint)g_ascii_strtoull(g_getenv("MM_UPGRADE_DAYS"), NULL, 10);
  g_test_add_func("/upgrade/dependencies-wait-for-all-nodes", test_dependencies_wait_for_all_nodes);
  g_test_add_func("/upgrade/large-packs-are-split", test_large_packs_are_split);
  g_test_add_func("/upgrade/unannounced-limits-are-learned", test_unannounced_limits_are_learned);
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/upgrade/rolling-upgrade-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_rolling_upgrade);
  }
  return g_test_run();
}
