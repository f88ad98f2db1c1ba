/* Moves of service replicas, as a last resort for a service with a pending task that can start on
 * no machine in its zones: a replica of another service that could start on another machine shortly
 * is stopped, and its place is reserved for the task. */
#pragma once

#include "scheduler/scheduler.h"

/* Stops a replica of another service to make room for the pending task of the job. Returns FALSE
 * when no replica was stopped. */
gboolean mm_scheduler_move_replica(MmScheduler *scheduler, const MmJob *job, MmTask *task);
