/* Which machines are quarantined: those at fault, and no others. */
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

/* Machines that hang as soon as they are known, so that only the test's own heartbeats arrive, and
 * jobs that wait. */
static Setting
set_up(void) {
  Setting s = { world_new(9) };

  for (guint i = 0; i < MACHINES; i++)
    world_add_machine(s.world, "big", "a", FALSE, 0.1);
  world_start(s.world);
  world_run(s.world, 5);
  s.node = s.world->nodes[0].node;
  for (guint i = 0; i < MACHINES; i++) {
    WorldMachine *machine = g_ptr_array_index(s.world->machines, i);
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
record_heartbeat(Setting *s, guint machine, guint64 incarnation, MmReportedTask *task) {
  MmMachine *known = s->machines[machine];
  MmHeartbeat heartbeat = { .machine_id = known->id,
                            .type = known->type_name,
                            .zone = known->zone,
                            .heartbeat_id = { incarnation, known->latest_message_id.sequence + 1 },
                            .fencing_token = known->acknowledged_term,
                            .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };

  if (task != NULL)
    g_array_append_val(heartbeat.tasks, *task);
  mm_machine_table_record_heartbeat(s->node->machine_table, &heartbeat, mm_node_now(s->node),
                                    MM_SERVING_NODE_SELF);
  mm_heartbeat_clear(&heartbeat);
}

/* The machine reports that a task of the job, its number that of the machine, has ended. */
static void
report_ended_task(Setting *s, guint machine, guint job, MmEndCause cause) {
  MmReportedTask task = { .job = s->jobs[job],
                          .number = machine,
                          .attempt = { 100 + job },
                          .state = MM_REPORTED_ENDED,
                          .cause = (guint8)cause };

  record_heartbeat(s, machine, s->machines[machine]->latest_message_id.incarnation, &task);
}

static gboolean
is_quarantined(const Setting *s, guint machine) {
  return mm_time_before(mm_node_now(s->node), s->machines[machine]->quarantined_until);
}

/* Faulty jobs fail on every machine, which must not quarantine it. */
static void
test_faulty_jobs(void) {
  Setting s = set_up();

  for (guint job = 0; job < JOBS; job++)
    for (guint k = 0; k < MACHINES; k++)
      report_ended_task(&s, (job + k) % MACHINES, job, MM_CAUSE_ERROR);
  for (guint machine = 0; machine < MACHINES; machine++)
    g_assert_false(is_quarantined(&s, machine));
  world_free(s.world);
}

/* Jobs that succeed elsewhere, or that nobody else has tried, fail on one machine. */
static void
test_faulty_machine(void) {
  Setting s = set_up();

  report_ended_task(&s, 1, 0, MM_CAUSE_DONE);
  report_ended_task(&s, 2, 0, MM_CAUSE_ERROR);
  report_ended_task(&s, 0, 0, MM_CAUSE_ERROR);
  g_assert_false(is_quarantined(&s, 0));
  report_ended_task(&s, 0, 1, MM_CAUSE_ERROR);
  g_assert_true(is_quarantined(&s, 0));
  g_assert_false(is_quarantined(&s, 2));
  world_free(s.world);
}

/* The node that serves a machine ends, and its lease expires just as it finds another: that is not
 * the machine's fault, however often it happens. A machine that is answered steadily and still
 * loses its leases is quarantined. */
static void
test_lost_leases(void) {
  Setting s = set_up();
  gint64 second = G_USEC_PER_SEC;
  guint64 incarnation = s.machines[0]->latest_message_id.incarnation;

  for (guint lease = 0; lease < 3; lease++) {
    for (guint i = 0; i < 15; i++) {
      record_heartbeat(&s, 0, incarnation, NULL);
      mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
      s.world->now_us += second;
    }
    s.world->now_us += (gint64)(s.world->lease_s * G_USEC_PER_SEC) - second / 10;
    record_heartbeat(&s, 0, incarnation, NULL);
    mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
    s.world->now_us += second / 2;
    record_heartbeat(&s, 0, ++incarnation, NULL);
    g_assert_false(is_quarantined(&s, 0));
  }
  for (guint lease = 0; lease < 2; lease++) {
    for (guint i = 0; i < 15; i++) {
      record_heartbeat(&s, 0, incarnation, NULL);
      mm_machine_health_count_own_response(s.node->machine_table, s.machines[0]);
      s.world->now_us += second;
    }
    record_heartbeat(&s, 0, ++incarnation, NULL);
  }
  g_assert_true(is_quarantined(&s, 0));
  world_free(s.world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/health/faulty-jobs", test_faulty_jobs);
  g_test_add_func("/health/faulty-machine", test_faulty_machine);
  g_test_add_func("/health/lost-leases", test_lost_leases);
  return g_test_run();
}
