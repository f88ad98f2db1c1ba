/* Reads that must not be answered from a replica older than they are (linearizable reads).
 *
 * A caller waits until the replica has reached the revision that the key-value store had after the
 * call. One read of the revision serves all who call within a short while, so polls of jobs need no
 * request each. Callers past their deadline, and those above the bound, get a refusal. */
#pragma once

#include "base/types.h"

typedef struct MmReplica MmReplica;
typedef struct MmReadBarrier MmReadBarrier;

/* Called exactly once, possibly before mm_replica_when_current returns. `is_current`: the replica
 * shows everything that was written before the call; FALSE: that was not known in time. */
typedef void (*MmCurrentCallback)(gpointer data, gboolean is_current);

/* The replica must outlive the barrier. */
MmReadBarrier *mm_read_barrier_new(MmReplica *replica);
/* Calls back those who wait, with FALSE. */
void mm_read_barrier_free(MmReadBarrier *barrier);
/* Calls back once the replica is current, see mm_replica_when_current. */
void mm_read_barrier_wait(MmReadBarrier *barrier, MmCurrentCallback on_current, gpointer data);
/* Reads the revision where callers wait for one, and calls back those that are due. */
void mm_read_barrier_tick(MmReadBarrier *barrier);
/* To be called when the replica has advanced. */
void mm_read_barrier_replica_advanced(MmReadBarrier *barrier);
