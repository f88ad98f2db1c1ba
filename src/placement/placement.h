/* Placement: proposes tasks for the machines whose heartbeats this node answers. It proposes only;
 * the leader of the task's shard decides (scheduler/admission.h).
 *
 * MmPlacement owns what this node knows of all backlogs (backlog.h), and what it has learnt of
 * accelerated work (accelerator-reserve.h). Both are in memory only and may be out of date. */
#pragma once

#include "jobs/job-table.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* The pending tasks of one job, as announced by the leader of its shard. */
typedef struct {
  MmName job;
  GArray *ranges;          /* guint pairs: first number, length */
  gboolean has_precedence; /* offered to any fitting machine first */
  gboolean is_starving;
} MmPendingTasks;

/* Without any task yet. Free with mm_pending_tasks_free. */
MmPendingTasks *mm_pending_tasks_new(const char *job, gboolean has_precedence,
                                     gboolean is_starving);
void mm_pending_tasks_free(MmPendingTasks *pending);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmPendingTasks, mm_pending_tasks_free)

/* The backlog of one node. */
typedef struct {
  GPtrArray *pending;        /* MmPendingTasks, most urgent first */
  GArray *reserved_machines; /* MmName: machines with places reserved for gangs */
  guint n_pending_tasks;     /* all, also those that are not in `pending` */
} MmBacklogView;

/* The index of this node's own view; peer k has view k + 1. */
#define MM_PLACEMENT_VIEW_OWN 0
#define MM_PLACEMENT_VIEW_OF_PEER(peer) ((peer) + 1)

struct MmPlacement {
  MmNode *node;
  MmBacklogView *views; /* the own one, then those of the peers */
  guint n_views;
  /* Results of scans of all machines, kept for a moment because a scan is slow. */
  const MmMachine *next_released_machine; /* or NULL, as of `release_checked_at` */
  MmTime release_checked_at;
  GHashTable *lent_machines; /* ids of idle accelerated machines that other work may use, */
  MmTime lent_chosen_at;     /* as of then */
  /* The own backlog. */
  gboolean is_backlog_changed; /* since it was last announced, */
  MmTime announced_at;         /* which was then */
  /* What accelerated work has needed so far, as far as this node has seen. */
  gboolean has_seen_accelerated_work;
  gboolean accelerated_may_use_spot;
  MmResources largest_accelerated_need; /* the largest amount of each resource */
  MmPriority max_accelerated_priority;
};

/* The node must outlive it. */
MmPlacement *mm_placement_new(MmNode *node);
void mm_placement_free(MmPlacement *placement);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmPlacement, mm_placement_free)
