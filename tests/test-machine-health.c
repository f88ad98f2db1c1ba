/* Which machines are set aside: those at fault, and no others. */
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
} Setting;

/* Machines that hang as soon as they are known, so that only the test's own reports come, and jobs
 * that wait. */
static Setting
set_up(void) {
  Setting s = { world_new(9) };

  world_add_machines(s.world, MACHINES, "big", 1);
  world_start(s.world);
  world_run(s.world, 5);
  s.node = s.world->nodes[0].node;
  for (guint i = 0; i < MACHINES; i++) {
    WorldMachine *machine = world_machine_at(s.world, i);
    machine->hung_until_us = s.world->now_us + 100 * (gint64)G_USEC_PER_SEC;
    s.machines[i] = mm_machine_table_find(s.node->machine_table, machine->id);
    g_assert_nonnull(s.machines[i]);
  }
  for (guint i = 0; i < JOBS; i++)
    s.jobs[i] = mm_name(world_submit(s.world, json_pack("{s:i}", WIRE_TASKS, MACHINES), 5)->id);
  world_run(s.world, 0.5);
  return s;
}

static void
take_report(Setting *s, guint machine, guint64 session, MmReportedTask *task) {
  MmMachine *m = s->machines[machine];
  MmHeartbeat report = { .machine_id = m->id,
                         .type = m->type_name,
                         .zone = m->zone,
                         .heartbeat_id = { session, m->latest_message_id.sequence + 1 },
                         .fencing_token = m->acknowledged_term,
                         .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };

  if (task != NULL)
    g_array_append_val(report.tasks, *task);
  mm_machine_table_record_heartbeat(s->node->machine_table, &report, mm_node_now(s->node),
                                    MM_SERVING_NODE_SELF);
  mm_heartbeat_clear(&report);
}

/* A task of the job, its number that of the machine, has ended there. */
static void
ends(Setting *s, guint machine, guint job, MmEndCause cause) {
  MmReportedTask task = { .job = s->jobs[job],
                          .number = machine,
                          .attempt = { 100 + job },
                          .state = MM_REPORTED_ENDED,
                          .cause = (guint8)cause };

  take_report(s, machine, s->machines[machine]->latest_message_id.incarnation, &task);
}

static gboolean
is_quarantined(const Setting *s, guint machine) {
  return mm_time_before(mm_node_now(s->node), s->machines[machine]->quarantined_until);
}

/* Jobs with a mistake fail on each machine; that once set all of those aside. */
static void
test_faulty_jobs_quarantine_no_machine(void) {
  Setting s = set_up();

  for (guint job = 0; job < JOBS; job++)
    for (guint k = 0; k < MACHINES; k++)
      ends(&s, (job + k) % MACHINES, job, MM_CAUSE_ERROR);
  for (guint machine = 0; machine < MACHINES; machine++)
    g_assert_false(is_quarantined(&s, machine));
  world_free(s.world);
}

/* Jobs that succeed elsewhere, or that nobody else has tried, fail on one machine. */
static void
test_failing_machine_is_quarantined(void) {
  Setting s = set_up();

  ends(&s, 1, 0, MM_CAUSE_DONE);
  ends(&s, 2, 0, MM_CAUSE_ERROR);
  ends(&s, 0, 0, MM_CAUSE_ERROR);
  g_assert_false(is_quarantined(&s, 0));
  ends(&s, 0, 1, MM_CAUSE_ERROR);
  g_assert_true(is_quarantined(&s, 0));
  g_assert_false(is_quarantined(&s, 2));
  world_free(s.world);
}

/* The nodes that a machine reports to end, and its lease runs out just as it finds another: that is
 * not its fault, however often it happens. One that is answered all the time and still loses its
 * leases is set aside. */
static void
test_losing_leases_though_answered_is_quarantined(void) {
  Setting s = set_up();
  gint64 second = G_USEC_PER_SEC;
  guint64 session = s.machines[0]->latest_message_id.incarnation;

  for (guint lease = 0; lease < 3; lease++) {
    for (guint i = 0; i < 15; i++) {
      take_report(&s, 0, session, NULL);
      mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
      s.world->now_us += second;
    }
    s.world->now_us += (gint64)(s.world->lease_s * G_USEC_PER_SEC) - second / 10;
    take_report(&s, 0, session, NULL);
    mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
    s.world->now_us += second / 2;
    take_report(&s, 0, ++session, NULL);
    g_assert_false(is_quarantined(&s, 0));
  }
  for (guint lease = 0; lease < 2; lease++) {
    for (guint i = 0; i < 15; i++) {
      take_report(&s, 0, session, NULL);
      mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
      s.world->now_us += second;
    }
    take_report(&s, 0, ++session, NULL);
  }
  g_assert_true(is_quarantined(&s, 0));
  world_free(s.world);
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
