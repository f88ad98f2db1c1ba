/* Preemption: stops work of lower priority where more urgent work finds no machine with enough free
 * resources, and reserves what gets free for it. */
#pragma once

#include "scheduler/scheduler.h"

/* How long it takes until a stopped task's resources can be used, as measured: the command, the
 * machine's heartbeat half a second after its last at the earliest, the response. */
#define MM_PREEMPTION_DELAY_S 0.5
/* A start delay: the task cannot run there. */
#define MM_START_IMPOSSIBLE (-1.0)

/* One round: preempts for a few pending tasks, most urgent jobs first. */
void mm_scheduler_preempt(MmScheduler *scheduler);
/* Preempts on up to so many machines, each of which could then take a task of the gang. Does
 * nothing within a heartbeat interval of the last time. */
void mm_scheduler_preempt_for_gang(MmScheduler *scheduler, MmJob *job, guint machines);
/* Seconds until the machine could run a task of the job that is given to it now, with the fetch of
 * its image and the preemption that it needs; MM_START_IMPOSSIBLE when it can't. Counts as a scan
 * of one machine. */
double mm_scheduler_start_delay_s(MmScheduler *scheduler, const MmJob *job, MmMachine *machine);
static inline gboolean
mm_scheduler_can_start(double delay_s) {
  return delay_s >= 0;
}
/* Seconds for the job's image to reach the machine; 0 when the machine has it or its type is not
 * known. */
double mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine);
/* Keeps the task's resources on the machine for it until the machine's next heartbeats. */
void mm_scheduler_reserve_resources(MmScheduler *scheduler, const MmJob *job, MmTask *task,
                                    MmMachine *machine);
