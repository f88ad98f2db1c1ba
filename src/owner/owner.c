#include "owner/owner.h"

#include "dependencies/dependencies.h"
#include "parts/claims.h"
#include "store/replica.h"

#define SLOW_TICK_MS 100
/* At all machines, in a slow tick. */
#define LOOKS_A_ROUND 8
#define OWED_TASKS 4
#define YIELD_MOST_MS 240000
#define YIELD_JOBS 3
#define BACKLOG_JOBS 64
#define BACKLOG_TASKS 512
#define BACKLOG_RANGES 16

static void
held_free(gpointer data) {
  MmOwnedShard *held = data;

  g_hash_table_unref(held->unacknowledged);
  g_array_unref(held->unacknowledged_kinds);
  g_free(held->name);
  g_free(held);
}

MmOwner *
mm_owner_new(MmNode *node) {
  MmOwner *owner = g_new0(MmOwner, 1);

  owner->node = node;
  owner->pressing = g_ptr_array_new();
  owner->team_used = g_new0(MmResources, node->settings->teams->len);
  owner->held = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, held_free);
  owner->guesses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return owner;
}

void
mm_owner_free(MmOwner *owner) {
  g_ptr_array_unref(owner->pressing);
  g_free(owner->team_used);
  g_hash_table_unref(owner->held);
  g_hash_table_unref(owner->guesses);
  g_free(owner);
}

MmOwnedShard *
mm_owner_held(const MmOwner *owner, const MmJob *job) {
  return job->held != NULL ? job->held : g_hash_table_lookup(owner->held, job->part);
}

/* ---- where tasks are ---- */

static void
unlist(MmMachine *machine, const MmJob *job, guint number) {
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
mm_owner_set_state(MmOwner *owner, MmJob *job, guint number, guint8 state) {
  MmTask *task = &job->tasks[number];

  if (task->state == state)
    return;
  job->idle -= task->state == MM_TASK_IDLE;
  job->live -= mm_task_is_live(task->state);
  job->idle += state == MM_TASK_IDLE;
  job->live += mm_task_is_live(state);
  if (mm_task_is_live(state) != mm_task_is_live(task->state)) {
    MmOwnedShard *held = mm_owner_held(owner, job);
    if (held != NULL)
      held->used = mm_task_is_live(state) ? mm_resources_add(held->used, job->spec.need)
                                          : mm_resources_sub(held->used, job->spec.need);
  }
  task->state = state;
  task->since = mm_node_now(owner->node);
  if (state == MM_TASK_IDLE)
    job->first_idle = MIN(job->first_idle, number);
  mm_rank_changed(owner->node->rank);
}

void
mm_owner_place(MmOwner *owner, MmJob *job, guint number, MmMachine *machine, MmTaskState state,
               MmAttempt attempt) {
  MmTask *task = &job->tasks[number];

  if (task->machine != machine) {
    MmPlacedTask *placed = g_new(MmPlacedTask, 1);
    unlist(task->machine, job, number);
    *placed = (MmPlacedTask){ job, number };
    g_ptr_array_add(machine->placed_tasks, placed);
    task->machine = machine;
    if (state == MM_TASK_ISSUED) {
      machine->reserved_resources = mm_resources_sub(machine->reserved_resources, job->spec.need);
      if (machine->reserved_resources.cores < 0)
        machine->reserved_resources = (MmResources){ 0 };
    }
  }
  if (task->attempt.v != attempt.v)
    task->stopping = FALSE;
  task->attempt = attempt;
  machine->available_generation = 0;
  mm_owner_set_state(owner, job, number, (guint8)state);
}

void
mm_owner_unplace(MmOwner *owner, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];

  unlist(task->machine, job, number);
  task->machine = NULL;
  task->stopping = FALSE;
  mm_owner_set_state(owner, job, number, MM_TASK_IDLE);
}

/* ---- taking and dropping parts ---- */

static void
drop_job(MmOwner *owner, MmJob *job) {
  MmOwnedShard *held = mm_owner_held(owner, job);

  if (held != NULL && held->owed_to == job)
    held->owed_to = NULL;
  if (held != NULL && job->live > 0) {
    held->used.cores -= job->live * job->spec.need.cores;
    held->used.accelerators -= job->live * job->spec.need.accelerators;
  }
  for (guint i = 0; job->tasks != NULL && i < job->spec.tasks; i++)
    unlist(job->tasks[i].machine, job, i);
  g_clear_pointer(&job->tasks, g_free);
  mm_done_set_clear(&job->done);
  job->idle = job->live = 0;
  job->writing = FALSE;
  job->held = NULL;
  owner->pressing_stale = TRUE;
  mm_rank_changed(owner->node->rank);
}

static void
adopt_job(MmOwner *owner, MmOwnedShard *held, MmJob *job) {
  MmTime now = mm_node_now(owner->node);

  job->held = held;
  owner->pressing_stale = TRUE;
  job->tasks = g_new0(MmTask, job->spec.tasks);
  mm_done_set_init(&job->done, job->spec.tasks);
  job->first_idle = 0;
  job->idle = job->live = 0;
  job->known_after_claim = FALSE;
  for (guint i = 0; i < job->spec.tasks; i++) {
    job->tasks[i].since = now;
    if (mm_done_set_has(&job->recorded, i)) {
      job->tasks[i].state = MM_TASK_DONE;
      mm_done_set_add(&job->done, i);
    } else {
      job->idle++;
    }
  }
  if (job->done.count == job->spec.tasks)
    job->dirty = now;
  mm_rank_changed(owner->node->rank);
}

static void
drop_part(MmOwner *owner, const char *name) {
  MmJobTable *job_table = owner->node->job_table;

  for (guint i = 0; i < job_table->order->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->order, i);
    if (strcmp(job->part, name) == 0)
      drop_job(owner, job);
  }
  mm_info("part %s is no longer held here", name);
  g_hash_table_remove(owner->held, name);
}

void
mm_owner_check_ready(MmOwner *owner, MmOwnedShard *held) {
  if (held->ready || g_hash_table_size(held->unacknowledged) > 0)
    return;
  held->ready = TRUE;
  mm_info("part %s is ready %" G_GINT64_FORMAT " ms after it was taken", held->name,
          mm_time_ms_since(mm_node_now(owner->node), held->taken));
  mm_rank_changed(owner->node->rank);
}

static void
adopt_part(MmOwner *owner, const char *name, const MmTeamSettings *team,
           const MmShard *shard_record) {
  MmNode *node = owner->node;
  MmOwnedShard *held = g_new0(MmOwnedShard, 1);

  held->name = g_strdup(name);
  held->term = shard_record->term;
  held->version = shard_record->version;
  held->team = team;
  held->taken = mm_node_now(node);
  held->unacknowledged = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  held->unacknowledged_kinds = g_array_new(FALSE, TRUE, sizeof(MmMachineKind));
  g_hash_table_insert(owner->held, held->name, held);
  for (guint i = 0; i < node->job_table->order->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->order, i);
    if (strcmp(job->part, name) == 0)
      adopt_job(owner, held, job);
  }
  /* Machines registered later than this term only ever get starts of this term or a later one:
   * whoever answers them has seen their registration, and so the term, in the replica. */
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired)
      continue;
    if (machine->has_reported && machine->acknowledged_term.v >= held->term.v)
      mm_owner_take_tasks(owner, machine, name);
    else
      g_hash_table_insert(held->unacknowledged, g_strdup(machine->id.s),
                          GSIZE_TO_POINTER(machine->registered_incarnation));
    machine->acknowledgement_requested_at.us = 0;
  }
  held->unacknowledged_changed = TRUE;
  mm_info("part %s is held here with term %" G_GUINT64_FORMAT ", %u machines to hear", name,
          held->term.v, g_hash_table_size(held->unacknowledged));
  mm_owner_check_ready(owner, held);
}

void
mm_owner_replica_changed(MmOwner *owner) {
  MmNode *node = owner->node;

  for (guint i = 0; i < node->settings->teams->len; i++) {
    const MmTeamSettings *team = &g_array_index(node->settings->teams, MmTeamSettings, i);
    g_autofree char *name = mm_shard_ownership_shard_of_team(&team->name);
    MmOwnedShard *held = g_hash_table_lookup(owner->held, name);
    gboolean is_leader = mm_shard_ownership_leads(node->node_lease, name);
    const MmShard *shard_record = mm_replica_shard(node->replica, name);

    if (held != NULL && (!is_leader || shard_record->term.v != held->term.v)) {
      drop_part(owner, name);
      held = NULL;
    }
    if (held == NULL && is_leader)
      adopt_part(owner, name, team, shard_record);
  }
}

void
mm_owner_job_changed(MmOwner *owner, MmJob *job) {
  MmOwnedShard *held = mm_owner_held(owner, job);

  mm_owner_set_due(owner, job);

  if (held != NULL && job->tasks == NULL) {
    adopt_job(owner, held, job);
    /* The watch shows changes in order: this job came after the part was taken, so no earlier
     * holder can have started any of it. */
    job->known_after_claim = job->version.v > held->version.v && owner->node->replica->is_loaded;
  }
  if (job->tasks != NULL && job->cancelled)
    mm_rank_changed(owner->node->rank);
}

void
mm_owner_job_ready(MmOwner *owner, MmJob *job) {
  MmTime now = mm_node_now(owner->node);

  job->waits_from_ms = MAX(job->submitted_ms, mm_vertex_ready_ms(job->vertex));
  for (guint i = 0; job->tasks != NULL && i < job->spec.tasks; i++)
    if (job->tasks[i].state == MM_TASK_IDLE)
      job->tasks[i].since = now;
  mm_info("%s (%s) is ready: all that it depends on is done", job->spec.id.s,
          job->spec.job_class.s);
  owner->pressing_stale = TRUE;
  mm_rank_changed(owner->node->rank);
}

void
mm_owner_job_removed(MmOwner *owner, MmJob *job) {
  if (owner->yield == job)
    owner->yield = NULL;
  drop_job(owner, job);
}

/* ---- backlog ---- */

static void
add_waiting(MmOwner *owner, MmJob *job, GPtrArray *list, guint *tasks_left) {
  MmTime now = mm_node_now(owner->node);
  MmWaiting *pending = g_new0(MmWaiting, 1);

  pending->job = job->spec.id;
  pending->first = mm_owner_goes_first(owner, job);
  pending->aged = job->aged;
  pending->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
  while (job->first_idle < job->spec.tasks && job->tasks[job->first_idle].state != MM_TASK_IDLE)
    job->first_idle++;
  for (guint i = job->first_idle; i<job->spec.tasks && * tasks_left> 0; i++) {
    const MmTask *task = &job->tasks[i];
    guint *last_range;
    if (task->state != MM_TASK_IDLE || mm_time_before(now, task->not_before))
      continue;
    (*tasks_left)--;
    last_range = pending->ranges->len > 0
                     ? &g_array_index(pending->ranges, guint, pending->ranges->len - 2)
                     : NULL;
    if (last_range != NULL && last_range[0] + last_range[1] == i) {
      last_range[1]++;
    } else {
      guint range[2] = { i, 1 };
      if (pending->ranges->len >= 2 * BACKLOG_RANGES)
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
add_reserved(const MmJob *job, GArray *machines) {
  for (guint i = 0; i < job->spec.tasks; i++)
    if (job->tasks[i].state == MM_TASK_RESERVED)
      g_array_append_val(machines, job->tasks[i].machine->id);
}

void
mm_owner_backlog(MmOwner *owner, GPtrArray *pending, GArray *reserved_machines) {
  MmJobTable *job_table = owner->node->job_table;
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  guint tasks_left = BACKLOG_TASKS;

  for (guint i = 0; i < job_table->order->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->order, i);
    if (job->tasks != NULL && mm_job_is_gang(job))
      add_reserved(job, reserved_machines);
    /* What its team's limit keeps from starting need not be asked for, nor machines rented. */
    if (job->tasks != NULL && job->idle > 0 && mm_owner_open(owner, job)
        && mm_owner_quota_allows(owner, job->held, job, mm_job_is_gang(job) ? job->spec.tasks : 1))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_owner_compare_pressing);
  for (guint i = 0; i < jobs->len && i < BACKLOG_JOBS && tasks_left > 0; i++)
    add_waiting(owner, g_ptr_array_index(jobs, i), pending, &tasks_left);
}

guint
mm_owner_unfinished(const MmOwner *owner) {
  MmJobTable *job_table = owner->node->job_table;
  guint n_pending_tasks = 0;

  for (guint i = 0; i < job_table->order->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->order, i);
    if (job->tasks != NULL && !job->cancelled && mm_job_is_ready(job))
      n_pending_tasks += job->idle;
  }
  return n_pending_tasks;
}

/* ---- the loop ---- */

/* Sums that are kept as tasks come and go are taken anew now and then: amounts are fractions. */
static void
sum_up(MmOwner *owner) {
  MmJobTable *job_table = owner->node->job_table;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, owner->held);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmOwnedShard *held = value;
    held->used = held->owed = (MmResources){ 0 };
    held->owed_to = NULL;
    mm_owner_sum_unacknowledged(owner, held);
  }
  for (guint i = 0; i < job_table->order->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->order, i);
    MmOwnedShard *held = job->tasks != NULL ? job->held : NULL;
    if (held != NULL && job->idle > 0 && (job->aged || job->spec.priority >= MM_URGENT)
        && mm_owner_open(owner, job)
        && (held->owed_to == NULL || mm_owner_compare_pressing(&job, &held->owed_to) < 0)) {
      guint tasks = mm_job_is_gang(job) ? job->spec.tasks : MIN(job->idle, OWED_TASKS);
      held->owed_to = job;
      held->owed
          = (MmResources){ tasks * job->spec.need.cores, tasks * job->spec.need.accelerators, 0 };
    }
    if (held == NULL || job->live == 0)
      continue;
    held->used.cores += job->live * job->spec.need.cores;
    held->used.accelerators += job->live * job->spec.need.accelerators;
    held->used.memory_gb += job->live * job->spec.need.memory_gb;
  }
}

/* A gang needs several places at once: while one waits, work that presses less does not take them
 * singly. Two-task gangs once waited eight minutes beside single tasks. Places kept for a gang lie
 * idle until it has all of them, so where much waits, only a gang that starves is given that; and
 * not for ever, should it find no place for another reason. */
static void
find_yield(MmOwner *owner) {
  MmNode *node = owner->node;
  MmJobTable *job_table = node->job_table;
  gint64 now_ms = mm_node_wall_ms(node);
  gint64 wait_bound_ms = (gint64)(node->operators->wait_bound_s * 1000);
  const MmJob *starving_gang = NULL, *waiting_gang = NULL;
  guint n_waiting_jobs = 0;

  for (guint v = 0; v < node->rank->n_views; v++) {
    const GPtrArray *pending_list = node->rank->views[v].waiting;
    for (guint i = 0; i < pending_list->len; i++) {
      const MmWaiting *pending = g_ptr_array_index(pending_list, i);
      const MmJob *job = mm_job_table_find(job_table, pending->job.s);
      const MmJob **best;
      gint64 waited_ms;
      if (job == NULL || job->cancelled || job->spec.need.accelerators <= 0
          || (job->tasks != NULL && job->idle == 0))
        continue;
      n_waiting_jobs++;
      waited_ms = now_ms - job->waits_from_ms;
      if (!mm_job_is_gang(job) || waited_ms < wait_bound_ms || waited_ms > YIELD_MOST_MS)
        continue;
      best = job->aged ? &starving_gang : &waiting_gang;
      if (*best == NULL || mm_owner_compare_pressing(&job, best) < 0)
        *best = job;
    }
  }
  owner->yield = starving_gang != NULL          ? starving_gang
                 : n_waiting_jobs <= YIELD_JOBS ? waiting_gang
                                                : NULL;
}

void
mm_owner_tick(MmOwner *owner) {
  MmTime now = mm_node_now(owner->node);

  if (!mm_node_lease_is_valid(owner->node->node_lease))
    return;
  mm_owner_write_jobs(owner);
  if (mm_time_before(now, owner->next_slow))
    return;
  owner->next_slow = mm_time_add_ms(now, SLOW_TICK_MS);
  /* The newest first: a job's dependents come after it. */
  for (guint i = owner->node->job_table->order->len; i > 0; i--) {
    MmJob *job = g_ptr_array_index(owner->node->job_table->order, i - 1);
    mm_owner_set_due(owner, job);
    if (job->tasks != NULL)
      job->aged = job->live == 0 && job->done.count == 0 && !job->cancelled && mm_job_is_ready(job)
                  && mm_job_waited_s(owner->node, job) > owner->node->operators->starve_s;
  }
  find_yield(owner);
  mm_owner_count_guarantees(owner);
  sum_up(owner);
  owner->pressing_stale = TRUE;
  owner->looks = LOOKS_A_ROUND;
  mm_owner_ask_acknowledgements(owner);
  mm_owner_repeat_stops(owner);
  mm_owner_plan_gangs(owner);
  mm_owner_preempt(owner);
}
