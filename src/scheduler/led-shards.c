#include "scheduler/led-shards.h"

#include "dependencies/dependencies.h"
#include "kv/replica.h"
#include "leases/shard-ownership.h"
#include "placement/backlog.h"
#include "scheduler/heartbeats.h"
#include "scheduler/task-state.h"
#include "scheduler/urgency.h"

void
mm_led_shard_free(MmLedShard *shard) {
  g_hash_table_unref(shard->unacknowledged_machines);
  g_array_unref(shard->unacknowledged_kinds);
  g_free(shard->name);
  g_free(shard);
}

MmLedShard *
mm_scheduler_shard_of_job(const MmScheduler *scheduler, const MmJob *job) {
  return job->led_shard != NULL ? job->led_shard
                                : g_hash_table_lookup(scheduler->led_shards, job->shard);
}

/* Jobs */

/* Frees the job's tasks, because this node no longer leads the shard or because the job has ended.
 * Removes the tasks from their machines and from the resources used by the shard. */
static void
discard_job_tasks(MmScheduler *scheduler, MmJob *job) {
  MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);

  if (shard != NULL && shard->limit_reserved_for == job)
    shard->limit_reserved_for = NULL;
  if (shard != NULL)
    shard->used = mm_resources_sub(
        shard->used, mm_resources_times(job->spec.task_resources, job->n_maybe_on_machines));
  for (guint i = 0; job->tasks != NULL && i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    mm_scheduler_remove_from_machine(task->machine, job, task->number);
  }
  g_clear_pointer(&job->tasks, mm_task_table_free);
  mm_completed_tasks_clear(&job->completed);
  job->n_pending = job->n_maybe_on_machines = 0;
  job->is_being_written = FALSE;
  job->led_shard = NULL;
  scheduler->is_urgency_order_stale = TRUE;
  mm_placement_backlog_changed(scheduler->node->placement);
}

/* Creates the job's task table. Tasks with recorded results are done. All other tasks are pending
 * until heartbeats show that they are on machines. */
static void
init_job_tasks(MmScheduler *scheduler, MmLedShard *shard, MmJob *job) {
  MmTime now = mm_node_now(scheduler->node);

  job->led_shard = shard;
  scheduler->is_urgency_order_stale = TRUE;
  job->tasks = mm_task_table_new(now);
  mm_completed_tasks_init(&job->completed, job->spec.n_tasks);
  mm_completed_tasks_add_all(&job->completed, &job->recorded_completed);
  job->first_pending = 0;
  job->n_pending = job->spec.n_tasks - job->completed.n_completed;
  job->n_maybe_on_machines = 0;
  job->submitted_after_acquire = FALSE;
  if (job->completed.n_completed == job->spec.n_tasks)
    job->unwritten_since = now;
  mm_placement_backlog_changed(scheduler->node->placement);
}

void
mm_scheduler_job_changed(MmScheduler *scheduler, MmJob *job) {
  MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);

  mm_scheduler_update_urgency(scheduler, job);

  if (shard != NULL && job->tasks == NULL) {
    init_job_tasks(scheduler, shard, job);
    /* The watch delivers changes in order. A job whose record is newer than the shard's record was
     * submitted after the shard was acquired. No earlier leader can have started tasks of such a
     * job. */
    job->submitted_after_acquire
        = job->record_version.v > shard->version.v && scheduler->node->replica->is_loaded;
  }
  if (job->tasks != NULL && job->is_cancelled)
    mm_placement_backlog_changed(scheduler->node->placement);
}

static void
restart_waiting_times(MmTaskTable *tasks, MmTime now) {
  tasks->untouched_pending.state_since = now;
  for (guint i = 0; i < tasks->entries->len; i++) {
    MmTask *task = mm_task_table_at(tasks, i);
    if (task->state == MM_TASK_PENDING)
      task->state_since = now;
  }
}

void
mm_scheduler_job_ready(MmScheduler *scheduler, MmJob *job) {
  job->waiting_since_ms = MAX(job->submitted_at_ms, mm_vertex_dependencies_done_at_ms(job->vertex));
  if (job->tasks != NULL)
    restart_waiting_times(job->tasks, mm_node_now(scheduler->node));
  mm_info("job %s dependencies done class=%s", job->spec.id.s, job->spec.job_class.s);
  scheduler->is_urgency_order_stale = TRUE;
  mm_placement_backlog_changed(scheduler->node->placement);
}

void
mm_scheduler_job_removed(MmScheduler *scheduler, MmJob *job) {
  if (scheduler->yield_to_gang == job)
    scheduler->yield_to_gang = NULL;
  discard_job_tasks(scheduler, job);
}

/* Unacknowledged machines */

void
mm_scheduler_check_shard_ready(MmScheduler *scheduler, MmLedShard *shard) {
  if (shard->is_ready || g_hash_table_size(shard->unacknowledged_machines) > 0)
    return;
  shard->is_ready = TRUE;
  mm_info("shard %s ready after_ms=%" G_GINT64_FORMAT, shard->name,
          mm_time_ms_since(mm_node_now(scheduler->node), shard->acquired_at));
  mm_placement_backlog_changed(scheduler->node->placement);
}

static void
add_unacknowledged_kind(MmLedShard *shard, const MmMachine *machine) {
  /* An unknown machine may have any properties, which the empty kind stands for. */
  MmMachineKind kind = machine != NULL
                           ? (MmMachineKind){ machine->type_name, machine->zone, machine->is_spot }
                           : (MmMachineKind){ 0 };

  for (guint i = 0; i < shard->unacknowledged_kinds->len; i++) {
    const MmMachineKind *known = &g_array_index(shard->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_equal(&known->type, &kind.type) && mm_name_equal(&known->zone, &kind.zone)
        && known->is_spot == kind.is_spot)
      return;
  }
  g_array_append_val(shard->unacknowledged_kinds, kind);
}

void
mm_scheduler_update_unacknowledged(MmScheduler *scheduler, MmLedShard *shard) {
  GHashTableIter iter;
  gpointer machine_id;
  guint n_kinds_before = shard->unacknowledged_kinds->len;

  if (!shard->unacknowledged_changed)
    return;
  shard->unacknowledged_changed = FALSE;
  g_array_set_size(shard->unacknowledged_kinds, 0);
  shard->has_unacknowledged_of_unknown_type = FALSE;
  shard->unacknowledged_resources = (MmResources){ 0 };
  g_hash_table_iter_init(&iter, shard->unacknowledged_machines);
  while (g_hash_table_iter_next(&iter, &machine_id, NULL)) {
    const MmMachine *machine = mm_machine_table_find(scheduler->node->machine_table, machine_id);
    add_unacknowledged_kind(shard, machine);
    if (machine == NULL || machine->type == NULL)
      shard->has_unacknowledged_of_unknown_type = shard->unacknowledged_changed
          = TRUE; /* the type of the machine may become known */
    else
      shard->unacknowledged_resources
          = mm_resources_add(shard->unacknowledged_resources, machine->type->resources);
  }
  if (shard->unacknowledged_kinds->len < n_kinds_before)
    mm_placement_backlog_changed(scheduler->node->placement);
}

/* Returns whether a task of the job may be on an unacknowledged machine. A machine that the job may
 * not use has none of the job's tasks, because earlier leaders observed the same constraints and
 * the kind of a machine never changes.
 *
 * For example, the tasks of a job that does not allow spot machines can start although a spot
 * machine that the cloud has reclaimed never acknowledges the term. Likewise, a job that allows
 * only machine types with accelerators does not wait for the acknowledgement of a machine without
 * accelerators. */
static gboolean
may_be_on_unacknowledged(const MmLedShard *shard, const MmJob *job) {
  for (guint i = 0; i < shard->unacknowledged_kinds->len; i++) {
    const MmMachineKind *kind = &g_array_index(shard->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_is_empty(&kind->type)
        || mm_job_spec_allows_machine(&job->spec, &kind->type, &kind->zone, kind->is_spot))
      return TRUE;
  }
  return FALSE;
}

gboolean
mm_scheduler_knows_all_starts(MmScheduler *scheduler, const MmJob *job) {
  MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);

  if (shard->is_ready || job->submitted_after_acquire)
    return TRUE;
  mm_scheduler_update_unacknowledged(scheduler, shard);
  return !may_be_on_unacknowledged(shard, job);
}

/* Acquired and released shards */

static void
stop_leading_shard(MmScheduler *scheduler, const char *name) {
  MmJobTable *job_table = scheduler->node->job_table;

  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (strcmp(job->shard, name) == 0)
      discard_job_tasks(scheduler, job);
  }
  mm_info("shard %s leadership ended", name);
  g_hash_table_remove(scheduler->led_shards, name);
}

static MmLedShard *
led_shard_new(const char *name, const MmTeamSettings *team, const MmShard *shard_record,
              MmTime now) {
  MmLedShard *shard = g_new0(MmLedShard, 1);

  shard->name = g_strdup(name);
  shard->term = shard_record->term;
  shard->version = shard_record->version;
  shard->team = team;
  shard->acquired_at = now;
  shard->unacknowledged_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  shard->unacknowledged_kinds = g_array_new(FALSE, TRUE, sizeof(MmMachineKind));
  return shard;
}

/* Applies the newest messages of the registered machines that have acknowledged the shard's term.
 * Adds the other registered machines to the unacknowledged machines.
 *
 * A machine that is registered after the shard was acquired can only receive starts of this term or
 * a later term. The reason: a node that answers the machine's heartbeats has seen the machine's
 * registration in its replica, and therefore also the term. */
static void
classify_registered_machines(MmScheduler *scheduler, MmLedShard *shard) {
  const GPtrArray *machines = scheduler->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired)
      continue;
    if (machine->has_reported && machine->acknowledged_term.v >= shard->term.v)
      mm_scheduler_apply_reported_tasks(scheduler, machine, shard->name);
    else
      g_hash_table_insert(shard->unacknowledged_machines, g_strdup(machine->id.s),
                          GSIZE_TO_POINTER(machine->registered_incarnation));
    machine->acknowledgement_requested_at.us = 0;
  }
  shard->unacknowledged_changed = TRUE;
}

static void
start_leading_shard(MmScheduler *scheduler, const char *name, const MmTeamSettings *team,
                    const MmShard *shard_record) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  MmLedShard *shard = led_shard_new(name, team, shard_record, mm_node_now(scheduler->node));

  g_hash_table_insert(scheduler->led_shards, shard->name, shard);
  for (guint i = 0; i < by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(by_submission, i);
    if (strcmp(job->shard, name) == 0)
      init_job_tasks(scheduler, shard, job);
  }
  classify_registered_machines(scheduler, shard);
  mm_info("shard %s leadership acquired term=%" G_GUINT64_FORMAT " unacknowledged_machines=%u",
          name, shard->term.v, g_hash_table_size(shard->unacknowledged_machines));
  mm_scheduler_check_shard_ready(scheduler, shard);
}

void
mm_scheduler_replica_changed(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;

  for (guint i = 0; i < node->settings->teams->len; i++) {
    const MmTeamSettings *team = &g_array_index(node->settings->teams, MmTeamSettings, i);
    g_autofree char *name = mm_shard_ownership_shard_of_team(&team->name);
    MmLedShard *shard = g_hash_table_lookup(scheduler->led_shards, name);
    gboolean is_leader = mm_shard_ownership_leads(node->shard_ownership, name);
    const MmShard *shard_record = mm_replica_shard(node->replica, name);

    if (shard != NULL && (!is_leader || shard_record->term.v != shard->term.v)) {
      stop_leading_shard(scheduler, name);
      shard = NULL;
    }
    if (shard == NULL && is_leader)
      start_leading_shard(scheduler, name, team, shard_record);
  }
}
