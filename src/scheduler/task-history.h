/* Forgets what happened to pending tasks a while ago: on which machine a task failed, how often,
 * and since when it has waited again. This keeps the number of entries in the task tables in
 * proportion to what runs. */
#pragma once

#include "scheduler/scheduler.h"

/* Removes the entries of pending tasks that no longer matter, at intervals. If more entries of
 * pending tasks remain than the fleet explains, keeps them for a shorter time from then on. */
void mm_scheduler_forget_task_history(MmScheduler *scheduler);
