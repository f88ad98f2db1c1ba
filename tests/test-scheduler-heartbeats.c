/* What the shard leader may conclude from heartbeats, and what it may not. */
#include "test-scheduler.h"

#include "base/wire.h"
#include "kv/replica.h"
#include "scheduler/led-shards.h"
#include "scheduler/start-rules.h"

/* Returns a heartbeat of a machine that runs one task of the fixture's job. If `attempt` is 0, the
 * heartbeat reports no task. */
static MmHeartbeat
heartbeat_with_task(const SchedulerFixture *f, guint machine, guint64 incarnation, guint64 sequence,
                    guint64 attempt) {
  MmHeartbeat heartbeat = { .machine_id = f->machines[machine]->id,
                            .type = f->machines[machine]->type_name,
                            .zone = f->machines[machine]->zone,
                            .heartbeat_id = { incarnation, sequence },
                            .fencing_token = f->machines[machine]->acknowledged_term,
                            .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };
  MmReportedTask reported
      = { .job = f->job->spec.id, .attempt = { attempt }, .state = MM_REPORTED_RUNNING };

  if (attempt != 0)
    g_array_append_val(heartbeat.tasks, reported);
  return heartbeat;
}

/* Records the heartbeat as one that the node received itself. Takes ownership of the heartbeat. */
static MmMachine *
record_heartbeat(const SchedulerFixture *f, MmHeartbeat heartbeat) {
  MmNode *node = f->scheduler->node;
  MmMachine *machine = mm_machine_table_record_heartbeat(node->machine_table, &heartbeat,
                                                         mm_node_now(node), MM_SERVING_NODE_SELF);

  mm_heartbeat_clear(&heartbeat);
  return machine;
}

/* When two attempts at a task are reported, the newer attempt wins in whichever order the
 * heartbeats arrive. The reason is that the newer attempt was approved only after the older
 * attempt had ended. Otherwise a late heartbeat would keep the task on a machine where the task no
 * longer runs. When that machine is lost, the task would start a third time. */
void
test_newer_attempt_wins(void) {
  for (guint newer_first = 0; newer_first < 2; newer_first++) {
    SchedulerFixture f = scheduler_fixture(2);
    guint64 sequence
        = MAX(f.machines[0]->latest_message_id.sequence, f.machines[1]->latest_message_id.sequence)
          + 1;
    guint first = newer_first ? 1 : 0;

    record_heartbeat(&f, heartbeat_with_task(&f, first, 1, sequence, first == 1 ? 200 : 100));
    record_heartbeat(&f, heartbeat_with_task(&f, 1 - first, 1, sequence, first == 1 ? 100 : 200));
    g_assert_true(mm_job_task(f.job, 0)->machine == f.machines[1]);
    g_assert_cmpuint(mm_job_task(f.job, 0)->attempt.v, ==, 200);
    g_assert_cmpuint(f.job->n_maybe_on_machines, ==, 1);
    world_free(f.world);
  }
}

/* A job waits only for those unacknowledged machines on which the job was ever allowed. */
void
test_job_waits_where_it_may_have_started(void) {
  SchedulerFixture f = scheduler_fixture(2);
  MmLedShard *led_shard = mm_scheduler_shard_of_job(f.scheduler, f.job);
  MmMachine *spot = f.machines[0];

  f.job->submitted_after_acquire = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(f.scheduler, f.job));
  led_shard->is_ready = FALSE;
  led_shard->unacknowledged_changed = TRUE;
  g_hash_table_insert(led_shard->unacknowledged_machines, g_strdup(spot->id.s),
                      GSIZE_TO_POINTER(1));
  spot->is_spot = TRUE;
  f.job->spec.allows_spot = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(f.scheduler, f.job));
  g_assert_false(mm_scheduler_job_is_schedulable(f.scheduler, f.job));
  f.job->spec.allows_spot = FALSE;
  g_assert_true(mm_scheduler_knows_all_starts(f.scheduler, f.job));
  g_assert_true(mm_scheduler_job_is_schedulable(f.scheduler, f.job));
  f.job->spec.allows_spot = TRUE;
  f.job->spec.zone = mm_name("elsewhere");
  g_assert_true(mm_scheduler_knows_all_starts(f.scheduler, f.job));
  /* A machine about which nothing is known may run any task. */
  g_hash_table_insert(led_shard->unacknowledged_machines, g_strdup("m-999999"),
                      GSIZE_TO_POINTER(1));
  led_shard->unacknowledged_changed = TRUE;
  g_assert_false(mm_scheduler_knows_all_starts(f.scheduler, f.job));
  world_free(f.world);
}

/* A machine that sends no heartbeats is returned to the cloud even if the machine has reported no
 * tasks. The reason is that starts may have reached the machine. Newly acquired shards therefore
 * wait for the machine until the machine is proved lost. */
void
test_silent_idle_machine_is_returned(void) {
  World *world = world_new(6);
  WorldMachine *silent;

  world_add_machines(world, 9, "small", 1);
  world_start(world);
  world_run(world, 8);
  silent = world_machine_at(world, 0);
  g_assert_cmpuint(silent->tasks->len, ==, 0);
  silent->partitioned_until_us = world->now_us + 100 * (gint64)G_USEC_PER_SEC;
  world_run(world, 7.5);
  g_assert_true(silent->is_terminated);
  world_free(world);
}

static gboolean
is_stale(const SchedulerFixture *f, MmHeartbeat heartbeat) {
  gboolean is_stale_heartbeat
      = mm_machine_table_is_stale_heartbeat(f->scheduler->node->machine_table, &heartbeat);

  mm_heartbeat_clear(&heartbeat);
  return is_stale_heartbeat;
}

/* Late copies of a machine's heartbeats are recognised as stale and do not extend the assumed lease
 * of the machine. */
void
test_late_copies_prove_nothing(void) {
  SchedulerFixture f = scheduler_fixture(2);
  MmMachine *machine = f.machines[0];
  guint64 sequence = machine->latest_message_id.sequence + 10;
  MmTime answered;

  record_heartbeat(&f, heartbeat_with_task(&f, 0, 1, sequence, 100));
  answered = machine->last_possible_response_at;
  world_run(f.world, 1);
  g_assert_true(is_stale(&f, heartbeat_with_task(&f, 0, 1, sequence, 100)));
  g_assert_true(is_stale(&f, heartbeat_with_task(&f, 0, 1, sequence - 1, 0)));
  g_assert_false(is_stale(&f, heartbeat_with_task(&f, 0, 1, sequence + 1, 0)));
  g_assert_false(is_stale(&f, heartbeat_with_task(&f, 0, 2, 1, 0)));
  /* Even when a peer forwards a late copy of a heartbeat, the copy neither removes a task nor
     renews the lease. */
  g_assert_null(record_heartbeat(&f, heartbeat_with_task(&f, 0, 1, sequence - 1, 0)));
  g_assert_cmpint(machine->last_possible_response_at.us, ==, answered.us);
  g_assert_true(mm_job_task(f.job, 0)->machine == machine);
  /* A heartbeat overtaken by a direct reply is not a late copy. */
  machine->latest_message_id.sequence = sequence + 5;
  g_assert_false(is_stale(&f, heartbeat_with_task(&f, 0, 1, sequence + 2, 0)));
  /* No heartbeat revives a terminated machine. */
  mm_machine_table_record_termination(f.scheduler->node->machine_table, machine->id.s);
  g_assert_true(is_stale(&f, heartbeat_with_task(&f, 0, 9, 1, 100)));
  g_assert_null(record_heartbeat(&f, heartbeat_with_task(&f, 0, 9, 1, 100)));
  world_free(f.world);
}

/* A heartbeat of an unregistered machine is verified if its fencing token is a term that this
 * process of the node has seen. */
void
test_unregistered_machine_is_verified_by_term(void) {
  SchedulerFixture f = scheduler_fixture(2);
  const MmMachineTable *machine_table = f.scheduler->node->machine_table;
  MmHeartbeat heartbeat = heartbeat_with_task(&f, 0, 3, 70, 100);

  f.scheduler->node->replica->term_at_start.v
      = 7; /* as if other nodes had raised the term before this process started */
  heartbeat.machine_id = mm_name("m-000999");
  heartbeat.fencing_token.v = f.scheduler->node->replica->term_at_start.v - 1;
  g_assert_true(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  heartbeat.fencing_token = f.scheduler->node->replica->term_at_start;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  /* A registered machine may have tasks, so its heartbeat counts whatever its fencing token. */
  heartbeat.machine_id = f.machines[0]->id;
  heartbeat.heartbeat_id.incarnation = f.machines[0]->registered_incarnation;
  heartbeat.fencing_token.v = 0;
  f.machines[0]->has_reported = FALSE;
  g_assert_false(mm_machine_table_is_unverified_heartbeat(machine_table, &heartbeat));
  mm_heartbeat_clear(&heartbeat);
  world_free(f.world);
}
