/* What is known of one machine: its tasks, images, free resources, and commands that wait for it.
 */
#include "checkin/machine-table.h"

#include "checkin/health.h"

#define QUEUED_MAX 256

/* ---- image caches, which are inferred: a hint only ---- */

void
mm_machine_note_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb) {
  double total_gb = 0;
  MmCachedImage *found = NULL;

  for (guint i = 0; i < machine->images->len; i++) {
    MmCachedImage *cached = &g_array_index(machine->images, MmCachedImage, i);
    if (mm_name_equal(&cached->name, image))
      found = cached;
    total_gb += cached->gb;
  }
  if (found != NULL) {
    found->used = now;
    return;
  }
  g_array_append_vals(machine->images, &(MmCachedImage){ *image, image_gb, now }, 1);
  total_gb += image_gb;
  while (machine->type != NULL && total_gb > machine->type->cache_gb && machine->images->len > 1) {
    guint oldest = 0;
    for (guint i = 1; i < machine->images->len; i++)
      if (mm_time_before(g_array_index(machine->images, MmCachedImage, i).used,
                         g_array_index(machine->images, MmCachedImage, oldest).used))
        oldest = i;
    total_gb -= g_array_index(machine->images, MmCachedImage, oldest).gb;
    g_array_remove_index_fast(machine->images, oldest);
  }
}

gboolean
mm_machine_caches(const MmMachine *machine, const MmName *image) {
  for (guint i = 0; i < machine->images->len; i++)
    if (mm_name_equal(&g_array_index(machine->images, MmCachedImage, i).name, image))
      return TRUE;
  return FALSE;
}

const MmSeenTask *
mm_machine_seen(const MmMachine *machine, const MmName *job_id, guint number, MmAttempt attempt) {
  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *reported = &g_array_index(machine->tasks, MmSeenTask, i);
    if (reported->number == number && reported->attempt.v == attempt.v
        && mm_name_equal(&reported->job, job_id))
      return reported;
  }
  return NULL;
}

gboolean
mm_machine_is_registered(const MmMachine *machine) {
  return machine->registered && machine->registered_session >= machine->stamp.incarnation;
}

MmResources
mm_machine_free(const MmMachineTable *machine_table, MmMachine *machine) {
  MmResources available = { 0 };

  if (machine->type == NULL)
    return available;
  if (machine->free_as == machine_table->node->job_table->generation)
    return machine->free;
  machine->free_as = machine_table->node->job_table->generation;
  machine->free = available;
  available = machine->type->room;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *task = &g_array_index(machine->tasks, MmSeenTask, i);
    const MmJob *job;
    if (task->state == MM_SEEN_ENDED)
      continue;
    job = mm_job_table_find(machine_table->node->job_table, task->job.s);
    if (job == NULL)
      return (MmResources){ 0 };
    available = mm_resources_sub(available, job->spec.need);
  }
  for (guint i = 0; i < machine->placed->len; i++) {
    const MmPlaced *placed = g_ptr_array_index(machine->placed, i);
    guint8 state = placed->job->tasks[placed->number].state;
    if (state == MM_TASK_ISSUED || state == MM_TASK_RESERVED)
      available = mm_resources_sub(available, placed->job->spec.need);
  }
  machine->free = available;
  return available;
}

gboolean
mm_machine_usable(const MmMachineTable *machine_table, const MmMachine *machine) {
  MmTime now = mm_node_now(machine_table->node);

  return machine->heard && mm_machine_is_registered(machine) && !machine->lost && !machine->warned
         && !machine->releasing && machine->type != NULL
         && !mm_time_before(now, machine->quarantined_until)
         && !mm_health_is_deaf(machine_table, machine);
}

void
mm_machine_queue(MmMachine *machine, guint64 incarnation, const MmCommand *command) {
  if (machine->queued_session != incarnation)
    g_array_set_size(machine->queued, 0);
  machine->queued_session = incarnation;
  for (guint i = 0; i < machine->queued->len; i++) {
    MmCommand *queued = &g_array_index(machine->queued, MmCommand, i);
    if (queued->op == command->op && queued->number == command->number
        && queued->attempt.v == command->attempt.v && mm_name_equal(&queued->job, &command->job)) {
      *queued = *command;
      return;
    }
  }
  if (machine->queued->len < QUEUED_MAX)
    g_array_append_val(machine->queued, *command);
}
