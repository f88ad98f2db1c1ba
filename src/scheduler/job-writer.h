/* Writes the completed tasks of jobs to their records in the key-value store, and replaces the
 * records of jobs that have ended by terminal records. At most one transaction is in flight. Each
 * is conditional on the versions of the jobs' records and of the shards' records, so a node that
 * has lost a shard writes nothing. */
#pragma once

#include "scheduler/scheduler.h"

/* Starts a transaction with the changes that are due. Does nothing while one is in flight, or when
 * the key-value store refuses requests. */
void mm_scheduler_write_jobs(MmScheduler *scheduler);
