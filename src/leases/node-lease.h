/* This node's lease in the key-value store: its grant, renewal and expiry, and until when it
 * entitles the node to answer workers.
 *
 * The lease is announced by the node's own key, which is bound to it: the key goes as the lease
 * expires, which tells the other nodes. The lease counts from when its grant or renewal was
 * sent, by the steady clock and less its possible drift, so it is never believed for longer
 * than the store keeps it. */
#pragma once

#include "config/operators.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "platform/platform.h"

/* What the peers say of the key-value store, by this node's clock; 0: nothing yet. */
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
  guint64 lease_id;               /* or MM_NO_LEASE */
  MmTime valid_until;             /* the lease cannot have expired before this instant */
  gboolean is_request_pending;    /* a request about the lease is under way */
  MmTime next_request_at;         /* when to renew the lease, or to request a new one */
  MmKeyVersion announced_version; /* of the key that announces the lease */
  MmKeyVersion node_key_version;  /* of the node's key as read before the lease was requested */
  MmTime outage_proved_at;        /* the newest proof of an outage; 0: none */
} MmNodeLease;

/* What is passed must outlive the lease. */
MmNodeLease *mm_node_lease_new(const MmPlatform *platform, const MmSettings *settings,
                               const MmOperators *operators, MmKvClient *kv,
                               const MmReplica *replica);
/* To be called before the first tick. */
void mm_node_lease_set_peers(MmNodeLease *lease, const MmLeasePeers *peers);
/* Only when no request about the lease can be answered any more. The store lets the lease expire.
 */
void mm_node_lease_free(MmNodeLease *lease);
/* Requests a lease, renews it, or extends it by a proved outage, as is due. */
void mm_node_lease_tick(MmNodeLease *lease);

/* Whether the lease cannot have expired yet, by the steady clock, and this node may write. */
gboolean mm_node_lease_is_valid(const MmNodeLease *lease);
/* Whether this node may answer workers: the lease is valid, and a replica that is fresh enough
 * shows it. */
gboolean mm_node_lease_may_answer_workers(const MmNodeLease *lease);
/* Whether an outage of the key-value store has been proved within the last second. */
gboolean mm_node_lease_has_proved_outage(const MmNodeLease *lease);
/* For how long, in microseconds and proved outages aside, a node may answer workers without having
 * read what has changed in the key-value store. */
gint64 mm_node_lease_max_staleness_us(const MmNodeLease *lease);
