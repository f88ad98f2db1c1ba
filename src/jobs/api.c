/* Nothing is said to a user that the state service does not hold: a job is written before 201, a
 * cancellation before it is told. Answers that may still change are read through the state service;
 * final ones never change, so they may come from memory. */
#include "jobs/api.h"

#include "base/wire.h"
#include "checkin/machine-table.h"
#include "dependencies/dependencies.h"
#include "jobs/job-table.h"
#include "jobs/call.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "store/replica.h"
#include "store/store.h"

#define CANCEL_TRIES 6
#define REFUSED_MS 500
/* How long a user's request waits for the other nodes to know of a cancellation. */
#define KNOWN_MS 1200
#define TELL_AGAIN_MS 400
/* A write that met the limit of the state service's rate. */
#define LIMITED_PAUSE_MS 250
#define LIMITED_TRIES 3

MmCall *
mm_call_new(MmNode *node, MmExchange *exchange, const char *job_id) {
  MmCall *request = g_new0(MmCall, 1);

  request->node = node;
  request->exchange = exchange;
  request->id = mm_name(job_id);
  return request;
}

void
mm_call_finish(MmCall *request, int status, json_t *body, guint retry_after_s) {
  mm_exchange_answer(request->exchange, status, body, retry_after_s);
  mm_spec_clear(&request->spec);
  json_decref(request->record);
  g_free(request);
}

gboolean
mm_call_is_refused_now(const MmNode *node) {
  return mm_kv_client_is_silent(node->store)
         || (mm_kv_client_is_refused(node->store)
             && mm_time_ms_since(mm_node_now(node), node->store->last_refused_at) < REFUSED_MS);
}

void
mm_call_give_up(MmCall *request) {
  mm_call_finish(request, 503, mm_json_error("the state service does not answer"),
                 mm_kv_client_is_refused(request->node->store) ? 2 : 1);
}

void
mm_call_wait_out_limit(MmCall *request, void (*resume)(MmCall *call)) {
  if (++request->tries > LIMITED_TRIES) {
    mm_call_give_up(request);
    return;
  }
  request->resume = resume;
  request->resume_at = mm_time_add_ms(mm_node_now(request->node), LIMITED_PAUSE_MS);
  g_queue_push_tail(request->node->api->paused, request);
}

static void
tick_paused(MmApi *job_api) {
  MmTime now = mm_node_now(job_api->node);

  /* Each waits equally long, so the first is due first. */
  while (!g_queue_is_empty(job_api->paused)) {
    MmCall *request = g_queue_peek_head(job_api->paused);
    if (mm_time_before(now, request->resume_at))
      return;
    g_queue_pop_head(job_api->paused);
    request->resume(request);
  }
}

static json_t *
state_body(const char *job_id, const char *state, guint n_completed, guint n_running) {
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
all_know(const MmCall *request) {
  const MmNode *node = request->node;
  const MmJob *job = mm_job_table_find(node->job_table, request->id.s);

  if (!node->replica->is_loaded)
    return FALSE;
  /* Finished as cancelled: its tasks were all gone. */
  if (job == NULL)
    return mm_job_table_is_over(node->job_table, request->id.s);
  /* None of its tasks has ever been started, and every node works out that it is cancelled. */
  if (mm_job_needs_cancelled(job))
    return TRUE;
  if (job->cancel_version.v == 0 || node->replica->revision < job->cancel_version.v)
    return FALSE;
  if (node->store->available_us - job->cancel_served_us
      >= mm_node_lease_max_staleness_us(node->node_lease) * 2)
    return TRUE;
  for (guint i = 0; i < node->links->n_peers; i++)
    if (g_hash_table_contains(node->replica->live_nodes, node->links->peers[i].label.s)
        && (job->cancel_acks & (G_GUINT64_CONSTANT(1) << i)) == 0)
      return FALSE;
  return TRUE;
}

static void
answer_cancelled(MmCall *request) {
  MmTime now = mm_node_now(request->node);

  if (all_know(request)) {
    mm_call_finish(request, 200, state_body(request->id.s, WIRE_CANCELLED, 0, 0), 0);
    return;
  }
  request->deadline = mm_time_add_ms(now, KNOWN_MS);
  request->told = now;
  g_queue_push_tail(request->node->api->waiting, request);
  mm_links_tell_cancelled(request->node->links, request->id.s);
}

static gboolean
let_go_acked(MmApi *job_api, GList *link) {
  MmCall *request = link->data;

  if (!all_know(request))
    return FALSE;
  g_queue_delete_link(job_api->waiting, link);
  mm_call_finish(request, 200, state_body(request->id.s, WIRE_CANCELLED, 0, 0), 0);
  return TRUE;
}

void
mm_api_cancel_acked(MmApi *job_api, guint peer, const char *job_id) {
  MmJob *job = mm_job_table_find(job_api->node->job_table, job_id);
  GList *next;

  if (job != NULL)
    job->cancel_acks |= G_GUINT64_CONSTANT(1) << peer;
  for (GList *link = job_api->waiting->head; link != NULL; link = next) {
    next = link->next;
    if (strcmp(((MmCall *)link->data)->id.s, job_id) == 0)
      let_go_acked(job_api, link);
  }
}

/* Lets go a question about a job whose dependencies are not all known yet, once they are. */
static gboolean
let_go_decided(MmApi *job_api, GList *link) {
  MmCall *request = link->data;
  const MmJob *job = mm_job_table_find(job_api->node->job_table, request->id.s);

  if (job != NULL && mm_dependencies_undecided(job_api->node->dependencies, job))
    return FALSE;
  g_queue_delete_link(job_api->undecided, link);
  mm_call_answer_when_current(request);
  return TRUE;
}

static void
tick_undecided(MmApi *job_api) {
  MmTime now = mm_node_now(job_api->node);
  GList *next;

  for (GList *link = job_api->undecided->head; link != NULL; link = next) {
    MmCall *request = link->data;
    next = link->next;
    if (let_go_decided(job_api, link) || mm_time_before(now, request->deadline))
      continue;
    g_queue_delete_link(job_api->undecided, link);
    mm_call_give_up(request);
  }
}

void
mm_api_tick(MmApi *job_api) {
  MmTime now = mm_node_now(job_api->node);
  GList *next;

  tick_paused(job_api);
  tick_undecided(job_api);
  for (GList *link = job_api->waiting->head; link != NULL; link = next) {
    MmCall *request = link->data;
    next = link->next;
    if (let_go_acked(job_api, link))
      continue;
    if (!mm_time_before(now, request->deadline)) {
      g_queue_delete_link(job_api->waiting, link);
      mm_call_give_up(request);
    } else if (mm_time_ms_since(now, request->told) >= TELL_AGAIN_MS) {
      request->told = now;
      mm_links_tell_cancelled(job_api->node->links, request->id.s);
    }
  }
}

MmApi *
mm_api_new(MmNode *node) {
  MmApi *job_api = g_new0(MmApi, 1);

  job_api->node = node;
  job_api->waiting = g_queue_new();
  job_api->undecided = g_queue_new();
  job_api->paused = g_queue_new();
  return job_api;
}

void
mm_api_free(MmApi *job_api) {
  MmCall *request;

  while ((request = g_queue_pop_head(job_api->waiting)) != NULL)
    mm_call_give_up(request);
  while ((request = g_queue_pop_head(job_api->undecided)) != NULL)
    mm_call_give_up(request);
  while ((request = g_queue_pop_head(job_api->paused)) != NULL)
    mm_call_give_up(request);
  g_queue_free(job_api->paused);
  g_queue_free(job_api->waiting);
  g_queue_free(job_api->undecided);
  g_free(job_api);
}

/* Counts are for display only. */
static void
answer_unfinished(MmCall *request, gboolean is_cancelled) {
  MmJob *job = mm_job_table_find(request->node->job_table, request->id.s);
  guint n_running = mm_machine_table_running_tasks(request->node->machine_table, request->id.s);
  guint n_completed = 0;
  const char *state = WIRE_PENDING;

  if (is_cancelled) {
    answer_cancelled(request);
    return;
  }
  if (job != NULL)
    n_completed = job->tasks != NULL ? job->done.count : job->recorded.count;
  if (n_running > 0)
    state = WIRE_RUNNING;
  mm_call_finish(request, 200, state_body(request->id.s, state, n_completed, n_running), 0);
}

static void
final_read(gpointer data, int status, json_t *body) {
  MmCall *request = data;
  MmJobTable *job_table = request->node->job_table;
  json_t *terminal_response = NULL;

  if (status == 404) {
    mm_call_finish(request, 404, mm_json_error("no such job"), 0);
    return;
  }
  if (status == 200) {
    mm_job_table_keep_final(job_table, request->id.s, mm_json_get(body, WIRE_VALUE));
    terminal_response = mm_job_table_final(job_table, request->id.s);
  }
  if (terminal_response != NULL)
    mm_call_finish(request, 200, terminal_response, 0);
  else
    mm_call_give_up(request);
}

static void
cancel_written(gpointer data, int status, json_t *body) {
  MmCall *request = data;
  guint64 revision;

  if (status == 409 && ++request->tries < CANCEL_TRIES) {
    mm_call_look_up(request);
    return;
  }
  if (status == 429) {
    mm_call_wait_out_limit(request, mm_call_look_up);
    return;
  }
  if (status != 200) {
    mm_call_give_up(request);
    return;
  }
  /* The watch may be behind, or stop here. */
  revision = mm_json_count(body, WIRE_REVISION, 0);
  if (revision > request->node->replica->revision && request->node->replica->is_loaded)
    mm_job_table_put(request->node->job_table, request->id.s, request->record,
                     (MmKeyVersion){ revision });
  mm_scheduler_job_cancelled(request->node->owner, request->id.s);
  answer_cancelled(request);
}

static void
write_cancel(MmCall *request, MmKeyVersion version) {
  MmTransaction transaction = mm_transaction_begin();

  json_object_set_new(request->record, "c", json_integer(1));
  /* Written under larger limits: which of its tasks are done matters no more. */
  if (json_dumpb(request->record, NULL, 0, JSON_COMPACT)
      > mm_kv_client_max_value_bytes(request->node->store))
    json_object_del(request->record, "d");
  mm_transaction_require_version(&transaction, MM_KEY_JOB, request->id.s, version);
  mm_transaction_put(&transaction, MM_KEY_JOB, request->id.s, json_incref(request->record), 0);
  mm_kv_client_commit(request->node->store, &transaction, cancel_written, request);
}

static void
record_read(gpointer data, int status, json_t *body) {
  MmCall *request = data;

  if (status == 404) {
    /* Finished jobs move from the one key to the other, so this order cannot miss one. */
    mm_kv_client_get(request->node->store, MM_KEY_TERMINAL_RECORD, request->id.s, final_read,
                     request);
    return;
  }
  if (status != 200 || !json_is_object(mm_json_get(body, WIRE_VALUE))) {
    mm_call_give_up(request);
    return;
  }
  json_decref(request->record);
  request->record = json_deep_copy(mm_json_get(body, WIRE_VALUE));
  if (request->cancel && mm_json_count(request->record, "c", 0) == 0)
    write_cancel(request, (MmKeyVersion){ mm_json_count(body, WIRE_VERSION, 0) });
  else if (mm_json_count(request->record, "c", 0) == 0 && mm_json_get(request->record, "w") != NULL)
    mm_call_answer_when_current(request); /* cancelled all the same, if what it depends on is */
  else
    answer_unfinished(request, mm_json_count(request->record, "c", 0) != 0);
}

void
mm_call_look_up(MmCall *request) {
  json_t *terminal_response = mm_job_table_final(request->node->job_table, request->id.s);

  if (terminal_response != NULL)
    mm_call_finish(request, 200, terminal_response, 0);
  else if (request->tries == 0 && mm_call_is_refused_now(request->node))
    mm_call_give_up(request);
  else
    mm_kv_client_get(request->node->store, MM_KEY_JOB, request->id.s, record_read, request);
}

static void
wait_until_decided(MmCall *request) {
  MmApi *job_api = request->node->api;

  if (request->deadline.us == 0)
    request->deadline = mm_time_add_ms(mm_node_now(request->node), KNOWN_MS);
  g_queue_push_tail(job_api->undecided, request);
}

/* The replica holds all that was written when the question came: whatever any node had told of the
 * job by then shows here. */
static void
replica_current(gpointer data, gboolean is_current) {
  MmCall *request = data;
  const MmJob *job = mm_job_table_find(request->node->job_table, request->id.s);
  json_t *terminal_response = mm_job_table_final(request->node->job_table, request->id.s);

  if (terminal_response != NULL)
    mm_call_finish(request, 200, terminal_response, 0);
  else if (!is_current)
    mm_call_give_up(request);
  else if (job == NULL)
    mm_kv_client_get(request->node->store, MM_KEY_TERMINAL_RECORD, request->id.s, final_read,
                     request);
  else if (!job->cancelled && mm_dependencies_undecided(request->node->dependencies, job))
    wait_until_decided(request);
  else
    answer_unfinished(request, job->cancelled);
}

void
mm_call_answer_when_current(MmCall *request) {
  mm_replica_when_current(request->node->replica, replica_current, request);
}

void
mm_api_status(MmNode *node, const char *job_id, MmExchange *exchange) {
  json_t *terminal_response = mm_job_table_final(node->job_table, job_id);

  if (terminal_response != NULL)
    mm_exchange_answer(exchange, 200, terminal_response, 0);
  else if (!mm_spec_id_is_valid(job_id))
    mm_exchange_answer(exchange, 404, mm_json_error("no such job"), 0);
  else if (mm_call_is_refused_now(node))
    mm_call_give_up(mm_call_new(node, exchange, job_id));
  else
    mm_call_answer_when_current(mm_call_new(node, exchange, job_id));
}

void
mm_api_cancel(MmNode *node, const char *job_id, MmExchange *exchange) {
  MmCall *request;

  if (!mm_spec_id_is_valid(job_id)) {
    mm_exchange_answer(exchange, 404, mm_json_error("no such job"), 0);
    return;
  }
  request = mm_call_new(node, exchange, job_id);
  request->cancel = TRUE;
  mm_call_look_up(request);
}
