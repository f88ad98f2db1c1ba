/* Responses to heartbeats under construction: the starts that shard leaders approve for the
 * machine, one start request after another, the grants of the machine's resources by the owner of
 * its group, and the commands that go with them.
 *
 * Starts travel only in responses to heartbeats, never in direct commands: a response is never
 * carried out late, while a direct command may be. An approval is valid for the one response it was
 * requested for.
 *
 * A pending response frees itself as it answers its exchange, exactly once. While it waits for a
 * peer it stands in MmHeartbeatServer.pending_responses, until its deadline. */
#pragma once

#include "heartbeat-server/heartbeat-server.h"
#include "machines/machine-table.h"
#include "placement/candidates.h"
#include "sharing/sharing.h"

/* Messages of peers.proto. */
typedef struct Mm__StartResponse Mm__StartResponse;
typedef struct Mm__GrantResponse Mm__GrantResponse;

/* A start that the shard's leader has approved. */
typedef struct {
  MmCommand command;
  MmName shard;
  MmTerm shard_term; /* the leader's, as it approved */
} MmApprovedStart;

typedef struct {
  MmHeartbeatServer *server;
  MmHttpExchange *exchange;
  MmName machine_id;
  MmHeartbeatId heartbeat_id;
  MmResources available;    /* what is left of the machine's resources */
  GArray *approved_starts;  /* MmApprovedStart */
  GArray *tried_tasks;      /* MmTaskRef: requested without success */
  MmPlacementChoice choice; /* the start request under way */
  guint exhausted_views;    /* bit set of placement views that have nothing more to offer */
  guint failed_requests;
  guint64 request_id; /* of the request to a peer under way */
  MmTime deadline;
  MmGrantSource grant_source; /* who grants the machine's resources, */
  guint grant_peer;           /* which peer that is, */
  MmTerm grant_term;          /* and under which term it owns the machine's group */
  gboolean awaits_grants;     /* the request under way is a grant request */
} MmPendingResponse;

/* Begins the response to a recorded heartbeat; the exchange is answered once, now or later. */
void mm_pending_response_begin(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                               MmMachine *machine, MmHttpExchange *exchange);
/* A peer's response to a start request. */
void mm_pending_response_handle_start_response(MmHeartbeatServer *server, guint peer,
                                               const Mm__StartResponse *reply);
/* The group's owner has answered which of the approved starts may have their resources. */
void mm_pending_response_handle_grant_response(MmHeartbeatServer *server, guint peer,
                                               const Mm__GrantResponse *reply);
/* Sends what has been approved and granted so far in each response whose deadline has passed. */
void mm_pending_responses_expire(MmHeartbeatServer *server);
/* Answers all with 503: the node ends. */
void mm_pending_responses_refuse_all(MmHeartbeatServer *server);
