/* The node's memory by owner, for the log.
 *
 * The sizes of the owners are sums over their data structures, without the allocator's overhead and
 * without temporary buffers. The part of the heap that they do not explain is logged as well, so
 * that an owner that is missing here shows. */
#pragma once

#include "node/node.h"

typedef struct {
  gsize heap_bytes;  /* allocated from the C library by the whole process */
  gsize jobs_bytes;  /* specs of the unfinished jobs, terminal states, ids of ended jobs */
  gsize tasks_bytes; /* sets of completed tasks and, at shard leaders, states of tasks */
  gsize graph_bytes; /* dependency graph */
  gsize machines_bytes;
  guint n_jobs;
  guint64 n_tasks; /* of the unfinished jobs */
  guint n_machines;
} MmMemoryUsage;

/* Measures the node's memory. Visits each job and each machine. */
MmMemoryUsage mm_memory_usage_measure(const MmNode *node);
/* Logs the memory usage at intervals, and earlier if the heap has grown or shrunk considerably
 * since the last line. */
void mm_memory_usage_tick(MmNode *node);
