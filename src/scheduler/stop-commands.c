#include "scheduler/stop-commands.h"

#include "dependencies/dependencies.h"
#include "kv/kv-client.h"
#include "placement/backlog.h"
#include "scheduler/direct-commands.h"
#include "scheduler/task-state.h"

#define STOP_RESEND_MS 2000

double
mm_scheduler_stop_grace_s(const MmJob *job) {
  return job->spec.checkpoint_interval_s > 0 && !job->is_cancelled ? job->spec.checkpoint_save_s + 1
                                                                   : 0;
}

void
mm_scheduler_mark_stopping(MmScheduler *scheduler, MmJob *job, guint number) {
  MmTask *task = mm_job_edit_task(job, number);

  task->is_stopping = TRUE;
  task->stop_sent_at = mm_node_now(scheduler->node);
}

void
mm_scheduler_stop_task(MmScheduler *scheduler, MmJob *job, guint number) {
  const MmTask *task = mm_job_task(job, number);

  if (task->machine == NULL || task->state == MM_TASK_PLACE_RESERVED)
    return;
  mm_scheduler_mark_stopping(scheduler, job, number);
  mm_scheduler_send_stop(scheduler, task->machine, &job->spec.id, number, task->attempt,
                         mm_scheduler_stop_grace_s(job));
}

/* Stops the job's tasks that are reported by machines whose heartbeats this node answers. Leaves
 * out the tasks that this node itself has placed on these machines. The other tasks are stopped by
 * this node because the leader of the job's shard may be unreachable, or the shard may have no
 * leader. */
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
              || mm_job_task(job, reported->number)->machine != machine))
        mm_scheduler_send_stop(scheduler, machine, &reported->job, reported->number,
                               reported->attempt, 0);
    }
  }
}

gboolean
mm_scheduler_job_cancelled(MmScheduler *scheduler, const char *job_id) {
  MmJob *job = mm_job_table_find(scheduler->node->job_table, job_id);

  if (job == NULL)
    return mm_job_table_has_ended(scheduler->node->job_table, job_id);
  if (job->is_cancelled)
    return TRUE;
  job->is_cancelled = TRUE;
  job->kv_available_us_at_cancel = scheduler->node->kv->available_us;
  for (guint i = 0; job->tasks != NULL && i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    if (task->state == MM_TASK_PLACE_RESERVED)
      mm_scheduler_unplace_task(scheduler, job, task->number);
    else if (mm_task_is_live(task->state))
      mm_scheduler_stop_task(scheduler, job, task->number);
  }
  /* No task of a job with a cancelled dependency has ever been started. */
  if (!mm_job_has_cancelled_dependency(job))
    stop_reported_tasks(scheduler, job);
  mm_placement_backlog_changed(scheduler->node->placement);
  mm_dependencies_job_cancelled(scheduler->node->dependencies, job_id);
  return TRUE;
}

void
mm_scheduler_send_stop(MmScheduler *scheduler, MmMachine *machine, const MmName *job, guint number,
                       MmAttempt attempt, double grace_s) {
  MmCommand command
      = { .op = MM_OP_STOP, .job = *job, .number = number, .attempt = attempt, .grace_s = grace_s };

  mm_scheduler_send_commands(scheduler, machine, &command, 1);
}

void
mm_scheduler_resend_stops(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);

  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    for (guint k = 0; k < machine->placed_tasks->len; k++) {
      const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, k);
      const MmTask *task = placed->task;
      if ((placed->job->is_cancelled || task->is_stopping) && task->state != MM_TASK_CHECKPOINTING
          && mm_time_ms_since(now, task->stop_sent_at) > STOP_RESEND_MS)
        mm_scheduler_stop_task(scheduler, placed->job, placed->number);
    }
  }
}
