/* Preemption: stops tasks of lower priority when more urgent tasks find no machine with enough free
 * resources. Reserves the freed resources for the more urgent tasks. */
#pragma once

#include "scheduler/scheduler.h"

/* Measured time in seconds until the resources of a stopped task can be used. It covers the
 * command, the machine's next heartbeat, which comes at least half a second after its previous one,
 * and the response. */
#define MM_PREEMPTION_DELAY_S 0.5
/* Start delay which means that the task cannot run on the machine. */
#define MM_START_IMPOSSIBLE (-1.0)

/* Runs one round of preemption: preempts for a few pending tasks, most urgent jobs first. */
void mm_scheduler_preempt(MmScheduler *scheduler);
/* Preempts on at most `max_machines` machines. Each of these machines can then take a task of the
 * gang. Does nothing if the previous preemption for the gang was less than a heartbeat interval
 * ago. */
void mm_scheduler_preempt_for_gang(MmScheduler *scheduler, MmJob *job, guint max_machines);
/* Returns the time in seconds until the machine could run a task of the job if the task were
 * assigned to the machine now. Includes any preemption and the fetch of the image. Returns
 * MM_START_IMPOSSIBLE if the machine cannot run the task. Adds 1 to
 * MmScheduler.n_machines_scanned. */
double mm_scheduler_start_delay_s(MmScheduler *scheduler, const MmJob *job, MmMachine *machine);
static inline gboolean
mm_scheduler_can_start(double delay_s) {
  return delay_s >= 0;
}
/* Returns the time in seconds that the machine needs to fetch the job's image. Returns 0 when the
 * image is cached on the machine or when the machine's type is not known. */
double mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine);
/* Reserves resources for the task on the machine for two heartbeat intervals. For the first of
 * these intervals, no further preemption is tried for the task. */
void mm_scheduler_reserve_resources(MmScheduler *scheduler, MmJob *job, guint number,
                                    MmMachine *machine);
