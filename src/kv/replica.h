/* What the state service holds under MM_KEY_ROOT, in the order in which it changed.
 *
 * One watch covers terms, claims, machines and unfinished jobs. So whoever sees a term here has
 * also seen every earlier change of the part map: adopting a term together with the part map, as
 * the fencing needs, follows from the order of the watch. */
#pragma once

#include "node/node.h"

typedef struct {
  MmName leader;
  guint64 lease_id;
  MmTerm term;
  MmKeyVersion version;
} MmShard;

typedef struct {
  guint64 lease_id;
  MmTime seen_since; /* when this node saw it */
} MmLiveNode;

struct MmReplica {
  MmNode *node;
  gboolean is_loaded;
  guint64 revision;
  MmTime fresh_until;  /* the replica holds all that was written before this instant */
  gint64 staleness_us; /* how long ago that is, without time in a proved outage, at the last tick */
  MmTime staleness_at;
  MmTerm term;
  MmTerm term_at_start; /* when this life of the node had loaded it */
  MmKeyVersion term_version;
  GHashTable *shards;       /* name -> MmShard */
  GHashTable *live_nodes;   /* label -> MmLiveNode */
  MmTime node_last_gone_at; /* when a node's claim was last seen to have gone */
  MmTime load_started_at;   /* since when */
  guint64 first_page_revision;
  guint64 newest_loaded_version; /* of what loading met; the watch must have come as far before it
                                    is whole */
  GHashTable *loaded_keys;       /* keys met while loading */
  char *last_loaded_key;

  /* questions that must not be answered from a replica older than they are */
  GQueue *waiters; /* Waiter */
  guint64 n_revision_reads;
  gboolean is_reading_revision;
  MmTime next_revision_read_at;
};

/* `current`: the replica shows everything that was written before the question was put; FALSE when
 * that could not be told in time. */
typedef void (*MmCurrentCallback)(gpointer data, gboolean current);

MmReplica *mm_replica_new(MmNode *node);
void mm_replica_free(MmReplica *replica);
void mm_replica_start(MmReplica *replica);
void mm_replica_tick(MmReplica *replica);
/* Calls back once the replica holds all that was written up to now. One read of the revision serves
 * all who ask within a short while: reading each job's record for each poll took two thirds of the
 * state service's requests and a tenth of the nodes' time. */
void mm_replica_when_current(MmReplica *replica, MmCurrentCallback on_current, gpointer data);
/* For how long this node can't have read what changed, proved outages aside. */
gint64 mm_replica_staleness_us(const MmReplica *replica);
const MmShard *mm_replica_shard(const MmReplica *replica, const char *name);
/* The live nodes' labels in order; free the container only. */
GPtrArray *mm_replica_live_labels(const MmReplica *replica);
