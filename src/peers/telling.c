/* What peers are told: of answers to workers, cancellations, machines that are gone, commands. */
#include "peers/links.h"

#include "store/replica.h"

/* Of reports that show nothing new, so many in one message. */
#define BEATS_MAX 1024

static void
send_to_all(MmLinks *links, Mm__Frame *frame) {
  for (guint i = 0; i < links->n_peers; i++)
    mm_links_send(links, i, frame);
}

typedef enum { ANSWERED, UNANSWERED, DIRECT } Telling;

static void
send_report(MmLinks *links, guint peer, const MmMachine *machine, Telling kind) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Report heartbeat = MM__REPORT__INIT;
  guint n = machine->reported_tasks->len;
  g_autofree Mm__TaskState *tasks = g_new(Mm__TaskState, MAX(n, 1));
  g_autofree Mm__TaskState **list = g_new(Mm__TaskState *, MAX(n, 1));
  MmTime now = mm_node_now(links->node);

  heartbeat.machine = (char *)machine->id.s;
  heartbeat.addr = (char *)machine->addr;
  heartbeat.type = (char *)machine->type_name.s;
  heartbeat.zone = (char *)machine->zone.s;
  heartbeat.spot = machine->is_spot;
  heartbeat.unanswered = kind != ANSWERED;
  heartbeat.direct = kind == DIRECT;
  heartbeat.term = kind == ANSWERED ? links->node->replica->term.v : 0;
  heartbeat.session = machine->latest_message_id.incarnation;
  heartbeat.seq = machine->latest_message_id.sequence;
  heartbeat.token = machine->acknowledged_term.v;
  heartbeat.warned = machine->has_termination_notice;
  heartbeat.notice_s = machine->has_termination_notice
                           ? (double)mm_time_ms_since(machine->termination_at, now) / 1000.0
                           : 0;
  heartbeat.age_ms
      = kind == DIRECT
            ? 0
            : (guint32)CLAMP(mm_time_ms_since(now, machine->last_heartbeat_at), 0, G_MAXUINT32);
  for (guint i = 0; i < n; i++) {
    const MmReportedTask *reported_task
        = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    mm__task_state__init(&tasks[i]);
    tasks[i].job = (char *)reported_task->job.s;
    tasks[i].number = reported_task->number;
    tasks[i].attempt = reported_task->attempt.v;
    tasks[i].state = reported_task->state;
    tasks[i].cause = reported_task->cause;
    tasks[i].saved = reported_task->is_checkpointed;
    list[i] = &tasks[i];
  }
  heartbeat.tasks = list;
  heartbeat.n_tasks = n;
  frame.body_case = MM__FRAME__BODY_REPORT;
  frame.report = &heartbeat;
  mm_links_send(links, peer, &frame);
}

void
mm_links_tell_beats(MmLinks *links) {
  guint n = links->beats->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Beats repeats = MM__BEATS__INIT;
  g_autofree char **machines = g_new(char *, MAX(n, 1));
  g_autofree guint64 *incarnations = g_new(guint64, MAX(n, 1));
  g_autofree guint64 *sequences = g_new(guint64, MAX(n, 1));
  g_autofree char **unverified = g_new(char *, MAX(links->unproved->len, 1));

  links->beat_told = mm_node_now(links->node);
  if (n == 0 && links->unproved->len == 0)
    return;
  for (guint i = 0; i < n; i++) {
    MmBeat *repeat = &g_array_index(links->beats, MmBeat, i);
    machines[i] = repeat->machine.s;
    incarnations[i] = repeat->stamp.incarnation;
    sequences[i] = repeat->stamp.sequence;
  }
  for (guint i = 0; i < links->unproved->len; i++)
    unverified[i] = g_array_index(links->unproved, MmName, i).s;
  repeats.unproved = unverified;
  repeats.n_unproved = links->unproved->len;
  repeats.term = links->node->replica->term.v;
  repeats.machines = machines;
  repeats.sessions = incarnations;
  repeats.seqs = sequences;
  repeats.n_machines = repeats.n_sessions = repeats.n_seqs = n;
  frame.body_case = MM__FRAME__BODY_BEATS;
  frame.beats = &repeats;
  send_to_all(links, &frame);
  g_array_set_size(links->beats, 0);
  g_array_set_size(links->unproved, 0);
}

void
mm_links_tell_unproved(MmLinks *links, const MmName *machine) {
  g_array_append_val(links->unproved, *machine);
  if (links->unproved->len >= BEATS_MAX)
    mm_links_tell_beats(links);
}

static void
tell_machine(MmLinks *links, const MmMachine *machine, Telling kind) {
  for (guint i = 0; i < links->n_peers; i++)
    if (links->peers[i].up)
      send_report(links, i, machine, kind);
}

void
mm_links_tell_report(MmLinks *links, MmMachine *machine, gboolean is_answered) {
  if (!machine->has_unsent_changes && is_answered) {
    MmBeat repeat = { machine->id, machine->latest_message_id };
    g_array_append_val(links->beats, repeat);
    if (links->beats->len >= BEATS_MAX)
      mm_links_tell_beats(links);
    return;
  }
  machine->has_unsent_changes = FALSE;
  tell_machine(links, machine, is_answered ? ANSWERED : UNANSWERED);
}

void
mm_links_tell_direct(MmLinks *links, MmMachine *machine) {
  tell_machine(links, machine, DIRECT);
}

void
mm_links_tell_cancelled_to(MmLinks *links, guint peer, const char *job) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Cancelled cancelled = MM__CANCELLED__INIT;

  cancelled.job = (char *)job;
  frame.body_case = MM__FRAME__BODY_CANCELLED;
  frame.cancelled = &cancelled;
  mm_links_send(links, peer, &frame);
}

void
mm_links_tell_cancelled(MmLinks *links, const char *job) {
  for (guint i = 0; i < links->n_peers; i++)
    mm_links_tell_cancelled_to(links, i, job);
}

void
mm_links_tell_cancel_ack(MmLinks *links, guint peer, const char *job) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__CancelAck ack = MM__CANCEL_ACK__INIT;

  ack.job = (char *)job;
  frame.body_case = MM__FRAME__BODY_CANCEL_ACK;
  frame.cancel_ack = &ack;
  mm_links_send(links, peer, &frame);
}

void
mm_links_tell_gone(MmLinks *links, const char *machine) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Gone gone = MM__GONE__INIT;

  gone.machine = (char *)machine;
  frame.body_case = MM__FRAME__BODY_GONE;
  frame.gone = &gone;
  send_to_all(links, &frame);
}

void
mm_links_tell_commands(MmLinks *links, guint peer, const MmMachine *machine,
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
  message.session = machine->latest_message_id.incarnation;
  message.commands = list;
  message.n_commands = commands->len;
  frame.body_case = MM__FRAME__BODY_COMMANDS;
  frame.commands = &message;
  mm_links_send(links, peer, &frame);
}

/* What is known last of it came by a direct answer that overtook its newest report. Told as a
 * report, it denied starts that were still in the answer to that one, and their tasks ran twice
 * (day 29 of tests/test-world). */
static gboolean
is_known_by_direct_answer(const MmMachine *machine) {
  return mm_heartbeat_id_is_newer(machine->latest_message_id, machine->latest_heartbeat_id);
}

/* Everything this node has answered within two leases comes before its first pong on a link: what
 * was lost with an earlier link is told again, so that `settled` can be trusted. That must not hang
 * on who is believed to host a machine: once a node that was back, with its links refused, passed
 * direct answers on as reports of its own; the node that did answer those machines took it for
 * their host and did not tell of them, and they were given up while they lived. */
void
mm_links_tell_answered(MmLinks *links, guint peer) {
  MmNode *node = links->node;
  const GPtrArray *machines = node->machine_table->sorted_machines;
  MmTime now = mm_node_now(node);
  gint64 recent_ms = (gint64)(node->settings->worker_lease_s * 2000);
  g_autoptr(GPtrArray) hosted_elsewhere = g_ptr_array_new();
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Beats repeats = MM__BEATS__INIT;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    gboolean is_hosted_here = machine->has_reported && machine->serving_node == MM_SERVING_NODE_SELF
                              && !machine->lease_has_expired;
    if (is_hosted_here && !is_known_by_direct_answer(machine)) {
      send_report(links, peer, machine, ANSWERED);
      continue;
    }
    if (is_hosted_here)
      send_report(links, peer, machine, DIRECT);
    if (machine->last_own_response_at.us != 0
        && mm_time_ms_since(now, machine->last_own_response_at) < recent_ms)
      g_ptr_array_add(hosted_elsewhere, machine->id.s);
  }
  if (hosted_elsewhere->len == 0)
    return;
  repeats.unproved = (char **)hosted_elsewhere->pdata;
  repeats.n_unproved = hosted_elsewhere->len;
  frame.body_case = MM__FRAME__BODY_BEATS;
  frame.beats = &repeats;
  mm_links_send(links, peer, &frame);
}
