#include "scheduler/scheduler.h"

#include "dependencies/dependencies.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "kv/replica.h"

#define SLOW_TICK_MS 100
/* At all machines, in a slow tick. */
#define MACHINE_SCANS_PER_TICK 8
#define RESERVED_QUOTA_TASKS 4
#define YIELD_TO_GANG_MAX_MS 240000
#define YIELD_TO_GANG_JOBS_MAX 3
#define BACKLOG_JOBS_MAX 64
#define BACKLOG_TASKS_MAX 512
#define BACKLOG_RANGES_MAX 16

static void
led_shard_free(gpointer data) {
  MmLedShard *held = data;

  g_hash_table_unref(held->unacknowledged_machines);
  g_array_unref(held->unacknowledged_kinds);
  g_free(held->name);
  g_free(held);
}

MmScheduler *
mm_scheduler_new(MmNode *node) {
  MmScheduler *owner = g_new0(MmScheduler, 1);

  owner->node = node;
  owner->jobs_by_urgency = g_ptr_array_new();
  owner->team_used = g_new0(MmResources, node->settings->teams->len);
  owner->led_shards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, led_shard_free);
  owner->estimate_errors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return owner;
}

void
mm_scheduler_free(MmScheduler *owner) {
  g_ptr_array_unref(owner->jobs_by_urgency);
  g_free(owner->team_used);
  g_hash_table_unref(owner->led_shards);
  g_hash_table_unref(owner->estimate_errors);
  g_free(owner);
}

MmLedShard *
mm_scheduler_shard_of_job(const MmScheduler *owner, const MmJob *job) {
  return job->led_shard != NULL ? job->led_shard
                                : g_hash_table_lookup(owner->led_shards, job->shard);
}

/* ---- where tasks are ---- */

static void
remove_from_machine(MmMachine *machine, const MmJob *job, guint number) {
  if (machine != NULL)
    machine->available_generation = 0;
  for (guint i = 0; machine != NULL && i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job == job && placed->number == number) {
      g_ptr_array_remove_index_fast(machine->placed_tasks, i);
      return;
    }
  }
}

void
mm_scheduler_set_task_state(MmScheduler *owner, MmJob *job, guint number, guint8 state) {
  MmTask *task = &job->tasks[number];

  if (task->state == state)
    return;
  job->n_pending -= task->state == MM_TASK_PENDING;
  job->n_maybe_on_machines -= mm_task_is_live(task->state);
  job->n_pending += state == MM_TASK_PENDING;
  job->n_maybe_on_machines += mm_task_is_live(state);
  if (mm_task_is_live(state) != mm_task_is_live(task->state)) {
    MmLedShard *held = mm_scheduler_shard_of_job(owner, job);
    if (held != NULL)
      held->used = mm_task_is_live(state) ? mm_resources_add(held->used, job->spec.task_resources)
                                          : mm_resources_sub(held->used, job->spec.task_resources);
  }
  task->state = state;
  task->state_since = mm_node_now(owner->node);
  if (state == MM_TASK_PENDING)
    job->first_pending = MIN(job->first_pending, number);
  mm_placement_backlog_changed(owner->node->placement);
}

void
mm_scheduler_place_task(MmScheduler *owner, MmJob *job, guint number, MmMachine *machine,
                        MmTaskState state, MmAttempt attempt) {
  MmTask *task = &job->tasks[number];

  if (task->machine != machine) {
    MmPlacedTask *placed = g_new(MmPlacedTask, 1);
    remove_from_machine(task->machine, job, number);
    *placed = (MmPlacedTask){ job, number };
    g_ptr_array_add(machine->placed_tasks, placed);
    task->machine = machine;
    if (state == MM_TASK_START_SENT) {
      machine->reserved_resources
          = mm_resources_sub(machine->reserved_resources, job->spec.task_resources);
      if (machine->reserved_resources.cores < 0)
        machine->reserved_resources = (MmResources){ 0 };
    }
  }
  if (task->attempt.v != attempt.v)
    task->is_stopping = FALSE;
  task->attempt = attempt;
  machine->available_generation = 0;
  mm_scheduler_set_task_state(owner, job, number, (guint8)state);
}

void
mm_scheduler_unplace_task(MmScheduler *owner, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];

  remove_from_machine(task->machine, job, number);
  task->machine = NULL;
  task->is_stopping = FALSE;
  mm_scheduler_set_task_state(owner, job, number, MM_TASK_PENDING);
}

/* ---- taking and dropping parts ---- */

static void
drop_job(MmScheduler *owner, MmJob *job) {
  MmLedShard *held = mm_scheduler_shard_of_job(owner, job);

  if (held != NULL && held->quota_reserved_for == job)
    held->quota_reserved_for = NULL;
  if (held != NULL && job->n_maybe_on_machines > 0) {
    held->used.cores -= job->n_maybe_on_machines * job->spec.task_resources.cores;
    held->used.accelerators -= job->n_maybe_on_machines * job->spec.task_resources.accelerators;
  }
  for (guint i = 0; job->tasks != NULL && i < job->spec.n_tasks; i++)
    remove_from_machine(job->tasks[i].machine, job, i);
  g_clear_pointer(&job->tasks, g_free);
  mm_completed_tasks_clear(&job->completed);
  job->n_pending = job->n_maybe_on_machines = 0;
  job->is_being_written = FALSE;
  job->led_shard = NULL;
  owner->is_urgency_order_stale = TRUE;
  mm_placement_backlog_changed(owner->node->placement);
}

static void
adopt_job(MmScheduler *owner, MmLedShard *held, MmJob *job) {
  MmTime now = mm_node_now(owner->node);

  job->led_shard = held;
  owner->is_urgency_order_stale = TRUE;
  job->tasks = g_new0(MmTask, job->spec.n_tasks);
  mm_completed_tasks_init(&job->completed, job->spec.n_tasks);
  job->first_pending = 0;
  job->n_pending = job->n_maybe_on_machines = 0;
  job->submitted_after_acquire = FALSE;
  for (guint i = 0; i < job->spec.n_tasks; i++) {
    job->tasks[i].state_since = now;
    if (mm_completed_tasks_contains(&job->recorded_completed, i)) {
      job->tasks[i].state = MM_TASK_DONE;
      mm_completed_tasks_add(&job->completed, i);
    } else {
      job->n_pending++;
    }
  }
  if (job->completed.n_completed == job->spec.n_tasks)
    job->unwritten_since = now;
  mm_placement_backlog_changed(owner->node->placement);
}

static void
stop_leading_shard(MmScheduler *owner, const char *name) {
  MmJobTable *job_table = owner->node->job_table;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (strcmp(job->shard, name) == 0)
      drop_job(owner, job);
  }
  mm_info("part %s is no longer held here", name);
  g_hash_table_remove(owner->led_shards, name);
}

void
mm_scheduler_check_shard_ready(MmScheduler *owner, MmLedShard *held) {
  if (held->is_ready || g_hash_table_size(held->unacknowledged_machines) > 0)
    return;
  held->is_ready = TRUE;
  mm_info("part %s is ready %" G_GINT64_FORMAT " ms after it was taken", held->name,
          mm_time_ms_since(mm_node_now(owner->node), held->acquired_at));
  mm_placement_backlog_changed(owner->node->placement);
}

static void
start_leading_shard(MmScheduler *owner, const char *name, const MmTeamSettings *team,
                    const MmShard *shard_record) {
  MmNode *node = owner->node;
  MmLedShard *held = g_new0(MmLedShard, 1);

  held->name = g_strdup(name);
  held->term = shard_record->term;
  held->version = shard_record->version;
  held->team = team;
  held->acquired_at = mm_node_now(node);
  held->unacknowledged_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  held->unacknowledged_kinds = g_array_new(FALSE, TRUE, sizeof(MmMachineKind));
  g_hash_table_insert(owner->led_shards, held->name, held);
  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (strcmp(job->shard, name) == 0)
      adopt_job(owner, held, job);
  }
  /* Machines registered later than this term only ever get starts of this term or a later one:
   * whoever answers them has seen their registration, and so the term, in the replica. */
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired)
      continue;
    if (machine->has_reported && machine->acknowledged_term.v >= held->term.v)
      mm_scheduler_apply_reported_tasks(owner, machine, name);
    else
      g_hash_table_insert(held->unacknowledged_machines, g_strdup(machine->id.s),
                          GSIZE_TO_POINTER(machine->registered_incarnation));
    machine->acknowledgement_requested_at.us = 0;
  }
  held->unacknowledged_changed = TRUE;
  mm_info("part %s is held here with term %" G_GUINT64_FORMAT ", %u machines to hear", name,
          held->term.v, g_hash_table_size(held->unacknowledged_machines));
  mm_scheduler_check_shard_ready(owner, held);
}

void
mm_scheduler_replica_changed(MmScheduler *owner) {
  MmNode *node = owner->node;

  for (guint i = 0; i < node->settings->teams->len; i++) {
    const MmTeamSettings *team = &g_array_index(node->settings->teams, MmTeamSettings, i);
    g_autofree char *name = mm_shard_ownership_shard_of_team(&team->name);
    MmLedShard *held = g_hash_table_lookup(owner->led_shards, name);
    gboolean is_leader = mm_shard_ownership_leads(node->shard_ownership, name);
    const MmShard *shard_record = mm_replica_shard(node->replica, name);

    if (held != NULL && (!is_leader || shard_record->term.v != held->term.v)) {
      stop_leading_shard(owner, name);
      held = NULL;
    }
    if (held == NULL && is_leader)
      start_leading_shard(owner, name, team, shard_record);
  }
}

void
mm_scheduler_job_changed(MmScheduler *owner, MmJob *job) {
  MmLedShard *held = mm_scheduler_shard_of_job(owner, job);

  mm_scheduler_update_urgency(owner, job);

  if (held != NULL && job->tasks == NULL) {
    adopt_job(owner, held, job);
    /* The watch shows changes in order: this job came after the part was taken, so no earlier
     * holder can have started any of it. */
    job->submitted_after_acquire
        = job->record_version.v > held->version.v && owner->node->replica->is_loaded;
  }
  if (job->tasks != NULL && job->is_cancelled)
    mm_placement_backlog_changed(owner->node->placement);
}

void
mm_scheduler_job_ready(MmScheduler *owner, MmJob *job) {
  MmTime now = mm_node_now(owner->node);

  job->waiting_since_ms = MAX(job->submitted_at_ms, mm_vertex_dependencies_done_at_ms(job->vertex));
  for (guint i = 0; job->tasks != NULL && i < job->spec.n_tasks; i++)
    if (job->tasks[i].state == MM_TASK_PENDING)
      job->tasks[i].state_since = now;
  mm_info("%s (%s) is ready: all that it depends on is done", job->spec.id.s,
          job->spec.job_class.s);
  owner->is_urgency_order_stale = TRUE;
  mm_placement_backlog_changed(owner->node->placement);
}

void
mm_scheduler_job_removed(MmScheduler *owner, MmJob *job) {
  if (owner->yield_to_gang == job)
    owner->yield_to_gang = NULL;
  drop_job(owner, job);
}

/* ---- backlog ---- */

static void
add_pending_tasks(MmScheduler *owner, MmJob *job, GPtrArray *list, guint *tasks_left) {
  MmTime now = mm_node_now(owner->node);
  MmPendingTasks *pending = g_new0(MmPendingTasks, 1);

  pending->job = job->spec.id;
  pending->has_precedence = mm_scheduler_has_precedence(owner, job);
  pending->is_starving = job->is_starving;
  pending->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
  while (job->first_pending < job->spec.n_tasks
         && job->tasks[job->first_pending].state != MM_TASK_PENDING)
    job->first_pending++;
  for (guint i = job->first_pending; i<job->spec.n_tasks && * tasks_left> 0; i++) {
    const MmTask *task = &job->tasks[i];
    guint *last_range;
    if (task->state != MM_TASK_PENDING || mm_time_before(now, task->retry_not_before))
      continue;
    (*tasks_left)--;
    last_range = pending->ranges->len > 0
                     ? &g_array_index(pending->ranges, guint, pending->ranges->len - 2)
                     : NULL;
    if (last_range != NULL && last_range[0] + last_range[1] == i) {
      last_range[1]++;
    } else {
      guint range[2] = { i, 1 };
      if (pending->ranges->len >= 2 * BACKLOG_RANGES_MAX)
        break;
      g_array_append_vals(pending->ranges, range, 2);
    }
  }
  if (pending->ranges->len == 0) {
    g_array_unref(pending->ranges);
    g_free(pending);
    return;
  }
  g_ptr_array_add(list, pending);
}

/* Only gangs' places are reserved: these are few, while machines with tasks are thousands. */
static void
add_reserved_machines(const MmJob *job, GArray *machines) {
  for (guint i = 0; i < job->spec.n_tasks; i++)
    if (job->tasks[i].state == MM_TASK_PLACE_RESERVED)
      g_array_append_val(machines, job->tasks[i].machine->id);
}

void
mm_scheduler_list_backlog(MmScheduler *owner, GPtrArray *pending, GArray *reserved_machines) {
  MmJobTable *job_table = owner->node->job_table;
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  guint tasks_left = BACKLOG_TASKS_MAX;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && mm_job_is_gang(job))
      add_reserved_machines(job, reserved_machines);
    /* What its team's limit keeps from starting need not be asked for, nor machines rented. */
    if (job->tasks != NULL && job->n_pending > 0 && mm_scheduler_job_is_schedulable(owner, job)
        && mm_scheduler_quota_allows(owner, job->led_shard, job,
                                     mm_job_is_gang(job) ? job->spec.n_tasks : 1))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_scheduler_compare_urgency);
  for (guint i = 0; i < jobs->len && i < BACKLOG_JOBS_MAX && tasks_left > 0; i++)
    add_pending_tasks(owner, g_ptr_array_index(jobs, i), pending, &tasks_left);
}

guint
mm_scheduler_count_pending_tasks(const MmScheduler *owner) {
  MmJobTable *job_table = owner->node->job_table;
  guint n_pending_tasks = 0;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && !job->is_cancelled && mm_job_dependencies_are_done(job))
      n_pending_tasks += job->n_pending;
  }
  return n_pending_tasks;
}

/* ---- the loop ---- */

/* Sums that are kept as tasks come and go are taken anew now and then: amounts are fractions. */
static void
recount_resources(MmScheduler *owner) {
  MmJobTable *job_table = owner->node->job_table;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, owner->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmLedShard *held = value;
    held->used = held->reserved_quota = (MmResources){ 0 };
    held->quota_reserved_for = NULL;
    mm_scheduler_sum_unacknowledged(owner, held);
  }
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    MmLedShard *held = job->tasks != NULL ? job->led_shard : NULL;
    if (held != NULL && job->n_pending > 0
        && (job->is_starving || job->spec.priority >= MM_PRIORITY_URGENT)
        && mm_scheduler_job_is_schedulable(owner, job)
        && (held->quota_reserved_for == NULL
            || mm_scheduler_compare_urgency(&job, &held->quota_reserved_for) < 0)) {
      guint tasks
          = mm_job_is_gang(job) ? job->spec.n_tasks : MIN(job->n_pending, RESERVED_QUOTA_TASKS);
      held->quota_reserved_for = job;
      held->reserved_quota = (MmResources){ tasks * job->spec.task_resources.cores,
                                            tasks * job->spec.task_resources.accelerators, 0 };
    }
    if (held == NULL || job->n_maybe_on_machines == 0)
      continue;
    held->used.cores += job->n_maybe_on_machines * job->spec.task_resources.cores;
    held->used.accelerators += job->n_maybe_on_machines * job->spec.task_resources.accelerators;
    held->used.memory_gb += job->n_maybe_on_machines * job->spec.task_resources.memory_gb;
  }
}

/* A gang needs several places at once: while one waits, work that presses less does not take them
 * singly. Two-task gangs once waited eight minutes beside single tasks. Places kept for a gang lie
 * idle until it has all of them, so where much waits, only a gang that starves is given that; and
 * not for ever, should it find no place for another reason. */
static void
choose_gang_to_yield_to(MmScheduler *owner) {
  MmNode *node = owner->node;
  MmJobTable *job_table = node->job_table;
  gint64 now_ms = mm_node_wall_ms(node);
  gint64 wait_bound_ms = (gint64)(node->operators->wait_bound_s * 1000);
  const MmJob *starving_gang = NULL, *waiting_gang = NULL;
  guint n_waiting_jobs = 0;

  for (guint v = 0; v < node->placement->n_views; v++) {
    const GPtrArray *pending_list = node->placement->views[v].pending;
    for (guint i = 0; i < pending_list->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(pending_list, i);
      const MmJob *job = mm_job_table_find(job_table, pending->job.s);
      const MmJob **best;
      gint64 waited_ms;
      if (job == NULL || job->is_cancelled || job->spec.task_resources.accelerators <= 0
          || (job->tasks != NULL && job->n_pending == 0))
        continue;
      n_waiting_jobs++;
      waited_ms = now_ms - job->waiting_since_ms;
      if (!mm_job_is_gang(job) || waited_ms < wait_bound_ms || waited_ms > YIELD_TO_GANG_MAX_MS)
        continue;
      best = job->is_starving ? &starving_gang : &waiting_gang;
      if (*best == NULL || mm_scheduler_compare_urgency(&job, best) < 0)
        *best = job;
    }
  }
  owner->yield_to_gang = starving_gang != NULL                      ? starving_gang
                         : n_waiting_jobs <= YIELD_TO_GANG_JOBS_MAX ? waiting_gang
                                                                    : NULL;
}

void
mm_scheduler_tick(MmScheduler *owner) {
  MmTime now = mm_node_now(owner->node);

  if (!mm_node_lease_is_valid(owner->node->node_lease))
    return;
  mm_scheduler_write_jobs(owner);
  if (mm_time_before(now, owner->next_slow_tick_at))
    return;
  owner->next_slow_tick_at = mm_time_add_ms(now, SLOW_TICK_MS);
  /* The newest first: a job's dependents come after it. */
  for (guint i = owner->node->job_table->by_submission->len; i > 0; i--) {
    MmJob *job = g_ptr_array_index(owner->node->job_table->by_submission, i - 1);
    mm_scheduler_update_urgency(owner, job);
    if (job->tasks != NULL)
      job->is_starving
          = job->n_maybe_on_machines == 0 && job->completed.n_completed == 0 && !job->is_cancelled
            && mm_job_dependencies_are_done(job)
            && mm_job_waiting_time_s(owner->node, job) > owner->node->operators->starved_after_s;
  }
  choose_gang_to_yield_to(owner);
  mm_scheduler_update_guarantees(owner);
  recount_resources(owner);
  owner->is_urgency_order_stale = TRUE;
  owner->machine_scans_left = MACHINE_SCANS_PER_TICK;
  mm_scheduler_request_acknowledgements(owner);
  mm_scheduler_resend_stops(owner);
  mm_scheduler_plan_gangs(owner);
  mm_scheduler_preempt(owner);
}
