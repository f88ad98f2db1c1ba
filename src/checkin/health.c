#include "checkin/health.h"

#include "jobs/job-table.h"
#include "store/replica.h"

/* Errors of so many different jobs, with no success between them, are the machine's fault. */
#define ERRORS_TO_QUARANTINE 2
#define ERRORS_QUARANTINE_MS 60000
#define REFUSED_STARTS_TO_QUARANTINE 3
#define LOST_LEASES_TO_QUARANTINE 2
/* The first quarantine for anything but errors; each next one is twice as long. */
#define QUARANTINE_MS 5000
#define QUARANTINE_MOST_MS 60000
#define QUARANTINE_DOUBLINGS 4
/* Answers without a sign of having been had, and for how long, until a machine counts as deaf. */
#define DEAF_ANSWERS 4
#define DEAF_LEAST_MS 4000
#define DEAF_PERIODS 3

static void
quarantine(const MmMachineTable *machine_table, MmMachine *machine, gint64 duration_ms,
           const char *reason) {
  mm_info("machine %s is quarantined: %s", machine->id.s, reason);
  machine->quarantined_until = mm_time_add_ms(mm_node_now(machine_table->node), duration_ms);
}

/* Longer each time. */
static gint64
repeated_ms(guint repetitions) {
  return MIN((gint64)QUARANTINE_MS << MIN(repetitions, QUARANTINE_DOUBLINGS), QUARANTINE_MOST_MS);
}

/* ---- errors ---- */

static gboolean
was_ended(const MmMachine *machine, const MmSeenTask *task) {
  const MmSeenTask *previous = mm_machine_seen(machine, &task->job, task->number, task->attempt);

  return previous != NULL && previous->state == MM_SEEN_ENDED;
}

/* One that failed wherever it was tried and succeeded nowhere: it says nothing about machines. */
static gboolean
job_is_faulty(const MmMachineTable *machine_table, const MmName *job_id) {
  const MmJob *job = mm_job_table_find(machine_table->node->job_table, job_id->s);

  return job != NULL && mm_job_fails_everywhere(job);
}

/* Jobs with a mistake fail on every machine. They once had healthy machines quarantined by the
 * hundred: two such jobs were enough for each machine that had tried both. */
static void
count_error(MmMachineTable *machine_table, MmMachine *machine, const MmName *job_id) {
  if (machine->failed_jobs > 0 && job_is_faulty(machine_table, &machine->last_failed_job))
    machine->failed_jobs--;
  if (job_is_faulty(machine_table, job_id)
      || (machine->failed_jobs > 0 && mm_name_equal(&machine->last_failed_job, job_id)))
    return;
  machine->last_failed_job = *job_id;
  if (++machine->failed_jobs < ERRORS_TO_QUARANTINE)
    return;
  quarantine(machine_table, machine, ERRORS_QUARANTINE_MS, "tasks of several jobs fail there");
}

void
mm_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                       const MmReport *heartbeat) {
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const MmSeenTask *task = &g_array_index(heartbeat->tasks, MmSeenTask, i);
    MmJob *job = mm_job_table_find(machine_table->node->job_table, task->job.s);

    if (task->state != MM_SEEN_ENDED || was_ended(machine, task))
      continue;
    if (task->cause == MM_CAUSE_DONE) {
      machine->failed_jobs = 0;
      if (job != NULL)
        job->succeeded = TRUE;
    } else if (task->cause == MM_CAUSE_ERROR) {
      if (job != NULL)
        mm_job_note_failure(job, &machine->id);
      count_error(machine_table, machine, &task->job);
    }
  }
}

/* ---- starts and sessions ---- */

void
mm_health_note_refused_start(const MmMachineTable *machine_table, MmMachine *machine) {
  if (++machine->refused_starts < REFUSED_STARTS_TO_QUARANTINE)
    return;
  quarantine(machine_table, machine,
             repeated_ms(machine->refused_starts - REFUSED_STARTS_TO_QUARANTINE),
             "it carries out no start");
}

static gint64
lease_ms(const MmMachineTable *machine_table) {
  return (gint64)(machine_table->node->settings->worker_lease_s * 1000);
}

void
mm_health_note_answer(const MmMachineTable *machine_table, MmMachine *machine,
                      MmTime responded_at) {
  if (mm_time_ms_since(responded_at, machine->answered) > lease_ms(machine_table) / 2)
    machine->answered_steadily_since = responded_at;
  machine->answered = mm_time_max(machine->answered, responded_at);
}

/* A worker that is answered keeps its session. One whose nodes have ended finds another late, and
 * may lose its lease at the very moment of the first answer: healthy machines once got no work for
 * that, just when many had to start anew. */
void
mm_health_note_session(const MmMachineTable *machine_table, MmMachine *machine) {
  MmTime now = mm_node_now(machine_table->node);

  if (machine->answers >= DEAF_ANSWERS && !machine->lost
      && mm_time_ms_since(now, machine->answered_steadily_since) >= lease_ms(machine_table)) {
    if (++machine->lost_leases >= LOST_LEASES_TO_QUARANTINE)
      quarantine(machine_table, machine, repeated_ms(machine->lost_leases),
                 "it loses its leases though answered");
  } else {
    machine->lost_leases = 0;
  }
  machine->answers = 0;
}

/* ---- machines that hear nothing ---- */

gboolean
mm_health_is_deaf(const MmMachineTable *machine_table, const MmMachine *machine) {
  gint64 periods_ms
      = (gint64)(machine_table->node->settings->heartbeat_interval_s * 1000 * DEAF_PERIODS);
  gint64 patience_ms = MAX(DEAF_LEAST_MS, periods_ms);

  return machine->unacknowledged_since.us != 0 && machine->unacknowledged >= DEAF_ANSWERS
         && mm_time_ms_since(mm_node_now(machine_table->node), machine->unacknowledged_since)
                > patience_ms;
}

void
mm_health_count_answer(const MmMachineTable *machine_table, MmMachine *machine, MmTerm term) {
  machine->answers++;
  if (term.v <= machine->token.v)
    return;
  if (machine->unacknowledged_since.us == 0)
    machine->unacknowledged_since = mm_node_now(machine_table->node);
  machine->unacknowledged++;
}

void
mm_health_count_own_answer(const MmMachineTable *machine_table, MmMachine *machine) {
  machine->answered_here = mm_node_now(machine_table->node);
  mm_health_count_answer(machine_table, machine, machine_table->node->replica->term);
}
