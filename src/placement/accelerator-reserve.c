#include "placement/accelerator-reserve.h"

#include "placement/backlog.h"

#define RELEASE_CHECK_INTERVAL_MS 100
/* After the start of a node: for so long the absence of accelerated work proves nothing. */
#define ACCELERATED_DEMAND_UNKNOWN_MS 20000
#define LENDING_UPDATE_INTERVAL_MS 200
/* Of all accelerated machines a sixth, and four at least, stay free while others are lent. */
#define IDLE_RESERVE_DIVISOR 6
#define IDLE_RESERVE_MIN 4
/* Of so many machines and more, a third may be released, and one at least. */
#define RELEASE_MACHINES_MIN 2
#define RELEASED_SHARE_DIVISOR 3

void
mm_placement_note_accelerated_job(MmPlacement *placement, const MmJobSpec *spec) {
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

/* The job of a reported task that has not ended, or NULL when there is none or it is not known. */
static const MmJob *
job_of_live_task(const MmPlacement *placement, const MmReportedTask *reported) {
  return reported->state != MM_REPORTED_ENDED
             ? mm_job_table_find(placement->node->job_table, reported->job.s)
             : NULL;
}

/* Whether accelerated work may use the machine. */
static gboolean
is_for_accelerated_work(const MmPlacement *placement, const MmMachine *machine) {
  return mm_machine_is_usable(placement->node->machine_table, machine)
         && machine->type->resources.accelerators > 0
         && (!machine->is_spot || placement->accelerated_may_use_spot);
}

/* What work without accelerators takes of the machine: all that is taken, less the accelerated
 * tasks. Counting reported tasks alone would let one response fill such a machine with services for
 * good. */
static MmResources
taken_by_other_work(const MmPlacement *placement, const MmMachine *machine,
                    MmResources free_resources) {
  MmResources taken = mm_resources_sub(machine->type->resources, free_resources);

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = job_of_live_task(placement, reported);
    if (job != NULL && job->spec.task_resources.accelerators > 0)
      taken = mm_resources_sub(taken, job->spec.task_resources);
  }
  return taken;
}

static gboolean
is_unpreemptible(const MmPlacement *placement, const MmJob *job) {
  MmPriority outranked_priority = placement->has_seen_accelerated_work
                                      ? placement->max_accelerated_priority
                                      : MM_PRIORITY_URGENT;

  return job->spec.task_resources.accelerators <= 0 && job->effective_priority > outranked_priority;
}

/* What is taken by work that accelerated work could not preempt. Counting arrays as well would
 * release every such machine at the start of a day, and services would join there for good. */
static MmResources
taken_by_unpreemptible_work(const MmPlacement *placement, const MmMachine *machine) {
  MmResources taken = { 0 };

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = job_of_live_task(placement, reported);
    if (job != NULL && is_unpreemptible(placement, job))
      taken = mm_resources_add(taken, job->spec.task_resources);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job->tasks[placed->number].state == MM_TASK_START_SENT
        && is_unpreemptible(placement, placed->job))
      taken = mm_resources_add(taken, placed->job->spec.task_resources);
  }
  return taken;
}

/* Soon after the start of a node accelerated work may come at any moment, so nothing follows from
 * its absence. */
static gboolean
is_demand_unknown(const MmPlacement *placement) {
  return !placement->has_seen_accelerated_work
         && mm_time_ms_since(mm_node_now(placement->node), placement->node->started_at)
                < ACCELERATED_DEMAND_UNKNOWN_MS;
}

/* Until this node has seen accelerated work since its start, a machine with any other work on it
 * counts as taken: otherwise a second machine would be released after a restart of all nodes, since
 * none of them would know of the first. */
static gboolean
fits_largest_task(const MmPlacement *placement, const MmMachine *machine, MmResources taken) {
  MmResources capacity = machine->type->resources;

  if (!placement->has_seen_accelerated_work)
    return taken.cores <= MM_RESOURCES_SLACK;
  return taken.cores + placement->largest_accelerated_need.cores
             <= capacity.cores + MM_RESOURCES_SLACK
         && taken.memory_gb + placement->largest_accelerated_need.memory_gb
                <= capacity.memory_gb + MM_RESOURCES_SLACK;
}

static gboolean
accelerated_work_waits(const MmPlacement *placement) {
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
    const MmJob *job = job_of_live_task(placement, reported);
    if (job != NULL && job->spec.task_resources.accelerators > 0)
      return TRUE;
  }
  return FALSE;
}

/* Machines that accelerated work could have at once, or after preempting the work that they are
 * lent to. Free with g_ptr_array_unref; `n_all` counts all that accelerated work may use. */
static GPtrArray *
list_idle_accelerated(const MmPlacement *placement, guint *n_all) {
  const GPtrArray *machines = placement->node->machine_table->sorted_machines;
  GPtrArray *idle = g_ptr_array_new();

  *n_all = 0;
  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!is_for_accelerated_work(placement, machine))
      continue;
    ++*n_all;
    if (!runs_accelerated_work(placement, machine) && !mm_placement_is_reserved(placement, machine)
        && fits_largest_task(placement, machine, taken_by_unpreemptible_work(placement, machine)))
      g_ptr_array_add(idle, machine);
  }
  return idle;
}

/* The first idle machines by name are kept, so that all nodes lend the same ones. */
static void
choose_lent_machines(MmPlacement *placement) {
  MmTime now = mm_node_now(placement->node);
  g_autoptr(GPtrArray) idle = NULL;
  guint n_all;

  if (mm_time_ms_since(now, placement->lent_chosen_at) < LENDING_UPDATE_INTERVAL_MS)
    return;
  placement->lent_chosen_at = now;
  g_hash_table_remove_all(placement->lent_machines);
  if (!placement->has_seen_accelerated_work || accelerated_work_waits(placement))
    return;
  idle = list_idle_accelerated(placement, &n_all);
  for (guint i = MAX(IDLE_RESERVE_MIN, n_all / IDLE_RESERVE_DIVISOR); i < idle->len; i++)
    g_hash_table_add(placement->lent_machines,
                     g_strdup(((MmMachine *)g_ptr_array_index(idle, i))->id.s));
}

MmReserveVerdict
mm_placement_check_reserve(MmPlacement *placement, const MmJob *job, const MmMachine *machine,
                           MmResources free_resources) {
  gboolean is_released;
  MmResources taken;

  if (machine->type == NULL || machine->type->resources.accelerators <= 0
      || job->spec.task_resources.accelerators > 0)
    return MM_RESERVE_KEPT;
  if (!placement->has_seen_accelerated_work && job->spec.kind != MM_JOB_KIND_SERVICE)
    return MM_RESERVE_KEPT;
  if (placement->has_seen_accelerated_work && machine->is_spot
      && !placement->accelerated_may_use_spot)
    return MM_RESERVE_KEPT;
  if (is_demand_unknown(placement))
    return MM_RESERVE_WOULD_SHRINK;
  taken = taken_by_other_work(placement, machine, free_resources);
  if (fits_largest_task(placement, machine, mm_resources_add(taken, job->spec.task_resources)))
    return MM_RESERVE_KEPT;
  is_released
      = !fits_largest_task(placement, machine, taken_by_unpreemptible_work(placement, machine));
  /* Beside services that keep accelerated work away, preemptible work takes nothing from it.
   * Forbidding it there would leave a large part of the machines idle while arrays wait. */
  if (job->effective_priority <= placement->max_accelerated_priority) {
    if (job->effective_priority == placement->max_accelerated_priority)
      return MM_RESERVE_FORBIDDEN;
    choose_lent_machines(placement);
    return is_released || g_hash_table_contains(placement->lent_machines, machine->id.s)
               ? MM_RESERVE_RELEASED
               : MM_RESERVE_FORBIDDEN;
  }
  return is_released ? MM_RESERVE_RELEASED : MM_RESERVE_WOULD_SHRINK;
}

gboolean
mm_placement_may_release_machine(MmPlacement *placement, const MmMachine *machine) {
  const MmMachineTable *machine_table = placement->node->machine_table;
  const MmMachine *next = NULL;
  guint n_accelerated = 0, n_released = 0;
  MmTime now = mm_node_now(placement->node);

  if (mm_time_ms_since(now, placement->release_checked_at) < RELEASE_CHECK_INTERVAL_MS)
    return machine == placement->next_released_machine;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    const MmMachine *other = g_ptr_array_index(machine_table->sorted_machines, i);
    if (!is_for_accelerated_work(placement, other))
      continue;
    n_accelerated++;
    if (!fits_largest_task(placement, other, taken_by_unpreemptible_work(placement, other)))
      n_released++;
    else if (next == NULL)
      next = other;
  }
  placement->release_checked_at = now;
  placement->next_released_machine
      = !is_demand_unknown(placement) && n_accelerated >= RELEASE_MACHINES_MIN
                && n_released < MAX(n_accelerated / RELEASED_SHARE_DIVISOR, 1)
            ? next
            : NULL;
  return next != NULL && machine == placement->next_released_machine;
}
