/* Checks the invariants of the protocol against the actual state of the simulation. */
#include "world/world.h"

static gboolean
is_same_task(const WorldTask *a, const WorldTask *b) {
  return a->job == b->job && a->number == b->number;
}

void
world_check_start(World *world, const WorldMachine *machine, const WorldTask *task) {
  const MmJobSpec *spec = &task->job->spec;
  MmName type = mm_name(machine->type);
  guint n_in_zone = 1;

  if (task->job->first_start_at_us == 0)
    task->job->first_start_at_us = world->now_us;
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *other = world_machine_at(world, i);
    for (guint k = 0; k < other->tasks->len; k++) {
      const WorldTask *other_task = g_ptr_array_index(other->tasks, k);
      if (other_task == task || !world_task_is_on_machine(other_task))
        continue;
      if (is_same_task(other_task, task))
        world_report_violation(world, "ran_twice: task %s/%u starts on %s while it is on %s",
                               task->job->id, task->number, machine->id, other->id);
      if (other_task->job != task->job)
        continue;
      /* NOLINTNEXTLINE(clang-analyzer-core.NonNullParamChecker): neither machine is NULL */
      n_in_zone += strcmp(other->zone, machine->zone) == 0;
      if (spec->requires_one_zone && strcmp(other->zone, machine->zone) != 0)
        world_report_violation(world, "wrong_place: job %s must run in one zone but runs in two",
                               task->job->id);
    }
  }
  if (!world_job_is_ready(task->job))
    world_report_violation(
        world, "too_early: task %s/%u starts before all dependencies of its job are done",
        task->job->id, task->number);
  if (spec->spreads_over_zones && n_in_zone > mm_job_spec_max_tasks_per_zone(spec))
    world_report_violation(world, "wrong_place: too many tasks (%u) of job %s in zone %s",
                           n_in_zone, task->job->id, machine->zone);
  if (!mm_job_spec_allows_type(spec, &type) || (machine->is_spot && !spec->allows_spot)
      || (spec->zone.s[0] != '\0' && strcmp(spec->zone.s, machine->zone) != 0))
    world_report_violation(world, "wrong_place: task %s/%u must not run on machine %s",
                           task->job->id, task->number, machine->id);
}

void
world_check_invariants(World *world) {
  double cores[4] = { 0 };

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    for (guint k = 0; k < machine->tasks->len; k++) {
      const WorldTask *task = g_ptr_array_index(machine->tasks, k);
      const WorldJob *job = task->job;
      if (!world_task_is_on_machine(task))
        continue;
      cores[job->spec.team.s[5] - '0'] += job->spec.task_resources.cores;
      if (job->user_view == USER_SEES_CANCELLED
          && (double)(world->now_us - job->cancelled_at_us) > world->cancel_s * G_USEC_PER_SEC)
        world_report_violation(
            world, "ran_cancelled: task %s/%u of a cancelled job is still on machine %s", job->id,
            task->number, machine->id);
    }
  }
  world_check_sharing(world);
  world_record_ready_jobs(world);
  world_check_waiting(world);
  /* After the faults have ended, at least one request about each accepted job must be answered in
   * every 75 s. Jobs whose cancellation was confirmed are exempt. */
  for (guint i = 0; i < world->jobs->len && world->faults_ended_at_us != 0; i++) {
    const WorldJob *job = world_job_at(world, i);
    gint64 since = MAX(job->last_answer_at_us, world->faults_ended_at_us);
    if (job->was_accepted && job->user_view != USER_SEES_CANCELLED
        && world->now_us - since > 75 * (gint64)G_USEC_PER_SEC)
      world_report_violation(world, "forgotten: no request about job %s answered for 75 s",
                             job->id);
  }
  for (guint i = 0; i < 4; i++)
    if (cores[i] > world->team_cores + 1e-6)
      world_report_violation(world, "quota: team-%u exceeds its limit with %g cores", i, cores[i]);
}

void
world_assert_invariants(const World *world) {
  for (guint i = 0; i < world->violations->len; i++)
    g_test_message("%s", (char *)g_ptr_array_index(world->violations, i));
  g_assert_cmpuint(world->violations->len, ==, 0);
}

void
world_assert_all_jobs_finished(const World *world) {
  guint n_finished = 0;

  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    n_finished += job->user_view >= USER_SEES_CANCELLED;
    if (job->user_view < USER_SEES_CANCELLED)
      g_test_message("job %s has not finished: %u of %u tasks done, %u dependencies", job->id,
                     job->n_done, job->spec.n_tasks, job->dependencies->len);
  }
  g_assert_cmpuint(n_finished, ==, world->jobs->len);
}

guint
world_count_running(const World *world, const WorldJob *job, const WorldMachine *except) {
  guint n_running = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    for (guint k = 0; k < machine->tasks->len && machine != except; k++) {
      const WorldTask *task = g_ptr_array_index(machine->tasks, k);
      n_running += task->job == job && task->state == MM_REPORTED_RUNNING;
    }
  }
  return n_running;
}
