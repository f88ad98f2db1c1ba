#include "job-api/job-cancellation.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "job-api/job-status.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "peers/peer-broadcast.h"
#include "peers/peer-links.h"
#include "scheduler/stop-commands.h"

/* Maximum number of attempts to write a cancellation while other writes of the record conflict. */
#define CANCEL_MAX_TRIES 6
/* Maximum time that a user's request waits until the other nodes have acknowledged a cancellation,
 * and the interval at which the cancellation is broadcast again meanwhile. */
#define CANCEL_ACK_TIMEOUT_MS 1200
#define CANCEL_BROADCAST_INTERVAL_MS 400

/* Returns whether every node that may still respond to a worker knows the cancellation. From then
 * on no response to a worker starts a task of the job or lets a task of the job continue. A machine
 * that gets a response stops the job's tasks. A machine that gets no response ends the job's tasks
 * when its worker lease expires.
 *
 * A node that may respond to workers holds a node lease, which is visible in any replica that is as
 * new as the cancellation. A node that acquires a lease later reads the job record first. A peer
 * that cannot be reached need not acknowledge the cancellation: a node that reads no changes from
 * the key-value store may respond to workers only for mm_node_lease_max_staleness_us. Once the
 * store has served this node for twice that time, the peer has either read the cancellation or
 * stopped responding to workers. */
static gboolean
cancel_is_propagated(const MmUserRequest *request) {
  const MmNode *node = request->node;
  const MmJob *job = mm_job_table_find(node->job_table, request->job_id.s);

  if (!node->replica->is_loaded)
    return FALSE;
  /* The job record was deleted: the job and all its tasks have ended. */
  if (job == NULL)
    return mm_job_table_has_ended(node->job_table, request->job_id.s);
  /* No task of the job was ever started, and every node derives the job's cancellation from the
   * cancellation of the dependency. */
  if (mm_job_has_cancelled_dependency(job))
    return TRUE;
  if (job->cancel_record_version.v == 0 || node->replica->revision < job->cancel_record_version.v)
    return FALSE;
  if (node->kv->available_us - job->kv_available_us_at_cancel
      >= mm_node_lease_max_staleness_us(node->node_lease) * 2)
    return TRUE;
  for (guint i = 0; i < node->peer_links->n_peers; i++)
    if (g_hash_table_contains(node->replica->live_nodes, node->peer_links->peers[i].label.s)
        && (job->cancel_acked_by_peers & (G_GUINT64_CONSTANT(1) << i)) == 0)
      return FALSE;
  return TRUE;
}

static void
respond_cancelled(MmUserRequest *request) {
  mm_user_request_respond(request, 200,
                          mm_job_state_to_json(request->job_id.s, WIRE_CANCELLED, 0, 0), 0);
}

void
mm_job_cancellation_respond(MmUserRequest *request) {
  MmTime now = mm_node_now(request->node);

  if (cancel_is_propagated(request)) {
    respond_cancelled(request);
    return;
  }
  /* A record may be as large as a value. It is not needed while the request waits. */
  g_clear_pointer(&request->record, mm_json_unref);
  request->deadline = mm_time_add_ms(now, CANCEL_ACK_TIMEOUT_MS);
  request->cancel_broadcast_at = now;
  g_queue_push_tail(request->node->job_api->awaiting_cancel_acks, request);
  mm_peer_broadcast_cancellation(request->node->peer_links, request->job_id.s);
}

/* If every node that may still respond to a worker knows the cancellation, responds to the request
 * and removes the request from the queue. Returns whether a response was sent. */
static gboolean
respond_if_propagated(MmJobApi *job_api, GList *link) {
  MmUserRequest *request = link->data;

  if (!cancel_is_propagated(request))
    return FALSE;
  g_queue_delete_link(job_api->awaiting_cancel_acks, link);
  respond_cancelled(request);
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
      respond_if_propagated(job_api, link);
  }
}

void
mm_job_cancellation_tick(MmJobApi *job_api) {
  MmTime now = mm_node_now(job_api->node);
  GList *next;

  for (GList *link = job_api->awaiting_cancel_acks->head; link != NULL; link = next) {
    MmUserRequest *request = link->data;
    next = link->next;
    if (respond_if_propagated(job_api, link))
      continue;
    if (!mm_time_before(now, request->deadline)) {
      g_queue_delete_link(job_api->awaiting_cancel_acks, link);
      mm_user_request_respond_unavailable(request);
    } else if (mm_time_ms_since(now, request->cancel_broadcast_at)
               >= CANCEL_BROADCAST_INTERVAL_MS) {
      request->cancel_broadcast_at = now;
      mm_peer_broadcast_cancellation(job_api->node->peer_links, request->job_id.s);
    }
  }
}

static void
on_cancel_written(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;
  guint64 revision;

  if (status == 409 && ++request->n_retries < CANCEL_MAX_TRIES) {
    mm_job_status_read_record(request);
    return;
  }
  if (status == 429) {
    mm_user_request_retry_after_rate_limit(request, mm_job_status_read_record);
    return;
  }
  if (status != 200) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  /* Updates the job table at once, because the replica's watch may deliver this write late, or be
   * interrupted before it delivers the write. */
  revision = mm_json_count(body, WIRE_REVISION, 0);
  if (revision > request->node->replica->revision && request->node->replica->is_loaded)
    mm_job_table_put(request->node->job_table, request->job_id.s, request->record,
                     (MmKeyVersion){ revision });
  mm_scheduler_job_cancelled(request->node->scheduler, request->job_id.s);
  mm_job_cancellation_respond(request);
}

void
mm_job_cancellation_write(MmUserRequest *request, MmKeyVersion version) {
  MmTransaction transaction = mm_transaction_begin();

  mm_job_record_set_cancelled(request->record);
  /* The record may exceed the maximum size of a value if the maximum was larger when the record was
   * written. The completed tasks of a cancelled job are not needed, so they can be dropped. */
  if (mm_json_text_length(request->record) > mm_kv_client_max_value_bytes(request->node->kv))
    mm_job_record_clear_completed(request->record);
  mm_transaction_require_version(&transaction, MM_KEY_JOB, request->job_id.s, version);
  mm_transaction_put(&transaction, MM_KEY_JOB, request->job_id.s, mm_json_ref(request->record), 0);
  mm_kv_client_commit(request->node->kv, &transaction, on_cancel_written, request);
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
  mm_job_status_read_record(request);
}
