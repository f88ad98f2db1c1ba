#include "scheduler/quota.h"

#include "dependencies/dependencies.h"
#include "scheduler/led-shards.h"
#include "scheduler/start-rules.h"
#include "scheduler/urgency.h"

#define QUOTA_UPDATE_INTERVAL_MS 1000
/* A part of the team's limit is reserved for at most this many tasks of the most urgent job. For a
 * gang, the part covers all tasks of the gang instead. */
#define RESERVED_LIMIT_TASKS 4

/* Returns whether a job with this specification is within its team's quota. `team_sum` is the sum
 * of the resources needed by the job and by the team's older unfinished jobs. */
static gboolean
fits_quota(const MmResources *quota, const MmResources *team_sum, const MmJobSpec *spec) {
  /* A quota of 0 guarantees nothing. */
  if (spec->task_resources.accelerators > 0
      && team_sum->accelerators > quota->accelerators + MM_RESOURCES_SLACK)
    return FALSE;
  if (quota->cores <= 0)
    return spec->task_resources.accelerators > 0;
  return team_sum->cores <= quota->cores + MM_RESOURCES_SLACK;
}

static gboolean
has_quota_objective(const MmSettings *settings) {
  for (guint i = 0; i < settings->objectives->len; i++)
    if (g_array_index(settings->objectives, MmObjective, i).kind == MM_OBJECTIVE_QUOTA)
      return TRUE;
  return FALSE;
}

/* Updates which jobs are within their team's quota. These are the oldest unfinished jobs of the
 * team, as far as the quota suffices. If the settings contain an objective for such jobs, their
 * urgency follows from this objective. Otherwise, they have precedence over other jobs of the same
 * priority. */
static void
update_jobs_within_quota(const MmScheduler *scheduler) {
  const MmNode *node = scheduler->node;
  const GArray *teams = node->settings->teams;
  g_autofree MmResources *team_sums = g_new0(MmResources, teams->len);
  gboolean quota_gives_precedence = !has_quota_objective(node->settings);

  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    const MmTeamSettings *team;
    job->is_within_quota = job->has_quota_precedence = FALSE;
    if (job->team_index < 0 || job->is_cancelled || !mm_job_dependencies_are_done(job))
      continue;
    team = &g_array_index(teams, MmTeamSettings, job->team_index);
    team_sums[job->team_index]
        = mm_resources_add(team_sums[job->team_index],
                           mm_resources_times(job->spec.task_resources, job->spec.n_tasks));
    job->is_within_quota = fits_quota(&team->quota, &team_sums[job->team_index], &job->spec);
    job->has_quota_precedence = job->is_within_quota && quota_gives_precedence;
  }
}

/* Computes the resources that each team uses, from the tasks that the newest messages of the
 * machines report. */
static void
update_team_used(MmScheduler *scheduler) {
  const MmNode *node = scheduler->node;
  const GPtrArray *machines = node->machine_table->sorted_machines;

  memset(scheduler->team_used, 0, node->settings->teams->len * sizeof *scheduler->team_used);
  for (guint i = 0; i < machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machines, i);
    for (guint k = 0; k < machine->reported_tasks->len; k++) {
      const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, k);
      const MmJob *job = reported->state != MM_REPORTED_ENDED
                             ? mm_job_table_find(node->job_table, reported->job.s)
                             : NULL;
      if (job != NULL && job->team_index >= 0)
        scheduler->team_used[job->team_index]
            = mm_resources_add(scheduler->team_used[job->team_index], job->spec.task_resources);
    }
  }
}

void
mm_scheduler_update_quotas(MmScheduler *scheduler) {
  MmTime now = mm_node_now(scheduler->node);

  if (mm_time_before(now, scheduler->next_quota_update_at))
    return;
  scheduler->next_quota_update_at = mm_time_add_ms(now, QUOTA_UPDATE_INTERVAL_MS);
  update_jobs_within_quota(scheduler);
  scheduler->is_urgency_order_stale = TRUE;
  update_team_used(scheduler);
}

gboolean
mm_scheduler_may_reclaim_quota(const MmScheduler *scheduler, const MmJob *job,
                               const MmJob *victim) {
  const MmTeamSettings *team;
  MmResources team_use_after;

  if (!job->is_within_quota || victim->team_index < 0 || victim->team_index == job->team_index
      || victim->is_within_quota || victim->spec.kind == MM_JOB_KIND_SERVICE
      || victim->effective_priority > job->effective_priority)
    return FALSE;
  team = &g_array_index(scheduler->node->settings->teams, MmTeamSettings, victim->team_index);
  team_use_after
      = mm_resources_sub(scheduler->team_used[victim->team_index], victim->spec.task_resources);
  return team_use_after.cores >= team->quota.cores - MM_RESOURCES_SLACK
         && team_use_after.accelerators >= team->quota.accelerators - MM_RESOURCES_SLACK;
}

/* Returns whether the limit of one resource allows the additional need. A job that does not need
 * the resource is not restricted, however much of the limit is used or reserved. Otherwise,
 * accelerators reserved for a waiting gang would prevent the arrays of the same team from using
 * idle machines. */
static gboolean
is_within_limit(double limit, double used, double need) {
  return limit <= 0 || need <= 0 || used + need <= limit + MM_RESOURCES_SLACK;
}

/* Counts everything that the team uses or may be using: all tasks that may be on a machine,
 * including tasks that are being stopped, and all resources of the unacknowledged machines. */
gboolean
mm_scheduler_limit_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                          guint n_tasks) {
  MmResources limit = shard->team->limit;
  MmResources used;

  if (limit.cores <= 0 && limit.accelerators <= 0)
    return TRUE;
  mm_scheduler_update_unacknowledged(scheduler, shard);
  if (shard->has_unacknowledged_of_unknown_type)
    return FALSE;
  used = mm_resources_add(shard->used, shard->unacknowledged_resources);
  /* The part of the limit that is reserved for a more urgent job counts as used. Otherwise, small
   * jobs would take the rest of the limit one by one. A large job would then never start, and jobs
   * of higher priority would wait for jobs of lower priority. */
  if (shard->limit_reserved_for != NULL && shard->limit_reserved_for != job
      && mm_scheduler_compare_urgency(&shard->limit_reserved_for, &job) < 0)
    used = mm_resources_add(used, shard->reserved_of_limit);
  return is_within_limit(limit.cores, used.cores, n_tasks * job->spec.task_resources.cores)
         && is_within_limit(limit.accelerators, used.accelerators,
                            n_tasks * job->spec.task_resources.accelerators);
}

/* Reserves a part of the team's limit for the job if the job is starving or urgent. Does nothing if
 * a part is already reserved for a more urgent job. */
static void
reserve_part_of_limit(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job) {
  gboolean is_urgent_or_starving = job->is_starving || job->spec.priority >= MM_PRIORITY_URGENT;
  guint n_tasks
      = mm_job_is_gang(job) ? job->spec.n_tasks : MIN(job->n_pending, RESERVED_LIMIT_TASKS);

  if (job->n_pending == 0 || !is_urgent_or_starving
      || !mm_scheduler_job_is_schedulable(scheduler, job)
      || (shard->limit_reserved_for != NULL
          && mm_scheduler_compare_urgency(&job, &shard->limit_reserved_for) >= 0))
    return;
  shard->limit_reserved_for = job;
  shard->reserved_of_limit = mm_resources_times(job->spec.task_resources, n_tasks);
}

/* Recomputes the sums that task-state.c maintains. These sums accumulate rounding errors, because
 * the amounts are fractions. */
void
mm_scheduler_recount_resources(MmScheduler *scheduler) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmLedShard *shard = value;
    shard->used = shard->reserved_of_limit = (MmResources){ 0 };
    shard->limit_reserved_for = NULL;
    mm_scheduler_update_unacknowledged(scheduler, shard);
  }
  for (guint i = 0; i < by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(by_submission, i);
    MmLedShard *shard = job->tasks != NULL ? job->led_shard : NULL;
    if (shard == NULL)
      continue;
    reserve_part_of_limit(scheduler, shard, job);
    shard->used = mm_resources_add(
        shard->used, mm_resources_times(job->spec.task_resources, job->n_maybe_on_machines));
  }
}
