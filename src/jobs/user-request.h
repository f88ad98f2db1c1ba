/* One request of a user while it is worked on: within the users' interface only. */
#pragma once

#include "jobs/job-table.h"
#include "node/node.h"

typedef struct MmUserRequest MmUserRequest;
struct MmUserRequest {
  MmNode *node;
  MmHttpExchange *exchange;
  MmName job_id;
  gboolean is_cancellation;
  guint n_retries;
  MmJobSpec spec;
  gint64 submitted_at_ms;
  json_t *record;  /* the job's record as last read */
  MmTime deadline; /* while it waits for what other nodes or the state service are to say, */
  MmTime cancel_announced_at; /* and when the others were last told of a cancellation */
  guint
      next_dependency; /* submission: the first job that it depends on and that is not found yet */
  void (*resume)(MmUserRequest *call); /* what to go on with after a pause, */
  MmTime resume_at;                    /* and when */
};

MmUserRequest *mm_user_request_new(MmNode *node, MmHttpExchange *exchange, const char *job_id);
/* Answers the request and frees the call. Takes the body. */
void mm_user_request_respond(MmUserRequest *request, int status, json_t *body, guint retry_after_s);
/* The final answer of this request: come again later. */
void mm_user_request_respond_unavailable(MmUserRequest *request);
/* The state service has said 429 to the call's write: goes on with `resume` a moment later, or
 * gives up after a few times. */
void mm_user_request_wait_out_rate_limit(MmUserRequest *request,
                                         void (*resume)(MmUserRequest *call));
/* Whether the state service refuses this node at the moment: asking it would only take time. */
gboolean mm_user_request_kv_is_refusing(const MmNode *node);
/* Answers with the job's state, read from its record. */
void mm_user_request_answer_from_record(MmUserRequest *request);
/* Answers with the job's state as the replica shows it, once that is as new as the question. */
void mm_user_request_answer_from_replica(MmUserRequest *request);
