#include "scheduler/urgency.h"

#include <math.h>

#include "dependencies/dependencies.h"

/* A job within its team's quota has precedence after the job has waited for this long. */
#define QUOTA_START_WITHIN_S 1
/* Time from the end of a job's last task to the start of its dependents' tasks. This time covers
 * heartbeats, the write of the terminal record and the fetch of an image. */
#define DEPENDENCY_STAGE_MS 3000
/* How long before its inherited deadline a job begins to have the full priority of its
 * dependents. */
#define INHERITED_DEADLINE_MARGIN_MS 15000
/* Start time that is returned for an objective that does not apply to the job. */
#define DOES_NOT_APPLY_S (-1.0)
#define NO_DUE_TIME_MS G_MAXINT64

gboolean
mm_scheduler_has_precedence(const MmScheduler *scheduler, const MmJob *job) {
  return job->is_starving || job->effective_priority >= MM_PRIORITY_URGENT
         || mm_job_waiting_time_s(job, mm_node_wall_ms(scheduler->node))
                > (job->is_within_quota ? QUOTA_START_WITHIN_S
                                        : scheduler->node->operators->wait_bound_s);
}

/* Returns the time by which the last task must have started so that the job meets the objective.
 * The result is in seconds, counted from the time at which the objective begins to count. A result
 * below 0 means that the objective does not apply or cannot be met. */
static double
objective_start_s(const MmJob *job, const MmObjective *objective, double run_s) {
  switch (objective->kind) {
  case MM_OBJECTIVE_WAIT:
  case MM_OBJECTIVE_QUOTA:
    return objective->within_s;
  case MM_OBJECTIVE_FINISHED:
    return objective->within_s - run_s;
  case MM_OBJECTIVE_DEADLINE:
    return job->spec.deadline_s >= 0 ? job->spec.deadline_s * objective->deadline_factor - run_s
                                     : DOES_NOT_APPLY_S;
  default:
    return DOES_NOT_APPLY_S;
  }
}

/* Returns the estimated run time of a task in seconds. This is the mean of the run times observed
 * for tasks of the job. While there are none, it is the user's estimate, corrected by the error of
 * the estimates for the job class. */
static double
estimate_run_s(const MmScheduler *scheduler, const MmJob *job) {
  const MmEstimateError *estimate_error
      = g_hash_table_lookup(scheduler->estimate_errors, job->spec.job_class.s);
  double ratio = estimate_error != NULL && estimate_error->estimated_s > 0
                     ? estimate_error->actual_s / estimate_error->estimated_s
                     : 1;

  if (job->n_observed_runs > 0)
    return job->observed_run_s_sum / job->n_observed_runs;
  return job->spec.run_estimate_s * CLAMP(ratio, 0.25, 4);
}

/* Returns how many tasks may run at once if each needs `per_task` of a limited resource, at most
 * `n_parallel`. A limit of 0 means that the resource is not limited. */
static double
limit_parallel_tasks(double n_parallel, double limit, double per_task) {
  if (limit <= 0 || per_task <= 0)
    return n_parallel;
  return MIN(n_parallel, floor(limit / per_task + MM_RESOURCES_SLACK));
}

/* Returns in how many successive rounds the pending tasks must run, at least 1. Several rounds are
 * needed when the team's limit restricts how many tasks can run at once. */
static double
estimate_rounds(const MmScheduler *scheduler, const MmJob *job) {
  double n_parallel = job->spec.n_tasks;
  const MmTeamSettings *team;

  if (job->team_index != MM_NO_TEAM) {
    team = &g_array_index(scheduler->node->settings->teams, MmTeamSettings, job->team_index);
    n_parallel
        = limit_parallel_tasks(n_parallel, team->limit.cores, job->spec.task_resources.cores);
    n_parallel = limit_parallel_tasks(n_parallel, team->limit.accelerators,
                                      job->spec.task_resources.accelerators);
  }
  return MAX(ceil((double)job->n_pending / MAX(n_parallel, 1)), 1);
}

/* Returns the time of day by which the job must be given machines to meet one of its own
 * objectives. This is the earliest of the objectives that the job can still meet. */
static gint64
own_due_ms(const MmScheduler *scheduler, const MmJob *job, double run_s) {
  const MmSettings *settings = scheduler->node->settings;
  gint64 now_ms = mm_node_wall_ms(scheduler->node);
  gint64 due_ms = NO_DUE_TIME_MS;
  gboolean has_own_objective = FALSE;

  for (guint i = 0; i < settings->objectives->len; i++) {
    const MmObjective *objective = &g_array_index(settings->objectives, MmObjective, i);
    double start_s;
    gint64 counted_from_ms, start_ms;
    if (objective->kind == MM_OBJECTIVE_QUOTA
            ? !job->is_within_quota
            : !mm_name_equal(&objective->job_class, &job->spec.job_class))
      continue;
    start_s = objective_start_s(job, objective, run_s);
    counted_from_ms
        = objective->kind == MM_OBJECTIVE_DEADLINE ? job->submitted_at_ms : job->waiting_since_ms;
    start_ms = counted_from_ms + (gint64)(start_s * 1000);
    has_own_objective
        = has_own_objective || (start_s >= 0 && objective->kind != MM_OBJECTIVE_QUOTA);
    if (start_s >= 0 && start_ms >= now_ms && start_ms < due_ms)
      due_ms = start_ms;
  }
  /* A job without an objective of its own is due by its deadline. Without a deadline, the job is
   * ordered by the time since which it has been waiting. */
  if (!has_own_objective && job->spec.deadline_s >= 0)
    due_ms = job->submitted_at_ms + (gint64)(MAX(job->spec.deadline_s - run_s, 0) * 1000);
  else if (!has_own_objective)
    due_ms = job->waiting_since_ms;
  return due_ms;
}

/* Returns the time of day by which the dependent must be given machines to meet its own deadline or
 * an inherited deadline. Returns NO_DUE_TIME_MS if the dependent has neither. */
static gint64
deadline_due_ms(const MmJob *job) {
  return job->spec.deadline_s >= 0 ? MIN(job->due_at_ms, job->inherited_due_at_ms)
                                   : job->inherited_due_at_ms;
}

/* Sets the priority and the deadline that the job inherits from its dependents, the unfinished jobs
 * that depend on it. If a dependent is updated after this job, the dependent's values of the
 * previous slow tick are used. */
static void
inherit_from_dependents(const MmScheduler *scheduler, MmJob *job, double run_s) {
  const MmJobTable *job_table = scheduler->node->job_table;
  gint64 dependents_due_ms = NO_DUE_TIME_MS;

  job->inherited_priority = job->spec.priority;
  job->inherited_due_at_ms = NO_DUE_TIME_MS;
  for (guint i = 0; job->vertex != NULL && i < job->vertex->dependents->len; i++) {
    const MmVertex *vertex = g_ptr_array_index(job->vertex->dependents, i);
    const MmJob *dependent = mm_job_table_find(job_table, vertex->job_id.s);
    if (dependent == NULL || dependent->is_cancelled)
      continue;
    job->inherited_priority = MAX(job->inherited_priority, dependent->inherited_priority);
    dependents_due_ms = MIN(dependents_due_ms, deadline_due_ms(dependent));
  }
  if (dependents_due_ms != NO_DUE_TIME_MS)
    job->inherited_due_at_ms = MAX(dependents_due_ms - DEPENDENCY_STAGE_MS - (gint64)(run_s * 1000),
                                   mm_node_wall_ms(scheduler->node));
}

/* Returns the priority that applies to the job. Long before an inherited deadline, the inherited
 * priority is capped. The job is then ordered by its due time, but does not preempt ordinary work
 * of other teams or classes. Such a preemption would cost the other work more than the dependents
 * gain, because the dependents complete long before their deadlines anyway. */
static MmPriority
effective_priority(const MmScheduler *scheduler, const MmJob *job) {
  gint64 slack_ms = job->inherited_due_at_ms - mm_node_wall_ms(scheduler->node);

  if (job->inherited_due_at_ms == NO_DUE_TIME_MS || slack_ms <= INHERITED_DEADLINE_MARGIN_MS)
    return job->inherited_priority;
  return MAX(job->spec.priority, MIN(job->inherited_priority, MM_PRIORITY_NORMAL));
}

void
mm_scheduler_update_urgency(MmScheduler *scheduler, MmJob *job) {
  double run_s = estimate_run_s(scheduler, job) * estimate_rounds(scheduler, job);

  inherit_from_dependents(scheduler, job, run_s);
  job->effective_priority = effective_priority(scheduler, job);
  job->due_at_ms = MIN(own_due_ms(scheduler, job, run_s), job->inherited_due_at_ms);
}

gint
mm_scheduler_compare_urgency(gconstpointer a, gconstpointer b) {
  const MmJob *x = *(MmJob *const *)a, *y = *(MmJob *const *)b;

  if (x->is_starving != y->is_starving)
    return x->is_starving ? -1 : 1;
  if (x->is_starving && x->waiting_since_ms != y->waiting_since_ms)
    return x->waiting_since_ms < y->waiting_since_ms ? -1 : 1;
  if (x->effective_priority != y->effective_priority)
    return x->effective_priority > y->effective_priority ? -1 : 1;
  if (x->has_quota_precedence != y->has_quota_precedence)
    return x->has_quota_precedence ? -1 : 1;
  if (x->due_at_ms != y->due_at_ms)
    return x->due_at_ms < y->due_at_ms ? -1 : 1;
  if (x->submitted_at_ms != y->submitted_at_ms)
    return x->submitted_at_ms < y->submitted_at_ms ? -1 : 1;
  return strcmp(x->spec.id.s, y->spec.id.s);
}

const GPtrArray *
mm_scheduler_jobs_by_urgency(MmScheduler *scheduler) {
  MmJobTable *job_table = scheduler->node->job_table;

  if (!scheduler->is_urgency_order_stale)
    return scheduler->jobs_by_urgency;
  scheduler->is_urgency_order_stale = FALSE;
  g_ptr_array_set_size(scheduler->jobs_by_urgency, 0);
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && !mm_job_is_gang(job) && !job->is_cancelled)
      g_ptr_array_add(scheduler->jobs_by_urgency, job);
  }
  g_ptr_array_sort(scheduler->jobs_by_urgency, mm_scheduler_compare_urgency);
  return scheduler->jobs_by_urgency;
}
