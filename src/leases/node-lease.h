/* This node's lease in the key-value store. This module acquires and renews the lease, tracks when
 * it expires, and decides whether the lease entitles the node to answer workers.
 *
 * The node announces the lease in its own key, which is bound to the lease. When the lease expires,
 * the store deletes the key, and the other nodes learn of the expiry from the deletion.
 *
 * The monotonic clock measures the validity of the lease. The validity is counted from the time at
 * which the request to grant or renew the lease was sent, and is reduced by the possible clock
 * drift. This node therefore never considers the lease valid for longer than the store keeps it. */
#pragma once

#include "config/operators.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "platform/platform.h"

/* Functions that return when the key-value store last refused (503) or served any peer, as reported
 * by the peers. The times are by this node's clock; 0 means that the time is not known. */
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
  guint64 lease_id;               /* MM_NO_LEASE: the node has no lease */
  MmTime valid_until;             /* the lease cannot expire before this time */
  gboolean is_request_pending;    /* a request about the lease or the node's key is in flight */
  MmTime next_request_at;         /* when to renew or acquire the lease */
  MmKeyVersion announced_version; /* node's key version as written with this lease */
  MmKeyVersion node_key_version;  /* node's key version as read before the lease request */
  MmTime outage_proved_at;        /* time of the latest proof of an outage; 0: none */
} MmNodeLease;

/* Creates the lease, which is not acquired yet. All arguments must outlive the lease. */
MmNodeLease *mm_node_lease_new(const MmPlatform *platform, const MmSettings *settings,
                               const MmOperators *operators, MmKvClient *kv,
                               const MmReplica *replica);
/* Sets the functions that return the peers' reports. `peers` is copied. Must be called before the
 * first tick. */
void mm_node_lease_set_peers(MmNodeLease *lease, const MmLeasePeers *peers);
/* Frees the lease without revoking it, so the store keeps the lease until it expires. Must not be
 * called while the response callback of a request about the lease may still be invoked. */
void mm_node_lease_free(MmNodeLease *lease);
/* Acquires or renews the lease when due, and extends it while an outage is proved. */
void mm_node_lease_tick(MmNodeLease *lease);

/* Returns whether this node may write to the key-value store and its lease cannot have expired yet
 * by the monotonic clock. */
gboolean mm_node_lease_is_valid(const MmNodeLease *lease);
/* Returns whether this node may answer workers. The lease must be valid, the replica must show the
 * lease, and the replica must not be staler than mm_node_lease_max_staleness_us. */
gboolean mm_node_lease_may_answer_workers(const MmNodeLease *lease);
/* Returns whether an outage of the key-value store has been proved within the last second. */
gboolean mm_node_lease_has_proved_outage(const MmNodeLease *lease);
/* Returns the maximum staleness, in microseconds, that the replica may have while this node answers
 * workers. The staleness is the time for which changes in the key-value store may have gone unread.
 * Time in proved outages does not count. */
gint64 mm_node_lease_max_staleness_us(const MmNodeLease *lease);
