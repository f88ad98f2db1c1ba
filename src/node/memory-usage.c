#include "node/memory-usage.h"

#include <malloc.h>

#include "dependencies/dependencies.h"
#include "jobs/job-table.h"
#include "machines/machine-table.h"

#define MEASURE_INTERVAL_MS 2000
#define LOG_INTERVAL_MS 60000
/* The line is logged before its time if the heap has changed by this share of the node's memory
 * since the last line. */
#define LOG_HEAP_CHANGE_SHARE (1.0 / 16)
#define BYTES_PER_KB 1024

MmMemoryUsage
mm_memory_usage_measure(const MmNode *node) {
  const GPtrArray *jobs = node->job_table->by_submission;
  const GPtrArray *machines = node->machine_table->sorted_machines;
  struct mallinfo2 heap = mallinfo2();
  MmMemoryUsage usage
      = { .heap_bytes = heap.uordblks + heap.hblkhd,
          .jobs_bytes = mm_job_table_ended_memory_bytes(node->job_table),
          .graph_bytes = mm_dependency_graph_memory_bytes(node->dependencies->graph),
          .n_jobs = jobs->len,
          .n_machines = machines->len };

  for (guint i = 0; i < jobs->len; i++) {
    const MmJob *job = g_ptr_array_index(jobs, i);
    usage.jobs_bytes += mm_job_spec_memory_bytes(job);
    usage.tasks_bytes += mm_job_tasks_memory_bytes(job);
    usage.n_tasks += job->spec.n_tasks;
  }
  for (guint i = 0; i < machines->len; i++)
    usage.machines_bytes += mm_machine_memory_bytes(g_ptr_array_index(machines, i));
  return usage;
}

static void
log_usage(const MmNode *node, const MmMemoryUsage *usage) {
  gsize owned_bytes
      = usage->jobs_bytes + usage->tasks_bytes + usage->graph_bytes + usage->machines_bytes;

  mm_info("node memory limit_kb=%" G_GSIZE_FORMAT " heap_kb=%" G_GSIZE_FORMAT
          " jobs=%u jobs_kb=%" G_GSIZE_FORMAT " tasks=%" G_GUINT64_FORMAT
          " tasks_kb=%" G_GSIZE_FORMAT " graph_kb=%" G_GSIZE_FORMAT
          " machines=%u machines_kb=%" G_GSIZE_FORMAT " other_kb=%" G_GSSIZE_FORMAT,
          mm_settings_memory_bytes(node->settings, 1) / BYTES_PER_KB,
          usage->heap_bytes / BYTES_PER_KB, usage->n_jobs, usage->jobs_bytes / BYTES_PER_KB,
          usage->n_tasks, usage->tasks_bytes / BYTES_PER_KB, usage->graph_bytes / BYTES_PER_KB,
          usage->n_machines, usage->machines_bytes / BYTES_PER_KB,
          ((gssize)usage->heap_bytes - (gssize)owned_bytes) / BYTES_PER_KB);
}

void
mm_memory_usage_tick(MmNode *node) {
  MmTime now = mm_node_now(node);
  gsize logged_bytes = node->memory_logged_heap_bytes;
  MmMemoryUsage usage;
  gsize change_bytes;

  if (mm_log_level < MM_LOG_INFO
      || mm_time_ms_since(now, node->memory_measured_at) < MEASURE_INTERVAL_MS)
    return;
  node->memory_measured_at = now;
  usage = mm_memory_usage_measure(node);
  change_bytes = MAX(usage.heap_bytes, logged_bytes) - MIN(usage.heap_bytes, logged_bytes);
  if (change_bytes < mm_settings_memory_bytes(node->settings, LOG_HEAP_CHANGE_SHARE)
      && mm_time_ms_since(now, node->memory_logged_at) < LOG_INTERVAL_MS)
    return;
  node->memory_logged_at = now;
  node->memory_logged_heap_bytes = usage.heap_bytes;
  log_usage(node, &usage);
}
