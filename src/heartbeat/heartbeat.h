/* Heartbeats of workers and commands to workers, and the encoding and decoding of both. No other
 * module depends on the wire format of heartbeats and commands. */
#pragma once

#include "base/json.h"

/* State of a task as reported by the worker. */
typedef enum {
  MM_REPORTED_FETCHING,
  MM_REPORTED_WAITING_FOR_GANG,
  MM_REPORTED_RUNNING,
  MM_REPORTED_CHECKPOINTING,
  MM_REPORTED_ENDED
} MmReportedState;
/* Reason why a task ended, as reported by the worker. */
typedef enum {
  MM_CAUSE_NONE, /* the task has not ended */
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

/* A heartbeat or a direct reply, received over HTTP or forwarded by a peer. */
typedef struct {
  MmName machine_id;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmHeartbeatId heartbeat_id;
  MmTerm fencing_token; /* highest term that the worker has seen */
  gboolean has_termination_notice;
  /* Time until the cloud may reclaim the machine, in seconds. */
  double termination_notice_s;
  /* TRUE if the message is the reply to a direct command. A direct reply does not show whether the
   * starts in a pending heartbeat response were executed. */
  gboolean is_direct_reply;
  /* TRUE if the node that received the heartbeat does not answer it with status 200. */
  gboolean is_unanswered;
  GArray *tasks; /* elements: MmReportedTask */
} MmHeartbeat;

/* Kind of a command for a worker. MM_OP_FORGET makes the worker discard the result of an ended
 * task. */
typedef enum { MM_OP_START, MM_OP_STOP, MM_OP_FORGET } MmCommandOp;
typedef struct {
  MmCommandOp op;
  MmName job;
  guint number;
  MmAttempt attempt;
  double grace_s; /* MM_OP_STOP: time allowed for saving a checkpoint, in seconds */
} MmCommand;

/* Parses a heartbeat from the body of a request. `body` is borrowed. If the body is not a valid
 * heartbeat, returns FALSE and sets `reason` to a static string. The caller must clear the
 * heartbeat whether or not parsing succeeded. */
gboolean mm_heartbeat_parse(MmHeartbeat *heartbeat, const MmJson *body, const char **reason);
/* Frees the heartbeat's tasks. The MmHeartbeat itself stays owned by the caller. */
void mm_heartbeat_clear(MmHeartbeat *heartbeat);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmHeartbeat, mm_heartbeat_clear)
/* Returns the command as JSON, as a new reference. */
MmJson *mm_command_to_json(const MmCommand *command);
/* Returns the body of a heartbeat response as a new reference. The body contains the term as the
 * fencing token, and the commands (elements: MmCommand) in the given order. */
MmJson *mm_heartbeat_response_to_json(MmTerm term, const GArray *commands);
