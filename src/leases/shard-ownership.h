/* Which shards this node leads: acquisition, release and rebalancing.
 *
 * A shard is a team's tasks, or a duty that one node has. Its key names the node that leads it and
 * is bound to that node's lease, so the shards of a node whose lease expires have no leader. Every
 * acquisition raises the global term in the same transaction, guarded by the term's version, so two
 * nodes never build on the same map of shards. */
#pragma once

#include "leases/node-lease.h"

/* The duty of scaling out and in. */
#define MM_SHARD_AUTOSCALER "=fleet"
/* The duty of balancing the owners of machine groups, where these are shared out. */
#define MM_SHARD_SHARING "=sharing"

typedef struct {
  /* The lease id that the peer has announced by its link; `peer` is its place in the settings. */
  guint64 (*lease_announced_by_peer)(gconstpointer context, guint peer);
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
  gboolean is_commit_pending; /* a transaction about shards is under way */
  MmTime next_check_at;       /* when to check the map of shards again */
  guint64 conflict_revision;  /* the replica's when a transaction conflicted; 0: none has */
  MmTime uneven_since;        /* since when the shards have been spread unevenly; 0: they are not */
  GPtrArray *shard_names;     /* of all shards, in a fixed order */
  GHashTable *leaderless_since; /* shard name -> MmTime */
} MmShardOwnership;

/* What is passed must outlive it. */
MmShardOwnership *mm_shard_ownership_new(const MmPlatform *platform, const MmSettings *settings,
                                         const MmOperators *operators, MmKvClient *kv,
                                         const MmReplica *replica, const MmNodeLease *node_lease);
/* To be called before the first tick. */
void mm_shard_ownership_set_callbacks(MmShardOwnership *ownership,
                                      const MmShardOwnershipCallbacks *callbacks);
/* Only when no transaction about shards can be answered any more. */
void mm_shard_ownership_free(MmShardOwnership *ownership);
/* Acquires shards without a leader, and releases some where this node leads too many. */
void mm_shard_ownership_tick(MmShardOwnership *ownership);

/* Whether the replica shows this incarnation of this node as leader of the shard. */
gboolean mm_shard_ownership_leads(const MmShardOwnership *ownership, const char *shard_name);
/* Whether shards are about to change leaders, as far as this node knows: a shard has no leader, or
 * the lease of its leader or of another node is new. */
gboolean mm_shard_ownership_is_unsettled(const MmShardOwnership *ownership);
/* Whether the shard is a duty that one node has, rather than a team. */
gboolean mm_shard_ownership_is_duty(const char *shard_name);
/* The name of the team's shard: the team's name in a form that a key may have. Free with g_free. */
char *mm_shard_ownership_shard_of_team(const MmName *team);
