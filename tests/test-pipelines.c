/* Jobs that depend on others, in the simulated world: whole days of pipelines under troubles, the
 * meetings in which a dependency could be misjudged, and nodes broken on purpose that get caught.
 */
#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

static World *
pipeline_world(guint32 seed) {
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

static json_t *
of_team(guint team, guint tasks) {
  g_autofree char *name = g_strdup_printf("team-%u", team);

  return json_pack("{s:s, s:i}", WIRE_TEAM, name, WIRE_TASKS, (int)tasks);
}

static WorldJob *
first_job(World *world, guint team, guint tasks, double run_s) {
  return world_submit(world, of_team(team, tasks), run_s);
}

static WorldJob *
next_job(World *world, guint team, guint tasks, double run_s, WorldJob *need) {
  return world_submit_dependent(world, of_team(team, tasks), run_s, &need, 1);
}

static void
run_until_accepted(World *world, const WorldJob *job) {
  for (guint i = 0; i < 600 && !job->was_accepted; i++)
    world_run(world, 0.05);
  g_assert_true(job->was_accepted);
}

static void
run_until_told(World *world, const WorldJob *job, WorldUserView told, double most_s) {
  for (double s = 0; s < most_s && job->user_view != told; s += 0.2)
    world_run(world, 0.2);
  g_assert_cmpint(job->user_view, ==, told);
}

static void
finish_world(World *world) {
  world_assert_invariants(world);
  world_free(world);
}

/* ---- the ordinary course ---- */

/* A diamond across teams: each stage begins shortly after the last one that it needs. */
static void
test_diamond_runs_in_order(void) {
  World *world = pipeline_world(1);
  WorldJob *start = first_job(world, 0, 3, 4), *arms[2], *end;

  run_until_accepted(world, start);
  arms[0] = next_job(world, 1, 2, 3, start);
  arms[1] = next_job(world, 2, 2, 9, start);
  run_until_accepted(world, arms[0]);
  run_until_accepted(world, arms[1]);
  end = world_submit_dependent(world, of_team(3, 2), 2, arms, 2);
  run_until_told(world, end, USER_SEES_DONE, 60);
  g_assert_cmpint(arms[0]->first_start_at_us, <, arms[0]->ready_at_us + 5 * SECOND);
  g_assert_cmpint(end->first_start_at_us, <, end->ready_at_us + 5 * SECOND);
  finish_world(world);
}

/* What a job names is checked: jobs that were accepted, no services, not itself, job ids. */
static void
test_named_dependencies_are_checked(void) {
  World *world = pipeline_world(2);
  WorldJob *good = first_job(world, 0, 1, 2);
  WorldJob *service = world_submit(
      world, json_pack("{s:s, s:i}", WIRE_KIND, WIRE_KIND_SERVICE, WIRE_TASKS, 1), 0);
  const struct {
    json_t *needs;
    int status;
  } cases[] = {
    { json_pack("[s]", "run-404404"), 422 },
    { json_pack("[s, s]", good->id, "run-404404"), 422 },
    { json_pack("[s]", "nobody"), 422 },
    { json_pack("[s]", "run-900001"), 422 }, /* itself */
    { json_pack("[s]", service->id), 422 },
    { json_pack("[s]", ""), 400 },
    { json_pack("[i]", 4), 400 },
    { json_string(good->id), 400 },
    { json_object(), 400 },
    { json_null(), 201 },
    { json_array(), 200 }, /* a repetition from here on */
    { json_pack("[s, s]", good->id, good->id), 200 },
    { json_pack("[s]", "run-404404"), 200 },
  };

  run_until_accepted(world, good);
  run_until_accepted(world, service);
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    json_t *body = json_deep_copy(good->body);
    int status = -1;
    json_object_set_new(body, WIRE_JOB_ID, json_string("run-900001"));
    json_object_set_new(body, WIRE_NEEDS, cases[i].needs);
    world_send_request(world, i % WORLD_NODES, NULL, "POST", WIRE_JOBS_PATH, body, 4 * SECOND,
                       world_record_status, &status);
    world_run(world, 3);
    g_assert_cmpint(status, ==, cases[i].status);
  }
  finish_world(world);
}

/* A job that waits is no backlog and takes nothing of its team's limit and guarantee. */
static void
test_waiting_job_uses_no_quota(void) {
  World *world = pipeline_world(3);
  WorldJob *slow = first_job(world, 0, 1, 40), *wide, *other;

  run_until_accepted(world, slow);
  wide = next_job(world, 0, 12, 2, slow); /* the whole limit of the team */
  run_until_accepted(world, wide);
  other = first_job(world, 0, 10, 3);
  run_until_told(world, other, USER_SEES_DONE, 25);
  g_assert_cmpint(wide->user_view, ==, USER_SEES_ACCEPTED);
  g_assert_cmpuint(wide->n_starts, ==, 0);
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJob *job = mm_job_table_find(world->nodes[i].node->job_table, wide->id);
    g_assert_false(mm_job_dependencies_are_done(job));
    g_assert_false(job->is_within_quota);
    g_assert_false(job->is_starving);
  }
  run_until_told(world, wide, USER_SEES_DONE, 60);
  finish_world(world);
}

static WorldJob *
critical_after(World *world, WorldJob *need, double deadline_s) {
  WorldJob *job
      = world_submit_dependent(world,
                               json_pack("{s:s, s:s, s:f}", WIRE_TEAM, "team-2", WIRE_PRIORITY,
                                         "critical", WIRE_DEADLINE, deadline_s),
                               3, &need, 1);

  run_until_accepted(world, job);
  world_run(world, 2);
  return job;
}

static void
assert_priority(const World *world, const WorldJob *job, MmPriority inherited, MmPriority now) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJob *seen = mm_job_table_find(world->nodes[i].node->job_table, job->id);
    g_assert_cmpint(seen->spec.priority, ==, MM_PRIORITY_LOW);
    g_assert_cmpint(seen->inherited_priority, ==, inherited);
    g_assert_cmpint(seen->effective_priority, ==, now);
  }
}

/* A job takes over the deadline and the priority of what needs it, directly or not: in the order of
 * ordinary work while there is time, whole when the deadline is near. It gives both back. */
static void
test_dependency_inherits_urgency(void) {
  World *world = pipeline_world(4);
  WorldJob *start
      = world_submit(world, json_pack("{s:s, s:i}", WIRE_PRIORITY, "low", WIRE_TASKS, 1), 80);
  WorldJob *middle, *relaxed, *hurried;

  run_until_accepted(world, start);
  middle = next_job(world, 1, 1, 3, start);
  run_until_accepted(world, middle);
  world_run(world, 2);
  assert_priority(world, start, MM_PRIORITY_NORMAL, MM_PRIORITY_NORMAL);
  relaxed = critical_after(world, middle, 300);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_NORMAL);
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmJobTable *job_table = world->nodes[i].node->job_table;
    const MmJob *first = mm_job_table_find(job_table, start->id),
                *second = mm_job_table_find(job_table, middle->id);
    g_assert_cmpint(first->due_at_ms, <, second->due_at_ms);
    g_assert_cmpint(second->due_at_ms, <, mm_job_table_find(job_table, relaxed->id)->due_at_ms);
  }
  hurried = critical_after(world, middle, 100);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_CRITICAL);
  world_cancel(hurried);
  run_until_told(world, hurried, USER_SEES_CANCELLED, 20);
  world_run(world, 4);
  assert_priority(world, start, MM_PRIORITY_CRITICAL, MM_PRIORITY_NORMAL);
  world_cancel(relaxed);
  run_until_told(world, relaxed, USER_SEES_CANCELLED, 20);
  world_run(world, 4);
  assert_priority(world, start, MM_PRIORITY_NORMAL, MM_PRIORITY_NORMAL);
  finish_world(world);
}

/* Hundreds of dependents of one job are cancelled with it, across teams, and all users hear of it
 * in time though the records take their turn. */
static void
test_cancellation_reaches_many_dependents(void) {
  World *world = pipeline_world(5);
  WorldJob *start = first_job(world, 0, 1, 300), *after[150];

  run_until_accepted(world, start);
  for (guint i = 0; i < G_N_ELEMENTS(after); i++)
    after[i] = next_job(world, i % 4, 1, 3, i < 75 ? start : after[i - 75]);
  world_run(world, 15);
  world_lower_limits(world);
  world->value_bytes = 4096;
  world->txn_ops = 12;
  world_cancel(start);
  run_until_told(world, start, USER_SEES_CANCELLED, 20);
  world_run(world, world->cancel_s);
  for (guint i = 0; i < G_N_ELEMENTS(after); i++) {
    g_assert_cmpint(after[i]->user_view, ==, USER_SEES_CANCELLED);
    g_assert_cmpuint(after[i]->n_starts, ==, 0);
  }
  finish_world(world);
}

/* ---- meetings ---- */

/* The owner of a dependency ends between the write of `done` and the telling: its dependents, of
 * another owner, go on by what the state service holds. */
static void
test_leader_ends_after_done_is_written(void) {
  for (guint32 seed = 1; seed <= 3; seed++) {
    World *world = pipeline_world(seed);
    WorldJob *start = first_job(world, 0, 1, 6), *end;
    MmTerminalState state;
    guint owner = G_MAXUINT;

    run_until_accepted(world, start);
    end = next_job(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    for (guint i = 0; i < 4000 && owner == G_MAXUINT; i++) {
      world_run(world, 0.005);
      for (guint n = 0; n < WORLD_NODES; n++)
        if (mm_job_table_get_terminal_state(world->nodes[n].node->job_table, start->id, &state))
          owner = n;
    }
    g_assert_cmpuint(owner, <, WORLD_NODES);
    world_kill_node(world, owner, 5);
    run_until_told(world, end, USER_SEES_DONE, 60);
    finish_world(world);
  }
}

/* Cancellation confirmed, then the state service is down for all, and all nodes end in it. */
static void
test_cancellation_survives_outage_and_restart(void) {
  World *world = pipeline_world(6);
  WorldJob *start = first_job(world, 0, 2, 60), *middle, *end;

  run_until_accepted(world, start);
  middle = next_job(world, 1, 2, 3, start);
  run_until_accepted(world, middle);
  end = next_job(world, 2, 2, 3, middle);
  run_until_accepted(world, end);
  world_cancel(start);
  run_until_told(world, start, USER_SEES_CANCELLED, 20);
  world_kv_outage(world, 12);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 1);
  world_run(world, 14);
  run_until_told(world, end, USER_SEES_CANCELLED, 15);
  run_until_told(world, middle, USER_SEES_CANCELLED, 15);
  g_assert_cmpuint(middle->n_starts + end->n_starts, ==, 0);
  finish_world(world);
}

/* A dependent is submitted to another node in the same moment as the cancellation. */
static void
test_dependent_is_submitted_during_cancellation(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = pipeline_world(seed);
    WorldJob *start = first_job(world, 0, 2, 60), *end;

    run_until_accepted(world, start);
    world_run(world, 3);
    world_cancel(start);
    world_run(world, seed * 0.004);
    end = next_job(world, 1, 2, 3, start);
    run_until_accepted(world, end);
    run_until_told(world, end, USER_SEES_CANCELLED, 25);
    g_assert_cmpuint(end->n_starts, ==, 0);
    finish_world(world);
  }
}

/* It names one that was cancelled long ago, or that was done long ago: accepted both times. */
static void
test_finished_dependencies_are_looked_up(void) {
  World *world = pipeline_world(7);
  WorldJob *done = first_job(world, 0, 1, 2), *gone = first_job(world, 0, 1, 60), *after_done,
           *after_gone;

  run_until_accepted(world, gone);
  world_cancel(gone);
  run_until_told(world, done, USER_SEES_DONE, 30);
  run_until_told(world, gone, USER_SEES_CANCELLED, 30);
  world_run(world, 10);
  /* New processes have seen neither end. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2 + 0.2 * i);
  world_run(world, 6);
  after_done = next_job(world, 1, 1, 2, done);
  after_gone = next_job(world, 2, 1, 2, gone);
  /* Never called queued: the user was told of the cancellation long ago (day 124). */
  run_until_accepted(world, after_gone);
  g_assert_cmpint(after_gone->user_view, ==, USER_SEES_CANCELLED);
  run_until_told(world, after_done, USER_SEES_DONE, 30);
  run_until_told(world, after_gone, USER_SEES_CANCELLED, 30);
  finish_world(world);
}

/* A node's replica stays behind while a dependency ends and another is cancelled: it neither starts
 * what waits for them too early nor keeps it, nor turns new dependents away, nor calls one of them
 * queued that has been called cancelled. */
static void
test_stale_replica_decides_nothing(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = pipeline_world(seed);
    WorldJob *done = first_job(world, 0, 1, 4), *gone = first_job(world, 1, 1, 90);
    WorldJob *after[2], *late[2];

    run_until_accepted(world, done);
    run_until_accepted(world, gone);
    after[0] = next_job(world, 2, 1, 2, done);
    after[1] = next_job(world, 3, 1, 2, gone);
    run_until_accepted(world, after[0]);
    run_until_accepted(world, after[1]);
    world->nodes[1].watches_lost_until_us = world->now_us + 30 * SECOND;
    world_cancel(gone);
    /* How soon hangs on which nodes its user happens to ask. */
    run_until_told(world, done, USER_SEES_DONE, 25);
    world->nodes[1].watches_lost_until_us = world->now_us + 2 * SECOND;
    g_assert_nonnull(mm_job_table_find(world->nodes[1].node->job_table, done->id));
    late[0] = next_job(world, 2, 1, 2, done);
    late[1] = next_job(world, 3, 1, 2, gone);
    for (guint i = 0; i < 2; i++) {
      run_until_told(world, after[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED, 60);
      run_until_told(world, late[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED, 60);
    }
    finish_world(world);
  }
}

/* A cancellation comes as the last task ends: whichever is written first decides for all. */
static void
test_cancellation_races_the_last_task(void) {
  guint done = 0, cancelled = 0;

  for (guint32 seed = 1; seed <= 8; seed++) {
    World *world = pipeline_world(seed);
    WorldJob *start, *end;

    world->cancel_at_end_rate = 1;
    start = first_job(world, 0, 1, 3);
    run_until_accepted(world, start);
    end = next_job(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    world_run(world, 8);
    world->cancel_at_end_rate = 0;
    world_run(world, 25);
    g_assert_cmpint(start->user_view, >=, USER_SEES_CANCELLED);
    g_assert_cmpint(end->user_view, ==, start->user_view);
    done += start->user_view == USER_SEES_DONE;
    cancelled += start->user_view == USER_SEES_CANCELLED;
    finish_world(world);
  }
  g_test_message("%u done, %u cancelled", done, cancelled);
  g_assert_cmpuint(done + cancelled, ==, 8);
}

/* All nodes restart amid a half-run pipeline; a gang loses a member while its dependent waits. */
static void
test_pipeline_survives_restarts(void) {
  for (guint32 seed = 1; seed <= 2; seed++) {
    World *world = pipeline_world(seed);
    WorldJob *start = first_job(world, 0, 4, 3), *gang, *end;

    run_until_accepted(world, start);
    gang = world_submit_dependent(
        world,
        json_pack("{s:s, s:i, s:s}", WIRE_KIND, WIRE_KIND_GANG, WIRE_TASKS, 3, WIRE_TEAM, "team-1"),
        8, &start, 1);
    run_until_accepted(world, gang);
    end = next_job(world, 2, 2, 2, gang);
    run_until_accepted(world, end);
    for (guint i = 0; i < 200 && gang->first_start_at_us == 0; i++)
      world_run(world, 0.2);
    g_assert_cmpint(gang->first_start_at_us, !=, 0);
    for (guint i = 0; i < world->machines->len; i++) {
      WorldMachine *machine = g_ptr_array_index(world->machines, i);
      if (machine->tasks->len > 0
          && ((WorldTask *)g_ptr_array_index(machine->tasks, 0))->job == gang) {
        world_kill_machine(world, machine);
        break;
      }
    }
    for (guint i = 0; i < WORLD_NODES; i++)
      world_kill_node(world, i, 0.3 + 0.3 * i);
    run_until_told(world, end, USER_SEES_DONE, 120);
    finish_world(world);
  }
}

/* ---- days ---- */

/* Something accepted that is no service, for a new job to name. */
static WorldJob *
any_need(World *world) {
  for (guint tries = 0; tries < 20; tries++) {
    WorldJob *job = world_any_job(world);
    if (job->was_accepted && job->spec.kind != MM_JOB_KIND_SERVICE)
      return job;
  }
  return NULL;
}

static void
submit_something(World *world) {
  WorldJob *needs[3];
  guint n = world->jobs->len > 3 ? (guint)g_rand_int_range(world->rand, 0, 4) : 0, found = 0;
  gboolean gang = g_rand_int_range(world->rand, 0, 5) == 0;
  json_t *body = of_team((guint)g_rand_int_range(world->rand, 0, 4),
                         (guint)g_rand_int_range(world->rand, 1, 5));

  if (gang)
    json_object_set_new(body, WIRE_KIND, json_string(WIRE_KIND_GANG));
  for (guint i = 0; i < n; i++) {
    WorldJob *need = any_need(world);
    if (need != NULL)
      needs[found++] = need;
  }
  world_submit_dependent(world, body, world_uniform(world, 1, 10), needs, found);
}

/* A job every other second, three of four with dependencies; some are called off. */
static void
play_day(World *world, gboolean troubled, guint seconds, gboolean stop_when_broken) {
  for (guint second = 0; second < seconds; second++) {
    if (second % 2 == 0)
      submit_something(world);
    if (second % 9 == 5)
      world_cancel(world_any_job(world));
    if (troubled && second > 8 && world_uniform(world, 0, 1) < 0.12)
      world_inject_random_fault(world);
    world_run(world, 1);
    if (stop_when_broken && world->violations->len > 0)
      return;
  }
}

static void
test_random_day(gconstpointer data) {
  World *world = pipeline_world(GPOINTER_TO_UINT(data));
  guint dependents = 0;

  world->duplicate_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.02;
  play_day(world, TRUE, 100, FALSE);
  world->faults_ended_at_us = world->now_us + 45 * SECOND;
  world_run(world, 260);
  world_assert_invariants(world);
  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = g_ptr_array_index(world->jobs, i);
    dependents += job->dependencies->len > 0;
  }
  g_test_message("%u jobs, %u with dependencies", world->jobs->len, dependents);
  g_assert_cmpuint(dependents, >, 20);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

/* ---- broken on purpose ---- */

static gboolean
breaks(const char *rule, gboolean ignore_needs, gboolean ignore_ancestors) {
  gboolean broken = FALSE;

  for (guint32 seed = 1; seed <= 4 && !broken; seed++) {
    World *world = pipeline_world(seed);
    world->ignore_dependencies = ignore_needs;
    world->ignore_ancestors = ignore_ancestors;
    play_day(world, FALSE, 60, TRUE);
    if (ignore_ancestors)
      world_run(world, 60);
    for (guint i = 0; i < world->violations->len; i++)
      broken = broken || g_str_has_prefix(g_ptr_array_index(world->violations, i), rule);
    world_free(world);
  }
  return broken;
}

static void
test_ignored_dependencies_are_found(void) {
  g_assert_false(breaks("too_early", FALSE, FALSE));
  g_assert_true(breaks("too_early", TRUE, FALSE));
}

static void
test_uncancelled_dependents_are_found(void) {
  g_assert_false(breaks("orphaned", FALSE, FALSE));
  g_assert_true(breaks("orphaned", FALSE, TRUE));
}

int
main(int argc, char **argv) {
  guint days = 6;

  g_test_init(&argc, &argv, NULL);
  if (g_getenv("LOG_LEVEL") != NULL)
    mm_log_read_level();
  /* More days than CI plays: MM_PIPELINE_DAYS=100 tests/test-pipelines */
  if (g_getenv("MM_PIPELINE_DAYS") != NULL)
    days = (guint)g_ascii_strtoull(g_getenv("MM_PIPELINE_DAYS"), NULL, 10);
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
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/pipelines/random-day-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_day);
  }
  g_test_add_func("/pipelines/faulty/ignored-dependencies-are-found",
                  test_ignored_dependencies_are_found);
  g_test_add_func("/pipelines/faulty/uncancelled-dependents-are-found",
                  test_uncancelled_dependents_are_found);
  return g_test_run();
}
