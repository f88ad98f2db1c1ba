/* Which shards this node leads, and the jobs in them: a job has tasks (MmJob.tasks) exactly while
 * this node leads its shard. */
#pragma once

#include "scheduler/scheduler.h"

/* A shard that the scheduler leads. */
void mm_led_shard_free(MmLedShard *shard);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmLedShard, mm_led_shard_free)

/* The shard of the job if this node leads it, or NULL. */
MmLedShard *mm_scheduler_shard_of_job(const MmScheduler *scheduler, const MmJob *job);

/* The replica has changed: starts and stops leading shards as it shows. */
void mm_scheduler_replica_changed(MmScheduler *scheduler);
/* The job is new, or its record has changed. */
void mm_scheduler_job_changed(MmScheduler *scheduler, MmJob *job);
/* The job's record is gone; the job is about to be freed. */
void mm_scheduler_job_removed(MmScheduler *scheduler, MmJob *job);
/* The last of the jobs that it depends on is done: its waiting times count from then. */
void mm_scheduler_job_ready(MmScheduler *scheduler, MmJob *job);

/* Marks the shard as ready once no machine is unacknowledged. */
void mm_scheduler_check_shard_ready(MmScheduler *scheduler, MmLedShard *shard);
/* Derives again what follows from the unacknowledged machines, if these have changed. */
void mm_scheduler_update_unacknowledged(MmScheduler *scheduler, MmLedShard *shard);
/* Whether every start of the job that an earlier leader may have sent is known: each machine that
 * the job was ever allowed on is acknowledged. This node must lead the job's shard. */
gboolean mm_scheduler_knows_all_starts(MmScheduler *scheduler, const MmJob *job);
