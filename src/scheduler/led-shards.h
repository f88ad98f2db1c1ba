/* The shards that this node leads, and the jobs in them. A job has tasks (MmJob.tasks) if and only
 * if this node leads its shard. */
#pragma once

#include "scheduler/scheduler.h"

void mm_led_shard_free(MmLedShard *shard);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmLedShard, mm_led_shard_free)

/* Returns the job's shard, borrowed, or NULL when this node does not lead it. */
MmLedShard *mm_scheduler_shard_of_job(const MmScheduler *scheduler, const MmJob *job);

/* Updates which shards this node leads after the replica has changed. */
void mm_scheduler_replica_changed(MmScheduler *scheduler);
/* Handles a job that is new or whose record has changed. */
void mm_scheduler_job_changed(MmScheduler *scheduler, MmJob *job);
/* Drops all references to a job whose record no longer exists. Must be called before the job is
 * freed. */
void mm_scheduler_job_removed(MmScheduler *scheduler, MmJob *job);
/* Handles a job whose last dependency is done. The waiting times of the job count from now on. */
void mm_scheduler_job_ready(MmScheduler *scheduler, MmJob *job);

/* Marks the shard as ready if it has no unacknowledged machine. */
void mm_scheduler_check_shard_ready(MmScheduler *scheduler, MmLedShard *shard);
/* Updates the fields that are derived from the unacknowledged machines, if these machines have
 * changed. */
void mm_scheduler_update_unacknowledged(MmScheduler *scheduler, MmLedShard *shard);
/* Returns whether this node knows every start of the job that an earlier leader may have sent. This
 * is the case once each machine that the job was ever allowed on is acknowledged. This node must
 * lead the job's shard. */
gboolean mm_scheduler_knows_all_starts(MmScheduler *scheduler, const MmJob *job);
