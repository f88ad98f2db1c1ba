/* Rolling upgrades. Nodes of the old and the new release run side by side and on each other's data.
 * The nodes are restarted a few at a time amid random faults, and the limits of the key-value store
 * fall at a random time. */
#include "base/wire.h"
#include "jobs/job-table.h"
#include "peers.pb-c.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/versions.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* Returns a started world in which all nodes run the old release. With many machines, the registry
 * packs exceed the smaller limits that the test sets later. */
static World *
new_old_version_world(guint32 seed, guint machines) {
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
count_nodes_seeing_all_upgraded(const World *world) {
  guint n = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    n += world->nodes[i].node != NULL
         && mm_versions_all_support(world->nodes[i].node->versions, MM_VERSION_DEPENDENCIES);
  return n;
}

/* The submission of a job with a dependency gets 503 until every node has announced the new
 * version. From then on such submissions are accepted, even if a node is killed. */
static void
test_dependencies_wait_for_all_nodes(void) {
  World *world = new_old_version_world(1, 6);
  WorldJob *first = world_submit(world, mm_json_new_object(), 2), *dependent;

  world_run(world, 6);
  g_assert_cmpint(first->user_view, >=, USER_SEES_ACCEPTED);
  dependent = world_submit_dependent(world, mm_json_new_object(), 2, &first, 1);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world_run(world, 3);
    g_assert_false(dependent->was_accepted);
    g_assert_cmpuint(count_nodes_seeing_all_upgraded(world), ==, 0);
    world_upgrade_node(world, i, 0.5);
  }
  world_run(world, 12); /* a request to a node that was just killed times out after 5 s */
  g_assert_cmpuint(count_nodes_seeing_all_upgraded(world), ==, WORLD_NODES);
  g_assert_true(dependent->was_accepted);
  /* Version announcements remain while a node is down. */
  world_kill_node(world, 2, 60);
  world_run(world, 6);
  g_assert_cmpuint(count_nodes_seeing_all_upgraded(world), ==, WORLD_NODES - 1);
  dependent = world_submit_dependent(world, mm_json_new_object(), 2, &first, 1);
  world_run(world, 30);
  g_assert_cmpint(dependent->user_view, ==, USER_SEES_DONE);
  world_assert_invariants(world);
  world_free(world);
}

/* Runs services on most machines, so that none is returned to the cloud as idle. */
static World *
new_world_with_services(guint32 seed, guint machines) {
  World *world = new_old_version_world(seed, machines);

  for (guint i = 0; i < 4; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i);
    world_submit(world,
                 mm_json_pack("{s:s, s:s, s:i, s:f}", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_SERVICE,
                              WIRE_TASKS, (int)machines / 4, WIRE_CORES, 4.0),
                 0);
  }
  world_run(world, 20);
  return world;
}

static gsize
largest_registry_pack_bytes(const World *world) {
  const MmReplica *replica = world->nodes[0].node->replica;
  gsize most = 0;
  guint i;

  g_assert_true(replica->is_loaded);
  for (i = 0; i < WORLD_NODES; i++)
    for (guint k = 0; k < 16; k++) {
      g_autofree char *path = g_strdup_printf(MM_KEY_REGISTRY_PACK "n-%u/%u", i, k);
      const WorldKey *key = g_tree_lookup(world->keys, path);
      if (key != NULL)
        most = MAX(most, mm_json_text_length(key->value));
    }
  return most;
}

/* Registry packs that were written under larger limits are split before they are changed. Lost
 * machines are removed from these packs. */
static void
test_large_packs_are_split(void) {
  World *world = new_world_with_services(2, 120);
  guint registered = 0;

  g_assert_cmpuint(largest_registry_pack_bytes(world), >, WORLD_NEXT_VALUE_BYTES);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world_upgrade_node(world, i, 0.5);
    world_run(world, 6);
  }
  world_lower_limits(world);
  for (guint i = 0; i < world->machines->len; i += 4)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  world_run(world, 60);
  world_assert_invariants(world);
  g_assert_cmpuint(largest_registry_pack_bytes(world), <=, WORLD_NEXT_VALUE_BYTES);
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    const MmMachine *machine_on_node
        = mm_machine_table_find(world->nodes[0].node->machine_table, machine->id);
    gboolean known = machine_on_node != NULL && machine_on_node->is_in_registry;
    if (machine->is_up)
      registered += known;
    else
      g_assert_false(known);
  }
  g_assert_cmpuint(registered, >=, 80);
  world_free(world);
}

static void
submit_random_job(World *world, gboolean with_dependencies) {
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  MmJson *body = mm_json_pack("{s:s, s:i}", WIRE_TEAM, team, WIRE_TASKS,
                              g_rand_int_range(world->rand, 1, 9));
  WorldJob *dependency = with_dependencies ? world_any_job(world) : NULL;

  if (dependency != NULL && dependency->was_accepted
      && dependency->spec.kind != MM_JOB_KIND_SERVICE)
    world_submit_dependent(world, body, world_uniform(world, 1, 8), &dependency, 1);
  else
    world_submit(world, body, world_uniform(world, 1, 8));
}

/* The limits of the key-value store fall without an announcement. Nodes whose transactions are
 * refused write less at a time. These nodes do not keep sending the same refused transaction. */
static void
test_unannounced_limits_are_learned(void) {
  World *world = world_new(3);
  guint n_refused_before;

  world->has_unannounced_limits = TRUE;
  world->team_cores = 4 * 120;
  world_add_machines(world, 120, "small", 2);
  world_start(world);
  world_run(world, 4);
  for (guint i = 0; i < 8; i++)
    submit_random_job(world, FALSE);
  world_run(world, 10);
  world_lower_limits(world);
  for (guint i = 0; i < world->machines->len; i += 10)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  /* One node acquires all shards at once. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, i == 0 ? 0.5 : 30);
  world_run(world, 20);
  for (guint i = 0; i < 20; i++) {
    submit_random_job(world, FALSE);
    world_run(world, 1);
  }
  n_refused_before = world->n_too_large;
  g_assert_cmpuint(n_refused_before, >, 0);
  world_run(world, 60);
  world_assert_invariants(world);
  g_test_message("%u transactions refused, %u of them in the last minute", world->n_too_large,
                 world->n_too_large - n_refused_before);
  g_assert_cmpuint(world->n_too_large - n_refused_before, <=, 6);
  for (guint i = 0; i < world->jobs->len; i++)
    g_assert_cmpint(((const WorldJob *)g_ptr_array_index(world->jobs, i))->user_view, ==,
                    USER_SEES_DONE);
  world_free(world);
}

/* Nodes are upgraded at random times. Users submit jobs with dependencies once all nodes are
 * upgraded, and the limits fall at a random time after that. */
static void
test_rolling_upgrade(gconstpointer data) {
  World *world = new_old_version_world(GPOINTER_TO_UINT(data), 9);
  guint upgrade_at_s[WORLD_NODES], all_upgraded_at_s = 0, limits_fall_at_s;

  for (guint i = 0; i < WORLD_NODES; i++) {
    upgrade_at_s[i] = 8 + (guint)g_rand_int_range(world->rand, 0, 25);
    all_upgraded_at_s = MAX(all_upgraded_at_s, upgrade_at_s[i] + 5);
  }
  limits_fall_at_s = all_upgraded_at_s + (guint)g_rand_int_range(world->rand, 0, 30);
  for (guint second = 0; second < 100; second++) {
    if (second % 2 == 0)
      submit_random_job(world, second > all_upgraded_at_s);
    if (second % 11 == 7)
      world_cancel(world_any_job(world));
    for (guint i = 0; i < WORLD_NODES; i++)
      if (upgrade_at_s[i] == second)
        world_upgrade_node(world, i, world_uniform(world, 0.2, 3));
    if (second == limits_fall_at_s)
      world_lower_limits(world);
    if (second > 5 && world_uniform(world, 0, 1) < 0.12)
      world_inject_random_fault(world);
    world_run(world, 1);
    world_assert_invariants(world);
  }
  world->faults_ended_at_us = world->now_us + 45 * SECOND;
  world_run(world, 240);
  world_assert_invariants(world);
  g_test_message("%u requests refused with 429, above the rate limit", world->n_rate_limited);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  guint days = 6;

  world_test_init(&argc, &argv);
  /* To run more days than CI does: MM_UPGRADE_DAYS=100 tests/test-upgrade */
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
