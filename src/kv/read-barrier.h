/* Linearizable reads: delays a read until the replica shows everything that was written before the
 * read was requested.
 *
 * A caller waits until the replica has reached a revision that the key-value store had after the
 * caller's request. Callers that arrive within a short interval share one read of the store's
 * revision. Polls of jobs therefore do not need one request to the store each. A caller is refused
 * if its deadline passes or if too many callers are waiting already. */
#pragma once

#include "base/types.h"

typedef struct MmReplica MmReplica;
typedef struct MmReadBarrier MmReadBarrier;

/* Called exactly once, possibly before mm_replica_when_current returns. `is_current` is TRUE if the
 * replica shows everything that was written before mm_replica_when_current was called. `is_current`
 * is FALSE if the wait was refused, failed or was not over in time. */
typedef void (*MmCurrentCallback)(gpointer data, gboolean is_current);

/* Creates a barrier. The replica must outlive the barrier. */
MmReadBarrier *mm_read_barrier_new(MmReplica *replica);
/* Calls back all waiting callers with FALSE, then frees the barrier. */
void mm_read_barrier_free(MmReadBarrier *barrier);
/* Calls `on_current` once the replica is current, or with FALSE if the wait fails; see
 * mm_replica_when_current. */
void mm_read_barrier_wait(MmReadBarrier *barrier, MmCurrentCallback on_current, gpointer data);
/* Starts a read of the store's revision if callers wait for a revision read. Calls back the callers
 * whose required revision is reached or whose deadline has passed. */
void mm_read_barrier_tick(MmReadBarrier *barrier);
/* Calls back the callers that are due. Must be called after each advance of the replica. */
void mm_read_barrier_replica_advanced(MmReadBarrier *barrier);
