/* The users' interface: submission, status and cancellation of jobs.
 *
 * A user learns nothing that is not durable: a job is written before the 201, a cancellation before
 * it is confirmed. Each request gets exactly one response; freeing the API answers all that still
 * wait with 503. The API owns the requests in its queues. */
#pragma once

#include "node/node.h"

struct MmJobApi {
  MmNode *node;
  /* Queues of MmUserRequest, oldest first. */
  GQueue *awaiting_cancel_acks; /* until each node that may answer workers knows the cancellation */
  GQueue *awaiting_dependencies; /* until it is known how the job's dependencies ended */
  GQueue *rate_limited;          /* until the key-value store's rate limit may have passed */
};

MmJobApi *mm_job_api_new(MmNode *node);
void mm_job_api_free(MmJobApi *job_api);
void mm_job_api_tick(MmJobApi *job_api);

/* Responds 201 once the job is durable, or as for its status if it was submitted before (a repeated
 * submission is idempotent); 400 malformed, 422 it could never run, 503 come again. */
void mm_job_api_submit(MmNode *node, const json_t *json, MmHttpExchange *exchange);
void mm_job_api_status(MmNode *node, const char *job_id, MmHttpExchange *exchange);
void mm_job_api_cancel(MmNode *node, const char *job_id, MmHttpExchange *exchange);

/* The peer, by its index, has acknowledged the job's cancellation. */
void mm_job_api_cancel_acked(MmJobApi *job_api, guint peer, const char *job_id);
