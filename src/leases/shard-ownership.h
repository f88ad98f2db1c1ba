/* Acquires, releases and rebalances the shards that this node leads.
 *
 * A shard is either the tasks of one team or a singleton role, which at most one node holds at a
 * time. The shard's key names the node that leads the shard and is bound to that node's lease. When
 * a node's lease expires, the store deletes these keys, and the node's shards have no leader.
 *
 * Every acquisition increments the global term in the same transaction, on condition that the
 * version of the term's key is unchanged. If two nodes start from the same assignment of shards,
 * only one of their acquisitions therefore succeeds. */
#pragma once

#include "leases/node-lease.h"

/* Singleton role: adding and releasing machines. */
#define MM_SHARD_AUTOSCALER "=fleet"
/* Singleton role: balancing machine groups among the nodes that own them. This shard exists only if
 * the settings define machine groups. */
#define MM_SHARD_SHARING "=sharing"

typedef struct {
  /* Returns the lease id that the peer has announced over its connection to this node. `peer` is
   * the peer's index in the settings. */
  guint64 (*lease_announced_by_peer)(gconstpointer context, guint peer);
  /* Returns whether every registered machine was seen recently; see
   * mm_machine_table_all_seen_recently in machines/machine-table.h. */
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
  MmTime imbalanced_since;      /* start of the current imbalance of the shards; 0: balanced */
  GPtrArray *shard_names;       /* names of all shards, in an order that never changes */
  GHashTable *leaderless_since; /* shard name -> MmTime */
} MmShardOwnership;

/* Creates the module's state. All arguments must outlive the state. */
MmShardOwnership *mm_shard_ownership_new(const MmPlatform *platform, const MmSettings *settings,
                                         const MmOperators *operators, MmKvClient *kv,
                                         const MmReplica *replica, const MmNodeLease *node_lease);
/* Sets the callbacks, which are copied. Must be called before the first tick. */
void mm_shard_ownership_set_callbacks(MmShardOwnership *ownership,
                                      const MmShardOwnershipCallbacks *callbacks);
/* Frees the state. Must not be called while the response callback of a transaction about shards may
 * still be invoked. */
void mm_shard_ownership_free(MmShardOwnership *ownership);
/* Acquires shards that have no leader. If there are none, releases some of this node's shards if
 * this node leads too many. */
void mm_shard_ownership_tick(MmShardOwnership *ownership);

/* Returns whether the replica shows this node, with its present lease, as the shard's leader. */
gboolean mm_shard_ownership_leads(const MmShardOwnership *ownership, const char *shard_name);
/* Returns whether this node expects changes of shard leaders. That is the case in three situations:
 * a shard has no leader; the lease of a shard's leader was replaced or no longer exists; or a live
 * peer has not yet announced its lease to this node. */
gboolean mm_shard_ownership_is_in_transition(const MmShardOwnership *ownership);
/* Returns whether the shard is a singleton role rather than a team. */
gboolean mm_shard_ownership_is_singleton_role(const char *shard_name);
/* Returns the name of the team's shard: the team's name, escaped for use in a key. Free it with
 * g_free. */
char *mm_shard_ownership_shard_of_team(const MmName *team);
