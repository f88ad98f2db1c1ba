/* Moves of service replicas. A move is the last resort for a service with a pending task that
 * can start on no machine in the zones of the service. A replica of another service is stopped
 * if it could start on another machine shortly, and the place of this replica is reserved for
 * the task. */
#pragma once

#include "scheduler/scheduler.h"

/* Stops a replica of another service to make room for the pending task of the job. Returns FALSE
 * when no replica was stopped. */
gboolean mm_scheduler_move_replica(MmScheduler *scheduler, MmJob *job, guint number);
