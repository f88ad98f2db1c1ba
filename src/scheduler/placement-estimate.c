#include "scheduler/placement-estimate.h"

#include "scheduler/preemption.h"

/* Value of MmPlacementEstimate.fewest_colocated_tasks before the tasks of any machine have been
 * counted. The value is larger than any number of tasks, and the first count therefore replaces
 * it. */
#define COLOCATED_TASKS_UNKNOWN G_MAXUINT
/* An estimate that is younger than this is used without a new scan. */
#define ESTIMATE_FRESH_MS 400
/* An estimate that is younger than this is used when the limit of scans has been reached. */
#define ESTIMATE_AGE_MAX_MS 2000
/* A task does not wait for another machine to avoid an image fetch that takes less time than
 * this. */
#define SHORT_FETCH_S 0.5
/* In heartbeat intervals. AVOID_FETCH_HEARTBEAT_INTERVALS: how long a pending task waits for a
 * machine that has its image. SPREAD_SERVICE_HEARTBEAT_INTERVALS: how long a task of a service
 * waits for a machine with fewer co-located tasks. */
#define AVOID_FETCH_HEARTBEAT_INTERVALS 1.5
#define SPREAD_SERVICE_HEARTBEAT_INTERVALS 0.7

guint
mm_scheduler_count_colocated_tasks(const MmScheduler *scheduler, const MmJob *job,
                                   const MmMachine *machine) {
  guint n_tasks = 0;

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *other = mm_job_table_find(scheduler->node->job_table, reported->job.s);
    n_tasks += reported->state != MM_REPORTED_ENDED && other != NULL
               && other->effective_priority >= job->effective_priority;
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    n_tasks += placed->task->state == MM_TASK_START_SENT
               && placed->job->effective_priority >= job->effective_priority;
  }
  return n_tasks;
}

static gboolean
is_estimate_younger(const MmPlacementEstimate *estimate, MmTime now, gint64 max_age_ms) {
  return estimate->estimated_at.us != 0
         && mm_time_ms_since(now, estimate->estimated_at) < max_age_ms;
}

/* Updates the estimate with a machine on which a task of the job could run after `delay_s`. */
static void
add_machine_to_estimate(MmPlacementEstimate *estimate, const MmMachine *machine, double delay_s) {
  if (!mm_scheduler_can_start(estimate->soonest_delay_s) || delay_s < estimate->soonest_delay_s) {
    estimate->next_soonest_delay_s = estimate->soonest_delay_s;
    estimate->soonest_delay_s = delay_s;
    estimate->soonest_machine = machine->id;
  } else if (!mm_scheduler_can_start(estimate->next_soonest_delay_s)
             || delay_s < estimate->next_soonest_delay_s) {
    estimate->next_soonest_delay_s = delay_s;
  }
}

static void
scan_machines(MmScheduler *scheduler, const MmJob *job, MmPlacementEstimate *estimate) {
  const MmNode *node = scheduler->node;

  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    double delay_s = mm_scheduler_start_delay_s(scheduler, job, machine);

    if (!mm_scheduler_can_start(delay_s))
      continue;
    add_machine_to_estimate(estimate, machine, delay_s);
    if (job->spec.kind == MM_JOB_KIND_SERVICE
        && delay_s <= job->spec.image_gb / machine->type->image_fetch_gb_per_s
                          + node->settings->heartbeat_interval_s)
      estimate->fewest_colocated_tasks
          = MIN(estimate->fewest_colocated_tasks,
                mm_scheduler_count_colocated_tasks(scheduler, job, machine));
  }
}

const MmPlacementEstimate *
mm_scheduler_estimate_placement(MmScheduler *scheduler, MmJob *job) {
  MmTime now = mm_node_now(scheduler->node);
  MmPlacementEstimate *estimate = &job->placement_estimate;

  if (is_estimate_younger(estimate, now, ESTIMATE_FRESH_MS))
    return estimate;
  if (scheduler->machine_scans_left == 0)
    return is_estimate_younger(estimate, now, ESTIMATE_AGE_MAX_MS) ? estimate : NULL;
  scheduler->machine_scans_left--;
  *estimate = (MmPlacementEstimate){ .estimated_at = now,
                                     .soonest_delay_s = MM_START_IMPOSSIBLE,
                                     .next_soonest_delay_s = MM_START_IMPOSSIBLE,
                                     .fewest_colocated_tasks = COLOCATED_TASKS_UNKNOWN };
  scan_machines(scheduler, job, estimate);
  return estimate;
}

/* A task waits for another machine instead of fetching its image here if the other machine could
 * run the task before the fetch here would end, even if work must first be preempted there. The
 * task waits no longer than the fetch would take.
 *
 * A task of a service that would have to fetch its image here also waits for a machine with fewer
 * co-located tasks. Later tasks of the service then find the image on more machines, and each of
 * these machines is more likely to run work that can be preempted for the later tasks. It also
 * limits how many tasks the loss of a machine affects. */
gboolean
mm_scheduler_starts_sooner_elsewhere(MmScheduler *scheduler, MmJob *job, const MmTask *task,
                                     const MmMachine *here) {
  MmNode *node = scheduler->node;
  double heartbeat_interval_s = node->settings->heartbeat_interval_s;
  double fetch_s = mm_scheduler_image_fetch_s(job, here);
  double waited_s = (double)mm_time_ms_since(mm_node_now(node), task->state_since) / 1000.0;
  gboolean spread_out = job->spec.kind == MM_JOB_KIND_SERVICE
                        && waited_s < heartbeat_interval_s * SPREAD_SERVICE_HEARTBEAT_INTERVALS;
  const MmPlacementEstimate *estimate;
  double elsewhere_s;

  if (fetch_s < SHORT_FETCH_S
      || waited_s > MIN(fetch_s, heartbeat_interval_s * AVOID_FETCH_HEARTBEAT_INTERVALS))
    return FALSE;
  /* Other work was preempted on this machine for this task. Choosing another machine would only
   * lose time. */
  if (mm_time_before(mm_node_now(node), task->preempting_until)
      && mm_name_equal(&task->preempting_on, &here->id))
    return FALSE;
  estimate = mm_scheduler_estimate_placement(scheduler, job);
  if (estimate == NULL)
    return FALSE;
  elsewhere_s = mm_name_equal(&estimate->soonest_machine, &here->id)
                    ? estimate->next_soonest_delay_s
                    : estimate->soonest_delay_s;
  if ((!mm_scheduler_can_start(elsewhere_s) || elsewhere_s >= fetch_s)
      && !(spread_out
           && estimate->fewest_colocated_tasks
                  < mm_scheduler_count_colocated_tasks(scheduler, job, here)))
    return FALSE;
  mm_debug(
      "job %s waits for another machine waited_s=%.1f elsewhere_s=%.1f machine=%s fetch_s=%.1f",
      job->spec.id.s, waited_s, elsewhere_s, here->id.s, fetch_s);
  return TRUE;
}
