/* Heartbeats of workers and the commands sent to them, and their codec: the only place that knows
 * how they look on the wire. */
#pragma once

#include "base/json.h"

/* A task's state, as reported. */
typedef enum {
  MM_REPORTED_FETCHING,
  MM_REPORTED_WAITING_FOR_GANG,
  MM_REPORTED_RUNNING,
  MM_REPORTED_CHECKPOINTING,
  MM_REPORTED_ENDED
} MmReportedState;
/* Why a task has ended, as reported. */
typedef enum {
  MM_CAUSE_NONE, /* it has not */
  MM_CAUSE_DONE,
  MM_CAUSE_STOPPED,
  MM_CAUSE_GANG_PEER_ENDED,
  MM_CAUSE_GANG_INCOMPLETE,
  MM_CAUSE_ERROR,
  MM_CAUSE_NO_RESOURCES,
  MM_CAUSE_OTHER_ATTEMPT,
  MM_CAUSE_NO_SUCH_TASK
} MmEndCause;

typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  guint8 state; /* MmReportedState */
  guint8 cause; /* MmEndCause */
  gboolean is_checkpointed;
} MmReportedTask;

/* A heartbeat or a direct reply, read from HTTP or from a peer. */
typedef struct {
  MmName machine_id;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmHeartbeatId heartbeat_id;
  MmTerm fencing_token; /* the highest term that the worker has seen */
  gboolean has_termination_notice;
  double termination_notice_s; /* until the cloud may take the machine, in seconds */
  gboolean is_direct_reply;    /* to a direct command: says nothing about starts under way */
  gboolean is_unanswered;      /* the node that received it does not answer it 200 */
  GArray *tasks;               /* MmReportedTask */
} MmHeartbeat;

/* A command for a worker. MM_OP_FORGET: drop the result of a task that has ended. */
typedef enum { MM_OP_START, MM_OP_STOP, MM_OP_FORGET } MmCommandOp;
typedef struct {
  MmCommandOp op;
  MmName job;
  guint number;
  MmAttempt attempt;
  double grace_s; /* MM_OP_STOP: time to save a checkpoint, in seconds */
} MmCommand;

/* Reads a heartbeat from a request's body, which is lent. FALSE with a static reason when it is
 * none. The heartbeat is to be cleared in either case. */
gboolean mm_heartbeat_parse(MmHeartbeat *heartbeat, const json_t *body, const char **reason);
/* Drops the tasks. The heartbeat itself is the caller's. */
void mm_heartbeat_clear(MmHeartbeat *heartbeat);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmHeartbeat, mm_heartbeat_clear)
/* A new reference. */
json_t *mm_command_to_json(const MmCommand *command);
/* The body of a response to a heartbeat: the term as fencing token and MmCommand in their order. A
 * new reference. */
json_t *mm_heartbeat_response_to_json(MmTerm term, const GArray *commands);
