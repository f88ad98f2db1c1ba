/* Handles heartbeats received over HTTP. Decides whether this node answers a heartbeat at once,
 * later or not at all, and to which node a worker is redirected.
 *
 * A heartbeat is answered only while the node lease permits it, and only with a term that is not
 * lower than the worker's term. The heartbeat is recorded and broadcast to the peers before it is
 * answered, because the response renews the machine's lease. Every exchange is answered exactly
 * once.
 *
 * Owns the deferred heartbeats and the table of pending responses (pending-response.h). */
#pragma once

#include "node/node.h"

struct MmHeartbeatServer {
  MmNode *node;
  /* Request id -> MmPendingResponse. Each key points to the field `request_id` of its value. */
  GHashTable *pending_responses;
  guint64 last_request_id; /* id of the last request sent to a peer */
  /* Heartbeats whose fencing token is newer than the replica's term, or that arrived during a
   * leadership transition. */
  GQueue *deferred_heartbeats;
  /* Start of the current leadership transition, the period in which shards change leaders. Value 0
   * means that there is no transition. */
  MmTime leadership_transition_since;
  MmTime last_redirect_at;
  MmTime machines_counted_at;
  guint served_machines;
  GHashTable *jobs_being_confirmed; /* ids of jobs whose terminal record is being read */
};

/* Creates the server. `node` must outlive the server. */
MmHeartbeatServer *mm_heartbeat_server_new(MmNode *node);
/* Frees the server after answering all deferred and pending heartbeats with status 503. */
void mm_heartbeat_server_free(MmHeartbeatServer *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmHeartbeatServer, mm_heartbeat_server_free)
/* Updates the count of served machines, processes deferred heartbeats that are due and ends pending
 * responses whose deadline has passed. */
void mm_heartbeat_server_tick(MmHeartbeatServer *server);
/* Handles a received heartbeat. `body` is borrowed. The exchange is answered exactly once, during
 * the call or later. */
void mm_heartbeat_server_receive(MmHeartbeatServer *server, const MmJson *body,
                                 MmHttpExchange *exchange);
/* Processes the deferred heartbeats again. Called after the replica has changed. */
void mm_heartbeat_server_replica_changed(MmHeartbeatServer *server);
/* Returns whether heartbeats are being deferred because shards are changing leaders. During that
 * time the term is about to rise, so a term sent to workers now would soon be outdated. */
gboolean mm_heartbeat_server_awaits_leadership_transition(const MmHeartbeatServer *server);
/* Returns the number of machines that send their heartbeats to this node. */
guint mm_heartbeat_server_served_machines(const MmHeartbeatServer *server);
