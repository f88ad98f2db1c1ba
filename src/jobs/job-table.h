/* Job records: the unfinished jobs as the state service holds them, and the final states of those
 * that are over. */
#pragma once

#include "jobs/doneset.h"
#include "jobs/spec.h"
#include "node/node.h"

typedef struct MmMachine MmMachine;
typedef struct MmLedShard MmLedShard;
typedef struct MmVertex MmVertex;

/* Where a task may be. Only the owner of its team knows. */
typedef enum {
  MM_TASK_IDLE,     /* on no machine, and no start can be under way */
  MM_TASK_RESERVED, /* gang: a place is chosen, the start not given out yet */
  MM_TASK_ISSUED,   /* a start may be under way */
  MM_TASK_FETCHING,
  MM_TASK_WAITING, /* for its gang */
  MM_TASK_RUNNING,
  MM_TASK_SAVING,
  MM_TASK_DONE
} MmTaskState;

typedef struct {
  guint8 state;
  guint8 errors;
  gboolean stopping; /* we told it to stop */
  MmMachine *machine;
  MmAttempt attempt;
  MmHeartbeatId issued; /* the report whose answer carries the start */
  MmTime since;         /* when the state began; for idle tasks, when the wait began */
  MmTime not_before;    /* retry pause */
  MmTime claimed;       /* until when room is being cleared for it, */
  MmName claimed_on;    /* and where */
  MmTime told;          /* when it was last told to stop */
  MmName avoid;         /* the machine that failed it last */
} MmTask;

/* Where one more task of the job could run, as last looked at: looking at all machines for each
 * question took most of an owner's time once hundreds of tasks had lost theirs. */
typedef struct {
  MmTime at;
  MmName best;   /* the machine that would run it soonest */
  double best_s; /* below 0: none would */
  double next_s; /* any other machine */
  guint least_crowd;
} MmOutlook;

/* So many machines failing a job, and none succeeding, make the job itself the suspect. */
#define MM_FAILED_ON_MOST 2

typedef struct {
  MmSpec spec;
  gint64 submitted_ms;  /* time of day */
  gint64 waits_from_ms; /* time of day: submitted, or the last job that it depends on was done */
  gboolean cancelled;
  MmVertex *vertex; /* in the dependency graph; NULL: it depends on nothing and is needed by none */
  MmPriority priority; /* its own, or that of a job that depends on it where this is higher */
  guint64 cancel_acks; /* the peers that have taken note of that, a bit each */
  MmKeyVersion cancel_version; /* of the record that showed it; 0 while it is known by word only */
  gint64 cancel_served_us; /* the state service's time of service, see mm_kv_client_tick, when it
                              was */
  MmKeyVersion version;
  char *part;
  MmDoneSet recorded; /* what the state service holds */

  /* The owner's view; NULL where the part is not held here. */
  MmLedShard *held;
  MmTask *tasks;
  MmDoneSet done;
  guint idle;       /* tasks in MM_TASK_IDLE */
  guint live;       /* tasks that are or may be on a machine */
  guint first_idle; /* no idle task has a lower number */
  gboolean writing;
  MmTime wrote;
  MmTime dirty;
  MmName failed_on[MM_FAILED_ON_MOST]; /* different machines that reported an error of it */
  guint n_failed_on;
  gboolean succeeded; /* some task of it was seen to be done */
  guint failed_tasks; /* errors in a row without a success: the job itself may be broken */
  MmTime paused_until;
  gint team;         /* index among the settings' teams; -1: none of them */
  gboolean within;   /* fits its team's guarantee together with the team's older unfinished jobs */
  gboolean favoured; /* the same, where no aim of the settings gives guarantees a time */
  gboolean aged;     /* waited past all patience with nothing begun */
  gint64 due_ms; /* time of day by which to act for its next aim, see mm_scheduler_update_urgency */
  MmPriority inherited_priority; /* the highest of its own and of the jobs that depend on it */
  gint64 inherited_due_ms;       /* the same, for the deadlines of jobs that depend on it */
  MmOutlook outlook;
  double seen_s; /* sum of the run times seen, and how many */
  guint seen_n;
  gboolean known_after_claim; /* submitted after the part was taken */
} MmJob;

/* How a job ended. */
typedef struct {
  gboolean cancelled;
  guint done;     /* how many of its tasks were */
  gint64 done_ms; /* time of day; 0: written by a version that did not say */
} MmFinalState;

struct MmJobTable {
  MmNode *node;
  GHashTable *jobs;   /* id -> MmJob */
  GPtrArray *order;   /* MmJob, oldest submission first */
  guint64 generation; /* rises when a job comes or goes */
  GHashTable *finals; /* id -> MmFinalState; bounded */
  GQueue *final_order;
  GHashTable *ended; /* ids whose records went away here: final, state not read yet; bounded */
  GQueue *ended_order;
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
void mm_job_table_keep_final(MmJobTable *job_table, const char *id, const json_t *json);
gboolean mm_job_table_final_state(const MmJobTable *job_table, const char *id,
                                  MmFinalState *terminal);
/* The final answer for the user, or NULL. */
json_t *mm_job_table_final(const MmJobTable *job_table, const char *id);

json_t *mm_job_record(const MmSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                      const char *completed_text);
json_t *mm_final_record(const MmFinalState *terminal);
gboolean mm_final_parse(const json_t *json, MmFinalState *terminal);
/* A task of the job ended with an error on the machine. */
void mm_job_note_failure(MmJob *job, const MmName *machine);
/* It has failed on several machines and succeeded on none. */
gboolean mm_job_fails_everywhere(const MmJob *job);
double mm_job_waited_s(const MmNode *node, const MmJob *job);
