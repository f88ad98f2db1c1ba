/* Updates of the machine table by heartbeats and direct replies. */
#include "machines/machine-table-private.h"

#include "kv/replica.h"
#include "machines/machine-health.h"

static gboolean
heartbeat_shows_no_change(const MmMachine *machine, const MmHeartbeat *heartbeat,
                          gint serving_node) {
  if (!machine->has_reported || machine->lease_has_expired
      || (!heartbeat->is_direct_reply && machine->serving_node != serving_node)
      || heartbeat->heartbeat_id.incarnation != machine->latest_message_id.incarnation
      || heartbeat->fencing_token.v != machine->acknowledged_term.v
      || heartbeat->has_termination_notice != machine->has_termination_notice
      || heartbeat->tasks->len != machine->reported_tasks->len
      || (heartbeat->addr[0] != '\0' && strcmp(heartbeat->addr, machine->addr) != 0))
    return FALSE;
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(heartbeat->tasks, MmReportedTask, i);
    const MmReportedTask *known = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    if (reported->number != known->number || reported->attempt.v != known->attempt.v
        || reported->state != known->state || reported->cause != known->cause
        || reported->is_checkpointed != known->is_checkpointed
        || !mm_name_equal(&reported->job, &known->job))
      return FALSE;
  }
  return TRUE;
}

gboolean
mm_machine_table_is_stale_heartbeat(const MmMachineTable *machine_table,
                                    const MmHeartbeat *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine_id.s);
  guint64 incarnation = heartbeat->heartbeat_id.incarnation;

  if (mm_machine_table_incarnation_has_ended(machine_table, heartbeat->machine_id.s, incarnation))
    return TRUE;
  if (machine == NULL)
    return FALSE;
  if (machine->is_terminated
      || !mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_heartbeat_id))
    return TRUE;
  if (machine->is_in_registry && incarnation < machine->registered_incarnation)
    return TRUE;
  if (!machine->has_reported)
    return FALSE;
  return incarnation < machine->latest_message_id.incarnation
         || (machine->lease_has_expired && incarnation == machine->latest_message_id.incarnation);
}

gboolean
mm_machine_table_is_unverified_heartbeat(const MmMachineTable *machine_table,
                                         const MmHeartbeat *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine_id.s);

  if (heartbeat->is_direct_reply || (machine != NULL && machine->has_reported))
    return FALSE;
  if (machine != NULL && machine->is_in_registry
      && machine->registered_incarnation >= heartbeat->heartbeat_id.incarnation)
    return FALSE;
  return heartbeat->fencing_token.v < machine_table->node->replica->term_at_start.v;
}

MmMachine *
mm_machine_table_add_unverified(MmMachineTable *machine_table, const MmHeartbeat *heartbeat) {
  MmMachine *machine = mm_machine_table_find_or_add(machine_table, heartbeat->machine_id.s);

  machine->latest_heartbeat_id = heartbeat->heartbeat_id;
  return machine;
}

static void
update_identity(MmMachineTable *machine_table, MmMachine *machine, const MmHeartbeat *heartbeat) {
  if (heartbeat->addr[0] != '\0')
    memcpy(machine->addr, heartbeat->addr, sizeof machine->addr);
  if (!mm_name_is_empty(&heartbeat->type))
    machine->type_name = heartbeat->type;
  if (!mm_name_is_empty(&heartbeat->zone))
    machine->zone = heartbeat->zone;
  machine->type = mm_instance_types_find(machine_table->node->instance_types, &machine->type_name);
  machine->is_spot = heartbeat->is_spot;
}

static void
update_incarnation(MmMachineTable *machine_table, MmMachine *machine, const MmHeartbeat *heartbeat,
                   MmTime received_at) {
  if (machine->has_reported
      && heartbeat->heartbeat_id.incarnation != machine->latest_message_id.incarnation) {
    g_array_set_size(machine->cached_images, 0);
    mm_machine_health_record_incarnation(machine_table, machine);
  }
  if (heartbeat->heartbeat_id.incarnation > mm_machine_newest_incarnation(machine))
    mm_machine_health_begin_incarnation(machine, received_at);
  if (machine->lease_has_expired)
    mm_info("machine %s returned after its lease had expired incarnation=%" G_GUINT64_FORMAT,
            machine->id.s, heartbeat->heartbeat_id.incarnation);
  machine->has_reported = TRUE;
  machine->lease_has_expired = FALSE;
}

static void
update_message_ids(MmMachine *machine, const MmHeartbeat *heartbeat, MmTime received_at,
                   gint serving_node) {
  /* A direct reply proves that commands reach the machine. A higher fencing token proves that a
   * response reached the machine. */
  if (heartbeat->is_direct_reply || heartbeat->fencing_token.v > machine->acknowledged_term.v)
    mm_machine_health_record_acknowledgement(machine);
  machine->latest_message_id = heartbeat->heartbeat_id;
  machine->acknowledged_term = heartbeat->fencing_token;
  machine->last_seen_at = mm_time_max(machine->last_seen_at, received_at);
  if (!heartbeat->is_direct_reply) {
    machine->serving_node = serving_node;
    machine->last_heartbeat_at = mm_time_max(machine->last_heartbeat_at, received_at);
  }
  if (heartbeat->has_termination_notice && !machine->has_termination_notice)
    machine->termination_at
        = mm_time_add_ms(received_at, (gint64)(heartbeat->termination_notice_s * 1000));
  machine->has_termination_notice = heartbeat->has_termination_notice;
}

static gboolean
has_cached_its_image(const MmReportedTask *task) {
  return task->state == MM_REPORTED_RUNNING || task->state == MM_REPORTED_WAITING_FOR_GANG
         || (task->state == MM_REPORTED_ENDED && task->cause == MM_CAUSE_DONE);
}

static void
update_tasks(MmMachineTable *machine_table, MmMachine *machine, const MmHeartbeat *heartbeat) {
  mm_machine_health_count_errors(machine_table, machine, heartbeat);
  mm_machine_table_set_reported_tasks(machine_table, machine, heartbeat->tasks);
  machine->has_live_task = FALSE;
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = mm_job_table_find(machine_table->node->job_table, task->job.s);
    machine->has_live_task = machine->has_live_task || task->state != MM_REPORTED_ENDED;
    if (job != NULL && has_cached_its_image(task))
      mm_machine_record_image(machine, mm_node_now(machine_table->node), &job->spec.image,
                              job->spec.image_gb);
  }
}

/* Records a heartbeat that arrived after a direct reply with a newer heartbeat id. The heartbeat is
 * still recorded because the worker may be waiting for the response to that heartbeat. */
static void
record_overtaken_heartbeat(MmMachine *machine, MmTime received_at, gint serving_node) {
  machine->has_unsent_changes
      = machine->has_unsent_changes || machine->serving_node != serving_node;
  machine->serving_node = serving_node;
  machine->last_heartbeat_at = mm_time_max(machine->last_heartbeat_at, received_at);
}

static void
notify_heartbeat(const MmMachineTable *machine_table, MmMachine *machine,
                 const MmHeartbeat *heartbeat, gboolean changed) {
  for (guint i = 0; i < machine_table->observers->len; i++) {
    const MmMachineObserver *observer
        = &g_array_index(machine_table->observers, MmMachineObserver, i);
    observer->heartbeat_recorded(observer->context, machine, heartbeat, changed);
  }
}

/* Returns whether the message is a heartbeat that is newer than all others that have reached any
 * node. If the message is the newest heartbeat and is answered with status 200, the response is
 * recorded. Any other heartbeat is a late copy. No worker receives the response to a late copy, so
 * a late copy must not renew the lease again. */
static gboolean
record_newest_heartbeat(const MmMachineTable *machine_table, MmMachine *machine,
                        const MmHeartbeat *heartbeat, MmTime received_at) {
  if (heartbeat->is_direct_reply
      || !mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_heartbeat_id))
    return FALSE;
  machine->latest_heartbeat_id = heartbeat->heartbeat_id;
  if (!heartbeat->is_unanswered)
    mm_machine_health_record_response(machine_table, machine, received_at);
  return TRUE;
}

/* Replaces the recorded state of the machine by the state in the message, which is the machine's
 * newest message. */
static void
apply_message(MmMachineTable *machine_table, MmMachine *machine, const MmHeartbeat *heartbeat,
              MmTime received_at, gint serving_node) {
  gboolean unchanged = heartbeat_shows_no_change(machine, heartbeat, serving_node);

  machine->has_unsent_changes = machine->has_unsent_changes || !unchanged;
  update_incarnation(machine_table, machine, heartbeat, received_at);
  update_identity(machine_table, machine, heartbeat);
  update_message_ids(machine, heartbeat, received_at, serving_node);
  if (!unchanged)
    update_tasks(machine_table, machine, heartbeat);
  if (machine->has_live_task)
    machine->idle_since = received_at;
  notify_heartbeat(machine_table, machine, heartbeat, !unchanged);
}

MmMachine *
mm_machine_table_record_heartbeat(MmMachineTable *machine_table, const MmHeartbeat *heartbeat,
                                  MmTime received_at, gint serving_node) {
  MmMachine *machine;
  gboolean is_newest_heartbeat;

  if (serving_node == MM_SERVING_NODE_SELF || serving_node == MM_SERVING_NODE_NONE)
    machine_table->last_worker_contact_at = mm_node_now(machine_table->node);
  if (mm_machine_table_incarnation_has_ended(machine_table, heartbeat->machine_id.s,
                                             heartbeat->heartbeat_id.incarnation))
    return NULL;
  machine = mm_machine_table_find_or_add(machine_table, heartbeat->machine_id.s);
  if (mm_machine_lease_has_ended(machine, heartbeat->heartbeat_id))
    return NULL;
  is_newest_heartbeat = record_newest_heartbeat(machine_table, machine, heartbeat, received_at);
  if (machine->has_reported
      && !mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_message_id)) {
    if (is_newest_heartbeat)
      record_overtaken_heartbeat(machine, received_at, serving_node);
    return NULL;
  }
  apply_message(machine_table, machine, heartbeat, received_at, serving_node);
  return machine;
}

void
mm_machine_table_record_response(MmMachineTable *machine_table, const char *machine_id,
                                 MmTime responded_at) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  /* Nothing is recorded for an unknown machine. If the machine is added later, the machine is
   * assumed to have been answered at the time of the addition. */
  if (machine != NULL)
    mm_machine_health_record_response(machine_table, machine, responded_at);
}

void
mm_machine_table_record_repeat_heartbeat(MmMachineTable *machine_table, const char *machine_id,
                                         MmHeartbeatId heartbeat_id, MmTime received_at,
                                         gint serving_node) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);
  MmHeartbeat heartbeat = { .heartbeat_id = heartbeat_id };

  if (machine == NULL || mm_machine_lease_has_ended(machine, heartbeat_id)
      || !mm_heartbeat_id_is_newer(heartbeat_id, machine->latest_heartbeat_id))
    return;
  machine->latest_heartbeat_id = heartbeat_id;
  mm_machine_health_record_response(machine_table, machine, received_at);
  if (!machine->has_reported || machine->lease_has_expired || machine->serving_node != serving_node
      || heartbeat_id.incarnation != machine->latest_message_id.incarnation
      || !mm_heartbeat_id_is_newer(heartbeat_id, machine->latest_message_id))
    return;
  machine->latest_message_id = heartbeat_id;
  machine->last_seen_at = mm_time_max(machine->last_seen_at, received_at);
  machine->last_heartbeat_at = mm_time_max(machine->last_heartbeat_at, received_at);
  if (machine->has_live_task)
    machine->idle_since = received_at;
  notify_heartbeat(machine_table, machine, &heartbeat, FALSE);
}
