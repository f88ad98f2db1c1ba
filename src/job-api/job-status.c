#include "job-api/job-status.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "job-api/job-cancellation.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "machines/machine-table.h"

/* Maximum time that a status request waits until the states of the job's dependencies are known. */
#define DEPENDENCIES_TIMEOUT_MS 1200

MmJson *
mm_job_state_to_json(const char *job_id, const char *state, guint n_completed, guint n_running) {
  return mm_json_pack("{s:s, s:s, s:I, s:I}", WIRE_JOB_ID, job_id, WIRE_STATE, state, WIRE_DONE,
                      (guint64)n_completed, WIRE_RUNNING, (guint64)n_running);
}

/* Responds with the status of a job that has not ended. The task counts are informational only:
 * they may be older than the state. */
static void
respond_unfinished(MmUserRequest *request, gboolean is_cancelled) {
  MmJob *job = mm_job_table_find(request->node->job_table, request->job_id.s);
  guint n_running = mm_machine_table_running_tasks(request->node->machine_table, request->job_id.s);
  guint n_completed = 0;
  const char *state = WIRE_PENDING;

  if (is_cancelled) {
    mm_job_cancellation_respond(request);
    return;
  }
  if (job != NULL)
    n_completed
        = job->tasks != NULL ? job->completed.n_completed : job->recorded_completed.n_completed;
  if (n_running > 0)
    state = WIRE_RUNNING;
  mm_user_request_respond(
      request, 200, mm_job_state_to_json(request->job_id.s, state, n_completed, n_running), 0);
}

static void
on_terminal_record_read(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;
  MmJobTable *job_table = request->node->job_table;
  MmJson *terminal_response = NULL;

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
on_job_record_read(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;

  if (status == 404) {
    /* One transaction replaces the job record by the terminal record when a job ends. Reading the
     * job record first and the terminal record second therefore never misses an existing job. */
    mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                     on_terminal_record_read, request);
    return;
  }
  if (status != 200 || !mm_json_is_object(mm_json_get(body, WIRE_VALUE))) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  mm_json_unref(request->record);
  request->record = mm_json_copy(mm_json_get(body, WIRE_VALUE));
  if (request->is_cancellation && !mm_job_record_is_cancelled(request->record))
    mm_job_cancellation_write(request, (MmKeyVersion){ mm_json_count(body, WIRE_VERSION, 0) });
  else if (!mm_job_record_is_cancelled(request->record)
           && mm_job_record_has_dependencies(request->record))
    /* The job is cancelled if one of its dependencies is cancelled, even if the job's own record
     * does not say so. */
    mm_job_status_respond_from_replica(request);
  else
    respond_unfinished(request, mm_job_record_is_cancelled(request->record));
}

void
mm_job_status_read_record(MmUserRequest *request) {
  MmJson *terminal_response
      = mm_job_table_terminal_response(request->node->job_table, request->job_id.s);

  if (terminal_response != NULL)
    mm_user_request_respond(request, 200, terminal_response, 0);
  else if (request->n_retries == 0 && mm_user_request_kv_is_unavailable(request->node))
    mm_user_request_respond_unavailable(request);
  else
    mm_kv_client_get(request->node->kv, MM_KEY_JOB, request->job_id.s, on_job_record_read, request);
}

static void
wait_for_dependencies(MmUserRequest *request) {
  MmJobApi *job_api = request->node->job_api;

  g_clear_pointer(&request->record, mm_json_unref);
  if (request->deadline.us == 0)
    request->deadline = mm_time_add_ms(mm_node_now(request->node), DEPENDENCIES_TIMEOUT_MS);
  g_queue_push_tail(job_api->awaiting_dependencies, request);
}

/* `is_current`: the replica contains everything that was written before the request arrived. The
 * replica then contains everything that any node had reported about the job by that time, because a
 * node reports only durable state. */
static void
on_replica_current(gpointer data, gboolean is_current) {
  MmUserRequest *request = data;
  const MmJob *job = mm_job_table_find(request->node->job_table, request->job_id.s);
  MmJson *terminal_response
      = mm_job_table_terminal_response(request->node->job_table, request->job_id.s);

  if (terminal_response != NULL)
    mm_user_request_respond(request, 200, terminal_response, 0);
  else if (!is_current)
    mm_user_request_respond_unavailable(request);
  else if (job == NULL)
    mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                     on_terminal_record_read, request);
  else if (!job->is_cancelled
           && mm_dependencies_has_unknown_dependency(request->node->dependencies, job))
    wait_for_dependencies(request);
  else
    respond_unfinished(request, job->is_cancelled);
}

void
mm_job_status_respond_from_replica(MmUserRequest *request) {
  mm_replica_when_current(request->node->replica, on_replica_current, request);
}

/* If the states of all dependencies are known, removes the request from the queue and continues
 * with mm_job_status_respond_from_replica. Returns whether the request was removed from the
 * queue. */
static gboolean
respond_if_dependencies_known(MmJobApi *job_api, GList *link) {
  MmUserRequest *request = link->data;
  const MmJob *job = mm_job_table_find(job_api->node->job_table, request->job_id.s);

  if (job != NULL && mm_dependencies_has_unknown_dependency(job_api->node->dependencies, job))
    return FALSE;
  g_queue_delete_link(job_api->awaiting_dependencies, link);
  mm_job_status_respond_from_replica(request);
  return TRUE;
}

void
mm_job_status_tick(MmJobApi *job_api) {
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
mm_job_api_status(MmNode *node, const char *job_id, MmHttpExchange *exchange) {
  MmJson *terminal_response = mm_job_table_terminal_response(node->job_table, job_id);

  if (terminal_response != NULL)
    mm_http_exchange_respond(exchange, 200, terminal_response, 0);
  else if (!mm_job_id_is_valid(job_id))
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such job"), 0);
  else if (mm_user_request_kv_is_unavailable(node))
    mm_user_request_respond_unavailable(mm_user_request_new(node, exchange, job_id));
  else
    mm_job_status_respond_from_replica(mm_user_request_new(node, exchange, job_id));
}
