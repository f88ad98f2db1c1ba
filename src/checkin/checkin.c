/* Which reports this node may answer, and when. */
#include "checkin/checkin.h"
#include "checkin/health.h"
#include "checkin/pending-answer.h"

#include "base/wire.h"
#include "checkin/machine-table.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "sharing/sharing.h"
#include "store/replica.h"
#include "upgrade/versions.h"

#define DEFER_MS 800
#define DEFERRED_LEAST 256
#define REDIRECT_EVERY_MS 400

typedef struct {
  json_t *body;
  MmExchange *exchange;
  MmTime since;
} Deferred;

MmCheckin *
mm_checkin_new(MmNode *node) {
  MmCheckin *server = g_new0(MmCheckin, 1);

  server->node = node;
  server->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
  server->deferred = g_queue_new();
  server->confirming = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return server;
}

void
mm_checkin_free(MmCheckin *server) {
  Deferred *deferred;

  mm_pending_answers_refuse(server);
  while ((deferred = g_queue_pop_head(server->deferred)) != NULL) {
    mm_exchange_answer(deferred->exchange, 503, NULL, 0);
    json_decref(deferred->body);
    g_free(deferred);
  }
  g_queue_free(server->deferred);
  g_hash_table_unref(server->asks);
  g_hash_table_unref(server->confirming);
  g_free(server);
}

/* ---- reports ---- */

static void
redirect(MmCheckin *server, MmExchange *exchange, gint peer) {
  if (peer >= 0)
    mm_exchange_answer(exchange, 421,
                       json_pack("{s:s}", WIRE_REPORT_TO, server->node->links->peers[peer].label.s),
                       0);
  else
    mm_exchange_answer(exchange, 503, mm_json_error("not entitled to answer"), 0);
}

/* Machines are spread over the nodes by moving one now and then. */
static gint
lighter_peer(MmCheckin *server) {
  MmTime now = mm_node_now(server->node);
  gint peer;

  if (mm_time_ms_since(now, server->redirected) < REDIRECT_EVERY_MS)
    return -1;
  peer = mm_links_other(server->node->links);
  if (peer < 0 || server->hosted < server->node->links->peers[peer].machines + 4)
    return -1;
  server->redirected = now;
  server->hosted--;
  server->node->links->peers[peer].machines++;
  return peer;
}

/* Each machine has one report under way, so the machine table bounds them; FALSE when it waits
 * already as long as it may. */
static gboolean
defer(MmCheckin *server, const json_t *body, MmExchange *exchange, MmTime received_at) {
  guint limit = MAX(DEFERRED_LEAST, server->node->machine_table->order->len);
  Deferred *deferred;

  if (mm_time_ms_since(mm_node_now(server->node), received_at) >= DEFER_MS
      || g_queue_get_length(server->deferred) >= limit)
    return FALSE;
  deferred = g_new(Deferred, 1);
  *deferred = (Deferred){ json_incref((json_t *)body), exchange, received_at };
  g_queue_push_tail(server->deferred, deferred);
  return TRUE;
}

/* While parts change hands, terms follow one another within a second, and a worker that is told of
 * one shows it at once, but the next only half a lease later or with a report that is due anyway:
 * parts then waited two report periods for their acknowledgements. So reports wait a moment for the
 * last of the terms. Not for ever, should nobody take a part. */
gboolean
mm_checkin_is_settling(const MmCheckin *server) {
  return server->unsettled_since.us != 0
         && mm_time_ms_since(mm_node_now(server->node), server->unsettled_since) < DEFER_MS;
}

static void
watch_parts(MmCheckin *server) {
  if (!mm_shard_ownership_is_unsettled(server->node->node_lease))
    server->unsettled_since.us = 0;
  else if (server->unsettled_since.us == 0)
    server->unsettled_since = mm_node_now(server->node);
}

static void
refuse_report(MmExchange *exchange, const char *reason) {
  mm_exchange_answer(exchange, 503, mm_json_error(reason), 0);
}

/* It gets the term to show, and stops, which are always good; not for ever, should it show nothing.
 */
static void
answer_unproved(MmCheckin *server, const MmReport *heartbeat, MmExchange *exchange) {
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_note_unproved(node->machine_table, heartbeat);
  json_t *commands;

  if (mm_health_is_deaf(node->machine_table, machine)) {
    refuse_report(exchange, "earlier answers were not taken");
    return;
  }
  mm_health_note_answer(node->machine_table, machine, mm_node_now(node));
  mm_health_count_own_answer(node->machine_table, machine);
  mm_links_tell_unproved(node->links, &machine->id);
  commands = json_array();
  mm_checkin_clear_away(server, heartbeat->tasks, commands);
  mm_checkin_send_commands(node, exchange, commands);
}

/* Reports that this node may not answer, or not yet; TRUE when the exchange is dealt with. */
static gboolean
turn_away(MmCheckin *server, const MmReport *heartbeat, const json_t *body, MmExchange *exchange,
          MmTime received_at) {
  MmNode *node = server->node;
  gint peer;

  if (!mm_node_lease_may_answer_workers(node->node_lease)
      || !mm_versions_own_groups_announced(node->versions)) {
    redirect(server, exchange, mm_links_other(node->links));
    return TRUE;
  }
  if (heartbeat->token.v > node->replica->term.v) {
    /* A 200 with our term would be dropped and would hold the worker here: the watch must show the
     * newer term, with the part map, first. */
    if (!defer(server, body, exchange, received_at))
      refuse_report(exchange, "the term is not known here yet");
    return TRUE;
  }
  if (mm_checkin_is_settling(server) && defer(server, body, exchange, received_at))
    return TRUE;
  peer = node->sharing->active ? mm_sharing_redirect(node->sharing, heartbeat->machine.s)
                               : lighter_peer(server);
  if (peer >= 0) {
    redirect(server, exchange, peer);
    return TRUE;
  }
  if (mm_machine_table_is_late(node->machine_table, heartbeat)) {
    refuse_report(exchange, "a newer report has come");
    return TRUE;
  }
  if (mm_machine_table_is_unproved(node->machine_table, heartbeat)) {
    answer_unproved(server, heartbeat, exchange);
    return TRUE;
  }
  return FALSE;
}

/* Takes the report into the machine table and tells the peers, before it is answered. */
static MmMachine *
take_and_tell(MmCheckin *server, const MmReport *heartbeat) {
  MmNode *node = server->node;
  MmMachine *machine
      = mm_machine_table_take(node->machine_table, heartbeat, mm_node_now(node), MM_HOST_SELF);

  if (machine != NULL) {
    mm_links_tell_report(node->links, machine, !heartbeat->unanswered);
    return machine;
  }
  /* Overtaken by a direct answer: it renews the lease if the worker still waits, so the peers must
   * know of it, whatever stamp they know. */
  machine = mm_machine_table_find(node->machine_table, heartbeat->machine.s);
  if (!heartbeat->unanswered)
    mm_links_tell_unproved(node->links, &machine->id);
  return machine;
}

/* A machine that shows no sign of having had any answer gets 503. Were it answered on, nobody could
 * ever prove its lease over, and parts that were taken meanwhile would wait for its acknowledgement
 * without end. */
static void
answer_report(MmCheckin *server, MmReport *heartbeat, MmExchange *exchange) {
  MmMachineTable *machine_table = server->node->machine_table;
  MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine.s);

  heartbeat->unanswered = machine != NULL && mm_health_is_deaf(machine_table, machine)
                          && heartbeat->token.v <= machine->token.v;
  if (!heartbeat->unanswered || !machine->lost)
    machine = take_and_tell(server, heartbeat);
  if (heartbeat->unanswered) {
    refuse_report(exchange, "earlier answers were not taken");
    return;
  }
  mm_health_count_own_answer(machine_table, machine);
  mm_pending_answer_start(server, heartbeat, machine, exchange);
}

static void
take_in(MmCheckin *server, const json_t *body, MmExchange *exchange, MmTime received_at) {
  const char *reason = NULL;
  MmReport heartbeat;

  if (!mm_report_parse(&heartbeat, body, &reason))
    mm_exchange_answer(exchange, 400, mm_json_error(reason), 0);
  else if (!turn_away(server, &heartbeat, body, exchange, received_at))
    answer_report(server, &heartbeat, exchange);
  mm_report_clear(&heartbeat);
}

void
mm_checkin_report(MmCheckin *server, const json_t *body, MmExchange *exchange) {
  take_in(server, body, exchange, mm_node_now(server->node));
}

static void
again(MmCheckin *server, Deferred *deferred) {
  take_in(server, deferred->body, deferred->exchange, deferred->since);
  json_decref(deferred->body);
  g_free(deferred);
}

void
mm_checkin_replica_changed(MmCheckin *server) {
  guint n_deferred = g_queue_get_length(server->deferred);

  watch_parts(server);
  while (n_deferred-- > 0)
    again(server, g_queue_pop_head(server->deferred));
}

guint
mm_checkin_hosted(const MmCheckin *server) {
  return server->hosted;
}

static void
count_hosted(MmCheckin *server) {
  MmNode *node = server->node;
  MmTime now = mm_node_now(node);
  gint64 recent_ms = (gint64)(node->settings->heartbeat_interval_s * 3000);

  if (mm_time_ms_since(now, server->counted) < 500)
    return;
  server->counted = now;
  server->hosted = 0;
  for (guint i = 0; i < node->machine_table->order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->order, i);
    server->hosted += machine->host == MM_HOST_SELF && machine->heard
                      && mm_time_ms_since(now, machine->reported) < recent_ms;
  }
}

void
mm_checkin_tick(MmCheckin *server) {
  MmTime now = mm_node_now(server->node);

  count_hosted(server);
  if (server->unsettled_since.us != 0 && !mm_shard_ownership_is_unsettled(server->node->node_lease))
    mm_checkin_replica_changed(server);
  while (!g_queue_is_empty(server->deferred)) {
    Deferred *deferred = g_queue_peek_head(server->deferred);
    if (mm_time_ms_since(now, deferred->since) < DEFER_MS)
      break;
    again(server, g_queue_pop_head(server->deferred));
  }
  mm_pending_answers_expire(server);
}
