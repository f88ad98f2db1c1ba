#include "machines/machine.h"

#include "machines/machine-health.h"
#include "machines/machine-table.h"
#include "machines/task-slots.h"

/* Maximum number of commands queued for a machine; further ones are dropped. */
#define QUEUED_COMMANDS_MAX 256

/* Maximum number of images recorded for a machine. Their sizes alone would allow any number,
 * because a user may name an image of size 0. */
#define CACHED_IMAGES_MAX 128

/* Image cache */

void
mm_machine_record_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb) {
  double total_gb = 0;
  MmCachedImage *found = NULL;

  for (guint i = 0; i < machine->cached_images->len; i++) {
    MmCachedImage *cached = &g_array_index(machine->cached_images, MmCachedImage, i);
    if (mm_name_equal(&cached->name, image))
      found = cached;
    total_gb += cached->size_gb;
  }
  if (found != NULL) {
    found->last_used_at = now;
    return;
  }
  g_array_append_vals(machine->cached_images, &(MmCachedImage){ *image, image_gb, now }, 1);
  total_gb += image_gb;
  while (machine->cached_images->len > 1
         && (machine->cached_images->len > CACHED_IMAGES_MAX
             || (machine->type != NULL && total_gb > machine->type->image_cache_gb))) {
    guint oldest = 0;
    for (guint i = 1; i < machine->cached_images->len; i++)
      if (mm_time_before(g_array_index(machine->cached_images, MmCachedImage, i).last_used_at,
                         g_array_index(machine->cached_images, MmCachedImage, oldest).last_used_at))
        oldest = i;
    total_gb -= g_array_index(machine->cached_images, MmCachedImage, oldest).size_gb;
    g_array_remove_index_fast(machine->cached_images, oldest);
  }
}

gboolean
mm_machine_has_cached_image(const MmMachine *machine, const MmName *image) {
  for (guint i = 0; i < machine->cached_images->len; i++)
    if (mm_name_equal(&g_array_index(machine->cached_images, MmCachedImage, i).name, image))
      return TRUE;
  return FALSE;
}

const MmReportedTask *
mm_machine_find_reported_task(const MmMachine *machine, const MmName *job_id, guint number,
                              MmAttempt attempt) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    if (reported->number == number && reported->attempt.v == attempt.v
        && mm_name_equal(&reported->job, job_id))
      return reported;
  }
  return NULL;
}

gboolean
mm_machine_has_registered_incarnation(const MmMachine *machine) {
  return machine->is_in_registry
         && machine->registered_incarnation >= machine->latest_message_id.incarnation;
}

guint64
mm_machine_newest_incarnation(const MmMachine *machine) {
  return MAX(machine->has_reported ? machine->latest_message_id.incarnation : 0,
             machine->registered_incarnation);
}

/* A message of an incarnation whose lease has certainly expired was delayed in transit. The tasks
 * that such a message reports have stopped. */
gboolean
mm_machine_lease_has_ended(const MmMachine *machine, MmHeartbeatId heartbeat_id) {
  return machine->is_terminated
         || (machine->has_reported && machine->lease_has_expired
             && heartbeat_id.incarnation <= machine->latest_message_id.incarnation);
}

gsize
mm_machine_memory_bytes(const MmMachine *machine) {
  return sizeof *machine + machine->reported_tasks->len * sizeof(MmReportedTask)
         + machine->cached_images->len * sizeof(MmCachedImage)
         + machine->placed_tasks->len * (sizeof(gpointer) + sizeof(MmPlacedTask))
         + machine->retained_candidates->len * sizeof(MmTaskRef)
         + machine->queued_commands->len * sizeof(MmCommand);
}

MmResources
mm_machine_available_resources(const MmMachineTable *machine_table, MmMachine *machine) {
  MmResources available = { 0 };

  if (machine->type == NULL)
    return available;
  if (machine->available_generation == machine_table->node->job_table->generation)
    return machine->available_resources;
  machine->available_generation = machine_table->node->job_table->generation;
  machine->available_resources = available;
  available = machine->type->resources;
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job;
    if (task->state == MM_REPORTED_ENDED)
      continue;
    job = mm_job_table_find(machine_table->node->job_table, task->job.s);
    if (job == NULL)
      return (MmResources){ 0 };
    available = mm_resources_sub(available, job->spec.task_resources);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    guint8 state = placed->task->state;
    if (state == MM_TASK_START_SENT || state == MM_TASK_PLACE_RESERVED)
      available = mm_resources_sub(available, placed->job->spec.task_resources);
  }
  available.slots = mm_task_slots_free(machine_table, machine);
  machine->available_resources = available;
  return available;
}

gboolean
mm_machine_is_usable(const MmMachineTable *machine_table, const MmMachine *machine) {
  MmTime now = mm_node_now(machine_table->node);

  return machine->has_reported && mm_machine_has_registered_incarnation(machine)
         && !machine->lease_has_expired && !machine->has_termination_notice
         && !machine->is_being_terminated && machine->type != NULL
         && !mm_time_before(now, machine->quarantined_until)
         && !mm_machine_health_ignores_responses(machine_table, machine);
}

void
mm_machine_queue_command(MmMachine *machine, guint64 incarnation, const MmCommand *command) {
  if (machine->queued_incarnation != incarnation)
    g_array_set_size(machine->queued_commands, 0);
  machine->queued_incarnation = incarnation;
  for (guint i = 0; i < machine->queued_commands->len; i++) {
    MmCommand *queued = &g_array_index(machine->queued_commands, MmCommand, i);
    if (queued->op == command->op && queued->number == command->number
        && queued->attempt.v == command->attempt.v && mm_name_equal(&queued->job, &command->job)) {
      *queued = *command;
      return;
    }
  }
  if (machine->queued_commands->len < QUEUED_COMMANDS_MAX)
    g_array_append_val(machine->queued_commands, *command);
}
