/* Runs scenarios in which two faults overlap. Each scenario injects the faults and shows that the
 * faults did overlap. After each scenario, the invariants must hold and all jobs must finish. */
#include "test-concurrent-faults.h"

typedef struct {
  const char *name;
  /* Injects the faults and returns how often they overlapped. */
  guint (*run)(World *world);
} FaultScenario;

static const FaultScenario scenarios[] = {
  { "autoscaler-is-cut-from-workers", autoscaler_is_partitioned_from_workers },
  { "commands-are-delayed", commands_are_delayed },
  { "zone-is-cut-with-its-node", zone_is_partitioned_with_its_node },
  { "node-restarts-while-zone-is-cut", node_restarts_while_zone_is_partitioned },
  { "all-nodes-end-and-one-returns", all_nodes_end_and_one_returns },
  { "stale-heartbeats-arrive", stale_heartbeats_arrive },
  { "transactions-are-applied-late", transactions_are_applied_late },
  { "lease-announcements-are-applied-late", lease_announcements_are_applied_late },
  { "heartbeats-are-lost-commands-arrive", heartbeats_are_lost_commands_arrive },
  { "delayed-heartbeat-reaches-new-leader", delayed_heartbeat_reaches_new_leader },
  { "tasks-end-far-apart-between-failovers", tasks_end_far_apart_between_failovers },
  { "jobs-are-cancelled-as-they-end", jobs_are_cancelled_as_they_end },
  { "outage-follows-cancellation", outage_follows_cancellation },
  { "outage-follows-cancellation-without-leader", outage_follows_cancellation_without_leader },
  { "zone-bound-jobs-lose-machines", zone_bound_jobs_lose_machines },
  { "leader-is-cut-off-from-cancellation", leader_is_partitioned_during_cancellation },
  { "more-work-than-resources", more_work_than_resources },
  { "leader-ends-while-machines-are-unreached", leader_ends_while_machines_are_unreached },
  { "ten-failovers-in-two-minutes", ten_failovers_in_two_minutes },
  { "store-is-slow-then-refuses", store_is_slow_then_refuses },
  { "all-nodes-are-down-beyond-a-lease", all_nodes_are_down_beyond_a_lease },
  { "team-is-at-its-limit-during-failover", team_is_at_its_limit_during_failover },
  { "machines-hang-as-jobs-are-cancelled", workers_are_suspended_as_jobs_are_cancelled },
  { "stale-node-misses-cancellation", stale_node_misses_cancellation },
};

static World *
new_fault_world(guint32 seed) {
  World *world = world_new(seed);

  world_add_machines(world, 9, "small", 3);
  world_start(world);
  world_run(world, 3);
  return world;
}

/* Cancels the services, then checks that all jobs finish once the faults have ended, that users
 * were served and that no invariant was broken. */
static void
finish_jobs_and_check(World *world) {
  world->faults_ended_at_us = world->now_us + 30 * SECOND;
  for (guint i = 0; i < world->jobs->len; i++)
    if (world_job_at(world, i)->spec.kind == MM_JOB_KIND_SERVICE
        && !world_job_at(world, i)->is_cancel_requested)
      world_cancel(world_job_at(world, i));
  world_run(world, 150);
  world_check_served(world);
  world_assert_invariants(world);
  for (guint i = 0; i < world->jobs->len; i++)
    if (world_job_at(world, i)->user_view < USER_SEES_CANCELLED)
      g_test_message("job %s did not finish: %u of %u tasks done", world_job_at(world, i)->id,
                     world_job_at(world, i)->n_done, world_job_at(world, i)->spec.n_tasks);
  g_assert_cmpuint(count_jobs_seen_as(world, USER_SEES_DONE)
                       + count_jobs_seen_as(world, USER_SEES_CANCELLED),
                   ==, world->jobs->len);
}

static void
test_fault_scenario(gconstpointer data) {
  const FaultScenario *scenario = data;
  guint first_seed = 1, last_seed = 2, n_overlaps = 0;

  /* CI runs the seeds 1 and 2. MM_FAULT_DAYS=50 tests/test-concurrent-faults runs the seeds 1 to
   * 50, and MM_FAULT_DAY=7 runs only the seed 7. */
  if (g_getenv("MM_FAULT_DAYS") != NULL)
    last_seed = (guint)g_ascii_strtoull(g_getenv("MM_FAULT_DAYS"), NULL, 10);
  if (g_getenv("MM_FAULT_DAY") != NULL)
    first_seed = last_seed = (guint)g_ascii_strtoull(g_getenv("MM_FAULT_DAY"), NULL, 10);
  for (guint32 seed = first_seed; seed <= last_seed; seed++) {
    World *world = new_fault_world(seed);
    guint n_overlaps_in_run = scenario->run(world);
    g_test_message("seed %u: the faults overlapped %u times", seed, n_overlaps_in_run);
    n_overlaps += n_overlaps_in_run;
    finish_jobs_and_check(world);
    world_free(world);
  }
  g_assert_cmpuint(n_overlaps, >, 0);
}

/* Runs nodes with the given fault with four seeds. Returns whether tasks of cancelled jobs keep
 * running with at least one of the seeds. */
static gboolean
cancelled_tasks_keep_running(guint (*run_scenario)(World *world), gboolean only_leader_knows,
                             gboolean never_stale) {
  gboolean is_broken = FALSE;

  for (guint32 seed = 1; seed <= 4 && !is_broken; seed++) {
    World *world = new_fault_world(seed);
    world->only_leader_knows_cancelled = only_leader_knows;
    world->replica_never_stale = never_stale;
    run_scenario(world);
    for (guint i = 0; i < world->violations->len; i++)
      is_broken
          = is_broken || g_str_has_prefix(g_ptr_array_index(world->violations, i), "ran_cancelled");
    world_free(world);
  }
  return is_broken;
}

/* The injected fault: a node knows only of the cancellations in the shards that it leads. Tasks of
 * other cancelled jobs then run on. */
static void
test_cancellation_known_to_leader_only_is_found(void) {
  g_assert_true(
      cancelled_tasks_keep_running(outage_follows_cancellation_without_leader, TRUE, FALSE));
}

/* The injected fault: a node continues to respond to its workers although its replica is stale.
 * Tasks of cancelled jobs then run on. */
static void
test_replica_never_stale_is_found(void) {
  g_assert_true(cancelled_tasks_keep_running(stale_node_misses_cancellation, FALSE, TRUE));
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
    g_autofree char *path = g_strconcat("/concurrent-faults/", scenarios[i].name, NULL);
    g_test_add_data_func(path, &scenarios[i], test_fault_scenario);
  }
  g_test_add_func("/concurrent-faults/faulty/cancellation-known-to-leader-only-is-found",
                  test_cancellation_known_to_leader_only_is_found);
  g_test_add_func("/concurrent-faults/faulty/replica-never-stale-is-found",
                  test_replica_never_stale_is_found);
  return g_test_run();
}
