/* Estimates how soon a task of a job could run, and on which machine. An estimate requires a scan
 * of all machines. Estimates are therefore cached for a short time, and only a few are made between
 * two slow ticks. */
#pragma once

#include "scheduler/scheduler.h"

/* Returns an estimate that is at most 400 ms old. When no scan is left until the next slow tick,
 * returns an estimate that is at most 2 s old, or NULL. The job owns the estimate. */
const MmPlacementEstimate *mm_scheduler_estimate_placement(MmScheduler *scheduler, MmJob *job);
/* Returns whether a pending task of the job should wait for another machine instead of fetching its
 * image on the machine `here`. */
gboolean mm_scheduler_starts_sooner_elsewhere(MmScheduler *scheduler, MmJob *job,
                                              const MmTask *task, const MmMachine *here);
/* Returns the number of tasks on the machine whose priority is at least that of the job. Such tasks
 * cannot be preempted for the job by priority. */
guint mm_scheduler_count_colocated_tasks(const MmScheduler *scheduler, const MmJob *job,
                                         const MmMachine *machine);
