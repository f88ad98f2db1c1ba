#include "machines/machine-table-private.h"

#include "machines/machine-health.h"
#include "machines/registry.h"
#include "sharing/sharing.h"

static void
machine_free(gpointer data) {
  MmMachine *machine = data;

  g_array_unref(machine->reported_tasks);
  g_array_unref(machine->cached_images);
  g_array_unref(machine->retained_candidates);
  g_array_unref(machine->queued_commands);
  g_ptr_array_unref(machine->placed_tasks);
  g_free(machine);
}

MmMachineTable *
mm_machine_table_new(MmNode *node) {
  MmMachineTable *machine_table = g_new0(MmMachineTable, 1);

  machine_table->node = node;
  machine_table->observers = g_array_new(FALSE, FALSE, sizeof(MmMachineObserver));
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
  g_array_unref(machine_table->observers);
  g_ptr_array_unref(machine_table->sorted_machines);
  g_hash_table_unref(machine_table->machines);
  g_hash_table_unref(machine_table->running_tasks_by_job);
  g_hash_table_unref(machine_table->ended_incarnations);
  g_queue_free_full(machine_table->ended_incarnations_order, g_free);
  g_free(machine_table);
}

void
mm_machine_table_add_observer(MmMachineTable *machine_table, const MmMachineObserver *observer) {
  g_array_append_val(machine_table->observers, *observer);
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

/* Inserts the machine in the order of ids. The cloud assigns ids in ascending order, so new
 * machines are mostly inserted at the end. */
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

/* Reported tasks */

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

void
mm_machine_table_set_reported_tasks(MmMachineTable *machine_table, MmMachine *machine,
                                    const GArray *tasks) {
  machine->available_generation = MM_GENERATION_NONE;
  adjust_running_tasks(machine_table, machine, -1);
  g_array_set_size(machine->reported_tasks, 0);
  if (tasks != NULL)
    g_array_append_vals(machine->reported_tasks, tasks->data, tasks->len);
  adjust_running_tasks(machine_table, machine, 1);
}

guint
mm_machine_table_running_tasks(const MmMachineTable *machine_table, const char *job_id) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(machine_table->running_tasks_by_job, job_id));
}

/* Table entries */

MmMachine *
mm_machine_table_find_or_add(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine != NULL)
    return machine;
  machine = g_new0(MmMachine, 1);
  machine->id = mm_name(machine_id);
  machine->reported_tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask));
  machine->cached_images = g_array_new(FALSE, TRUE, sizeof(MmCachedImage));
  machine->retained_candidates = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  machine->queued_commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  machine->placed_tasks = g_ptr_array_new_with_free_func(g_free);
  machine->serving_node = MM_SERVING_NODE_NONE;
  machine->group = mm_group_of_machine(machine_id, machine_table->node->sharing->n_groups);
  /* The machine's history is unknown, and the machine may have been answered just now. */
  machine->last_possible_response_at = mm_node_now(machine_table->node);
  machine->idle_since = machine->last_seen_at = machine->last_possible_response_at;
  machine->steady_responses_since = machine->last_possible_response_at;
  g_hash_table_insert(machine_table->machines, machine->id.s, machine);
  insert_sorted(machine_table, machine);
  return machine;
}

void
mm_machine_table_notify_machine_ended(const MmMachineTable *machine_table, MmMachine *machine) {
  for (guint i = 0; i < machine_table->observers->len; i++) {
    const MmMachineObserver *observer
        = &g_array_index(machine_table->observers, MmMachineObserver, i);
    observer->machine_ended(observer->context, machine);
  }
}

void
mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine) {
  guint position = machine->sorted_index;

  if (machine->lease_has_expired)
    mm_machine_table_remember_ended_incarnation(machine_table, machine);
  mm_machine_table_notify_machine_ended(machine_table, machine);
  mm_machine_table_set_reported_tasks(machine_table, machine, NULL);
  g_ptr_array_remove_index(machine_table->sorted_machines, position);
  renumber_from(machine_table, position);
  g_hash_table_remove(machine_table->machines, machine->id.s);
}

void
mm_machine_table_record_registration(MmMachineTable *machine_table, const MmRegistryEntry *entry) {
  MmMachine *machine = mm_machine_table_find_or_add(machine_table, entry->machine_id.s);

  /* Another node has seen an incarnation that is newer than every incarnation known to this node.
   * The newer incarnation may run tasks even if the lease of the previous incarnation has
   * expired. */
  if (!machine->is_terminated && entry->incarnation > mm_machine_newest_incarnation(machine)) {
    machine->lease_has_expired = FALSE;
    mm_machine_health_begin_incarnation(machine, mm_node_now(machine_table->node));
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

void
mm_machine_table_record_unregistration(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->is_in_registry = FALSE;
  if (machine->has_reported && !machine->is_terminated
      && machine->latest_message_id.incarnation > machine->registered_incarnation)
    /* The machine has reported a new incarnation that is not registered. Nothing has been started
     * in the new incarnation, because a start requires that the incarnation is registered. All
     * tasks placed on the machine therefore belong to the old incarnation, which has ended. */
    mm_machine_table_notify_machine_ended(machine_table, machine);
  else
    mm_machine_table_remove(machine_table, machine);
}

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
