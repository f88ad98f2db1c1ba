#include "job-api/job-capacity.h"

#include "dependencies/dependency-graph.h"

/* Shares of the node's memory. */
#define UNFINISHED_JOBS_SHARE 0.25
#define SUBMISSIONS_SHARE (1.0 / 32)
/* Memory of a job beyond its struct: table entries, texts, and small blocks with their overhead. */
#define JOB_OVERHEAD_BYTES 640
/* Memory of a dependency beyond its id and the vertex of the job that it names: the lists of both
 * vertices, table entries and overhead. */
#define DEPENDENCY_OVERHEAD_BYTES 320

gsize
mm_job_capacity_estimate_bytes(const MmJobSpec *spec) {
  return sizeof(MmJob) + sizeof(MmTaskTable) + JOB_OVERHEAD_BYTES
         + spec->n_allowed_types * sizeof(MmName)
         + spec->n_dependencies * (sizeof(MmName) + sizeof(MmVertex) + DEPENDENCY_OVERHEAD_BYTES);
}

gsize
mm_job_capacity_max_bytes(const MmSettings *settings) {
  return mm_settings_memory_bytes(settings, UNFINISHED_JOBS_SHARE);
}

gboolean
mm_job_capacity_has_room(const MmJobApi *job_api, const MmJobSpec *spec) {
  return job_api->unfinished_jobs_bytes + mm_job_capacity_estimate_bytes(spec)
         <= mm_job_capacity_max_bytes(job_api->node->settings);
}

void
mm_job_capacity_job_added(MmJobApi *job_api, const MmJob *job) {
  job_api->unfinished_jobs_bytes += mm_job_capacity_estimate_bytes(&job->spec);
}

void
mm_job_capacity_job_removing(MmJobApi *job_api, const MmJob *job) {
  job_api->unfinished_jobs_bytes -= mm_job_capacity_estimate_bytes(&job->spec);
}

gboolean
mm_job_capacity_try_add_submission(MmJobApi *job_api, gsize bytes) {
  gsize max_bytes = mm_settings_memory_bytes(job_api->node->settings, SUBMISSIONS_SHARE);

  if (job_api->submissions_bytes + bytes > max_bytes)
    return FALSE;
  job_api->submissions_bytes += bytes;
  return TRUE;
}

void
mm_job_capacity_remove_submission(MmJobApi *job_api, gsize bytes) {
  job_api->submissions_bytes -= bytes;
}
