/* The states and machines of the tasks of the led shards. All changes of a task go through these
 * functions. The functions keep the counters of the job, the resources used by its shard and the
 * machine's list of placed tasks consistent with the task. */
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
/* Places the task, which is on the machine or is about to start there, and removes the task from
 * any other machine. */
void mm_scheduler_place_task(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                             MmTaskState state, MmAttempt attempt);
/* Removes the task from its machine and makes the task pending. May be called only when the task is
 * certainly on no machine. */
void mm_scheduler_unplace_task(MmScheduler *scheduler, MmJob *job, guint number);
/* Removes the task from its machine, adds it to the completed tasks of the job and removes its
 * entry. */
void mm_scheduler_set_task_done(MmScheduler *scheduler, MmJob *job, guint number);
/* Removes the task from the machine's list of placed tasks, and changes nothing in the task.
 * `machine` may be NULL. */
void mm_scheduler_remove_from_machine(MmMachine *machine, const MmJob *job, guint number);
