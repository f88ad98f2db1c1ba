/* Admission of start requests: the shard leader decides which task, if any, to start on a machine
 * that has free resources. A request comes from the node that answers the machine's heartbeats,
 * which may be this node. */
#pragma once

#include "placement/candidates.h"
#include "scheduler/scheduler.h"

/* A message between nodes, defined in peers.proto. */
typedef struct Mm__StartRequest Mm__StartRequest;

/* A request to start one task on a machine. */
typedef struct {
  MmMachine *machine;         /* borrowed */
  MmHeartbeatId heartbeat_id; /* of the heartbeat whose response would carry the start */
  /* Input: the resources that the requesting node considers free. mm_scheduler_approve_start
   * reduces them to the resources that this node also considers free. */
  MmResources free_resources;
  /* The request was made by this node, which has already subtracted the resources reserved for
   * gangs. */
  gboolean is_local;
  gboolean is_pull; /* asks for any task, not only the candidates */
  guint n_tasks;
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX]; /* candidates, the preferred ones first */
} MmStartRequest;

/* An approved start, to be sent in the response to the heartbeat. */
typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmName shard;
  MmTerm term;           /* of the shard */
  gboolean was_reserved; /* the task is of a gang and had a reserved place */
} MmApproval;

/* Places a task on the request's machine, sets `approval` and returns TRUE. Returns FALSE when no
 * task may start there. In this case no task has changed, but retained candidates may have been
 * removed. */
gboolean mm_scheduler_approve_start(MmScheduler *scheduler, MmStartRequest *request,
                                    MmApproval *approval);
/* Answers a start request from the peer with index `peer`. */
void mm_scheduler_peer_start_request(MmScheduler *scheduler, guint peer,
                                     const Mm__StartRequest *message);
/* Returns an attempt number that no node has ever used. The number contains the term of the
 * shard. */
MmAttempt mm_scheduler_next_attempt(MmScheduler *scheduler, const MmLedShard *shard);
