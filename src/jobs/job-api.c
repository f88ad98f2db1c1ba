/* Nothing is said to a user that the state service does not hold: a job is written before 201, a
 * cancellation before it is told. Answers that may still change are read through the state service;
 * final ones never change, so they may come from memory. */
#include "jobs/job-api.h"

#include "base/wire.h"
#include "machines/machine-table.h"
#include "dependencies/dependencies.h"
#include "jobs/job-table.h"
#include "jobs/user-request.h"
#include "scheduler/stop-commands.h"
#include "leases/node-lease.h"
#include "peers/peer-broadcast.h"
#include "peers/peer-links.h"
#include "kv/replica.h"
#include "kv/kv-client.h"

#define CANCEL_MAX_TRIES 6
#define KV_REFUSAL_MEMORY_MS 500
/* How long a user's request waits for the other nodes to know of a cancellation. */
#define CANCEL_ACK_TIMEOUT_MS 1200
#define CANCEL_ANNOUNCE_INTERVAL_MS 400
/* A write that met the limit of the state service's rate. */
#define RATE_LIMIT_PAUSE_MS 250
#define RATE_LIMIT_MAX_RETRIES 3

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
                          mm_kv_client_is_refused(request->node->kv) ? 2 : 1);
}

void
mm_user_request_wait_out_rate_limit(MmUserRequest *request, void (*resume)(MmUserRequest *call)) {
  if (++request->n_retries > RATE_LIMIT_MAX_RETRIES) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  request->resume = resume;
  request->resume_at = mm_time_add_ms(mm_node_now(request->node), RATE_LIMIT_PAUSE_MS);
  g_queue_push_tail(request->node->job_api->rate_limited, request);
}

static void
resume_rate_limited(MmJobApi *job_api) {
  MmTime now = mm_node_now(job_api->node);

  /* Each waits equally long, so the first is due first. */
  while (!g_queue_is_empty(job_api->rate_limited)) {
    MmUserRequest *request = g_queue_peek_head(job_api->rate_limited);
    if (mm_time_before(now, request->resume_at))
      return;
    g_queue_pop_head(job_api->rate_limited);
    request->resume(request);
  }
}

static json_t *
job_state_to_json(const char *job_id, const char *state, guint n_completed, guint n_running) {
  return json_pack("{s:s, s:s, s:I, s:I}", WIRE_JOB_ID, job_id, WIRE_STATE, state, WIRE_DONE,
                   (json_int_t)n_completed, WIRE_RUNNING, (json_int_t)n_running);
}

/* Whether every node that may still answer a worker knows of the job's cancellation, so that from
 * now on no answer leaves its tasks alone or starts one: each machine that is answered again stops
 * them, and each that is not ends them with its lease. Who may answer has a claim that shows in a
 * replica as new as the cancellation; whoever takes a claim later reads the record first. A peer
 * that can't be asked knows it all the same, or answers nobody, once the state service has served
 * this node for longer than a node may answer without having read what changed. */
static gboolean
cancel_is_known_everywhere(const MmUserRequest *request) {
  const MmNode *node = request->node;
  const MmJob *job = mm_job_table_find(node->job_table, request->job_id.s);

  if (!node->replica->is_loaded)
    return FALSE;
  /* Finished as cancelled: its tasks were all gone. */
  if (job == NULL)
    return mm_job_table_is_over(node->job_table, request->job_id.s);
  /* None of its tasks has ever been started, and every node works out that it is cancelled. */
  if (mm_job_has_cancelled_dependency(job))
    return TRUE;
  if (job->cancel_record_version.v == 0 || node->replica->revision < job->cancel_record_version.v)
    return FALSE;
  if (node->kv->available_us - job->kv_served_us_at_cancel
      >= mm_node_lease_max_staleness_us(node->node_lease) * 2)
    return TRUE;
  for (guint i = 0; i < node->peer_links->n_peers; i++)
    if (g_hash_table_contains(node->replica->live_nodes, node->peer_links->peers[i].label.s)
        && (job->cancel_acked_by_peers & (G_GUINT64_CONSTANT(1) << i)) == 0)
      return FALSE;
  return TRUE;
}

static void
answer_cancelled(MmUserRequest *request) {
  MmTime now = mm_node_now(request->node);

  if (cancel_is_known_everywhere(request)) {
    mm_user_request_respond(request, 200,
                            job_state_to_json(request->job_id.s, WIRE_CANCELLED, 0, 0), 0);
    return;
  }
  request->deadline = mm_time_add_ms(now, CANCEL_ACK_TIMEOUT_MS);
  request->cancel_announced_at = now;
  g_queue_push_tail(request->node->job_api->awaiting_cancel_acks, request);
  mm_peer_broadcast_cancellation(request->node->peer_links, request->job_id.s);
}

static gboolean
respond_if_cancel_known(MmJobApi *job_api, GList *link) {
  MmUserRequest *request = link->data;

  if (!cancel_is_known_everywhere(request))
    return FALSE;
  g_queue_delete_link(job_api->awaiting_cancel_acks, link);
  mm_user_request_respond(request, 200, job_state_to_json(request->job_id.s, WIRE_CANCELLED, 0, 0),
                          0);
  return TRUE;
}

void
mm_job_api_cancel_acked(MmJobApi *job_api, guint peer, const char *job_id) {
  MmJob *job = mm_job_table_find(job_api->node->job_table, job_id);
  GList *next;

  if (job != NULL)
    job->cancel_acked_by_peers |= G_GUINT64_CONSTANT(1) << peer;
  for (GList *link = job_api->awaiting_cancel_acks->head; link != NULL; link = next) {
    next = link->next;
    if (strcmp(((MmUserRequest *)link->data)->job_id.s, job_id) == 0)
      respond_if_cancel_known(job_api, link);
  }
}

/* Lets go a question about a job whose dependencies are not all known yet, once they are. */
static gboolean
respond_if_dependencies_known(MmJobApi *job_api, GList *link) {
  MmUserRequest *request = link->data;
  const MmJob *job = mm_job_table_find(job_api->node->job_table, request->job_id.s);

  if (job != NULL && mm_dependencies_is_undecided(job_api->node->dependencies, job))
    return FALSE;
  g_queue_delete_link(job_api->awaiting_dependencies, link);
  mm_user_request_answer_from_replica(request);
  return TRUE;
}

static void
check_awaiting_dependencies(MmJobApi *job_api) {
  MmTime now = mm_node_now(job_api->node);
  GList *next;

  for (GList *link = job_api->awaiting_dependencies->head; link != NULL; link = next) {
    MmUserRequest *request = link->data;
    next = link->next;
    if (respond_if_dependencies_known(job_api, link) || mm_time_before(now, request->deadline))
      continue;
    g_queue_delete_link(job_api->awaiting_dependencies, link);
    mm_user_request_respond_unavailable(request);
  }
}

void
mm_job_api_tick(MmJobApi *job_api) {
  MmTime now = mm_node_now(job_api->node);
  GList *next;

  resume_rate_limited(job_api);
  check_awaiting_dependencies(job_api);
  for (GList *link = job_api->awaiting_cancel_acks->head; link != NULL; link = next) {
    MmUserRequest *request = link->data;
    next = link->next;
    if (respond_if_cancel_known(job_api, link))
      continue;
    if (!mm_time_before(now, request->deadline)) {
      g_queue_delete_link(job_api->awaiting_cancel_acks, link);
      mm_user_request_respond_unavailable(request);
    } else if (mm_time_ms_since(now, request->cancel_announced_at) >= CANCEL_ANNOUNCE_INTERVAL_MS) {
      request->cancel_announced_at = now;
      mm_peer_broadcast_cancellation(job_api->node->peer_links, request->job_id.s);
    }
  }
}

MmJobApi *
mm_job_api_new(MmNode *node) {
  MmJobApi *job_api = g_new0(MmJobApi, 1);

  job_api->node = node;
  job_api->awaiting_cancel_acks = g_queue_new();
  job_api->awaiting_dependencies = g_queue_new();
  job_api->rate_limited = g_queue_new();
  return job_api;
}

void
mm_job_api_free(MmJobApi *job_api) {
  MmUserRequest *request;

  while ((request = g_queue_pop_head(job_api->awaiting_cancel_acks)) != NULL)
    mm_user_request_respond_unavailable(request);
  while ((request = g_queue_pop_head(job_api->awaiting_dependencies)) != NULL)
    mm_user_request_respond_unavailable(request);
  while ((request = g_queue_pop_head(job_api->rate_limited)) != NULL)
    mm_user_request_respond_unavailable(request);
  g_queue_free(job_api->rate_limited);
  g_queue_free(job_api->awaiting_cancel_acks);
  g_queue_free(job_api->awaiting_dependencies);
  g_free(job_api);
}

/* Counts are for display only. */
static void
answer_unfinished(MmUserRequest *request, gboolean is_cancelled) {
  MmJob *job = mm_job_table_find(request->node->job_table, request->job_id.s);
  guint n_running = mm_machine_table_running_tasks(request->node->machine_table, request->job_id.s);
  guint n_completed = 0;
  const char *state = WIRE_PENDING;

  if (is_cancelled) {
    answer_cancelled(request);
    return;
  }
  if (job != NULL)
    n_completed
        = job->tasks != NULL ? job->completed.n_completed : job->recorded_completed.n_completed;
  if (n_running > 0)
    state = WIRE_RUNNING;
  mm_user_request_respond(request, 200,
                          job_state_to_json(request->job_id.s, state, n_completed, n_running), 0);
}

static void
on_terminal_record_read(gpointer data, int status, json_t *body) {
  MmUserRequest *request = data;
  MmJobTable *job_table = request->node->job_table;
  json_t *terminal_response = NULL;

  if (status == 404) {
    mm_user_request_respond(request, 404, mm_json_error("no such job"), 0);
    return;
  }
  if (status == 200) {
    mm_job_table_add_terminal_record(job_table, request->job_id.s, mm_json_get(body, WIRE_VALUE));
    terminal_response = mm_job_table_terminal_response(job_table, request->job_id.s);
  }
  if (terminal_response != NULL)
    mm_user_request_respond(request, 200, terminal_response, 0);
  else
    mm_user_request_respond_unavailable(request);
}

static void
on_cancel_written(gpointer data, int status, json_t *body) {
  MmUserRequest *request = data;
  guint64 revision;

  if (status == 409 && ++request->n_retries < CANCEL_MAX_TRIES) {
    mm_user_request_answer_from_record(request);
    return;
  }
  if (status == 429) {
    mm_user_request_wait_out_rate_limit(request, mm_user_request_answer_from_record);
    return;
  }
  if (status != 200) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  /* The watch may be behind, or stop here. */
  revision = mm_json_count(body, WIRE_REVISION, 0);
  if (revision > request->node->replica->revision && request->node->replica->is_loaded)
    mm_job_table_put(request->node->job_table, request->job_id.s, request->record,
                     (MmKeyVersion){ revision });
  mm_scheduler_job_cancelled(request->node->scheduler, request->job_id.s);
  answer_cancelled(request);
}

static void
write_cancel(MmUserRequest *request, MmKeyVersion version) {
  MmTransaction transaction = mm_transaction_begin();

  json_object_set_new(request->record, "c", json_integer(1));
  /* Written under larger limits: which of its tasks are done matters no more. */
  if (json_dumpb(request->record, NULL, 0, JSON_COMPACT)
      > mm_kv_client_max_value_bytes(request->node->kv))
    json_object_del(request->record, "d");
  mm_transaction_require_version(&transaction, MM_KEY_JOB, request->job_id.s, version);
  mm_transaction_put(&transaction, MM_KEY_JOB, request->job_id.s, json_incref(request->record), 0);
  mm_kv_client_commit(request->node->kv, &transaction, on_cancel_written, request);
}

static void
on_job_record_read(gpointer data, int status, json_t *body) {
  MmUserRequest *request = data;

  if (status == 404) {
    /* Finished jobs move from the one key to the other, so this order cannot miss one. */
    mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                     on_terminal_record_read, request);
    return;
  }
  if (status != 200 || !json_is_object(mm_json_get(body, WIRE_VALUE))) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  json_decref(request->record);
  request->record = json_deep_copy(mm_json_get(body, WIRE_VALUE));
  if (request->is_cancellation && mm_json_count(request->record, "c", 0) == 0)
    write_cancel(request, (MmKeyVersion){ mm_json_count(body, WIRE_VERSION, 0) });
  else if (mm_json_count(request->record, "c", 0) == 0 && mm_json_get(request->record, "w") != NULL)
    mm_user_request_answer_from_replica(
        request); /* cancelled all the same, if what it depends on is */
  else
    answer_unfinished(request, mm_json_count(request->record, "c", 0) != 0);
}

void
mm_user_request_answer_from_record(MmUserRequest *request) {
  json_t *terminal_response
      = mm_job_table_terminal_response(request->node->job_table, request->job_id.s);

  if (terminal_response != NULL)
    mm_user_request_respond(request, 200, terminal_response, 0);
  else if (request->n_retries == 0 && mm_user_request_kv_is_refusing(request->node))
    mm_user_request_respond_unavailable(request);
  else
    mm_kv_client_get(request->node->kv, MM_KEY_JOB, request->job_id.s, on_job_record_read, request);
}

static void
wait_for_dependencies(MmUserRequest *request) {
  MmJobApi *job_api = request->node->job_api;

  if (request->deadline.us == 0)
    request->deadline = mm_time_add_ms(mm_node_now(request->node), CANCEL_ACK_TIMEOUT_MS);
  g_queue_push_tail(job_api->awaiting_dependencies, request);
}

/* The replica holds all that was written when the question came: whatever any node had told of the
 * job by then shows here. */
static void
on_replica_current(gpointer data, gboolean is_current) {
  MmUserRequest *request = data;
  const MmJob *job = mm_job_table_find(request->node->job_table, request->job_id.s);
  json_t *terminal_response
      = mm_job_table_terminal_response(request->node->job_table, request->job_id.s);

  if (terminal_response != NULL)
    mm_user_request_respond(request, 200, terminal_response, 0);
  else if (!is_current)
    mm_user_request_respond_unavailable(request);
  else if (job == NULL)
    mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                     on_terminal_record_read, request);
  else if (!job->is_cancelled && mm_dependencies_is_undecided(request->node->dependencies, job))
    wait_for_dependencies(request);
  else
    answer_unfinished(request, job->is_cancelled);
}

void
mm_user_request_answer_from_replica(MmUserRequest *request) {
  mm_replica_when_current(request->node->replica, on_replica_current, request);
}

void
mm_job_api_status(MmNode *node, const char *job_id, MmHttpExchange *exchange) {
  json_t *terminal_response = mm_job_table_terminal_response(node->job_table, job_id);

  if (terminal_response != NULL)
    mm_http_exchange_respond(exchange, 200, terminal_response, 0);
  else if (!mm_job_id_is_valid(job_id))
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such job"), 0);
  else if (mm_user_request_kv_is_refusing(node))
    mm_user_request_respond_unavailable(mm_user_request_new(node, exchange, job_id));
  else
    mm_user_request_answer_from_replica(mm_user_request_new(node, exchange, job_id));
}

void
mm_job_api_cancel(MmNode *node, const char *job_id, MmHttpExchange *exchange) {
  MmUserRequest *request;

  if (!mm_job_id_is_valid(job_id)) {
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such job"), 0);
    return;
  }
  request = mm_user_request_new(node, exchange, job_id);
  request->is_cancellation = TRUE;
  mm_user_request_answer_from_record(request);
}
