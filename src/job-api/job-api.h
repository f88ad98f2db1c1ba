/* HTTP API for users: submission, status and cancellation of jobs.
 *
 * Responses report only durable state: a job is stored before the 201 response is sent, and a
 * cancellation is stored before it is confirmed. Every request gets exactly one response;
 * mm_job_api_free responds 503 to the requests that are still queued. The API owns the requests in
 * its queues. */
#pragma once

#include "job-api/refusals.h"
#include "node/node.h"

struct MmJobApi {
  MmNode *node;
  /* Queues of waiting MmUserRequest, oldest first. */
  GQueue *awaiting_cancel_acks;  /* until all nodes that may answer workers know the cancellation */
  GQueue *awaiting_dependencies; /* until the states of the job's dependencies are known */
  GQueue *rate_limited; /* until a write that the key-value store rejected (429) is retried */
  /* job-capacity.c: estimated memory of the unfinished jobs in the job table, and memory of the
   * specs of submissions in progress */
  gsize unfinished_jobs_bytes;
  gsize submissions_bytes;
  MmRefusals refusals; /* of submissions */
};

MmJobApi *mm_job_api_new(MmNode *node);
/* Responds 503 to all queued requests, which frees them. */
void mm_job_api_free(MmJobApi *job_api);
/* Retries rate-limited writes, and responds to queued requests that are ready or have timed out. */
void mm_job_api_tick(MmJobApi *job_api);

/* Submits a job. Responds 201 once the job is durable. Submission is idempotent: if the job was
 * submitted before, the response is the status of the job. Responds 400 if the body is malformed,
 * 422 if the job could never run or a dependency is invalid, and 503 if the client is to retry
 * later. */
void mm_job_api_submit(MmNode *node, const MmJson *json, MmHttpExchange *exchange);
/* Responds with the status of a job; 404 if there is no such job, 503 if its status cannot be
 * determined in time. */
void mm_job_api_status(MmNode *node, const char *job_id, MmHttpExchange *exchange);
/* Cancels a job. Responds 200 with the status once the cancellation is durable and effective on all
 * nodes, and also if the job has already ended. Responds 404 if there is no such job, and 503 if
 * the cancellation was not confirmed in time. */
void mm_job_api_cancel(MmNode *node, const char *job_id, MmHttpExchange *exchange);

/* Records that the peer with this index has acknowledged the cancellation of the job, and responds
 * to the requests for which no further acknowledgement is needed. */
void mm_job_api_cancel_acked(MmJobApi *job_api, guint peer, const char *job_id);
