/* Random days of pipelines, and checks that deliberately faulty nodes violate the invariants. A
 * random day is a run of the simulated world whose workload and faults are drawn from a seed. */
#include "test-pipelines.h"

#include "base/wire.h"

#define DAYS 6

/* Returns an accepted job other than a service, as a dependency for a new job. Returns NULL if
 * twenty random draws find no such job. */
static WorldJob *
random_dependency(World *world) {
  for (guint tries = 0; tries < 20; tries++) {
    WorldJob *job = world_any_job(world);
    if (job->was_accepted && job->spec.kind != MM_JOB_KIND_SERVICE)
      return job;
  }
  return NULL;
}

static void
submit_random_dependent(World *world) {
  WorldJob *dependencies[3];
  guint n = world->jobs->len > 3 ? (guint)g_rand_int_range(world->rand, 0, 4) : 0, n_found = 0;
  gboolean is_gang = g_rand_int_range(world->rand, 0, 5) == 0;
  MmJson *body = team_job_body((guint)g_rand_int_range(world->rand, 0, 4),
                               (guint)g_rand_int_range(world->rand, 1, 5));

  if (is_gang)
    mm_json_object_set(body, WIRE_KIND, mm_json_new_string(WIRE_KIND_GANG));
  for (guint i = 0; i < n; i++) {
    WorldJob *dependency = random_dependency(world);
    if (dependency != NULL)
      dependencies[n_found++] = dependency;
  }
  world_submit_dependent(world, body, world_uniform(world, 1, 10), dependencies, n_found);
}

/* Submits a job every two seconds, three of four with dependencies, and cancels some. */
static void
run_day(World *world, gboolean with_faults, guint seconds, gboolean stop_at_violation) {
  for (guint second = 0; second < seconds; second++) {
    if (second % 2 == 0)
      submit_random_dependent(world);
    if (second % 9 == 5)
      world_cancel(world_any_job(world));
    if (with_faults && second > 8 && world_uniform(world, 0, 1) < 0.12)
      world_inject_random_fault(world);
    world_run(world, 1);
    if (stop_at_violation && world->violations->len > 0)
      return;
  }
}

static void
test_random_day(gconstpointer data) {
  World *world = new_pipeline_world(GPOINTER_TO_UINT(data));
  guint n_dependents = 0;

  world->duplicate_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.02;
  run_day(world, TRUE, 100, FALSE);
  world->faults_ended_at_us = world->now_us + 45 * SECOND;
  world_run(world, 260);
  world_assert_invariants(world);
  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    n_dependents += job->dependencies->len > 0;
  }
  g_test_message("%u jobs, %u with dependencies", world->jobs->len, n_dependents);
  g_assert_cmpuint(n_dependents, >, 20);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

void
add_random_days(void) {
  guint days = DAYS;

  /* To run more days than CI does: MM_PIPELINE_DAYS=100 tests/test-pipelines */
  if (g_getenv("MM_PIPELINE_DAYS") != NULL)
    days = (guint)g_ascii_strtoull(g_getenv("MM_PIPELINE_DAYS"), NULL, 10);
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/pipelines/random-day-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_day);
  }
}

/* Faulty nodes. */

/* Returns whether nodes with these faults violate the invariant on at least one of four days. */
static gboolean
violates_invariant(const char *invariant, gboolean ignore_dependencies, gboolean ignore_ancestors) {
  gboolean is_violated = FALSE;

  for (guint32 seed = 1; seed <= 4 && !is_violated; seed++) {
    World *world = new_pipeline_world(seed);
    world->ignore_dependencies = ignore_dependencies;
    world->ignore_ancestors = ignore_ancestors;
    run_day(world, FALSE, 60, TRUE);
    if (ignore_ancestors)
      world_run(world, 60);
    for (guint i = 0; i < world->violations->len; i++)
      is_violated
          = is_violated || g_str_has_prefix(g_ptr_array_index(world->violations, i), invariant);
    world_free(world);
  }
  return is_violated;
}

void
test_ignored_dependencies_are_found(void) {
  g_assert_false(violates_invariant("too_early", FALSE, FALSE));
  g_assert_true(violates_invariant("too_early", TRUE, FALSE));
}

void
test_uncancelled_dependents_are_found(void) {
  g_assert_false(violates_invariant("orphaned", FALSE, FALSE));
  g_assert_true(violates_invariant("orphaned", FALSE, TRUE));
}
