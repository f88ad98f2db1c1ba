/* The scheduler: places, starts and stops the tasks of the teams whose shards this node leads.
 *
 * A team's unfinished jobs are one shard. The leader of a shard rebuilds its view of where tasks
 * are from the machines' heartbeats. A machine is acknowledged for a shard once a heartbeat or
 * direct reply of it shows the shard's term: every start sent under an older term has then either
 * shown in that heartbeat or will be refused by the machine. No task is started that an
 * unacknowledged machine might have.
 *
 * The scheduler owns MmScheduler, MmLedShard, the tasks of MmJob and, of MmMachine, the placed
 * tasks, the kept list and the reserved resources. Only this folder writes them. What must survive
 * the process is in the job records (job-writer.h); the rest is in memory and rebuilt after a
 * failover.
 *
 * This header has the types and the life of the scheduler; each other header of the folder has one
 * module. All of them run on the node's main loop and none blocks. */
#pragma once

#include "jobs/job-table.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* What the constraints of a job look at in a machine. An empty type stands for an unknown machine.
 */
typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
} MmMachineKind;

/* A team's shard while this node leads it. */
struct MmLedShard {
  char *name;
  MmTerm term;          /* of the acquisition */
  MmKeyVersion version; /* of the shard's record; each write of a job requires it */
  MmTime acquired_at;
  const MmTeamSettings *team;
  MmResources used;                /* by tasks that are or may be on machines */
  const MmJob *quota_reserved_for; /* the most urgent job in a hurry that has pending tasks, */
  MmResources reserved_quota;      /* and how much of the team's limit is kept for it */
  /* Derived from `unacknowledged_machines` by mm_scheduler_update_unacknowledged: */
  MmResources unacknowledged_resources;        /* all resources of these machines */
  gboolean has_unacknowledged_of_unknown_type; /* so their resources have no known bound */
  gboolean unacknowledged_changed;             /* the derived fields are stale */
  GArray *unacknowledged_kinds;                /* MmMachineKind, each once */
  GHashTable
      *unacknowledged_machines; /* machine id -> incarnation registered at the acquisition, by
                                   GSIZE_TO_POINTER; these may have tasks not known of here */
  gboolean is_ready;            /* no machine is unacknowledged any more */
};

/* Decayed sums over the ended tasks of a job class. Their ratio corrects the users' estimates. */
typedef struct {
  double actual_s;
  double estimated_s;
} MmEstimateError;

struct MmScheduler {
  MmNode *node;
  GHashTable *led_shards;      /* shard name -> MmLedShard */
  GHashTable *estimate_errors; /* job class -> MmEstimateError */
  guint64 attempt_sequence;    /* of the latest attempt, see mm_scheduler_next_attempt */
  gboolean is_writing;         /* a transaction of job-writer.c is under way */
  guint single_job_writes;     /* how many of the next transactions carry one job only */
  GPtrArray *jobs_by_urgency;  /* MmJob of the led shards without gangs, most urgent first */
  gboolean is_urgency_order_stale;
  MmResources *team_used; /* by index of team: on all machines, as of the latest quota update */
  MmTime next_quota_update_at;
  const MmJob *yield_to_gang; /* less urgent accelerated work leaves its places to it; or NULL */
  guint64 n_machines_scanned; /* since the start, of all machine scans together */
  guint machine_scans_left;   /* scans for placement estimates until the next slow tick */
  guint next_preemption_job;  /* index in `jobs_by_urgency` where the next round goes on */
  MmTime next_slow_tick_at;
  MmTime next_replica_move_at;
};

static inline gint64
mm_scheduler_heartbeat_interval_ms(const MmScheduler *scheduler) {
  return (gint64)(scheduler->node->settings->heartbeat_interval_s * 1000);
}

/* The node must outlive the scheduler. */
MmScheduler *mm_scheduler_new(MmNode *node);
/* Only when no request of it can be answered any more. */
void mm_scheduler_free(MmScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmScheduler, mm_scheduler_free)
/* Writes what is due into job records; every 100 ms also updates urgency and quotas, asks for
 * acknowledgements, plans gangs and preempts. Does nothing while the node's lease is not valid. */
void mm_scheduler_tick(MmScheduler *scheduler);
