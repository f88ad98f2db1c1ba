/* Placement: proposes pending tasks for the machines whose heartbeats this node answers. The leader
 * of a task's shard decides whether the task starts on the proposed machine
 * (scheduler/admission.h).
 *
 * MmPlacement owns the latest known backlogs of all nodes (backlog.h) and the known requirements of
 * accelerated jobs (accelerator-reserve.h). Both are kept in memory only and may be out of date. */
#pragma once

#include "jobs/job-table.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* The pending tasks of one job, as the leader of its shard has announced them. */
typedef struct {
  MmName job;
  GArray *ranges;          /* owned; pairs of guint: number of the first task, number of tasks */
  gboolean has_precedence; /* proposed before other jobs, for any machine where its tasks fit */
  gboolean is_starving;    /* see MmJob.is_starving */
} MmPendingTasks;

/* Returns a new MmPendingTasks for the job, without any task ranges. Free with
 * mm_pending_tasks_free. */
MmPendingTasks *mm_pending_tasks_new(const char *job, gboolean has_precedence,
                                     gboolean is_starving);
void mm_pending_tasks_free(MmPendingTasks *pending);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmPendingTasks, mm_pending_tasks_free)

/* The backlog of one node, which may be this node or a peer: the pending tasks of the shards that
 * the node leads, as far as this node knows them. */
typedef struct {
  GPtrArray *pending;        /* MmPendingTasks, owned, most urgent first */
  GArray *reserved_machines; /* MmName of machines with resources reserved for tasks of gangs */
  guint n_pending_tasks;     /* of all ready jobs, also of jobs that are not in `pending` */
} MmBacklogView;

/* Indexes of views: this node's own backlog has view 0, that of peer k has view k + 1. */
#define MM_PLACEMENT_VIEW_OWN 0
#define MM_PLACEMENT_VIEW_OF_PEER(peer) ((peer) + 1)

struct MmPlacement {
  MmNode *node;
  MmBacklogView *views; /* this node's own backlog, then those of the peers */
  guint n_views;
  /* Results of scans of all machines, cached for a fraction of a second because a scan is slow. */
  const MmMachine *next_unreserved_machine; /* may be unreserved next, or NULL */
  MmTime unreserve_checked_at;              /* when `next_unreserved_machine` was determined */
  GHashTable *lent_machines; /* set of owned ids: idle accelerated machines open to other jobs */
  MmTime lent_updated_at;    /* when `lent_machines` was determined */
  /* The announcement of this node's own backlog. */
  gboolean is_backlog_changed; /* since the last announcement */
  MmTime announced_at;         /* when it was last announced */
  /* The requirements of the accelerated jobs that this node has seen since its start. */
  gboolean has_seen_accelerated_work;
  gboolean accelerated_may_use_spot;    /* at least one such job allows spot machines */
  MmResources largest_accelerated_need; /* maximum of each resource; accelerators: always 0 */
  MmPriority max_accelerated_priority;
};

/* Returns a new MmPlacement, owned by the caller. The node must outlive the MmPlacement. */
MmPlacement *mm_placement_new(MmNode *node);
void mm_placement_free(MmPlacement *placement);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmPlacement, mm_placement_free)
