/* The replica of all keys under MM_KEY_ROOT: loaded in pages, then kept up to date by a watch.
 *
 * One watch covers the term, shards, live nodes, machines and unfinished jobs, and shows changes in
 * their order. So a node that sees a term here has seen every earlier change of the shards' leaders
 * too: that the term and the shards are adopted together, which fencing needs, follows from the
 * order of the watch. */
#pragma once

#include "kv/read-barrier.h"
#include "kv/records.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "platform/platform.h"

/* Receives changes of keys as the replica shows them, in their order. `suffix` is the key
 * after the prefix; values are lent. Functions that are NULL are not called. */
typedef struct {
  const char *prefix; /* of keys, ending in '/'; or one whole key. Must outlive the replica */
  void (*put)(gpointer context, const char *suffix, const json_t *value, MmKeyVersion version);
  void (*removed)(gpointer context, const char *suffix);
  /* Adds the keys that the observer knows, as new strings: after a reload those that no longer
   * exist are removed. Without it no key is removed by a reload. */
  void (*list_keys)(gpointer context, const char *prefix, GPtrArray *keys);
  void (*page_loaded)(gpointer context); /* a page of keys has been read in a load */
  gpointer context;
} MmReplicaObserver;

/* Called when the replica is loaded, and after each response of the watch with changes. */
typedef void (*MmReplicaChanged)(gpointer context);

typedef struct {
  guint64 lease_id;
  MmTime seen_since; /* when this node first saw the lease */
} MmLiveNode;

struct MmReplica {
  const MmPlatform *platform;
  const MmSettings *settings;
  MmKvClient *kv;
  GArray *observers;                                    /* MmReplicaObserver */
  GArray *change_listeners;                             /* in the order in which they are called */
  gboolean (*has_proved_outage)(gconstpointer context); /* NULL: never */
  gconstpointer has_proved_outage_context;
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

/* What is passed must outlive the replica. */
MmReplica *mm_replica_new(const MmPlatform *platform, const MmSettings *settings, MmKvClient *kv);
/* Calls back those who wait for a current replica. Only when no request can be answered any more.
 */
void mm_replica_free(MmReplica *replica);
/* Copies the observer. All observers and listeners are to be added before the start. */
void mm_replica_add_observer(MmReplica *replica, const MmReplicaObserver *observer);
void mm_replica_add_change_listener(MmReplica *replica, MmReplicaChanged changed, gpointer context);
/* How the replica learns whether an outage of the key-value store is proved at the moment. */
void mm_replica_set_outage_proof(MmReplica *replica, gboolean (*has_proved_outage)(gconstpointer),
                                 gconstpointer context);
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
