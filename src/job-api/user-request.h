/* A user's request while it is worked on: within the job API only.
 *
 * A request is created when it comes in and freed with its response, which every path must give
 * exactly once. While it waits, one of MmJobApi's queues or one pending callback owns it. */
#pragma once

#include "jobs/job-spec.h"
#include "node/node.h"

typedef struct MmUserRequest MmUserRequest;
struct MmUserRequest {
  MmNode *node;
  MmHttpExchange *exchange;
  MmName job_id;
  gboolean is_cancellation;
  guint n_retries;
  MmJobSpec spec;             /* submission */
  json_t *record;             /* the job record as last read, owned; NULL: not read */
  MmTime deadline;            /* until when it may wait for other nodes or the key-value store */
  MmTime cancel_announced_at; /* when the cancellation was last announced to the other nodes */
  guint next_dependency;      /* submission: index of the first dependency not found yet */
  void (*resume)(MmUserRequest *request); /* the step to repeat after a rate limit, */
  MmTime resume_at;                       /* and when */
};

MmUserRequest *mm_user_request_new(MmNode *node, MmHttpExchange *exchange, const char *job_id);
/* Responds and frees the request. Takes the body. `retry_after_s` 0: no such header. */
void mm_user_request_respond(MmUserRequest *request, int status, json_t *body, guint retry_after_s);
/* Responds 503: the key-value store can't be reached, come again later. Frees the request. */
void mm_user_request_respond_unavailable(MmUserRequest *request);
/* The key-value store refused the request's write for its rate limit (429): calls `resume` a moment
 * later, or responds 503 after a few such refusals. */
void mm_user_request_wait_out_rate_limit(MmUserRequest *request,
                                         void (*resume)(MmUserRequest *request));
/* Whether the key-value store refuses or ignores this node now: a request to it would only take
 * time. */
gboolean mm_user_request_kv_is_refusing(const MmNode *node);
