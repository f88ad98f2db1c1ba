/* Writes the completed tasks of jobs to the jobs' records in the key-value store, and replaces the
 * records of ended jobs by terminal records.
 *
 * At most one transaction is in flight. Each transaction is conditional on the versions of the
 * jobs' records and of the shards' records. A node that has lost a shard therefore writes
 * nothing. */
#pragma once

#include "scheduler/scheduler.h"

/* Starts a transaction with the changes that are due. Does nothing while a transaction is in
 * flight, or when the key-value store refuses requests. */
void mm_scheduler_write_jobs(MmScheduler *scheduler);
