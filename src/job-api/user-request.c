#include "job-api/user-request.h"

#include "job-api/job-api.h"
#include "job-api/job-capacity.h"
#include "kv/kv-client.h"

/* Time after a 503 response for which the key-value store is considered to refuse requests. */
#define KV_REFUSAL_VALIDITY_MS 500
/* Delay and maximum number of retries after the key-value store has rejected a write because of its
 * rate limit (429). */
#define RATE_LIMIT_RETRY_DELAY_MS 250
#define RATE_LIMIT_MAX_RETRIES 3
/* Retry-After of a 503 response, in seconds: REFUSED_RETRY_AFTER_S while the key-value store
 * refuses requests, UNAVAILABLE_RETRY_AFTER_S otherwise. */
#define REFUSED_RETRY_AFTER_S 2
#define UNAVAILABLE_RETRY_AFTER_S 1

MmUserRequest *
mm_user_request_new(MmNode *node, MmHttpExchange *exchange, const char *job_id) {
  MmUserRequest *request = g_new0(MmUserRequest, 1);

  request->node = node;
  request->exchange = exchange;
  request->job_id = mm_name(job_id);
  return request;
}

void
mm_user_request_respond(MmUserRequest *request, int status, MmJson *body, guint retry_after_s) {
  mm_http_exchange_respond(request->exchange, status, body, retry_after_s);
  mm_job_capacity_remove_submission(request->node->job_api, request->submission_bytes);
  mm_job_spec_clear(&request->spec);
  mm_json_unref(request->record);
  g_free(request);
}

gboolean
mm_user_request_kv_is_unavailable(const MmNode *node) {
  return mm_kv_client_is_unresponsive(node->kv)
         || (mm_kv_client_is_refused(node->kv)
             && mm_time_ms_since(mm_node_now(node), node->kv->last_refused_at)
                    < KV_REFUSAL_VALIDITY_MS);
}

void
mm_user_request_respond_unavailable(MmUserRequest *request) {
  mm_user_request_respond(request, 503, mm_json_error("the state service does not answer"),
                          mm_kv_client_is_refused(request->node->kv) ? REFUSED_RETRY_AFTER_S
                                                                     : UNAVAILABLE_RETRY_AFTER_S);
}

void
mm_user_request_retry_after_rate_limit(MmUserRequest *request,
                                       void (*retry)(MmUserRequest *request)) {
  if (++request->n_retries > RATE_LIMIT_MAX_RETRIES) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  request->retry = retry;
  request->retry_at = mm_time_add_ms(mm_node_now(request->node), RATE_LIMIT_RETRY_DELAY_MS);
  g_queue_push_tail(request->node->job_api->rate_limited, request);
}
