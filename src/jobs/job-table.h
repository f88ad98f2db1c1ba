/* Job records: the unfinished jobs as the state service holds them, and the final states of those
 * that are over. */
#pragma once

#include "jobs/completed-tasks.h"
#include "jobs/job-spec.h"
#include "node/node.h"

typedef struct MmMachine MmMachine;
typedef struct MmLedShard MmLedShard;
typedef struct MmVertex MmVertex;

/* Where a task may be. Only the owner of its team knows. */
typedef enum {
  MM_TASK_PENDING,        /* on no machine, and no start can be under way */
  MM_TASK_PLACE_RESERVED, /* gang: a place is chosen, the start not given out yet */
  MM_TASK_START_SENT,     /* a start may be under way */
  MM_TASK_FETCHING,
  MM_TASK_WAITING_FOR_GANG, /* for its gang */
  MM_TASK_RUNNING,
  MM_TASK_SAVING,
  MM_TASK_DONE
} MmTaskState;

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

/* Where one more task of the job could run, as last looked at: looking at all machines for each
 * question took most of an owner's time once hundreds of tasks had lost theirs. */
typedef struct {
  MmTime estimated_at;
  MmName soonest_machine;      /* the machine that would run it soonest */
  double soonest_delay_s;      /* below 0: none would */
  double next_soonest_delay_s; /* any other machine */
  guint fewest_colocated_tasks;
} MmPlacementEstimate;

/* So many machines failing a job, and none succeeding, make the job itself the suspect. */
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

/* How a job ended. */
typedef struct {
  gboolean is_cancelled;
  guint n_completed;      /* how many of its tasks were */
  gint64 completed_at_ms; /* time of day; 0: written by a version that did not say */
} MmTerminalState;

struct MmJobTable {
  MmNode *node;
  GHashTable *jobs;            /* id -> MmJob */
  GPtrArray *by_submission;    /* MmJob, oldest submission first */
  guint64 generation;          /* rises when a job comes or goes */
  GHashTable *terminal_states; /* id -> MmTerminalState; bounded */
  GQueue *terminal_states_order;
  GHashTable
      *removed_ids; /* ids whose records went away here: final, state not read yet; bounded */
  GQueue *removed_ids_order;
};

MmJobTable *mm_job_table_new(MmNode *node);
void mm_job_table_free(MmJobTable *job_table);

MmJob *mm_job_table_find(const MmJobTable *job_table, const char *id);
void mm_job_table_put(MmJobTable *job_table, const char *id, const json_t *json,
                      MmKeyVersion version);
void mm_job_table_remove(MmJobTable *job_table, const char *id);
void mm_job_table_list_keys(const MmJobTable *job_table, const char *prefix, GPtrArray *keys);

/* Known to be over: its record is gone, or its final state is known. */
gboolean mm_job_table_is_over(const MmJobTable *job_table, const char *id);
/* Takes note of a final record that is in the state service; what is no such record is ignored. */
void mm_job_table_add_terminal_record(MmJobTable *job_table, const char *id, const json_t *json);
gboolean mm_job_table_get_terminal_state(const MmJobTable *job_table, const char *id,
                                         MmTerminalState *terminal);
/* The final answer for the user, or NULL. */
json_t *mm_job_table_terminal_response(const MmJobTable *job_table, const char *id);

json_t *mm_job_record_to_json(const MmJobSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                              const char *completed_text);
json_t *mm_terminal_record_to_json(const MmTerminalState *terminal);
gboolean mm_terminal_record_parse(const json_t *json, MmTerminalState *terminal);
/* A task of the job ended with an error on the machine. */
void mm_job_add_failed_machine(MmJob *job, const MmName *machine);
/* It has failed on several machines and succeeded on none. */
gboolean mm_job_fails_everywhere(const MmJob *job);
double mm_job_waiting_time_s(const MmNode *node, const MmJob *job);
