/* The owner's answers on the ordinary path, and its arithmetic of limits. */
#include "base/wire.h"
#include "scheduler/scheduler.h"
#include "kv/replica.h"
#include "world/world.h"

typedef struct {
  World *world;
  MmScheduler *owner;
  MmJob *job;
  MmMachine *machines[2];
} Setting;

/* Two machines that hang as soon as they are known, so that only the test asks for them. */
static Setting
set_up(guint tasks) {
  Setting s = { world_new(5) };
  WorldJob *job;

  for (guint i = 0; i < 2; i++)
    world_add_machine(s.world, "big", "a", FALSE, 0.1);
  world_start(s.world);
  world_run(s.world, 5);
  for (guint i = 0; i < 2; i++)
    ((WorldMachine *)g_ptr_array_index(s.world->machines, i))->hung_until_us
        = s.world->now_us + 100 * (gint64)G_USEC_PER_SEC;
  job = world_submit(s.world, json_pack("{s:i}", WIRE_TASKS, (int)tasks), 5);
  world_run(s.world, 0.5);
  for (guint i = 0; i < WORLD_NODES; i++) {
    MmNode *node = s.world->nodes[i].node;
    MmJob *known = mm_job_table_find(node->job_table, job->id);
    g_assert_nonnull(known);
    if (mm_scheduler_shard_of_job(node->scheduler, known) == NULL)
      continue;
    s.owner = node->scheduler;
    s.job = known;
    s.machines[0] = mm_machine_table_find(node->machine_table, "m-000001");
    s.machines[1] = mm_machine_table_find(node->machine_table, "m-000002");
  }
  g_assert_nonnull(s.owner);
  return s;
}

/* -1: refused. */
static gint
ask(Setting *s, guint machine, gint first, gint second, gboolean pull) {
  MmStartRequest ask = { .machine = s->machines[machine],
                         .heartbeat_id = s->machines[machine]->latest_message_id,
                         .free_resources = { 16, 2, 64 },
                         .is_pull = pull };
  MmApproval approval;

  if (first >= 0)
    ask.tasks[ask.n_tasks++] = (MmTaskRef){ s->job->spec.id, (guint)first };
  if (second >= 0)
    ask.tasks[ask.n_tasks++] = (MmTaskRef){ s->job->spec.id, (guint)second };
  return mm_scheduler_approve_start(s->owner, &ask, &approval) ? (gint)approval.number : -1;
}

/* The answers of the paper's Table I. */
static void
test_start_requests_are_answered_as_in_the_paper(void) {
  Setting s = set_up(5);

  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, 0); /* alpha: the first, the second is kept */
  g_assert_cmpuint(s.machines[0]->kept_list->len, ==, 1);
  g_assert_cmpint(ask(&s, 0, -1, -1, FALSE), ==, 1); /* nothing sent: from the kept-list */
  g_assert_cmpint(ask(&s, 0, 0, 2, FALSE), ==, 2);   /* gamma: the first is taken, the second not */
  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, -1);  /* chi: both are taken, nothing is kept */
  g_assert_cmpint(ask(&s, 0, 3, 0, FALSE), ==, 3);   /* beta */
  g_assert_cmpuint(s.machines[0]->kept_list->len, ==, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, FALSE), ==, -1);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, 4); /* a pull gets what is left */
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, -1);
  world_free(s.world);
}

/* What another machine keeps may be pulled; the kept-list's own machine then misses it. */
static void
test_pull_takes_from_kept_lists(void) {
  Setting s = set_up(2);

  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, 1);
  g_assert_cmpint(ask(&s, 0, -1, -1, FALSE), ==, -1);
  world_free(s.world);
}

/* 24 cores at most and 2 a task: starts that were never confirmed count as well. */
static void
test_limit_counts_unconfirmed_starts(void) {
  Setting s = set_up(20);

  for (guint i = 0; i < 8; i++)
    g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), ==, -1); /* the machine is full */
  for (guint i = 0; i < 4; i++)
    g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, -1); /* the team is at its limit */
  world_free(s.world);
}

/* A limit of accelerators, of which eight of thirteen are used and eight more are kept for a job
 * that starves: who needs accelerators waits, who needs none does not. */
static void
test_reserved_quota_binds_limited_resources_only(void) {
  Setting s = set_up(2);
  MmLedShard *held = mm_scheduler_shard_of_job(s.owner, s.job);
  MmTeamSettings team = *held->team;
  MmJob starving
      = { .is_starving = TRUE, .spec = { .task_resources = { 43, 8, 310 }, .n_tasks = 1 } };

  team.limit = (MmResources){ 0, 13, 0 };
  held->team = &team;
  held->used = (MmResources){ 43, 8, 310 };
  held->reserved_quota = starving.spec.task_resources;
  held->quota_reserved_for = &starving;
  g_assert_true(mm_scheduler_quota_allows(s.owner, held, s.job, 2));
  s.job->spec.task_resources.accelerators = 1;
  g_assert_false(mm_scheduler_quota_allows(s.owner, held, s.job, 1));
  g_assert_false(mm_scheduler_quota_allows(s.owner, held, &starving, 1));
  held->quota_reserved_for = NULL;
  g_assert_true(mm_scheduler_quota_allows(s.owner, held, s.job, 5));
  g_assert_false(mm_scheduler_quota_allows(s.owner, held, s.job, 6));
  held->team = mm_settings_team(s.owner->node->settings, &s.job->spec.team);
  world_free(s.world);
}

/* An ask for an overtaken report must get nothing: its answer may never reach the worker. */
static void
test_start_request_of_overtaken_heartbeat_is_refused(void) {
  Setting s = set_up(2);
  MmHeartbeatId now = s.machines[0]->latest_message_id;

  s.machines[0]->latest_message_id.sequence++;
  {
    MmStartRequest old = { .machine = s.machines[0],
                           .heartbeat_id = now,
                           .free_resources = { 16, 2, 64 },
                           .is_pull = TRUE };
    MmApproval approval;
    g_assert_false(mm_scheduler_approve_start(s.owner, &old, &approval));
  }
  g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), >=, 0);
  world_free(s.world);
}

/* A report of a machine with one task of the setting's job on it. */
static MmHeartbeat
report_with(const Setting *s, guint machine, guint64 session, guint64 seq, guint64 attempt) {
  MmHeartbeat report = { .machine_id = s->machines[machine]->id,
                         .type = s->machines[machine]->type_name,
                         .zone = s->machines[machine]->zone,
                         .heartbeat_id = { session, seq },
                         .fencing_token = s->machines[machine]->acknowledged_term,
                         .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };
  MmReportedTask seen
      = { .job = s->job->spec.id, .attempt = { attempt }, .state = MM_REPORTED_RUNNING };

  if (attempt != 0)
    g_array_append_val(report.tasks, seen);
  return report;
}

static MmMachine *
take(const Setting *s, MmHeartbeat report) {
  MmNode *node = s->owner->node;
  MmMachine *machine = mm_machine_table_record_heartbeat(node->machine_table, &report,
                                                         mm_node_now(node), MM_SERVING_NODE_SELF);

  mm_heartbeat_clear(&report);
  return machine;
}

/* Of two attempts at a task that show, the newer was approved when the older was gone: whichever
 * report comes first, it stands. A late report once kept a task where it no longer was, and when
 * that machine was lost the task was given out a third time. */
static void
test_newer_attempt_wins(void) {
  for (guint newer_first = 0; newer_first < 2; newer_first++) {
    Setting s = set_up(2);
    guint64 seq
        = MAX(s.machines[0]->latest_message_id.sequence, s.machines[1]->latest_message_id.sequence)
          + 1;
    guint first = newer_first ? 1 : 0;

    take(&s, report_with(&s, first, 1, seq, first == 1 ? 200 : 100));
    take(&s, report_with(&s, 1 - first, 1, seq, first == 1 ? 100 : 200));
    g_assert_true(s.job->tasks[0].machine == s.machines[1]);
    g_assert_cmpuint(s.job->tasks[0].attempt.v, ==, 200);
    g_assert_cmpuint(s.job->n_maybe_on_machines, ==, 1);
    world_free(s.world);
  }
}

/* A job waits for the machines that it was ever allowed on, and for no others. */
static void
test_job_waits_where_it_may_have_started(void) {
  Setting s = set_up(2);
  MmLedShard *held = mm_scheduler_shard_of_job(s.owner, s.job);
  MmMachine *spot = s.machines[0];

  s.job->submitted_after_acquire = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(s.owner, s.job));
  held->is_ready = FALSE;
  held->unacknowledged_changed = TRUE;
  g_hash_table_insert(held->unacknowledged_machines, g_strdup(spot->id.s), GSIZE_TO_POINTER(1));
  spot->is_spot = TRUE;
  s.job->spec.allows_spot = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(s.owner, s.job));
  g_assert_false(mm_scheduler_job_is_schedulable(s.owner, s.job));
  s.job->spec.allows_spot = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(s.owner, s.job));
  g_assert_true(mm_scheduler_job_is_schedulable(s.owner, s.job));
  s.job->spec.allows_spot = TRUE;
  s.job->spec.zone = mm_name("elsewhere");
  g_assert_true(mm_scheduler_knows_all_starts(s.owner, s.job));
  /* One of which nothing is known may hold anything. */
  g_hash_table_insert(held->unacknowledged_machines, g_strdup("m-999999"), GSIZE_TO_POINTER(1));
  held->unacknowledged_changed = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(s.owner, s.job));
  world_free(s.world);
}

/* A silent machine is returned though nothing shows on it, since it may have been started on: until
 * it is proved gone, parts that are taken anew wait for it. */
static void
test_silent_idle_machine_is_returned(void) {
  World *world = world_new(6);
  WorldMachine *silent;

  for (guint i = 0; i < 9; i++)
    world_add_machine(world, "small", "a", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  silent = g_ptr_array_index(world->machines, 0);
  g_assert_cmpuint(silent->tasks->len, ==, 0);
  silent->cut_until_us = world->now_us + 100 * (gint64)G_USEC_PER_SEC;
  world_run(world, 7.5);
  g_assert_true(silent->is_terminated);
  world_free(world);
}

static gboolean
is_late(const Setting *s, MmHeartbeat report) {
  gboolean late = mm_machine_table_is_stale_heartbeat(s->owner->node->machine_table, &report);

  mm_heartbeat_clear(&report);
  return late;
}

/* What a copy is, and that it lengthens no belief in a lease. */
static void
test_late_copies_prove_nothing(void) {
  Setting s = set_up(2);
  MmMachine *machine = s.machines[0];
  guint64 seq = machine->latest_message_id.sequence + 10;
  MmTime answered;

  take(&s, report_with(&s, 0, 1, seq, 100));
  answered = machine->last_possible_response_at;
  world_run(s.world, 1);
  g_assert_true(is_late(&s, report_with(&s, 0, 1, seq, 100)));
  g_assert_true(is_late(&s, report_with(&s, 0, 1, seq - 1, 0)));
  g_assert_false(is_late(&s, report_with(&s, 0, 1, seq + 1, 0)));
  g_assert_false(is_late(&s, report_with(&s, 0, 2, 1, 0)));
  /* Should one come by a peer all the same, it denies nothing and proves no life. */
  g_assert_null(take(&s, report_with(&s, 0, 1, seq - 1, 0)));
  g_assert_cmpint(machine->last_possible_response_at.us, ==, answered.us);
  g_assert_true(s.job->tasks[0].machine == machine);
  /* A report that a direct answer has overtaken is none. */
  machine->latest_message_id.sequence = seq + 5;
  g_assert_false(is_late(&s, report_with(&s, 0, 1, seq + 2, 0)));
  /* Nothing brings back what has been proved gone. */
  mm_machine_table_record_termination(s.owner->node->machine_table, machine->id.s);
  g_assert_true(is_late(&s, report_with(&s, 0, 9, 1, 100)));
  g_assert_null(take(&s, report_with(&s, 0, 9, 1, 100)));
  world_free(s.world);
}

/* A machine of which nothing is known proves itself by a term of this life of the node. */
static void
test_unregistered_machine_is_verified_by_term(void) {
  Setting s = set_up(2);
  const MmMachineTable *machine_table = s.owner->node->machine_table;
  MmHeartbeat report = report_with(&s, 0, 3, 70, 100);

  s.owner->node->replica->term_at_start.v = 7; /* as if it had started among others */
  report.machine_id = mm_name("m-000999");
  report.fencing_token.v = s.owner->node->replica->term_at_start.v - 1;
  g_assert_true(mm_machine_table_is_unverified_heartbeat(machine_table, &report));
  report.fencing_token = s.owner->node->replica->term_at_start;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &report));
  /* One on the register may hold tasks: whatever it shows counts. */
  report.machine_id = s.machines[0]->id;
  report.heartbeat_id.incarnation = s.machines[0]->registered_incarnation;
  report.fencing_token.v = 0;
  s.machines[0]->has_reported = FALSE;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &report));
  mm_heartbeat_clear(&report);
  world_free(s.world);
}

/* Who may stop whose tasks for a guarantee of four cores. */
static void
test_quota_is_reclaimed_from_surplus_only(void) {
  Setting s = set_up(2);
  MmJob *job = s.job;
  MmJob from = *job;

  job->is_within_quota = TRUE;
  from.team_index = 1;
  from.is_within_quota = FALSE;
  s.owner->team_used[1] = (MmResources){ 6, 0, 0 };
  g_assert_true(mm_scheduler_may_reclaim_quota(s.owner, job, &from));
  s.owner->team_used[1].cores = 5; /* would fall below its own guarantee */
  g_assert_false(mm_scheduler_may_reclaim_quota(s.owner, job, &from));
  s.owner->team_used[1].cores = 6;
  from.is_within_quota = TRUE;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.owner, job, &from));
  from.is_within_quota = FALSE;
  from.effective_priority = MM_PRIORITY_URGENT;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.owner, job, &from));
  from.effective_priority = job->effective_priority;
  job->is_within_quota = FALSE;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.owner, job, &from));
  world_free(s.world);
}

/* A machine full of work of the lowest priority that saves for three seconds; a job comes for which
 * it must be stopped. The time to save that it was given. */
static double
grace_for(const char *priority, guint tasks, double wait_s) {
  World *world = world_new(12);
  double grace_s;
  WorldJob *job;

  world->capacity = 0; /* nothing can be rented */
  world_add_machine(world, "small", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  world_submit(world,
               json_pack("{s:i, s:f, s:s, s:f, s:f}", WIRE_TASKS, 4, WIRE_CORES, 1.0, WIRE_PRIORITY,
                         "low", WIRE_CHECKPOINT, 30.0, WIRE_SAVE, 3.0),
               300);
  world_run(world, 6);
  job = world_submit(world,
                     json_pack("{s:i, s:s}", WIRE_TASKS, (int)tasks, WIRE_PRIORITY, priority), 30);
  world_run(world, wait_s);
  g_assert_cmpuint(world_count_running(world, job, NULL), >, 0);
  g_assert_cmpuint(world->n_stops, >, 0);
  grace_s = world->last_stop_grace_s;
  world_assert_invariants(world);
  world_free(world);
  return grace_s;
}

/* Services that should have been up within a second waited three for scans of idle time to save. */
static void
test_only_critical_work_gives_no_time_to_save(void) {
  g_assert_cmpfloat(grace_for("critical", 1, 5), ==, 0);
  g_assert_cmpfloat(grace_for("urgent", 1, 8), ==, 4);
}

/* Work above the lowest priority is not kept waiting by that, also when it is neither urgent nor
 * within its team's guarantee: arrays once waited for minutes while scans of idle time ran. */
static void
test_normal_work_preempts_low_work(void) {
  g_assert_cmpfloat(grace_for("normal", 60, 12), ==, 4);
}

/* Gangs whose tasks take most of a machine each, one of each team after another, so that some of
 * their places are on machines that report to the gang's owner itself. It compared what a task
 * takes with the room left beside the place it had kept for it: such gangs never began. */
static void
test_gang_starts_on_machines_of_its_leader(void) {
  World *world = world_new(11);
  guint own = 0;

  for (guint i = 0; i < 2; i++)
    world_add_machine(world, "big", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  for (guint team = 0; team < 4; team++) {
    g_autofree char *name = g_strdup_printf("team-%u", team);
    WorldJob *job = world_submit(world,
                                 json_pack("{s:i, s:s, s:s, s:f}", WIRE_TASKS, 2, WIRE_KIND,
                                           WIRE_KIND_GANG, WIRE_TEAM, name, WIRE_CORES, 12.0),
                                 60);
    world_run(world, 8);
    g_assert_cmpuint(world_count_running(world, job, NULL), ==, 2);
    for (guint i = 0; i < WORLD_NODES; i++) {
      const MmJob *known = mm_job_table_find(world->nodes[i].node->job_table, job->id);
      for (guint k = 0; known->tasks != NULL && k < 2; k++)
        own += known->tasks[k].machine->serving_node == MM_SERVING_NODE_SELF;
    }
    world_cancel(job);
    world_run(world, 4);
  }
  g_assert_cmpuint(own, >, 0);
  world_assert_invariants(world);
  world_free(world);
}

static guint
machines_in_use(const World *world) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n += ((WorldMachine *)g_ptr_array_index(world->machines, i))->tasks->len > 0;
  return n;
}

/* Machines with accelerators that nothing accelerated waits for are lent to other work, all but
 * four; a gang that needs more than those has what it was lent to stopped, and begins at once. */
static void
test_idle_accelerators_are_lent_and_reclaimed(void) {
  World *world = world_new(13);
  WorldJob *first, *array, *gang;

  world->capacity = 0; /* nothing can be rented */
  world->team_cores = 1000;
  for (guint i = 0; i < 7; i++)
    world_add_machine(world, "big", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  first = world_submit(world,
                       json_pack("{s:i, s:s, s:f, s:f}", WIRE_TASKS, 1, WIRE_PRIORITY, "urgent",
                                 WIRE_CORES, 16.0, WIRE_ACCELERATORS, 2.0),
                       3);
  world_run(world, 8);
  g_assert_cmpuint(first->n_done, ==, 1);
  array = world_submit(world, json_pack("{s:i, s:s}", WIRE_TASKS, 60, WIRE_TEAM, "team-1"), 300);
  world_run(world, 12);
  g_assert_cmpuint(world_count_running(world, array, NULL), >, 0);
  g_assert_cmpuint(machines_in_use(world), <=, 3);
  gang = world_submit(world,
                      json_pack("{s:i, s:s, s:s, s:f, s:f}", WIRE_TASKS, 6, WIRE_KIND,
                                WIRE_KIND_GANG, WIRE_PRIORITY, "urgent", WIRE_CORES, 16.0,
                                WIRE_ACCELERATORS, 2.0),
                      30);
  world_run(world, 10);
  g_assert_cmpuint(world_count_running(world, gang, NULL), ==, 6);
  world_assert_invariants(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/scheduler/start-requests-are-answered-as-in-the-paper",
                  test_start_requests_are_answered_as_in_the_paper);
  g_test_add_func("/scheduler/pull-takes-from-kept-lists", test_pull_takes_from_kept_lists);
  g_test_add_func("/scheduler/limit-counts-unconfirmed-starts",
                  test_limit_counts_unconfirmed_starts);
  g_test_add_func("/scheduler/reserved-quota-binds-limited-resources-only",
                  test_reserved_quota_binds_limited_resources_only);
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
