#include "machines/machine-health.h"

#include "jobs/job-table.h"
#include "kv/replica.h"

/* Number of consecutive failed jobs, without a successful task between them, after which a machine
 * is quarantined. Errors in this many different jobs are attributed to the machine, not to the
 * jobs. */
#define FAILED_JOBS_TO_QUARANTINE 2
#define FAILED_JOBS_QUARANTINE_MS 60000
#define REFUSED_STARTS_TO_QUARANTINE 3
#define LOST_LEASES_TO_QUARANTINE 2
/* Duration of a quarantine for reasons other than failed jobs. The duration starts at
 * QUARANTINE_FIRST_MS and is doubled with each repetition. It is doubled at most
 * QUARANTINE_DOUBLINGS_MAX times and never exceeds QUARANTINE_MAX_MS. */
#define QUARANTINE_FIRST_MS 5000
#define QUARANTINE_MAX_MS 60000
#define QUARANTINE_DOUBLINGS_MAX 4
/* A machine is considered to ignore responses after at least IGNORED_RESPONSES_MIN unacknowledged
 * responses. In addition, the first of these responses must be older than both
 * IGNORED_RESPONSES_MIN_MS and IGNORED_RESPONSES_MIN_INTERVALS heartbeat intervals. */
#define IGNORED_RESPONSES_MIN 4
#define IGNORED_RESPONSES_MIN_MS 4000
#define IGNORED_RESPONSES_MIN_INTERVALS 3

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

/* Task errors */

static gboolean
had_already_ended(const MmMachine *machine, const MmReportedTask *task) {
  const MmReportedTask *previous
      = mm_machine_find_reported_task(machine, &task->job, task->number, task->attempt);

  return previous != NULL && previous->state == MM_REPORTED_ENDED;
}

/* Returns whether the job failed on every machine where it was tried and succeeded on none. Such a
 * failure says nothing about the machines. */
static gboolean
job_is_faulty(const MmMachineTable *machine_table, const MmName *job_id) {
  const MmJob *job = mm_job_table_find(machine_table->node->job_table, job_id->s);

  return job != NULL && mm_job_is_faulty(job);
}

/* Counts a failed job against the machine. A faulty job fails on every machine and is not counted.
 * Otherwise two faulty jobs would quarantine every healthy machine that tried both. If the most
 * recently counted job later proves to be faulty, this function takes the count of that job
 * back. */
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
  quarantine(machine_table, machine, FAILED_JOBS_QUARANTINE_MS,
             "tasks of several jobs failed on the machine");
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

/* Refused starts and incarnations */

void
mm_machine_health_record_refused_start(const MmMachineTable *machine_table, MmMachine *machine) {
  if (++machine->consecutive_refused_starts < REFUSED_STARTS_TO_QUARANTINE)
    return;
  quarantine(
      machine_table, machine,
      repeated_quarantine_ms(machine->consecutive_refused_starts - REFUSED_STARTS_TO_QUARANTINE),
      "several starts in a row were not executed");
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

/* A new incarnation began no later than it was first seen. The new incarnation keeps its lease for
 * a full lease period even if no node answers the machine. The lease must therefore not be counted
 * from the last response to the previous incarnation. Otherwise a machine that returns after an
 * outage would be considered lost at once and removed from the registry. Its tasks would run a
 * second time elsewhere, and its heartbeats would be treated as stale from then on. */
void
mm_machine_health_begin_incarnation(MmMachine *machine, MmTime first_seen_at) {
  machine->last_possible_response_at
      = mm_time_max(machine->last_possible_response_at, first_seen_at);
  machine->steady_responses_since = first_seen_at;
}

/* A worker that is answered regularly keeps its incarnation, so a new incarnation suggests a fault
 * of the machine. There is one exception. When the node that serves a worker fails, the worker may
 * find another node so late that its lease expires just as the first response arrives. A lost lease
 * is therefore counted only after a full lease period of regular responses. */
void
mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine) {
  MmTime now = mm_node_now(machine_table->node);

  if (machine->responses_in_incarnation >= IGNORED_RESPONSES_MIN && !machine->lease_has_expired
      && mm_time_ms_since(now, machine->steady_responses_since) >= lease_ms(machine_table)) {
    if (++machine->consecutive_lost_leases >= LOST_LEASES_TO_QUARANTINE)
      quarantine(machine_table, machine, repeated_quarantine_ms(machine->consecutive_lost_leases),
                 "leases expired although heartbeats were answered regularly");
  } else {
    machine->consecutive_lost_leases = 0;
  }
  machine->responses_in_incarnation = 0;
}

/* Machines that ignore responses */

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
  gint64 intervals_ms = (gint64)(machine_table->node->settings->heartbeat_interval_s * 1000
                                 * IGNORED_RESPONSES_MIN_INTERVALS);
  gint64 min_duration_ms = MAX(IGNORED_RESPONSES_MIN_MS, intervals_ms);

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
