/* Fixtures of the tests with hundreds of machines or more. */
#include "test-large.h"

#include "base/wire.h"

const char *const zones[3] = { "a", "b", "c" };

static void
submit_service(World *world, guint tasks) {
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  g_autofree char *image = g_strdup_printf("web-%d", g_rand_int_range(world->rand, 0, 20));

  world_submit(world,
               mm_json_pack("{s:s, s:s, s:s, s:s, s:i, s:b, s:b, s:f}", WIRE_TEAM, team, WIRE_KIND,
                            WIRE_KIND_SERVICE, WIRE_PRIORITY, "critical", WIRE_IMAGE, image,
                            WIRE_TASKS, tasks, WIRE_SPREAD, 1, WIRE_SPOT, 0, WIRE_MEMORY, 7.2),
               0);
}

static void
submit_array(World *world, guint tasks, double run_s) {
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  g_autofree char *image = g_strdup_printf("array-%d", g_rand_int_range(world->rand, 0, 16));

  world_submit(world,
               mm_json_pack("{s:s, s:s, s:s, s:i, s:f}", WIRE_TEAM, team, WIRE_KIND,
                            WIRE_KIND_ARRAY, WIRE_IMAGE, image, WIRE_TASKS, tasks, WIRE_MEMORY,
                            3.7),
               run_s);
}

void
run_under_load(World *world, guint machines, guint seconds) {
  static const guint sizes[] = { 2, 5, 6, 12 };

  for (guint i = 0; i < machines / 6; i++)
    submit_service(world, sizes[i % 4]);
  for (guint second = 0; second < seconds; second++) {
    if (second % 4 == 0)
      submit_array(world, machines / 2 + (guint)g_rand_int_range(world->rand, 0, (gint)machines),
                   25);
    if (second % 10 == 0)
      submit_service(world, sizes[second / 10 % 4]);
    world_run(world, 1);
    world_assert_invariants(world);
  }
}
