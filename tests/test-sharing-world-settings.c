/* Machine sharing under changing settings: on and off, number of groups, limits, weights. */
#include "test-sharing-world.h"

#include "base/wire.h"
#include "sharing/sharing.h"

/* Returns the number of nodes on which sharing is active. */
static guint
count_active(const World *world) {
  guint n = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    n += world->nodes[i].node != NULL && world->nodes[i].node->sharing->is_active;
  return n;
}

static gboolean
count_group_key(gpointer path, gpointer value, gpointer data) {
  *(guint *)data += g_str_has_prefix(path, "mm/r/g/");
  return FALSE;
}

static guint
count_group_keys(const World *world) {
  guint n = 0;

  g_tree_foreach(world->keys, count_group_key, &n);
  return n;
}

static void
restart_with_groups(World *world, guint node, guint groups) {
  world_kill_node(world, node, 0.5);
  world->nodes[node].operators.group_count = groups;
}

/* Sharing becomes active once all nodes in the settings have sharing enabled, and becomes inactive
 * when one node has sharing disabled. When sharing has become inactive, no group key is left
 * behind, and the nodes schedule as without sharing. */
void
test_sharing_turns_on_and_off(void) {
  World *world = new_sharing_world(31);
  const WorldKey *key;

  world_start(world);
  world->nodes[2].operators.group_count = 0;
  world_run(world, 3);
  run_under_load(world, 8);
  g_assert_cmpuint(count_active(world), ==, 0);
  g_assert_cmpuint(count_group_keys(world), ==, 0);
  g_assert_cmpuint(world->n_starts, >, 20);
  /* The node's version key has the same bytes as the version key of a node without sharing. */
  key = g_tree_lookup(world->keys, "mm/r/v/n-2");
  g_assert_cmpuint(mm_json_object_size(key->value), ==, 1);
  restart_with_groups(world, 2, GROUPS);
  run_under_load(world, 10);
  g_assert_cmpuint(count_active(world), ==, WORLD_NODES);
  assert_groups_are_owned(world);
  restart_with_groups(world, 1, 0);
  run_under_load(world, 10);
  g_assert_cmpuint(count_active(world), ==, 0);
  g_assert_cmpuint(count_group_keys(world), ==, 0);
  world_finish_run(world);
}

/* A node whose settings have a different number of groups detects the difference before the node
 * makes any announcement. Such a node owns no group. */
void
test_other_group_count_is_inactive(void) {
  World *world = new_sharing_world(32);

  world_start(world);
  world_run(world, 6);
  restart_with_groups(world, 1, GROUPS / 2);
  world_run(world, 6);
  g_assert_cmpuint(world->nodes[1].node->sharing->conflicting_group_count, ==, GROUPS);
  g_assert_cmpuint(world->nodes[0].node->sharing->conflicting_group_count, ==, 0);
  g_assert_true(world->nodes[0].node->sharing->is_active);
  g_assert_cmpuint(mm_group_map_conflicting_group_count(world->nodes[0].node->sharing->map), ==, 0);
  restart_with_groups(world, 1, GROUPS);
  world_finish_run(world);
}

/* Smaller limits take effect while groups move all the time. The simulated key-value store fails
 * the test when a value exceeds the limits. */
void
test_limits_fall_while_groups_move(void) {
  World *world = new_sharing_world(33);

  world->announces_next_limits = TRUE;
  world_start(world);
  world_run(world, 4);
  for (guint i = 0; i < 40; i++) {
    if (i == 15)
      world_lower_limits(world);
    world_random_move(world);
    submit_small_job(world);
    world_run(world, 0.5);
    world_assert_invariants(world);
  }
  g_assert_cmpuint(world->n_moves_started, >, 10);
  world_finish_run(world);
}

static void
move_all_groups(World *world, guint round) {
  for (guint group = 0; group < world->group_count; group++)
    world_move_group(world, round % WORLD_NODES, group, (round + group) % WORLD_NODES);
}

static WorldJob *
submit_gang(World *world, double run_s) {
  return world_submit(world,
                      mm_json_pack("{s:s, s:i, s:f, s:s}", WIRE_KIND, WIRE_KIND_GANG, WIRE_TASKS, 4,
                                   WIRE_CORES, 4.0, WIRE_PRIORITY, "urgent"),
                      run_s);
}

/* A gang runs on machines of several groups that all move; no running task is stopped. */
void
test_gang_runs_while_groups_move(void) {
  World *world = new_sharing_world(34);
  WorldJob *gang, *late_gang;

  for (guint i = 0; i < world->machines->len; i++)
    world_machine_at(world, i)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  gang = submit_gang(world, 15);
  world_run(world, 10);
  g_assert_cmpuint(world_count_running(world, gang, NULL), ==, 4);
  for (guint i = 0; i < 40; i++) {
    move_all_groups(world, i);
    world_run(world, 0.5);
    world_assert_invariants(world);
  }
  world_run(world, 5);
  g_assert_cmpuint(world->n_stops, ==, 0);
  g_assert_cmpuint(gang->n_starts, ==, 4);
  g_assert_cmpint(gang->user_view, ==, USER_SEES_DONE);
  g_assert_cmpuint(world->n_moves_started, >, 100);
  /* A gang that starts during the moves may need several attempts to get its places, but must run.
   */
  late_gang = submit_gang(world, 5);
  for (guint i = 0; i < 40; i++) {
    move_all_groups(world, i);
    world_run(world, 2);
  }
  g_assert_cmpint(late_gang->user_view, ==, USER_SEES_DONE);
  world_finish_run(world);
}

/* All groups leave a node of weight 0, one at a time. When all weights are equal again, the node
 * gets its share, and no group moves after that. */
void
test_weights_decide_shares(void) {
  World *world = new_sharing_world(35);
  guint64 moved;

  world_start(world);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world->nodes[i].operators.group_weights[0] = (MmNodeWeight){ mm_name("n-1"), 0 };
    world->nodes[i].operators.n_group_weights = 1;
  }
  world_run(world, 8);
  g_assert_cmpuint(world->nodes[1].node->sharing->n_owned, ==, 0);
  for (guint i = 0; i < WORLD_NODES; i++)
    world->nodes[i].operators.n_group_weights = 0;
  run_under_load(world, 40);
  g_assert_cmpuint(world->nodes[1].node->sharing->n_owned, >=, GROUPS / WORLD_NODES - 2);
  moved = world->nodes[0].node->sharing->n_moved + world->nodes[2].node->sharing->n_moved;
  g_assert_cmpuint(moved, <=, GROUPS / WORLD_NODES + 1);
  run_under_load(world, 30);
  g_assert_cmpuint(world->nodes[0].node->sharing->n_moved + world->nodes[2].node->sharing->n_moved,
                   ==, moved);
  world_finish_run(world);
}
