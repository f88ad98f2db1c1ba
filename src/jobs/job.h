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
typedef struct MmNode MmNode;
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
  guint8 state;
  guint8 n_errors;
  gboolean is_stopping; /* we told it to stop */
  MmMachine *machine;
  MmAttempt attempt;
  MmHeartbeatId start_heartbeat_id; /* the report whose answer carries the start */
  MmTime state_since;               /* when the state began; for idle tasks, when the wait began */
  MmTime retry_not_before;          /* retry pause */
  MmTime preempting_until;          /* until when room is being cleared for it, */
  MmName preempting_on;             /* and where */
  MmTime stop_sent_at;              /* when it was last told to stop */
  MmName last_failed_on;            /* the machine that failed it last */
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
  MmJobSpec spec;
  gint64 submitted_at_ms;  /* time of day */
  gint64 waiting_since_ms; /* time of day: submitted, or the last job that it depends on was done */
  gboolean is_cancelled;
  MmVertex *vertex; /* in the dependency graph; NULL: it depends on nothing and is needed by none */
  MmPriority
      effective_priority; /* its own, or that of a job that depends on it where this is higher */
  guint64 cancel_acked_by_peers; /* the peers that have taken note of that, a bit each */
  MmKeyVersion
      cancel_record_version; /* of the record that showed it; 0 while it is known by word only */
  gint64 kv_served_us_at_cancel; /* the state service's time of service, see mm_kv_client_tick, when
                              it was */
  MmKeyVersion record_version;
  char *shard;
  MmCompletedTasks recorded_completed; /* what the state service holds */

  /* The owner's view; NULL where the part is not held here. */
  MmLedShard *led_shard;
  MmTask *tasks;
  MmCompletedTasks completed;
  guint n_pending;           /* tasks in MM_TASK_PENDING */
  guint n_maybe_on_machines; /* tasks that are or may be on a machine */
  guint first_pending;       /* no idle task has a lower number */
  gboolean is_being_written;
  MmTime last_write_at;
  MmTime unwritten_since;
  MmName failed_machines[MM_JOB_MAX_FAILED_MACHINES]; /* different machines that reported an error
                                                         of it */
  guint n_failed_machines;
  gboolean has_succeeded;     /* some task of it was seen to be done */
  guint n_consecutive_errors; /* errors in a row without a success: the job itself may be broken */
  MmTime paused_until;
  gint team_index;          /* index among the settings' teams; -1: none of them */
  gboolean is_within_quota; /* fits its team's guarantee together with the team's older unfinished
                               jobs */
  gboolean
      has_quota_precedence; /* the same, where no aim of the settings gives guarantees a time */
  gboolean is_starving;     /* waited past all patience with nothing begun */
  gint64
      due_at_ms; /* time of day by which to act for its next aim, see mm_scheduler_update_urgency */
  MmPriority inherited_priority; /* the highest of its own and of the jobs that depend on it */
  gint64 inherited_due_at_ms;    /* the same, for the deadlines of jobs that depend on it */
  MmPlacementEstimate placement_estimate;
  double observed_run_s_sum; /* sum of the run times seen, and how many */
  guint n_observed_runs;
  gboolean submitted_after_acquire; /* submitted after the part was taken */
} MmJob;

void mm_job_free(MmJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmJob, mm_job_free)

/* Records that a task of the job ended with an error on the machine. */
void mm_job_add_failed_machine(MmJob *job, const MmName *machine);
/* Whether the job has failed on MM_JOB_MAX_FAILED_MACHINES machines and succeeded on none. */
gboolean mm_job_fails_everywhere(const MmJob *job);
/* How long the job has waited for its first task, in seconds, never below 0. */
double mm_job_waiting_time_s(const MmNode *node, const MmJob *job);
