/* The rules that decide whether the tasks of a job may start, and on which machines. Quotas and
 * limits are in quota.h. */
#pragma once

#include "scheduler/scheduler.h"

/* Returns whether tasks of the job may start now at all. This node must lead the job's shard and
 * know all starts by earlier leaders. The job's dependencies must be done. The job must be neither
 * cancelled nor paused after errors. */
gboolean mm_scheduler_job_is_schedulable(MmScheduler *scheduler, const MmJob *job);
/* Returns whether the job uses accelerators and must not start tasks now, so that a more urgent
 * gang gets the machines. */
gboolean mm_scheduler_must_yield_to_gang(const MmScheduler *scheduler, const MmJob *job);
/* Returns whether the job's constraints allow one more task of the job on the machine. The
 * constraints refer to the type and zone of the machine, to whether it is a spot machine, and to
 * the zones of the job's other tasks. */
gboolean mm_scheduler_constraints_allow(const MmJob *job, const MmMachine *machine);
/* Like mm_scheduler_constraints_allow, but also counts the machines on which resources are being
 * freed for the job's pending tasks. */
gboolean mm_scheduler_constraints_will_allow(const MmScheduler *scheduler, const MmJob *job,
                                             const MmMachine *machine);
