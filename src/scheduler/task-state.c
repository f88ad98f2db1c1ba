#include "scheduler/task-state.h"

#include "placement/backlog.h"
#include "scheduler/led-shards.h"

void
mm_scheduler_remove_from_machine(MmMachine *machine, const MmJob *job, guint number) {
  if (machine != NULL)
    machine->available_generation = 0;
  for (guint i = 0; machine != NULL && i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job == job && placed->number == number) {
      g_ptr_array_remove_index_fast(machine->placed_tasks, i);
      return;
    }
  }
}

void
mm_scheduler_set_task_state(MmScheduler *scheduler, MmJob *job, guint number, guint8 state) {
  MmTask *task;

  if (mm_job_task(job, number)->state == state)
    return;
  task = mm_job_edit_task(job, number);
  job->n_pending -= task->state == MM_TASK_PENDING;
  job->n_maybe_on_machines -= mm_task_is_live(task->state);
  job->n_pending += state == MM_TASK_PENDING;
  job->n_maybe_on_machines += mm_task_is_live(state);
  if (mm_task_is_live(state) != mm_task_is_live(task->state)) {
    MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);
    if (shard != NULL)
      shard->used = mm_task_is_live(state)
                        ? mm_resources_add(shard->used, job->spec.task_resources)
                        : mm_resources_sub(shard->used, job->spec.task_resources);
  }
  task->state = state;
  task->state_since = mm_node_now(scheduler->node);
  if (state == MM_TASK_PENDING)
    job->first_pending = MIN(job->first_pending, number);
  mm_placement_backlog_changed(scheduler->node->placement);
}

void
mm_scheduler_place_task(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                        MmTaskState state, MmAttempt attempt) {
  MmTask *task = mm_job_edit_task(job, number);

  if (task->machine != machine) {
    MmPlacedTask *placed = g_new(MmPlacedTask, 1);
    mm_scheduler_remove_from_machine(task->machine, job, number);
    *placed = (MmPlacedTask){ job, task, number };
    g_ptr_array_add(machine->placed_tasks, placed);
    task->machine = machine;
    if (state == MM_TASK_START_SENT) {
      machine->reserved_resources
          = mm_resources_sub(machine->reserved_resources, job->spec.task_resources);
      if (machine->reserved_resources.cores < 0)
        machine->reserved_resources = (MmResources){ 0 };
    }
  }
  if (task->attempt.v != attempt.v)
    task->is_stopping = FALSE;
  task->attempt = attempt;
  machine->available_generation = 0;
  mm_scheduler_set_task_state(scheduler, job, number, (guint8)state);
}

void
mm_scheduler_unplace_task(MmScheduler *scheduler, MmJob *job, guint number) {
  MmTask *task = mm_job_edit_task(job, number);

  mm_scheduler_remove_from_machine(task->machine, job, number);
  task->machine = NULL;
  task->is_stopping = FALSE;
  mm_scheduler_set_task_state(scheduler, job, number, MM_TASK_PENDING);
}

void
mm_scheduler_set_task_done(MmScheduler *scheduler, MmJob *job, guint number) {
  if (mm_job_task(job, number)->machine != NULL)
    mm_scheduler_unplace_task(scheduler, job, number);
  mm_scheduler_set_task_state(scheduler, job, number, MM_TASK_DONE);
  mm_completed_tasks_add(&job->completed, number);
  mm_task_table_remove(job->tasks, number);
}
