/* In-memory state of an unfinished job and its tasks.
 *
 * The job table owns every MmJob; other modules borrow them. The fields are grouped by the source
 * file that writes them. On a node that does not lead the shard of the job's team there is no task
 * state: `led_shard` and `tasks` are NULL. */
#pragma once

#include "jobs/completed-tasks.h"
#include "jobs/job-spec.h"
#include "jobs/task-table.h"

typedef struct MmLedShard MmLedShard;
typedef struct MmVertex MmVertex;

/* Estimate of where one more task of the job could run, from the latest scan of all machines. It is
 * cached for a short time: scanning all machines for each request would take most of a shard
 * leader's time once hundreds of tasks are pending. */
typedef struct {
  MmTime estimated_at;
  MmName soonest_machine; /* the machine on which the task could start soonest */
  /* Delay until the task could start on soonest_machine; below 0: no machine can run the task. */
  double soonest_delay_s;
  double next_soonest_delay_s;  /* the lowest delay on any other machine; below 0: none */
  guint fewest_colocated_tasks; /* services: lowest mm_scheduler_count_colocated_tasks of any
                                   suitable machine */
} MmPlacementEstimate;

/* If this many machines have reported an error of the job, and no machine has reported a success,
 * the job itself is probably faulty. */
#define MM_JOB_MAX_FAILED_MACHINES 2

typedef struct {
  /* job-table.c: the job record in the key-value store */
  MmJobSpec spec;
  gint64 submitted_at_ms;              /* time of day */
  MmKeyVersion record_version;         /* also set by job-writer.c after its own writes */
  MmCompletedTasks recorded_completed; /* as in the job record */
  char *shard;                         /* the shard of its team */
  gint team_index; /* index into the teams of the settings; below 0: unknown team */

  /* dependencies.c */
  MmVertex *vertex; /* NULL: the job has no dependencies and no unfinished job depends on it */

  /* stop-commands.c, except where another file is named: the cancellation */
  gboolean is_cancelled;
  gint64 kv_available_us_at_cancel;   /* MmKvClient.available_us when is_cancelled was set */
  MmKeyVersion cancel_record_version; /* job-table.c: version of the first job record that contains
                                         the cancellation; 0: none seen */
  guint64 cancel_acked_by_peers;      /* job-cancellation.c: bit mask of the peers, by index */

  /* led-shards.c and task-state.c: state that only the shard leader has */
  MmLedShard *led_shard; /* NULL: this node does not lead the shard */
  MmTaskTable *tasks;    /* NULL if led_shard is NULL */
  guint n_pending;
  guint n_maybe_on_machines;        /* number of tasks that are or may be on a machine */
  guint first_pending;              /* no pending task has a lower number */
  gboolean submitted_after_acquire; /* submitted since this node acquired the shard */
  gint64 waiting_since_ms; /* time of day of the submission or, if later, time of day at which the
                              last dependency was done (initialized by job-table.c) */

  /* heartbeats.c: reports of the workers */
  MmCompletedTasks completed; /* initialized by led-shards.c from recorded_completed */
  guint n_consecutive_errors; /* errors since the last success; many errors suggest a faulty job */
  MmTime paused_until;
  double observed_run_s_sum; /* total run time of n_observed_runs tasks */
  guint n_observed_runs;

  /* job-writer.c */
  gboolean is_being_written;
  MmTime last_write_at;
  MmTime unwritten_since; /* since when `completed` has had tasks that `recorded_completed` lacks */

  /* machine-health.c, through mm_job_add_failed_machine */
  MmName failed_machines[MM_JOB_MAX_FAILED_MACHINES]; /* distinct machines that reported an error */
  guint n_failed_machines;
  gboolean has_succeeded; /* at least one task of the job was done */

  /* quota.c */
  gboolean is_within_quota; /* the job and the team's older jobs together fit the team's quota */
  gboolean has_quota_precedence; /* is_within_quota, and no objective in the settings covers jobs
                                    within quota */

  /* urgency.c */
  MmPriority inherited_priority; /* the highest priority among the job and its dependents */
  MmPriority effective_priority; /* the priority used for scheduling: inherited_priority, but at
                                    most normal while the inherited deadline is far off; never below
                                    the job's own priority (initialized by job-table.c) */
  gint64 due_at_ms; /* time of day by which the job must get machines to meet its next objective */
  gint64 inherited_due_at_ms; /* time of day by which the job must get machines so that its
                                 dependents can meet the earliest of their deadlines */
  gboolean is_starving; /* the job has waited longer than starve_s, and no task of the job is done
                           or may be on a machine; set by scheduler.c or, if another node leads the
                           shard, by backlog.c from that node's broadcast */

  /* placement-estimate.c */
  MmPlacementEstimate placement_estimate;
} MmJob;

/* Returns whether the tasks of the job must run all at the same time or not at all. A gang of one
 * task is treated as an ordinary job. */
static inline gboolean
mm_job_is_gang(const MmJob *job) {
  return job->spec.kind == MM_JOB_KIND_GANG && job->spec.n_tasks > 1;
}

/* For the job table only. */
void mm_job_free(MmJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmJob, mm_job_free)

/* Returns the memory of the job, in bytes, without its tasks. */
gsize mm_job_spec_memory_bytes(const MmJob *job);
/* Returns the memory of the job's task states and of its sets of completed tasks, in bytes. */
gsize mm_job_tasks_memory_bytes(const MmJob *job);

/* Returns the task, which the job must have. This node must lead the job's shard. The result is
 * valid until the entry of the task is removed, and must not be changed; for tasks without an entry
 * it is shared. */
const MmTask *mm_job_task(const MmJob *job, guint number);
/* Returns the entry of the task, for changes. Adds the entry if the task has none. */
MmTask *mm_job_edit_task(MmJob *job, guint number);

/* Pending tasks with consecutive numbers that are all in the same state. */
typedef struct {
  guint first;
  guint length;
  const MmTask *task; /* any of the tasks; its field `number` is not set if length is above 1 */
} MmPendingRun;

/* Finds the first pending tasks from the number `from` on. Returns FALSE if there is none. */
gboolean mm_job_next_pending_run(const MmJob *job, guint from, MmPendingRun *run);
/* Removes the entries of pending tasks that have waited since before `waiting_since` and whose
 * pauses are over by `paused_until`. Such a task then counts as having waited as long as the job's
 * other tasks, and as never having failed. Returns how many pending tasks still have an entry. */
guint mm_job_forget_task_history(MmJob *job, MmTime waiting_since, MmTime paused_until);

/* Records that a task of the job ended with an error on the machine. */
void mm_job_add_failed_machine(MmJob *job, const MmName *machine);
/* Returns whether MM_JOB_MAX_FAILED_MACHINES machines have reported an error of the job and no task
 * of the job has been done. */
gboolean mm_job_is_faulty(const MmJob *job);
/* Returns how long the job has waited since waiting_since_ms, in seconds, at the time of day
 * `wall_ms`; never below 0. */
double mm_job_waiting_time_s(const MmJob *job, gint64 wall_ms);
