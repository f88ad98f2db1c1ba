/* An unfinished job and its tasks, in memory.
 *
 * The job table owns every MmJob; all other modules are lent them. The fields stand in groups, each
 * with the module that writes it. A node that does not lead the shard of the job's team has no
 * tasks for it: `led_shard` and `tasks` are NULL there. */
#pragma once

#include "jobs/completed-tasks.h"
#include "jobs/job-spec.h"

typedef struct MmLedShard MmLedShard;
typedef struct MmMachine MmMachine;
typedef struct MmVertex MmVertex;

/* Where a task may be. Only the shard leader of its team knows. */
typedef enum {
  MM_TASK_PENDING,          /* on no machine, and no start can be under way */
  MM_TASK_PLACE_RESERVED,   /* gang: a place is chosen, the start is not sent yet */
  MM_TASK_START_SENT,       /* a start may be under way */
  MM_TASK_FETCHING,         /* its machine fetches the image */
  MM_TASK_WAITING_FOR_GANG, /* ready to run; other tasks of its gang are not */
  MM_TASK_RUNNING,
  MM_TASK_SAVING, /* saves a checkpoint before it stops */
  MM_TASK_DONE
} MmTaskState;

/* A task as its shard leader knows it. Written by src/scheduler alone. */
typedef struct {
  /* scheduler.c: the state, and the place where the task is or may be */
  guint8 state; /* MmTaskState */
  MmMachine *machine;
  MmAttempt attempt;
  MmHeartbeatId start_heartbeat_id; /* the heartbeat whose response carries the start */
  MmTime state_since;               /* for pending tasks: since when it waits */

  /* heartbeats.c: errors */
  guint8 n_errors;
  MmTime retry_not_before;
  MmName last_failed_on; /* the machine that reported its last error */

  /* preemption.c */
  MmTime preempting_until; /* until then resources are being freed for it, */
  MmName preempting_on;    /* on this machine */

  /* stop-commands.c */
  gboolean is_stopping; /* a stop was sent, or announced by the machine's termination notice */
  MmTime stop_sent_at;  /* the latest one */
} MmTask;

/* Where one more task of the job could run, as of the latest machine scan. Kept for a while: a scan
 * of all machines for each request would take most of a shard leader's time once hundreds of tasks
 * are pending. */
typedef struct {
  MmTime estimated_at;
  MmName soonest_machine;      /* the machine that would run it soonest */
  double soonest_delay_s;      /* below 0: none would */
  double next_soonest_delay_s; /* any other machine */
  guint fewest_colocated_tasks;
} MmPlacementEstimate;

/* When this many machines have failed a job and none has run it, the job itself is suspect. */
#define MM_JOB_MAX_FAILED_MACHINES 2

typedef struct {
  /* job-table.c: the record in the key-value store */
  MmJobSpec spec;
  gint64 submitted_at_ms;              /* time of day */
  MmKeyVersion record_version;         /* job-writer.c too, after its own write */
  MmCompletedTasks recorded_completed; /* as in the record */
  char *shard;                         /* the shard of its team */
  gint team_index;                     /* among the settings' teams; below 0: none of them */

  /* dependencies.c */
  MmVertex *vertex; /* NULL: it depends on nothing and no unfinished job depends on it */

  /* stop-commands.c: the cancellation, but for the fields that name another writer */
  gboolean is_cancelled;
  gint64 kv_served_us_at_cancel;      /* MmKvClient.available_us when is_cancelled was set */
  MmKeyVersion cancel_record_version; /* job-table.c: of the record that says so; 0: none seen */
  guint64 cancel_acked_by_peers;      /* job-cancellation.c: a bit for each peer */

  /* scheduler.c: the shard leader's view */
  MmLedShard *led_shard; /* NULL: this node does not lead the shard */
  MmTask *tasks;         /* spec.n_tasks of them; NULL likewise */
  guint n_pending;
  guint n_maybe_on_machines;        /* tasks that are or may be on a machine */
  guint first_pending;              /* no pending task has a lower number */
  gboolean submitted_after_acquire; /* submitted since this node acquired the shard */
  gint64 waiting_since_ms; /* time of day: submitted, or its last dependency done (first set by
                              job-table.c) */

  /* heartbeats.c: what the workers reported */
  MmCompletedTasks completed; /* set up by scheduler.c, with the recorded ones */
  guint n_consecutive_errors; /* without a success between them: the job itself may be broken */
  MmTime paused_until;
  double observed_run_s_sum; /* sum of the run times of n_observed_runs tasks */
  guint n_observed_runs;

  /* job-writer.c */
  gboolean is_being_written;
  MmTime last_write_at;
  MmTime unwritten_since; /* since when `completed` holds more than `recorded_completed` */

  /* machine-health.c, through mm_job_add_failed_machine */
  MmName failed_machines[MM_JOB_MAX_FAILED_MACHINES]; /* distinct machines that reported an error */
  guint n_failed_machines;
  gboolean has_succeeded; /* at least one of its tasks was done */

  /* quota.c */
  gboolean is_within_quota;      /* fits the team's quota along with the team's older jobs */
  gboolean has_quota_precedence; /* likewise, where no objective gives quotas a time */

  /* urgency.c */
  MmPriority inherited_priority; /* the highest of its own and of the jobs that depend on it */
  MmPriority
      effective_priority;     /* the one that counts: the inherited one, no more than normal
                                 while that job's deadline is far off (first set by job-table.c) */
  gint64 due_at_ms;           /* time of day by which to act for its next objective */
  gint64 inherited_due_at_ms; /* the earliest of its own deadline and of its dependents' */
  gboolean is_starving; /* waits longer than starve_s with no task begun; scheduler.c, and where
                           another node leads the shard placement.c, from that node's broadcast */

  /* admission.c */
  MmPlacementEstimate placement_estimate;
} MmJob;

/* Whether its tasks run all at the same time or not at all. A gang of one task is an ordinary job.
 */
static inline gboolean
mm_job_is_gang(const MmJob *job) {
  return job->spec.kind == MM_JOB_KIND_GANG && job->spec.n_tasks > 1;
}

void mm_job_free(MmJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmJob, mm_job_free)

/* Records that a task of the job ended with an error on the machine. */
void mm_job_add_failed_machine(MmJob *job, const MmName *machine);
/* Whether the job has failed on MM_JOB_MAX_FAILED_MACHINES machines and succeeded on none. */
gboolean mm_job_fails_everywhere(const MmJob *job);
/* How long the job has waited for its first task at this time of day, in seconds, never below 0. */
double mm_job_waiting_time_s(const MmJob *job, gint64 wall_ms);
