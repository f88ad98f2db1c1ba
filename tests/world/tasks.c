/* Life cycle of the tasks on simulated machines. */
#include "world/internal.h"

/* How long a task waits until all tasks of its gang are present. */
#define GANG_WAIT_S 20

/* Names of MmEndCause in the protocol. */
static const char *const cause_names[]
    = { "", "done", "halted", "peers", "alone", "error", "no_room", "busy", "no_such" };

const char *
world_task_cause_name(const WorldTask *task) {
  return cause_names[task->cause];
}

WorldTask *
world_machine_find_task(WorldMachine *machine, const WorldJob *job, guint number, guint64 attempt) {
  for (guint i = 0; i < machine->tasks->len; i++) {
    WorldTask *task = g_ptr_array_index(machine->tasks, i);
    if (task->job == job && task->number == number && task->attempt == attempt)
      return task;
  }
  return NULL;
}

static void
notify_observer(const WorldMachine *machine, const WorldTask *task, WorldTaskEvent event) {
  if (machine->world->observe_task != NULL)
    machine->world->observe_task(machine->world->observer_data, machine, task, event);
}

static void end_gang_peers(World *world, const WorldTask *task, guint8 cause);

/* Records that the task is done. All tasks of a gang are done together, even those of a
 * suspended worker. */
static void
record_done(const WorldTask *task) {
  WorldJob *job = task->job;

  for (guint i = 0; i < job->spec.n_tasks; i++) {
    if (i != task->number && job->spec.kind != MM_JOB_KIND_GANG)
      continue;
    job->n_done += !job->is_task_done[i];
    job->is_task_done[i] = TRUE;
  }
}

void
world_task_end(WorldMachine *machine, WorldTask *task, guint8 cause) {
  gboolean was_running = task->state == MM_REPORTED_RUNNING;
  gboolean was_on_machine = world_task_is_on_machine(task);

  mm_debug("world: task %s/%u ended machine=%s cause=%s", task->job->id, task->number, machine->id,
           cause_names[cause]);
  task->state = MM_REPORTED_ENDED;
  task->cause = cause;
  machine->has_changed = TRUE;
  if (was_on_machine)
    notify_observer(machine, task, WORLD_TASK_ENDS);
  if (cause == MM_CAUSE_DONE)
    record_done(task);
  if (cause == MM_CAUSE_DONE && task->job->n_done == task->job->spec.n_tasks && was_running
      && !task->job->is_cancel_requested
      && world_uniform(machine->world, 0, 1) < machine->world->cancel_at_end_rate)
    world_cancel(task->job);
  if (was_running)
    end_gang_peers(machine->world, task,
                   cause == MM_CAUSE_DONE ? MM_CAUSE_DONE : MM_CAUSE_GANG_PEER_ENDED);
}

/* Ends the other running tasks of the gang that belong to the same attempt. The reason is that the
 * tasks of a gang complete together, and all of them end when one task is lost. */
static void
end_gang_peers(World *world, const WorldTask *task, guint8 cause) {
  if (task->job->spec.kind != MM_JOB_KIND_GANG)
    return;
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *other = world_machine_at(world, i);
    for (guint k = 0; k < other->tasks->len; k++) {
      WorldTask *peer = g_ptr_array_index(other->tasks, k);
      if (peer != task && peer->job == task->job && peer->attempt == task->attempt
          && peer->state == MM_REPORTED_RUNNING)
        world_task_end(other, peer, cause);
    }
  }
}

void
world_machine_clear_tasks(WorldMachine *machine) {
  g_autoptr(GPtrArray) tasks = machine->tasks;

  /* The machine's task list is emptied first, because end_gang_peers() also searches this machine.
   */
  machine->tasks = g_ptr_array_new();
  for (guint i = 0; i < tasks->len; i++) {
    WorldTask *task = g_ptr_array_index(tasks, i);
    if (world_task_is_on_machine(task))
      notify_observer(machine, task, WORLD_TASK_ENDS);
    if (task->state == MM_REPORTED_RUNNING)
      end_gang_peers(machine->world, task, MM_CAUSE_GANG_PEER_ENDED);
    g_free(task);
  }
}

/* Returns the cause for which the machine refuses to start the task, or 0 if the machine accepts
 * the task. */
static guint8
refusal_cause(const WorldMachine *machine, const WorldJob *job, guint number) {
  double cores = world_type_cores(machine->type);
  double memory_gb = cores * WORLD_MEMORY_GB_PER_CORE;
  gboolean has_other_attempt = FALSE;

  for (guint i = 0; i < machine->tasks->len; i++) {
    const WorldTask *other = g_ptr_array_index(machine->tasks, i);
    if (other->state == MM_REPORTED_ENDED)
      continue;
    cores -= other->job->spec.task_resources.cores;
    memory_gb -= other->job->spec.task_resources.memory_gb;
    has_other_attempt = has_other_attempt || (other->job == job && other->number == number);
  }
  if (has_other_attempt)
    return MM_CAUSE_OTHER_ATTEMPT;
  if (cores < job->spec.task_resources.cores - 1e-9
      || memory_gb < job->spec.task_resources.memory_gb - 1e-9)
    return MM_CAUSE_NO_RESOURCES;
  return 0;
}

void
world_task_start(WorldMachine *machine, WorldJob *job, guint number, guint64 attempt) {
  World *world = machine->world;
  WorldTask *task;

  if (job == NULL || world_machine_find_task(machine, job, number, attempt) != NULL)
    return;
  /* A start command that was sent before the cancellation was confirmed cannot be executed more
   * than 4 s after the confirmation. The reason is that a worker drops responses that arrive more
   * than 4 s after its heartbeat. */
  if (job->user_view == USER_SEES_CANCELLED
      && world->now_us - job->cancelled_at_us > WORLD_HEARTBEAT_TIMEOUT_US + 100000)
    world_report_violation(world, "ran_cancelled: task %s/%u started after its cancellation",
                           job->id, number);
  job->n_starts++;
  job->last_start_at_us = world->now_us;
  task = g_new0(WorldTask, 1);
  task->job = job;
  task->number = number;
  task->attempt = attempt;
  task->cause = refusal_cause(machine, job, number);
  world->n_refused_no_resources += task->cause == MM_CAUSE_NO_RESOURCES;
  if (task->cause == MM_CAUSE_NO_RESOURCES && world->group_count > 0)
    world_report_violation(world, "granted_twice: machine %s lacks the resources for task %s/%u",
                           machine->id, job->id, number);
  g_ptr_array_add(machine->tasks, task);
  machine->has_changed = TRUE;
  if (task->cause != 0) {
    task->state = MM_REPORTED_ENDED;
    notify_observer(machine, task, WORLD_TASK_REFUSED);
    return;
  }
  task->state = MM_REPORTED_FETCHING;
  task->next_change_at_us
      = world->now_us + (gint64)(world_uniform(world, 0.05, 1.5) * G_USEC_PER_SEC);
}

static gboolean
is_gang_complete(World *world, const WorldTask *task) {
  guint n_present = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    for (guint k = 0; k < machine->tasks->len; k++) {
      const WorldTask *peer = g_ptr_array_index(machine->tasks, k);
      n_present
          += peer->job == task->job && peer->attempt == task->attempt
             && (peer->state == MM_REPORTED_WAITING_FOR_GANG || peer->state == MM_REPORTED_RUNNING);
    }
  }
  return n_present == task->job->spec.n_tasks;
}

static void
record_start(WorldMachine *machine, WorldTask *task) {
  World *world = machine->world;

  world->n_starts++;
  mm_debug("world: task %s/%u started machine=%s attempt=%" G_GUINT64_FORMAT, task->job->id,
           task->number, machine->id, task->attempt);
  world_check_start(world, machine, task);
  notify_observer(machine, task, WORLD_TASK_STARTS);
}

/* Starts the task after its image has been fetched. If the task is already done, the new attempt
 * ends immediately, because a task that is done keeps its result. */
static void
finish_fetching(WorldMachine *machine, WorldTask *task) {
  World *world = machine->world;

  record_start(machine, task);
  if (task->job->is_task_done[task->number]) {
    task->state = MM_REPORTED_WAITING_FOR_GANG;
    world_task_end(machine, task, MM_CAUSE_DONE);
    return;
  }
  machine->has_changed = TRUE;
  if (task->job->spec.kind == MM_JOB_KIND_GANG && task->job->spec.n_tasks > 1) {
    task->state = MM_REPORTED_WAITING_FOR_GANG;
    task->remaining_s = GANG_WAIT_S;
    task->next_change_at_us = world->now_us;
    return;
  }
  task->state = MM_REPORTED_RUNNING;
  task->remaining_s
      = task->job->run_s * world_uniform(world, 0.8, 1.2) + task->number * task->job->stagger_s;
  task->next_change_at_us = world->now_us + (gint64)(task->remaining_s * G_USEC_PER_SEC);
}

static void
wait_for_gang(WorldMachine *machine, WorldTask *task) {
  World *world = machine->world;

  task->remaining_s -= 0.05;
  if (is_gang_complete(world, task)) {
    machine->has_changed = TRUE;
    task->state = MM_REPORTED_RUNNING;
    task->next_change_at_us = world->now_us + (gint64)(task->job->run_s * G_USEC_PER_SEC);
  } else if (task->remaining_s < 0) {
    world_task_end(machine, task, MM_CAUSE_GANG_INCOMPLETE);
  }
}

void
world_task_advance(WorldMachine *machine, WorldTask *task) {
  World *world = machine->world;

  if (world->now_us < task->next_change_at_us || task->state == MM_REPORTED_ENDED)
    return;
  if (task->state == MM_REPORTED_FETCHING)
    finish_fetching(machine, task);
  else if (task->state == MM_REPORTED_WAITING_FOR_GANG)
    wait_for_gang(machine, task);
  else if (task->job->spec.kind == MM_JOB_KIND_SERVICE)
    return;
  else if (!task->job->is_task_done[task->number]
           && world_uniform(world, 0, 1) < machine->failure_rate)
    world_task_end(machine, task, MM_CAUSE_ERROR);
  else
    world_task_end(machine, task, MM_CAUSE_DONE);
}
