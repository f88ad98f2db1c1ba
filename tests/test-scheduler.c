/* The shard leader: approval of starts, limits and reserved quota. */
#include "test-scheduler.h"

#include "base/wire.h"
#include "scheduler/admission.h"
#include "scheduler/led-shards.h"
#include "scheduler/quota.h"

/* Requests a start on the machine with up to two candidate tasks (-1: no candidate). Returns the
 * number of the approved task, or -1 if the request is refused. */
static gint
request_start(SchedulerFixture *f, guint machine, gint first_candidate, gint second_candidate,
              gboolean is_pull) {
  MmStartRequest request = { .machine = f->machines[machine],
                             .heartbeat_id = f->machines[machine]->latest_message_id,
                             .free_resources = { 16, 2, 64, 100 },
                             .is_pull = is_pull };
  MmApproval approval;

  if (first_candidate >= 0)
    request.tasks[request.n_tasks++] = (MmTaskRef){ f->job->spec.id, (guint)first_candidate };
  if (second_candidate >= 0)
    request.tasks[request.n_tasks++] = (MmTaskRef){ f->job->spec.id, (guint)second_candidate };
  return mm_scheduler_approve_start(f->scheduler, &request, &approval) ? (gint)approval.number : -1;
}

/* The answers to start requests in Table I of the ScalScheduling paper. */
static void
test_start_requests_are_answered_as_in_the_paper(void) {
  SchedulerFixture f = scheduler_fixture(5);

  g_assert_cmpint(request_start(&f, 0, 0, 1, FALSE), ==,
                  0); /* alpha: the first is approved, the second retained */
  g_assert_cmpuint(f.machines[0]->retained_candidates->len, ==, 1);
  g_assert_cmpint(request_start(&f, 0, -1, -1, FALSE), ==,
                  1); /* no candidates: a retained candidate is approved */
  g_assert_cmpint(request_start(&f, 0, 0, 2, FALSE), ==,
                  2); /* gamma: the first is already started, the second is approved */
  g_assert_cmpint(request_start(&f, 0, 0, 1, FALSE), ==,
                  -1); /* chi: both are already started, and no candidate is retained */
  g_assert_cmpint(request_start(&f, 0, 3, 0, FALSE), ==, 3); /* beta: only the first is pending */
  g_assert_cmpuint(f.machines[0]->retained_candidates->len, ==, 0);
  g_assert_cmpint(request_start(&f, 1, -1, -1, FALSE), ==, -1);
  g_assert_cmpint(request_start(&f, 1, -1, -1, TRUE), ==, 4); /* a pull gets any pending task */
  g_assert_cmpint(request_start(&f, 1, -1, -1, TRUE), ==, -1);
  world_free(f.world);
}

/* A pull may get a candidate that another machine retained. The next request of that other machine
 * is then refused. */
static void
test_pull_takes_retained_candidates(void) {
  SchedulerFixture f = scheduler_fixture(2);

  g_assert_cmpint(request_start(&f, 0, 0, 1, FALSE), ==, 0);
  g_assert_cmpint(request_start(&f, 1, -1, -1, TRUE), ==, 1);
  g_assert_cmpint(request_start(&f, 0, -1, -1, FALSE), ==, -1);
  world_free(f.world);
}

/* The limit is 24 cores and a task takes 2 cores. Starts that no heartbeat has confirmed yet count
 * towards the limit too. */
static void
test_limit_counts_unconfirmed_starts(void) {
  SchedulerFixture f = scheduler_fixture(20);

  for (guint i = 0; i < 8; i++)
    g_assert_cmpint(request_start(&f, 0, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(request_start(&f, 0, -1, -1, TRUE), ==, -1); /* the machine is full */
  for (guint i = 0; i < 4; i++)
    g_assert_cmpint(request_start(&f, 1, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(request_start(&f, 1, -1, -1, TRUE), ==, -1); /* the team is at its limit */
  world_free(f.world);
}

/* Of a limit of 13 accelerators, eight are used and eight more are reserved for a starving job.
 * Therefore a job that needs accelerators waits, and a job that needs none does not wait. */
static void
test_reserved_part_of_limit_binds_limited_resources_only(void) {
  SchedulerFixture f = scheduler_fixture(2);
  MmLedShard *led_shard = mm_scheduler_shard_of_job(f.scheduler, f.job);
  MmTeamSettings team = *led_shard->team;
  MmJob starving
      = { .is_starving = TRUE, .spec = { .task_resources = { 43, 8, 310 }, .n_tasks = 1 } };

  team.limit = (MmResources){ 0, 13, 0 };
  led_shard->team = &team;
  led_shard->used = (MmResources){ 43, 8, 310 };
  led_shard->reserved_of_limit = starving.spec.task_resources;
  led_shard->limit_reserved_for = &starving;
  g_assert_true(mm_scheduler_limit_allows(f.scheduler, led_shard, f.job, 2));
  f.job->spec.task_resources.accelerators = 1;
  g_assert_false(mm_scheduler_limit_allows(f.scheduler, led_shard, f.job, 1));
  g_assert_false(mm_scheduler_limit_allows(f.scheduler, led_shard, &starving, 1));
  led_shard->limit_reserved_for = NULL;
  g_assert_true(mm_scheduler_limit_allows(f.scheduler, led_shard, f.job, 5));
  g_assert_false(mm_scheduler_limit_allows(f.scheduler, led_shard, f.job, 6));
  led_shard->team = mm_settings_team(f.scheduler->node->settings, &f.job->spec.team);
  world_free(f.world);
}

/* A start request belongs to a heartbeat. When a newer heartbeat has overtaken that heartbeat, the
 * request is refused, because the response to the overtaken heartbeat may never reach the
 * worker. */
static void
test_start_request_of_overtaken_heartbeat_is_refused(void) {
  SchedulerFixture f = scheduler_fixture(2);
  MmHeartbeatId overtaken_id = f.machines[0]->latest_message_id;

  f.machines[0]->latest_message_id.sequence++;
  {
    MmStartRequest request = { .machine = f.machines[0],
                               .heartbeat_id = overtaken_id,
                               .free_resources = { 16, 2, 64, 100 },
                               .is_pull = TRUE };
    MmApproval approval;
    g_assert_false(mm_scheduler_approve_start(f.scheduler, &request, &approval));
  }
  g_assert_cmpint(request_start(&f, 0, -1, -1, TRUE), >=, 0);
  world_free(f.world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/scheduler/start-requests-are-answered-as-in-the-paper",
                  test_start_requests_are_answered_as_in_the_paper);
  g_test_add_func("/scheduler/pull-takes-from-kept-lists", test_pull_takes_retained_candidates);
  g_test_add_func("/scheduler/limit-counts-unconfirmed-starts",
                  test_limit_counts_unconfirmed_starts);
  g_test_add_func("/scheduler/reserved-quota-binds-limited-resources-only",
                  test_reserved_part_of_limit_binds_limited_resources_only);
  g_test_add_func("/scheduler/start-request-of-overtaken-heartbeat-is-refused",
                  test_start_request_of_overtaken_heartbeat_is_refused);
  g_test_add_func("/scheduler/newer-attempt-wins", test_newer_attempt_wins);
  g_test_add_func("/scheduler/late-copies-prove-nothing", test_late_copies_prove_nothing);
  g_test_add_func("/scheduler/job-waits-where-it-may-have-started",
                  test_job_waits_where_it_may_have_started);
  g_test_add_func("/scheduler/silent-idle-machine-is-returned",
                  test_silent_idle_machine_is_returned);
  g_test_add_func("/scheduler/unregistered-machine-is-verified-by-term",
                  test_unregistered_machine_is_verified_by_term);
  g_test_add_func("/scheduler/quota-is-reclaimed-from-surplus-only",
                  test_quota_is_reclaimed_from_surplus_only);
  g_test_add_func("/scheduler/only-critical-work-gives-no-time-to-save",
                  test_only_critical_work_gives_no_time_to_save);
  g_test_add_func("/scheduler/normal-work-preempts-low-work", test_normal_work_preempts_low_work);
  g_test_add_func("/scheduler/idle-accelerators-are-lent-and-reclaimed",
                  test_idle_accelerators_are_lent_and_reclaimed);
  g_test_add_func("/scheduler/gang-starts-on-machines-of-its-leader",
                  test_gang_starts_on_machines_of_its_leader);
  return g_test_run();
}
