/* The users' interface: submit, status, cancel. */
#pragma once

#include "node/node.h"

struct MmApi {
  MmNode *node;
  GQueue *waiting;   /* requests until all who may answer workers know of the job's cancellation */
  GQueue *undecided; /* questions until it is known how what the job depends on has ended */
  GQueue *paused;    /* requests that wait out a limit of the state service's rate */
};

MmApi *mm_api_new(MmNode *node);
void mm_api_free(MmApi *job_api);
void mm_api_tick(MmApi *job_api);
/* The peer knows that the job is cancelled. */
void mm_api_cancel_acked(MmApi *job_api, guint peer, const char *job_id);
/* submit.c */
void mm_api_submit(MmNode *node, const json_t *json, MmExchange *exchange);
void mm_api_status(MmNode *node, const char *job_id, MmExchange *exchange);
void mm_api_cancel(MmNode *node, const char *job_id, MmExchange *exchange);
