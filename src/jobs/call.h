/* One request of a user while it is worked on: within the users' interface only. */
#pragma once

#include "jobs/job-table.h"
#include "node/node.h"

typedef struct MmCall MmCall;
struct MmCall {
  MmNode *node;
  MmExchange *exchange;
  MmName id;
  gboolean cancel;
  guint tries;
  MmSpec spec;
  gint64 at_ms;
  json_t *record;  /* the job's record as last read */
  MmTime deadline; /* while it waits for what other nodes or the state service are to say, */
  MmTime told;     /* and when the others were last told of a cancellation */
  guint next_need; /* submission: the first job that it depends on and that is not found yet */
  void (*resume)(MmCall *call); /* what to go on with after a pause, */
  MmTime resume_at;             /* and when */
};

MmCall *mm_call_new(MmNode *node, MmExchange *exchange, const char *job_id);
/* Answers the request and frees the call. Takes the body. */
void mm_call_finish(MmCall *request, int status, json_t *body, guint retry_after_s);
/* The final answer of this request: come again later. */
void mm_call_give_up(MmCall *request);
/* The state service has said 429 to the call's write: goes on with `resume` a moment later, or
 * gives up after a few times. */
void mm_call_wait_out_limit(MmCall *request, void (*resume)(MmCall *call));
/* Whether the state service refuses this node at the moment: asking it would only take time. */
gboolean mm_call_is_refused_now(const MmNode *node);
/* Answers with the job's state, read from its record. */
void mm_call_look_up(MmCall *request);
/* Answers with the job's state as the replica shows it, once that is as new as the question. */
void mm_call_answer_when_current(MmCall *request);
