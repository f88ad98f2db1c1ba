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
mm_call_new(MmNode *node, MmExchange *exchange, const char *id) {
  MmCall *call = g_new0(MmCall, 1);

  call->node = node;
  call->exchange = exchange;
  call->id = mm_name(id);
  return call;
}

void
mm_call_finish(MmCall *call, int status, json_t *body, guint retry_after_s) {
  mm_exchange_answer(call->exchange, status, body, retry_after_s);
  mm_spec_clear(&call->spec);
  json_decref(call->record);
  g_free(call);
}

gboolean
mm_call_is_refused_now(const MmNode *node) {
  return mm_store_is_silent(node->store)
         || (mm_store_in_trouble(node->store)
             && mm_time_ms_since(mm_node_now(node), node->store->last_refused) < REFUSED_MS);
}

void
mm_call_give_up(MmCall *call) {
  mm_call_finish(call, 503, mm_json_error("the state service does not answer"),
                 mm_store_in_trouble(call->node->store) ? 2 : 1);
}

void
mm_call_wait_out_limit(MmCall *call, void (*resume)(MmCall *call)) {
  if (++call->tries > LIMITED_TRIES) {
    mm_call_give_up(call);
    return;
  }
  call->resume = resume;
  call->resume_at = mm_time_add_ms(mm_node_now(call->node), LIMITED_PAUSE_MS);
  g_queue_push_tail(call->node->api->paused, call);
}

static void
tick_paused(MmApi *api) {
  MmTime now = mm_node_now(api->node);

  /* Each waits equally long, so the first is due first. */
  while (!g_queue_is_empty(api->paused)) {
    MmCall *call = g_queue_peek_head(api->paused);
    if (mm_time_before(now, call->resume_at))
      return;
    g_queue_pop_head(api->paused);
    call->resume(call);
  }
}

static json_t *
state_body(const char *id, const char *state, guint done, guint running) {
  return json_pack("{s:s, s:s, s:I, s:I}", WIRE_JOB_ID, id, WIRE_STATE, state, WIRE_DONE,
                   (json_int_t)done, WIRE_RUNNING, (json_int_t)running);
}

/* Whether every node that may still answer a worker knows of the job's cancellation, so that from
 * now on no answer leaves its tasks alone or starts one: each machine that is answered again stops
 * them, and each that is not ends them with its lease. Who may answer has a claim that shows in a
 * replica as new as the cancellation; whoever takes a claim later reads the record first. A peer
 * that can't be asked knows it all the same, or answers nobody, once the state service has served
 * this node for longer than a node may answer without having read what changed. */
static gboolean
all_know(const MmCall *call) {
  const MmNode *node = call->node;
  const MmJob *job = mm_job_table_find(node->job_table, call->id.s);

  if (!node->replica->loaded)
    return FALSE;
  /* Finished as cancelled: its tasks were all gone. */
  if (job == NULL)
    return mm_job_table_is_over(node->job_table, call->id.s);
  /* None of its tasks has ever been started, and every node works out that it is cancelled. */
  if (mm_job_needs_cancelled(job))
    return TRUE;
  if (job->cancel_version.v == 0 || node->replica->revision < job->cancel_version.v)
    return FALSE;
  if (node->store->served_us - job->cancel_served_us >= mm_claims_staleness_bound(node->claims) * 2)
    return TRUE;
  for (guint i = 0; i < node->links->n_peers; i++)
    if (g_hash_table_contains(node->replica->nodes, node->links->peers[i].label.s)
        && (job->cancel_acks & (G_GUINT64_CONSTANT(1) << i)) == 0)
      return FALSE;
  return TRUE;
}

static void
answer_cancelled(MmCall *call) {
  MmTime now = mm_node_now(call->node);

  if (all_know(call)) {
    mm_call_finish(call, 200, state_body(call->id.s, WIRE_CANCELLED, 0, 0), 0);
    return;
  }
  call->deadline = mm_time_add_ms(now, KNOWN_MS);
  call->told = now;
  g_queue_push_tail(call->node->api->waiting, call);
  mm_links_tell_cancelled(call->node->links, call->id.s);
}

static gboolean
let_go_acked(MmApi *api, GList *link) {
  MmCall *call = link->data;

  if (!all_know(call))
    return FALSE;
  g_queue_delete_link(api->waiting, link);
  mm_call_finish(call, 200, state_body(call->id.s, WIRE_CANCELLED, 0, 0), 0);
  return TRUE;
}

void
mm_api_cancel_acked(MmApi *api, guint peer, const char *id) {
  MmJob *job = mm_job_table_find(api->node->job_table, id);
  GList *next;

  if (job != NULL)
    job->cancel_acks |= G_GUINT64_CONSTANT(1) << peer;
  for (GList *link = api->waiting->head; link != NULL; link = next) {
    next = link->next;
    if (strcmp(((MmCall *)link->data)->id.s, id) == 0)
      let_go_acked(api, link);
  }
}

/* Lets go a question about a job whose dependencies are not all known yet, once they are. */
static gboolean
let_go_decided(MmApi *api, GList *link) {
  MmCall *call = link->data;
  const MmJob *job = mm_job_table_find(api->node->job_table, call->id.s);

  if (job != NULL && mm_dependencies_undecided(api->node->dependencies, job))
    return FALSE;
  g_queue_delete_link(api->undecided, link);
  mm_call_answer_when_current(call);
  return TRUE;
}

static void
tick_undecided(MmApi *api) {
  MmTime now = mm_node_now(api->node);
  GList *next;

  for (GList *link = api->undecided->head; link != NULL; link = next) {
    MmCall *call = link->data;
    next = link->next;
    if (let_go_decided(api, link) || mm_time_before(now, call->deadline))
      continue;
    g_queue_delete_link(api->undecided, link);
    mm_call_give_up(call);
  }
}

void
mm_api_tick(MmApi *api) {
  MmTime now = mm_node_now(api->node);
  GList *next;

  tick_paused(api);
  tick_undecided(api);
  for (GList *link = api->waiting->head; link != NULL; link = next) {
    MmCall *call = link->data;
    next = link->next;
    if (let_go_acked(api, link))
      continue;
    if (!mm_time_before(now, call->deadline)) {
      g_queue_delete_link(api->waiting, link);
      mm_call_give_up(call);
    } else if (mm_time_ms_since(now, call->told) >= TELL_AGAIN_MS) {
      call->told = now;
      mm_links_tell_cancelled(api->node->links, call->id.s);
    }
  }
}

MmApi *
mm_api_new(MmNode *node) {
  MmApi *api = g_new0(MmApi, 1);

  api->node = node;
  api->waiting = g_queue_new();
  api->undecided = g_queue_new();
  api->paused = g_queue_new();
  return api;
}

void
mm_api_free(MmApi *api) {
  MmCall *call;

  while ((call = g_queue_pop_head(api->waiting)) != NULL)
    mm_call_give_up(call);
  while ((call = g_queue_pop_head(api->undecided)) != NULL)
    mm_call_give_up(call);
  while ((call = g_queue_pop_head(api->paused)) != NULL)
    mm_call_give_up(call);
  g_queue_free(api->paused);
  g_queue_free(api->waiting);
  g_queue_free(api->undecided);
  g_free(api);
}

/* Counts are for display only. */
static void
answer_unfinished(MmCall *call, gboolean cancelled) {
  MmJob *job = mm_job_table_find(call->node->job_table, call->id.s);
  guint running = mm_machine_table_running(call->node->machine_table, call->id.s);
  guint done = 0;
  const char *state = WIRE_PENDING;

  if (cancelled) {
    answer_cancelled(call);
    return;
  }
  if (job != NULL)
    done = job->tasks != NULL ? job->done.count : job->recorded.count;
  if (running > 0)
    state = WIRE_RUNNING;
  mm_call_finish(call, 200, state_body(call->id.s, state, done, running), 0);
}

static void
final_read(gpointer data, int status, json_t *body) {
  MmCall *call = data;
  MmJobTable *job_table = call->node->job_table;
  json_t *final = NULL;

  if (status == 404) {
    mm_call_finish(call, 404, mm_json_error("no such job"), 0);
    return;
  }
  if (status == 200) {
    mm_job_table_keep_final(job_table, call->id.s, mm_json_get(body, WIRE_VALUE));
    final = mm_job_table_final(job_table, call->id.s);
  }
  if (final != NULL)
    mm_call_finish(call, 200, final, 0);
  else
    mm_call_give_up(call);
}

static void
cancel_written(gpointer data, int status, json_t *body) {
  MmCall *call = data;
  guint64 revision;

  if (status == 409 && ++call->tries < CANCEL_TRIES) {
    mm_call_look_up(call);
    return;
  }
  if (status == 429) {
    mm_call_wait_out_limit(call, mm_call_look_up);
    return;
  }
  if (status != 200) {
    mm_call_give_up(call);
    return;
  }
  /* The watch may be behind, or stop here. */
  revision = mm_json_count(body, WIRE_REVISION, 0);
  if (revision > call->node->replica->revision && call->node->replica->loaded)
    mm_job_table_put(call->node->job_table, call->id.s, call->record, (MmKeyVersion){ revision });
  mm_owner_cancelled(call->node->owner, call->id.s);
  answer_cancelled(call);
}

static void
write_cancel(MmCall *call, MmKeyVersion version) {
  MmTxn txn = mm_txn();

  json_object_set_new(call->record, "c", json_integer(1));
  /* Written under larger limits: which of its tasks are done matters no more. */
  if (json_dumpb(call->record, NULL, 0, JSON_COMPACT) > mm_store_value_bytes(call->node->store))
    json_object_del(call->record, "d");
  mm_txn_guard(&txn, MM_KEY_JOB, call->id.s, version);
  mm_txn_put(&txn, MM_KEY_JOB, call->id.s, json_incref(call->record), 0);
  mm_store_commit(call->node->store, &txn, cancel_written, call);
}

static void
record_read(gpointer data, int status, json_t *body) {
  MmCall *call = data;

  if (status == 404) {
    /* Finished jobs move from the one key to the other, so this order cannot miss one. */
    mm_store_get(call->node->store, MM_KEY_FINAL, call->id.s, final_read, call);
    return;
  }
  if (status != 200 || !json_is_object(mm_json_get(body, WIRE_VALUE))) {
    mm_call_give_up(call);
    return;
  }
  json_decref(call->record);
  call->record = json_deep_copy(mm_json_get(body, WIRE_VALUE));
  if (call->cancel && mm_json_count(call->record, "c", 0) == 0)
    write_cancel(call, (MmKeyVersion){ mm_json_count(body, WIRE_VERSION, 0) });
  else if (mm_json_count(call->record, "c", 0) == 0 && mm_json_get(call->record, "w") != NULL)
    mm_call_answer_when_current(call); /* cancelled all the same, if what it depends on is */
  else
    answer_unfinished(call, mm_json_count(call->record, "c", 0) != 0);
}

void
mm_call_look_up(MmCall *call) {
  json_t *final = mm_job_table_final(call->node->job_table, call->id.s);

  if (final != NULL)
    mm_call_finish(call, 200, final, 0);
  else if (call->tries == 0 && mm_call_is_refused_now(call->node))
    mm_call_give_up(call);
  else
    mm_store_get(call->node->store, MM_KEY_JOB, call->id.s, record_read, call);
}

static void
wait_until_decided(MmCall *call) {
  MmApi *api = call->node->api;

  if (call->deadline.us == 0)
    call->deadline = mm_time_add_ms(mm_node_now(call->node), KNOWN_MS);
  g_queue_push_tail(api->undecided, call);
}

/* The replica holds all that was written when the question came: whatever any node had told of the
 * job by then shows here. */
static void
replica_current(gpointer data, gboolean current) {
  MmCall *call = data;
  const MmJob *job = mm_job_table_find(call->node->job_table, call->id.s);
  json_t *final = mm_job_table_final(call->node->job_table, call->id.s);

  if (final != NULL)
    mm_call_finish(call, 200, final, 0);
  else if (!current)
    mm_call_give_up(call);
  else if (job == NULL)
    mm_store_get(call->node->store, MM_KEY_FINAL, call->id.s, final_read, call);
  else if (!job->cancelled && mm_dependencies_undecided(call->node->dependencies, job))
    wait_until_decided(call);
  else
    answer_unfinished(call, job->cancelled);
}

void
mm_call_answer_when_current(MmCall *call) {
  mm_replica_when_current(call->node->replica, replica_current, call);
}

void
mm_api_status(MmNode *node, const char *id, MmExchange *exchange) {
  json_t *final = mm_job_table_final(node->job_table, id);

  if (final != NULL)
    mm_exchange_answer(exchange, 200, final, 0);
  else if (!mm_spec_id_is_valid(id))
    mm_exchange_answer(exchange, 404, mm_json_error("no such job"), 0);
  else if (mm_call_is_refused_now(node))
    mm_call_give_up(mm_call_new(node, exchange, id));
  else
    mm_call_answer_when_current(mm_call_new(node, exchange, id));
}

void
mm_api_cancel(MmNode *node, const char *id, MmExchange *exchange) {
  MmCall *call;

  if (!mm_spec_id_is_valid(id)) {
    mm_exchange_answer(exchange, 404, mm_json_error("no such job"), 0);
    return;
  }
  call = mm_call_new(node, exchange, id);
  call->cancel = TRUE;
  mm_call_look_up(call);
}
