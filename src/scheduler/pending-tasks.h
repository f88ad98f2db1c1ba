/* The pending tasks of the led shards, as the backlog that this node shows to itself and its peers
 * (placement/backlog.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Adds an MmPendingTasks for each job that may start tasks now, most urgent first and up to a bound
 * of jobs and tasks, and to `reserved_machines` the MmName of each machine with a place reserved
 * for a gang. The caller owns the added items. */
void mm_scheduler_list_backlog(MmScheduler *scheduler, GPtrArray *pending,
                               GArray *reserved_machines);
/* How many tasks of ready jobs are pending, whether they may start now or not. */
guint mm_scheduler_count_pending_tasks(const MmScheduler *scheduler);
