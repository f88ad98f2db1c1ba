/* Teams' quotas (guaranteed resources) and limits (the most that they may use at once).
 *
 * Every node derives from its own replica and view of the machines which jobs lie within their
 * team's quota. This decides on order and preemption only. The limit is enforced by the leader of
 * the team's shard alone. */
#pragma once

#include "scheduler/scheduler.h"

/* Once a second: which jobs lie within their team's quota, and how much each team uses. */
void mm_scheduler_update_quotas(MmScheduler *scheduler);
/* Sums up again what each led shard uses of its limit, and what is reserved in it for the most
 * urgent job. */
void mm_scheduler_recount_resources(MmScheduler *scheduler);
/* Whether so many more tasks of the job stay within the limit of the team, whose shard it is. */
gboolean mm_scheduler_quota_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                                   guint tasks);
/* Whether a task of the victim, a job of another team, may be preempted so that the job gets what
 * its team's quota guarantees. */
gboolean mm_scheduler_may_reclaim_quota(const MmScheduler *scheduler, const MmJob *job,
                                        const MmJob *victim);
