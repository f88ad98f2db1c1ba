#include "scheduler/replica-move.h"

#include "placement/accelerator-reserve.h"
#include "scheduler/preemption.h"
#include "scheduler/start-rules.h"
#include "scheduler/stop-commands.h"

/* How long a task must have waited before a replica of another service is moved to make room for
 * the task. */
#define REPLICA_MOVE_AFTER_MS 1500
/* Minimum time between two attempts to move a replica. The attempts for all jobs count together. */
#define REPLICA_MOVE_INTERVAL_MS 1500
/* Maximum number of replicas tried in one attempt. Each tried replica costs a scan of all
 * machines. Without this limit, an attempt takes 200 ms of processor time when no replica can
 * run elsewhere. */
#define REPLICA_MOVE_SCANS_MAX 4
/* Maximum time that the image fetch of a moved replica may take. */
#define REPLICA_MOVE_FETCH_S 5

/* Returns another machine on which a replica that now runs on `current` could start shortly. The
 * machine is borrowed. Returns NULL if there is no such machine. */
static MmMachine *
find_machine_for_replica(MmScheduler *scheduler, const MmJob *job, const MmMachine *current,
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

/* Returns whether the machine could run a task of the job after a replica has left the machine.
 * Assumes that the resources suffice then. */
static gboolean
could_host_task_after_move(MmScheduler *scheduler, const MmJob *job, const MmMachine *machine,
                           MmResources free_resources) {
  MmNode *node = scheduler->node;

  return mm_machine_is_usable(node->machine_table, machine)
         && !mm_time_before(mm_node_now(node), machine->reserved_until)
         && mm_scheduler_constraints_will_allow(scheduler, job, machine)
         && mm_placement_check_reserve(node->placement, job, machine, free_resources)
                < MM_RESERVE_WOULD_SHRINK;
}

/* Returns whether moving the placed task would make room for a task of the job. The placed task
 * must be a running replica of another service of the same or a lower priority. Its resources and
 * the free resources together must suffice. */
static gboolean
is_movable_replica(const MmJob *job, const MmPlacedTask *placed, MmResources free_resources) {
  const MmJob *other = placed->job;
  const MmTask *replica = placed->task;

  return other != job && !other->is_cancelled && other->spec.kind == MM_JOB_KIND_SERVICE
         && other->effective_priority <= job->effective_priority
         && replica->state == MM_TASK_RUNNING && !replica->is_stopping
         && mm_resources_fits(job->spec.task_resources,
                              mm_resources_add(free_resources, other->spec.task_resources));
}

/* Stops a replica on the machine if the replica could run elsewhere, and reserves the place of the
 * replica for the task. Subtracts 1 from `scans_left` for each replica tried. Returns FALSE when no
 * replica was stopped. */
static gboolean
move_replica_off_machine(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                         MmResources free_resources, double max_fetch_s, guint *scans_left) {
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    MmJob *other = placed->job;
    const MmMachine *target;

    if (!is_movable_replica(job, placed, free_resources))
      continue;
    if (*scans_left == 0)
      return FALSE;
    --*scans_left;
    target = find_machine_for_replica(scheduler, other, machine, max_fetch_s);
    if (target == NULL)
      continue;
    mm_info("replica %s/%u stopped for move from=%s to=%s for_job=%s", other->spec.id.s,
            placed->number, machine->id.s, target->id.s, job->spec.id.s);
    mm_scheduler_reserve_resources(scheduler, job, number, machine);
    mm_job_edit_task(other, placed->number)->last_failed_on = machine->id;
    mm_scheduler_stop_task(scheduler, other, placed->number);
    return TRUE;
  }
  return FALSE;
}

gboolean
mm_scheduler_move_replica(MmScheduler *scheduler, MmJob *job, guint number) {
  MmNode *node = scheduler->node;
  const GPtrArray *machines = node->machine_table->sorted_machines;
  MmTime now = mm_node_now(node);
  gint64 waited_ms = mm_time_ms_since(now, mm_job_task(job, number)->state_since);
  /* A moved replica may fetch its image only if the task has already waited for longer than the
   * fetch may take. */
  double max_fetch_s = waited_ms > REPLICA_MOVE_FETCH_S * 1000 ? REPLICA_MOVE_FETCH_S : 0;
  guint scans_left = REPLICA_MOVE_SCANS_MAX, first_index;

  if (job->spec.kind != MM_JOB_KIND_SERVICE || mm_time_before(now, scheduler->next_replica_move_at)
      || waited_ms < REPLICA_MOVE_AFTER_MS)
    return FALSE;
  scheduler->next_replica_move_at = mm_time_add_ms(now, REPLICA_MOVE_INTERVAL_MS);
  first_index
      = machines->len > 0 ? (guint)g_rand_int_range(node->rand, 0, (gint32)machines->len) : 0;
  for (guint i = 0; i < machines->len && scans_left > 0; i++) {
    MmMachine *machine = g_ptr_array_index(machines, (first_index + i) % machines->len);
    MmResources free_resources = mm_machine_available_resources(node->machine_table, machine);

    if (could_host_task_after_move(scheduler, job, machine, free_resources)
        && move_replica_off_machine(scheduler, job, number, machine, free_resources, max_fetch_s,
                                    &scans_left))
      return TRUE;
  }
  return FALSE;
}
