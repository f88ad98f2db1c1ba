/* Fixtures for the tests of machine groups in the simulated world. */
#include "test-sharing-world.h"

#include "base/wire.h"
#include "sharing/sharing.h"

World *
new_sharing_world(guint32 seed) {
  World *world = world_new(seed);

  world->group_count = GROUPS;
  world->group_hold_s = 2;
  world_add_nine_machines(world);
  return world;
}

void
submit_small_job(World *world) {
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));

  world_submit(world,
               mm_json_pack("{s:i, s:f, s:s}", WIRE_TASKS, 6, WIRE_CORES, 1.0, WIRE_TEAM, team),
               world_uniform(world, 0.5, 2));
}

void
run_under_load(World *world, guint seconds) {
  for (guint i = 0; i < seconds; i++) {
    submit_small_job(world);
    world_run(world, 1);
    world_assert_invariants(world);
  }
}

void
assert_groups_are_owned(const World *world) {
  for (guint group = 0; group < world->group_count; group++) {
    guint owner = world_group_owner(world, 0, group);
    g_assert_cmpuint(owner, <, WORLD_NODES);
    g_assert_true(mm_sharing_owns(world->nodes[owner].node->sharing, group));
    for (guint i = 1; i < WORLD_NODES; i++)
      g_assert_cmpuint(world_group_owner(world, i, group), ==, owner);
  }
}
