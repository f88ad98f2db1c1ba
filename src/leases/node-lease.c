#include "leases/node-lease.h"

#include "base/json.h"
#include "base/log.h"
#include "base/wire.h"

/* The assumed clock drift between a node and the store. A monotonic clock drifts by at most 0.05%.
 * The constant is twice that, because two clocks are compared, plus a safety margin. */
#define CLOCK_DRIFT 0.002
/* Deducted from the validity of a lease in addition to the drift. */
#define VALIDITY_MARGIN_MS 20
#define REQUEST_TIMEOUT_MS 1000
/* Delay after an attempt to acquire the lease has failed. */
#define ACQUIRE_RETRY_MS 150
/* Maximum delay after a renewal that failed for another reason than expiry of the lease. The delay
 * is also at most half of the renewal interval. */
#define RENEW_RETRY_MAX_MS 300
#define OUTAGE_PROOF_MAX_AGE_MS 1000
/* The limit on the replica's staleness while this node answers workers, as a multiple of the
 * lease's time to live. */
#define MAX_STALENESS_TTLS 2

MmNodeLease *
mm_node_lease_new(const MmPlatform *platform, const MmSettings *settings,
                  const MmOperators *operators, MmKvClient *kv, const MmReplica *replica) {
  MmNodeLease *lease = g_new0(MmNodeLease, 1);

  lease->platform = platform;
  lease->settings = settings;
  lease->operators = operators;
  lease->kv = kv;
  lease->replica = replica;
  return lease;
}

void
mm_node_lease_set_peers(MmNodeLease *lease, const MmLeasePeers *peers) {
  lease->peers = *peers;
}

void
mm_node_lease_free(MmNodeLease *lease) {
  g_free(lease);
}

static gint64
lease_ttl_ms(const MmNodeLease *lease) {
  return (gint64)(lease->operators->lease_ttl_s * 1000);
}

static MmTime
lease_valid_until(const MmNodeLease *lease, MmTime sent_at) {
  return mm_time_add_ms(sent_at, (gint64)((double)lease_ttl_ms(lease) * (1 - CLOCK_DRIFT))
                                     - VALIDITY_MARGIN_MS);
}

gboolean
mm_node_lease_is_valid(const MmNodeLease *lease) {
  return lease->lease_id != MM_NO_LEASE && mm_kv_client_may_write(lease->kv)
         && mm_time_before(mm_platform_now(lease->platform), lease->valid_until);
}

gboolean
mm_node_lease_may_answer_workers(const MmNodeLease *lease) {
  const MmReplica *replica = lease->replica;
  const MmLiveNode *own_node;

  if (!mm_node_lease_is_valid(lease) || !replica->is_loaded || replica->term.v == 0
      || mm_replica_staleness_us(replica) > mm_node_lease_max_staleness_us(lease))
    return FALSE;
  own_node = g_hash_table_lookup(replica->live_nodes, lease->settings->label.s);
  return own_node != NULL && own_node->lease_id == lease->lease_id;
}

gboolean
mm_node_lease_has_proved_outage(const MmNodeLease *lease) {
  return lease->outage_proved_at.us != 0
         && mm_time_ms_since(mm_platform_now(lease->platform), lease->outage_proved_at)
                <= OUTAGE_PROOF_MAX_AGE_MS;
}

gint64
mm_node_lease_max_staleness_us(const MmNodeLease *lease) {
  return lease_ttl_ms(lease) * 1000 * MAX_STALENESS_TTLS;
}

typedef struct {
  MmNodeLease *lease;
  MmTime sent_at;
  guint64 lease_id;
} LeaseRequest;

static LeaseRequest *
lease_request_new(MmNodeLease *lease, guint64 lease_id) {
  LeaseRequest *request = g_new(LeaseRequest, 1);

  *request = (LeaseRequest){ lease, mm_platform_now(lease->platform), lease_id };
  return request;
}

static void
retry_acquisition(MmNodeLease *lease) {
  lease->is_request_pending = FALSE;
  lease->next_request_at = mm_time_add_ms(mm_platform_now(lease->platform), ACQUIRE_RETRY_MS);
}

static void
on_lease_announced(gpointer data, int status, MmJson *body) {
  LeaseRequest *request = data;
  MmNodeLease *lease = request->lease;

  if (status == 200) {
    lease->is_request_pending = FALSE;
    lease->lease_id = request->lease_id;
    lease->announced_version.v = mm_json_count(body, WIRE_REVISION, 0);
    lease->valid_until = lease_valid_until(lease, request->sent_at);
    lease->next_request_at = mm_platform_now(lease->platform);
    mm_info("node lease acquired lease=%" G_GUINT64_FORMAT, request->lease_id);
  } else {
    retry_acquisition(lease);
  }
  g_free(request);
}

static void
on_lease_granted(gpointer data, int status, MmJson *body) {
  LeaseRequest *request = data;
  MmNodeLease *lease = request->lease;
  guint64 lease_id = mm_json_count(body, WIRE_LEASE, MM_NO_LEASE);

  if (status == 200 && lease_id != MM_NO_LEASE) {
    MmTransaction transaction = mm_transaction_begin();
    request->lease_id = lease_id;
    /* The condition prevents a delayed announcement of an older lease from overwriting the
     * announcement of a newer lease. The node's key would then be bound to the older lease, and the
     * store would delete the key when the older lease expires. The other nodes would no longer
     * count this node as live although this node still answers workers. */
    mm_transaction_require_version(&transaction, MM_KEY_LIVE_NODE, lease->settings->label.s,
                                   lease->node_key_version);
    mm_transaction_put(&transaction, MM_KEY_LIVE_NODE, lease->settings->label.s,
                       mm_record_encode_live_node(lease_id), lease_id);
    /* `sent_at` remains the time at which the grant was requested, because the lease runs from the
     * grant. */
    mm_kv_client_commit(lease->kv, &transaction, on_lease_announced, request);
    return;
  }
  retry_acquisition(lease);
  g_free(request);
}

static void
on_node_key_read(gpointer data, int status, MmJson *body) {
  MmNodeLease *lease = data;
  g_autoptr(MmJson) grant_request = NULL;

  if (status != 200 && status != 404) {
    retry_acquisition(lease);
    return;
  }
  lease->node_key_version.v = status == 200 ? mm_json_count(body, WIRE_VERSION, 0) : 0;
  grant_request = mm_json_pack("{s:I}", WIRE_TTL, (guint64)lease_ttl_ms(lease));
  mm_kv_client_request(lease->kv, "POST", WIRE_LEASES_PATH, grant_request, REQUEST_TIMEOUT_MS,
                       on_lease_granted, lease_request_new(lease, MM_NO_LEASE));
}

static void
on_lease_renewed(gpointer data, int status, MmJson *body) {
  LeaseRequest *request = data;
  MmNodeLease *lease = request->lease;
  MmTime now = mm_platform_now(lease->platform);
  gint64 renew_interval_ms = (gint64)(lease->operators->lease_renew_interval_s * 1000);

  lease->is_request_pending = FALSE;
  if (status == 200) {
    lease->valid_until
        = mm_time_max(lease->valid_until, lease_valid_until(lease, request->sent_at));
    lease->next_request_at = mm_time_add_ms(request->sent_at, renew_interval_ms);
  } else if (status == 404) {
    mm_info("node lease expired lease=%" G_GUINT64_FORMAT, lease->lease_id);
    lease->lease_id = MM_NO_LEASE;
    lease->next_request_at = now;
  } else {
    lease->next_request_at = mm_time_add_ms(now, MIN(renew_interval_ms / 2, RENEW_RETRY_MAX_MS));
  }
  g_free(request);
}

/* Extends the lease if an outage of the key-value store is proved: this node and a peer have both
 * been refused (503) within the last second. During an outage the store expires no leases, and
 * after the outage each lease has its full time to live again. The time of the proof is the time of
 * the older of the two refusals. A lease that may have expired before the time of the proof is not
 * extended. */
static void
extend_lease_in_outage(MmNodeLease *lease) {
  MmTime now = mm_platform_now(lease->platform);
  MmTime own_refusal_at = lease->kv->last_refused_at;
  MmTime peer_refusal_at = lease->peers.last_refused_at(lease->peers.context);
  MmTime proved_at = mm_time_min(own_refusal_at, peer_refusal_at);

  if (proved_at.us == 0 || mm_time_ms_since(now, proved_at) > OUTAGE_PROOF_MAX_AGE_MS
      || !mm_time_before(proved_at, lease->valid_until))
    return;
  /* If the store has served any node in the meantime, there is no outage. In that case, the store
   * refuses only some nodes, and the leases of these nodes do expire. */
  if (!mm_time_before(lease->kv->last_served_at, proved_at)
      || !mm_time_before(lease->peers.last_served_at(lease->peers.context),
                         lease->kv->refused_since))
    return;
  lease->outage_proved_at = proved_at;
  lease->valid_until = mm_time_max(lease->valid_until, lease_valid_until(lease, proved_at));
}

/* Returns whether the node's key was deleted or overwritten after this node announced its lease.
 * That is the case if the replica is at least as new as the announcement, but the node's key is
 * absent or names another lease. Renewing the lease would then be pointless, because a lease that
 * the replica does not show entitles the node to nothing. */
static gboolean
node_key_is_overwritten(const MmNodeLease *lease) {
  const MmReplica *replica = lease->replica;
  const MmLiveNode *own_node = g_hash_table_lookup(replica->live_nodes, lease->settings->label.s);

  return lease->lease_id != MM_NO_LEASE && replica->is_loaded
         && replica->revision >= lease->announced_version.v
         && (own_node == NULL || own_node->lease_id != lease->lease_id);
}

static void
renew_or_acquire_lease(MmNodeLease *lease) {
  MmTime now = mm_platform_now(lease->platform);

  /* A node that may not write, because it does not support the active format, lets its lease
   * expire. */
  if (lease->is_request_pending || mm_time_before(now, lease->next_request_at)
      || !mm_kv_client_may_write(lease->kv))
    return;
  if (node_key_is_overwritten(lease)) {
    mm_info("node lease dropped: node key deleted or overwritten lease=%" G_GUINT64_FORMAT,
            lease->lease_id);
    lease->lease_id = MM_NO_LEASE;
  }
  lease->is_request_pending = TRUE;
  if (lease->lease_id == MM_NO_LEASE) {
    mm_kv_client_get(lease->kv, MM_KEY_LIVE_NODE, lease->settings->label.s, on_node_key_read,
                     lease);
  } else {
    g_autofree char *path
        = g_strdup_printf(WIRE_LEASES_PATH "/%" G_GUINT64_FORMAT "/renew", lease->lease_id);
    mm_kv_client_request(lease->kv, "POST", path, NULL, REQUEST_TIMEOUT_MS, on_lease_renewed,
                         lease_request_new(lease, lease->lease_id));
  }
}

void
mm_node_lease_tick(MmNodeLease *lease) {
  extend_lease_in_outage(lease);
  renew_or_acquire_lease(lease);
}
