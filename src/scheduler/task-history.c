#include "scheduler/task-history.h"

#define CHECK_INTERVAL_MS 1000
/* How long the history of a pending task is kept. No decision depends on how much longer than this
 * a task has waited, unless the operators' bound for preemption is higher. */
#define HISTORY_MAX_MS 60000
/* While there are too many entries, the time is halved at each check, down to this. */
#define HISTORY_MIN_MS 1000
/* Number of entries of pending tasks, for each known machine and in total, from which on there are
 * too many. */
#define ENTRIES_PER_MACHINE 16
#define ENTRIES_MIN 1024

static gint64
max_history_ms(const MmScheduler *scheduler) {
  return MAX(HISTORY_MAX_MS, (gint64)(scheduler->node->operators->preempt_after_s * 1000));
}

/* Returns how many pending tasks of the led shards still have an entry. */
static guint
forget_history_of_jobs(MmScheduler *scheduler) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  MmTime now = mm_node_now(scheduler->node);
  gboolean is_shortened = scheduler->task_history_ms < max_history_ms(scheduler);
  MmTime waiting_since = mm_time_add_ms(now, -scheduler->task_history_ms);
  /* Of too many entries, also those are removed that are still paused. */
  MmTime paused_until = is_shortened ? (MmTime){ G_MAXINT64 } : now;
  guint n_entries = 0;

  for (guint i = 0; i < by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(by_submission, i);
    if (job->tasks != NULL && job->tasks->entries->len > job->n_maybe_on_machines)
      n_entries += mm_job_forget_task_history(job, waiting_since, paused_until);
  }
  return n_entries;
}

void
mm_scheduler_forget_task_history(MmScheduler *scheduler) {
  MmTime now = mm_node_now(scheduler->node);
  guint n_machines = scheduler->node->machine_table->sorted_machines->len;
  guint max_entries = MAX(ENTRIES_MIN, n_machines * ENTRIES_PER_MACHINE);
  guint n_entries;

  if (mm_time_before(now, scheduler->next_history_check_at))
    return;
  scheduler->next_history_check_at = mm_time_add_ms(now, CHECK_INTERVAL_MS);
  if (scheduler->task_history_ms == 0)
    scheduler->task_history_ms = max_history_ms(scheduler);
  n_entries = forget_history_of_jobs(scheduler);
  if (n_entries > max_entries)
    scheduler->task_history_ms = MAX(scheduler->task_history_ms / 2, HISTORY_MIN_MS);
  else if (n_entries < max_entries / 2)
    scheduler->task_history_ms = MIN(scheduler->task_history_ms * 2, max_history_ms(scheduler));
}
