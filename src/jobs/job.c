#include "jobs/job.h"

void
mm_job_free(MmJob *job) {
  mm_job_spec_clear(&job->spec);
  mm_completed_tasks_clear(&job->recorded_completed);
  mm_completed_tasks_clear(&job->completed);
  g_free(job->tasks);
  g_free(job->shard);
  g_free(job);
}

gsize
mm_job_spec_memory_bytes(const MmJob *job) {
  return sizeof *job + (job->spec.n_allowed_types + job->spec.n_dependencies) * sizeof(MmName);
}

gsize
mm_job_tasks_memory_bytes(const MmJob *job) {
  return (job->tasks != NULL ? job->spec.n_tasks * sizeof(MmTask) : 0)
         + mm_completed_tasks_memory_bytes(&job->recorded_completed)
         + mm_completed_tasks_memory_bytes(&job->completed);
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
