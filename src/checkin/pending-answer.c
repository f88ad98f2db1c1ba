#include "checkin/pending-answer.h"

#include "base/wire.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "store/replica.h"
#include "store/store.h"

#define FAILS_MAX 4
#define CONFIRMING_MAX 16

static void
pending_answer_free(MmPendingAnswer *response) {
  g_array_unref(response->starts);
  g_array_unref(response->tried);
  g_free(response);
}

/* ---- jobs that the replica does not know ---- */

typedef struct {
  MmCheckin *checkin;
  MmName job;
} Confirm;

static void
confirmed(gpointer data, int status, json_t *body) {
  Confirm *confirmation = data;

  if (status == 200)
    mm_job_table_keep_final(confirmation->checkin->node->job_table, confirmation->job.s,
                            mm_json_get(body, WIRE_VALUE));
  g_hash_table_remove(confirmation->checkin->confirming, confirmation->job.s);
  g_free(confirmation);
}

static void
confirm_over(MmCheckin *server, const MmName *job_id) {
  Confirm *confirmation;

  if (g_hash_table_size(server->confirming) >= CONFIRMING_MAX
      || g_hash_table_contains(server->confirming, job_id->s)
      || mm_kv_client_is_refused(server->node->store))
    return;
  g_hash_table_add(server->confirming, g_strdup(job_id->s));
  confirmation = g_new(Confirm, 1);
  *confirmation = (Confirm){ server, *job_id };
  mm_kv_client_get(server->node->store, MM_KEY_TERMINAL_RECORD, job_id->s, confirmed, confirmation);
}

/* What of these tasks has to go, whoever holds their parts. That a job is cancelled needs no judge:
 * an answer that leaves its tasks alone renews their lease, and with the holder refused by the
 * state service alone, and then nobody able to take its parts, they once ran on for as long. A job
 * without a record is over, unless the replica lags: only a final state that has been seen allows
 * its tasks to be cleared away. */
void
mm_checkin_clear_away(MmCheckin *server, const GArray *tasks, json_t *commands) {
  MmJobTable *job_table = server->node->job_table;

  for (guint i = 0; i < tasks->len; i++) {
    const MmSeenTask *reported = &g_array_index(tasks, MmSeenTask, i);
    const MmJob *job = mm_job_table_find(job_table, reported->job.s);
    MmCommand command = { reported->state == MM_SEEN_ENDED ? MM_OP_FORGET : MM_OP_STOP,
                          reported->job, reported->number, reported->attempt, 0 };
    if (job != NULL ? job->cancelled && reported->state != MM_SEEN_ENDED
                    : mm_job_table_is_over(job_table, reported->job.s))
      json_array_append_new(commands, mm_command_to_json(&command));
    else if (job == NULL)
      confirm_over(server, &reported->job);
  }
}

/* ---- answers ---- */

static gboolean
start_is_good(const MmPendingAnswer *response, const MmApprovedStart *start) {
  const MmCheckin *server = response->checkin;
  const MmShard *shard = mm_replica_shard(server->node->replica, start->part.s);
  const MmJob *job = mm_job_table_find(server->node->job_table, start->start.job.s);

  /* Adopting a term drops the approvals and the grants of superseded owners. */
  return mm_sharing_grant_is_current(server->node->sharing, response->machine.s,
                                     response->grant_term)
         && shard != NULL && shard->term.v == start->term.v
         && (job != NULL ? !job->cancelled
                         : !mm_job_table_is_over(server->node->job_table, start->start.job.s));
}

void
mm_checkin_send_commands(const MmNode *node, MmExchange *exchange, json_t *commands) {
  mm_exchange_answer(exchange, 200,
                     json_pack("{s:I, s:o}", WIRE_TOKEN, (json_int_t)node->replica->term.v,
                               WIRE_COMMANDS, commands),
                     0);
}

static void
finish(MmPendingAnswer *response) {
  MmCheckin *server = response->checkin;
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine.s);
  json_t *commands;

  /* Without the machine's entry nothing is known of what must stop there. */
  if (!mm_node_lease_may_answer_workers(node->node_lease) || machine == NULL) {
    mm_exchange_answer(response->exchange, 503, mm_json_error("not entitled to answer"), 0);
    pending_answer_free(response);
    return;
  }
  commands = json_array();
  if (machine->queued_session == response->stamp.incarnation)
    for (guint i = 0; i < machine->queued->len; i++)
      json_array_append_new(commands,
                            mm_command_to_json(&g_array_index(machine->queued, MmCommand, i)));
  g_array_set_size(machine->queued, 0);
  mm_checkin_clear_away(server, machine->tasks, commands);
  for (guint i = 0; i < response->starts->len; i++) {
    const MmApprovedStart *start = &g_array_index(response->starts, MmApprovedStart, i);
    if (start_is_good(response, start))
      json_array_append_new(commands, mm_command_to_json(&start->start));
  }
  mm_checkin_send_commands(node, response->exchange, commands);
  pending_answer_free(response);
}

static void
take_approval(MmPendingAnswer *response, const MmApproval *approval) {
  MmCheckin *server = response->checkin;
  const MmJob *job = mm_job_table_find(server->node->job_table, approval->job.s);
  MmApprovedStart start = { { MM_OP_START, approval->job, approval->number, approval->attempt, 0 },
                            approval->part,
                            approval->term };

  g_array_append_val(response->starts, start);
  if (job == NULL)
    response->room = (MmResources){ 0 };
  else if (!approval->reserved)
    response->room = mm_resources_sub(response->room, job->spec.need);
  mm_rank_strike(server->node->rank, (guint)response->asked.view, approval->job.s,
                 approval->number);
}

static void
take_refusal(MmPendingAnswer *response) {
  response->fails++;
  if (response->asked.n == 0)
    response->dry |= 1u << response->asked.view;
  g_array_append_vals(response->tried, response->asked.tasks, response->asked.n);
}

static void
send_ask(MmPendingAnswer *response) {
  MmCheckin *server = response->checkin;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Ask request = MM__ASK__INIT;
  Mm__TaskRef task_refs[MM_RANK_CANDIDATES_MAX];
  Mm__TaskRef *ref_pointers[MM_RANK_CANDIDATES_MAX];

  response->ask = ++server->next_ask;
  g_hash_table_insert(server->asks, &response->ask, response);
  request.id = response->ask;
  request.machine = response->machine.s;
  request.session = response->stamp.incarnation;
  request.seq = response->stamp.sequence;
  request.cores = response->room.cores;
  request.accelerators = response->room.accelerators;
  request.memory_gb = response->room.memory_gb;
  request.pull = response->asked.pull;
  for (guint i = 0; i < response->asked.n; i++) {
    mm__task_ref__init(&task_refs[i]);
    task_refs[i].job = response->asked.tasks[i].job.s;
    task_refs[i].number = response->asked.tasks[i].number;
    ref_pointers[i] = &task_refs[i];
  }
  request.candidates = ref_pointers;
  request.n_candidates = response->asked.n;
  frame.body_case = MM__FRAME__BODY_ASK;
  frame.ask = &request;
  mm_links_send(server->node->links, (guint)response->asked.view - 1, &frame);
}

/* ---- grants of the machine's resources ---- */

static void
ask_for_grants(MmPendingAnswer *response) {
  MmCheckin *server = response->checkin;
  guint n_starts = response->starts->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__GrantAsk request = MM__GRANT_ASK__INIT;
  g_autofree Mm__GrantStart *items = g_new(Mm__GrantStart, n_starts);
  g_autofree Mm__GrantStart **list = g_new(Mm__GrantStart *, n_starts);

  response->granting = TRUE;
  response->ask = ++server->next_ask;
  response->deadline
      = mm_time_add_ms(mm_node_now(server->node), (gint64)server->node->operators->ask_timeout_ms);
  g_hash_table_insert(server->asks, &response->ask, response);
  for (guint i = 0; i < n_starts; i++) {
    MmApprovedStart *start = &g_array_index(response->starts, MmApprovedStart, i);
    mm__grant_start__init(&items[i]);
    items[i].job = start->start.job.s;
    items[i].number = start->start.number;
    items[i].attempt = start->start.attempt.v;
    list[i] = &items[i];
  }
  request.id = response->ask;
  request.machine = response->machine.s;
  request.session = response->stamp.incarnation;
  request.seq = response->stamp.sequence;
  request.term = response->grant_term.v;
  request.starts = list;
  request.n_starts = n_starts;
  frame.body_case = MM__FRAME__BODY_GRANT_ASK;
  frame.grant_ask = &request;
  mm_links_send(server->node->links, response->grant_peer, &frame);
}

static void
grant_here(MmPendingAnswer *response) {
  MmSharing *sharing = response->checkin->node->sharing;
  MmMachine *machine
      = mm_machine_table_find(response->checkin->node->machine_table, response->machine.s);

  for (guint i = response->starts->len; i > 0; i--) {
    const MmCommand *start = &g_array_index(response->starts, MmApprovedStart, i - 1).start;
    MmGrant grant = { start->job, start->number, start->attempt, response->stamp };
    if (machine == NULL || !mm_sharing_may_grant(sharing, machine)
        || !mm_grants_give(sharing->grants, machine, &grant))
      g_array_remove_index(response->starts, i - 1);
  }
}

/* The approved starts need their resources granted by whoever owns the machine's group. */
static void
get_grants(MmPendingAnswer *response) {
  if (response->starts->len > 0 && response->grants == MM_GRANTS_AT_PEER) {
    ask_for_grants(response);
    return;
  }
  if (response->grants == MM_GRANTS_HERE)
    grant_here(response);
  finish(response);
}

void
mm_pending_answer_granted(MmCheckin *server, guint peer, const Mm__GrantAnswer *reply) {
  guint64 request_id = reply->id;
  MmPendingAnswer *response = g_hash_table_lookup(server->asks, &request_id);

  if (response == NULL || !response->granting || response->grant_peer != peer
      || reply->n_granted != response->starts->len)
    return;
  g_hash_table_remove(server->asks, &request_id);
  for (guint i = response->starts->len; i > 0; i--)
    if (!reply->granted[i - 1])
      g_array_remove_index(response->starts, i - 1);
  finish(response);
}

/* One request after another until the room is used, nothing fits or time is up. */
static void
go_on(MmPendingAnswer *response) {
  MmCheckin *server = response->checkin;
  MmNode *node = server->node;
  guint limit = (guint)node->operators->starts_per_answer;

  while (response->starts->len < limit && response->fails < FAILS_MAX
         && mm_time_before(mm_node_now(node), response->deadline)) {
    MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine.s);
    MmApproval approval;
    MmAsk request;

    if (machine == NULL || mm_heartbeat_id_is_newer(machine->stamp, response->stamp)
        || !mm_machine_usable(node->machine_table, machine))
      break;
    response->asked
        = mm_rank_choose(node->rank, machine, response->room, response->tried, response->dry);
    if (response->asked.view < 0)
      break;
    if (response->asked.view > 0) {
      if (!node->links->peers[response->asked.view - 1].up) {
        take_refusal(response);
        response->dry |= 1u << response->asked.view;
        continue;
      }
      send_ask(response);
      return;
    }
    request = (MmAsk){ .machine = machine,
                       .stamp = response->stamp,
                       .room = response->room,
                       .own = TRUE,
                       .pull = response->asked.pull,
                       .n = response->asked.n };
    memcpy(request.tasks, response->asked.tasks, sizeof request.tasks);
    if (mm_owner_ask(node->owner, &request, &approval))
      take_approval(response, &approval);
    else
      take_refusal(response);
  }
  get_grants(response);
}

void
mm_checkin_answered(MmCheckin *server, guint peer, const Mm__Answer *reply) {
  guint64 request_id = reply->id;
  MmPendingAnswer *response = g_hash_table_lookup(server->asks, &request_id);

  /* Too late: its answer has gone out without it, and the machine's next report denies it. */
  if (response == NULL || response->granting || response->asked.view != (gint)peer + 1)
    return;
  g_hash_table_remove(server->asks, &request_id);
  server->node->rank->views[peer + 1].unfinished = reply->unfinished;
  if (reply->approval != NULL) {
    MmApproval approval
        = { mm_name(reply->approval->job),  reply->approval->number,   { reply->approval->attempt },
            mm_name(reply->approval->team), { reply->approval->term }, FALSE };
    take_approval(response, &approval);
  } else {
    take_refusal(response);
  }
  go_on(response);
}

static MmPendingAnswer *
pending_answer_new(MmCheckin *server, const MmReport *heartbeat, MmMachine *machine,
                   MmExchange *exchange) {
  MmNode *node = server->node;
  MmPendingAnswer *response = g_new0(MmPendingAnswer, 1);

  response->checkin = server;
  response->exchange = exchange;
  response->machine = heartbeat->machine;
  response->stamp = heartbeat->stamp;
  response->starts = g_array_new(FALSE, TRUE, sizeof(MmApprovedStart));
  response->tried = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  response->room = mm_machine_free(node->machine_table, machine);
  response->grants = mm_sharing_grant_source(node->sharing, machine, &response->grant_peer,
                                             &response->grant_term);
  response->deadline = mm_time_add_ms(mm_node_now(node), (gint64)node->operators->ask_timeout_ms);
  return response;
}

void
mm_pending_answer_start(MmCheckin *server, const MmReport *heartbeat, MmMachine *machine,
                        MmExchange *exchange) {
  MmPendingAnswer *response = pending_answer_new(server, heartbeat, machine, exchange);

  /* Where nobody can grant resources, nothing is asked for: it would only be denied later. */
  if (response->grants == MM_GRANTS_NOWHERE)
    finish(response);
  else
    go_on(response);
}

void
mm_pending_answers_expire(MmCheckin *server) {
  MmTime now = mm_node_now(server->node);
  g_autoptr(GPtrArray) expired = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, server->asks);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (!mm_time_before(now, ((MmPendingAnswer *)value)->deadline))
      g_ptr_array_add(expired, value);
  for (guint i = 0; i < expired->len; i++) {
    MmPendingAnswer *response = g_ptr_array_index(expired, i);
    g_hash_table_remove(server->asks, &response->ask);
    if (response->granting)
      g_array_set_size(response->starts, 0);
    if (response->granting || response->grants == MM_GRANTS_NOT_NEEDED)
      finish(response);
    else
      get_grants(response);
  }
}

void
mm_pending_answers_refuse(MmCheckin *server) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, server->asks);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    mm_exchange_answer(((MmPendingAnswer *)value)->exchange, 503, NULL, 0);
    pending_answer_free(value);
  }
}
