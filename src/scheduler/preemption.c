/* Making room for urgent work where no fitting machine is free: work of lower priority is stopped.
 */
#include "scheduler/scheduler.h"

#include <stdlib.h>

#define TASKS_PER_ROUND 16
#define PREEMPTIONS_PER_ROUND 6
/* Of these, for work that is neither urgent nor within a guarantee. */
#define ORDINARY_PREEMPTIONS_PER_ROUND 2
/* How long it takes until a stopped task's room can be given out, as seen: the command, the
 * worker's report half a second after its last at the earliest, the answer. */
#define STOP_DELAY_S 0.5
#define STOP_DELAY_PER_TASK_S 0.05
/* What a service would wait longer to be less crowded, for each task beside it. */
#define COLOCATED_TASK_PENALTY_S 0.25
#define REPLICA_MOVE_AFTER_MS 1500
#define QUOTA_RECLAIM_AFTER_MS 2800
#define REPLICA_MOVE_INTERVAL_MS 1500
/* Each is a look at all machines: without a bound, replicas that found no place took 200 ms of
 * processor time a try. */
#define REPLICA_MOVE_SCANS_MAX 4
#define REPLICA_MOVE_FETCH_S 5

typedef struct {
  const MmReportedTask *reported;
  const MmJob *job;
} Victim;

/* More tasks than these are not stopped on one machine for another. */
#define VICTIMS_MAX 32
#define SPARED_TASKS_MAX 2

static int
cheapest_first(const void *a, const void *b) {
  const Victim *x = a, *y = b;

  if (x->job->effective_priority != y->job->effective_priority)
    return x->job->effective_priority < y->job->effective_priority ? -1 : 1;
  return (int)y->reported->number - (int)x->reported->number;
}

/* A job that has hardly begun after a long wait keeps the little it has. */
static gboolean
is_spared(const MmScheduler *owner, const MmJob *job) {
  return mm_job_waiting_time_s(owner->node, job) > owner->node->operators->starved_after_s
         && mm_machine_table_running_tasks(owner->node->machine_table, job->spec.id.s)
                <= SPARED_TASKS_MAX;
}

/* The tasks to stop on the machine so that the job's task fits: how many, or -1 when that is not to
 * be had. */
static gint
choose_victims(MmScheduler *owner, const MmJob *job, const MmMachine *machine,
               MmResources free_resources, Victim chosen[VICTIMS_MAX]) {
  guint n_candidates = 0, n_chosen = 0;

  if (mm_resources_fits(job->spec.task_resources, free_resources))
    return 0;
  for (guint i = 0; i < machine->reported_tasks->len && n_candidates < VICTIMS_MAX; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *other;
    if (reported->state == MM_REPORTED_ENDED || reported->state == MM_REPORTED_CHECKPOINTING)
      continue;
    other = mm_job_table_find(owner->node->job_table, reported->job.s);
    if (other != NULL
        && (other->effective_priority < job->effective_priority
            || mm_scheduler_may_reclaim_quota(owner, job, other))
        && !is_spared(owner, other))
      chosen[n_candidates++] = (Victim){ reported, other };
  }
  qsort(chosen, n_candidates, sizeof *chosen, cheapest_first);
  while (n_chosen < n_candidates && !mm_resources_fits(job->spec.task_resources, free_resources))
    free_resources = mm_resources_add(free_resources, chosen[n_chosen++].job->spec.task_resources);
  return mm_resources_fits(job->spec.task_resources, free_resources) ? (gint)n_chosen : -1;
}

double
mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine) {
  if (machine->type == NULL || mm_machine_has_cached_image(machine, &job->spec.image))
    return 0;
  return job->spec.image_gb / machine->type->image_fetch_gb_per_s;
}

static double
delay_and_victims(MmScheduler *owner, const MmJob *job, MmMachine *machine,
                  Victim victims[VICTIMS_MAX], gint *n_victims) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  gint64 period_ms = (gint64)(node->settings->heartbeat_interval_s * 1000);
  gint64 silent_ms = mm_time_ms_since(now, machine->last_heartbeat_at);
  MmResources free_resources;

  owner->n_machines_scanned++;
  if (silent_ms > 2 * period_ms || machine->addr[0] == '\0'
      || !mm_machine_is_usable(node->machine_table, machine)
      || mm_time_before(now, machine->full_until)
      || !mm_scheduler_constraints_will_allow(owner, job, machine))
    return -1;
  free_resources = mm_machine_available_resources(node->machine_table, machine);
  if (mm_placement_check_reserve(node->placement, job, machine, free_resources)
      >= MM_RESERVE_WOULD_SHRINK)
    return -1;
  if (mm_time_before(now, machine->reserved_until))
    free_resources = mm_resources_sub(free_resources, machine->reserved_resources);
  *n_victims = choose_victims(owner, job, machine, free_resources, victims);
  if (*n_victims < 0)
    return -1;
  /* Room that is there is given at the next report; a stop makes the worker report at once. */
  return (*n_victims == 0 ? (double)MAX(period_ms - silent_ms, 0) / 1000.0
                          : STOP_DELAY_S + STOP_DELAY_PER_TASK_S * *n_victims)
         + mm_scheduler_image_fetch_s(job, machine);
}

double
mm_scheduler_start_delay_s(MmScheduler *owner, const MmJob *job, MmMachine *machine) {
  Victim victims[VICTIMS_MAX];
  gint n_victims;

  return delay_and_victims(owner, job, machine, victims, &n_victims);
}

/* Work of the lowest priority is not given time to save for work of the highest: it falls back to
 * its last checkpoint, which costs it less than the wait costs the other. A service that should
 * have been up within a second once waited three for a scan of idle time to save. */
static double
victim_grace_s(const MmJob *job, const MmJob *victim) {
  if (job->effective_priority == MM_PRIORITY_CRITICAL
      && victim->effective_priority == MM_PRIORITY_LOW)
    return 0;
  return mm_scheduler_stop_grace_s(victim);
}

static void
stop_victims(MmScheduler *owner, const MmJob *job, MmMachine *machine, const Victim *victims,
             gint n_victims) {
  for (gint i = 0; i < n_victims; i++) {
    const Victim *victim = &victims[i];
    mm_info("stopping %s/%u on %s for %s", victim->job->spec.id.s, victim->reported->number,
            machine->id.s, job->spec.id.s);
    if (victim->job->team_index >= 0)
      owner->team_used[victim->job->team_index] = mm_resources_sub(
          owner->team_used[victim->job->team_index], victim->job->spec.task_resources);
    mm_scheduler_send_stop(owner, machine, &victim->job->spec.id, victim->reported->number,
                           victim->reported->attempt, victim_grace_s(job, victim->job));
  }
}

/* Keeps the room on the machine for the task until its worker's next reports. */
static void
reserve_resources(MmScheduler *owner, const MmJob *job, MmTask *task, MmMachine *machine) {
  MmTime now = mm_node_now(owner->node);
  gint64 period_ms = (gint64)(owner->node->settings->heartbeat_interval_s * 1000);

  if (!mm_time_before(now, machine->reserved_until))
    machine->reserved_resources = (MmResources){ 0 };
  machine->reserved_resources
      = mm_resources_add(machine->reserved_resources, job->spec.task_resources);
  machine->reserved_until = mm_time_add_ms(now, 2 * period_ms);
  task->preempting_until = mm_time_add_ms(now, period_ms);
  task->preempting_on = machine->id;
}

void
mm_scheduler_preempt_for_gang(MmScheduler *owner, MmJob *job, guint machines) {
  const GPtrArray *order = owner->node->machine_table->sorted_machines;
  MmTime now = mm_node_now(owner->node);
  Victim victims[VICTIMS_MAX];
  gint n_victims = 0;

  if (mm_time_before(now, job->tasks[0].preempting_until))
    return;
  job->tasks[0].preempting_until
      = mm_time_add_ms(now, (gint64)(owner->node->settings->heartbeat_interval_s * 1000));
  for (guint i = 0; i < order->len && machines > 0; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (delay_and_victims(owner, job, machine, victims, &n_victims) < 0 || n_victims == 0)
      continue;
    stop_victims(owner, job, machine, victims, n_victims);
    machines--;
  }
}

/* Finds the machine where the task would run soonest and clears the room there, if it must be
 * cleared; the room is spoken for until then. FALSE when there is no such machine. */
static gboolean
preempt_for_task(MmScheduler *owner, const MmJob *job, MmTask *task) {
  MmNode *node = owner->node;
  MmMachine *best = NULL;
  Victim victims[VICTIMS_MAX];
  double best_s = 0;
  gint n_victims = 0;

  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    double delay_s = delay_and_victims(owner, job, machine, victims, &n_victims);

    if (delay_s < 0)
      continue;
    if (job->spec.kind == MM_JOB_KIND_SERVICE)
      delay_s += COLOCATED_TASK_PENALTY_S * mm_scheduler_count_colocated_tasks(owner, job, machine);
    if (best != NULL && delay_s >= best_s)
      continue;
    best = machine;
    best_s = delay_s;
  }
  if (best == NULL || delay_and_victims(owner, job, best, victims, &n_victims) < 0)
    return FALSE;
  stop_victims(owner, job, best, victims, n_victims);
  reserve_resources(owner, job, task, best);
  return TRUE;
}

/* Where a replica that runs on `from` could run again shortly, or NULL. */
static MmMachine *
machine_for_replica(MmScheduler *owner, const MmJob *job, const MmMachine *current,
                    double max_fetch_s) {
  MmMachineTable *machine_table = owner->node->machine_table;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    double delay_s;
    if (machine == current || mm_scheduler_image_fetch_s(job, machine) > max_fetch_s)
      continue;
    delay_s = mm_scheduler_start_delay_s(owner, job, machine);
    if (delay_s >= 0
        && delay_s <= owner->node->settings->heartbeat_interval_s + STOP_DELAY_S + max_fetch_s)
      return machine;
  }
  return NULL;
}

/* The last resort for a service that no machine in its zones can take: a replica of another
 * service, one that could run elsewhere at once, gives its place up. Two zones full and the third
 * half empty once kept services of two tasks waiting for minutes. */
static gboolean
move_replica(MmScheduler *owner, const MmJob *job, MmTask *task) {
  MmNode *node = owner->node;
  guint scans_left = REPLICA_MOVE_SCANS_MAX, first_index;
  MmTime now = mm_node_now(node);
  /* A replica may fetch its image for it once the wait has outgrown that. */
  double fetch_s = mm_time_ms_since(now, task->state_since) > REPLICA_MOVE_FETCH_S * 1000
                       ? REPLICA_MOVE_FETCH_S
                       : 0;

  if (job->spec.kind != MM_JOB_KIND_SERVICE || mm_time_before(now, owner->next_replica_move_at)
      || mm_time_ms_since(now, task->state_since) < REPLICA_MOVE_AFTER_MS)
    return FALSE;
  owner->next_replica_move_at = mm_time_add_ms(now, REPLICA_MOVE_INTERVAL_MS);
  first_index = node->machine_table->sorted_machines->len > 0 ? (guint)g_rand_int_range(
                    node->rand, 0, (gint32)node->machine_table->sorted_machines->len)
                                                              : 0;
  for (guint i = 0; i < node->machine_table->sorted_machines->len && scans_left > 0; i++) {
    MmMachine *machine
        = g_ptr_array_index(node->machine_table->sorted_machines,
                            (first_index + i) % node->machine_table->sorted_machines->len);
    MmResources free_resources = mm_machine_available_resources(node->machine_table, machine);

    if (!mm_machine_is_usable(node->machine_table, machine)
        || mm_time_before(now, machine->reserved_until)
        || !mm_scheduler_constraints_will_allow(owner, job, machine)
        || mm_placement_check_reserve(node->placement, job, machine, free_resources)
               >= MM_RESERVE_WOULD_SHRINK)
      continue;
    for (guint k = 0; k < machine->placed_tasks->len; k++) {
      const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, k);
      MmJob *other = placed->job;
      MmTask *moved_task = &other->tasks[placed->number];
      MmMachine *target;

      if (other == job || other->is_cancelled || other->spec.kind != MM_JOB_KIND_SERVICE
          || other->effective_priority > job->effective_priority
          || moved_task->state != MM_TASK_RUNNING || moved_task->is_stopping
          || !mm_resources_fits(job->spec.task_resources,
                                mm_resources_add(free_resources, other->spec.task_resources)))
        continue;
      if (scans_left-- == 0)
        return FALSE;
      target = machine_for_replica(owner, other, machine, fetch_s);
      if (target == NULL)
        continue;
      mm_info("moving %s/%u from %s to %s to make room for %s", other->spec.id.s, placed->number,
              machine->id.s, target->id.s, job->spec.id.s);
      reserve_resources(owner, job, task, machine);
      moved_task->last_failed_on = machine->id;
      mm_scheduler_stop_task(owner, other, placed->number);
      return TRUE;
    }
  }
  return FALSE;
}

/* Clears room for the job's waiting tasks, each claimed once a report period. Claims count for the
 * job's zones: clearing for one task at a time instead made a wide service that had lost a zone
 * wait two seconds for each of its replicas. */
static guint
preempt_for_job(MmScheduler *owner, MmJob *job, guint max_tries) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  gint64 bound_ms = job->effective_priority >= MM_PRIORITY_URGENT
                        ? (gint64)(node->operators->preempt_after_s * 1000)
                        : QUOTA_RECLAIM_AFTER_MS;
  guint tries = 0;

  for (guint i = job->first_pending; i < job->spec.n_tasks && tries < max_tries; i++) {
    MmTask *task = &job->tasks[i];
    if (task->state != MM_TASK_PENDING)
      continue;
    if (mm_time_before(now, task->preempting_until) || mm_time_before(now, task->retry_not_before)
        || mm_time_ms_since(now, task->state_since) < bound_ms)
      continue;
    tries++;
    if (!preempt_for_task(owner, job, task) && !move_replica(owner, job, task))
      break;
  }
  return tries;
}

/* Whether any work of the lowest priority runs: without it nothing is to be had for work that is
 * only one step above, and looking at all machines for each such job would cost an owner all its
 * time. */
static gboolean
low_priority_work_runs(const MmScheduler *owner) {
  const MmJobTable *job_table = owner->node->job_table;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->effective_priority == MM_PRIORITY_LOW
        && mm_machine_table_running_tasks(owner->node->machine_table, job->spec.id.s)
               > SPARED_TASKS_MAX)
      return TRUE;
  }
  return FALSE;
}

/* Neither urgent nor within a guarantee: it may only stop work of the lowest priority. */
static gboolean
is_ordinary(const MmJob *job) {
  return job->effective_priority < MM_PRIORITY_URGENT && !job->is_within_quota;
}

/* A few jobs a round, most pressing first, each round going on where the last one stopped: each
 * costs a look at all machines. */
void
mm_scheduler_preempt(MmScheduler *owner) {
  const GPtrArray *jobs = mm_scheduler_jobs_by_urgency(owner);
  guint tasks_left = TASKS_PER_ROUND, preemptions_left = PREEMPTIONS_PER_ROUND, n_jobs_visited = 0;
  guint ordinary_preemptions_left
      = low_priority_work_runs(owner) ? ORDINARY_PREEMPTIONS_PER_ROUND : 0;

  for (; n_jobs_visited < jobs->len && tasks_left > 0 && preemptions_left > 0; n_jobs_visited++) {
    MmJob *job = g_ptr_array_index(jobs, (owner->next_preemption_job + n_jobs_visited) % jobs->len);
    gboolean ordinary = is_ordinary(job);
    guint max_tries = MIN(tasks_left, ordinary ? MIN(preemptions_left, ordinary_preemptions_left)
                                               : preemptions_left);
    guint tries;

    if (job->n_pending == 0 || max_tries == 0
        || (ordinary && job->effective_priority <= MM_PRIORITY_LOW)
        || !mm_scheduler_job_is_schedulable(owner, job)
        || !mm_scheduler_quota_allows(owner, job->led_shard, job, 1))
      continue;
    tries = preempt_for_job(owner, job, max_tries);
    tasks_left -= tries;
    ordinary_preemptions_left -= ordinary ? tries : 0;
    preemptions_left -= tries;
  }
  owner->next_preemption_job
      = tasks_left > 0 && preemptions_left > 0 ? 0 : owner->next_preemption_job + n_jobs_visited;
}
