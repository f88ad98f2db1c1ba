#include "peers/peer-links.h"

#include "heartbeat/heartbeat-server.h"
#include "machines/machine-health.h"
#include "heartbeat/pending-response.h"
#include "dependencies/dependencies.h"
#include "jobs/job-api.h"
#include "scheduler/scheduler.h"
#include "leases/node-lease.h"
#include "placement/placement.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "kv/kv-client.h"

/* How long reports that show nothing new may wait to be told together. */
#define REPEAT_HEARTBEATS_INTERVAL_MS 200
/* A pong this old says nothing of whether the peer still answers. */
#define PONG_FRESH_MS 1500
/* A connection over which no ping was answered for so many periods is opened anew. */
#define SILENT_PINGS 10
#define SILENT_MIN_MS 5000
/* More than this between two ticks is not the peer's silence: this node was stopped itself. */
#define TICK_GAP_MAX_MS (4 * MM_NODE_TICK_MS)

MmPeerLinks *
mm_peer_links_new(MmNode *node) {
  MmPeerLinks *links = g_new0(MmPeerLinks, 1);

  links->node = node;
  links->n_peers = node->settings->peers->len;
  links->unverified = g_array_new(FALSE, FALSE, sizeof(MmName));
  links->repeat_heartbeats = g_array_new(FALSE, FALSE, sizeof(MmRepeatHeartbeat));
  links->peers = g_new0(MmPeer, links->n_peers);
  for (guint i = 0; i < links->n_peers; i++)
    links->peers[i].label = g_array_index(node->settings->peers, MmPeerSettings, i).label;
  return links;
}

void
mm_peer_links_free(MmPeerLinks *links) {
  g_array_unref(links->repeat_heartbeats);
  g_array_unref(links->unverified);
  g_free(links->peers);
  g_free(links);
}

gint
mm_peer_links_find(const MmPeerLinks *links, const char *label) {
  for (guint i = 0; i < links->n_peers; i++)
    if (strcmp(links->peers[i].label.s, label) == 0)
      return (gint)i;
  return -1;
}

/* Also to a peer that has not been told everything yet. */
static void
send_if_connected(MmPeerLinks *links, guint peer, Mm__Frame *frame) {
  if (!links->peers[peer].is_connected)
    return;
  links->n_frames_sent++;
  links->node->platform.send(links->node->platform.context, peer, frame);
}

void
mm_peer_links_send(MmPeerLinks *links, guint peer, Mm__Frame *frame) {
  if (links->peers[peer].is_up)
    send_if_connected(links, peer, frame);
}

/* How long ago, plus one; 0: never, or not to speak of. */
static guint32
wire_age_ms(const MmPeerLinks *links, MmTime since) {
  gint64 age = mm_time_ms_since(mm_node_now(links->node), since);

  return since.us == 0 || age > 3600000 ? 0 : (guint32)age + 1;
}

static void
send_hello(MmPeerLinks *links, guint peer) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Hello hello = MM__HELLO__INIT;

  hello.label = (char *)links->node->settings->label.s;
  hello.lease_id = links->node->node_lease->lease_id;
  frame.body_case = MM__FRAME__BODY_HELLO;
  frame.hello = &hello;
  send_if_connected(links, peer, &frame);
}

static void
send_ping(MmPeerLinks *links, guint peer) {
  MmTime now = mm_node_now(links->node);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Ping ping = MM__PING__INIT;

  ping.sent_at_us = (guint64)now.us;
  ping.served_age_plus_one_ms = wire_age_ms(links, links->node->kv->last_served_at);
  frame.body_case = MM__FRAME__BODY_PING;
  frame.ping = &ping;
  send_if_connected(links, peer, &frame);
}

void
mm_peer_links_connected(MmPeerLinks *links, guint peer) {
  links->peers[peer].is_connected = TRUE;
  links->peers[peer].is_up = FALSE;
  links->peers[peer].silent_us = 0;
  send_hello(links, peer);
  send_ping(links, peer);
}

/* Tells a peer that lives what it must know before any pong of ours. A peer that stands still costs
 * a few bytes each time its connection is opened anew. */
static void
send_initial_state(MmPeerLinks *links, guint peer) {
  const MmJobTable *job_table = links->node->job_table;

  links->peers[peer].is_up = TRUE;
  mm_debug("link to %s stands", links->peers[peer].label.s);
  mm_peer_links_send_recent_responses(links, peer);
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    /* What depends on a cancelled job, the peer works out by itself. */
    if (job->is_cancelled && !mm_job_has_cancelled_dependency(job))
      mm_peer_links_send_cancellation(links, peer, job->spec.id.s);
  }
  mm_placement_send_backlog(links->node->placement, (gint)peer);
}

void
mm_peer_links_disconnected(MmPeerLinks *links, guint peer) {
  links->peers[peer].is_connected = FALSE;
  links->peers[peer].is_up = FALSE;
  links->peers[peer].serves_workers = FALSE;
  mm_sharing_peer_down(links->node->sharing, peer);
}

MmTime
mm_peer_links_responses_known_until(const MmPeerLinks *links) {
  const MmReplica *replica = links->node->replica;
  MmTime known_until = replica->fresh_until;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    const MmLiveNode *live_node = g_hash_table_lookup(replica->live_nodes, peer->label.s);
    if (live_node == NULL)
      continue;
    /* A pong of another life says nothing of this one; a silent peer counts as answering. */
    if (live_node->lease_id != peer->lease_id)
      return (MmTime){ 0 };
    known_until = mm_time_min(known_until, peer->responses_known_until);
  }
  return known_until;
}

MmTime
mm_peer_links_last_refused_at(const MmPeerLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].last_refused_at);
  return last;
}

MmTime
mm_peer_links_last_served_at(const MmPeerLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].last_served_at);
  return last;
}

gboolean
mm_peer_links_peer_serves_workers(const MmPeerLinks *links, guint peer) {
  const MmPeer *peer_state = &links->peers[peer];

  return peer_state->is_up && peer_state->serves_workers
         && mm_time_ms_since(mm_node_now(links->node), peer_state->last_pong_at) <= PONG_FRESH_MS;
}

gint
mm_peer_links_least_loaded(const MmPeerLinks *links) {
  gint best = -1;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    if (!mm_peer_links_peer_serves_workers(links, i))
      continue;
    if (best < 0 || peer->n_machines < links->peers[best].n_machines)
      best = (gint)i;
  }
  return best;
}

/* A refusal is taken as old as it may be, a service as young: both make a proof of an outage
 * harder. Of a service the last word counts: an earlier one may have been long on its way. A
 * refusal counts from when our ping went out, since the pong may have been held back, or have lain
 * unread while this node stood still; a ping of theirs says nothing of its age. */
static void
record_served(MmPeerLinks *links, guint peer, guint32 served_age_ms) {
  if (served_age_ms > 0)
    links->peers[peer].last_served_at
        = mm_time_add_ms(mm_node_now(links->node), 1 - (gint64)served_age_ms);
}

static void
record_refused(MmPeerLinks *links, guint peer, MmTime ping_sent_at, guint32 refused_age_ms) {
  MmPeer *peer_state = &links->peers[peer];

  if (refused_age_ms > 0)
    peer_state->last_refused_at = mm_time_max(
        peer_state->last_refused_at, mm_time_add_ms(ping_sent_at, -(gint64)refused_age_ms));
}

static void
receive_heartbeat(MmPeerLinks *links, guint peer, const Mm__Heartbeat *message) {
  MmHeartbeat heartbeat = { .machine_id = mm_name(message->machine_id),
                            .type = mm_name(message->type),
                            .zone = mm_name(message->zone),
                            .is_spot = message->is_spot,
                            .heartbeat_id = { message->incarnation, message->sequence },
                            .fencing_token = { message->fencing_token },
                            .has_termination_notice = message->has_termination_notice,
                            .is_direct_reply = message->is_direct_reply,
                            .is_unanswered = message->is_unanswered,
                            .termination_notice_s = message->termination_notice_s };

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
                                     .is_checkpointed = task->is_checkpointed };
    g_array_append_val(heartbeat.tasks, reported_task);
  }
  machine = mm_machine_table_record_heartbeat(
      links->node->machine_table, &heartbeat,
      mm_time_add_ms(mm_node_now(links->node), -(gint64)message->age_ms), (gint)peer);
  if (machine != NULL && !message->is_unanswered)
    mm_machine_health_count_response(links->node->machine_table, machine,
                                     (MmTerm){ message->term });
  mm_heartbeat_clear(&heartbeat);
}

static void
receive_repeat_heartbeats(MmPeerLinks *links, guint peer, const Mm__RepeatHeartbeats *repeats) {
  MmTime now = mm_node_now(links->node);

  if (repeats->n_incarnations != repeats->n_machines || repeats->n_sequences != repeats->n_machines)
    return;
  for (size_t i = 0; i < repeats->n_machines; i++) {
    MmHeartbeatId heartbeat_id = { repeats->incarnations[i], repeats->sequences[i] };
    MmMachine *machine = mm_machine_table_find(links->node->machine_table, repeats->machines[i]);
    mm_machine_table_record_repeat(links->node->machine_table, repeats->machines[i], heartbeat_id,
                                   now, (gint)peer);
    if (machine != NULL)
      mm_machine_health_count_response(links->node->machine_table, machine,
                                       (MmTerm){ repeats->term });
  }
  for (size_t i = 0; i < repeats->n_unverified; i++)
    mm_machine_table_record_response(links->node->machine_table, repeats->unverified[i], now);
}

static void
receive_commands(MmPeerLinks *links, const Mm__Commands *message) {
  MmMachine *machine = mm_machine_table_find(links->node->machine_table, message->machine);

  if (machine == NULL || machine->serving_node != MM_SERVING_NODE_SELF
      || machine->latest_message_id.incarnation != message->incarnation)
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
      mm_machine_queue_command(machine, message->incarnation, &command);
  }
}

static void
send_pong(MmPeerLinks *links, guint peer, const Mm__Ping *ping) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Pong pong = MM__PONG__INIT;

  /* The pong says that all answers given before the ping are known: so they are told first. */
  mm_peer_broadcast_repeat_heartbeats(links);
  pong.ping_sent_at_us = ping->sent_at_us;
  pong.refused_age_plus_one_ms = wire_age_ms(links, links->node->kv->last_refused_at);
  pong.served_age_plus_one_ms = wire_age_ms(links, links->node->kv->last_served_at);
  pong.lease_id = links->node->node_lease->lease_id;
  pong.serves_workers = mm_node_lease_may_answer_workers(links->node->node_lease);
  pong.n_machines = mm_heartbeat_server_served_machines(links->node->heartbeat_server);
  frame.body_case = MM__FRAME__BODY_PONG;
  frame.pong = &pong;
  mm_peer_links_send(links, peer, &frame);
}

/* What is about machine groups; FALSE when it is something else. */
static gboolean
receive_sharing_frame(MmPeerLinks *links, guint peer_index, const Mm__Frame *frame) {
  MmSharing *sharing = links->node->sharing;

  switch (frame->body_case) {
  case MM__FRAME__BODY_GRANT_REQUEST:
    mm_sharing_grant_requested(sharing, peer_index, frame->grant_request);
    return TRUE;
  case MM__FRAME__BODY_GRANT_RESPONSE:
    mm_pending_response_handle_grant_response(links->node->heartbeat_server, peer_index,
                                              frame->grant_response);
    return TRUE;
  case MM__FRAME__BODY_MOVE_ORDER:
    mm_sharing_move_ordered(sharing, peer_index, frame->move_order);
    return TRUE;
  case MM__FRAME__BODY_GROUP_MOVES:
    mm_sharing_moves_received(sharing, peer_index, frame->group_moves);
    return TRUE;
  default:
    return FALSE;
  }
}

void
mm_peer_links_receive(MmPeerLinks *links, guint peer_index, const Mm__Frame *frame) {
  MmPeer *peer = &links->peers[peer_index];

  if (peer->is_connected && !peer->is_up)
    send_initial_state(links, peer_index);
  switch (frame->body_case) {
  case MM__FRAME__BODY_HELLO:
    break; /* the transport has used it to tell whose link this is */
  case MM__FRAME__BODY_PING:
    record_served(links, peer_index, frame->ping->served_age_plus_one_ms);
    send_pong(links, peer_index, frame->ping);
    break;
  case MM__FRAME__BODY_PONG:
    record_served(links, peer_index, frame->pong->served_age_plus_one_ms);
    record_refused(links, peer_index, (MmTime){ (gint64)frame->pong->ping_sent_at_us },
                   frame->pong->refused_age_plus_one_ms);
    peer->last_pong_at = mm_node_now(links->node);
    peer->silent_us = 0;
    peer->serves_workers = frame->pong->serves_workers;
    peer->n_machines = frame->pong->n_machines;
    if (peer->lease_id != frame->pong->lease_id)
      peer->responses_known_until.us = 0;
    peer->lease_id = frame->pong->lease_id;
    peer->responses_known_until = mm_time_max(peer->responses_known_until,
                                              (MmTime){ (gint64)frame->pong->ping_sent_at_us });
    break;
  case MM__FRAME__BODY_HEARTBEAT:
    receive_heartbeat(links, peer_index, frame->heartbeat);
    break;
  case MM__FRAME__BODY_REPEAT_HEARTBEATS:
    receive_repeat_heartbeats(links, peer_index, frame->repeat_heartbeats);
    break;
  case MM__FRAME__BODY_START_REQUEST:
    mm_scheduler_peer_start_request(links->node->scheduler, peer_index, frame->start_request);
    break;
  case MM__FRAME__BODY_START_RESPONSE:
    mm_pending_response_handle_start_response(links->node->heartbeat_server, peer_index,
                                              frame->start_response);
    break;
  case MM__FRAME__BODY_BACKLOG:
    mm_placement_backlog_received(links->node->placement, (gint)peer_index, frame->backlog);
    break;
  case MM__FRAME__BODY_COMMANDS:
    receive_commands(links, frame->commands);
    break;
  case MM__FRAME__BODY_JOB_CANCELLED:
    if (mm_scheduler_job_cancelled(links->node->scheduler, frame->job_cancelled->job))
      mm_peer_links_send_cancellation_ack(links, peer_index, frame->job_cancelled->job);
    break;
  case MM__FRAME__BODY_CANCELLATION_ACK:
    mm_job_api_cancel_acked(links->node->job_api, peer_index, frame->cancellation_ack->job);
    break;
  case MM__FRAME__BODY_MACHINE_GONE:
    mm_machine_table_record_termination(links->node->machine_table, frame->machine_gone->machine);
    break;
  default:
    if (!receive_sharing_frame(links, peer_index, frame))
      mm_debug("a frame of unknown kind from %s", peer->label.s);
    break;
  }
}

/* A peer whose machine went away without a word leaves a connection that looks open. TCP tries
 * again ever more rarely, for minutes: a node that was back after a minute and a half once heard
 * nothing of its peers for as long again, and the parts it had taken waited for machines that only
 * the peers had heard. */
static void
reconnect_silent_peers(MmPeerLinks *links, MmTime now) {
  gint64 elapsed_us = MIN(now.us - links->last_tick_at.us, TICK_GAP_MAX_MS * 1000);
  gint64 silence_limit_ms
      = MAX((gint64)(links->node->operators->peer_ping_s * 1000 * SILENT_PINGS), SILENT_MIN_MS);

  links->last_tick_at = now;
  for (guint i = 0; i < links->n_peers; i++) {
    MmPeer *peer = &links->peers[i];
    if (!peer->is_connected)
      continue;
    peer->silent_us += elapsed_us;
    if (peer->silent_us < silence_limit_ms * 1000)
      continue;
    mm_info("no ping to %s was answered for %.1f s: a new connection", peer->label.s,
            (double)peer->silent_us / G_USEC_PER_SEC);
    links->node->platform.reconnect(links->node->platform.context, i);
  }
}

void
mm_peer_links_tick(MmPeerLinks *links) {
  MmTime now = mm_node_now(links->node);

  reconnect_silent_peers(links, now);
  if (mm_time_ms_since(now, links->repeats_sent_at) >= REPEAT_HEARTBEATS_INTERVAL_MS)
    mm_peer_broadcast_repeat_heartbeats(links);
  if (mm_time_before(now, links->next_ping_at))
    return;
  links->next_ping_at = mm_time_add_ms(now, (gint64)(links->node->operators->peer_ping_s * 1000));
  for (guint i = 0; i < links->n_peers; i++)
    send_ping(links, i);
}
