/* The last resort for a service that no machine in its zones can take: a replica of another service
 * that could run elsewhere at once is stopped, and its place reserved. */
#pragma once

#include "scheduler/scheduler.h"

/* TRUE when a replica was stopped for the pending task. */
gboolean mm_scheduler_move_replica(MmScheduler *scheduler, const MmJob *job, MmTask *task);
