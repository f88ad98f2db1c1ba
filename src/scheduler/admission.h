/* Admission of start requests: which task, if any, the shard leader starts on a machine that has
 * free resources. A request comes from the node that answers the machine's heartbeat, which may be
 * this one. */
#pragma once

#include "placement/candidates.h"
#include "scheduler/scheduler.h"

/* A message between nodes, see peers.proto. */
typedef struct Mm__StartRequest Mm__StartRequest;

typedef struct {
  MmMachine *machine;
  MmHeartbeatId heartbeat_id; /* of the heartbeat whose response would carry the start */
  MmResources free_resources; /* lowered by the admission to what is free as seen here */
  gboolean is_local; /* from this node, which has already subtracted the resources reserved for
                        gangs */
  gboolean is_pull;  /* any task will do */
  guint n_tasks;
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX]; /* candidates, the preferred ones first */
} MmStartRequest;

/* A start to be sent with the response to the heartbeat. */
typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmName shard;
  MmTerm term;           /* of the shard */
  gboolean was_reserved; /* its resources had been reserved for it, as for a gang's member */
} MmApproval;

/* TRUE with an approval when a task is placed on the machine. FALSE changes no task, but may remove
 * tasks from kept lists. */
gboolean mm_scheduler_approve_start(MmScheduler *scheduler, MmStartRequest *request,
                                    MmApproval *approval);
/* Answers a peer's start request; `peer` is the index of the peer. */
void mm_scheduler_peer_start_request(MmScheduler *scheduler, guint peer,
                                     const Mm__StartRequest *message);
/* An attempt that no node has ever used, under the shard's term. */
MmAttempt mm_scheduler_next_attempt(MmScheduler *scheduler, const MmLedShard *shard);
