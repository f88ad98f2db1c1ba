/* The scheduler: places, starts and stops the tasks of the teams whose shards this node leads.
 *
 * The unfinished jobs of a team form one shard. The leader of a shard learns from the machines'
 * heartbeats which tasks are on which machines. A machine counts as acknowledged for a shard once
 * one of its heartbeats or direct replies shows the shard's term. This message settles every start
 * that was sent under an older term: either the message reports the start, or the machine will
 * refuse the start. The scheduler does not start a task that an unacknowledged machine might
 * already have.
 *
 * The scheduler owns MmScheduler, MmLedShard and the tasks of MmJob. In MmMachine, it owns the
 * placed tasks, the retained candidates and the reserved resources. Only this folder modifies them.
 * State that must survive the process is stored in the job records (job-writer.h). All other state
 * is in memory and is rebuilt after a failover.
 *
 * This header declares the types of the scheduler and the functions that create, run and free it.
 * Each other header of this folder declares one module. All modules run on the node's main loop,
 * and none blocks. */
#pragma once

#include "jobs/job-table.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* The properties of a machine that job constraints refer to. An empty type stands for a machine
 * whose properties are not known. */
typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
} MmMachineKind;

/* The shard of a team, while this node leads it. */
struct MmLedShard {
  char *name;
  MmTerm term;          /* assigned when this node acquired the shard */
  MmKeyVersion version; /* of the shard's record; every write of a job is conditional on it */
  MmTime acquired_at;
  const MmTeamSettings *team;
  MmResources used; /* sum over the tasks that are or may be on machines */
  /* The job for which a part of the team's limit is reserved, borrowed; NULL: no job. It is the
   * most urgent job with pending tasks that is starving or whose own priority is at least
   * MM_PRIORITY_URGENT. */
  const MmJob *limit_reserved_for;
  MmResources reserved_of_limit; /* the part of the team's limit that is reserved for that job */
  /* Derived from `unacknowledged_machines` by mm_scheduler_update_unacknowledged: */
  MmResources unacknowledged_resources; /* total resources of the machines whose type is known */
  /* The type of at least one of these machines is unknown. The total resources then have no known
   * upper bound. */
  gboolean has_unacknowledged_of_unknown_type;
  gboolean unacknowledged_changed; /* the derived fields are out of date */
  GArray *unacknowledged_kinds;    /* MmMachineKind, without duplicates */
  /* Maps the id of a machine to its incarnation that was registered when the shard was acquired,
   * stored with GSIZE_TO_POINTER. Each of these machines may have tasks that this node does not
   * know of. */
  GHashTable *unacknowledged_machines;
  gboolean is_ready; /* set once no machine is unacknowledged */
};

/* Decayed sums of the actual and the estimated run times of the completed tasks of a job class, in
 * seconds. Their ratio corrects the users' estimates. */
typedef struct {
  double actual_s;
  double estimated_s;
} MmEstimateError;

struct MmScheduler {
  MmNode *node;
  GHashTable *led_shards;      /* shard name -> MmLedShard */
  GHashTable *estimate_errors; /* job class -> MmEstimateError */
  guint64 attempt_sequence;    /* number of the latest attempt, see mm_scheduler_next_attempt */
  gboolean is_writing;         /* a transaction of job-writer.c is in flight */
  guint single_job_writes;     /* how many of the next transactions must carry only one job each */
  GPtrArray *jobs_by_urgency;  /* MmJob of the led shards except gangs, most urgent first */
  gboolean is_urgency_order_stale;
  MmResources *team_used; /* by team index: used on all machines, as of the latest quota update */
  MmTime next_quota_update_at;
  /* The gang for whose benefit less urgent jobs with accelerators start no tasks; NULL: no gang. */
  const MmJob *yield_to_gang;
  guint64 n_machines_scanned; /* machines examined by all scans since the process started */
  guint machine_scans_left;   /* scans left for placement estimates until the next slow tick */
  guint next_preemption_job; /* index in `jobs_by_urgency` where the next preemption round starts */
  MmTime next_slow_tick_at;
  MmTime next_urgency_update_at;
  MmTime next_history_check_at; /* task-history.c */
  gint64 task_history_ms; /* task-history.c: how long the history of pending tasks is kept; 0: not
                             set yet */
  MmTime next_replica_move_at;
};

static inline gint64
mm_scheduler_heartbeat_interval_ms(const MmScheduler *scheduler) {
  return (gint64)(scheduler->node->settings->heartbeat_interval_s * 1000);
}

/* Returns a new scheduler. Free it with mm_scheduler_free. The node must outlive the scheduler. */
MmScheduler *mm_scheduler_new(MmNode *node);
/* Frees the scheduler. Must be called only when no response callback of the scheduler's requests
 * can be invoked any more. */
void mm_scheduler_free(MmScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmScheduler, mm_scheduler_free)
/* Writes the job records whose changes are due to be written. In each slow tick, every 100 ms, also
 * updates urgency and quotas, requests acknowledgements, resends stops, plans gangs and preempts.
 * Does nothing while the node's lease is not valid. */
void mm_scheduler_tick(MmScheduler *scheduler);
