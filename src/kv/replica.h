/* The replica of all keys under MM_KEY_ROOT: loaded in pages, then kept up to date by a watch.
 *
 * One watch covers the term, shards, live nodes, machines and unfinished jobs, and shows changes in
 * their order. So a node that sees a term here has seen every earlier change of the shards' leaders
 * too: that the term and the shards are adopted together, which fencing needs, follows from the
 * order of the watch. */
#pragma once

#include "kv/read-barrier.h"
#include "kv/records.h"
#include "node/node.h"

typedef struct {
  guint64 lease_id;
  MmTime seen_since; /* when this node first saw the lease */
} MmLiveNode;

struct MmReplica {
  MmNode *node;
  gboolean is_loaded;
  guint64 revision;
  MmTime fresh_until;  /* the replica shows all that was written before this instant */
  gint64 staleness_us; /* its age at staleness_at, time in a proved outage left out */
  MmTime staleness_at;
  MmTerm term;
  MmTerm term_at_start; /* as first loaded by this process; 0: not yet */
  MmKeyVersion term_version;
  GHashTable *shards;       /* name -> MmShard */
  GHashTable *live_nodes;   /* label -> MmLiveNode */
  MmTime node_last_gone_at; /* when a node's lease was last seen to be gone */
  MmTime load_started_at;
  guint64 first_page_revision;   /* 0: the first page has not been read */
  guint64 newest_loaded_version; /* the watch must reach it before the replica counts as loaded */
  GHashTable *loaded_keys;       /* keys met while loading */
  char *last_loaded_key;
  MmReadBarrier *read_barrier;
};

MmReplica *mm_replica_new(MmNode *node);
/* Calls back those who wait for a current replica. Only when no request can be answered any more.
 */
void mm_replica_free(MmReplica *replica);
/* Starts to load; loading, watching and retries go on until the node ends. */
void mm_replica_start(MmReplica *replica);
void mm_replica_tick(MmReplica *replica);
/* Calls back once the replica shows all that was written up to now, see kv/read-barrier.h; at once
 * with FALSE while the replica is not loaded. */
void mm_replica_when_current(MmReplica *replica, MmCurrentCallback on_current, gpointer data);
/* The replica's age: for how long changes may be unread, in microseconds, proved outages aside. */
gint64 mm_replica_staleness_us(const MmReplica *replica);
/* NULL: the shard has no leader. */
const MmShard *mm_replica_shard(const MmReplica *replica, const char *name);
/* The live nodes' labels in order, lent; free the container only. */
GPtrArray *mm_replica_live_labels(const MmReplica *replica);
