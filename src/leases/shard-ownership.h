/* The shards that this node leads: their acquisition, release and rebalancing.
 *
 * A shard is either the tasks of one team or a singleton role, which at most one node holds at
 * a time. The shard's key names the node that leads it and is bound to that node's lease, so the
 * shards of a node whose lease expires have no leader. Every acquisition increments the global term
 * in the same transaction, on condition that the term's version is unchanged. So of two nodes that
 * start from the same assignment of shards, only one succeeds. */
#pragma once

#include "leases/node-lease.h"

/* The role of adding and releasing machines. */
#define MM_SHARD_AUTOSCALER "=fleet"
/* The role of balancing machine groups among the nodes that own them. Exists only if the settings
 * define machine groups. */
#define MM_SHARD_SHARING "=sharing"

typedef struct {
  /* Returns the lease id that the peer has announced over its connection to this node. `peer` is
   * the peer's index in the settings. */
  guint64 (*lease_announced_by_peer)(gconstpointer context, guint peer);
  /* Returns whether every registered machine was seen recently, see machines/machine-table.h. */
  gboolean (*all_machines_seen_recently)(gconstpointer context);
  gconstpointer context;
} MmShardOwnershipCallbacks;

typedef struct MmShardOwnership {
  const MmPlatform *platform;
  const MmSettings *settings;
  MmKvClient *kv;
  const MmReplica *replica;
  const MmNodeLease *node_lease;
  MmShardOwnershipCallbacks callbacks;
  gboolean is_commit_pending;   /* a transaction that changes shards is in flight */
  MmTime next_check_at;         /* when to check the assignment of shards again */
  guint64 conflict_revision;    /* the replica's revision at the last conflict; 0: none */
  MmTime imbalanced_since;      /* since when the shards have been unbalanced; 0: balanced */
  GPtrArray *shard_names;       /* of all shards, in an order that never changes */
  GHashTable *leaderless_since; /* shard name -> MmTime */
} MmShardOwnership;

/* Creates the module's state. All arguments must outlive it. */
MmShardOwnership *mm_shard_ownership_new(const MmPlatform *platform, const MmSettings *settings,
                                         const MmOperators *operators, MmKvClient *kv,
                                         const MmReplica *replica, const MmNodeLease *node_lease);
/* Sets the callbacks, which are copied. Must be called before the first tick. */
void mm_shard_ownership_set_callbacks(MmShardOwnership *ownership,
                                      const MmShardOwnershipCallbacks *callbacks);
/* Frees the state. May be called only when no transaction about shards can be answered any more. */
void mm_shard_ownership_free(MmShardOwnership *ownership);
/* Acquires shards that have no leader, or releases some if this node leads too many. */
void mm_shard_ownership_tick(MmShardOwnership *ownership);

/* Returns whether the replica shows this node, with its present lease, as the shard's leader. */
gboolean mm_shard_ownership_leads(const MmShardOwnership *ownership, const char *shard_name);
/* Returns whether this node expects changes of shard leaders: a shard has no leader, its leader's
 * lease no longer exists or was replaced, or a live peer has not yet announced its lease to this
 * node. */
gboolean mm_shard_ownership_is_in_transition(const MmShardOwnership *ownership);
/* Returns whether the shard is a singleton role rather than a team. */
gboolean mm_shard_ownership_is_singleton_role(const char *shard_name);
/* Returns the name of the team's shard: the team's name, escaped for use in a key. Free it with
 * g_free. */
char *mm_shard_ownership_shard_of_team(const MmName *team);
