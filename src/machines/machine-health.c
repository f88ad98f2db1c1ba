#include "machines/machine-health.h"

#include "jobs/job-table.h"
#include "kv/replica.h"

/* Errors of so many different jobs, with no success between them, count as the machine's fault. */
#define FAILED_JOBS_TO_QUARANTINE 2
#define FAILED_JOBS_QUARANTINE_MS 60000
#define REFUSED_STARTS_TO_QUARANTINE 3
#define LOST_LEASES_TO_QUARANTINE 2
/* The first quarantine for anything but errors; each next one is twice as long, up to the maximum.
 */
#define QUARANTINE_FIRST_MS 5000
#define QUARANTINE_MAX_MS 60000
#define QUARANTINE_DOUBLINGS_MAX 4
/* A machine ignores responses after so many unacknowledged ones, over so long a time: the longer of
 * the milliseconds and the heartbeat intervals. */
#define IGNORED_RESPONSES_MIN 4
#define IGNORED_RESPONSES_MIN_MS 4000
#define IGNORED_RESPONSES_MIN_PERIODS 3

static void
quarantine(const MmMachineTable *machine_table, MmMachine *machine, gint64 duration_ms,
           const char *reason) {
  mm_info("machine %s is quarantined duration_ms=%" G_GINT64_FORMAT " reason=\"%s\"", machine->id.s,
          duration_ms, reason);
  machine->quarantined_until = mm_time_add_ms(mm_node_now(machine_table->node), duration_ms);
}

static gint64
repeated_quarantine_ms(guint repetitions) {
  return MIN((gint64)QUARANTINE_FIRST_MS << MIN(repetitions, QUARANTINE_DOUBLINGS_MAX),
             QUARANTINE_MAX_MS);
}

/* ---- errors ---- */

static gboolean
had_already_ended(const MmMachine *machine, const MmReportedTask *task) {
  const MmReportedTask *previous
      = mm_machine_find_reported_task(machine, &task->job, task->number, task->attempt);

  return previous != NULL && previous->state == MM_REPORTED_ENDED;
}

/* Whether the job failed wherever it was tried and succeeded nowhere: that says nothing about
 * machines. */
static gboolean
job_is_faulty(const MmMachineTable *machine_table, const MmName *job_id) {
  const MmJob *job = mm_job_table_find(machine_table->node->job_table, job_id->s);

  return job != NULL && mm_job_fails_everywhere(job);
}

/* A faulty job fails on every machine and is not counted: two such jobs would otherwise quarantine
 * each healthy machine that had tried both. The last counted job may prove faulty later. */
static void
count_failed_job(MmMachineTable *machine_table, MmMachine *machine, const MmName *job_id) {
  if (machine->consecutive_failed_jobs > 0
      && job_is_faulty(machine_table, &machine->last_failed_job))
    machine->consecutive_failed_jobs--;
  if (job_is_faulty(machine_table, job_id)
      || (machine->consecutive_failed_jobs > 0 && mm_name_equal(&machine->last_failed_job, job_id)))
    return;
  machine->last_failed_job = *job_id;
  if (++machine->consecutive_failed_jobs < FAILED_JOBS_TO_QUARANTINE)
    return;
  quarantine(machine_table, machine, FAILED_JOBS_QUARANTINE_MS, "tasks of several jobs fail there");
}

void
mm_machine_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                               const MmHeartbeat *heartbeat) {
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(heartbeat->tasks, MmReportedTask, i);
    MmJob *job = mm_job_table_find(machine_table->node->job_table, task->job.s);

    if (task->state != MM_REPORTED_ENDED || had_already_ended(machine, task))
      continue;
    if (task->cause == MM_CAUSE_DONE) {
      machine->consecutive_failed_jobs = 0;
      if (job != NULL)
        job->has_succeeded = TRUE;
    } else if (task->cause == MM_CAUSE_ERROR) {
      if (job != NULL)
        mm_job_add_failed_machine(job, &machine->id);
      count_failed_job(machine_table, machine, &task->job);
    }
  }
}

/* ---- starts and incarnations ---- */

void
mm_machine_health_record_refused_start(const MmMachineTable *machine_table, MmMachine *machine) {
  if (++machine->consecutive_refused_starts < REFUSED_STARTS_TO_QUARANTINE)
    return;
  quarantine(
      machine_table, machine,
      repeated_quarantine_ms(machine->consecutive_refused_starts - REFUSED_STARTS_TO_QUARANTINE),
      "it carries out no start");
}

static gint64
lease_ms(const MmMachineTable *machine_table) {
  return (gint64)(machine_table->node->settings->worker_lease_s * 1000);
}

void
mm_machine_health_record_response(const MmMachineTable *machine_table, MmMachine *machine,
                                  MmTime responded_at) {
  if (mm_time_ms_since(responded_at, machine->last_possible_response_at)
      > lease_ms(machine_table) / 2)
    machine->steady_responses_since = responded_at;
  machine->last_possible_response_at
      = mm_time_max(machine->last_possible_response_at, responded_at);
}

/* An incarnation that is seen for the first time began no later than that, and lives for a lease
 * even if nobody answers it. Its lease must not count from the last response to the previous
 * incarnation: a machine that is back after an outage would be lost at once and removed from the
 * registry, its tasks would run elsewhere as well, and its heartbeats would count as late copies
 * for good. */
void
mm_machine_health_begin_incarnation(MmMachine *machine, MmTime first_seen_at) {
  machine->last_possible_response_at
      = mm_time_max(machine->last_possible_response_at, first_seen_at);
  machine->steady_responses_since = first_seen_at;
}

/* A worker that is answered steadily keeps its incarnation. One whose node has ended finds another
 * late, and may lose its lease just as the first response arrives: that is not the machine's fault,
 * so only losses after a whole lease of steady responses count. */
void
mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine) {
  MmTime now = mm_node_now(machine_table->node);

  if (machine->responses_in_incarnation >= IGNORED_RESPONSES_MIN && !machine->lease_has_expired
      && mm_time_ms_since(now, machine->steady_responses_since) >= lease_ms(machine_table)) {
    if (++machine->consecutive_lost_leases >= LOST_LEASES_TO_QUARANTINE)
      quarantine(machine_table, machine, repeated_quarantine_ms(machine->consecutive_lost_leases),
                 "it loses its leases though answered");
  } else {
    machine->consecutive_lost_leases = 0;
  }
  machine->responses_in_incarnation = 0;
}

/* ---- machines that ignore responses ---- */

static gboolean
has_unacknowledged_response(const MmMachine *machine) {
  return machine->unacknowledged_since.us != 0;
}

void
mm_machine_health_record_acknowledgement(MmMachine *machine) {
  machine->unacknowledged_since.us = 0;
  machine->unacknowledged_responses = 0;
}

gboolean
mm_machine_health_ignores_responses(const MmMachineTable *machine_table, const MmMachine *machine) {
  gint64 periods_ms = (gint64)(machine_table->node->settings->heartbeat_interval_s * 1000
                               * IGNORED_RESPONSES_MIN_PERIODS);
  gint64 min_duration_ms = MAX(IGNORED_RESPONSES_MIN_MS, periods_ms);

  return has_unacknowledged_response(machine)
         && machine->unacknowledged_responses >= IGNORED_RESPONSES_MIN
         && mm_time_ms_since(mm_node_now(machine_table->node), machine->unacknowledged_since)
                > min_duration_ms;
}

void
mm_machine_health_count_response(const MmMachineTable *machine_table, MmMachine *machine,
                                 MmTerm term) {
  machine->responses_in_incarnation++;
  if (term.v <= machine->acknowledged_term.v)
    return;
  if (!has_unacknowledged_response(machine))
    machine->unacknowledged_since = mm_node_now(machine_table->node);
  machine->unacknowledged_responses++;
}

void
mm_machine_health_count_own_response(const MmMachineTable *machine_table, MmMachine *machine) {
  machine->last_own_response_at = mm_node_now(machine_table->node);
  mm_machine_health_count_response(machine_table, machine, machine_table->node->replica->term);
}
