#include "scheduler/start-rules.h"

#include "dependencies/dependencies.h"
#include "placement/candidates.h"
#include "scheduler/led-shards.h"
#include "scheduler/urgency.h"

gboolean
mm_scheduler_job_is_schedulable(MmScheduler *scheduler, const MmJob *job) {
  return mm_scheduler_shard_of_job(scheduler, job) != NULL && job->tasks != NULL
         && !job->is_cancelled && mm_job_dependencies_are_done(job)
         && mm_scheduler_knows_all_starts(scheduler, job)
         && !mm_time_before(mm_node_now(scheduler->node), job->paused_until);
}

gboolean
mm_scheduler_must_yield_to_gang(const MmScheduler *scheduler, const MmJob *job) {
  const MmJob *gang = scheduler->yield_to_gang;

  return gang != NULL && gang != job && job->spec.task_resources.accelerators > 0
         && mm_scheduler_compare_urgency(&gang, &job) < 0;
}

/* Returns whether the job's constraints allow one more task of the job on the machine. Always
 * counts the tasks that are or may be on machines. `reservations_at` is 0 or the current time. If
 * it is the current time, also counts the machines on which resources are being freed for pending
 * tasks. */
static gboolean
constraints_allow(const MmMachineTable *machine_table, const MmJob *job, const MmMachine *machine,
                  MmTime reservations_at) {
  guint n_in_zone = 0;

  if (!mm_placement_job_allows_machine(job, machine))
    return FALSE;
  if (!job->spec.requires_one_zone && !job->spec.spreads_over_zones)
    return TRUE;
  for (guint i = 0; i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    const MmMachine *task_machine = task->machine;
    gboolean same_zone;
    if (task_machine == NULL && reservations_at.us != 0
        && mm_time_before(reservations_at, task->preempting_until))
      task_machine = mm_machine_table_find(machine_table, task->preempting_on.s);
    if (task_machine == NULL)
      continue;
    same_zone = mm_name_equal(&task_machine->zone, &machine->zone);
    n_in_zone += same_zone;
    if (job->spec.requires_one_zone && !same_zone)
      return FALSE;
  }
  return !job->spec.spreads_over_zones || n_in_zone < mm_job_spec_max_tasks_per_zone(&job->spec);
}

gboolean
mm_scheduler_constraints_allow(const MmJob *job, const MmMachine *machine) {
  return constraints_allow(NULL, job, machine, (MmTime){ 0 });
}

gboolean
mm_scheduler_constraints_will_allow(const MmScheduler *scheduler, const MmJob *job,
                                    const MmMachine *machine) {
  return constraints_allow(scheduler->node->machine_table, job, machine,
                           mm_node_now(scheduler->node));
}
