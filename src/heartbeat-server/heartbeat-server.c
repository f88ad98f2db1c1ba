#include "heartbeat-server/heartbeat-server.h"

#include "base/wire.h"
#include "heartbeat-server/heartbeat-response.h"
#include "heartbeat-server/pending-response.h"
#include "machines/machine-health.h"
#include "machines/machine-table.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "peers/peer-broadcast.h"
#include "peers/peer-links.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "upgrade/versions.h"

/* Maximum time for which a heartbeat is deferred. Must be shorter than the worker's lease, because
 * the worker waits for the response while its heartbeat is deferred. */
#define DEFER_MAX_MS 800
/* Minimum capacity of the queue of deferred heartbeats; see defer_heartbeat(). */
#define DEFERRED_HEARTBEATS_MIN 256
/* Minimum time between two redirects that this node sends for load balancing. */
#define REDIRECT_INTERVAL_MS 400
/* A machine is redirected for load balancing only if this node serves at least this many machines
 * more than the target peer. */
#define LOAD_DIFFERENCE_TO_REDIRECT 4
#define MACHINE_COUNT_INTERVAL_MS 500

typedef struct {
  MmHeartbeat heartbeat; /* owned */
  MmHttpExchange *exchange;
  MmTime received_at;
} DeferredHeartbeat;

static void
deferred_heartbeat_free(DeferredHeartbeat *deferred) {
  mm_heartbeat_clear(&deferred->heartbeat);
  g_free(deferred);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(DeferredHeartbeat, deferred_heartbeat_free)

MmHeartbeatServer *
mm_heartbeat_server_new(MmNode *node) {
  MmHeartbeatServer *server = g_new0(MmHeartbeatServer, 1);

  server->node = node;
  server->pending_responses = g_hash_table_new(g_int64_hash, g_int64_equal);
  server->deferred_heartbeats = g_queue_new();
  server->jobs_being_confirmed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return server;
}

void
mm_heartbeat_server_free(MmHeartbeatServer *server) {
  DeferredHeartbeat *deferred;

  mm_pending_responses_refuse_all(server);
  while ((deferred = g_queue_pop_head(server->deferred_heartbeats)) != NULL) {
    mm_http_exchange_respond(deferred->exchange, 503, NULL, 0);
    deferred_heartbeat_free(deferred);
  }
  g_queue_free(server->deferred_heartbeats);
  g_hash_table_unref(server->pending_responses);
  g_hash_table_unref(server->jobs_being_confirmed);
  g_free(server);
}

/* Redirects to other nodes */

static void
redirect_worker(MmHeartbeatServer *server, MmHttpExchange *exchange, gint peer) {
  if (peer != MM_PEER_NONE)
    mm_http_exchange_respond(
        exchange, 421,
        mm_json_pack("{s:s}", WIRE_REDIRECT_TO, server->node->peer_links->peers[peer].label.s), 0);
  else
    mm_http_exchange_respond(exchange, 503, mm_json_error("not entitled to answer"), 0);
}

/* Returns the peer to which the sender of the current heartbeat should move for load balancing, or
 * MM_PEER_NONE. At most one machine is moved per REDIRECT_INTERVAL_MS. The machine counts of this
 * node and of the peer are adjusted here at once; the peer's next pong corrects the peer's
 * count. */
static gint
less_loaded_peer(MmHeartbeatServer *server) {
  MmTime now = mm_node_now(server->node);
  gint peer;

  if (mm_time_ms_since(now, server->last_redirect_at) < REDIRECT_INTERVAL_MS)
    return MM_PEER_NONE;
  peer = mm_peer_links_least_loaded(server->node->peer_links);
  if (peer == MM_PEER_NONE
      || server->served_machines
             < server->node->peer_links->peers[peer].n_machines + LOAD_DIFFERENCE_TO_REDIRECT)
    return MM_PEER_NONE;
  server->last_redirect_at = now;
  server->served_machines--;
  server->node->peer_links->peers[peer].n_machines++;
  return peer;
}

/* Queues the heartbeat to be processed again later. Returns FALSE if the heartbeat has been
 * deferred for DEFER_MAX_MS already or the queue is full. The queue's limit grows with the number
 * of machines, because each machine has at most one heartbeat in flight. */
static gboolean
defer_heartbeat(MmHeartbeatServer *server, const MmHeartbeat *heartbeat, MmHttpExchange *exchange,
                MmTime received_at) {
  guint limit = MAX(DEFERRED_HEARTBEATS_MIN, server->node->machine_table->sorted_machines->len);
  DeferredHeartbeat *deferred;

  if (mm_time_ms_since(mm_node_now(server->node), received_at) >= DEFER_MAX_MS
      || g_queue_get_length(server->deferred_heartbeats) >= limit)
    return FALSE;
  deferred = g_new(DeferredHeartbeat, 1);
  *deferred = (DeferredHeartbeat){ *heartbeat, exchange, received_at };
  g_array_ref(deferred->heartbeat.tasks);
  g_queue_push_tail(server->deferred_heartbeats, deferred);
  return TRUE;
}

static gboolean
leadership_was_in_transition(const MmHeartbeatServer *server) {
  return server->leadership_transition_since.us != 0;
}

/* While shards change leaders, the term is raised several times within a second. A worker
 * acknowledges the first of these terms at once, but acknowledges the next term only with its
 * following heartbeat. New leaders would therefore wait two heartbeat intervals for their
 * acknowledgements. To avoid this wait, heartbeats are deferred until the last of the new terms is
 * known. Heartbeats are deferred for at most DEFER_MAX_MS, because a shard may stay without a
 * leader. */
gboolean
mm_heartbeat_server_awaits_leadership_transition(const MmHeartbeatServer *server) {
  return leadership_was_in_transition(server)
         && mm_time_ms_since(mm_node_now(server->node), server->leadership_transition_since)
                < DEFER_MAX_MS;
}

static void
track_leadership_transition(MmHeartbeatServer *server) {
  if (!mm_shard_ownership_is_in_transition(server->node->shard_ownership))
    server->leadership_transition_since.us = 0;
  else if (!leadership_was_in_transition(server))
    server->leadership_transition_since = mm_node_now(server->node);
}

static void
refuse_heartbeat(MmHttpExchange *exchange, const char *reason) {
  mm_http_exchange_respond(exchange, 503, mm_json_error(reason), 0);
}

/* Answers an unverified heartbeat with the current term, so that the machine can acknowledge the
 * term, and with cleanup commands, which are always safe. If the machine has acknowledged none of
 * the last several responses, the heartbeat is refused with status 503 instead, because each status
 * 200 renews the machine's lease. */
static void
respond_unverified(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                   MmHttpExchange *exchange) {
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_add_unverified(node->machine_table, heartbeat);
  g_autoptr(GArray) commands = NULL;

  if (mm_machine_health_ignores_responses(node->machine_table, machine)) {
    refuse_heartbeat(exchange, "earlier answers were not taken");
    return;
  }
  mm_machine_health_record_response(node->machine_table, machine, mm_node_now(node));
  mm_machine_health_count_own_response(node->machine_table, machine);
  mm_peer_broadcast_unverified(node->peer_links, &machine->id);
  commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  mm_heartbeat_response_add_cleanup_commands(server, heartbeat->tasks, commands);
  mm_heartbeat_response_send(exchange, node->replica->term, commands);
}

/* Handles heartbeats that this node must not answer at all or cannot answer yet. Returns TRUE if
 * the exchange has been answered (with an error, a redirect or a response to an unverified
 * heartbeat) or the heartbeat has been deferred. */
static gboolean
reject_or_defer(MmHeartbeatServer *server, const MmHeartbeat *heartbeat, MmHttpExchange *exchange,
                MmTime received_at) {
  MmNode *node = server->node;
  gint peer;

  if (!mm_node_lease_may_answer_workers(node->node_lease)
      || !mm_versions_own_groups_announced(node->versions)) {
    redirect_worker(server, exchange, mm_peer_links_least_loaded(node->peer_links));
    return TRUE;
  }
  if (heartbeat->fencing_token.v > node->replica->term.v) {
    /* A worker ignores a status 200 whose term is lower than the worker's own, and keeps sending
     * heartbeats to this node. The heartbeat therefore waits until the replica contains the
     * worker's term and the shard leaders that belong to that term. */
    if (!defer_heartbeat(server, heartbeat, exchange, received_at))
      refuse_heartbeat(exchange, "the term is not known here yet");
    return TRUE;
  }
  if (mm_heartbeat_server_awaits_leadership_transition(server)
      && defer_heartbeat(server, heartbeat, exchange, received_at))
    return TRUE;
  peer = node->sharing->is_active
             ? mm_sharing_redirect_target(node->sharing, heartbeat->machine_id.s)
             : less_loaded_peer(server);
  if (peer != MM_PEER_NONE) {
    redirect_worker(server, exchange, peer);
    return TRUE;
  }
  if (mm_machine_table_is_stale_heartbeat(node->machine_table, heartbeat)) {
    refuse_heartbeat(exchange, "a newer report has come");
    return TRUE;
  }
  if (mm_machine_table_is_unverified_heartbeat(node->machine_table, heartbeat)) {
    respond_unverified(server, heartbeat, exchange);
    return TRUE;
  }
  return FALSE;
}

/* Records the heartbeat and broadcasts it to the peers. Must be called before the heartbeat is
 * answered, because the response renews the machine's lease. */
static MmMachine *
record_and_broadcast(MmHeartbeatServer *server, const MmHeartbeat *heartbeat) {
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_record_heartbeat(node->machine_table, heartbeat,
                                                         mm_node_now(node), MM_SERVING_NODE_SELF);

  if (machine != NULL) {
    mm_peer_broadcast_heartbeat(node->peer_links, machine, !heartbeat->is_unanswered);
    return machine;
  }
  /* A direct reply with a newer heartbeat id was recorded before this heartbeat. The worker may
   * still be waiting for the response to this heartbeat, and that response renews the lease. The
   * peers must therefore be notified of the response, whatever heartbeat id the peers have
   * recorded. */
  machine = mm_machine_table_find(node->machine_table, heartbeat->machine_id.s);
  if (!heartbeat->is_unanswered)
    mm_peer_broadcast_unverified(node->peer_links, &machine->id);
  return machine;
}

/* Answers the heartbeat. A machine that ignores responses gets status 503. Each status 200 would
 * postpone the time at which the machine's lease has certainly expired. Leaders that acquired
 * shards in the meantime would then wait indefinitely for the machine's acknowledgement. */
static void
respond_to_heartbeat(MmHeartbeatServer *server, MmHeartbeat *heartbeat, MmHttpExchange *exchange) {
  MmMachineTable *machine_table = server->node->machine_table;
  MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine_id.s);

  heartbeat->is_unanswered = machine != NULL
                             && mm_machine_health_ignores_responses(machine_table, machine)
                             && heartbeat->fencing_token.v <= machine->acknowledged_term.v;
  if (!heartbeat->is_unanswered || !machine->lease_has_expired)
    machine = record_and_broadcast(server, heartbeat);
  if (heartbeat->is_unanswered) {
    refuse_heartbeat(exchange, "earlier answers were not taken");
    return;
  }
  mm_machine_health_count_own_response(machine_table, machine);
  mm_pending_response_begin(server, heartbeat, machine, exchange);
}

static void
process_heartbeat(MmHeartbeatServer *server, MmHeartbeat *heartbeat, MmHttpExchange *exchange,
                  MmTime received_at) {
  if (!reject_or_defer(server, heartbeat, exchange, received_at))
    respond_to_heartbeat(server, heartbeat, exchange);
}

void
mm_heartbeat_server_receive(MmHeartbeatServer *server, const MmJson *body,
                            MmHttpExchange *exchange) {
  const char *reason = NULL;
  g_auto(MmHeartbeat) heartbeat = { 0 };

  if (!mm_heartbeat_parse(&heartbeat, body, &reason)) {
    const MmJsonError *error = &exchange->body_error;
    mm_info("heartbeat refused machine=%s reason=\"%s\" detail=\"%s\" position=%" G_GSIZE_FORMAT,
            mm_name_is_empty(&heartbeat.machine_id) ? "unknown" : heartbeat.machine_id.s, reason,
            error->reason != NULL ? error->reason : "", error->position);
    mm_http_exchange_respond(exchange, 400, mm_json_error(reason), 0);
  } else
    process_heartbeat(server, &heartbeat, exchange, mm_node_now(server->node));
}

static void
retry_oldest_deferred(MmHeartbeatServer *server) {
  g_autoptr(DeferredHeartbeat) deferred = g_queue_pop_head(server->deferred_heartbeats);

  process_heartbeat(server, &deferred->heartbeat, deferred->exchange, deferred->received_at);
}

void
mm_heartbeat_server_replica_changed(MmHeartbeatServer *server) {
  guint n_deferred = g_queue_get_length(server->deferred_heartbeats);

  track_leadership_transition(server);
  while (n_deferred-- > 0)
    retry_oldest_deferred(server);
}

guint
mm_heartbeat_server_served_machines(const MmHeartbeatServer *server) {
  return server->served_machines;
}

static void
count_served_machines(MmHeartbeatServer *server) {
  MmNode *node = server->node;
  MmTime now = mm_node_now(node);
  gint64 recent_ms = (gint64)(node->settings->heartbeat_interval_s * 3000);

  if (mm_time_ms_since(now, server->machines_counted_at) < MACHINE_COUNT_INTERVAL_MS)
    return;
  server->machines_counted_at = now;
  server->served_machines = 0;
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    server->served_machines += machine->serving_node == MM_SERVING_NODE_SELF
                               && machine->has_reported
                               && mm_time_ms_since(now, machine->last_heartbeat_at) < recent_ms;
  }
}

void
mm_heartbeat_server_tick(MmHeartbeatServer *server) {
  MmTime now = mm_node_now(server->node);

  count_served_machines(server);
  if (leadership_was_in_transition(server)
      && !mm_shard_ownership_is_in_transition(server->node->shard_ownership))
    mm_heartbeat_server_replica_changed(server);
  while (!g_queue_is_empty(server->deferred_heartbeats)) {
    const DeferredHeartbeat *deferred = g_queue_peek_head(server->deferred_heartbeats);
    if (mm_time_ms_since(now, deferred->received_at) < DEFER_MAX_MS)
      break;
    retry_oldest_deferred(server);
  }
  mm_pending_responses_expire(server);
}
