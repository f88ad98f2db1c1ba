/* This node's replica of all keys under MM_KEY_ROOT. The replica is loaded in pages and then kept
 * up to date by a watch.
 *
 * One watch covers the term, shards, live nodes, machines and unfinished jobs, and delivers changes
 * in the order in which they were made. Therefore, once the replica shows a term, it also shows
 * every change of a shard's leader that was made before that term. Fencing relies on this: a node
 * must not adopt a term without the leaders that belong to that term. */
#pragma once

#include "kv/read-barrier.h"
#include "kv/records.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "platform/platform.h"

/* Receives the changes of the keys with a prefix, in the order in which the changes enter the
 * replica. `suffix` is the part of the key after the prefix. Values are valid only during the call.
 * Each function pointer may be NULL. */
typedef struct {
  const char *prefix; /* a prefix that ends in '/', or one whole key; must outlive the replica */
  void (*put)(gpointer context, const char *suffix, const MmJson *value, MmKeyVersion version);
  void (*removed)(gpointer context, const char *suffix);
  /* Adds all keys that the observer holds to `keys`, as newly allocated strings. After a reload,
   * `removed` is called for each of these keys that no longer exists in the store. If `list_keys`
   * is NULL, a reload removes no keys of this observer. */
  void (*list_keys)(gpointer context, const char *prefix, GPtrArray *keys);
  void (*page_loaded)(gpointer context); /* called after each page of a load */
  gpointer context;
} MmReplicaObserver;

/* Called when a load is complete, and after each watch response that contains changes. */
typedef void (*MmReplicaChanged)(gpointer context);

typedef struct {
  guint64 lease_id;
  MmTime first_seen_at; /* when this node first saw this lease */
} MmLiveNode;

struct MmReplica {
  const MmPlatform *platform;
  const MmSettings *settings;
  MmKvClient *kv;
  GArray *observers;        /* elements: MmReplicaObserver */
  GArray *change_listeners; /* elements: ChangeListener, in the order of the calls */
  gboolean (*has_proved_outage)(gconstpointer context); /* NULL: an outage is never proved */
  gconstpointer has_proved_outage_context;
  /* Set once the watch has reached newest_loaded_version. Cleared when a load starts. */
  gboolean is_loaded;
  guint64 revision;     /* store revision up to which the replica shows all changes */
  MmTime current_as_of; /* the replica shows all that was written before this time */
  gint64 staleness_us;  /* staleness at staleness_at, not counting time in proved outages */
  MmTime staleness_at;
  MmTerm term;
  MmTerm term_at_start; /* the term shown by this process's first complete load; 0 until then */
  MmKeyVersion term_version;
  GHashTable *shards;     /* name -> MmShard */
  GHashTable *live_nodes; /* label -> MmLiveNode */
  /* Time at which this node last did one of the following: it saw that a node's lease had been
   * replaced by another lease, it saw that a node's lease no longer existed, or it completed a
   * load. Completing a load counts because leases may have expired during the load without this
   * node seeing it. */
  MmTime last_node_lease_loss_at;
  MmTime load_started_at;
  guint64 first_page_revision;   /* 0 until the first page of a load is read */
  guint64 newest_loaded_version; /* highest version of a loaded key; see is_loaded */
  GHashTable *loaded_keys;       /* set of the keys read by the latest load */
  char *last_loaded_key;
  MmReadBarrier *read_barrier;
};

/* Creates a replica. All arguments must outlive the replica. */
MmReplica *mm_replica_new(const MmPlatform *platform, const MmSettings *settings, MmKvClient *kv);
/* Calls back the callers that wait for a current replica, then frees the replica. Must not be
 * called while a response callback of the replica's requests may still be invoked. */
void mm_replica_free(MmReplica *replica);
/* Adds an observer, which is copied. Must be called before mm_replica_start. */
void mm_replica_add_observer(MmReplica *replica, const MmReplicaObserver *observer);
/* Adds a listener; listeners are called in the order in which they were added. Must be called
 * before mm_replica_start. */
void mm_replica_add_change_listener(MmReplica *replica, MmReplicaChanged changed, gpointer context);
/* Sets the function that returns whether an outage of the key-value store is proved at present.
 * While an outage is proved, the replica's staleness does not grow. */
void mm_replica_set_outage_proof(MmReplica *replica, gboolean (*has_proved_outage)(gconstpointer),
                                 gconstpointer context);
/* Starts the load. Loading, watching and retrying then continue until the process ends. */
void mm_replica_start(MmReplica *replica);
/* Updates the staleness. Calls back the callers of mm_replica_when_current whose wait has ended. */
void mm_replica_tick(MmReplica *replica);
/* Calls `on_current` once the replica shows everything that was written before this call; see
 * kv/read-barrier.h. If the replica is not loaded, calls `on_current` with FALSE before
 * returning. */
void mm_replica_when_current(MmReplica *replica, MmCurrentCallback on_current, gpointer data);
/* Returns the replica's staleness in microseconds: the longest time for which changes in the
 * key-value store may have gone unread. Time in proved outages does not count. */
gint64 mm_replica_staleness_us(const MmReplica *replica);
/* Returns the shard's record, owned by the replica, or NULL if the shard has no leader. */
const MmShard *mm_replica_shard(const MmReplica *replica, const char *name);
/* Returns the labels of the live nodes, sorted. The caller frees the array but not the labels,
 * which the replica owns. */
GPtrArray *mm_replica_live_labels(const MmReplica *replica);
