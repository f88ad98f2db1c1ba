#include "scheduler/job-writer.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "kv/kv-client.h"
#include "scheduler/led-shards.h"

/* JOB_WRITE_DELAY_MS: how long the write of a completed task is delayed, to combine it with
 * later completed tasks of the same job. JOB_WRITE_INTERVAL_MS: minimum time between two writes
 * of a job. */
#define JOB_WRITE_DELAY_MS 300
#define JOB_WRITE_INTERVAL_MS 1000
#define TERMINAL_WRITE_INTERVAL_MS 100
/* Bytes that a record needs in addition to its fields and the text of its completed tasks. */
#define RECORD_MARGIN_BYTES 64
/* Maximum number of conditions in a transaction of the key-value store, as a multiple of its
 * maximum number of operations. */
#define CONDITIONS_PER_OPERATION 4
#define HTTP_OK 200
#define HTTP_CONFLICT 409
/* Maximum number of operations and conditions that one job adds to a transaction. */
#define OPERATIONS_PER_JOB 2
#define CONDITIONS_PER_JOB 2

typedef struct {
  MmName id;
  char *completed_text;    /* completed tasks as written; NULL: the job gets a terminal record */
  MmJson *terminal_record; /* NULL: the job has not ended */
} WrittenJob;

/* A transaction that is being built or is in flight. */
typedef struct {
  MmScheduler *scheduler;
  GArray *jobs; /* WrittenJob */
} JobWrite;

static void
written_job_clear(gpointer data) {
  g_free(((WrittenJob *)data)->completed_text);
  mm_json_unref(((WrittenJob *)data)->terminal_record);
}

static JobWrite *
job_write_new(MmScheduler *scheduler) {
  JobWrite *write = g_new(JobWrite, 1);

  *write = (JobWrite){ scheduler, g_array_new(FALSE, TRUE, sizeof(WrittenJob)) };
  g_array_set_clear_func(write->jobs, written_job_clear);
  return write;
}

static void
job_write_free(JobWrite *write) {
  g_array_unref(write->jobs);
  g_free(write);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC(JobWrite, job_write_free)

/* Applies the outcome of the transaction to one of its jobs. After a failed transaction, the job
 * counts as unwritten from now on. */
static void
job_written(const MmNode *node, const WrittenJob *written_job, int status, guint64 revision) {
  MmJob *job = mm_job_table_find(node->job_table, written_job->id.s);

  if (status == HTTP_OK && written_job->terminal_record != NULL)
    mm_job_table_add_terminal_record(node->job_table, written_job->id.s,
                                     written_job->terminal_record);
  if (job == NULL)
    return;
  job->is_being_written = FALSE;
  if (status != HTTP_OK) {
    job->unwritten_since = mm_node_now(node);
    return;
  }
  if (written_job->terminal_record == NULL) {
    mm_completed_tasks_add_text(&job->recorded_completed, written_job->completed_text);
    job->record_version.v = MAX(job->record_version.v, revision);
  }
}

/* Applies the outcome of the transaction to all of its jobs. After a conflict, each of these jobs
 * is written in a transaction of its own. Otherwise, a job that was changed elsewhere would prevent
 * the other jobs from being written. */
static void
jobs_written(gpointer data, int status, MmJson *body) {
  g_autoptr(JobWrite) write = data;
  MmScheduler *scheduler = write->scheduler;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);

  scheduler->is_writing = FALSE;
  if (status == HTTP_CONFLICT)
    scheduler->single_job_writes = write->jobs->len;
  for (guint i = 0; i < write->jobs->len; i++)
    job_written(scheduler->node, &g_array_index(write->jobs, WrittenJob, i), status, revision);
}

static gboolean
needs_terminal_record(MmScheduler *scheduler, const MmJob *job) {
  if (job->is_cancelled)
    return job->n_maybe_on_machines == 0
           && (mm_job_has_cancelled_dependency(job)
               || mm_scheduler_knows_all_starts(scheduler, job));
  return job->spec.kind != MM_JOB_KIND_SERVICE && job->completed.n_completed == job->spec.n_tasks;
}

/* Returns the text of the completed tasks, cut to the longest text that fits into the record
 * together with the other fields. Free with g_free. */
static char *
completed_tasks_text(const MmScheduler *scheduler, const MmJob *job) {
  g_autoptr(MmJson) bare_record
      = mm_job_record_to_json(&job->spec, job->submitted_at_ms, FALSE, NULL);
  gsize record_bytes = mm_json_text_length(bare_record) + RECORD_MARGIN_BYTES;
  gsize max_bytes = mm_kv_client_max_value_bytes(scheduler->node->kv);

  return mm_completed_tasks_to_text(&job->completed,
                                    max_bytes > record_bytes ? max_bytes - record_bytes : 0);
}

static void
add_to_write(MmScheduler *scheduler, MmTransaction *transaction, JobWrite *write, MmLedShard *shard,
             MmJob *job, gboolean is_terminal) {
  WrittenJob written_job = { .id = job->spec.id };

  mm_transaction_require_version(transaction, MM_KEY_JOB, job->spec.id.s, job->record_version);
  mm_transaction_require_version(transaction, MM_KEY_SHARD, shard->name, shard->version);
  if (is_terminal) {
    mm_info("job %s ended class=%s tasks=%u run_estimate_s=%.0f state=%s after_s=%.1f "
            "deadline_s=%.0f observed_run_s=%.0f",
            job->spec.id.s, job->spec.job_class.s, job->spec.n_tasks, job->spec.run_estimate_s,
            job->is_cancelled ? WIRE_CANCELLED : WIRE_DONE,
            mm_job_waiting_time_s(job, mm_node_wall_ms(scheduler->node)), job->spec.deadline_s,
            job->n_observed_runs > 0 ? job->observed_run_s_sum / job->n_observed_runs : 0);
    written_job.terminal_record = mm_terminal_record_to_json(&(MmTerminalState){
        job->is_cancelled, job->completed.n_completed, mm_node_wall_ms(scheduler->node) });
    mm_transaction_put(transaction, MM_KEY_TERMINAL_RECORD, job->spec.id.s,
                       mm_json_ref(written_job.terminal_record), 0);
    mm_transaction_delete(transaction, MM_KEY_JOB, job->spec.id.s);
  } else {
    written_job.completed_text = completed_tasks_text(scheduler, job);
    mm_transaction_put(transaction, MM_KEY_JOB, job->spec.id.s,
                       mm_job_record_to_json(&job->spec, job->submitted_at_ms, job->is_cancelled,
                                             written_job.completed_text),
                       0);
  }
  job->is_being_written = TRUE;
  job->unwritten_since.us = 0;
  job->last_write_at = mm_node_now(scheduler->node);
  g_array_append_val(write->jobs, written_job);
}

/* Returns whether the job's record must be written now. A write that can be delayed is due only
 * when the write budget allows the write. In this case, the write is deducted from the budget. */
static gboolean
is_write_due(const MmScheduler *scheduler, const MmJob *job, gboolean is_terminal) {
  MmKvClient *kv = scheduler->node->kv;
  MmTime now = mm_node_now(scheduler->node);

  if (is_terminal) {
    /* Jobs that depend on a cancelled job are reported as cancelled even without a terminal record.
     * There may be thousands of such jobs. Their records therefore wait for the write budget. */
    if (mm_job_has_cancelled_dependency(job)
        && !mm_kv_client_try_spend_writes(kv, OPERATIONS_PER_JOB))
      return FALSE;
    return mm_time_ms_since(now, job->last_write_at) > TERMINAL_WRITE_INTERVAL_MS;
  }
  return !job->is_cancelled && job->unwritten_since.us != 0
         && mm_time_ms_since(now, job->unwritten_since) >= JOB_WRITE_DELAY_MS
         && mm_time_ms_since(now, job->last_write_at) >= JOB_WRITE_INTERVAL_MS
         && mm_kv_client_try_spend_writes(kv, 1);
}

/* Returns whether no further job may be added to the transaction. */
static gboolean
is_full(const MmScheduler *scheduler, const MmTransaction *transaction) {
  guint max_operations = mm_kv_client_max_operations(scheduler->node->kv);
  guint max_conditions = CONDITIONS_PER_OPERATION * max_operations;

  return transaction->n_operations + OPERATIONS_PER_JOB > max_operations
         || mm_json_array_size(transaction->conditions) + CONDITIONS_PER_JOB > max_conditions
         || (scheduler->single_job_writes > 0 && transaction->n_operations > 0);
}

/* Returns whether the job may have something to write. Looks at few fields only, because it is
 * asked for each job in each tick. */
static gboolean
may_need_write(const MmJob *job) {
  return job->tasks != NULL && !job->is_being_written
         && (job->unwritten_since.us != 0 || job->is_cancelled
             || job->completed.n_completed == job->completed.n_tasks);
}

static void
add_due_writes(MmScheduler *scheduler, MmTransaction *transaction, JobWrite *write) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;

  for (guint i = 0; i < by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(by_submission, i);
    gboolean is_terminal;

    if (!may_need_write(job))
      continue;
    is_terminal = needs_terminal_record(scheduler, job);
    if (is_full(scheduler, transaction))
      break;
    if (is_write_due(scheduler, job, is_terminal))
      add_to_write(scheduler, transaction, write, job->led_shard, job, is_terminal);
  }
}

void
mm_scheduler_write_jobs(MmScheduler *scheduler) {
  MmKvClient *kv = scheduler->node->kv;
  MmTransaction transaction;
  g_autoptr(JobWrite) write = NULL;

  if (scheduler->is_writing || mm_kv_client_is_refused(kv))
    return;
  transaction = mm_transaction_begin();
  write = job_write_new(scheduler);
  add_due_writes(scheduler, &transaction, write);
  if (transaction.n_operations > 0) {
    scheduler->is_writing = TRUE;
    scheduler->single_job_writes -= scheduler->single_job_writes > 0;
    mm_kv_client_commit(kv, &transaction, jobs_written, g_steal_pointer(&write));
    return;
  }
  mm_json_unref(transaction.conditions);
  mm_json_unref(transaction.operations);
}
