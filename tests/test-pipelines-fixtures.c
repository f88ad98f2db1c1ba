/* Fixtures for the tests of jobs with dependencies (pipelines) in the simulated world. */
#include "test-pipelines.h"

#include "base/wire.h"

World *
new_pipeline_world(guint32 seed) {
  World *world = world_new(seed);

  for (guint i = 0; i < 9; i++)
    world_add_machine(world, "small",
                      i % 3 == 0   ? "a"
                      : i % 3 == 1 ? "b"
                                   : "c",
                      FALSE, 0.1)
        ->failure_rate
        = 0;
  world_start(world);
  world_run(world, 4);
  return world;
}

MmJson *
team_job_body(guint team, guint tasks) {
  g_autofree char *name = g_strdup_printf("team-%u", team);

  return mm_json_pack("{s:s, s:i}", WIRE_TEAM, name, WIRE_TASKS, (int)tasks);
}

WorldJob *
submit_array(World *world, guint team, guint tasks, double run_s) {
  return world_submit(world, team_job_body(team, tasks), run_s);
}

WorldJob *
submit_dependent_array(World *world, guint team, guint tasks, double run_s, WorldJob *dependency) {
  return world_submit_dependent(world, team_job_body(team, tasks), run_s, &dependency, 1);
}

void
run_until_accepted(World *world, const WorldJob *job) {
  for (guint i = 0; i < 600 && !job->was_accepted; i++)
    world_run(world, 0.05);
  g_assert_true(job->was_accepted);
}

void
run_until_user_sees(World *world, const WorldJob *job, WorldUserView view, double timeout_s) {
  for (double s = 0; s < timeout_s && job->user_view != view; s += 0.2)
    world_run(world, 0.2);
  g_assert_cmpint(job->user_view, ==, view);
}

void
check_and_free_world(World *world) {
  world_assert_invariants(world);
  world_free(world);
}
