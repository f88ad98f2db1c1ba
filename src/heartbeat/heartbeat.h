/* What workers report and are commanded, as it is on the wire. */
#pragma once

#include "base/json.h"

/* A task's state and its cause of ending, as reported. */
typedef enum {
  MM_REPORTED_FETCHING,
  MM_REPORTED_WAITING_FOR_GANG,
  MM_REPORTED_RUNNING,
  MM_REPORTED_CHECKPOINTING,
  MM_REPORTED_ENDED
} MmReportedState;
typedef enum {
  MM_CAUSE_NONE,
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
  guint8 state;
  guint8 cause;
  gboolean is_checkpointed;
} MmReportedTask;

/* One report, read from HTTP or from a peer. */
typedef struct {
  MmName machine_id;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmHeartbeatId heartbeat_id;
  MmTerm fencing_token;
  gboolean has_termination_notice;
  double termination_notice_s;
  gboolean
      is_direct_reply;    /* the answer to a direct command: says nothing about starts under way */
  gboolean is_unanswered; /* the node that heard it does not answer it 200 */
  GArray *tasks;          /* MmReportedTask */
} MmHeartbeat;

/* A command for a worker. */
typedef enum { MM_OP_START, MM_OP_STOP, MM_OP_FORGET } MmCommandOp;
typedef struct {
  MmCommandOp op;
  MmName job;
  guint number;
  MmAttempt attempt;
  double grace_s;
} MmCommand;

/* FALSE with a reason when the body is no report; to be cleared all the same. */
gboolean mm_heartbeat_parse(MmHeartbeat *heartbeat, const json_t *body, const char **reason);
void mm_heartbeat_clear(MmHeartbeat *heartbeat);
json_t *mm_command_to_json(const MmCommand *command);
