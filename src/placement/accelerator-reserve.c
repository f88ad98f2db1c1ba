#include "placement/accelerator-reserve.h"

#include "placement/backlog.h"

#define UNRESERVE_CHECK_INTERVAL_MS 100
/* For this long after its start, a node that has seen no accelerated job does not conclude that
 * there is none. */
#define ACCELERATED_DEMAND_UNKNOWN_MS 20000
#define LENDING_UPDATE_INTERVAL_MS 200
/* A sixth of all accelerated machines, and at least four of them, are kept idle and are not
 * lent. */
#define IDLE_RESERVE_DIVISOR 6
#define IDLE_RESERVE_MIN 4
/* No further machine is unreserved if there are fewer than UNRESERVE_MIN_MACHINES accelerated
 * machines. Otherwise the limit on unreserved machines is a third of the accelerated machines
 * (UNRESERVED_SHARE_DIVISOR), but not less than one. */
#define UNRESERVE_MIN_MACHINES 2
#define UNRESERVED_SHARE_DIVISOR 3

void
mm_placement_record_accelerated_job(MmPlacement *placement, const MmJobSpec *spec) {
  if (spec->task_resources.accelerators <= 0)
    return;
  placement->has_seen_accelerated_work = TRUE;
  placement->max_accelerated_priority = MAX(placement->max_accelerated_priority, spec->priority);
  placement->accelerated_may_use_spot = placement->accelerated_may_use_spot || spec->allows_spot;
  placement->largest_accelerated_need.cores
      = MAX(placement->largest_accelerated_need.cores, spec->task_resources.cores);
  placement->largest_accelerated_need.memory_gb
      = MAX(placement->largest_accelerated_need.memory_gb, spec->task_resources.memory_gb);
}

/* Returns the job of a reported task, or NULL if the task has ended or the job is unknown. */
static const MmJob *
find_job_of_live_task(const MmPlacement *placement, const MmReportedTask *reported) {
  return reported->state != MM_REPORTED_ENDED
             ? mm_job_table_find(placement->node->job_table, reported->job.s)
             : NULL;
}

static gboolean
may_run_accelerated_work(const MmPlacement *placement, const MmMachine *machine) {
  return mm_machine_is_usable(placement->node->machine_table, machine)
         && machine->type->resources.accelerators > 0
         && (!machine->is_spot || placement->accelerated_may_use_spot);
}

/* Returns the resources of the machine that are used by jobs that are not accelerated. These are
 * all resources in use, less the resources of the accelerated tasks. The sum over the reported
 * tasks is not used, because this sum would miss starts in flight. A single response to a heartbeat
 * could then fill the machine with services, which run indefinitely. */
static MmResources
taken_by_other_work(const MmPlacement *placement, const MmMachine *machine,
                    MmResources free_resources) {
  MmResources taken = mm_resources_sub(machine->type->resources, free_resources);

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = find_job_of_live_task(placement, reported);
    if (job != NULL && job->spec.task_resources.accelerators > 0)
      taken = mm_resources_sub(taken, job->spec.task_resources);
  }
  return taken;
}

/* Returns whether the job is not accelerated and has a priority too high for accelerated jobs to
 * preempt it. Until this node has seen an accelerated job, accelerated jobs are assumed to be
 * urgent. */
static gboolean
is_unpreemptible(const MmPlacement *placement, const MmJob *job) {
  MmPriority max_accelerated_priority = placement->has_seen_accelerated_work
                                            ? placement->max_accelerated_priority
                                            : MM_PRIORITY_URGENT;

  return job->spec.task_resources.accelerators <= 0
         && job->effective_priority > max_accelerated_priority;
}

/* Returns the resources of the machine that are used by jobs which accelerated jobs cannot preempt.
 * Preemptible arrays do not count, because arrays fill every accelerated machine at the start of a
 * day. If arrays counted, all these machines would become unreserved, and services would start
 * there and run indefinitely. */
static MmResources
taken_by_unpreemptible_work(const MmPlacement *placement, const MmMachine *machine) {
  MmResources taken = { 0 };

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = find_job_of_live_task(placement, reported);
    if (job != NULL && is_unpreemptible(placement, job))
      taken = mm_resources_add(taken, job->spec.task_resources);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->task->state == MM_TASK_START_SENT && is_unpreemptible(placement, placed->job))
      taken = mm_resources_add(taken, placed->job->spec.task_resources);
  }
  return taken;
}

/* Returns whether it is too early to conclude that there are no accelerated jobs: this node has
 * seen none, but has not been running for long enough. */
static gboolean
is_demand_unknown(const MmPlacement *placement) {
  return !placement->has_seen_accelerated_work
         && mm_time_ms_since(mm_node_now(placement->node), placement->node->started_at)
                < ACCELERATED_DEMAND_UNKNOWN_MS;
}

/* Returns whether the largest accelerated task would fit on the machine if `taken` of its resources
 * are in use. As long as this node has seen no accelerated job since its start, returns FALSE for
 * every machine with any other task. Otherwise, after a restart of all nodes, a second machine
 * would be unreserved, because no node would know that the first machine is already unreserved. */
static gboolean
fits_largest_accelerated_task(const MmPlacement *placement, const MmMachine *machine,
                              MmResources taken) {
  MmResources capacity = machine->type->resources;

  if (!placement->has_seen_accelerated_work)
    return taken.cores <= MM_RESOURCES_SLACK;
  return taken.cores + placement->largest_accelerated_need.cores
             <= capacity.cores + MM_RESOURCES_SLACK
         && taken.memory_gb + placement->largest_accelerated_need.memory_gb
                <= capacity.memory_gb + MM_RESOURCES_SLACK;
}

static gboolean
has_pending_accelerated_work(const MmPlacement *placement) {
  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[v].pending, i);
      const MmJob *job = mm_job_table_find(placement->node->job_table, pending->job.s);
      if (job != NULL && !job->is_cancelled && job->spec.task_resources.accelerators > 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
runs_accelerated_work(const MmPlacement *placement, const MmMachine *machine) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = find_job_of_live_task(placement, reported);
    if (job != NULL && job->spec.task_resources.accelerators > 0)
      return TRUE;
  }
  return FALSE;
}

/* Returns the accelerated machines that accelerated jobs could use at once, or after they have
 * preempted the jobs that the machines are lent to. Free with g_ptr_array_unref. Sets `n_all` to
 * the number of all machines that accelerated jobs may use. */
static GPtrArray *
list_idle_accelerated_machines(const MmPlacement *placement, guint *n_all) {
  const GPtrArray *machines = placement->node->machine_table->sorted_machines;
  GPtrArray *idle = g_ptr_array_new();

  *n_all = 0;
  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!may_run_accelerated_work(placement, machine))
      continue;
    ++*n_all;
    if (!runs_accelerated_work(placement, machine) && !mm_placement_is_reserved(placement, machine)
        && fits_largest_accelerated_task(placement, machine,
                                         taken_by_unpreemptible_work(placement, machine)))
      g_ptr_array_add(idle, machine);
  }
  return idle;
}

/* Determines the machines to be lent, at most every LENDING_UPDATE_INTERVAL_MS. The first idle
 * machines in the order of ids are kept idle and the others are lent, so that all nodes lend the
 * same machines. */
static void
update_lent_machines(MmPlacement *placement) {
  MmTime now = mm_node_now(placement->node);
  g_autoptr(GPtrArray) idle = NULL;
  guint n_all;

  if (mm_time_ms_since(now, placement->lent_updated_at) < LENDING_UPDATE_INTERVAL_MS)
    return;
  placement->lent_updated_at = now;
  g_hash_table_remove_all(placement->lent_machines);
  if (!placement->has_seen_accelerated_work || has_pending_accelerated_work(placement))
    return;
  idle = list_idle_accelerated_machines(placement, &n_all);
  for (guint i = MAX(IDLE_RESERVE_MIN, n_all / IDLE_RESERVE_DIVISOR); i < idle->len; i++)
    g_hash_table_add(placement->lent_machines,
                     g_strdup(((MmMachine *)g_ptr_array_index(idle, i))->id.s));
}

MmReserveEffect
mm_placement_check_reserve(MmPlacement *placement, const MmJob *job, const MmMachine *machine,
                           MmResources free_resources) {
  gboolean is_unreserved;
  MmResources taken;

  if (machine->type == NULL || machine->type->resources.accelerators <= 0
      || job->spec.task_resources.accelerators > 0)
    return MM_RESERVE_UNAFFECTED;
  if (!placement->has_seen_accelerated_work && job->spec.kind != MM_JOB_KIND_SERVICE)
    return MM_RESERVE_UNAFFECTED;
  if (placement->has_seen_accelerated_work && machine->is_spot
      && !placement->accelerated_may_use_spot)
    return MM_RESERVE_UNAFFECTED;
  if (is_demand_unknown(placement))
    return MM_RESERVE_WOULD_SHRINK;
  taken = taken_by_other_work(placement, machine, free_resources);
  if (fits_largest_accelerated_task(placement, machine,
                                    mm_resources_add(taken, job->spec.task_resources)))
    return MM_RESERVE_UNAFFECTED;
  is_unreserved = !fits_largest_accelerated_task(placement, machine,
                                                 taken_by_unpreemptible_work(placement, machine));
  /* Preemptible jobs may use an unreserved machine, because services there leave too little for
   * accelerated jobs anyway. If preemptible jobs were forbidden there, a large part of the machines
   * would be idle while arrays wait. */
  if (job->effective_priority <= placement->max_accelerated_priority) {
    if (job->effective_priority == placement->max_accelerated_priority)
      return MM_RESERVE_FORBIDDEN;
    update_lent_machines(placement);
    return is_unreserved || g_hash_table_contains(placement->lent_machines, machine->id.s)
               ? MM_RESERVE_EXEMPT
               : MM_RESERVE_FORBIDDEN;
  }
  return is_unreserved ? MM_RESERVE_EXEMPT : MM_RESERVE_WOULD_SHRINK;
}

gboolean
mm_placement_may_unreserve_machine(MmPlacement *placement, const MmMachine *machine) {
  const MmMachineTable *machine_table = placement->node->machine_table;
  const MmMachine *next = NULL;
  guint n_accelerated = 0, n_unreserved = 0;
  MmTime now = mm_node_now(placement->node);

  if (mm_time_ms_since(now, placement->unreserve_checked_at) < UNRESERVE_CHECK_INTERVAL_MS)
    return machine == placement->next_unreserved_machine;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    const MmMachine *other = g_ptr_array_index(machine_table->sorted_machines, i);
    if (!may_run_accelerated_work(placement, other))
      continue;
    n_accelerated++;
    if (!fits_largest_accelerated_task(placement, other,
                                       taken_by_unpreemptible_work(placement, other)))
      n_unreserved++;
    else if (next == NULL)
      next = other;
  }
  placement->unreserve_checked_at = now;
  placement->next_unreserved_machine
      = !is_demand_unknown(placement) && n_accelerated >= UNRESERVE_MIN_MACHINES
                && n_unreserved < MAX(n_accelerated / UNRESERVED_SHARE_DIVISOR, 1)
            ? next
            : NULL;
  return next != NULL && machine == placement->next_unreserved_machine;
}
