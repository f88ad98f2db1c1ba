#include "scheduler/stop-commands.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "heartbeat/heartbeat-server.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "machines/machine-health.h"
#include "peers/peer-broadcast.h"
#include "placement/backlog.h"
#include "scheduler/task-state.h"
#include "sharing/sharing.h"

/* Of a direct command: carried out; or not, for a higher term or another incarnation. Both show a
 * heartbeat. */
#define HTTP_OK 200
#define HTTP_CONFLICT 409
#define DIRECT_COMMAND_TIMEOUT_MS 2000
#define ACK_REQUEST_INTERVAL_MS 3000
/* In a slow tick: each takes about half a millisecond. */
#define ACK_REQUESTS_PER_CORE 40
#define ACK_REQUESTS_MIN 2
#define ACK_REQUESTS_MAX 64
/* A machine shows a higher term half a second after it got it, if it does so before its next
 * regular heartbeat. */
#define TERM_REPORTED_WITHIN_MS 1200
/* In heartbeat intervals: a machine whose heartbeat is that recent sends the next one late. */
#define RECENT_HEARTBEAT_PERIODS 0.6
#define STOP_RESEND_MS 2000

double
mm_scheduler_stop_grace_s(const MmJob *job) {
  return job->spec.checkpoint_interval_s > 0 && !job->is_cancelled ? job->spec.checkpoint_save_s + 1
                                                                   : 0;
}

void
mm_scheduler_stop_task(MmScheduler *scheduler, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];

  if (task->machine == NULL || task->state == MM_TASK_PLACE_RESERVED)
    return;
  task->is_stopping = TRUE;
  task->stop_sent_at = mm_node_now(scheduler->node);
  mm_scheduler_send_stop(scheduler, task->machine, &job->spec.id, number, task->attempt,
                         mm_scheduler_stop_grace_s(job));
}

/* Stops those of the job's tasks that show on machines whose heartbeats this node answers and that
 * are not placed there by this node: the shard's leader may be out of reach, or the shard may have
 * none. */
static void
stop_reported_tasks(MmScheduler *scheduler, const MmJob *job) {
  const GPtrArray *machines = scheduler->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    for (guint k = 0;
         machine->serving_node == MM_SERVING_NODE_SELF && k < machine->reported_tasks->len; k++) {
      const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, k);
      if (reported->state != MM_REPORTED_ENDED && mm_name_equal(&reported->job, &job->spec.id)
          && (job->tasks == NULL || reported->number >= job->spec.n_tasks
              || job->tasks[reported->number].machine != machine))
        mm_scheduler_send_stop(scheduler, machine, &reported->job, reported->number,
                               reported->attempt, 0);
    }
  }
}

gboolean
mm_scheduler_job_cancelled(MmScheduler *scheduler, const char *job_id) {
  MmJob *job = mm_job_table_find(scheduler->node->job_table, job_id);

  if (job == NULL)
    return mm_job_table_is_over(scheduler->node->job_table, job_id);
  if (job->is_cancelled)
    return TRUE;
  job->is_cancelled = TRUE;
  job->kv_served_us_at_cancel = scheduler->node->kv->available_us;
  for (guint i = 0; job->tasks != NULL && i < job->spec.n_tasks; i++) {
    if (job->tasks[i].state == MM_TASK_PLACE_RESERVED)
      mm_scheduler_unplace_task(scheduler, job, i);
    else if (mm_task_is_live(job->tasks[i].state))
      mm_scheduler_stop_task(scheduler, job, i);
  }
  /* Dependents of a cancelled job have never been started. */
  if (!mm_job_has_cancelled_dependency(job))
    stop_reported_tasks(scheduler, job);
  mm_placement_backlog_changed(scheduler->node->placement);
  mm_dependencies_job_cancelled(scheduler->node->dependencies, job_id);
  return TRUE;
}

/* The reply to a direct command is a heartbeat in form, and shows the machine's term. */
static void
direct_command_answered(gpointer data, int status, json_t *body) {
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
    /* Other nodes may wait for the same acknowledgement. */
    if (is_acknowledgement && machine != NULL)
      mm_peer_broadcast_direct_reply(scheduler->node->peer_links, machine);
  }
  mm_heartbeat_clear(&heartbeat);
}

static void
send_direct_commands(MmScheduler *scheduler, MmMachine *machine, json_t *commands) {
  MmNode *node = scheduler->node;
  g_autoptr(json_t) body = json_pack(
      "{s:I, s:I, s:o}", WIRE_TOKEN, (json_int_t)node->replica->term.v, WIRE_SESSION,
      (json_int_t)MAX(machine->latest_message_id.incarnation, 1), WIRE_COMMANDS, commands);

  if (machine->addr[0] == '\0' || !mm_node_lease_may_answer_workers(node->node_lease))
    return;
  node->platform.request(node->platform.context, MM_TARGET_WORKER, machine->addr, "POST",
                         WIRE_DIRECT_PATH, body, DIRECT_COMMAND_TIMEOUT_MS, direct_command_answered,
                         scheduler);
}

void
mm_scheduler_send_stop(MmScheduler *scheduler, MmMachine *machine, const MmName *job, guint number,
                       MmAttempt attempt, double grace_s) {
  MmCommand command
      = { .op = MM_OP_STOP, .job = *job, .number = number, .attempt = attempt, .grace_s = grace_s };
  json_t *commands = json_array();

  json_array_append_new(commands, mm_command_to_json(&command));
  send_direct_commands(scheduler, machine, commands);
}

/* The newest term of any team's shard, whichever node leads it. */
static MmTerm
newest_shard_term(const MmNode *node) {
  MmTerm newest = { 0 };

  for (guint i = 0; i < node->shard_ownership->shard_names->len; i++) {
    const char *name = g_ptr_array_index(node->shard_ownership->shard_names, i);
    const MmShard *shard = mm_replica_shard(node->replica, name);
    if (shard != NULL && !mm_shard_ownership_is_duty(name))
      newest.v = MAX(newest.v, shard->term.v);
  }
  return newest;
}

static gboolean
is_unacknowledged(const MmScheduler *scheduler, const MmMachine *machine) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (g_hash_table_contains(((MmLedShard *)value)->unacknowledged_machines, machine->id.s))
      return TRUE;
  return mm_sharing_awaits_acknowledgement(scheduler->node->sharing, machine);
}

/* The node that answers a machine's heartbeats asks it on behalf of all: when its next heartbeat is
 * far off, or when it has got the term and may not show it before its next regular heartbeat. */
static gboolean
acknowledgement_would_be_late(const MmNode *node, const MmMachine *machine, MmTerm newest) {
  MmTime now = mm_node_now(node);
  gint64 reported_ms = mm_time_ms_since(now, machine->last_heartbeat_at);

  if (machine->serving_node != MM_SERVING_NODE_SELF || !machine->has_reported
      || !machine->is_in_registry
      || machine->acknowledged_term.v
             >= MAX(newest.v, mm_sharing_group_term(node->sharing, machine).v))
    return FALSE;
  if (machine->unacknowledged_since.us != 0)
    return mm_time_ms_since(now, machine->unacknowledged_since) > TERM_REPORTED_WITHIN_MS;
  return reported_ms
         < (gint64)(node->settings->heartbeat_interval_s * 1000 * RECENT_HEARTBEAT_PERIODS);
}

/* An empty command carries the term, and the reply to it is an acknowledgement. The number in a
 * tick is bounded by the share of the processor: asking hundreds of machines at once would take so
 * long that leases expire. */
void
mm_scheduler_request_acknowledgements(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);
  gint64 silent_ms = (gint64)(node->settings->heartbeat_interval_s * 1500);
  MmTerm newest = newest_shard_term(node);
  guint requests_left = (guint)CLAMP(node->settings->cpu_share * ACK_REQUESTS_PER_CORE,
                                     ACK_REQUESTS_MIN, ACK_REQUESTS_MAX);

  if (mm_heartbeat_server_is_settling(node->heartbeat_server))
    return;
  for (guint i = 0; i < node->machine_table->sorted_machines->len && requests_left > 0; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    gboolean ignores_responses;

    if (machine->lease_has_expired
        || mm_time_ms_since(now, machine->acknowledgement_requested_at) < ACK_REQUEST_INTERVAL_MS)
      continue;
    ignores_responses = mm_machine_health_ignores_responses(node->machine_table, machine);
    if (!ignores_responses && !acknowledgement_would_be_late(node, machine, newest)
        && (mm_time_ms_since(now, machine->last_heartbeat_at) < silent_ms
            || !is_unacknowledged(scheduler, machine)))
      continue;
    machine->acknowledgement_requested_at = now;
    requests_left--;
    send_direct_commands(scheduler, machine, json_array());
  }
}

void
mm_scheduler_resend_stops(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);

  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    for (guint k = 0; k < machine->placed_tasks->len; k++) {
      const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, k);
      const MmTask *task = &placed->job->tasks[placed->number];
      if ((placed->job->is_cancelled || task->is_stopping) && task->state != MM_TASK_SAVING
          && mm_time_ms_since(now, task->stop_sent_at) > STOP_RESEND_MS)
        mm_scheduler_stop_task(scheduler, placed->job, placed->number);
    }
  }
}
