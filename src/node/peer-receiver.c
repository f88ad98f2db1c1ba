#include "node/peer-receiver.h"

#include "dependencies/dependencies.h"
#include "heartbeat-server/pending-response.h"
#include "job-api/job-api.h"
#include "machines/machine-health.h"
#include "peers/peer-broadcast.h"
#include "placement/backlog.h"
#include "scheduler/admission.h"
#include "scheduler/stop-commands.h"
#include "sharing/moves.h"
#include "sharing/sharing.h"

/* Sends the initial state to a peer whose first frame has proved that the peer is alive. This node
 * sends the initial state before it answers any ping of the peer. Before that first frame this node
 * sends only a few bytes on a new connection, because a connection to a peer whose process is
 * stopped must cost little. */
static void
send_initial_state(MmPeerLinks *links, guint peer) {
  const MmJobTable *job_table = links->node->job_table;

  links->peers[peer].is_up = TRUE;
  mm_debug("peer link is up peer=%s", links->peers[peer].label.s);
  mm_peer_links_send_recent_responses(links, peer);
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    /* A job is also cancelled when one of its dependencies is cancelled. Such a cancellation is not
     * sent, because the peer derives it from the job's dependencies. */
    if (job->is_cancelled && !mm_job_has_cancelled_dependency(job))
      mm_peer_links_send_cancellation(links, peer, job->spec.id.s);
  }
  mm_placement_send_backlog(links->node->placement, (gint)peer);
}

/* Returns the tasks of the message as an array of MmReportedTask. Free the array with
 * g_array_unref. A state or cause above the last known enum value is replaced by the last known
 * value. */
static GArray *
parse_reported_tasks(const Mm__Heartbeat *message) {
  GArray *tasks = g_array_sized_new(FALSE, TRUE, sizeof(MmReportedTask), (guint)message->n_tasks);

  for (size_t i = 0; i < message->n_tasks; i++) {
    const Mm__TaskState *task = message->tasks[i];
    MmReportedTask reported_task = { .job = mm_name(task->job),
                                     .number = task->number,
                                     .attempt = { task->attempt },
                                     .state = (guint8)MIN(task->state, MM_REPORTED_ENDED),
                                     .cause = (guint8)MIN(task->cause, MM_CAUSE_NO_SUCH_TASK),
                                     .is_checkpointed = task->is_checkpointed };
    g_array_append_val(tasks, reported_task);
  }
  return tasks;
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
  heartbeat.tasks = parse_reported_tasks(message);
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
    mm_machine_table_record_repeat_heartbeat(links->node->machine_table, repeats->machines[i],
                                             heartbeat_id, now, (gint)peer);
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
    /* Peers do not forward start commands, because a start command is valid only in the response
     * for which it was created. */
    if (command.op == MM_OP_STOP || command.op == MM_OP_FORGET)
      mm_machine_queue_command(machine, message->incarnation, &command);
  }
}

/* Handles frames about the liveness of the link. Returns FALSE for other frames. */
static gboolean
receive_liveness_frame(MmPeerLinks *links, guint peer, const Mm__Frame *frame) {
  switch (frame->body_case) {
  case MM__FRAME__BODY_HELLO:
    return TRUE; /* already used by the transport to identify the peer */
  case MM__FRAME__BODY_PING:
    mm_peer_links_ping_received(links, peer, frame->ping);
    return TRUE;
  case MM__FRAME__BODY_PONG:
    mm_peer_links_pong_received(links, peer, frame->pong);
    return TRUE;
  default:
    return FALSE;
  }
}

/* Handles frames about machines that report to other nodes. Returns FALSE for other frames. */
static gboolean
receive_machine_frame(MmPeerLinks *links, guint peer, const Mm__Frame *frame) {
  switch (frame->body_case) {
  case MM__FRAME__BODY_HEARTBEAT:
    receive_heartbeat(links, peer, frame->heartbeat);
    return TRUE;
  case MM__FRAME__BODY_REPEAT_HEARTBEATS:
    receive_repeat_heartbeats(links, peer, frame->repeat_heartbeats);
    return TRUE;
  case MM__FRAME__BODY_COMMANDS:
    receive_commands(links, frame->commands);
    return TRUE;
  case MM__FRAME__BODY_MACHINE_GONE:
    mm_machine_table_record_termination(links->node->machine_table, frame->machine_gone->machine);
    return TRUE;
  default:
    return FALSE;
  }
}

/* Handles frames about jobs: task starts, the backlog and cancellations. Returns FALSE for other
 * frames. */
static gboolean
receive_job_frame(MmPeerLinks *links, guint peer, const Mm__Frame *frame) {
  MmNode *node = links->node;

  switch (frame->body_case) {
  case MM__FRAME__BODY_START_REQUEST:
    mm_scheduler_peer_start_request(node->scheduler, peer, frame->start_request);
    return TRUE;
  case MM__FRAME__BODY_START_RESPONSE:
    mm_pending_response_handle_start_response(node->heartbeat_server, peer, frame->start_response);
    return TRUE;
  case MM__FRAME__BODY_BACKLOG:
    mm_placement_backlog_received(node->placement, (gint)peer, frame->backlog);
    return TRUE;
  case MM__FRAME__BODY_JOB_CANCELLED:
    if (mm_scheduler_job_cancelled(node->scheduler, frame->job_cancelled->job))
      mm_peer_links_send_cancellation_ack(links, peer, frame->job_cancelled->job);
    return TRUE;
  case MM__FRAME__BODY_CANCELLATION_ACK:
    mm_job_api_cancel_acked(node->job_api, peer, frame->cancellation_ack->job);
    return TRUE;
  default:
    return FALSE;
  }
}

/* Handles frames about machine groups. Returns FALSE for other frames. */
static gboolean
receive_sharing_frame(MmPeerLinks *links, guint peer, const Mm__Frame *frame) {
  MmSharing *sharing = links->node->sharing;

  switch (frame->body_case) {
  case MM__FRAME__BODY_GRANT_REQUEST:
    mm_sharing_grant_requested(sharing, peer, frame->grant_request);
    return TRUE;
  case MM__FRAME__BODY_GRANT_RESPONSE:
    mm_pending_response_handle_grant_response(links->node->heartbeat_server, peer,
                                              frame->grant_response);
    return TRUE;
  case MM__FRAME__BODY_MOVE_ORDER:
    mm_sharing_move_ordered(sharing, peer, frame->move_order);
    return TRUE;
  case MM__FRAME__BODY_GROUP_MOVES:
    mm_sharing_moves_received(sharing, peer, frame->group_moves);
    return TRUE;
  default:
    return FALSE;
  }
}

void
mm_peer_links_receive(MmPeerLinks *links, guint peer, const Mm__Frame *frame) {
  if (links->peers[peer].is_connected && !links->peers[peer].is_up)
    send_initial_state(links, peer);
  if (!receive_liveness_frame(links, peer, frame) && !receive_machine_frame(links, peer, frame)
      && !receive_job_frame(links, peer, frame) && !receive_sharing_frame(links, peer, frame))
    mm_debug("peer frame ignored, unknown type peer=%s", links->peers[peer].label.s);
}
