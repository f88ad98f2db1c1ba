#include "scheduler/replica-move.h"

#include "placement/accelerator-reserve.h"
#include "scheduler/preemption.h"
#include "scheduler/start-rules.h"
#include "scheduler/stop-commands.h"

#define REPLICA_MOVE_AFTER_MS 1500
#define REPLICA_MOVE_INTERVAL_MS 1500
/* Each costs a scan of all machines: without a bound, replicas that find no other place take 200 ms
 * of processor time a try. */
#define REPLICA_MOVE_SCANS_MAX 4
#define REPLICA_MOVE_FETCH_S 5

/* Where a replica that runs on `current` could run again shortly, or NULL. */
static MmMachine *
machine_for_replica(MmScheduler *scheduler, const MmJob *job, const MmMachine *current,
                    double max_fetch_s) {
  MmMachineTable *machine_table = scheduler->node->machine_table;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    double delay_s;
    if (machine == current || mm_scheduler_image_fetch_s(job, machine) > max_fetch_s)
      continue;
    delay_s = mm_scheduler_start_delay_s(scheduler, job, machine);
    if (mm_scheduler_can_start(delay_s)
        && delay_s <= scheduler->node->settings->heartbeat_interval_s + MM_PREEMPTION_DELAY_S
                          + max_fetch_s)
      return machine;
  }
  return NULL;
}

gboolean
mm_scheduler_move_replica(MmScheduler *scheduler, const MmJob *job, MmTask *task) {
  MmNode *node = scheduler->node;
  guint scans_left = REPLICA_MOVE_SCANS_MAX, first_index;
  MmTime now = mm_node_now(node);
  /* A moved replica may fetch its image once the wait is longer than the fetch. */
  double fetch_s = mm_time_ms_since(now, task->state_since) > REPLICA_MOVE_FETCH_S * 1000
                       ? REPLICA_MOVE_FETCH_S
                       : 0;

  if (job->spec.kind != MM_JOB_KIND_SERVICE || mm_time_before(now, scheduler->next_replica_move_at)
      || mm_time_ms_since(now, task->state_since) < REPLICA_MOVE_AFTER_MS)
    return FALSE;
  scheduler->next_replica_move_at = mm_time_add_ms(now, REPLICA_MOVE_INTERVAL_MS);
  first_index = node->machine_table->sorted_machines->len > 0 ? (guint)g_rand_int_range(
                    node->rand, 0, (gint32)node->machine_table->sorted_machines->len)
                                                              : 0;
  for (guint i = 0; i < node->machine_table->sorted_machines->len && scans_left > 0; i++) {
    MmMachine *machine
        = g_ptr_array_index(node->machine_table->sorted_machines,
                            (first_index + i) % node->machine_table->sorted_machines->len);
    MmResources free_resources = mm_machine_available_resources(node->machine_table, machine);

    if (!mm_machine_is_usable(node->machine_table, machine)
        || mm_time_before(now, machine->reserved_until)
        || !mm_scheduler_constraints_will_allow(scheduler, job, machine)
        || mm_placement_check_reserve(node->placement, job, machine, free_resources)
               >= MM_RESERVE_WOULD_SHRINK)
      continue;
    for (guint k = 0; k < machine->placed_tasks->len; k++) {
      const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, k);
      MmJob *other = placed->job;
      MmTask *moved_task = &other->tasks[placed->number];
      MmMachine *target;

      if (other == job || other->is_cancelled || other->spec.kind != MM_JOB_KIND_SERVICE
          || other->effective_priority > job->effective_priority
          || moved_task->state != MM_TASK_RUNNING || moved_task->is_stopping
          || !mm_resources_fits(job->spec.task_resources,
                                mm_resources_add(free_resources, other->spec.task_resources)))
        continue;
      if (scans_left-- == 0)
        return FALSE;
      target = machine_for_replica(scheduler, other, machine, fetch_s);
      if (target == NULL)
        continue;
      mm_info("replica %s/%u moved from=%s to=%s for_job=%s", other->spec.id.s, placed->number,
              machine->id.s, target->id.s, job->spec.id.s);
      mm_scheduler_reserve_resources(scheduler, job, task, machine);
      moved_task->last_failed_on = machine->id;
      mm_scheduler_stop_task(scheduler, other, placed->number);
      return TRUE;
    }
  }
  return FALSE;
}
