/* Where the tasks of the led shards are, and in which state. All changes go through here: they keep
 * the counters of the job, the resources used by its shard and the machine's list of placed tasks
 * in step with the tasks. */
#pragma once

#include "scheduler/scheduler.h"

/* Whether a task in this state (MmTaskState) is or may be on a machine. */
static inline gboolean
mm_task_is_live(guint8 state) {
  return state != MM_TASK_PENDING && state != MM_TASK_DONE;
}

/* Leaves the machine as it is. */
void mm_scheduler_set_task_state(MmScheduler *scheduler, MmJob *job, guint number, guint8 state);
/* The task is, or is about to be, on the machine; it leaves any other. */
void mm_scheduler_place_task(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                             MmTaskState state, MmAttempt attempt);
/* The task is on no machine for certain and becomes pending. */
void mm_scheduler_unplace_task(MmScheduler *scheduler, MmJob *job, guint number);
/* Takes the task off the machine's list of placed tasks only. The machine may be NULL. */
void mm_scheduler_remove_from_machine(MmMachine *machine, const MmJob *job, guint number);
