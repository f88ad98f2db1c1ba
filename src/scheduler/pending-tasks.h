/* Lists the pending tasks of the led shards. The list is the backlog that this node announces to
 * its peers and uses itself (placement/backlog.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Adds an MmPendingTasks to `pending` for each job that may start tasks now, most urgent first, up
 * to a maximum number of jobs and tasks. Adds to `reserved_machines` the MmName of each machine
 * with a place reserved for a gang. The caller owns the added items. */
void mm_scheduler_list_backlog(MmScheduler *scheduler, GPtrArray *pending,
                               GArray *reserved_machines);
/* Returns the number of pending tasks of all jobs whose dependencies are done and that are not
 * cancelled. Also counts tasks that may not start now. */
guint mm_scheduler_count_pending_tasks(const MmScheduler *scheduler);
