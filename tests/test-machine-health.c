/* Tests that faulty machines are quarantined, and no others. */
#include "base/wire.h"
#include "machines/machine-health.h"
#include "jobs/job-table.h"
#include "world/world.h"

#define MACHINES 3
#define JOBS 4

typedef struct {
  World *world;
  MmNode *node;
  MmMachine *machines[MACHINES];
  MmName jobs[JOBS];
} HealthFixture;

/* Returns a world with pending jobs. Its workers are suspended as soon as the nodes know them;
 * therefore the only heartbeats are those that the test records. */
static HealthFixture
health_fixture(void) {
  HealthFixture f = { world_new(9) };

  world_add_machines(f.world, MACHINES, "big", 1);
  world_start(f.world);
  world_run(f.world, 5);
  f.node = f.world->nodes[0].node;
  for (guint i = 0; i < MACHINES; i++) {
    WorldMachine *machine = world_machine_at(f.world, i);
    machine->suspended_until_us = f.world->now_us + 100 * (gint64)G_USEC_PER_SEC;
    f.machines[i] = mm_machine_table_find(f.node->machine_table, machine->id);
    g_assert_nonnull(f.machines[i]);
  }
  for (guint i = 0; i < JOBS; i++)
    f.jobs[i] = mm_name(world_submit(f.world, mm_json_pack("{s:i}", WIRE_TASKS, MACHINES), 5)->id);
  world_run(f.world, 0.5);
  return f;
}

static void
record_heartbeat(HealthFixture *f, guint machine, guint64 incarnation, MmReportedTask *task) {
  MmMachine *m = f->machines[machine];
  MmHeartbeat heartbeat = { .machine_id = m->id,
                            .type = m->type_name,
                            .zone = m->zone,
                            .heartbeat_id = { incarnation, m->latest_message_id.sequence + 1 },
                            .fencing_token = m->acknowledged_term,
                            .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };

  if (task != NULL)
    g_array_append_val(heartbeat.tasks, *task);
  mm_machine_table_record_heartbeat(f->node->machine_table, &heartbeat, mm_node_now(f->node),
                                    MM_SERVING_NODE_SELF);
  mm_heartbeat_clear(&heartbeat);
}

/* Records a heartbeat in which the machine reports that a task of the job has ended. The number of
 * the task is that of the machine. */
static void
report_end(HealthFixture *f, guint machine, guint job, MmEndCause cause) {
  MmReportedTask task = { .job = f->jobs[job],
                          .number = machine,
                          .attempt = { 100 + job },
                          .state = MM_REPORTED_ENDED,
                          .cause = (guint8)cause };

  record_heartbeat(f, machine, f->machines[machine]->latest_message_id.incarnation, &task);
}

static gboolean
is_quarantined(const HealthFixture *f, guint machine) {
  return mm_time_before(mm_node_now(f->node), f->machines[machine]->quarantined_until);
}

/* A job that fails on every machine does not cause any machine to be quarantined. */
static void
test_faulty_jobs_quarantine_no_machine(void) {
  HealthFixture f = health_fixture();

  for (guint job = 0; job < JOBS; job++)
    for (guint k = 0; k < MACHINES; k++)
      report_end(&f, (job + k) % MACHINES, job, MM_CAUSE_ERROR);
  for (guint machine = 0; machine < MACHINES; machine++)
    g_assert_false(is_quarantined(&f, machine));
  world_free(f.world);
}

/* A machine is quarantined when jobs fail on the machine. A failed job counts only if the job
 * succeeds on another machine or has run on no other machine. */
static void
test_failing_machine_is_quarantined(void) {
  HealthFixture f = health_fixture();

  report_end(&f, 1, 0, MM_CAUSE_DONE);
  report_end(&f, 2, 0, MM_CAUSE_ERROR);
  report_end(&f, 0, 0, MM_CAUSE_ERROR);
  g_assert_false(is_quarantined(&f, 0));
  report_end(&f, 0, 1, MM_CAUSE_ERROR);
  g_assert_true(is_quarantined(&f, 0));
  g_assert_false(is_quarantined(&f, 2));
  world_free(f.world);
}

/* The node that serves a machine stops, and the machine's lease expires just as the machine finds
 * another node. The machine is not quarantined, however often that happens. By contrast, a machine
 * that loses its leases although its heartbeats are always answered is quarantined. */
static void
test_losing_leases_though_answered_is_quarantined(void) {
  HealthFixture f = health_fixture();
  gint64 second = G_USEC_PER_SEC;
  guint64 incarnation = f.machines[0]->latest_message_id.incarnation;

  for (guint lease = 0; lease < 3; lease++) {
    for (guint i = 0; i < 15; i++) {
      record_heartbeat(&f, 0, incarnation, NULL);
      mm_machine_health_count_own_response(f.node->machine_table, f.machines[0]);
      f.world->now_us += second;
    }
    f.world->now_us += (gint64)(f.world->worker_lease_s * G_USEC_PER_SEC) - second / 10;
    record_heartbeat(&f, 0, incarnation, NULL);
    mm_machine_health_count_own_response(f.node->machine_table, f.machines[0]);
    f.world->now_us += second / 2;
    record_heartbeat(&f, 0, ++incarnation, NULL);
    g_assert_false(is_quarantined(&f, 0));
  }
  for (guint lease = 0; lease < 2; lease++) {
    for (guint i = 0; i < 15; i++) {
      record_heartbeat(&f, 0, incarnation, NULL);
      mm_machine_health_count_own_response(f.node->machine_table, f.machines[0]);
      f.world->now_us += second;
    }
    record_heartbeat(&f, 0, ++incarnation, NULL);
  }
  g_assert_true(is_quarantined(&f, 0));
  world_free(f.world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/machine-health/faulty-jobs-quarantine-no-machine",
                  test_faulty_jobs_quarantine_no_machine);
  g_test_add_func("/machine-health/failing-machine-is-quarantined",
                  test_failing_machine_is_quarantined);
  g_test_add_func("/machine-health/losing-leases-though-answered-is-quarantined",
                  test_losing_leases_though_answered_is_quarantined);
  return g_test_run();
}
