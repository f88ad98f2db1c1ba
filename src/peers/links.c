#include "peers/links.h"

#include "checkin/checkin.h"
#include "checkin/health.h"
#include "checkin/pending-answer.h"
#include "dependencies/dependencies.h"
#include "jobs/api.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "rank/rank.h"
#include "sharing/sharing.h"
#include "store/replica.h"
#include "store/store.h"

/* How long reports that show nothing new may wait to be told together. */
#define BEATS_EVERY_MS 200
/* A pong this old says nothing of whether the peer still answers. */
#define PONG_RECENT_MS 1500
/* A connection over which no ping was answered for so many periods is opened anew. */
#define SILENT_PINGS 10
#define SILENT_LEAST_MS 5000
/* More than this between two ticks is not the peer's silence: this node was stopped itself. */
#define TICK_MOST_MS (4 * MM_NODE_TICK_MS)

MmLinks *
mm_links_new(MmNode *node) {
  MmLinks *links = g_new0(MmLinks, 1);

  links->node = node;
  links->n_peers = node->settings->peers->len;
  links->unproved = g_array_new(FALSE, FALSE, sizeof(MmName));
  links->beats = g_array_new(FALSE, FALSE, sizeof(MmBeat));
  links->peers = g_new0(MmPeer, links->n_peers);
  for (guint i = 0; i < links->n_peers; i++)
    links->peers[i].label = g_array_index(node->settings->peers, MmPeerSettings, i).label;
  return links;
}

void
mm_links_free(MmLinks *links) {
  g_array_unref(links->beats);
  g_array_unref(links->unproved);
  g_free(links->peers);
  g_free(links);
}

gint
mm_links_find(const MmLinks *links, const char *label) {
  for (guint i = 0; i < links->n_peers; i++)
    if (strcmp(links->peers[i].label.s, label) == 0)
      return (gint)i;
  return -1;
}

/* Also to a peer that has not been told everything yet. */
static void
send_at_once(MmLinks *links, guint peer, Mm__Frame *frame) {
  if (!links->peers[peer].connected)
    return;
  links->frames_out++;
  links->node->port.send(links->node->port.self, peer, frame);
}

void
mm_links_send(MmLinks *links, guint peer, Mm__Frame *frame) {
  if (links->peers[peer].up)
    send_at_once(links, peer, frame);
}

/* How long ago, plus one; 0: never, or not to speak of. */
static guint32
age_ms(const MmLinks *links, MmTime since) {
  gint64 age = mm_time_ms_since(mm_node_now(links->node), since);

  return since.us == 0 || age > 3600000 ? 0 : (guint32)age + 1;
}

static void
send_hello(MmLinks *links, guint peer) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Hello hello = MM__HELLO__INIT;

  hello.label = (char *)links->node->settings->label.s;
  hello.claim = links->node->node_lease->lease_id;
  frame.body_case = MM__FRAME__BODY_HELLO;
  frame.hello = &hello;
  send_at_once(links, peer, &frame);
}

static void
send_ping(MmLinks *links, guint peer) {
  MmTime now = mm_node_now(links->node);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Ping ping = MM__PING__INIT;

  ping.at_us = (guint64)now.us;
  ping.served_ms = age_ms(links, links->node->store->last_served_at);
  frame.body_case = MM__FRAME__BODY_PING;
  frame.ping = &ping;
  send_at_once(links, peer, &frame);
}

void
mm_links_connected(MmLinks *links, guint peer) {
  links->peers[peer].connected = TRUE;
  links->peers[peer].up = FALSE;
  links->peers[peer].silent_us = 0;
  send_hello(links, peer);
  send_ping(links, peer);
}

/* Tells a peer that lives what it must know before any pong of ours. A peer that stands still costs
 * a few bytes each time its connection is opened anew. */
static void
introduce(MmLinks *links, guint peer) {
  const MmJobTable *job_table = links->node->job_table;

  links->peers[peer].up = TRUE;
  mm_debug("link to %s stands", links->peers[peer].label.s);
  mm_links_tell_answered(links, peer);
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    /* What depends on a cancelled job, the peer works out by itself. */
    if (job->is_cancelled && !mm_job_has_cancelled_dependency(job))
      mm_links_tell_cancelled_to(links, peer, job->spec.id.s);
  }
  mm_placement_send_backlog(links->node->rank, (gint)peer);
}

void
mm_links_down(MmLinks *links, guint peer) {
  links->peers[peer].connected = FALSE;
  links->peers[peer].up = FALSE;
  links->peers[peer].answering = FALSE;
  mm_sharing_peer_down(links->node->sharing, peer);
}

MmTime
mm_links_settled(const MmLinks *links) {
  const MmReplica *replica = links->node->replica;
  MmTime known_until = replica->fresh_until;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    const MmLiveNode *live_node = g_hash_table_lookup(replica->live_nodes, peer->label.s);
    if (live_node == NULL)
      continue;
    /* A pong of another life says nothing of this one; a silent peer counts as answering. */
    if (live_node->lease_id != peer->claim)
      return (MmTime){ 0 };
    known_until = mm_time_min(known_until, peer->settled);
  }
  return known_until;
}

MmTime
mm_links_last_refused(const MmLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].refused);
  return last;
}

MmTime
mm_links_last_served(const MmLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].served);
  return last;
}

gboolean
mm_links_peer_answers(const MmLinks *links, guint peer) {
  const MmPeer *peer_state = &links->peers[peer];

  return peer_state->up && peer_state->answering
         && mm_time_ms_since(mm_node_now(links->node), peer_state->ponged) <= PONG_RECENT_MS;
}

gint
mm_links_other(const MmLinks *links) {
  gint best = -1;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    if (!mm_links_peer_answers(links, i))
      continue;
    if (best < 0 || peer->machines < links->peers[best].machines)
      best = (gint)i;
  }
  return best;
}

/* A refusal is taken as old as it may be, a service as young: both make a proof of an outage
 * harder. Of a service the last word counts: an earlier one may have been long on its way. A
 * refusal counts from when our ping went out, since the pong may have been held back, or have lain
 * unread while this node stood still; a ping of theirs says nothing of its age. */
static void
note_served(MmLinks *links, guint peer, guint32 served_age_ms) {
  if (served_age_ms > 0)
    links->peers[peer].served = mm_time_add_ms(mm_node_now(links->node), 1 - (gint64)served_age_ms);
}

static void
note_refused(MmLinks *links, guint peer, MmTime ping_sent_at, guint32 refused_age_ms) {
  MmPeer *peer_state = &links->peers[peer];

  if (refused_age_ms > 0)
    peer_state->refused
        = mm_time_max(peer_state->refused, mm_time_add_ms(ping_sent_at, -(gint64)refused_age_ms));
}

static void
take_report(MmLinks *links, guint peer, const Mm__Report *message) {
  MmHeartbeat heartbeat = { .machine_id = mm_name(message->machine),
                            .type = mm_name(message->type),
                            .zone = mm_name(message->zone),
                            .is_spot = message->spot,
                            .heartbeat_id = { message->session, message->seq },
                            .fencing_token = { message->token },
                            .has_termination_notice = message->warned,
                            .is_direct_reply = message->direct,
                            .is_unanswered = message->unanswered,
                            .termination_notice_s = message->notice_s };

  MmMachine *machine;

  if (mm_name_is_empty(&heartbeat.machine_id)
      || (heartbeat.is_direct_reply
          && mm_machine_table_find(links->node->machine_table, heartbeat.machine_id.s) == NULL))
    return;
  g_strlcpy(heartbeat.addr, message->addr, sizeof heartbeat.addr);
  heartbeat.tasks = g_array_sized_new(FALSE, TRUE, sizeof(MmReportedTask), (guint)message->n_tasks);
  for (size_t i = 0; i < message->n_tasks; i++) {
    const Mm__TaskState *task = message->tasks[i];
    MmReportedTask reported_task = { .job = mm_name(task->job),
                                     .number = task->number,
                                     .attempt = { task->attempt },
                                     .state = (guint8)MIN(task->state, MM_REPORTED_ENDED),
                                     .cause = (guint8)MIN(task->cause, MM_CAUSE_NO_SUCH_TASK),
                                     .is_checkpointed = task->saved };
    g_array_append_val(heartbeat.tasks, reported_task);
  }
  machine = mm_machine_table_record_heartbeat(
      links->node->machine_table, &heartbeat,
      mm_time_add_ms(mm_node_now(links->node), -(gint64)message->age_ms), (gint)peer);
  if (machine != NULL && !message->unanswered)
    mm_machine_health_count_response(links->node->machine_table, machine,
                                     (MmTerm){ message->term });
  mm_heartbeat_clear(&heartbeat);
}

static void
take_beats(MmLinks *links, guint peer, const Mm__Beats *repeats) {
  MmTime now = mm_node_now(links->node);

  if (repeats->n_sessions != repeats->n_machines || repeats->n_seqs != repeats->n_machines)
    return;
  for (size_t i = 0; i < repeats->n_machines; i++) {
    MmHeartbeatId heartbeat_id = { repeats->sessions[i], repeats->seqs[i] };
    MmMachine *machine = mm_machine_table_find(links->node->machine_table, repeats->machines[i]);
    mm_machine_table_record_repeat(links->node->machine_table, repeats->machines[i], heartbeat_id,
                                   now, (gint)peer);
    if (machine != NULL)
      mm_machine_health_count_response(links->node->machine_table, machine,
                                       (MmTerm){ repeats->term });
  }
  for (size_t i = 0; i < repeats->n_unproved; i++)
    mm_machine_table_record_response(links->node->machine_table, repeats->unproved[i], now);
}

static void
take_commands(MmLinks *links, const Mm__Commands *message) {
  MmMachine *machine = mm_machine_table_find(links->node->machine_table, message->machine);

  if (machine == NULL || machine->serving_node != MM_SERVING_NODE_SELF
      || machine->latest_message_id.incarnation != message->session)
    return;
  for (size_t i = 0; i < message->n_commands; i++) {
    const Mm__Command *item = message->commands[i];
    MmCommand command = { .op = (MmCommandOp)item->op,
                          .job = mm_name(item->job),
                          .number = item->number,
                          .attempt = { item->attempt },
                          .grace_s = item->grace_s };
    /* Starts are good for one answer only and never come this way. */
    if (command.op == MM_OP_STOP || command.op == MM_OP_FORGET)
      mm_machine_queue_command(machine, message->session, &command);
  }
}

static void
answer_ping(MmLinks *links, guint peer, const Mm__Ping *ping) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Pong pong = MM__PONG__INIT;

  /* The pong says that all answers given before the ping are known: so they are told first. */
  mm_links_tell_beats(links);
  pong.at_us = ping->at_us;
  pong.outage_ms = age_ms(links, links->node->store->last_refused_at);
  pong.served_ms = age_ms(links, links->node->store->last_served_at);
  pong.claim = links->node->node_lease->lease_id;
  pong.answering = mm_node_lease_may_answer_workers(links->node->node_lease);
  pong.machines = mm_heartbeat_server_served_machines(links->node->checkin);
  frame.body_case = MM__FRAME__BODY_PONG;
  frame.pong = &pong;
  mm_links_send(links, peer, &frame);
}

/* What is about machine groups; FALSE when it is something else. */
static gboolean
take_sharing_frame(MmLinks *links, guint peer_index, const Mm__Frame *frame) {
  MmSharing *sharing = links->node->sharing;

  switch (frame->body_case) {
  case MM__FRAME__BODY_GRANT_ASK:
    mm_sharing_grant_asked(sharing, peer_index, frame->grant_ask);
    return TRUE;
  case MM__FRAME__BODY_GRANT_ANSWER:
    mm_pending_response_grants_answered(links->node->checkin, peer_index, frame->grant_answer);
    return TRUE;
  case MM__FRAME__BODY_MOVE_ORDER:
    mm_sharing_move_ordered(sharing, peer_index, frame->move_order);
    return TRUE;
  case MM__FRAME__BODY_GROUP_MOVES:
    mm_sharing_moves_heard(sharing, peer_index, frame->group_moves);
    return TRUE;
  default:
    return FALSE;
  }
}

void
mm_links_frame(MmLinks *links, guint peer_index, const Mm__Frame *frame) {
  MmPeer *peer = &links->peers[peer_index];

  if (peer->connected && !peer->up)
    introduce(links, peer_index);
  switch (frame->body_case) {
  case MM__FRAME__BODY_HELLO:
    break; /* the transport has used it to tell whose link this is */
  case MM__FRAME__BODY_PING:
    note_served(links, peer_index, frame->ping->served_ms);
    answer_ping(links, peer_index, frame->ping);
    break;
  case MM__FRAME__BODY_PONG:
    note_served(links, peer_index, frame->pong->served_ms);
    note_refused(links, peer_index, (MmTime){ (gint64)frame->pong->at_us }, frame->pong->outage_ms);
    peer->ponged = mm_node_now(links->node);
    peer->silent_us = 0;
    peer->answering = frame->pong->answering;
    peer->machines = frame->pong->machines;
    if (peer->claim != frame->pong->claim)
      peer->settled.us = 0;
    peer->claim = frame->pong->claim;
    peer->settled = mm_time_max(peer->settled, (MmTime){ (gint64)frame->pong->at_us });
    break;
  case MM__FRAME__BODY_REPORT:
    take_report(links, peer_index, frame->report);
    break;
  case MM__FRAME__BODY_BEATS:
    take_beats(links, peer_index, frame->beats);
    break;
  case MM__FRAME__BODY_ASK:
    mm_scheduler_peer_start_request(links->node->owner, peer_index, frame->ask);
    break;
  case MM__FRAME__BODY_ANSWER:
    mm_pending_response_start_answered(links->node->checkin, peer_index, frame->answer);
    break;
  case MM__FRAME__BODY_BACKLOG:
    mm_placement_backlog_received(links->node->rank, (gint)peer_index, frame->backlog);
    break;
  case MM__FRAME__BODY_COMMANDS:
    take_commands(links, frame->commands);
    break;
  case MM__FRAME__BODY_CANCELLED:
    if (mm_scheduler_job_cancelled(links->node->owner, frame->cancelled->job))
      mm_links_tell_cancel_ack(links, peer_index, frame->cancelled->job);
    break;
  case MM__FRAME__BODY_CANCEL_ACK:
    mm_job_api_cancel_acked(links->node->api, peer_index, frame->cancel_ack->job);
    break;
  case MM__FRAME__BODY_GONE:
    mm_machine_table_record_termination(links->node->machine_table, frame->gone->machine);
    break;
  default:
    if (!take_sharing_frame(links, peer_index, frame))
      mm_debug("a frame of unknown kind from %s", peer->label.s);
    break;
  }
}

/* A peer whose machine went away without a word leaves a connection that looks open. TCP tries
 * again ever more rarely, for minutes: a node that was back after a minute and a half once heard
 * nothing of its peers for as long again, and the parts it had taken waited for machines that only
 * the peers had heard. */
static void
reopen_silent(MmLinks *links, MmTime now) {
  gint64 elapsed_us = MIN(now.us - links->ticked.us, TICK_MOST_MS * 1000);
  gint64 silence_limit_ms
      = MAX((gint64)(links->node->operators->peer_ping_s * 1000 * SILENT_PINGS), SILENT_LEAST_MS);

  links->ticked = now;
  for (guint i = 0; i < links->n_peers; i++) {
    MmPeer *peer = &links->peers[i];
    if (!peer->connected)
      continue;
    peer->silent_us += elapsed_us;
    if (peer->silent_us < silence_limit_ms * 1000)
      continue;
    mm_info("no ping to %s was answered for %.1f s: a new connection", peer->label.s,
            (double)peer->silent_us / G_USEC_PER_SEC);
    links->node->port.reconnect(links->node->port.self, i);
  }
}

void
mm_links_tick(MmLinks *links) {
  MmTime now = mm_node_now(links->node);

  reopen_silent(links, now);
  if (mm_time_ms_since(now, links->beat_told) >= BEATS_EVERY_MS)
    mm_links_tell_beats(links);
  if (mm_time_before(now, links->next_ping))
    return;
  links->next_ping = mm_time_add_ms(now, (gint64)(links->node->operators->peer_ping_s * 1000));
  for (guint i = 0; i < links->n_peers; i++)
    send_ping(links, i);
}
