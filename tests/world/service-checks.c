/* Checks of the service that users get: no job waits while it could run, and jobs of all teams,
 * kinds and sizes are started. */
#include "world/internal.h"

#define WAIT_MAX_US (90 * (gint64)G_USEC_PER_SEC)
#define LARGEST_JOB_WAIT_MAX_US (240 * (gint64)G_USEC_PER_SEC)

static MmResources
free_resources(const WorldMachine *machine) {
  double cores = world_type_cores(machine->type);
  /* Counts as room for any number of tasks, so that a bound of their number excuses no waiting. */
  MmResources resources = { cores, 0, cores * WORLD_MEMORY_GB_PER_CORE, G_MAXUINT };

  for (guint k = 0; k < machine->tasks->len; k++) {
    const WorldTask *task = g_ptr_array_index(machine->tasks, k);
    if (task->state != MM_REPORTED_ENDED)
      resources = mm_resources_sub(resources, task->job->spec.task_resources);
  }
  return resources;
}

static gboolean
fits_some_machine(const World *world, const MmJobSpec *spec) {
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    MmName type = mm_name(machine->type);
    if (machine->is_up && !machine->is_terminated && machine->termination_notice_at_us == 0
        && world->now_us >= MAX(machine->suspended_until_us, machine->partitioned_until_us)
        && world->now_us >= MAX(machine->inbound_lost_until_us, machine->outbound_lost_until_us)
        && mm_job_spec_allows_type(spec, &type) && (!machine->is_spot || spec->allows_spot)
        && (mm_name_is_empty(&spec->zone) || strcmp(spec->zone.s, machine->zone) == 0)
        && mm_resources_fits(spec->task_resources, free_resources(machine)))
      return TRUE;
  }
  return FALSE;
}

/* Returns the cores used by the tasks of the job's team, including tasks that still fetch their
 * image. Stores in `n_placed` how many tasks of the job are on machines. */
static double
team_cores(const World *world, const WorldJob *target_job, guint *n_placed) {
  double cores = 0;

  *n_placed = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    for (guint k = 0; k < machine->tasks->len; k++) {
      const WorldTask *task = g_ptr_array_index(machine->tasks, k);
      if (task->state == MM_REPORTED_ENDED)
        continue;
      *n_placed += task->job == target_job;
      if (mm_name_equal(&task->job->spec.team, &target_job->spec.team))
        cores += task->job->spec.task_resources.cores;
    }
  }
  return cores;
}

static gboolean
is_waiting_needlessly(const World *world, const WorldJob *job) {
  const MmJobSpec *spec = &job->spec;
  double cores;
  guint n_placed;

  if (job->user_view != USER_SEES_ACCEPTED || world_job_may_be_cancelled(job)
      || !world_job_is_ready(job) || spec->requires_one_zone || spec->spreads_over_zones
      || (spec->kind == MM_JOB_KIND_GANG && spec->n_tasks > 1))
    return FALSE;
  cores = team_cores(world, job, &n_placed);
  return spec->n_tasks > job->n_done + n_placed
         && cores + spec->task_resources.cores <= world->team_cores + 1e-6
         && fits_some_machine(world, spec);
}

void
world_check_waiting(World *world) {
  if (world->faults_ended_at_us == 0 || world->now_us < world->faults_ended_at_us
      || world->now_us - world->waiting_checked_at_us < G_USEC_PER_SEC)
    return;
  world->waiting_checked_at_us = world->now_us;
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (!is_waiting_needlessly(world, job))
      job->waiting_since_us = 0;
    else if (job->waiting_since_us == 0)
      job->waiting_since_us = world->now_us;
    else if (world->now_us - MAX(job->waiting_since_us, job->last_start_at_us) > WAIT_MAX_US)
      world_report_violation(
          world, "needless_wait: job %s has waited for 90 s although a suitable machine is free",
          job->id);
  }
}

/* Share of jobs that are served */

/* Number of jobs in a category, and how many of these jobs have started. */
typedef struct {
  guint n_jobs;
  guint n_served;
} ServedCount;

/* Adds the job to the count. If `job` is NULL, adds nothing, and reports a violation if less than
 * half of the counted jobs have started. `description` names the category. */
static void
count_served(World *world, ServedCount *served_count, const char *description,
             const WorldJob *job) {
  if (job != NULL) {
    served_count->n_jobs++;
    served_count->n_served += job->first_start_at_us != 0;
  } else if (served_count->n_served * 2 < served_count->n_jobs) {
    world_report_violation(world, "served: only %u of %u jobs of %s started",
                           served_count->n_served, served_count->n_jobs, description);
  }
}

void
world_check_served(World *world) {
  static const char *const kinds[] = { "arrays", "gangs", "services" };
  ServedCount team_counts[4] = { 0 }, kind_counts[3] = { 0 }, largest_count = { 0 };
  guint most_tasks = 0;

  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    if (!world_job_may_be_cancelled(job))
      most_tasks = MAX(most_tasks, job->spec.n_tasks);
  }
  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    if (world_job_may_be_cancelled(job) || !job->was_accepted || job->ready_at_us == 0)
      continue;
    count_served(world, &team_counts[job->spec.team.s[5] - '0'], NULL, job);
    count_served(world, &kind_counts[job->spec.kind], NULL, job);
    if (job->spec.n_tasks < most_tasks)
      continue;
    count_served(world, &largest_count, NULL, job);
    if (job->first_start_at_us - job->ready_at_us > LARGEST_JOB_WAIT_MAX_US)
      world_report_violation(
          world, "served: job %s, one of the largest, started only after %" G_GINT64_FORMAT " s",
          job->id, (job->first_start_at_us - job->ready_at_us) / G_USEC_PER_SEC);
  }
  for (guint i = 0; i < 4; i++)
    count_served(world, &team_counts[i], "a team", NULL);
  for (guint i = 0; i < 3; i++)
    count_served(world, &kind_counts[i], kinds[i], NULL);
  count_served(world, &largest_count, "the largest size", NULL);
}
