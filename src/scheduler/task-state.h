/* The states and machines of the tasks of the led shards. All changes go through these functions,
 * which keep the counters of the job, the resources used by its shard and the machine's list of
 * placed tasks consistent with the tasks. */
#pragma once

#include "scheduler/scheduler.h"

/* Returns whether a task in this state (MmTaskState) is or may be on a machine, or has a reserved
 * place there. */
static inline gboolean
mm_task_is_live(guint8 state) {
  return state != MM_TASK_PENDING && state != MM_TASK_DONE;
}

/* Sets the state of the task and leaves its machine unchanged. */
void mm_scheduler_set_task_state(MmScheduler *scheduler, MmJob *job, guint number, guint8 state);
/* Places the task, which is or is about to be on the machine, and removes it from any other
 * machine. */
void mm_scheduler_place_task(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                             MmTaskState state, MmAttempt attempt);
/* Removes the task from its machine and makes it pending. May be called only when the task is
 * certainly on no machine. */
void mm_scheduler_unplace_task(MmScheduler *scheduler, MmJob *job, guint number);
/* Removes the task from the machine's list of placed tasks, and changes nothing in the task. The
 * machine may be NULL. */
void mm_scheduler_remove_from_machine(MmMachine *machine, const MmJob *job, guint number);
