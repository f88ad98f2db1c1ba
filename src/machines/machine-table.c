#include "machines/machine-table.h"

#include <math.h>
#include <stdlib.h>

#include "base/wire.h"
#include "machines/machine-health.h"
#include "machines/registry.h"
#include "scheduler/heartbeats.h"
#include "peers/peer-links.h"
#include "sharing/sharing.h"
#include "kv/replica.h"

/* It looks at every machine. */
#define MACHINE_SCAN_INTERVAL_MS 150
#define CLOCK_DRIFT 0.002
#define LEASE_EXPIRY_MARGIN_MS 250
/* Sessions that are over are remembered, for each machine that is known so many, and so many in any
 * case. */
#define ENDED_INCARNATIONS_PER_MACHINE 2
#define ENDED_INCARNATIONS_MIN 4096

static void
machine_free(gpointer data) {
  MmMachine *machine = data;

  g_array_unref(machine->reported_tasks);
  g_array_unref(machine->cached_images);
  g_array_unref(machine->kept_list);
  g_array_unref(machine->queued_commands);
  g_ptr_array_unref(machine->placed_tasks);
  g_free(machine);
}

MmMachineTable *
mm_machine_table_new(MmNode *node) {
  MmMachineTable *machine_table = g_new0(MmMachineTable, 1);

  machine_table->node = node;
  machine_table->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  machine_table->sorted_machines = g_ptr_array_new();
  machine_table->ended_incarnations
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  machine_table->ended_incarnations_order = g_queue_new();
  machine_table->running_tasks_by_job
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return machine_table;
}

void
mm_machine_table_free(MmMachineTable *machine_table) {
  g_ptr_array_unref(machine_table->sorted_machines);
  g_hash_table_unref(machine_table->machines);
  g_hash_table_unref(machine_table->running_tasks_by_job);
  g_hash_table_unref(machine_table->ended_incarnations);
  g_queue_free_full(machine_table->ended_incarnations_order, g_free);
  g_free(machine_table);
}

MmMachine *
mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id) {
  return g_hash_table_lookup(machine_table->machines, machine_id);
}

static void
renumber_from(MmMachineTable *machine_table, guint first_position) {
  for (guint i = first_position; i < machine_table->sorted_machines->len; i++)
    ((MmMachine *)g_ptr_array_index(machine_table->sorted_machines, i))->sorted_index = i;
}

/* The order is by id, which is the order of renting: new ones mostly come last. */
static void
insert_sorted(MmMachineTable *machine_table, MmMachine *machine) {
  guint position = machine_table->sorted_machines->len;

  while (
      position > 0
      && strcmp(
             ((MmMachine *)g_ptr_array_index(machine_table->sorted_machines, position - 1))->id.s,
             machine->id.s)
             > 0)
    position--;
  g_ptr_array_insert(machine_table->sorted_machines, (gint)position, machine);
  renumber_from(machine_table, position);
}

/* ---- how many tasks of a job are seen running ---- */

static void
adjust_running_tasks(MmMachineTable *machine_table, const MmMachine *machine, gint delta) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    gint n;
    if (task->state != MM_REPORTED_RUNNING)
      continue;
    n = GPOINTER_TO_INT(g_hash_table_lookup(machine_table->running_tasks_by_job, task->job.s))
        + delta;
    if (n > 0)
      g_hash_table_insert(machine_table->running_tasks_by_job, g_strdup(task->job.s),
                          GINT_TO_POINTER(n));
    else
      g_hash_table_remove(machine_table->running_tasks_by_job, task->job.s);
  }
}

static void
set_reported_tasks(MmMachineTable *machine_table, MmMachine *machine, const GArray *tasks) {
  machine->available_generation = 0;
  adjust_running_tasks(machine_table, machine, -1);
  g_array_set_size(machine->reported_tasks, 0);
  if (tasks != NULL)
    g_array_append_vals(machine->reported_tasks, tasks->data, tasks->len);
  adjust_running_tasks(machine_table, machine, 1);
}

static MmMachine *
find_or_add(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine != NULL)
    return machine;
  machine = g_new0(MmMachine, 1);
  machine->id = mm_name(machine_id);
  machine->reported_tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask));
  machine->cached_images = g_array_new(FALSE, TRUE, sizeof(MmCachedImage));
  machine->kept_list = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  machine->queued_commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  machine->placed_tasks = g_ptr_array_new_with_free_func(g_free);
  machine->serving_node = MM_SERVING_NODE_NONE;
  machine->group = mm_group_of_machine(machine_id, machine_table->node->sharing->n_groups);
  /* Nothing is known of its past: it may have been answered a moment ago. */
  machine->last_possible_response_at = mm_node_now(machine_table->node);
  machine->idle_since = machine->last_seen_at = machine->last_possible_response_at;
  machine->steady_responses_since = machine->last_possible_response_at;
  g_hash_table_insert(machine_table->machines, machine->id.s, machine);
  insert_sorted(machine_table, machine);
  return machine;
}

static void remember_ended_incarnation(MmMachineTable *machine_table, const MmMachine *machine);

/* What a report says goes to whoever decides on the machine's tasks and resources. */
static void
notify_heartbeat(const MmMachineTable *machine_table, MmMachine *machine,
                 const MmHeartbeat *heartbeat, gboolean changed) {
  mm_scheduler_heartbeat_received(machine_table->node->scheduler, machine, heartbeat, changed);
  mm_sharing_heartbeat_received(machine_table->node->sharing, machine, heartbeat->heartbeat_id,
                                heartbeat->is_direct_reply);
}

static void
notify_machine_ended(const MmMachineTable *machine_table, MmMachine *machine) {
  mm_scheduler_machine_gone(machine_table->node->scheduler, machine);
  mm_sharing_machine_gone(machine_table->node->sharing, machine);
}

void
mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine) {
  guint position = machine->sorted_index;

  if (machine->lease_has_expired)
    remember_ended_incarnation(machine_table, machine);
  notify_machine_ended(machine_table, machine);
  set_reported_tasks(machine_table, machine, NULL);
  g_ptr_array_remove_index(machine_table->sorted_machines, position);
  renumber_from(machine_table, position);
  g_hash_table_remove(machine_table->machines, machine->id.s);
}

/* ---- taking reports in ---- */

/* Whether the report shows what is known already. */
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

static gboolean
incarnation_has_ended(const MmMachineTable *machine_table, const char *machine_id,
                      guint64 incarnation) {
  const guint64 *newest_ended = g_hash_table_lookup(machine_table->ended_incarnations, machine_id);

  return newest_ended != NULL && incarnation <= *newest_ended;
}

/* Of those heard of or registered. */
static guint64
newest_incarnation(const MmMachine *machine) {
  return MAX(machine->has_reported ? machine->latest_message_id.incarnation : 0,
             machine->registered_incarnation);
}

/* So that a late copy does not bring it back once its entry here is gone. */
static void
remember_ended_incarnation(MmMachineTable *machine_table, const MmMachine *machine) {
  guint64 *incarnation = g_new(guint64, 1);

  *incarnation = machine->is_terminated ? G_MAXUINT64 : newest_incarnation(machine);
  if (!g_hash_table_contains(machine_table->ended_incarnations, machine->id.s))
    g_queue_push_tail(machine_table->ended_incarnations_order, g_strdup(machine->id.s));
  g_hash_table_insert(machine_table->ended_incarnations, g_strdup(machine->id.s), incarnation);
  while (g_queue_get_length(machine_table->ended_incarnations_order)
         > MAX(ENDED_INCARNATIONS_MIN,
               ENDED_INCARNATIONS_PER_MACHINE * machine_table->sorted_machines->len)) {
    g_autofree char *oldest = g_queue_pop_head(machine_table->ended_incarnations_order);
    g_hash_table_remove(machine_table->ended_incarnations, oldest);
  }
}

gboolean
mm_machine_table_is_stale_heartbeat(const MmMachineTable *machine_table,
                                    const MmHeartbeat *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine_id.s);

  if (incarnation_has_ended(machine_table, heartbeat->machine_id.s,
                            heartbeat->heartbeat_id.incarnation))
    return TRUE;
  if (machine == NULL)
    return FALSE;
  return machine->is_terminated
         || !mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_heartbeat_id)
         || (machine->is_in_registry
             && heartbeat->heartbeat_id.incarnation < machine->registered_incarnation)
         || (machine->has_reported
             && heartbeat->heartbeat_id.incarnation < machine->latest_message_id.incarnation)
         || (machine->has_reported && machine->lease_has_expired
             && heartbeat->heartbeat_id.incarnation == machine->latest_message_id.incarnation);
}

gboolean
mm_machine_table_is_unverified(const MmMachineTable *machine_table, const MmHeartbeat *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine_id.s);

  return !heartbeat->is_direct_reply && (machine == NULL || !machine->has_reported)
         && !(machine != NULL && machine->is_in_registry
              && machine->registered_incarnation >= heartbeat->heartbeat_id.incarnation)
         && heartbeat->fencing_token.v < machine_table->node->replica->term_at_start.v;
}

MmMachine *
mm_machine_table_add_unverified(MmMachineTable *machine_table, const MmHeartbeat *heartbeat) {
  MmMachine *machine = find_or_add(machine_table, heartbeat->machine_id.s);

  machine->latest_heartbeat_id = heartbeat->heartbeat_id;
  return machine;
}

/* A session that is seen for the first time began no later than that, and lives for a lease if
 * nobody answers it. It once was counted from the last answer to the session before: machines of a
 * zone that came back, seen by a direct answer in a session of a moment ago, were given up at once,
 * taken off the register, and their tasks run elsewhere as well; and who had given them up took
 * their reports for late ones for good. */
static void
begin_incarnation(MmMachine *machine, MmTime first_seen_at) {
  machine->last_possible_response_at
      = mm_time_max(machine->last_possible_response_at, first_seen_at);
  machine->steady_responses_since = first_seen_at;
}

/* What the machine is, as the report says. */
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
  if (heartbeat->heartbeat_id.incarnation > newest_incarnation(machine))
    begin_incarnation(machine, received_at);
  if (machine->lease_has_expired)
    mm_info("machine %s reports again, session %" G_GUINT64_FORMAT, machine->id.s,
            heartbeat->heartbeat_id.incarnation);
  machine->has_reported = TRUE;
  machine->lease_has_expired = FALSE;
}

static void
update_message_ids(MmMachine *machine, const MmHeartbeat *heartbeat, MmTime received_at,
                   gint serving_node) {
  /* A direct answer shows that commands reach it; a higher term, that an answer did. */
  if (heartbeat->is_direct_reply || heartbeat->fencing_token.v > machine->acknowledged_term.v) {
    machine->unacknowledged_since.us = 0;
    machine->unacknowledged_responses = 0;
  }
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
  set_reported_tasks(machine_table, machine, heartbeat->tasks);
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

/* A session whose lease has certainly run out is over: such a report was held back on its way, and
 * what it shows is gone. */
static gboolean
lease_has_ended(const MmMachine *machine, MmHeartbeatId heartbeat_id) {
  return machine->is_terminated
         || (machine->has_reported && machine->lease_has_expired
             && heartbeat_id.incarnation <= machine->latest_message_id.incarnation);
}

/* A direct answer has overtaken the report, whose answer may still be waited for. */
static void
record_overtaken_heartbeat(MmMachine *machine, MmTime received_at, gint serving_node) {
  machine->has_unsent_changes
      = machine->has_unsent_changes || machine->serving_node != serving_node;
  machine->serving_node = serving_node;
  machine->last_heartbeat_at = mm_time_max(machine->last_heartbeat_at, received_at);
}

MmMachine *
mm_machine_table_record_heartbeat(MmMachineTable *machine_table, const MmHeartbeat *heartbeat,
                                  MmTime received_at, gint serving_node) {
  MmMachine *machine;
  gboolean unchanged, is_newest_heartbeat;

  if (serving_node == MM_SERVING_NODE_SELF || serving_node == MM_SERVING_NODE_NONE)
    machine_table->last_worker_contact_at = mm_node_now(machine_table->node);
  if (incarnation_has_ended(machine_table, heartbeat->machine_id.s,
                            heartbeat->heartbeat_id.incarnation))
    return NULL;
  machine = find_or_add(machine_table, heartbeat->machine_id.s);
  if (lease_has_ended(machine, heartbeat->heartbeat_id))
    return NULL;
  /* One that is not newer than the newest report is a copy: an answer to it reaches nobody, and the
   * lease of that report counts from when it was first sent. */
  is_newest_heartbeat
      = !heartbeat->is_direct_reply
        && mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_heartbeat_id);
  if (is_newest_heartbeat) {
    machine->latest_heartbeat_id = heartbeat->heartbeat_id;
    if (!heartbeat->is_unanswered)
      mm_machine_health_record_response(machine_table, machine, received_at);
  }
  if (machine->has_reported
      && !mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, machine->latest_message_id)) {
    if (is_newest_heartbeat)
      record_overtaken_heartbeat(machine, received_at, serving_node);
    return NULL;
  }
  unchanged = heartbeat_shows_no_change(machine, heartbeat, serving_node);
  machine->has_unsent_changes = machine->has_unsent_changes || !unchanged;
  update_incarnation(machine_table, machine, heartbeat, received_at);
  update_identity(machine_table, machine, heartbeat);
  update_message_ids(machine, heartbeat, received_at, serving_node);
  if (!unchanged)
    update_tasks(machine_table, machine, heartbeat);
  if (machine->has_live_task)
    machine->idle_since = received_at;
  notify_heartbeat(machine_table, machine, heartbeat, !unchanged);
  return machine;
}

void
mm_machine_table_record_response(MmMachineTable *machine_table, const char *machine_id,
                                 MmTime responded_at) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  /* Unknown here: should it come back, it starts as just answered. */
  if (machine != NULL)
    mm_machine_health_record_response(machine_table, machine, responded_at);
}

void
mm_machine_table_record_repeat(MmMachineTable *machine_table, const char *machine_id,
                               MmHeartbeatId heartbeat_id, MmTime received_at, gint serving_node) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);
  MmHeartbeat heartbeat = { .heartbeat_id = heartbeat_id };

  if (machine == NULL || lease_has_ended(machine, heartbeat_id)
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

void
mm_machine_table_record_registration(MmMachineTable *machine_table, const MmRegistryEntry *entry) {
  MmMachine *machine = find_or_add(machine_table, entry->machine_id.s);

  /* Somebody has heard a newer session than is known here: it may hold tasks, also if the one
   * before is lost. */
  if (!machine->is_terminated && entry->incarnation > newest_incarnation(machine)) {
    machine->lease_has_expired = FALSE;
    begin_incarnation(machine, mm_node_now(machine_table->node));
  }
  machine->is_in_registry = TRUE;
  machine->registered_incarnation = entry->incarnation;
  if (machine->has_reported)
    return;
  machine->type_name = entry->type;
  machine->type = mm_instance_types_find(machine_table->node->instance_types, &machine->type_name);
  machine->zone = entry->zone;
  machine->is_spot = entry->is_spot;
  memcpy(machine->addr, entry->addr, sizeof machine->addr);
}

/* Only lost and returned machines are taken off the register. */
void
mm_machine_table_record_unregistration(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->is_in_registry = FALSE;
  if (machine->has_reported && !machine->is_terminated
      && machine->latest_message_id.incarnation > machine->registered_incarnation)
    /* It is back with a new session, which nothing has been started in: that needs a registration
     * of its own. What was placed on it belongs to the old one. */
    notify_machine_ended(machine_table, machine);
  else
    mm_machine_table_remove(machine_table, machine);
}

/* ---- lost machines ---- */

static void
end_lease(MmMachineTable *machine_table, MmMachine *machine) {
  machine->lease_has_expired = TRUE;
  notify_machine_ended(machine_table, machine);
  set_reported_tasks(machine_table, machine, NULL);
  machine->has_live_task = FALSE;
  g_array_set_size(machine->cached_images, 0);
}

void
mm_machine_table_record_termination(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->is_terminated = TRUE;
  end_lease(machine_table, machine);
}

/* A machine is lost when its lease has certainly run out: no node can have answered it 200 for a
 * whole lease. `settled` is the instant up to which this node knows of all answers by all nodes. */
static void
expire_leases(MmMachineTable *machine_table) {
  MmNode *node = machine_table->node;
  MmTime responses_known_until = mm_peer_links_responses_known_until(node->peer_links);
  gint64 lease_ms = (gint64)(node->settings->worker_lease_s * 1000 * (1 + CLOCK_DRIFT))
                    + LEASE_EXPIRY_MARGIN_MS;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    MmTime last_possible_response_at
        = mm_time_max(machine->last_possible_response_at, node->replica->node_last_gone_at);
    if (machine->lease_has_expired
        || mm_time_ms_since(responses_known_until, last_possible_response_at) < lease_ms)
      continue;
    mm_info("machine %s is lost: its lease has run out", machine->id.s);
    end_lease(machine_table, machine);
  }
}

void
mm_machine_table_tick(MmMachineTable *machine_table) {
  MmTime now = mm_node_now(machine_table->node);

  if (mm_time_before(now, machine_table->next_scan_at))
    return;
  machine_table->next_scan_at = mm_time_add_ms(now, MACHINE_SCAN_INTERVAL_MS);
  expire_leases(machine_table);
}

/* ---- rooms ---- */

gboolean
mm_machine_table_all_seen_recently(const MmMachineTable *machine_table) {
  MmTime now = mm_node_now(machine_table->node);
  gint64 recent_ms = (gint64)(machine_table->node->settings->heartbeat_interval_s * 2000);

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    if (machine->is_in_registry && mm_time_ms_since(now, machine->last_seen_at) > recent_ms)
      return FALSE;
  }
  return TRUE;
}

guint
mm_machine_table_running_tasks(const MmMachineTable *machine_table, const char *job_id) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(machine_table->running_tasks_by_job, job_id));
}

/* ---- commands ---- */
