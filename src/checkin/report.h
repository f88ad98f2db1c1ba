/* What workers report and are commanded, as it is on the wire. */
#pragma once

#include "base/json.h"

/* A task's state and its cause of ending, as reported. */
typedef enum {
  MM_SEEN_FETCHING,
  MM_SEEN_WAITING,
  MM_SEEN_RUNNING,
  MM_SEEN_SAVING,
  MM_SEEN_ENDED
} MmSeenState;
typedef enum {
  MM_CAUSE_NONE,
  MM_CAUSE_DONE,
  MM_CAUSE_STOPPED,
  MM_CAUSE_PEERS,
  MM_CAUSE_ALONE,
  MM_CAUSE_ERROR,
  MM_CAUSE_NO_ROOM,
  MM_CAUSE_BUSY,
  MM_CAUSE_UNKNOWN
} MmCause;

typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  guint8 state;
  guint8 cause;
  gboolean saved;
} MmSeenTask;

/* One report, read from HTTP or from a peer. */
typedef struct {
  MmName machine;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean spot;
  MmHeartbeatId stamp;
  MmTerm token;
  gboolean warned;
  double notice_s;
  gboolean direct;     /* the answer to a direct command: says nothing about starts under way */
  gboolean unanswered; /* the node that heard it does not answer it 200 */
  GArray *tasks;       /* MmSeenTask */
} MmReport;

/* A command for a worker. */
typedef enum { MM_OP_START, MM_OP_STOP, MM_OP_FORGET } MmOp;
typedef struct {
  MmOp op;
  MmName job;
  guint number;
  MmAttempt attempt;
  double grace_s;
} MmCommand;

/* FALSE with a reason when the body is no report; to be cleared all the same. */
gboolean mm_report_parse(MmReport *heartbeat, const json_t *body, const char **reason);
void mm_report_clear(MmReport *heartbeat);
json_t *mm_command_to_json(const MmCommand *command);
