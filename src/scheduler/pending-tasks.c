#include "scheduler/pending-tasks.h"

#include "dependencies/dependencies.h"
#include "placement/placement.h"
#include "scheduler/quota.h"
#include "scheduler/start-rules.h"
#include "scheduler/urgency.h"

#define BACKLOG_JOBS_MAX 64
#define BACKLOG_TASKS_MAX 512
#define BACKLOG_RANGES_MAX 16 /* for each job */

/* Adds task numbers to the ranges. The numbers must be higher than all numbers in the ranges.
 * `ranges` holds guint pairs: first number, length. Returns FALSE when the result would exceed
 * BACKLOG_RANGES_MAX. */
static gboolean
append_to_ranges(GArray *ranges, guint first, guint length) {
  guint new_range[2] = { first, length };

  if (ranges->len > 0) {
    guint *last_range = &g_array_index(ranges, guint, ranges->len - 2);
    if (last_range[0] + last_range[1] == first) {
      last_range[1] += length;
      return TRUE;
    }
  }
  if (ranges->len >= 2 * BACKLOG_RANGES_MAX)
    return FALSE;
  g_array_append_vals(ranges, new_range, 2);
  return TRUE;
}

/* Adds the ranges of the job's pending tasks to `list`. Leaves out tasks that must wait for a
 * retry. Adds at most `max_tasks` tasks, and returns how many. */
static guint
add_pending_tasks(MmScheduler *scheduler, MmJob *job, GPtrArray *list, guint max_tasks) {
  MmTime now = mm_node_now(scheduler->node);
  g_autoptr(MmPendingTasks) pending = mm_pending_tasks_new(
      job->spec.id.s, mm_scheduler_has_precedence(scheduler, job), job->is_starving);
  guint n_added = 0;
  MmPendingRun run;

  job->first_pending
      = mm_job_next_pending_run(job, job->first_pending, &run) ? run.first : job->spec.n_tasks;
  for (guint i = job->first_pending; n_added < max_tasks && mm_job_next_pending_run(job, i, &run);
       i = run.first + run.length) {
    guint length = MIN(run.length, max_tasks - n_added);
    if (mm_time_before(now, run.task->retry_not_before))
      continue;
    if (!append_to_ranges(pending->ranges, run.first, length))
      break;
    n_added += length;
  }
  if (pending->ranges->len > 0)
    g_ptr_array_add(list, g_steal_pointer(&pending));
  return n_added;
}

static gboolean
is_last_machine(const GArray *machines, const MmName *id) {
  return machines->len > 0
         && mm_name_equal(&g_array_index(machines, MmName, machines->len - 1), id);
}

/* Adds to `machines` the ids of the machines with places reserved for the gang. Looks at the gang's
 * tasks rather than at all machines, because gangs have few reserved places while thousands of
 * machines have tasks. Tasks with consecutive numbers mostly share a machine, which is added once
 * for them. */
static void
add_reserved_machines(const MmJob *job, GArray *machines) {
  for (guint i = 0; i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    if (task->state == MM_TASK_PLACE_RESERVED && !is_last_machine(machines, &task->machine->id))
      g_array_append_val(machines, task->machine->id);
  }
}

void
mm_scheduler_list_backlog(MmScheduler *scheduler, GPtrArray *pending, GArray *reserved_machines) {
  MmJobTable *job_table = scheduler->node->job_table;
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  guint tasks_left = BACKLOG_TASKS_MAX, jobs_left;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && mm_job_is_gang(job))
      add_reserved_machines(job, reserved_machines);
    /* Leaves out tasks that the team's limit prevents from starting. Otherwise, nodes would request
     * the starts of these tasks, or request machines from the cloud for them. */
    if (job->tasks != NULL && job->n_pending > 0 && mm_scheduler_job_is_schedulable(scheduler, job)
        && mm_scheduler_limit_allows(scheduler, job->led_shard, job,
                                     mm_job_is_gang(job) ? job->spec.n_tasks : 1))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_scheduler_compare_urgency);
  /* Keeps one task for each of the jobs that follow. Otherwise, a job with many tasks that fit no
   * machine at present would hide these jobs, also from machines that they fit. */
  jobs_left = MIN(jobs->len, BACKLOG_JOBS_MAX);
  for (guint i = 0; jobs_left > 0; i++) {
    jobs_left--;
    tasks_left -= add_pending_tasks(scheduler, g_ptr_array_index(jobs, i), pending,
                                    tasks_left - jobs_left);
  }
}

guint
mm_scheduler_count_pending_tasks(const MmScheduler *scheduler) {
  MmJobTable *job_table = scheduler->node->job_table;
  guint n_pending_tasks = 0;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && !job->is_cancelled && mm_job_dependencies_are_done(job))
      n_pending_tasks += job->n_pending;
  }
  return n_pending_tasks;
}
