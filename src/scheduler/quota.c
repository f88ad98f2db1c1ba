#include "scheduler/quota.h"

#include "dependencies/dependencies.h"
#include "scheduler/led-shards.h"
#include "scheduler/start-rules.h"
#include "scheduler/urgency.h"

#define QUOTA_UPDATE_INTERVAL_MS 1000
/* Of the limit, resources for so many tasks are reserved for the most urgent job. */
#define RESERVED_QUOTA_TASKS 4

/* Whether a team whose older unfinished jobs and this one together need `team_sum` has all of it
 * within its quota. */
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

/* The oldest unfinished jobs of a team lie within its quota, as far as it reaches. Where the
 * settings have an objective for such work, that gives it its urgency; otherwise it has precedence.
 */
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
    team_sums[job->team_index].cores += job->spec.n_tasks * job->spec.task_resources.cores;
    team_sums[job->team_index].accelerators
        += job->spec.n_tasks * job->spec.task_resources.accelerators;
    job->is_within_quota = fits_quota(&team->quota, &team_sums[job->team_index], &job->spec);
    job->has_quota_precedence = job->is_within_quota && quota_gives_precedence;
  }
}

/* Sums up what the teams use by the tasks that the machines' newest heartbeats show. */
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

/* A job that needs nothing of a limited resource is not bound by it, however much of it is used or
 * reserved. Otherwise accelerators reserved for a waiting gang would keep the team's arrays from
 * machines that lie idle. */
static gboolean
within_quota(double limit, double used, double need) {
  return limit <= 0 || need <= 0 || used + need <= limit + MM_RESOURCES_SLACK;
}

/* What the team uses or might use: all that may be on a machine, stops under way included, and on
 * an unacknowledged machine whatever fits there. */
gboolean
mm_scheduler_quota_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                          guint tasks) {
  MmResources limit = shard->team->limit;
  MmResources used;

  if (limit.cores <= 0 && limit.accelerators <= 0)
    return TRUE;
  mm_scheduler_update_unacknowledged(scheduler, shard);
  if (shard->has_unacknowledged_of_unknown_type)
    return FALSE;
  used = mm_resources_add(shard->used, shard->unacknowledged_resources);
  /* Otherwise small jobs take what is left of the limit one by one: a large one never begins, and
   * work of higher priority waits for lower. */
  if (shard->quota_reserved_for != NULL && shard->quota_reserved_for != job
      && mm_scheduler_compare_urgency(&shard->quota_reserved_for, &job) < 0)
    used = mm_resources_add(used, shard->reserved_quota);
  return within_quota(limit.cores, used.cores, tasks * job->spec.task_resources.cores)
         && within_quota(limit.accelerators, used.accelerators,
                         tasks * job->spec.task_resources.accelerators);
}

/* Reserves a part of its team's limit for the job if it is in a hurry and more urgent than the job
 * that has it now. */
static void
reserve_quota(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job) {
  gboolean is_in_hurry = job->is_starving || job->spec.priority >= MM_PRIORITY_URGENT;
  guint n_tasks
      = mm_job_is_gang(job) ? job->spec.n_tasks : MIN(job->n_pending, RESERVED_QUOTA_TASKS);

  if (job->n_pending == 0 || !is_in_hurry || !mm_scheduler_job_is_schedulable(scheduler, job)
      || (shard->quota_reserved_for != NULL
          && mm_scheduler_compare_urgency(&job, &shard->quota_reserved_for) >= 0))
    return;
  shard->quota_reserved_for = job;
  shard->reserved_quota = (MmResources){ n_tasks * job->spec.task_resources.cores,
                                         n_tasks * job->spec.task_resources.accelerators, 0 };
}

/* The sums that task-state.c keeps drift, since amounts are fractions; they are taken anew here. */
void
mm_scheduler_recount_resources(MmScheduler *scheduler) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmLedShard *shard = value;
    shard->used = shard->reserved_quota = (MmResources){ 0 };
    shard->quota_reserved_for = NULL;
    mm_scheduler_update_unacknowledged(scheduler, shard);
  }
  for (guint i = 0; i < by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(by_submission, i);
    MmLedShard *shard = job->tasks != NULL ? job->led_shard : NULL;
    if (shard == NULL)
      continue;
    reserve_quota(scheduler, shard, job);
    if (job->n_maybe_on_machines == 0)
      continue;
    shard->used.cores += job->n_maybe_on_machines * job->spec.task_resources.cores;
    shard->used.accelerators += job->n_maybe_on_machines * job->spec.task_resources.accelerators;
    shard->used.memory_gb += job->n_maybe_on_machines * job->spec.task_resources.memory_gb;
  }
}
