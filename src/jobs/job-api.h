/* The users' interface: submit, status, cancel. */
#pragma once

#include "node/node.h"

struct MmJobApi {
  MmNode *node;
  GQueue *awaiting_cancel_acks; /* requests until all who may answer workers know of the job's
                                   cancellation */
  GQueue *
      awaiting_dependencies; /* questions until it is known how what the job depends on has ended */
  GQueue *rate_limited;      /* requests that wait out a limit of the state service's rate */
};

MmJobApi *mm_job_api_new(MmNode *node);
void mm_job_api_free(MmJobApi *job_api);
void mm_job_api_tick(MmJobApi *job_api);
/* The peer knows that the job is cancelled. */
void mm_job_api_cancel_acked(MmJobApi *job_api, guint peer, const char *job_id);
/* submission.c */
void mm_job_api_submit(MmNode *node, const json_t *json, MmHttpExchange *exchange);
void mm_job_api_status(MmNode *node, const char *job_id, MmHttpExchange *exchange);
void mm_job_api_cancel(MmNode *node, const char *job_id, MmHttpExchange *exchange);
