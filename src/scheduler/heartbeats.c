#include "scheduler/heartbeats.h"

#include "machines/machine-health.h"
#include "peers/peer-broadcast.h"
#include "scheduler/led-shards.h"
#include "scheduler/stop-commands.h"
#include "scheduler/task-state.h"

/* When a task completes, the previous sums of its job class are multiplied by this factor. */
#define ESTIMATE_ERROR_DECAY 0.98
/* Maximum number of job classes whose sums are kept. Users name the classes. When one more comes,
 * all sums are forgotten: they soon form again for the classes that are in use. */
#define ESTIMATE_ERRORS_MAX 1024
/* Pause of a task after an error. The pause is doubled with each further error, up to a maximum.
 * Errors beyond TASK_ERRORS_MAX are not counted. */
#define TASK_ERRORS_MAX 10
#define TASK_RETRY_MIN_MS 500
#define TASK_RETRY_MAX_MS 30000
/* Pause of a whole job after JOB_ERRORS_BEFORE_PAUSE errors without a success between them. The
 * pause is doubled with each further error, up to a maximum. */
#define JOB_ERRORS_BEFORE_PAUSE 4
#define JOB_PAUSE_MIN_MS 2000
#define JOB_PAUSE_MAX_MS 60000
#define JOB_PAUSE_DOUBLINGS_MAX 5
/* Pause of a task that its machine reported as not found. */
#define MISSING_TASK_RETRY_MS 2000
/* A heartbeat response repeats a stop command only when the command was last sent longer ago than
 * this. */
#define STOP_REPEAT_MS 500

/* Adds the run time of a completed task to the sums of its job class. Older tasks count less,
 * because users' estimates may be too high on one day and too low on the next. */
static void
update_estimate_error(MmScheduler *scheduler, const MmJob *job, double ran_s) {
  MmEstimateError *estimate_error
      = g_hash_table_lookup(scheduler->estimate_errors, job->spec.job_class.s);

  if (job->spec.run_estimate_s <= 0)
    return;
  if (estimate_error == NULL) {
    if (g_hash_table_size(scheduler->estimate_errors) >= ESTIMATE_ERRORS_MAX)
      g_hash_table_remove_all(scheduler->estimate_errors);
    estimate_error = g_new0(MmEstimateError, 1);
    g_hash_table_insert(scheduler->estimate_errors, g_strdup(job->spec.job_class.s),
                        estimate_error);
  }
  estimate_error->actual_s = estimate_error->actual_s * ESTIMATE_ERROR_DECAY + ran_s;
  estimate_error->estimated_s
      = estimate_error->estimated_s * ESTIMATE_ERROR_DECAY + job->spec.run_estimate_s;
}

static void
task_done(MmScheduler *scheduler, MmJob *job, guint number) {
  const MmTask *task = mm_job_task(job, number);
  MmTime now = mm_node_now(scheduler->node);

  if (task->state == MM_TASK_DONE || job->spec.kind == MM_JOB_KIND_SERVICE)
    return;
  if (task->state == MM_TASK_RUNNING) {
    double ran_s = (double)mm_time_ms_since(now, task->state_since) / 1000.0;
    job->observed_run_s_sum += ran_s;
    job->n_observed_runs++;
    update_estimate_error(scheduler, job, ran_s);
  }
  mm_scheduler_set_task_done(scheduler, job, number);
  job->n_consecutive_errors = 0;
  if (job->unwritten_since.us == 0)
    job->unwritten_since = now;
}

static void
pause_after_error(MmJob *job, MmTask *task, const MmMachine *machine, MmTime now) {
  guint n_doublings;

  task->n_errors = MIN(task->n_errors + 1, TASK_ERRORS_MAX);
  task->last_failed_on = machine->id;
  task->retry_not_before
      = mm_time_add_ms(now, MIN(TASK_RETRY_MIN_MS << task->n_errors, TASK_RETRY_MAX_MS));
  if (++job->n_consecutive_errors < JOB_ERRORS_BEFORE_PAUSE)
    return;
  /* A job that fails on every machine is paused, because it must not occupy all machines. */
  n_doublings = MIN(job->n_consecutive_errors - JOB_ERRORS_BEFORE_PAUSE, JOB_PAUSE_DOUBLINGS_MAX);
  job->paused_until = mm_time_add_ms(now, MIN(JOB_PAUSE_MIN_MS << n_doublings, JOB_PAUSE_MAX_MS));
}

/* Makes a task pending again after the task has ended on the machine without a result. The cause of
 * the end determines how soon and on which machines the task may start again. */
static void
task_ended(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine, MmEndCause cause) {
  MmTask *task = mm_job_edit_task(job, number);
  MmTime now = mm_node_now(scheduler->node);

  mm_scheduler_unplace_task(scheduler, job, number);
  switch (cause) {
  case MM_CAUSE_ERROR:
    pause_after_error(job, task, machine, now);
    break;
  case MM_CAUSE_NO_RESOURCES:
    /* This node overestimated the machine's free resources. The machine gets no starts until the
     * heartbeat after its next one, which shows the free resources correctly. */
    machine->no_starts_until = mm_time_add_ms(now, mm_scheduler_heartbeat_interval_ms(scheduler));
    break;
  case MM_CAUSE_NO_SUCH_TASK:
    /* The user has not uploaded the task yet, or never will. */
    task->retry_not_before = mm_time_add_ms(now, MISSING_TASK_RETRY_MS);
    break;
  case MM_CAUSE_OTHER_ATTEMPT: /* the same heartbeat reports the other attempt */
  case MM_CAUSE_GANG_INCOMPLETE:
  case MM_CAUSE_GANG_PEER_ENDED:
  case MM_CAUSE_STOPPED:
  default:
    break;
  }
}

static MmTaskState
state_of_reported(guint8 reported_state) {
  static const MmTaskState map[]
      = { MM_TASK_FETCHING, MM_TASK_WAITING_FOR_GANG, MM_TASK_RUNNING, MM_TASK_CHECKPOINTING };
  return map[MIN(reported_state, MM_REPORTED_CHECKPOINTING)];
}

static void
apply_reported_task(MmScheduler *scheduler, MmMachine *machine, MmJob *job,
                    const MmReportedTask *reported) {
  const MmTask *task = mm_job_task(job, reported->number);
  gboolean is_same_attempt = task->machine == machine && task->attempt.v == reported->attempt.v;

  if (reported->state == MM_REPORTED_ENDED) {
    if (reported->cause == MM_CAUSE_DONE && (is_same_attempt || !mm_task_is_live(task->state)))
      task_done(scheduler, job, reported->number);
    else if (is_same_attempt && mm_task_is_live(task->state))
      task_ended(scheduler, job, reported->number, machine, reported->cause);
    return;
  }
  if (is_same_attempt || !mm_task_is_live(task->state) || task->state == MM_TASK_PLACE_RESERVED
      || task->machine == machine) {
    if (task->state == MM_TASK_DONE)
      return; /* queue_commands stops this attempt */
    if (is_same_attempt && task->state == MM_TASK_START_SENT)
      machine->consecutive_refused_starts = 0;
    mm_scheduler_place_task(scheduler, job, reported->number, machine,
                            state_of_reported(reported->state), reported->attempt);
    return;
  }
  /* A newer attempt is approved only when the older attempt has certainly ended. If two attempts
   * are reported, the report of the older attempt therefore comes from a late heartbeat. */
  if (reported->attempt.v > task->attempt.v) {
    mm_info("task %s/%u reported with newer attempt machine=%s replaced=%s", job->spec.id.s,
            reported->number, machine->id.s, task->machine->id.s);
    mm_scheduler_place_task(scheduler, job, reported->number, machine,
                            state_of_reported(reported->state), reported->attempt);
    return;
  }
  mm_info("task %s/%u report of older attempt ignored machine=%s placed=%s", job->spec.id.s,
          reported->number, machine->id.s, task->machine->id.s);
}

void
mm_scheduler_apply_reported_tasks(MmScheduler *scheduler, MmMachine *machine,
                                  const char *only_shard) {
  gboolean must_reapply = FALSE;

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    MmJob *job = mm_job_table_find(scheduler->node->job_table, reported->job.s);
    must_reapply = must_reapply || job == NULL || reported->state == MM_REPORTED_ENDED;
    if (job == NULL || job->tasks == NULL || reported->number >= job->spec.n_tasks)
      continue;
    if (only_shard == NULL || strcmp(only_shard, job->shard) == 0)
      apply_reported_task(scheduler, machine, job, reported);
    must_reapply = must_reapply || mm_job_task(job, reported->number)->machine != machine;
  }
  /* The same report must be applied again in two cases. A job's record may arrive after the
   * heartbeat that reports the job's tasks. A result may count only after another attempt of the
   * task has left its machine. */
  machine->must_reapply_tasks = must_reapply;
}

/* Returns whether a heartbeat that does not report the task proves that the machine did not execute
 * the task's start. The heartbeat is a proof if it is from a newer incarnation, or if it was sent
 * after the heartbeat whose response carried the start.
 *
 * A direct reply from the same incarnation proves nothing, because the start may still be in
 * flight. */
static gboolean
is_start_refused(const MmTask *task, const MmHeartbeat *heartbeat) {
  return heartbeat->heartbeat_id.incarnation > task->start_heartbeat_id.incarnation
         || (!heartbeat->is_direct_reply
             && mm_heartbeat_id_is_newer(heartbeat->heartbeat_id, task->start_heartbeat_id));
}

/* Makes tasks pending again if the tasks are placed on the machine but missing from the heartbeat.
 * Leaves out tasks with a reserved place and tasks whose starts may still be in flight. */
static void
unplace_missing_tasks(MmScheduler *scheduler, MmMachine *machine, const MmHeartbeat *heartbeat) {
  for (guint i = machine->placed_tasks->len; i > 0; i--) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i - 1);
    MmJob *job = placed->job;
    guint number = placed->number;
    const MmTask *task = placed->task;

    if (task->state == MM_TASK_PLACE_RESERVED
        || mm_machine_find_reported_task(machine, &job->spec.id, number, task->attempt) != NULL)
      continue;
    if (task->state == MM_TASK_START_SENT) {
      if (!is_start_refused(task, heartbeat))
        continue;
      mm_debug("task %s/%u start not carried out machine=%s", job->spec.id.s, number,
               machine->id.s);
      if (heartbeat->heartbeat_id.incarnation == task->start_heartbeat_id.incarnation)
        mm_machine_health_record_refused_start(scheduler->node->machine_table, machine);
    }
    mm_scheduler_unplace_task(scheduler, job, number);
  }
}

/* Returns whether the machine may discard its entry of the ended task. If the result of the task
 * still counts, the key-value store must contain the result first. */
static gboolean
may_forget_ended_task(const MmJob *job, const MmReportedTask *reported) {
  return reported->cause != MM_CAUSE_DONE || job->spec.kind == MM_JOB_KIND_SERVICE
         || mm_completed_tasks_contains(&job->recorded_completed, reported->number)
         || job->is_cancelled;
}

/* Returns whether the response must stop a task that the heartbeat reports as not ended. */
static gboolean
must_stop_task(const MmScheduler *scheduler, const MmMachine *machine, const MmJob *job,
               const MmReportedTask *reported) {
  const MmTask *task = mm_job_task(job, reported->number);
  MmTime now = mm_node_now(scheduler->node);

  return job->is_cancelled || task->state == MM_TASK_DONE
         || (task->is_stopping && task->machine == machine
             && mm_time_ms_since(now, task->stop_sent_at) > STOP_REPEAT_MS
             && reported->state != MM_REPORTED_CHECKPOINTING);
}

/* Sets `command` to the command that the reported task requires. If the task is stopped because
 * of a termination notice, also marks the task as stopping. Returns FALSE when no command is
 * required. */
static gboolean
command_for_reported_task(MmScheduler *scheduler, const MmMachine *machine,
                          const MmReportedTask *reported, MmCommand *command) {
  MmJob *job = mm_job_table_find(scheduler->node->job_table, reported->job.s);
  const MmTask *task;

  if (job == NULL || job->tasks == NULL || reported->number >= job->spec.n_tasks)
    return FALSE;
  *command = (MmCommand){ .op = MM_OP_FORGET,
                          .job = reported->job,
                          .number = reported->number,
                          .attempt = reported->attempt };
  if (reported->state == MM_REPORTED_ENDED)
    return may_forget_ended_task(job, reported);
  command->op = MM_OP_STOP;
  command->grace_s = mm_scheduler_stop_grace_s(job);
  if (must_stop_task(scheduler, machine, job, reported))
    return TRUE;
  task = mm_job_task(job, reported->number);
  if (!machine->has_termination_notice || task->is_stopping || task->machine != machine)
    return FALSE;
  /* The cloud is about to take the machine back. A task that is stopped now can save a checkpoint,
   * or at least starts sooner on another machine. */
  mm_scheduler_mark_stopping(scheduler, job, reported->number);
  return TRUE;
}

/* Queues the commands that the tasks in the newest heartbeat require. The commands are sent in the
 * next heartbeat response to the machine, by this node or by the peer that answers the machine's
 * heartbeats. */
static void
queue_commands(MmScheduler *scheduler, MmMachine *machine) {
  g_autoptr(GArray) commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    MmCommand command;
    if (command_for_reported_task(scheduler, machine, reported, &command))
      g_array_append_val(commands, command);
  }
  if (commands->len == 0)
    return;
  if (machine->serving_node == MM_SERVING_NODE_SELF)
    for (guint i = 0; i < commands->len; i++)
      mm_machine_queue_command(machine, machine->latest_message_id.incarnation,
                               &g_array_index(commands, MmCommand, i));
  else if (machine->serving_node >= 0)
    mm_peer_links_send_commands(scheduler->node->peer_links, (guint)machine->serving_node, machine,
                                commands);
}

/* Returns whether the machine has acknowledged the shard's term. A machine whose incarnation is
 * newer than the one registered when the shard was acquired also counts, for two reasons. The tasks
 * of the old incarnation have ended. A start for the new incarnation requires its registry entry,
 * and only a node that has seen the shard's term can have read this entry. */
static gboolean
has_acknowledged_term(const MmLedShard *shard, const MmMachine *machine) {
  gpointer registered_incarnation;

  return machine->acknowledged_term.v >= shard->term.v
         || (g_hash_table_lookup_extended(shard->unacknowledged_machines, machine->id.s, NULL,
                                          &registered_incarnation)
             && machine->latest_message_id.incarnation > GPOINTER_TO_SIZE(registered_incarnation));
}

void
mm_scheduler_heartbeat_received(MmScheduler *scheduler, MmMachine *machine,
                                const MmHeartbeat *heartbeat, gboolean tasks_changed) {
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size(scheduler->led_shards) == 0)
    return;
  if (tasks_changed || machine->must_reapply_tasks)
    mm_scheduler_apply_reported_tasks(scheduler, machine, NULL);
  unplace_missing_tasks(scheduler, machine, heartbeat);
  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmLedShard *shard = value;
    if (!shard->is_ready && has_acknowledged_term(shard, machine)
        && g_hash_table_remove(shard->unacknowledged_machines, machine->id.s)) {
      shard->unacknowledged_changed = TRUE;
      mm_scheduler_check_shard_ready(scheduler, shard);
    }
  }
  queue_commands(scheduler, machine);
}

void
mm_scheduler_machine_gone(MmScheduler *scheduler, MmMachine *machine) {
  GHashTableIter iter;
  gpointer value;

  while (machine->placed_tasks->len > 0) {
    const MmPlacedTask *placed
        = g_ptr_array_index(machine->placed_tasks, machine->placed_tasks->len - 1);
    mm_scheduler_unplace_task(scheduler, placed->job, placed->number);
  }
  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmLedShard *shard = value;
    if (g_hash_table_remove(shard->unacknowledged_machines, machine->id.s)) {
      shard->unacknowledged_changed = TRUE;
      mm_scheduler_check_shard_ready(scheduler, shard);
    }
  }
}
