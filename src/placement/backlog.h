/* The exchange of backlogs: each node announces the pending tasks of the shards that it leads, and
 * keeps a view of what each peer announced last. */
#pragma once

#include "placement/placement.h"

/* A message between nodes, see peers.proto. */
typedef struct Mm__Backlog Mm__Backlog;

/* Announces the own backlog to the peers: soon after it has changed, and now and then anyway. */
void mm_placement_tick(MmPlacement *placement);
/* The own backlog has changed. */
void mm_placement_backlog_changed(MmPlacement *placement);
/* Reads the own backlog from the scheduler into the own view. */
void mm_placement_refresh_own_backlog(MmPlacement *placement);
/* Sends the own backlog to the peer with this index. */
void mm_placement_send_backlog(MmPlacement *placement, gint peer);
void mm_placement_backlog_received(MmPlacement *placement, gint peer, const Mm__Backlog *backlog);
/* Whether some view shows a place reserved for a gang on the machine. */
gboolean mm_placement_is_reserved(const MmPlacement *placement, const MmMachine *machine);
