#include "job-api/user-request.h"

#include "job-api/job-api.h"
#include "kv/kv-client.h"

/* For so long after a refusal the key-value store is taken to refuse. */
#define KV_REFUSAL_MEMORY_MS 500
/* After a write that the key-value store refused for its rate limit. */
#define RATE_LIMIT_PAUSE_MS 250
#define RATE_LIMIT_MAX_RETRIES 3
/* The Retry-After of a 503. */
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
mm_user_request_respond(MmUserRequest *request, int status, json_t *body, guint retry_after_s) {
  mm_http_exchange_respond(request->exchange, status, body, retry_after_s);
  mm_job_spec_clear(&request->spec);
  json_decref(request->record);
  g_free(request);
}

gboolean
mm_user_request_kv_is_refusing(const MmNode *node) {
  return mm_kv_client_is_silent(node->kv)
         || (mm_kv_client_is_refused(node->kv)
             && mm_time_ms_since(mm_node_now(node), node->kv->last_refused_at)
                    < KV_REFUSAL_MEMORY_MS);
}

void
mm_user_request_respond_unavailable(MmUserRequest *request) {
  mm_user_request_respond(request, 503, mm_json_error("the state service does not answer"),
                          mm_kv_client_is_refused(request->node->kv) ? REFUSED_RETRY_AFTER_S
                                                                     : UNAVAILABLE_RETRY_AFTER_S);
}

void
mm_user_request_wait_out_rate_limit(MmUserRequest *request,
                                    void (*resume)(MmUserRequest *request)) {
  if (++request->n_retries > RATE_LIMIT_MAX_RETRIES) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  request->resume = resume;
  request->resume_at = mm_time_add_ms(mm_node_now(request->node), RATE_LIMIT_PAUSE_MS);
  g_queue_push_tail(request->node->job_api->rate_limited, request);
}
