#include "jobs/job.h"

void
mm_job_free(MmJob *job) {
  mm_job_spec_clear(&job->spec);
  mm_completed_tasks_clear(&job->recorded_completed);
  mm_completed_tasks_clear(&job->completed);
  g_clear_pointer(&job->tasks, mm_task_table_free);
  g_free(job->shard);
  g_free(job);
}

gsize
mm_job_spec_memory_bytes(const MmJob *job) {
  return sizeof *job + (job->spec.n_allowed_types + job->spec.n_dependencies) * sizeof(MmName);
}

gsize
mm_job_tasks_memory_bytes(const MmJob *job) {
  return (job->tasks != NULL ? mm_task_table_memory_bytes(job->tasks) : 0)
         + mm_completed_tasks_memory_bytes(&job->recorded_completed)
         + mm_completed_tasks_memory_bytes(&job->completed);
}

/* Returns what stands for the task, which has no entry. */
static const MmTask *
untouched_task(const MmJob *job, guint number) {
  return mm_completed_tasks_contains(&job->completed, number) ? &job->tasks->untouched_done
                                                              : &job->tasks->untouched_pending;
}

const MmTask *
mm_job_task(const MmJob *job, guint number) {
  const MmTask *entry = mm_task_table_find(job->tasks, number);

  return entry != NULL ? entry : untouched_task(job, number);
}

MmTask *
mm_job_edit_task(MmJob *job, guint number) {
  MmTask *entry = mm_task_table_find(job->tasks, number);

  return entry != NULL ? entry : mm_task_table_add(job->tasks, number, untouched_task(job, number));
}

gboolean
mm_job_next_pending_run(const MmJob *job, guint from, MmPendingRun *run) {
  guint index = mm_task_table_find_index(job->tasks, from);
  guint number = from;

  while (number < job->spec.n_tasks) {
    const MmTask *entry
        = index < job->tasks->entries->len ? mm_task_table_at(job->tasks, index) : NULL;
    guint next_entry = entry != NULL ? entry->number : job->spec.n_tasks;

    if (number == next_entry) {
      *run = (MmPendingRun){ number, 1, entry };
      if (entry->state == MM_TASK_PENDING)
        return TRUE;
      number++;
      index++;
    } else if (mm_completed_tasks_contains(&job->completed, number)) {
      number = MIN(mm_completed_tasks_end_of_range(&job->completed, number) + 1, next_entry);
    } else {
      guint end = MIN(mm_completed_tasks_next(&job->completed, number), next_entry);
      *run = (MmPendingRun){ number, end - number, &job->tasks->untouched_pending };
      return TRUE;
    }
  }
  return FALSE;
}

typedef struct {
  const MmJob *job;
  MmTime waiting_since;
  MmTime paused_until;
} ForgetBounds;

static gboolean
may_forget_history(const MmTask *task, gconstpointer context) {
  const ForgetBounds *bounds = context;

  /* A gang that is run again has pending tasks that are completed. Without an entry, such a task
   * would count as done. */
  return task->state == MM_TASK_PENDING && mm_time_before(task->state_since, bounds->waiting_since)
         && !mm_time_before(bounds->paused_until, task->retry_not_before)
         && !mm_time_before(bounds->paused_until, task->preempting_until)
         && !mm_completed_tasks_contains(&bounds->job->completed, task->number);
}

guint
mm_job_forget_task_history(MmJob *job, MmTime waiting_since, MmTime paused_until) {
  ForgetBounds bounds = { job, waiting_since, paused_until };

  return mm_task_table_remove_if(job->tasks, may_forget_history, &bounds);
}

void
mm_job_add_failed_machine(MmJob *job, const MmName *machine) {
  for (guint i = 0; i < job->n_failed_machines; i++)
    if (mm_name_equal(&job->failed_machines[i], machine))
      return;
  if (job->n_failed_machines < MM_JOB_MAX_FAILED_MACHINES)
    job->failed_machines[job->n_failed_machines++] = *machine;
}

gboolean
mm_job_is_faulty(const MmJob *job) {
  return job->n_failed_machines == MM_JOB_MAX_FAILED_MACHINES && !job->has_succeeded;
}

double
mm_job_waiting_time_s(const MmJob *job, gint64 wall_ms) {
  return MAX(0.0, (double)(wall_ms - job->waiting_since_ms) / 1000.0);
}
