#include "scheduler/scheduler.h"

#include "dependencies/dependencies.h"
#include "leases/node-lease.h"
#include "scheduler/acknowledgements.h"
#include "scheduler/gang.h"
#include "scheduler/job-writer.h"
#include "scheduler/led-shards.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "scheduler/stop-commands.h"
#include "scheduler/task-history.h"
#include "scheduler/urgency.h"

#define SLOW_TICK_MS 100
/* Limits the processor time for updates of the urgency of many jobs: the interval between two
 * updates grows with the number of jobs, beyond some two thousand. */
#define JOBS_UPDATED_PER_MS 20
/* Maximum number of machine scans for placement estimates between two slow ticks. */
#define MACHINE_SCANS_PER_TICK 8

MmScheduler *
mm_scheduler_new(MmNode *node) {
  MmScheduler *scheduler = g_new0(MmScheduler, 1);

  scheduler->node = node;
  scheduler->jobs_by_urgency = g_ptr_array_new();
  scheduler->team_used = g_new0(MmResources, node->settings->teams->len);
  scheduler->led_shards
      = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)mm_led_shard_free);
  scheduler->estimate_errors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return scheduler;
}

void
mm_scheduler_free(MmScheduler *scheduler) {
  g_ptr_array_unref(scheduler->jobs_by_urgency);
  g_free(scheduler->team_used);
  g_hash_table_unref(scheduler->led_shards);
  g_hash_table_unref(scheduler->estimate_errors);
  g_free(scheduler);
}

/* Returns whether the job has waited for longer than the operators' bound for starvation, and no
 * task of the job has started or completed. */
static gboolean
is_starving(const MmScheduler *scheduler, const MmJob *job) {
  return job->n_maybe_on_machines == 0 && job->completed.n_completed == 0 && !job->is_cancelled
         && mm_job_dependencies_are_done(job)
         && mm_job_waiting_time_s(job, mm_node_wall_ms(scheduler->node))
                > scheduler->node->operators->starved_after_s;
}

static void
update_urgency_of_jobs(MmScheduler *scheduler) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  gint64 interval_ms = MAX(SLOW_TICK_MS, by_submission->len / JOBS_UPDATED_PER_MS);

  /* Goes from the newest job to the oldest job. A job inherits urgency from its dependents, which
   * were submitted after the job and must be updated before the job. */
  for (guint i = by_submission->len; i > 0; i--) {
    MmJob *job = g_ptr_array_index(by_submission, i - 1);
    mm_scheduler_update_urgency(scheduler, job);
    if (job->tasks != NULL)
      job->is_starving = is_starving(scheduler, job);
  }
  scheduler->is_urgency_order_stale = TRUE;
  scheduler->next_urgency_update_at = mm_time_add_ms(mm_node_now(scheduler->node), interval_ms);
}

void
mm_scheduler_tick(MmScheduler *scheduler) {
  MmTime now = mm_node_now(scheduler->node);

  if (!mm_node_lease_is_valid(scheduler->node->node_lease))
    return;
  mm_scheduler_write_jobs(scheduler);
  if (mm_time_before(now, scheduler->next_slow_tick_at))
    return;
  scheduler->next_slow_tick_at = mm_time_add_ms(now, SLOW_TICK_MS);
  if (!mm_time_before(now, scheduler->next_urgency_update_at))
    update_urgency_of_jobs(scheduler);
  mm_scheduler_choose_gang_to_yield_to(scheduler);
  mm_scheduler_update_quotas(scheduler);
  mm_scheduler_recount_resources(scheduler);
  scheduler->machine_scans_left = MACHINE_SCANS_PER_TICK;
  mm_scheduler_forget_task_history(scheduler);
  mm_scheduler_request_acknowledgements(scheduler);
  mm_scheduler_resend_stops(scheduler);
  mm_scheduler_plan_gangs(scheduler);
  mm_scheduler_preempt(scheduler);
}
