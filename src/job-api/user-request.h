/* A user's request while it is being processed. Used only within the job API.
 *
 * A request is created when it arrives and freed by its response, which every code path must send
 * exactly once. While it waits, one of the queues of MmJobApi or one pending callback owns it. */
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
  MmJobSpec spec;         /* submissions only */
  gsize submission_bytes; /* submissions only: counted in MmJobApi.submissions_bytes */
  MmJson *record;         /* the job record as last read, owned; NULL: not read yet */
  MmTime deadline; /* until when the request may wait for other nodes or the key-value store */
  MmTime cancel_broadcast_at; /* when the cancellation was last broadcast to the other nodes */
  guint next_dependency;      /* submissions: index of the first dependency not looked up yet */
  void (*retry)(MmUserRequest *request); /* step to repeat after a rate-limited write */
  MmTime retry_at;                       /* when to repeat the step */
};

MmUserRequest *mm_user_request_new(MmNode *node, MmHttpExchange *exchange, const char *job_id);
/* Sends the response and frees the request. Takes ownership of `body`. If `retry_after_s` is 0, the
 * response has no Retry-After header. */
void mm_user_request_respond(MmUserRequest *request, int status, MmJson *body, guint retry_after_s);
/* Responds 503 with a Retry-After header, because the key-value store is unavailable, and frees the
 * request. */
void mm_user_request_respond_unavailable(MmUserRequest *request);
/* Handles a write that the key-value store rejected because of its rate limit (429): queues the
 * request so that `retry` is called after a short delay, or responds 503 after too many retries. */
void mm_user_request_retry_after_rate_limit(MmUserRequest *request,
                                            void (*retry)(MmUserRequest *request));
/* Returns whether the key-value store currently refuses or does not answer this node's requests, so
 * that sending another request to the store would only delay the response to the user. */
gboolean mm_user_request_kv_is_unavailable(const MmNode *node);
