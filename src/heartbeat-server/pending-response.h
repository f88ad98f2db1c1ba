/* Heartbeat responses under construction. A response collects three things: the starts for the
 * machine, for which one start request after another is made to shard leaders; the grants of the
 * machine's resources, given by the owner of the machine's group; and further commands.
 *
 * Starts are sent only in heartbeat responses, never as direct commands. The reason is that a
 * worker never executes a heartbeat response late but may execute a direct command late. An
 * approval is valid only for the response for which it was requested.
 *
 * A pending response answers its exchange exactly once and is freed then. While a pending response
 * waits for a peer, it is listed in MmHeartbeatServer.pending_responses. The wait ends at the
 * response's deadline at the latest. */
#pragma once

#include "heartbeat-server/heartbeat-server.h"
#include "machines/machine-table.h"
#include "placement/candidates.h"
#include "sharing/sharing.h"

/* Messages defined in peers.proto. */
typedef struct Mm__StartResponse Mm__StartResponse;
typedef struct Mm__GrantResponse Mm__GrantResponse;

/* A start approved by the leader of the task's shard. */
typedef struct {
  MmCommand command;
  MmName shard;
  MmTerm shard_term; /* term of the shard's leader at approval */
} MmApprovedStart;

typedef struct {
  MmHeartbeatServer *server;
  MmHttpExchange *exchange;
  MmName machine_id;
  MmHeartbeatId heartbeat_id;
  MmResources available;    /* the machine's resources left for further starts */
  GArray *approved_starts;  /* elements: MmApprovedStart */
  GArray *tried_tasks;      /* elements: MmTaskRef; tasks of refused start requests */
  MmPlacementChoice choice; /* current start request */
  guint exhausted_views;    /* bit k is set if placement view k has no further tasks */
  guint failed_requests;
  guint64 request_id; /* id of the current request to a peer */
  MmTime deadline;
  MmGrantSource grant_source; /* which node grants the machine's resources */
  guint grant_peer;           /* index of the granting peer; see mm_sharing_grant_source() */
  MmTerm grant_term;          /* term under which the granting node owns the machine's group */
  gboolean awaits_grants;     /* the current request is a grant request */
} MmPendingResponse;

/* Begins the response to a recorded heartbeat. The exchange is answered exactly once, during the
 * call or later. */
void mm_pending_response_begin(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                               MmMachine *machine, MmHttpExchange *exchange);
/* Handles a peer's response to a start request. Responses that are no longer expected are
 * ignored. */
void mm_pending_response_handle_start_response(MmHeartbeatServer *server, guint peer,
                                               const Mm__StartResponse *reply);
/* Handles a grant response of the group's owner. The response says for each approved start whether
 * the start is granted resources. Responses that are no longer expected are ignored. */
void mm_pending_response_handle_grant_response(MmHeartbeatServer *server, guint peer,
                                               const Mm__GrantResponse *reply);
/* Ends the wait of each pending response whose deadline has passed. A response that waits for an
 * approval continues with the starts approved so far. A response that waits for grants is sent
 * without starts. */
void mm_pending_responses_expire(MmHeartbeatServer *server);
/* Answers and frees all pending responses, with status 503. Called when the node shuts down. */
void mm_pending_responses_refuse_all(MmHeartbeatServer *server);
