/* Writes completed tasks and the ends of jobs into their records in the key-value store. One
 * transaction is under way at a time; each requires the versions of the job's record and of the
 * shard's, so a node that has lost the shard writes nothing. */
#pragma once

#include "scheduler/scheduler.h"

/* Writes what is due. */
void mm_scheduler_write_jobs(MmScheduler *scheduler);
