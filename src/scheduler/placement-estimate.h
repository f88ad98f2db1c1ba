/* Estimates of how soon a task of a job could run, and where. An estimate costs a scan of all
 * machines, so it is kept for a moment, and only a few are made between two slow ticks. */
#pragma once

#include "scheduler/scheduler.h"

/* The estimate, at most 400 ms old; where no scan is left, at most 2 s old, or NULL. Lent: the job
 * owns it. */
const MmPlacementEstimate *mm_scheduler_estimate_placement(MmScheduler *scheduler, MmJob *job);
/* Whether a pending task of the job had better wait for another machine than fetch its image here.
 */
gboolean mm_scheduler_starts_sooner_elsewhere(MmScheduler *scheduler, MmJob *job,
                                              const MmTask *task, const MmMachine *here);
/* Tasks on the machine of at least the job's priority: these cannot be preempted for it. */
guint mm_scheduler_count_colocated_tasks(const MmScheduler *scheduler, const MmJob *job,
                                         const MmMachine *machine);
