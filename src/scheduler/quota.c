/* Teams' guarantees: which jobs lie within them, and which teams run more than theirs, so that work
 * of these may be stopped for work of those. Every node works it out from what it knows; nothing
 * safety-critical hangs on it. */
#include "scheduler/scheduler.h"

#include "dependencies/dependencies.h"

#define QUOTA_UPDATE_INTERVAL_MS 1000

static gboolean
fits_quota(const MmResources *quota, const MmResources *team_sum, const MmJobSpec *spec) {
  /* An amount of 0 is no guarantee at all. */
  if (spec->task_resources.accelerators > 0
      && team_sum->accelerators > quota->accelerators + MM_RESOURCES_SLACK)
    return FALSE;
  if (quota->cores <= 0)
    return spec->task_resources.accelerators > 0;
  return team_sum->cores <= quota->cores + MM_RESOURCES_SLACK;
}

void
mm_scheduler_update_quotas(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;
  const GArray *teams = node->settings->teams;
  MmTime now = mm_node_now(node);
  g_autofree MmResources *team_sums = NULL;
  gboolean has_quota_objective = FALSE;

  if (mm_time_before(now, scheduler->next_quota_update_at))
    return;
  scheduler->next_quota_update_at = mm_time_add_ms(now, QUOTA_UPDATE_INTERVAL_MS);
  for (guint i = 0; i < node->settings->objectives->len; i++)
    has_quota_objective
        = has_quota_objective
          || g_array_index(node->settings->objectives, MmObjective, i).kind == MM_OBJECTIVE_QUOTA;
  team_sums = g_new0(MmResources, teams->len);
  memset(scheduler->team_used, 0, teams->len * sizeof *scheduler->team_used);
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
    job->has_quota_precedence = job->is_within_quota && !has_quota_objective;
  }
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
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
