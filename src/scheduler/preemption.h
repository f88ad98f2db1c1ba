/* Preemption: stops tasks of lower priority when more urgent tasks find no machine with enough free
 * resources, and reserves the freed resources for these. */
#pragma once

#include "scheduler/scheduler.h"

/* Measured time in seconds until the resources of a stopped task can be used. It covers the
 * command, the machine's next heartbeat, which comes at least half a second after its previous one,
 * and the response. */
#define MM_PREEMPTION_DELAY_S 0.5
/* Value of a start delay when the task cannot run on the machine. */
#define MM_START_IMPOSSIBLE (-1.0)

/* Runs one round of preemption: preempts for a few pending tasks, most urgent jobs first. */
void mm_scheduler_preempt(MmScheduler *scheduler);
/* Preempts on at most `max_machines` machines, each of which can then take a task of the gang. Does
 * nothing within a heartbeat interval of the previous preemption for the gang. */
void mm_scheduler_preempt_for_gang(MmScheduler *scheduler, MmJob *job, guint max_machines);
/* Returns the time in seconds until the machine could run a task of the job if it were assigned
 * now, including any preemption and the fetch of the image, or MM_START_IMPOSSIBLE. Adds 1 to
 * MmScheduler.n_machines_scanned. */
double mm_scheduler_start_delay_s(MmScheduler *scheduler, const MmJob *job, MmMachine *machine);
static inline gboolean
mm_scheduler_can_start(double delay_s) {
  return delay_s >= 0;
}
/* Returns the time in seconds that the machine needs to fetch the job's image; 0 when the image is
 * cached there or the machine's type is not known. */
double mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine);
/* Reserves resources for the task on the machine for two heartbeat intervals. For one interval, no
 * further preemption is tried for the task. */
void mm_scheduler_reserve_resources(MmScheduler *scheduler, const MmJob *job, MmTask *task,
                                    MmMachine *machine);
