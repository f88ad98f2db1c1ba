/* The exchange of backlogs. Each node announces to its peers the pending tasks of the shards that
 * it leads, and keeps the latest announcement of each peer (MmBacklogView). */
#pragma once

#include "placement/placement.h"

/* A message between nodes, defined in peers.proto. */
typedef struct Mm__Backlog Mm__Backlog;

/* Announces this node's backlog to the peers, soon after a change of the backlog and periodically
 * while it does not change. Must be called every MM_NODE_TICK_MS. */
void mm_placement_tick(MmPlacement *placement);
/* Notes that this node's backlog has changed, so that it is announced soon. */
void mm_placement_backlog_changed(MmPlacement *placement);
/* Updates this node's view of its own backlog from the scheduler. */
void mm_placement_refresh_own_backlog(MmPlacement *placement);
/* Sends this node's view of its own backlog to the peer with this index. */
void mm_placement_send_backlog(MmPlacement *placement, gint peer);
/* Replaces the view of the peer's backlog by `backlog`, which the peer has announced and which
 * is borrowed. Also updates the `is_starving` flag of the jobs whose shards this node does not
 * lead. */
void mm_placement_backlog_received(MmPlacement *placement, gint peer, const Mm__Backlog *backlog);
/* Returns whether resources of the machine are reserved for a task of a gang according to any
 * node's announced backlog. */
gboolean mm_placement_is_reserved(const MmPlacement *placement, const MmMachine *machine);
