#include "job-api/job-api.h"

#include "job-api/job-cancellation.h"
#include "job-api/job-status.h"
#include "job-api/user-request.h"

MmJobApi *
mm_job_api_new(MmNode *node) {
  MmJobApi *job_api = g_new0(MmJobApi, 1);

  job_api->node = node;
  job_api->awaiting_cancel_acks = g_queue_new();
  job_api->awaiting_dependencies = g_queue_new();
  job_api->rate_limited = g_queue_new();
  return job_api;
}

static void
respond_all_unavailable(GQueue *requests) {
  MmUserRequest *request;

  while ((request = g_queue_pop_head(requests)) != NULL)
    mm_user_request_respond_unavailable(request);
}

void
mm_job_api_free(MmJobApi *job_api) {
  respond_all_unavailable(job_api->awaiting_cancel_acks);
  respond_all_unavailable(job_api->awaiting_dependencies);
  respond_all_unavailable(job_api->rate_limited);
  g_queue_free(job_api->rate_limited);
  g_queue_free(job_api->awaiting_cancel_acks);
  g_queue_free(job_api->awaiting_dependencies);
  g_free(job_api);
}

static void
retry_rate_limited_requests(MmJobApi *job_api) {
  MmTime now = mm_node_now(job_api->node);

  /* Every request waits for the same delay, so the queue is ordered by retry_at. */
  while (!g_queue_is_empty(job_api->rate_limited)) {
    MmUserRequest *request = g_queue_peek_head(job_api->rate_limited);
    if (mm_time_before(now, request->retry_at))
      return;
    g_queue_pop_head(job_api->rate_limited);
    request->retry(request);
  }
}

void
mm_job_api_tick(MmJobApi *job_api) {
  retry_rate_limited_requests(job_api);
  mm_job_status_tick(job_api);
  mm_job_cancellation_tick(job_api);
}
