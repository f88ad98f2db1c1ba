/* Starts travel only in answers to reports, never in direct commands: an answer is never carried
 * out late, while a direct command may be. An approval is good for the one answer it was asked for.
 */
#include "checkin/checkin.h"
#include "checkin/health.h"

#include "base/wire.h"
#include "checkin/machine-table.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "rank/rank.h"
#include "store/replica.h"
#include "store/store.h"

#define DEFER_MS 800
#define DEFERRED_LEAST 256
#define FAILS_MAX 4
#define REDIRECT_EVERY_MS 400
#define CONFIRMING_MAX 16

typedef struct {
  MmCommand start;
  MmName part;
  MmTerm term;
} Start;

typedef struct {
  MmCheckin *checkin;
  MmExchange *exchange;
  MmName machine;
  MmStamp stamp;
  MmResources room;
  GArray *starts; /* Start */
  GArray *tried;  /* MmTaskRef */
  MmChoice asked;
  guint dry;
  guint fails;
  guint64 ask;
  MmTime deadline;
} Session;

typedef struct {
  json_t *body;
  MmExchange *exchange;
  MmTime since;
} Deferred;

MmCheckin *
mm_checkin_new(MmNode *node) {
  MmCheckin *checkin = g_new0(MmCheckin, 1);

  checkin->node = node;
  checkin->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
  checkin->deferred = g_queue_new();
  checkin->confirming = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return checkin;
}

static void
session_free(Session *session) {
  g_array_unref(session->starts);
  g_array_unref(session->tried);
  g_free(session);
}

void
mm_checkin_free(MmCheckin *checkin) {
  GHashTableIter iter;
  gpointer value;
  Deferred *deferred;

  g_hash_table_iter_init(&iter, checkin->asks);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    mm_exchange_answer(((Session *)value)->exchange, 503, NULL, 0);
    session_free(value);
  }
  while ((deferred = g_queue_pop_head(checkin->deferred)) != NULL) {
    mm_exchange_answer(deferred->exchange, 503, NULL, 0);
    json_decref(deferred->body);
    g_free(deferred);
  }
  g_queue_free(checkin->deferred);
  g_hash_table_unref(checkin->asks);
  g_hash_table_unref(checkin->confirming);
  g_free(checkin);
}

/* ---- jobs that the replica does not know ---- */

typedef struct {
  MmCheckin *checkin;
  MmName job;
} Confirm;

static void
confirmed(gpointer data, int status, json_t *body) {
  Confirm *confirm = data;

  if (status == 200)
    mm_job_table_keep_final(confirm->checkin->node->job_table, confirm->job.s,
                            mm_json_get(body, WIRE_VALUE));
  g_hash_table_remove(confirm->checkin->confirming, confirm->job.s);
  g_free(confirm);
}

static void
confirm_over(MmCheckin *checkin, const MmName *job) {
  Confirm *confirm;

  if (g_hash_table_size(checkin->confirming) >= CONFIRMING_MAX
      || g_hash_table_contains(checkin->confirming, job->s)
      || mm_store_in_trouble(checkin->node->store))
    return;
  g_hash_table_add(checkin->confirming, g_strdup(job->s));
  confirm = g_new(Confirm, 1);
  *confirm = (Confirm){ checkin, *job };
  mm_store_get(checkin->node->store, MM_KEY_FINAL, job->s, confirmed, confirm);
}

/* What of these tasks has to go, whoever holds their parts. That a job is cancelled needs no judge:
 * an answer that leaves its tasks alone renews their lease, and with the holder refused by the
 * state service alone, and then nobody able to take its parts, they once ran on for as long. A job
 * without a record is over, unless the replica lags: only a final state that has been seen allows
 * its tasks to be cleared away. */
static void
clear_away(MmCheckin *checkin, const GArray *tasks, json_t *commands) {
  MmJobTable *job_table = checkin->node->job_table;

  for (guint i = 0; i < tasks->len; i++) {
    const MmSeenTask *seen = &g_array_index(tasks, MmSeenTask, i);
    const MmJob *job = mm_job_table_find(job_table, seen->job.s);
    MmCommand command = { seen->state == MM_SEEN_ENDED ? MM_OP_FORGET : MM_OP_STOP, seen->job,
                          seen->number, seen->attempt, 0 };
    if (job != NULL ? job->cancelled && seen->state != MM_SEEN_ENDED
                    : mm_job_table_is_over(job_table, seen->job.s))
      json_array_append_new(commands, mm_command_to_json(&command));
    else if (job == NULL)
      confirm_over(checkin, &seen->job);
  }
}

/* ---- answers ---- */

static gboolean
start_is_good(const MmCheckin *checkin, const Start *start) {
  const MmShard *part = mm_replica_shard(checkin->node->replica, start->part.s);
  const MmJob *job = mm_job_table_find(checkin->node->job_table, start->start.job.s);

  /* Adopting a term drops the approvals of superseded holders. */
  return part != NULL && part->term.v == start->term.v
         && (job != NULL ? !job->cancelled
                         : !mm_job_table_is_over(checkin->node->job_table, start->start.job.s));
}

/* Takes the commands. */
static void
send_commands(const MmNode *node, MmExchange *exchange, json_t *commands) {
  mm_exchange_answer(exchange, 200,
                     json_pack("{s:I, s:o}", WIRE_TOKEN, (json_int_t)node->replica->term.v,
                               WIRE_COMMANDS, commands),
                     0);
}

static void
finish(Session *session) {
  MmCheckin *checkin = session->checkin;
  MmNode *node = checkin->node;
  MmMachine *machine = mm_machine_table_find(node->machine_table, session->machine.s);
  json_t *commands;

  /* Without the machine's entry nothing is known of what must stop there. */
  if (!mm_claims_may_answer(node->claims) || machine == NULL) {
    mm_exchange_answer(session->exchange, 503, mm_json_error("not entitled to answer"), 0);
    session_free(session);
    return;
  }
  commands = json_array();
  if (machine->queued_session == session->stamp.session)
    for (guint i = 0; i < machine->queued->len; i++)
      json_array_append_new(commands,
                            mm_command_to_json(&g_array_index(machine->queued, MmCommand, i)));
  g_array_set_size(machine->queued, 0);
  clear_away(checkin, machine->tasks, commands);
  for (guint i = 0; i < session->starts->len; i++) {
    const Start *start = &g_array_index(session->starts, Start, i);
    if (start_is_good(checkin, start))
      json_array_append_new(commands, mm_command_to_json(&start->start));
  }
  send_commands(node, session->exchange, commands);
  session_free(session);
}

static void
take_approval(Session *session, const MmApproval *approval) {
  MmCheckin *checkin = session->checkin;
  const MmJob *job = mm_job_table_find(checkin->node->job_table, approval->job.s);
  Start start = { { MM_OP_START, approval->job, approval->number, approval->attempt, 0 },
                  approval->part,
                  approval->term };

  g_array_append_val(session->starts, start);
  if (job == NULL)
    session->room = (MmResources){ 0 };
  else if (!approval->reserved)
    session->room = mm_resources_sub(session->room, job->spec.need);
  mm_rank_strike(checkin->node->rank, (guint)session->asked.view, approval->job.s,
                 approval->number);
}

static void
take_refusal(Session *session) {
  session->fails++;
  if (session->asked.n == 0)
    session->dry |= 1u << session->asked.view;
  g_array_append_vals(session->tried, session->asked.tasks, session->asked.n);
}

static void
send_ask(Session *session) {
  MmCheckin *checkin = session->checkin;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Ask ask = MM__ASK__INIT;
  Mm__TaskRef refs[MM_RANK_CANDIDATES_MAX];
  Mm__TaskRef *list[MM_RANK_CANDIDATES_MAX];

  session->ask = ++checkin->next_ask;
  g_hash_table_insert(checkin->asks, &session->ask, session);
  ask.id = session->ask;
  ask.machine = session->machine.s;
  ask.session = session->stamp.session;
  ask.seq = session->stamp.seq;
  ask.cores = session->room.cores;
  ask.accelerators = session->room.accelerators;
  ask.memory_gb = session->room.memory_gb;
  ask.pull = session->asked.pull;
  for (guint i = 0; i < session->asked.n; i++) {
    mm__task_ref__init(&refs[i]);
    refs[i].job = session->asked.tasks[i].job.s;
    refs[i].number = session->asked.tasks[i].number;
    list[i] = &refs[i];
  }
  ask.candidates = list;
  ask.n_candidates = session->asked.n;
  frame.body_case = MM__FRAME__BODY_ASK;
  frame.ask = &ask;
  mm_links_send(checkin->node->links, (guint)session->asked.view - 1, &frame);
}

/* One request after another until the room is used, nothing fits or time is up. */
static void
go_on(Session *session) {
  MmCheckin *checkin = session->checkin;
  MmNode *node = checkin->node;
  guint most = (guint)node->operators->starts_per_answer;

  while (session->starts->len < most && session->fails < FAILS_MAX
         && mm_time_before(mm_node_now(node), session->deadline)) {
    MmMachine *machine = mm_machine_table_find(node->machine_table, session->machine.s);
    MmApproval approval;
    MmAsk ask;

    if (machine == NULL || mm_stamp_newer(machine->stamp, session->stamp)
        || !mm_machine_usable(node->machine_table, machine))
      break;
    session->asked
        = mm_rank_choose(node->rank, machine, session->room, session->tried, session->dry);
    if (session->asked.view < 0)
      break;
    if (session->asked.view > 0) {
      if (!node->links->peers[session->asked.view - 1].up) {
        take_refusal(session);
        session->dry |= 1u << session->asked.view;
        continue;
      }
      send_ask(session);
      return;
    }
    ask = (MmAsk){ .machine = machine,
                   .stamp = session->stamp,
                   .room = session->room,
                   .own = TRUE,
                   .pull = session->asked.pull,
                   .n = session->asked.n };
    memcpy(ask.tasks, session->asked.tasks, sizeof ask.tasks);
    if (mm_owner_ask(node->owner, &ask, &approval))
      take_approval(session, &approval);
    else
      take_refusal(session);
  }
  finish(session);
}

void
mm_checkin_answered(MmCheckin *checkin, guint peer, const Mm__Answer *answer) {
  guint64 id = answer->id;
  Session *session = g_hash_table_lookup(checkin->asks, &id);

  /* Too late: its answer has gone out without it, and the machine's next report denies it. */
  if (session == NULL || session->asked.view != (gint)peer + 1)
    return;
  g_hash_table_remove(checkin->asks, &id);
  checkin->node->rank->views[peer + 1].unfinished = answer->unfinished;
  if (answer->approval != NULL) {
    MmApproval approval = { mm_name(answer->approval->job), answer->approval->number,
                            { answer->approval->attempt },  mm_name(answer->approval->team),
                            { answer->approval->term },     FALSE };
    take_approval(session, &approval);
  } else {
    take_refusal(session);
  }
  go_on(session);
}

/* ---- reports ---- */

static void
redirect(MmCheckin *checkin, MmExchange *exchange, gint peer) {
  if (peer >= 0)
    mm_exchange_answer(
        exchange, 421,
        json_pack("{s:s}", WIRE_REPORT_TO, checkin->node->links->peers[peer].label.s), 0);
  else
    mm_exchange_answer(exchange, 503, mm_json_error("not entitled to answer"), 0);
}

/* Machines are spread over the nodes by moving one now and then. */
static gint
lighter_peer(MmCheckin *checkin) {
  MmTime now = mm_node_now(checkin->node);
  gint other;

  if (mm_time_ms_since(now, checkin->redirected) < REDIRECT_EVERY_MS)
    return -1;
  other = mm_links_other(checkin->node->links);
  if (other < 0 || checkin->hosted < checkin->node->links->peers[other].machines + 4)
    return -1;
  checkin->redirected = now;
  checkin->hosted--;
  checkin->node->links->peers[other].machines++;
  return other;
}

/* Each machine has one report under way, so the machine table bounds them; FALSE when it waits
 * already as long as it may. */
static gboolean
defer(MmCheckin *checkin, const json_t *body, MmExchange *exchange, MmTime since) {
  guint most = MAX(DEFERRED_LEAST, checkin->node->machine_table->order->len);
  Deferred *deferred;

  if (mm_time_ms_since(mm_node_now(checkin->node), since) >= DEFER_MS
      || g_queue_get_length(checkin->deferred) >= most)
    return FALSE;
  deferred = g_new(Deferred, 1);
  *deferred = (Deferred){ json_incref((json_t *)body), exchange, since };
  g_queue_push_tail(checkin->deferred, deferred);
  return TRUE;
}

/* While parts change hands, terms follow one another within a second, and a worker that is told of
 * one shows it at once, but the next only half a lease later or with a report that is due anyway:
 * parts then waited two report periods for their acknowledgements. So reports wait a moment for the
 * last of the terms. Not for ever, should nobody take a part. */
gboolean
mm_checkin_is_settling(const MmCheckin *checkin) {
  return checkin->unsettled_since.us != 0
         && mm_time_ms_since(mm_node_now(checkin->node), checkin->unsettled_since) < DEFER_MS;
}

static void
watch_parts(MmCheckin *checkin) {
  if (!mm_claims_unsettled(checkin->node->claims))
    checkin->unsettled_since.us = 0;
  else if (checkin->unsettled_since.us == 0)
    checkin->unsettled_since = mm_node_now(checkin->node);
}

static void
refuse_report(MmExchange *exchange, const char *reason) {
  mm_exchange_answer(exchange, 503, mm_json_error(reason), 0);
}

/* It gets the term to show, and stops, which are always good; not for ever, should it show nothing.
 */
static void
answer_unproved(MmCheckin *checkin, const MmReport *report, MmExchange *exchange) {
  MmNode *node = checkin->node;
  MmMachine *machine = mm_machine_table_note_unproved(node->machine_table, report);
  json_t *commands;

  if (mm_health_is_deaf(node->machine_table, machine)) {
    refuse_report(exchange, "earlier answers were not taken");
    return;
  }
  mm_health_note_answer(node->machine_table, machine, mm_node_now(node));
  mm_health_count_own_answer(node->machine_table, machine);
  mm_links_tell_unproved(node->links, &machine->id);
  commands = json_array();
  clear_away(checkin, report->tasks, commands);
  send_commands(node, exchange, commands);
}

/* Reports that this node may not answer, or not yet; TRUE when the exchange is dealt with. */
static gboolean
turn_away(MmCheckin *checkin, const MmReport *report, const json_t *body, MmExchange *exchange,
          MmTime since) {
  MmNode *node = checkin->node;
  gint peer;

  if (!mm_claims_may_answer(node->claims)) {
    redirect(checkin, exchange, mm_links_other(node->links));
    return TRUE;
  }
  if (report->token.v > node->replica->term.v) {
    /* A 200 with our term would be dropped and would hold the worker here: the watch must show the
     * newer term, with the part map, first. */
    if (!defer(checkin, body, exchange, since))
      refuse_report(exchange, "the term is not known here yet");
    return TRUE;
  }
  if (mm_checkin_is_settling(checkin) && defer(checkin, body, exchange, since))
    return TRUE;
  peer = lighter_peer(checkin);
  if (peer >= 0) {
    redirect(checkin, exchange, peer);
    return TRUE;
  }
  if (mm_machine_table_is_late(node->machine_table, report)) {
    refuse_report(exchange, "a newer report has come");
    return TRUE;
  }
  if (mm_machine_table_is_unproved(node->machine_table, report)) {
    answer_unproved(checkin, report, exchange);
    return TRUE;
  }
  return FALSE;
}

/* Takes the report into the machine table and tells the peers, before it is answered. */
static MmMachine *
take_and_tell(MmCheckin *checkin, const MmReport *report) {
  MmNode *node = checkin->node;
  MmMachine *machine
      = mm_machine_table_take(node->machine_table, report, mm_node_now(node), MM_HOST_SELF);

  if (machine != NULL) {
    mm_links_tell_report(node->links, machine, !report->unanswered);
    return machine;
  }
  /* Overtaken by a direct answer: it renews the lease if the worker still waits, so the peers must
   * know of it, whatever stamp they know. */
  machine = mm_machine_table_find(node->machine_table, report->machine.s);
  if (!report->unanswered)
    mm_links_tell_unproved(node->links, &machine->id);
  return machine;
}

static Session *
session_new(MmCheckin *checkin, const MmReport *report, MmMachine *machine, MmExchange *exchange) {
  MmNode *node = checkin->node;
  Session *session = g_new0(Session, 1);

  session->checkin = checkin;
  session->exchange = exchange;
  session->machine = report->machine;
  session->stamp = report->stamp;
  session->starts = g_array_new(FALSE, TRUE, sizeof(Start));
  session->tried = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  session->room = mm_machine_free(node->machine_table, machine);
  session->deadline = mm_time_add_ms(mm_node_now(node), (gint64)node->operators->ask_timeout_ms);
  return session;
}

/* A machine that shows no sign of having had any answer gets 503. Were it answered on, nobody could
 * ever prove its lease over, and parts that were taken meanwhile would wait for its acknowledgement
 * without end. */
static void
answer_report(MmCheckin *checkin, MmReport *report, MmExchange *exchange) {
  MmMachineTable *machine_table = checkin->node->machine_table;
  MmMachine *machine = mm_machine_table_find(machine_table, report->machine.s);

  report->unanswered = machine != NULL && mm_health_is_deaf(machine_table, machine)
                       && report->token.v <= machine->token.v;
  if (!report->unanswered || !machine->lost)
    machine = take_and_tell(checkin, report);
  if (report->unanswered) {
    refuse_report(exchange, "earlier answers were not taken");
    return;
  }
  mm_health_count_own_answer(machine_table, machine);
  go_on(session_new(checkin, report, machine, exchange));
}

static void
take_in(MmCheckin *checkin, const json_t *body, MmExchange *exchange, MmTime since) {
  const char *reason = NULL;
  MmReport report;

  if (!mm_report_parse(&report, body, &reason))
    mm_exchange_answer(exchange, 400, mm_json_error(reason), 0);
  else if (!turn_away(checkin, &report, body, exchange, since))
    answer_report(checkin, &report, exchange);
  mm_report_clear(&report);
}

void
mm_checkin_report(MmCheckin *checkin, const json_t *body, MmExchange *exchange) {
  take_in(checkin, body, exchange, mm_node_now(checkin->node));
}

static void
again(MmCheckin *checkin, Deferred *deferred) {
  take_in(checkin, deferred->body, deferred->exchange, deferred->since);
  json_decref(deferred->body);
  g_free(deferred);
}

void
mm_checkin_replica_changed(MmCheckin *checkin) {
  guint n = g_queue_get_length(checkin->deferred);

  watch_parts(checkin);
  while (n-- > 0)
    again(checkin, g_queue_pop_head(checkin->deferred));
}

guint
mm_checkin_hosted(const MmCheckin *checkin) {
  return checkin->hosted;
}

static void
count_hosted(MmCheckin *checkin) {
  MmNode *node = checkin->node;
  MmTime now = mm_node_now(node);
  gint64 recent_ms = (gint64)(node->settings->report_s * 3000);

  if (mm_time_ms_since(now, checkin->counted) < 500)
    return;
  checkin->counted = now;
  checkin->hosted = 0;
  for (guint i = 0; i < node->machine_table->order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->order, i);
    checkin->hosted += machine->host == MM_HOST_SELF && machine->heard
                       && mm_time_ms_since(now, machine->reported) < recent_ms;
  }
}

void
mm_checkin_tick(MmCheckin *checkin) {
  MmTime now = mm_node_now(checkin->node);
  g_autoptr(GPtrArray) late = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;

  count_hosted(checkin);
  if (checkin->unsettled_since.us != 0 && !mm_claims_unsettled(checkin->node->claims))
    mm_checkin_replica_changed(checkin);
  while (!g_queue_is_empty(checkin->deferred)) {
    Deferred *deferred = g_queue_peek_head(checkin->deferred);
    if (mm_time_ms_since(now, deferred->since) < DEFER_MS)
      break;
    again(checkin, g_queue_pop_head(checkin->deferred));
  }
  g_hash_table_iter_init(&iter, checkin->asks);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (!mm_time_before(now, ((Session *)value)->deadline))
      g_ptr_array_add(late, value);
  for (guint i = 0; i < late->len; i++) {
    Session *session = g_ptr_array_index(late, i);
    g_hash_table_remove(checkin->asks, &session->ask);
    finish(session);
  }
}
