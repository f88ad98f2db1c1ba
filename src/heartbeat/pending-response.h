/* Answers to workers' reports while they are put together: the starts that owners approve for the
 * machine, one request after another, and the commands that go with them.
 *
 * Starts travel only in answers to reports, never in direct commands: an answer is never carried
 * out late, while a direct command may be. An approval is good for the one answer it was asked for.
 */
#pragma once

#include "heartbeat/heartbeat-server.h"
#include "machines/machine-table.h"
#include "placement/candidates.h"
#include "sharing/sharing.h"

/* A start that its owner has approved. */
typedef struct {
  MmCommand command;
  MmName shard;
  MmTerm shard_term;
} MmApprovedStart;

typedef struct {
  MmHeartbeatServer *server;
  MmHttpExchange *exchange;
  MmName machine_id;
  MmHeartbeatId heartbeat_id;
  MmResources available;
  GArray *approved_starts; /* Start */
  GArray *tried_tasks;     /* MmTaskRef */
  MmPlacementChoice choice;
  guint exhausted_views;
  guint failed_requests;
  guint64 request_id;
  MmTime deadline;
  MmGrantSource grant_source; /* who grants the machine's resources, */
  guint grant_peer;           /* which peer that is, */
  MmTerm grant_term;          /* and under which term it owns the machine's group */
  gboolean awaits_grants;     /* the approved starts are being asked for there */
} MmPendingResponse;

/* Begins the answer to a report that was taken in; the exchange is answered once, now or later. */
void mm_pending_response_begin(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                               MmMachine *machine, MmHttpExchange *exchange);
/* The group's owner has said which of the approved starts may have their resources. */
void mm_pending_response_grants_answered(MmHeartbeatServer *server, guint peer,
                                         const Mm__GrantResponse *reply);
/* Sends what there is to all whose time is up. */
void mm_pending_responses_expire(MmHeartbeatServer *server);
/* Answers all 503: the node ends. */
void mm_pending_responses_refuse_all(MmHeartbeatServer *server);

/* Adds commands for those of the tasks that have to go, whoever owns their shards. */
void mm_heartbeat_server_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                              json_t *commands);
/* Answers 200 with the replica's term. Takes the commands. */
void mm_heartbeat_server_send_commands(const MmNode *node, MmHttpExchange *exchange,
                                       json_t *commands);
