/* Jobs with dependencies (pipelines) in the simulated world: the normal path, faults at the times
 * at which a node could misjudge a dependency, and random days. */
#include "test-pipelines.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"

/* A diamond of dependencies across teams: each stage starts within 5 s after the last of its
 * dependencies is done. */
static void
test_diamond_runs_in_order(void) {
  World *world = new_pipeline_world(1);
  WorldJob *start = submit_array(world, 0, 3, 4), *branches[2], *end;

  run_until_accepted(world, start);
  branches[0] = submit_dependent_array(world, 1, 2, 3, start);
  branches[1] = submit_dependent_array(world, 2, 2, 9, start);
  run_until_accepted(world, branches[0]);
  run_until_accepted(world, branches[1]);
  end = world_submit_dependent(world, team_job_body(3, 2), 2, branches, 2);
  run_until_user_sees(world, end, USER_SEES_DONE, 60);
  g_assert_cmpint(branches[0]->first_start_at_us, <, branches[0]->ready_at_us + 5 * SECOND);
  g_assert_cmpint(end->first_start_at_us, <, end->ready_at_us + 5 * SECOND);
  check_and_free_world(world);
}

/* Dependencies are validated at submission. Each must be the id of an accepted job that is neither
 * a service nor the submitted job itself. */
static void
test_named_dependencies_are_checked(void) {
  World *world = new_pipeline_world(2);
  WorldJob *good = submit_array(world, 0, 1, 2);
  WorldJob *service = world_submit(
      world, mm_json_pack("{s:s, s:i}", WIRE_KIND, WIRE_KIND_SERVICE, WIRE_TASKS, 1), 0);
  const struct {
    MmJson *dependencies;
    int status;
  } cases[] = {
    { mm_json_pack("[s]", "run-404404"), 422 },
    { mm_json_pack("[s, s]", good->id, "run-404404"), 422 },
    { mm_json_pack("[s]", "nobody"), 422 },
    { mm_json_pack("[s]", "run-900001"), 422 }, /* the submitted job itself */
    { mm_json_pack("[s]", service->id), 422 },
    { mm_json_pack("[s]", ""), 400 },
    { mm_json_pack("[i]", 4), 400 },
    { mm_json_new_string(good->id), 400 },
    { mm_json_new_object(), 400 },
    { mm_json_new_null(), 201 },
    { mm_json_new_array(), 200 }, /* from this case on, the submitted job is already accepted */
    { mm_json_pack("[s, s]", good->id, good->id), 200 },
    { mm_json_pack("[s]", "run-404404"), 200 },
  };

  run_until_accepted(world, good);
  run_until_accepted(world, service);
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    MmJson *body = mm_json_copy(good->body);
    int status = -1;
    mm_json_object_set(body, WIRE_JOB_ID, mm_json_new_string("run-900001"));
    mm_json_object_set(body, WIRE_DEPENDENCIES, cases[i].dependencies);
    world_send_request(world, i % WORLD_NODES, NULL, "POST", WIRE_JOBS_PATH, body, 4 * SECOND,
                       world_record_status, &status);
    world_run(world, 3);
    g_assert_cmpint(status, ==, cases[i].status);
  }
  check_and_free_world(world);
}

/* A job that waits for a dependency does not count as backlog and uses none of its team's limit and
 * quota. */
static void
test_waiting_job_uses_no_quota(void) {
  World *world = new_pipeline_world(3);
  WorldJob *slow = submit_array(world, 0, 1, 40), *wide, *other;

  run_until_accepted(world, slow);
  wide = submit_dependent_array(world, 0, 12, 2, slow); /* uses the team's whole limit */
  run_until_accepted(world, wide);
  other = submit_array(world, 0, 10, 3);
  run_until_user_sees(world, other, USER_SEES_DONE, 25);
  g_assert_cmpint(wide->user_view, ==, USER_SEES_ACCEPTED);
  g_assert_cmpuint(wide->n_starts, ==, 0);
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJob *job = mm_job_table_find(world->nodes[i].node->job_table, wide->id);
    g_assert_false(mm_job_dependencies_are_done(job));
    g_assert_false(job->is_within_quota);
    g_assert_false(job->is_starving);
  }
  run_until_user_sees(world, wide, USER_SEES_DONE, 60);
  check_and_free_world(world);
}

static WorldJob *
submit_critical_dependent(World *world, WorldJob *dependency, double deadline_s) {
  WorldJob *job
      = world_submit_dependent(world,
                               mm_json_pack("{s:s, s:s, s:f}", WIRE_TEAM, "team-2", WIRE_PRIORITY,
                                            "critical", WIRE_DEADLINE, deadline_s),
                               3, &dependency, 1);

  run_until_accepted(world, job);
  world_run(world, 2);
  return job;
}

static void
assert_priority(const World *world, const WorldJob *job, MmPriority inherited,
                MmPriority effective) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJob *seen = mm_job_table_find(world->nodes[i].node->job_table, job->id);
    g_assert_cmpint(seen->spec.priority, ==, MM_PRIORITY_LOW);
    g_assert_cmpint(seen->inherited_priority, ==, inherited);
    g_assert_cmpint(seen->effective_priority, ==, effective);
  }
}

/* A job inherits the deadline and the priority of its direct and indirect dependents. While the
 * deadline is distant, the inherited priority counts as normal at most; when the deadline is near,
 * the priority counts in full. The job loses the inherited deadline and priority when these
 * dependents are cancelled. */
static void
test_dependency_inherits_urgency(void) {
  World *world = new_pipeline_world(4);
  WorldJob *start
      = world_submit(world, mm_json_pack("{s:s, s:i}", WIRE_PRIORITY, "low", WIRE_TASKS, 1), 80);
  WorldJob *middle, *with_distant_deadline, *with_near_deadline;

  run_until_accepted(world, start);
  middle = submit_dependent_array(world, 1, 1, 3, start);
  run_until_accepted(world, middle);
  world_run(world, 2);
  assert_priority(world, start, MM_PRIORITY_NORMAL, MM_PRIORITY_NORMAL);
  with_distant_deadline = submit_critical_dependent(world, middle, 300);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_NORMAL);
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJobTable *job_table = world->nodes[i].node->job_table;
    const MmJob *first = mm_job_table_find(job_table, start->id),
                *second = mm_job_table_find(job_table, middle->id);
    g_assert_cmpint(first->due_at_ms, <, second->due_at_ms);
    g_assert_cmpint(second->due_at_ms, <,
                    mm_job_table_find(job_table, with_distant_deadline->id)->due_at_ms);
  }
  with_near_deadline = submit_critical_dependent(world, middle, 100);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_CRITICAL);
  world_cancel(with_near_deadline);
  run_until_user_sees(world, with_near_deadline, USER_SEES_CANCELLED, 20);
  world_run(world, 4);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_NORMAL);
  world_cancel(with_distant_deadline);
  run_until_user_sees(world, with_distant_deadline, USER_SEES_CANCELLED, 20);
  world_run(world, 4);
  assert_priority(world, start, MM_PRIORITY_NORMAL, MM_PRIORITY_NORMAL);
  check_and_free_world(world);
}

/* 150 direct and indirect dependents of one job, across teams, are cancelled with it. All users get
 * the cancelled state within the cancellation time even though the writes of the job records are
 * spread over time. */
static void
test_cancellation_reaches_many_dependents(void) {
  World *world = new_pipeline_world(5);
  WorldJob *start = submit_array(world, 0, 1, 300), *dependents[150];

  run_until_accepted(world, start);
  for (guint i = 0; i < G_N_ELEMENTS(dependents); i++)
    dependents[i] = submit_dependent_array(world, i % 4, 1, 3, i < 75 ? start : dependents[i - 75]);
  world_run(world, 15);
  world_lower_limits(world);
  world->value_bytes = 4096;
  world->txn_ops = 12;
  world_cancel(start);
  run_until_user_sees(world, start, USER_SEES_CANCELLED, 20);
  world_run(world, world->cancel_s);
  for (guint i = 0; i < G_N_ELEMENTS(dependents); i++) {
    g_assert_cmpint(dependents[i]->user_view, ==, USER_SEES_CANCELLED);
    g_assert_cmpuint(dependents[i]->n_starts, ==, 0);
  }
  check_and_free_world(world);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/pipelines/diamond-runs-in-order", test_diamond_runs_in_order);
  g_test_add_func("/pipelines/named-dependencies-are-checked", test_named_dependencies_are_checked);
  g_test_add_func("/pipelines/waiting-job-uses-no-quota", test_waiting_job_uses_no_quota);
  g_test_add_func("/pipelines/dependency-inherits-urgency", test_dependency_inherits_urgency);
  g_test_add_func("/pipelines/cancellation-reaches-many-dependents",
                  test_cancellation_reaches_many_dependents);
  g_test_add_func("/pipelines/leader-ends-after-done-is-written",
                  test_leader_ends_after_done_is_written);
  g_test_add_func("/pipelines/cancellation-survives-outage-and-restart",
                  test_cancellation_survives_outage_and_restart);
  g_test_add_func("/pipelines/dependent-is-submitted-during-cancellation",
                  test_dependent_is_submitted_during_cancellation);
  g_test_add_func("/pipelines/finished-dependencies-are-looked-up",
                  test_finished_dependencies_are_looked_up);
  g_test_add_func("/pipelines/stale-replica-decides-nothing", test_stale_replica_decides_nothing);
  g_test_add_func("/pipelines/cancellation-races-the-last-task",
                  test_cancellation_races_the_last_task);
  g_test_add_func("/pipelines/pipeline-survives-restarts", test_pipeline_survives_restarts);
  add_random_days();
  g_test_add_func("/pipelines/faulty/ignored-dependencies-are-found",
                  test_ignored_dependencies_are_found);
  g_test_add_func("/pipelines/faulty/uncancelled-dependents-are-found",
                  test_uncancelled_dependents_are_found);
  return g_test_run();
}
