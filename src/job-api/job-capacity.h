/* How much of the node's memory unfinished jobs and submissions in progress may take.
 *
 * Every node keeps every unfinished job, and any node may come to lead all shards. A job is
 * therefore accepted only if the estimated memory of all unfinished jobs, at a node that leads
 * their shards, stays within a share of the node's memory. The estimate follows from the job's
 * spec; the number of its tasks has no part in it. */
#pragma once

#include "job-api/job-api.h"
#include "jobs/job.h"

/* Returns the estimated memory of an unfinished job with this spec, in bytes. */
gsize mm_job_capacity_estimate_bytes(const MmJobSpec *spec);
/* Returns the memory that unfinished jobs may take, in bytes. */
gsize mm_job_capacity_max_bytes(const MmSettings *settings);
/* Returns whether one more unfinished job with this spec may be accepted. */
gboolean mm_job_capacity_has_room(const MmJobApi *job_api, const MmJobSpec *spec);

/* Counts an unfinished job that was added to the job table, or is about to be removed from it. */
void mm_job_capacity_job_added(MmJobApi *job_api, const MmJob *job);
void mm_job_capacity_job_removing(MmJobApi *job_api, const MmJob *job);

/* Counts a submission in progress. Returns FALSE, and does not count it, if too much memory is in
 * use by submissions in progress. */
gboolean mm_job_capacity_try_add_submission(MmJobApi *job_api, gsize bytes);
void mm_job_capacity_remove_submission(MmJobApi *job_api, gsize bytes);
