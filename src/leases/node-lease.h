/* This node's lease in the key-value store: acquires and renews it, tracks its expiry, and decides
 * whether it entitles the node to answer workers.
 *
 * The node announces the lease in its own key, which is bound to the lease: when the lease expires,
 * the store deletes the key, and so the other nodes learn of it. The validity of the lease is
 * counted by the monotonic clock from when the request to grant or renew it was sent, less the
 * possible clock drift. So this node never considers the lease valid for longer than the store
 * keeps it. */
#pragma once

#include "config/operators.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "platform/platform.h"

/* When the key-value store last refused (503) or served any peer, as reported by the peers, by this
 * node's clock; 0: not known. */
typedef struct {
  MmTime (*last_refused_at)(gconstpointer context);
  MmTime (*last_served_at)(gconstpointer context);
  gconstpointer context;
} MmLeasePeers;

typedef struct MmNodeLease {
  const MmPlatform *platform;
  const MmSettings *settings;
  const MmOperators *operators;
  MmKvClient *kv;
  const MmReplica *replica;
  MmLeasePeers peers;
  guint64 lease_id;               /* MM_NO_LEASE: the node has none */
  MmTime valid_until;             /* the lease cannot expire before this time */
  gboolean is_request_pending;    /* a request to read the key or about the lease is in flight */
  MmTime next_request_at;         /* when to renew or acquire the lease */
  MmKeyVersion announced_version; /* of the node's key as written with this lease */
  MmKeyVersion node_key_version;  /* of the node's key as read before the lease was requested */
  MmTime outage_proved_at;        /* time of the latest proof of an outage; 0: none */
} MmNodeLease;

/* Creates the lease, which is not acquired yet. All arguments must outlive it. */
MmNodeLease *mm_node_lease_new(const MmPlatform *platform, const MmSettings *settings,
                               const MmOperators *operators, MmKvClient *kv,
                               const MmReplica *replica);
/* Sets the source of the peers' reports, which is copied. Must be called before the first tick. */
void mm_node_lease_set_peers(MmNodeLease *lease, const MmLeasePeers *peers);
/* Frees the lease without revoking it; it expires in the store. Must not be called while the
 * callback of a request about the lease may still be invoked. */
void mm_node_lease_free(MmNodeLease *lease);
/* Acquires or renews the lease when due, and extends it while an outage is proved. */
void mm_node_lease_tick(MmNodeLease *lease);

/* Returns whether the lease cannot have expired yet by the monotonic clock, and this node may write
 * to the key-value store. */
gboolean mm_node_lease_is_valid(const MmNodeLease *lease);
/* Returns whether this node may answer workers: the lease is valid, and the replica shows it and is
 * not older than mm_node_lease_max_staleness_us. */
gboolean mm_node_lease_may_answer_workers(const MmNodeLease *lease);
/* Returns whether an outage of the key-value store has been proved within the last second. */
gboolean mm_node_lease_has_proved_outage(const MmNodeLease *lease);
/* Returns for how long, in microseconds, a node may answer workers without having read the changes
 * in the key-value store. Time in proved outages does not count. */
gint64 mm_node_lease_max_staleness_us(const MmNodeLease *lease);
