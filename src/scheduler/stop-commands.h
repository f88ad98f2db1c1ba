/* Commands sent to machines directly rather than with the response to a heartbeat: stops, and empty
 * commands that ask a machine to acknowledge the newest term. A direct command may get lost; what
 * it asks for is repeated until a heartbeat shows it. */
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

/* Asks a bounded number of machines to acknowledge the newest term, where their heartbeats alone
 * would be late. */
void mm_scheduler_request_acknowledgements(MmScheduler *scheduler);
