/* The rules that decide whether a job's tasks may start, and on which machines. Quota has a module
 * of its own (quota.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Whether the job's tasks may start at all now: this node leads its shard and knows all earlier
 * starts, its dependencies are done, and it is neither cancelled nor paused after errors. */
gboolean mm_scheduler_job_is_schedulable(MmScheduler *scheduler, const MmJob *job);
/* Whether the job leaves accelerated machines to a more urgent gang. */
gboolean mm_scheduler_must_yield_to_gang(const MmScheduler *scheduler, const MmJob *job);
/* Whether the machine's type, zone and kind, and the zones of the job's other tasks, allow one more
 * task of the job there. */
gboolean mm_scheduler_constraints_allow(const MmJob *job, const MmMachine *machine);
/* The same, counting also the machines on which resources are being freed for its pending tasks. */
gboolean mm_scheduler_constraints_will_allow(const MmScheduler *scheduler, const MmJob *job,
                                             const MmMachine *machine);
