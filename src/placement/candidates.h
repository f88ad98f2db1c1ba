/* Which task a machine should get next, as the node that answers the machine's heartbeat sees it:
 * from the backlogs that shard leaders announce, the machine's free resources and its cached
 * images. */
#pragma once

#include "placement/placement.h"

#define MM_PLACEMENT_CANDIDATES_MAX 16
#define MM_PLACEMENT_VIEW_NONE (-1)

/* What to request, and of whom. */
typedef struct {
  gint view;        /* index of the backlog view whose node is asked, or MM_PLACEMENT_VIEW_NONE */
  gboolean is_pull; /* any task will do */
  guint n_tasks;
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX]; /* the preferred ones first */
} MmPlacementChoice;

/* `requested`: MmTaskRef that were already requested for this response; `exhausted_views`: a bit
 * for each view whose node had nothing to start. */
MmPlacementChoice mm_placement_choose(MmPlacement *placement, const MmMachine *machine,
                                      MmResources free_resources, const GArray *requested,
                                      guint exhausted_views);
/* Whether the job's own constraints allow the machine. */
gboolean mm_placement_allows(const MmJob *job, const MmMachine *machine);
/* Removes a task from a view: it has been started or refused. */
void mm_placement_remove_candidate(MmPlacement *placement, guint view, const char *job,
                                   guint number);
