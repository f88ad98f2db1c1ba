/* Stops: of single tasks, and of all tasks of a cancelled job. A stop is sent as a direct command,
 * and again until a heartbeat shows that the task is gone. */
#pragma once

#include "scheduler/scheduler.h"

/* Sends the machine a stop of this attempt; `grace_s` is the time to save a checkpoint. */
void mm_scheduler_send_stop(MmScheduler *scheduler, MmMachine *machine, const MmName *job,
                            guint number, MmAttempt attempt, double grace_s);
/* Stops a placed task, at once and with each response until it is gone. */
void mm_scheduler_stop_task(MmScheduler *scheduler, MmJob *job, guint number);
/* The smallest grace, in seconds, that lets a task of the job save a checkpoint. */
double mm_scheduler_stop_grace_s(const MmJob *job);
/* Sends the stops again that no heartbeat has confirmed for a while. */
void mm_scheduler_resend_stops(MmScheduler *scheduler);

/* The job's cancellation is in the key-value store. This needs no leader: whoever leads its shard,
 * this node stops its tasks wherever it can from now on, and lets none start. FALSE when nothing is
 * known of the job here yet. */
gboolean mm_scheduler_job_cancelled(MmScheduler *scheduler, const char *job_id);
