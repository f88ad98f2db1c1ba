/* Heartbeats over HTTP: whether this node may answer one, now or later, and who else should.
 *
 * A heartbeat is answered only while the node lease allows it and with a term that is not older
 * than the worker's; it is recorded and broadcast to the peers before it is answered, since the
 * response renews the machine's lease. Every exchange is answered exactly once.
 *
 * Owns the deferred heartbeats and the table of pending responses (pending-response.h). */
#pragma once

#include "node/node.h"

struct MmHeartbeatServer {
  MmNode *node;
  GHashTable *pending_responses; /* request id -> MmPendingResponse; keys lie in the values */
  guint64 last_request_id;       /* of requests to peers */
  /* Heartbeats with a newer term than the replica's, or received while shards change leaders: */
  GQueue *deferred_heartbeats;
  /* Since when shards are about to change leaders; 0: they are not. */
  MmTime ownership_unsettled_since;
  MmTime last_redirect_at;
  MmTime machines_counted_at;
  guint served_machines;
  GHashTable *jobs_being_confirmed; /* ids of jobs whose terminal record is being read */
};

/* The node must outlive the server. */
MmHeartbeatServer *mm_heartbeat_server_new(MmNode *node);
/* Answers everything that is deferred or pending with 503. */
void mm_heartbeat_server_free(MmHeartbeatServer *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmHeartbeatServer, mm_heartbeat_server_free)
void mm_heartbeat_server_tick(MmHeartbeatServer *server);
/* A heartbeat came in. `body` is lent; the exchange is answered once, now or later. */
void mm_heartbeat_server_receive(MmHeartbeatServer *server, const json_t *body,
                                 MmHttpExchange *exchange);
/* The replica shows a newer state: deferred heartbeats are tried again. */
void mm_heartbeat_server_replica_changed(MmHeartbeatServer *server);
/* Whether shards are changing leaders: a term sent to workers now would soon be outdated. */
gboolean mm_heartbeat_server_is_settling(const MmHeartbeatServer *server);
/* How many machines send their heartbeats to this node. */
guint mm_heartbeat_server_served_machines(const MmHeartbeatServer *server);
