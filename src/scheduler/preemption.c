#include "scheduler/preemption.h"

#include <stdlib.h>

#include "placement/accelerator-reserve.h"
#include "scheduler/placement-estimate.h"
#include "scheduler/quota.h"
#include "scheduler/replica-move.h"
#include "scheduler/start-rules.h"
#include "scheduler/stop-commands.h"
#include "scheduler/urgency.h"

/* Limits of one preemption round: TASKS_PER_ROUND for the pending tasks tried,
 * PREEMPTIONS_PER_ROUND for the tries that scan the machines. */
#define TASKS_PER_ROUND 16
#define PREEMPTIONS_PER_ROUND 6
/* The part of PREEMPTIONS_PER_ROUND that is available to jobs that are neither urgent nor within a
 * quota. */
#define ORDINARY_PREEMPTIONS_PER_ROUND 2
/* Added to the start delay for each task that must be stopped. */
#define STOP_DELAY_PER_TASK_S 0.05
/* Added to the start delay of a service's task on a machine for each co-located task there. A
 * machine with one co-located task fewer is therefore preferred unless it would start the task at
 * least this much later. */
#define COLOCATED_TASK_PENALTY_S 0.25
/* How long a task of a job that is not urgent must have waited before work is preempted for the
 * task. */
#define QUOTA_RECLAIM_AFTER_MS 2800
/* Maximum number of tasks considered for preemption on one machine for one task. */
#define VICTIMS_MAX 32
/* A job that has waited for long and has at most this many running tasks keeps all of them. */
#define PROTECTED_TASKS_MAX 2

/* A task that is or may be preempted. */
typedef struct {
  const MmReportedTask *reported;
  const MmJob *job;
} Victim;

/* How a task can be started on a machine. */
typedef struct {
  double delay_s; /* time until the start, see mm_scheduler_start_delay_s */
  guint n_victims;
  Victim victims[VICTIMS_MAX]; /* tasks to stop */
} StartPlan;

static int
compare_victims(const void *a, const void *b) {
  const Victim *x = a, *y = b;

  if (x->job->effective_priority != y->job->effective_priority)
    return x->job->effective_priority < y->job->effective_priority ? -1 : 1;
  return (int)y->reported->number - (int)x->reported->number;
}

/* Returns whether no task of the job may be preempted, because the job has only just begun to run
 * after waiting for longer than the operators' bound for starvation. */
static gboolean
is_protected_from_preemption(const MmScheduler *scheduler, const MmJob *job) {
  return mm_job_waiting_time_s(job, mm_node_wall_ms(scheduler->node))
             > scheduler->node->operators->starved_after_s
         && mm_machine_table_running_tasks(scheduler->node->machine_table, job->spec.id.s)
                <= PROTECTED_TASKS_MAX;
}

/* Returns whether the reported task may be preempted for `job`. `victim` is the job of the reported
 * task, or NULL when this job is unknown. */
static gboolean
is_preemptible(const MmScheduler *scheduler, const MmJob *job, const MmReportedTask *reported,
               const MmJob *victim) {
  return reported->state != MM_REPORTED_ENDED && reported->state != MM_REPORTED_CHECKPOINTING
         && victim != NULL
         && (victim->effective_priority < job->effective_priority
             || mm_scheduler_may_reclaim_quota(scheduler, job, victim))
         && !is_protected_from_preemption(scheduler, victim);
}

/* Chooses the tasks to preempt on the machine so that a task of the job fits. Chooses none if a
 * task of the job fits already. Returns FALSE when a task of the job does not fit even with
 * preemption. */
static gboolean
choose_victims(const MmScheduler *scheduler, const MmJob *job, const MmMachine *machine,
               MmResources free_resources, StartPlan *plan) {
  MmResources need = job->spec.task_resources;
  guint n_candidates = 0;

  plan->n_victims = 0;
  if (mm_resources_fits(need, free_resources))
    return TRUE;
  for (guint i = 0; i < machine->reported_tasks->len && n_candidates < VICTIMS_MAX; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *victim = mm_job_table_find(scheduler->node->job_table, reported->job.s);
    if (is_preemptible(scheduler, job, reported, victim))
      plan->victims[n_candidates++] = (Victim){ reported, victim };
  }
  qsort(plan->victims, n_candidates, sizeof *plan->victims, compare_victims);
  while (plan->n_victims < n_candidates && !mm_resources_fits(need, free_resources))
    free_resources = mm_resources_add(free_resources,
                                      plan->victims[plan->n_victims++].job->spec.task_resources);
  return mm_resources_fits(need, free_resources);
}

double
mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine) {
  if (machine->type == NULL || mm_machine_has_cached_image(machine, &job->spec.image))
    return 0;
  return job->spec.image_gb / machine->type->image_fetch_gb_per_s;
}

/* Plans the start of a task of the job on the machine, with preemption if necessary. Returns FALSE
 * when the task cannot start there. */
static gboolean
plan_start(MmScheduler *scheduler, const MmJob *job, MmMachine *machine, StartPlan *plan) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);
  gint64 heartbeat_interval_ms = mm_scheduler_heartbeat_interval_ms(scheduler);
  gint64 silent_ms = mm_time_ms_since(now, machine->last_heartbeat_at);
  MmResources free_resources;

  scheduler->n_machines_scanned++;
  if (silent_ms > 2 * heartbeat_interval_ms || machine->addr[0] == '\0'
      || !mm_machine_is_usable(node->machine_table, machine)
      || mm_time_before(now, machine->no_starts_until)
      || !mm_scheduler_constraints_will_allow(scheduler, job, machine))
    return FALSE;
  free_resources = mm_machine_available_resources(node->machine_table, machine);
  if (mm_placement_check_reserve(node->placement, job, machine, free_resources)
      >= MM_RESERVE_WOULD_SHRINK)
    return FALSE;
  if (mm_time_before(now, machine->reserved_until))
    free_resources = mm_resources_sub(free_resources, machine->reserved_resources);
  if (!choose_victims(scheduler, job, machine, free_resources, plan))
    return FALSE;
  /* Free resources can be used at the machine's next heartbeat. A stop makes the machine send a
   * heartbeat immediately. */
  plan->delay_s = plan->n_victims == 0
                      ? (double)MAX(heartbeat_interval_ms - silent_ms, 0) / 1000.0
                      : MM_PREEMPTION_DELAY_S + STOP_DELAY_PER_TASK_S * plan->n_victims;
  plan->delay_s += mm_scheduler_image_fetch_s(job, machine);
  return TRUE;
}

double
mm_scheduler_start_delay_s(MmScheduler *scheduler, const MmJob *job, MmMachine *machine) {
  StartPlan plan;

  return plan_start(scheduler, job, machine, &plan) ? plan.delay_s : MM_START_IMPOSSIBLE;
}

/* Returns the time in seconds that a task of `victim` is given to save a checkpoint before `job`
 * takes the place of the task. Work of the lowest priority gets no time if preempted for work of
 * the highest priority. Such work restarts from its last checkpoint. The restart costs less than
 * waiting for a new checkpoint would cost `job`. */
static double
victim_grace_s(const MmJob *job, const MmJob *victim) {
  if (job->effective_priority == MM_PRIORITY_CRITICAL
      && victim->effective_priority == MM_PRIORITY_LOW)
    return 0;
  return mm_scheduler_stop_grace_s(victim);
}

static void
stop_victims(MmScheduler *scheduler, const MmJob *job, MmMachine *machine, const StartPlan *plan) {
  for (guint i = 0; i < plan->n_victims; i++) {
    const MmReportedTask *reported = plan->victims[i].reported;
    const MmJob *victim = plan->victims[i].job;

    mm_info("task %s/%u preempted machine=%s for_job=%s", victim->spec.id.s, reported->number,
            machine->id.s, job->spec.id.s);
    if (victim->team_index >= 0) {
      MmResources *team_used = &scheduler->team_used[victim->team_index];
      *team_used = mm_resources_sub(*team_used, victim->spec.task_resources);
    }
    mm_scheduler_send_stop(scheduler, machine, &victim->spec.id, reported->number,
                           reported->attempt, victim_grace_s(job, victim));
  }
}

void
mm_scheduler_reserve_resources(MmScheduler *scheduler, MmJob *job, guint number,
                               MmMachine *machine) {
  MmTask *task = mm_job_edit_task(job, number);
  MmTime now = mm_node_now(scheduler->node);
  gint64 heartbeat_interval_ms = mm_scheduler_heartbeat_interval_ms(scheduler);

  if (!mm_time_before(now, machine->reserved_until))
    machine->reserved_resources = (MmResources){ 0 };
  machine->reserved_resources
      = mm_resources_add(machine->reserved_resources, job->spec.task_resources);
  machine->reserved_until = mm_time_add_ms(now, 2 * heartbeat_interval_ms);
  task->preempting_until = mm_time_add_ms(now, heartbeat_interval_ms);
  task->preempting_on = machine->id;
}

void
mm_scheduler_preempt_for_gang(MmScheduler *scheduler, MmJob *job, guint max_machines) {
  const GPtrArray *order = scheduler->node->machine_table->sorted_machines;
  MmTime now = mm_node_now(scheduler->node);
  MmTask *first_task = mm_job_edit_task(job, 0);
  StartPlan plan;

  if (mm_time_before(now, first_task->preempting_until))
    return;
  first_task->preempting_until = mm_time_add_ms(now, mm_scheduler_heartbeat_interval_ms(scheduler));
  for (guint i = 0; i < order->len && max_machines > 0; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (!plan_start(scheduler, job, machine, &plan) || plan.n_victims == 0)
      continue;
    stop_victims(scheduler, job, machine, &plan);
    max_machines--;
  }
}

/* Returns the machine on which a task of the job would start soonest, borrowed, or NULL if there is
 * none. For services, COLOCATED_TASK_PENALTY_S is added to the delay for each co-located task. */
static MmMachine *
find_soonest_machine(MmScheduler *scheduler, const MmJob *job) {
  const GPtrArray *machines = scheduler->node->machine_table->sorted_machines;
  MmMachine *best = NULL;
  double best_s = 0;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    double delay_s = mm_scheduler_start_delay_s(scheduler, job, machine);

    if (!mm_scheduler_can_start(delay_s))
      continue;
    if (job->spec.kind == MM_JOB_KIND_SERVICE)
      delay_s
          += COLOCATED_TASK_PENALTY_S * mm_scheduler_count_colocated_tasks(scheduler, job, machine);
    if (best != NULL && delay_s >= best_s)
      continue;
    best = machine;
    best_s = delay_s;
  }
  return best;
}

/* Finds the machine on which the task would start soonest. Preempts work there if necessary, and
 * reserves the resources for the task. Returns FALSE when there is no such machine. */
static gboolean
preempt_for_task(MmScheduler *scheduler, MmJob *job, guint number) {
  MmMachine *machine = find_soonest_machine(scheduler, job);
  StartPlan plan;

  if (machine == NULL || !plan_start(scheduler, job, machine, &plan))
    return FALSE;
  stop_victims(scheduler, job, machine, &plan);
  mm_scheduler_reserve_resources(scheduler, job, number, machine);
  return TRUE;
}

/* Preempts for pending tasks of the job, for each task at most once in a heartbeat interval.
 * Returns the number of tasks tried.
 *
 * One call handles several tasks. Otherwise, a large service that has lost a zone would wait for
 * each replica in turn. Handling several tasks is possible because the job's zone constraints also
 * count the machines with reserved resources. */
static guint
preempt_for_job(MmScheduler *scheduler, MmJob *job, guint max_tries) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);
  gint64 min_wait_ms = job->effective_priority >= MM_PRIORITY_URGENT
                           ? (gint64)(node->operators->preempt_after_s * 1000)
                           : QUOTA_RECLAIM_AFTER_MS;
  guint tries = 0;
  MmPendingRun run;

  for (guint i = job->first_pending; tries < max_tries && mm_job_next_pending_run(job, i, &run);
       i = run.first + run.length) {
    if (mm_time_before(now, run.task->preempting_until)
        || mm_time_before(now, run.task->retry_not_before)
        || mm_time_ms_since(now, run.task->state_since) < min_wait_ms)
      continue;
    for (guint k = 0; k < run.length && tries < max_tries; k++) {
      tries++;
      if (!preempt_for_task(scheduler, job, run.first + k)
          && !mm_scheduler_move_replica(scheduler, job, run.first + k))
        return tries;
    }
  }
  return tries;
}

/* Returns whether preemptible work of the lowest priority is running. Without such work, nothing
 * can be preempted for jobs that are only one priority higher. Scanning all machines for each of
 * these jobs would take all of the node's time. */
static gboolean
is_low_priority_work_running(const MmScheduler *scheduler) {
  const MmJobTable *job_table = scheduler->node->job_table;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->effective_priority == MM_PRIORITY_LOW
        && mm_machine_table_running_tasks(scheduler->node->machine_table, job->spec.id.s)
               > PROTECTED_TASKS_MAX)
      return TRUE;
  }
  return FALSE;
}

/* Returns whether the job is neither urgent nor within a quota. Such a job may preempt only work of
 * the lowest priority. */
static gboolean
is_ordinary(const MmJob *job) {
  return job->effective_priority < MM_PRIORITY_URGENT && !job->is_within_quota;
}

/* A round tries only a few tasks, because each try scans all machines. After a round that reached a
 * limit, the next round continues with the job after the last visited job. */
void
mm_scheduler_preempt(MmScheduler *scheduler) {
  const GPtrArray *jobs = mm_scheduler_jobs_by_urgency(scheduler);
  guint tasks_left = TASKS_PER_ROUND, preemptions_left = PREEMPTIONS_PER_ROUND, n_jobs_visited = 0;
  guint ordinary_preemptions_left
      = is_low_priority_work_running(scheduler) ? ORDINARY_PREEMPTIONS_PER_ROUND : 0;

  for (; n_jobs_visited < jobs->len && tasks_left > 0 && preemptions_left > 0; n_jobs_visited++) {
    MmJob *job
        = g_ptr_array_index(jobs, (scheduler->next_preemption_job + n_jobs_visited) % jobs->len);
    gboolean ordinary = is_ordinary(job);
    guint max_tries = MIN(tasks_left, ordinary ? MIN(preemptions_left, ordinary_preemptions_left)
                                               : preemptions_left);
    guint tries;

    if (job->n_pending == 0 || max_tries == 0
        || (ordinary && job->effective_priority <= MM_PRIORITY_LOW)
        || !mm_scheduler_job_is_schedulable(scheduler, job)
        || !mm_scheduler_limit_allows(scheduler, job->led_shard, job, 1))
      continue;
    tries = preempt_for_job(scheduler, job, max_tries);
    tasks_left -= tries;
    ordinary_preemptions_left -= ordinary ? tries : 0;
    preemptions_left -= tries;
  }
  scheduler->next_preemption_job = tasks_left > 0 && preemptions_left > 0
                                       ? 0
                                       : scheduler->next_preemption_job + n_jobs_visited;
}
