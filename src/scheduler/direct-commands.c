#include "scheduler/direct-commands.h"

#include "base/wire.h"
#include "heartbeat/heartbeat.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "peers/peer-broadcast.h"

#define DIRECT_COMMAND_TIMEOUT_MS 2000
/* Statuses of replies that contain a heartbeat. OK: the machine has executed the commands.
 * Conflict: the machine has not executed them, because it has seen a higher term or has another
 * incarnation. */
#define HTTP_OK 200
#define HTTP_CONFLICT 409

/* Records the reply to a direct command. The reply has the form of a heartbeat and shows the
 * machine's term. Replies of any other form are ignored. */
static void
direct_command_answered(gpointer data, int status, MmJson *body) {
  MmScheduler *scheduler = data;
  MmHeartbeat heartbeat;
  const char *reason = NULL;

  if (status != HTTP_OK && status != HTTP_CONFLICT)
    return;
  if (mm_heartbeat_parse(&heartbeat, body, &reason)) {
    MmMachine *machine
        = mm_machine_table_find(scheduler->node->machine_table, heartbeat.machine_id.s);
    gboolean is_acknowledgement
        = machine != NULL && heartbeat.fencing_token.v > machine->acknowledged_term.v;
    heartbeat.is_direct_reply = TRUE;
    if (machine != NULL)
      machine
          = mm_machine_table_record_heartbeat(scheduler->node->machine_table, &heartbeat,
                                              mm_node_now(scheduler->node), MM_SERVING_NODE_NONE);
    /* Other nodes may be waiting for the same acknowledgement. */
    if (is_acknowledgement && machine != NULL)
      mm_peer_broadcast_direct_reply(scheduler->node->peer_links, machine);
  }
  mm_heartbeat_clear(&heartbeat);
}

void
mm_scheduler_send_commands(MmScheduler *scheduler, MmMachine *machine, const MmCommand *commands,
                           guint n_commands) {
  MmNode *node = scheduler->node;
  MmJson *command_list = mm_json_new_array();
  g_autoptr(MmJson) body = mm_json_pack(
      "{s:I, s:I, s:o}", WIRE_FENCING_TOKEN, node->replica->term.v, WIRE_INCARNATION,
      (guint64)MAX(machine->latest_message_id.incarnation, 1), WIRE_COMMANDS, command_list);

  if (machine->addr[0] == '\0' || !mm_node_lease_may_answer_workers(node->node_lease))
    return;
  for (guint i = 0; i < n_commands; i++)
    mm_json_array_append(command_list, mm_command_to_json(&commands[i]));
  node->platform.request(node->platform.context, MM_TARGET_WORKER, machine->addr, "POST",
                         WIRE_DIRECT_PATH, body, DIRECT_COMMAND_TIMEOUT_MS, direct_command_answered,
                         scheduler);
}
