/* Stops single tasks and all tasks of a cancelled job. A stop is sent as a direct command. The stop
 * is repeated until a heartbeat shows that the task is no longer on the machine. */
#pragma once

#include "scheduler/scheduler.h"

/* Sends the machine a direct command to stop this attempt. `grace_s` is the time in seconds that
 * the task has to save a checkpoint. */
void mm_scheduler_send_stop(MmScheduler *scheduler, MmMachine *machine, const MmName *job,
                            guint number, MmAttempt attempt, double grace_s);
/* Sends a direct command to stop the task. Marks the task so that the stop is repeated, also in
 * heartbeat responses, until the task is no longer on the machine. Does nothing for a task that is
 * on no machine or has only a reserved place. */
void mm_scheduler_stop_task(MmScheduler *scheduler, MmJob *job, guint number);
/* Marks a task that is on a machine as stopping, from now on. */
void mm_scheduler_mark_stopping(MmScheduler *scheduler, MmJob *job, guint number);
/* Returns the shortest time in seconds in which a task of the job can save a checkpoint before the
 * task stops. Returns 0 when the job saves no checkpoints or is cancelled. */
double mm_scheduler_stop_grace_s(const MmJob *job);
/* Resends the stops that no heartbeat has confirmed for some time. */
void mm_scheduler_resend_stops(MmScheduler *scheduler);

/* Handles a cancellation of the job that is recorded in the key-value store. This node need not
 * lead the job's shard. From now on, this node stops the job's tasks wherever it can and starts
 * none. Returns FALSE when this node does not know the job yet. */
gboolean mm_scheduler_job_cancelled(MmScheduler *scheduler, const char *job_id);
