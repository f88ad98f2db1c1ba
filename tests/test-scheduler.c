/* Admission of start requests, the arithmetic of quotas, heartbeats of uncertain age, and
 * preemption. */
#include "base/wire.h"
#include "scheduler/admission.h"
#include "scheduler/led-shards.h"
#include "scheduler/quota.h"
#include "scheduler/start-rules.h"
#include "kv/replica.h"
#include "world/world.h"

typedef struct {
  World *world;
  MmScheduler *scheduler;
  MmJob *job;
  MmMachine *machines[2];
} Setting;

/* Two machines that hang as soon as they are known, so that only the test requests starts for them.
 */
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
    s.scheduler = node->scheduler;
    s.job = known;
    s.machines[0] = mm_machine_table_find(node->machine_table, "m-000001");
    s.machines[1] = mm_machine_table_find(node->machine_table, "m-000002");
  }
  g_assert_nonnull(s.scheduler);
  return s;
}

/* Candidates below 0 are left out. The number of the started task; -1: none. */
static gint
request_start(Setting *s, guint machine, gint first, gint second, gboolean pull) {
  MmStartRequest request = { .machine = s->machines[machine],
                             .heartbeat_id = s->machines[machine]->latest_message_id,
                             .free_resources = { 16, 2, 64 },
                             .is_pull = pull };
  MmApproval approval;

  if (first >= 0)
    request.tasks[request.n_tasks++] = (MmTaskRef){ s->job->spec.id, (guint)first };
  if (second >= 0)
    request.tasks[request.n_tasks++] = (MmTaskRef){ s->job->spec.id, (guint)second };
  return mm_scheduler_approve_start(s->scheduler, &request, &approval) ? (gint)approval.number : -1;
}

/* The answers of the paper's Table I. */
static void
test_table_one(void) {
  Setting s = set_up(5);

  g_assert_cmpint(request_start(&s, 0, 0, 1, FALSE), ==,
                  0); /* alpha: the first, the second is kept */
  g_assert_cmpuint(s.machines[0]->kept_list->len, ==, 1);
  g_assert_cmpint(request_start(&s, 0, -1, -1, FALSE), ==,
                  1); /* no candidate: from the kept list */
  g_assert_cmpint(request_start(&s, 0, 0, 2, FALSE), ==,
                  2); /* gamma: the first is taken, the second not */
  g_assert_cmpint(request_start(&s, 0, 0, 1, FALSE), ==,
                  -1); /* chi: both are taken, nothing is kept */
  g_assert_cmpint(request_start(&s, 0, 3, 0, FALSE), ==, 3); /* beta */
  g_assert_cmpuint(s.machines[0]->kept_list->len, ==, 0);
  g_assert_cmpint(request_start(&s, 1, -1, -1, FALSE), ==, -1);
  g_assert_cmpint(request_start(&s, 1, -1, -1, TRUE), ==, 4); /* a pull gets what is left */
  g_assert_cmpint(request_start(&s, 1, -1, -1, TRUE), ==, -1);
  world_free(s.world);
}

/* What another machine keeps may be pulled; its own kept list then lacks it. */
static void
test_pull_takes_kept(void) {
  Setting s = set_up(2);

  g_assert_cmpint(request_start(&s, 0, 0, 1, FALSE), ==, 0);
  g_assert_cmpint(request_start(&s, 1, -1, -1, TRUE), ==, 1);
  g_assert_cmpint(request_start(&s, 0, -1, -1, FALSE), ==, -1);
  world_free(s.world);
}

/* 24 cores at most and 2 a task: starts that no heartbeat has shown count as well. */
static void
test_limit(void) {
  Setting s = set_up(20);

  for (guint i = 0; i < 8; i++)
    g_assert_cmpint(request_start(&s, 0, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(request_start(&s, 0, -1, -1, TRUE), ==, -1); /* the machine is full */
  for (guint i = 0; i < 4; i++)
    g_assert_cmpint(request_start(&s, 1, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(request_start(&s, 1, -1, -1, TRUE), ==, -1); /* the team is at its limit */
  world_free(s.world);
}

/* A limit of thirteen accelerators, of which eight are used and eight more are reserved for a job
 * that starves: jobs that need accelerators wait, others do not. */
static void
test_reserved_quota_binds_limited_resources(void) {
  Setting s = set_up(2);
  MmLedShard *shard = mm_scheduler_shard_of_job(s.scheduler, s.job);
  MmTeamSettings team = *shard->team;
  MmJob starving
      = { .is_starving = TRUE, .spec = { .task_resources = { 43, 8, 310 }, .n_tasks = 1 } };

  team.limit = (MmResources){ 0, 13, 0 };
  shard->team = &team;
  shard->used = (MmResources){ 43, 8, 310 };
  shard->reserved_of_limit = starving.spec.task_resources;
  shard->limit_reserved_for = &starving;
  g_assert_true(mm_scheduler_limit_allows(s.scheduler, shard, s.job, 2));
  s.job->spec.task_resources.accelerators = 1;
  g_assert_false(mm_scheduler_limit_allows(s.scheduler, shard, s.job, 1));
  g_assert_false(mm_scheduler_limit_allows(s.scheduler, shard, &starving, 1));
  shard->limit_reserved_for = NULL;
  g_assert_true(mm_scheduler_limit_allows(s.scheduler, shard, s.job, 5));
  g_assert_false(mm_scheduler_limit_allows(s.scheduler, shard, s.job, 6));
  shard->team = mm_settings_team(s.scheduler->node->settings, &s.job->spec.team);
  world_free(s.world);
}

/* A request for a heartbeat that is not the newest gets no start: the response may never reach the
 * machine. */
static void
test_stale_start_request(void) {
  Setting s = set_up(2);
  MmHeartbeatId now = s.machines[0]->latest_message_id;

  s.machines[0]->latest_message_id.sequence++;
  {
    MmStartRequest stale_request = { .machine = s.machines[0],
                                     .heartbeat_id = now,
                                     .free_resources = { 16, 2, 64 },
                                     .is_pull = TRUE };
    MmApproval approval;
    g_assert_false(mm_scheduler_approve_start(s.scheduler, &stale_request, &approval));
  }
  g_assert_cmpint(request_start(&s, 0, -1, -1, TRUE), >=, 0);
  world_free(s.world);
}

/* A heartbeat of a machine with one task of the setting's job on it. */
static MmHeartbeat
heartbeat_with(const Setting *s, guint machine, guint64 incarnation, guint64 sequence,
               guint64 attempt) {
  MmHeartbeat heartbeat = { .machine_id = s->machines[machine]->id,
                            .type = s->machines[machine]->type_name,
                            .zone = s->machines[machine]->zone,
                            .heartbeat_id = { incarnation, sequence },
                            .fencing_token = s->machines[machine]->acknowledged_term,
                            .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };
  MmReportedTask reported
      = { .job = s->job->spec.id, .attempt = { attempt }, .state = MM_REPORTED_RUNNING };

  if (attempt != 0)
    g_array_append_val(heartbeat.tasks, reported);
  return heartbeat;
}

static MmMachine *
record(const Setting *s, MmHeartbeat heartbeat) {
  MmNode *node = s->scheduler->node;
  MmMachine *machine = mm_machine_table_record_heartbeat(node->machine_table, &heartbeat,
                                                         mm_node_now(node), MM_SERVING_NODE_SELF);

  mm_heartbeat_clear(&heartbeat);
  return machine;
}

/* Of two attempts at a task that show, the newer was approved when the older was gone: it stands,
 * whichever heartbeat comes first. Otherwise a late heartbeat would keep the task where it no
 * longer is, and the loss of that machine would start it a third time. */
static void
test_newer_attempt_stands(void) {
  for (guint newer_first = 0; newer_first < 2; newer_first++) {
    Setting s = set_up(2);
    guint64 sequence
        = MAX(s.machines[0]->latest_message_id.sequence, s.machines[1]->latest_message_id.sequence)
          + 1;
    guint first = newer_first ? 1 : 0;

    record(&s, heartbeat_with(&s, first, 1, sequence, first == 1 ? 200 : 100));
    record(&s, heartbeat_with(&s, 1 - first, 1, sequence, first == 1 ? 100 : 200));
    g_assert_true(s.job->tasks[0].machine == s.machines[1]);
    g_assert_cmpuint(s.job->tasks[0].attempt.v, ==, 200);
    g_assert_cmpuint(s.job->n_maybe_on_machines, ==, 1);
    world_free(s.world);
  }
}

/* A job waits for the machines that it was ever allowed on, and for no others. */
static void
test_waits_where_it_may_be(void) {
  Setting s = set_up(2);
  MmLedShard *shard = mm_scheduler_shard_of_job(s.scheduler, s.job);
  MmMachine *spot = s.machines[0];

  s.job->submitted_after_acquire = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(s.scheduler, s.job));
  shard->is_ready = FALSE;
  shard->unacknowledged_changed = TRUE;
  g_hash_table_insert(shard->unacknowledged_machines, g_strdup(spot->id.s), GSIZE_TO_POINTER(1));
  spot->is_spot = TRUE;
  s.job->spec.allows_spot = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(s.scheduler, s.job));
  g_assert_false(mm_scheduler_job_is_schedulable(s.scheduler, s.job));
  s.job->spec.allows_spot = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(s.scheduler, s.job));
  g_assert_true(mm_scheduler_job_is_schedulable(s.scheduler, s.job));
  s.job->spec.allows_spot = TRUE;
  s.job->spec.zone = mm_name("elsewhere");
  g_assert_true(mm_scheduler_knows_all_starts(s.scheduler, s.job));
  /* A machine of which nothing is known may have any task. */
  g_hash_table_insert(shard->unacknowledged_machines, g_strdup("m-999999"), GSIZE_TO_POINTER(1));
  shard->unacknowledged_changed = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(s.scheduler, s.job));
  world_free(s.world);
}

/* A silent machine is terminated though no task shows on it, since a start may have reached it:
 * shards that are acquired wait for it until it is proved gone. */
static void
test_terminates_silent_idle(void) {
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
  g_assert_true(silent->is_gone);
  world_free(world);
}

static gboolean
is_late(const Setting *s, MmHeartbeat heartbeat) {
  gboolean late
      = mm_machine_table_is_stale_heartbeat(s->scheduler->node->machine_table, &heartbeat);

  mm_heartbeat_clear(&heartbeat);
  return late;
}

/* Which heartbeats are late copies, and that these renew no lease. */
static void
test_late_copies(void) {
  Setting s = set_up(2);
  MmMachine *machine = s.machines[0];
  guint64 sequence = machine->latest_message_id.sequence + 10;
  MmTime answered;

  record(&s, heartbeat_with(&s, 0, 1, sequence, 100));
  answered = machine->last_possible_response_at;
  world_run(s.world, 1);
  g_assert_true(is_late(&s, heartbeat_with(&s, 0, 1, sequence, 100)));
  g_assert_true(is_late(&s, heartbeat_with(&s, 0, 1, sequence - 1, 0)));
  g_assert_false(is_late(&s, heartbeat_with(&s, 0, 1, sequence + 1, 0)));
  g_assert_false(is_late(&s, heartbeat_with(&s, 0, 2, 1, 0)));
  /* Should one come from a peer all the same, it shows no task as missing and renews nothing. */
  g_assert_null(record(&s, heartbeat_with(&s, 0, 1, sequence - 1, 0)));
  g_assert_cmpint(machine->last_possible_response_at.us, ==, answered.us);
  g_assert_true(s.job->tasks[0].machine == machine);
  /* A heartbeat that a direct reply has overtaken is no copy. */
  machine->latest_message_id.sequence = sequence + 5;
  g_assert_false(is_late(&s, heartbeat_with(&s, 0, 1, sequence + 2, 0)));
  /* Nothing brings back a machine that has been proved gone. */
  mm_machine_table_record_termination(s.scheduler->node->machine_table, machine->id.s);
  g_assert_true(is_late(&s, heartbeat_with(&s, 0, 9, 1, 100)));
  g_assert_null(record(&s, heartbeat_with(&s, 0, 9, 1, 100)));
  world_free(s.world);
}

/* An unknown machine is verified by a term that is newer than the start of the node. */
static void
test_unverified(void) {
  Setting s = set_up(2);
  const MmMachineTable *machine_table = s.scheduler->node->machine_table;
  MmHeartbeat heartbeat = heartbeat_with(&s, 0, 3, 70, 100);

  s.scheduler->node->replica->term_at_start.v = 7; /* as if it had started among others */
  heartbeat.machine_id = mm_name("m-000999");
  heartbeat.fencing_token.v = s.scheduler->node->replica->term_at_start.v - 1;
  g_assert_true(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  heartbeat.fencing_token = s.scheduler->node->replica->term_at_start;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  /* A registered machine may have tasks: whatever it shows counts. */
  heartbeat.machine_id = s.machines[0]->id;
  heartbeat.heartbeat_id.incarnation = s.machines[0]->registered_incarnation;
  heartbeat.fencing_token.v = 0;
  s.machines[0]->has_reported = FALSE;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  mm_heartbeat_clear(&heartbeat);
  world_free(s.world);
}

/* Which jobs may preempt tasks of which others for a quota of four cores. */
static void
test_reclaim(void) {
  Setting s = set_up(2);
  MmJob *job = s.job;
  MmJob victim = *job;

  job->is_within_quota = TRUE;
  victim.team_index = 1;
  victim.is_within_quota = FALSE;
  s.scheduler->team_used[1] = (MmResources){ 6, 0, 0 };
  g_assert_true(mm_scheduler_may_reclaim_quota(s.scheduler, job, &victim));
  s.scheduler->team_used[1].cores = 5; /* would fall below its own quota */
  g_assert_false(mm_scheduler_may_reclaim_quota(s.scheduler, job, &victim));
  s.scheduler->team_used[1].cores = 6;
  victim.is_within_quota = TRUE;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.scheduler, job, &victim));
  victim.is_within_quota = FALSE;
  victim.effective_priority = MM_PRIORITY_URGENT;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.scheduler, job, &victim));
  victim.effective_priority = job->effective_priority;
  job->is_within_quota = FALSE;
  g_assert_false(mm_scheduler_may_reclaim_quota(s.scheduler, job, &victim));
  world_free(s.world);
}

/* A machine full of work of the lowest priority that saves a checkpoint for three seconds; a job is
 * submitted for which it must be preempted. Returns the grace that it gets, in seconds. */
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

/* Work of the highest priority does not wait until work of the lowest has saved a checkpoint. */
static void
test_grace(void) {
  g_assert_cmpfloat(grace_for("critical", 1, 5), ==, 0);
  g_assert_cmpfloat(grace_for("urgent", 1, 8), ==, 4);
}

/* Work of the lowest priority is preempted also for work that is neither urgent nor within its
 * team's quota. */
static void
test_plain_work_stops_low_work(void) {
  g_assert_cmpfloat(grace_for("normal", 60, 12), ==, 4);
}

/* Gangs whose tasks take most of a machine each, one of each team after another, so that some of
 * their places are on machines whose heartbeats the leader of the gang's shard answers itself. It
 * must not subtract the reserved resources twice: then such gangs would never start. */
static void
test_gang_beside_its_shard_leader(void) {
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

/* While no accelerated work is pending, machines with accelerators are lent to other work, all but
 * four; for a gang that needs more than those the other work is preempted, and it starts at once.
 */
static void
test_lends_idle_machines(void) {
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
  g_test_add_func("/scheduler/table-one", test_table_one);
  g_test_add_func("/scheduler/pull-takes-kept", test_pull_takes_kept);
  g_test_add_func("/scheduler/limit", test_limit);
  g_test_add_func("/scheduler/reserved-quota-binds-limited-resources",
                  test_reserved_quota_binds_limited_resources);
  g_test_add_func("/scheduler/stale-start-request", test_stale_start_request);
  g_test_add_func("/scheduler/newer-attempt-stands", test_newer_attempt_stands);
  g_test_add_func("/scheduler/late-copies", test_late_copies);
  g_test_add_func("/scheduler/waits-where-it-may-be", test_waits_where_it_may_be);
  g_test_add_func("/scheduler/terminates-silent-idle", test_terminates_silent_idle);
  g_test_add_func("/scheduler/unverified", test_unverified);
  g_test_add_func("/scheduler/reclaim", test_reclaim);
  g_test_add_func("/scheduler/grace", test_grace);
  g_test_add_func("/scheduler/plain-work-stops-low-work", test_plain_work_stops_low_work);
  g_test_add_func("/scheduler/lends-idle-machines", test_lends_idle_machines);
  g_test_add_func("/scheduler/gang-beside-its-shard-leader", test_gang_beside_its_shard_leader);
  return g_test_run();
}
