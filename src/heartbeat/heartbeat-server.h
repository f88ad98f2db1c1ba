/* Dealings with workers: who may answer a report, and what the answer carries. */
#pragma once

#include "node/node.h"
#include "peers.pb-c.h"

struct MmHeartbeatServer {
  MmNode *node;
  GHashTable *pending_responses; /* id of the request to a peer -> MmPendingResponse */
  guint64 last_request_id;
  /* Reports that show a newer term than the replica does, or came while parts changed hands: */
  GQueue *deferred_heartbeats;
  MmTime
      ownership_unsettled_since; /* since when parts are about to change hands; 0: they are not */
  MmTime last_redirect_at;
  MmTime machines_counted_at;
  guint served_machines;
  GHashTable *jobs_being_confirmed; /* jobs whose final state is being read */
};

MmHeartbeatServer *mm_heartbeat_server_new(MmNode *node);
void mm_heartbeat_server_free(MmHeartbeatServer *server);
void mm_heartbeat_server_tick(MmHeartbeatServer *server);
void mm_heartbeat_server_receive(MmHeartbeatServer *server, const json_t *body,
                                 MmHttpExchange *exchange);
void mm_heartbeat_server_replica_changed(MmHeartbeatServer *server);
/* A peer's answer to a request for approval. */
void mm_pending_response_start_answered(MmHeartbeatServer *server, guint peer,
                                        const Mm__StartResponse *reply);
/* Parts are changing hands at the moment: what is told of terms now would soon be old. */
gboolean mm_heartbeat_server_is_settling(const MmHeartbeatServer *server);
/* Machines that report to this node. */
guint mm_heartbeat_server_served_machines(const MmHeartbeatServer *server);
