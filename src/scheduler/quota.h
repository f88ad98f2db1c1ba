/* Quotas of teams (guaranteed resources) and limits (the most that a team may use at once).
 *
 * Each node derives which jobs are within their team's quota, from its own replica and from its own
 * view of the machines. Quotas affect only the order of jobs and preemption. A team's limit is
 * enforced only by the leader of the team's shard. */
#pragma once

#include "scheduler/scheduler.h"

/* Updates which jobs are within their team's quota and which resources each team uses. Does nothing
 * if the previous update was less than a second ago. */
void mm_scheduler_update_quotas(MmScheduler *scheduler);
/* Recomputes, for each shard that this node leads, how much of the limit of the shard's team is
 * used by the team's tasks. Also recomputes which part of this limit is reserved for a job of the
 * team (MmLedShard.limit_reserved_for). */
void mm_scheduler_recount_resources(MmScheduler *scheduler);
/* Returns whether `n_tasks` more tasks of the job stay within the limit of its team. `shard` is the
 * team's shard. */
gboolean mm_scheduler_limit_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                                   guint n_tasks);
/* Returns whether a task of `victim` may be preempted so that `job` gets the resources that the
 * quota of the team of `job` guarantees. Returns FALSE when both jobs are of the same team. */
gboolean mm_scheduler_may_reclaim_quota(const MmScheduler *scheduler, const MmJob *job,
                                        const MmJob *victim);
