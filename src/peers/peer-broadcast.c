#include "peers/peer-broadcast.h"

#include "kv/replica.h"

/* Maximum number of heartbeats without changes, and of unverified machines, in one frame. A batch
 * that reaches this size is sent without waiting for its interval. */
#define REPEAT_HEARTBEATS_PER_FRAME_MAX 1024

static void
broadcast_frame(MmPeerLinks *links, Mm__Frame *frame) {
  for (guint i = 0; i < links->n_peers; i++)
    mm_peer_links_send(links, i, frame);
}

typedef enum { HEARTBEAT_ANSWERED, HEARTBEAT_UNANSWERED, HEARTBEAT_DIRECT } HeartbeatKind;

/* Returns the machine's reported tasks as protobuf messages. Free with g_free; the strings are
 * borrowed from the machine. */
static Mm__TaskState *
new_task_states(const MmMachine *machine) {
  guint n_tasks = machine->reported_tasks->len;
  Mm__TaskState *states = g_new(Mm__TaskState, MAX(n_tasks, 1));

  for (guint i = 0; i < n_tasks; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    mm__task_state__init(&states[i]);
    states[i].job = (char *)task->job.s;
    states[i].number = task->number;
    states[i].attempt = task->attempt.v;
    states[i].state = task->state;
    states[i].cause = task->cause;
    states[i].is_checkpointed = task->is_checkpointed;
  }
  return states;
}

/* Fills all fields except the tasks. The strings are borrowed from the machine. */
static void
fill_heartbeat(const MmPeerLinks *links, const MmMachine *machine, HeartbeatKind kind,
               Mm__Heartbeat *heartbeat) {
  MmTime now = mm_node_now(links->node);

  heartbeat->machine_id = (char *)machine->id.s;
  heartbeat->addr = (char *)machine->addr;
  heartbeat->type = (char *)machine->type_name.s;
  heartbeat->zone = (char *)machine->zone.s;
  heartbeat->is_spot = machine->is_spot;
  heartbeat->is_unanswered = kind != HEARTBEAT_ANSWERED;
  heartbeat->is_direct_reply = kind == HEARTBEAT_DIRECT;
  heartbeat->term = kind == HEARTBEAT_ANSWERED ? links->node->replica->term.v : 0;
  heartbeat->incarnation = machine->latest_message_id.incarnation;
  heartbeat->sequence = machine->latest_message_id.sequence;
  heartbeat->fencing_token = machine->acknowledged_term.v;
  heartbeat->has_termination_notice = machine->has_termination_notice;
  if (machine->has_termination_notice)
    heartbeat->termination_notice_s
        = (double)mm_time_ms_since(machine->termination_at, now) / 1000.0;
  if (kind != HEARTBEAT_DIRECT)
    heartbeat->age_ms
        = (guint32)CLAMP(mm_time_ms_since(now, machine->last_heartbeat_at), 0, G_MAXUINT32);
}

static void
send_heartbeat(MmPeerLinks *links, guint peer, const MmMachine *machine, HeartbeatKind kind) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Heartbeat heartbeat = MM__HEARTBEAT__INIT;
  guint n_tasks = machine->reported_tasks->len;
  g_autofree Mm__TaskState *states = new_task_states(machine);
  g_autofree Mm__TaskState **tasks = g_new(Mm__TaskState *, MAX(n_tasks, 1));

  for (guint i = 0; i < n_tasks; i++)
    tasks[i] = &states[i];
  fill_heartbeat(links, machine, kind, &heartbeat);
  heartbeat.tasks = tasks;
  heartbeat.n_tasks = n_tasks;
  frame.body_case = MM__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  mm_peer_links_send(links, peer, &frame);
}

void
mm_peer_broadcast_repeat_heartbeats(MmPeerLinks *links) {
  guint n = links->repeat_heartbeats->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__RepeatHeartbeats repeats = MM__REPEAT_HEARTBEATS__INIT;
  g_autofree char **machines = g_new(char *, MAX(n, 1));
  g_autofree guint64 *incarnations = g_new(guint64, MAX(n, 1));
  g_autofree guint64 *sequences = g_new(guint64, MAX(n, 1));
  g_autofree char **unverified = g_new(char *, MAX(links->unverified_machines->len, 1));

  links->repeat_heartbeats_sent_at = mm_node_now(links->node);
  if (n == 0 && links->unverified_machines->len == 0)
    return;
  for (guint i = 0; i < n; i++) {
    MmRepeatHeartbeat *repeat = &g_array_index(links->repeat_heartbeats, MmRepeatHeartbeat, i);
    machines[i] = repeat->machine.s;
    incarnations[i] = repeat->heartbeat_id.incarnation;
    sequences[i] = repeat->heartbeat_id.sequence;
  }
  for (guint i = 0; i < links->unverified_machines->len; i++)
    unverified[i] = g_array_index(links->unverified_machines, MmName, i).s;
  repeats.unverified = unverified;
  repeats.n_unverified = links->unverified_machines->len;
  repeats.term = links->node->replica->term.v;
  repeats.machines = machines;
  repeats.incarnations = incarnations;
  repeats.sequences = sequences;
  repeats.n_machines = repeats.n_incarnations = repeats.n_sequences = n;
  frame.body_case = MM__FRAME__BODY_REPEAT_HEARTBEATS;
  frame.repeat_heartbeats = &repeats;
  broadcast_frame(links, &frame);
  g_array_set_size(links->repeat_heartbeats, 0);
  g_array_set_size(links->unverified_machines, 0);
}

void
mm_peer_broadcast_unverified(MmPeerLinks *links, const MmName *machine) {
  g_array_append_val(links->unverified_machines, *machine);
  if (links->unverified_machines->len >= REPEAT_HEARTBEATS_PER_FRAME_MAX)
    mm_peer_broadcast_repeat_heartbeats(links);
}

static void
broadcast_heartbeat(MmPeerLinks *links, const MmMachine *machine, HeartbeatKind kind) {
  for (guint i = 0; i < links->n_peers; i++)
    if (links->peers[i].is_up)
      send_heartbeat(links, i, machine, kind);
}

void
mm_peer_broadcast_heartbeat(MmPeerLinks *links, MmMachine *machine, gboolean is_answered) {
  if (!machine->has_unsent_changes && is_answered) {
    MmRepeatHeartbeat repeat = { machine->id, machine->latest_message_id };
    g_array_append_val(links->repeat_heartbeats, repeat);
    if (links->repeat_heartbeats->len >= REPEAT_HEARTBEATS_PER_FRAME_MAX)
      mm_peer_broadcast_repeat_heartbeats(links);
    return;
  }
  machine->has_unsent_changes = FALSE;
  broadcast_heartbeat(links, machine, is_answered ? HEARTBEAT_ANSWERED : HEARTBEAT_UNANSWERED);
}

void
mm_peer_broadcast_direct_reply(MmPeerLinks *links, MmMachine *machine) {
  broadcast_heartbeat(links, machine, HEARTBEAT_DIRECT);
}

void
mm_peer_links_send_cancellation(MmPeerLinks *links, guint peer, const char *job) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__JobCancelled cancelled = MM__JOB_CANCELLED__INIT;

  cancelled.job = (char *)job;
  frame.body_case = MM__FRAME__BODY_JOB_CANCELLED;
  frame.job_cancelled = &cancelled;
  mm_peer_links_send(links, peer, &frame);
}

void
mm_peer_broadcast_cancellation(MmPeerLinks *links, const char *job) {
  for (guint i = 0; i < links->n_peers; i++)
    mm_peer_links_send_cancellation(links, i, job);
}

void
mm_peer_links_send_cancellation_ack(MmPeerLinks *links, guint peer, const char *job) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__CancellationAck ack = MM__CANCELLATION_ACK__INIT;

  ack.job = (char *)job;
  frame.body_case = MM__FRAME__BODY_CANCELLATION_ACK;
  frame.cancellation_ack = &ack;
  mm_peer_links_send(links, peer, &frame);
}

void
mm_peer_broadcast_machine_gone(MmPeerLinks *links, const char *machine) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__MachineGone gone = MM__MACHINE_GONE__INIT;

  gone.machine = (char *)machine;
  frame.body_case = MM__FRAME__BODY_MACHINE_GONE;
  frame.machine_gone = &gone;
  broadcast_frame(links, &frame);
}

void
mm_peer_links_send_commands(MmPeerLinks *links, guint peer, const MmMachine *machine,
                            const GArray *commands) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Commands message = MM__COMMANDS__INIT;
  g_autofree Mm__Command *items = g_new(Mm__Command, MAX(commands->len, 1));
  g_autofree Mm__Command **list = g_new(Mm__Command *, MAX(commands->len, 1));

  for (guint i = 0; i < commands->len; i++) {
    const MmCommand *command = &g_array_index(commands, MmCommand, i);
    mm__command__init(&items[i]);
    items[i].op = command->op;
    items[i].job = (char *)command->job.s;
    items[i].number = command->number;
    items[i].attempt = command->attempt.v;
    items[i].grace_s = command->grace_s;
    list[i] = &items[i];
  }
  message.machine = (char *)machine->id.s;
  message.incarnation = machine->latest_message_id.incarnation;
  message.commands = list;
  message.n_commands = commands->len;
  frame.body_case = MM__FRAME__BODY_COMMANDS;
  frame.commands = &message;
  mm_peer_links_send(links, peer, &frame);
}

/* Returns whether the machine's newest message is a direct reply, sent after its newest heartbeat.
 * A peer must not take that reply for a heartbeat. Otherwise the peer would conclude that the
 * starts in the response to the heartbeat were not executed, although that response may still be in
 * transit. The tasks of these starts would then run twice (met on random day 29 of
 * tests/test-world). */
static gboolean
latest_message_is_direct_reply(const MmMachine *machine) {
  return mm_heartbeat_id_is_newer(machine->latest_message_id, machine->latest_heartbeat_id);
}

/* Runs before this node's first pong on a new connection. Repeats every response that this node
 * gave within two worker leases, because frames may have been lost with the previous connection.
 * Without the repetition, the pong would make the peer advance `responses_known_until` although the
 * peer lacks some responses.
 *
 * Responses are sent regardless of which node is believed to serve the machine. That belief can be
 * wrong after a partition, when two nodes disagree about who answers a machine; if neither node
 * sent its responses, the other nodes would treat a live machine as lost. */
void
mm_peer_links_send_recent_responses(MmPeerLinks *links, guint peer) {
  MmNode *node = links->node;
  const GPtrArray *machines = node->machine_table->sorted_machines;
  MmTime now = mm_node_now(node);
  gint64 recent_ms = (gint64)(node->settings->worker_lease_s * 2000);
  g_autoptr(GPtrArray) recently_answered = g_ptr_array_new();
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__RepeatHeartbeats repeats = MM__REPEAT_HEARTBEATS__INIT;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    gboolean is_served_here = machine->has_reported && machine->serving_node == MM_SERVING_NODE_SELF
                              && !machine->lease_has_expired;
    if (is_served_here && !latest_message_is_direct_reply(machine)) {
      send_heartbeat(links, peer, machine, HEARTBEAT_ANSWERED);
      continue;
    }
    if (is_served_here)
      send_heartbeat(links, peer, machine, HEARTBEAT_DIRECT);
    if (machine->last_own_response_at.us != 0
        && mm_time_ms_since(now, machine->last_own_response_at) < recent_ms)
      g_ptr_array_add(recently_answered, machine->id.s);
  }
  if (recently_answered->len == 0)
    return;
  repeats.unverified = (char **)recently_answered->pdata;
  repeats.n_unverified = recently_answered->len;
  frame.body_case = MM__FRAME__BODY_REPEAT_HEARTBEATS;
  frame.repeat_heartbeats = &repeats;
  mm_peer_links_send(links, peer, &frame);
}
