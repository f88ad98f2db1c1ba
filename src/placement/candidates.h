/* Chooses the tasks to request for a machine. The node that answers the machine's heartbeat makes
 * this choice. It depends on the backlogs that shard leaders announce, on the machine's free
 * resources and on the machine's cached images. */
#pragma once

#include "placement/placement.h"

#define MM_PLACEMENT_CANDIDATES_MAX 16
#define MM_PLACEMENT_VIEW_NONE (-1)

/* The next start request to send: to which node, and for which tasks. */
typedef struct {
  gint view;        /* backlog view of the node to ask, or MM_PLACEMENT_VIEW_NONE: no request */
  gboolean is_pull; /* the request names no tasks; the node that is asked chooses any that fits */
  guint n_tasks;    /* 0 for a pull, and for a place reserved for a gang */
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX]; /* in order of preference */
} MmPlacementChoice;

/* Chooses the next request for the machine. `requested` holds the MmTaskRef of the tasks that were
 * already requested for the same heartbeat response. Bit v of `exhausted_views` is set if the node
 * of view v had nothing to start or could not be asked. */
MmPlacementChoice mm_placement_choose(MmPlacement *placement, const MmMachine *machine,
                                      MmResources free_resources, const GArray *requested,
                                      guint exhausted_views);
/* Returns whether the constraints in the job's specification allow the machine. */
gboolean mm_placement_job_allows_machine(const MmJob *job, const MmMachine *machine);
/* Removes a task from a view after the task was started or its start was refused. */
void mm_placement_remove_candidate(MmPlacement *placement, guint view, const char *job,
                                   guint number);
