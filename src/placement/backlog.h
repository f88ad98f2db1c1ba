/* The exchange of backlogs: each node announces the pending tasks of the shards that it leads to
 * its peers, and keeps the latest announcement of each peer (MmBacklogView). */
#pragma once

#include "placement/placement.h"

/* A message between nodes, defined in peers.proto. */
typedef struct Mm__Backlog Mm__Backlog;

/* Announces this node's backlog to the peers, soon after a change and periodically without one. To
 * be called every MM_NODE_TICK_MS. */
void mm_placement_tick(MmPlacement *placement);
/* Notes that this node's backlog has changed, so that it is announced soon. */
void mm_placement_backlog_changed(MmPlacement *placement);
/* Updates this node's own view from the scheduler. */
void mm_placement_refresh_own_backlog(MmPlacement *placement);
/* Sends this node's own view to the peer with this index. */
void mm_placement_send_backlog(MmPlacement *placement, gint peer);
/* Replaces the view of the peer by its announced backlog, which is borrowed. Also updates the
 * `is_starving` flag of the jobs whose shards this node does not lead. */
void mm_placement_backlog_received(MmPlacement *placement, gint peer, const Mm__Backlog *backlog);
/* Returns whether any view shows resources of the machine as reserved for a task of a gang. */
gboolean mm_placement_is_reserved(const MmPlacement *placement, const MmMachine *machine);
