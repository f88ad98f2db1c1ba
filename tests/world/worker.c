/* The simulated workers, one a machine, by the protocol's page: heartbeats, commands, tasks,
 * leases. */
#include "world/world.h"

#include <stdlib.h>

#include "base/wire.h"

#define TIMEOUT_US (4 * (gint64)G_USEC_PER_SEC)

static const char *const reported_state_words[]
    = { "fetching", "gathering", "running", "flushing", "ended" };
static const char *const cause_words[]
    = { "", "done", "halted", "peers", "alone", "error", "no_room", "busy", "no_such" };

static void worker_tick(gpointer data);

WorldMachine *
world_find_machine_by_address(World *world, const char *address) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = g_ptr_array_index(world->machines, i);
    if (machine->is_up && strcmp(machine->address, address) == 0)
      return machine;
  }
  return NULL;
}

void
world_machine_boot(gpointer data) {
  WorldMachine *machine = data;
  World *world = machine->world;

  if (machine->is_terminated || machine->has_failed)
    return;
  machine->is_up = TRUE;
  machine->incarnation++;
  machine->lease_renewed_at_us = world->now_us;
  machine->serving_node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  worker_tick(machine);
}

json_t *
world_machine_heartbeat(WorldMachine *machine) {
  World *world = machine->world;
  json_t *tasks = json_array();
  json_t *heartbeat;

  machine->sequence++;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WorldTask *task = g_ptr_array_index(machine->tasks, i);
    g_autofree char *name = g_strdup_printf("%s/%u", task->job->id, task->number);
    json_t *item
        = json_pack("{s:s, s:I, s:s}", WIRE_TASK, name, WIRE_ATTEMPT, (json_int_t)task->attempt,
                    WIRE_STATE, reported_state_words[task->state]);
    if (task->state == MM_REPORTED_ENDED)
      json_object_set_new(item, WIRE_CAUSE, json_string(cause_words[task->cause]));
    json_array_append_new(tasks, item);
  }
  heartbeat = json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:o}", WIRE_MACHINE, machine->id,
                        WIRE_ADDR, machine->address, WIRE_TYPE, machine->type, WIRE_ZONE,
                        machine->zone, WIRE_SPOT, machine->is_spot, WIRE_SESSION,
                        (json_int_t)machine->incarnation, WIRE_SEQ, (json_int_t)machine->sequence,
                        WIRE_TOKEN, (json_int_t)machine->fencing_token, "kits", tasks);
  if (machine->notice_at_us != 0)
    json_object_set_new(
        heartbeat, WIRE_NOTICE,
        json_real((double)(machine->reclaimed_at_us - world->now_us) / G_USEC_PER_SEC));
  return heartbeat;
}

static WorldTask *
find_task(WorldMachine *machine, const WorldJob *job, guint number, guint64 attempt,
          gboolean any_attempt) {
  for (guint i = 0; i < machine->tasks->len; i++) {
    WorldTask *task = g_ptr_array_index(machine->tasks, i);
    if (task->job == job && task->number == number && (any_attempt || task->attempt == attempt))
      return task;
  }
  return NULL;
}

static void end_gang_peers(World *world, const WorldTask *task, guint8 cause);

static void
notify_observer(const WorldMachine *machine, const WorldTask *task, WorldTaskEvent event) {
  if (machine->world->observe_task != NULL)
    machine->world->observe_task(machine->world->observer_data, machine, task, event);
}

static void
end_task(WorldMachine *machine, WorldTask *task, guint8 cause) {
  gboolean was_running = task->state == MM_REPORTED_RUNNING;
  gboolean was_on = world_task_is_on_machine(task);

  mm_debug("world: %s/%u ends on %s: %s", task->job->id, task->number, machine->id,
           cause_words[cause]);
  task->state = MM_REPORTED_ENDED;
  task->cause = cause;
  machine->has_changed = TRUE;
  if (was_on)
    notify_observer(machine, task, WORLD_TASK_ENDS);
  /* When one task of a gang is done, all are, also one whose machine hangs. */
  for (guint i = 0; cause == MM_CAUSE_DONE && i < task->job->spec.n_tasks; i++)
    if (i == task->number || task->job->spec.kind == MM_JOB_KIND_GANG) {
      task->job->n_done += !task->job->is_task_done[i];
      task->job->is_task_done[i] = TRUE;
    }
  if (cause == MM_CAUSE_DONE && task->job->n_done == task->job->spec.n_tasks && was_running
      && !task->job->is_cancel_requested
      && world_uniform(machine->world, 0, 1) < machine->world->cancel_at_end_rate)
    world_cancel(task->job);
  if (was_running)
    end_gang_peers(machine->world, task,
                   cause == MM_CAUSE_DONE ? MM_CAUSE_DONE : MM_CAUSE_GANG_PEER_ENDED);
}

/* Gangs complete together and notice a loss together. */
static void
end_gang_peers(World *world, const WorldTask *task, guint8 cause) {
  if (task->job->spec.kind != MM_JOB_KIND_GANG)
    return;
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *other = g_ptr_array_index(world->machines, i);
    for (guint k = 0; k < other->tasks->len; k++) {
      WorldTask *peer = g_ptr_array_index(other->tasks, k);
      if (peer != task && peer->job == task->job && peer->attempt == task->attempt
          && peer->state == MM_REPORTED_RUNNING)
        end_task(other, peer, cause);
    }
  }
}

void
world_machine_clear_tasks(WorldMachine *machine) {
  g_autoptr(GPtrArray) tasks = machine->tasks;

  /* The peers of a gang task notice its end. */
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

static void
execute_start(WorldMachine *machine, WorldJob *job, guint number, guint64 attempt) {
  World *world = machine->world;
  WorldTask *task;
  double cores = strcmp(machine->type, "small") == 0 ? 4 : 16;
  double memory = cores * 4;

  if (job == NULL || find_task(machine, job, number, attempt, FALSE) != NULL)
    return;
  /* Workers drop answers after 4 s: none that was under way at the cancellation arrives so late. */
  if (job->user_view == USER_SEES_CANCELLED
      && world->now_us - job->cancelled_at_us > TIMEOUT_US + 100000)
    world_report_violation(world, "ran_cancelled: %s/%u is started after its cancellation", job->id,
                           number);
  job->n_starts++;
  job->last_start_at_us = world->now_us;
  task = g_new0(WorldTask, 1);
  task->job = job;
  task->number = number;
  task->attempt = attempt;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WorldTask *other = g_ptr_array_index(machine->tasks, i);
    if (other->state == MM_REPORTED_ENDED)
      continue;
    cores -= other->job->spec.task_resources.cores;
    memory -= other->job->spec.task_resources.memory_gb;
    if (other->job == job && other->number == number)
      task->cause = MM_CAUSE_OTHER_ATTEMPT;
  }
  if (task->cause == 0
      && (cores < job->spec.task_resources.cores - 1e-9
          || memory < job->spec.task_resources.memory_gb - 1e-9))
    task->cause = MM_CAUSE_NO_RESOURCES;
  world->n_no_resources += task->cause == MM_CAUSE_NO_RESOURCES;
  if (task->cause == MM_CAUSE_NO_RESOURCES && world->group_count > 0)
    world_report_violation(world, "granted twice: %s has no resources for %s/%u", machine->id,
                           job->id, number);
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

static void
execute_commands(WorldMachine *machine, const json_t *commands) {
  size_t i;
  json_t *item;

  json_array_foreach(commands, i, item) {
    const char *op = mm_json_string(item, WIRE_OP), *text = mm_json_string(item, WIRE_TASK);
    const char *slash = strrchr(text, '/');
    g_autofree char *id = g_strndup(text, (gsize)(slash - text));
    guint number = (guint)atoi(slash + 1);
    guint64 attempt = mm_json_count(item, WIRE_ATTEMPT, 0);
    WorldJob *job = world_find_job(machine->world, id);
    WorldTask *task = job != NULL ? find_task(machine, job, number, attempt, FALSE) : NULL;

    if (strcmp(op, WIRE_START) == 0) {
      execute_start(machine, job, number, attempt);
    } else if (task != NULL && strcmp(op, WIRE_STOP) == 0) {
      machine->world->n_stops++;
      machine->world->last_stop_grace_s = mm_json_number(item, WIRE_GRACE, 0);
      if (task->state != MM_REPORTED_ENDED)
        end_task(machine, task, MM_CAUSE_STOPPED);
    } else if (task != NULL && strcmp(op, WIRE_FORGET) == 0 && task->state == MM_REPORTED_ENDED) {
      g_ptr_array_remove(machine->tasks, task);
      g_free(task);
      machine->has_changed = TRUE;
    }
  }
}

int
world_machine_handle_direct(WorldMachine *machine, const json_t *body, json_t **response) {
  guint64 fencing_token = mm_json_count(body, WIRE_TOKEN, 0);
  size_t i;
  json_t *item;

  /* Starts are never sent as direct commands: one could be executed minutes late. */
  json_array_foreach(json_object_get(body, WIRE_COMMANDS), i,
                     item) if (g_strcmp0(mm_json_string(item, WIRE_OP), WIRE_START) == 0)
      world_report_violation(machine->world, "a start was sent as a direct command to %s",
                             machine->id);
  if (fencing_token < machine->fencing_token
      || mm_json_count(body, WIRE_SESSION, 0) != machine->incarnation) {
    *response = world_machine_heartbeat(machine);
    return 409;
  }
  machine->has_changed = machine->has_changed || fencing_token > machine->fencing_token;
  machine->fencing_token = fencing_token;
  execute_commands(machine, json_object_get(body, WIRE_COMMANDS));
  *response = world_machine_heartbeat(machine);
  return 200;
}

/* ---- heartbeats ---- */

typedef struct {
  WorldMachine *machine;
  guint64 heartbeat_number;
  guint64 incarnation;
  gint64 sent_us;
} HeartbeatRequest;

static void
on_heartbeat_response(gpointer data, int status, json_t *body) {
  HeartbeatRequest *request = data;
  WorldMachine *machine = request->machine;
  World *world = machine->world;
  guint64 fencing_token = mm_json_count(body, WIRE_TOKEN, 0);
  const char *redirect_label = mm_json_string(body, WIRE_REPORT_TO);

  if (machine->is_up && machine->heartbeat_number == request->heartbeat_number) {
    machine->is_heartbeat_in_flight = FALSE;
    if (status == 200) {
      if (machine->incarnation == request->incarnation && fencing_token != 0
          && fencing_token >= machine->fencing_token) {
        machine->fencing_token = fencing_token;
        machine->lease_renewed_at_us = request->sent_us;
        execute_commands(machine, json_object_get(body, WIRE_COMMANDS));
      }
    } else if (status == 421 && redirect_label != NULL) {
      machine->serving_node = (guint)atoi(redirect_label + 2);
      machine->next_heartbeat_at_us = world->now_us + 100000;
    } else {
      machine->serving_node = (machine->serving_node + 1) % WORLD_NODES;
      machine->next_heartbeat_at_us = world->now_us + G_USEC_PER_SEC;
    }
  }
  g_free(request);
}

static void
on_connect_failure(gpointer data) {
  on_heartbeat_response(data, 0, NULL);
}

static void
send_heartbeat(WorldMachine *machine) {
  World *world = machine->world;
  HeartbeatRequest *request = g_new(HeartbeatRequest, 1);

  *request = (HeartbeatRequest){ machine, ++machine->heartbeat_number, machine->incarnation,
                                 world->now_us };
  world->n_heartbeats++;
  machine->is_heartbeat_in_flight = TRUE;
  machine->has_changed = FALSE;
  machine->last_heartbeat_at_us = world->now_us;
  machine->next_heartbeat_at_us
      = world->now_us
        + (gint64)(world->heartbeat_interval_s * world_uniform(world, 0.75, 1.25) * G_USEC_PER_SEC);
  if (world->now_us < machine->outbound_lost_until_us)
    world_schedule(world, world->now_us + 500000, on_connect_failure, request);
  else
    world_send_request(world, machine->serving_node, machine, "POST", WIRE_REPORT_PATH,
                       world_machine_heartbeat(machine), TIMEOUT_US, on_heartbeat_response,
                       request);
}

/* ---- tasks ---- */

static gboolean
is_gang_complete(World *world, const WorldTask *task) {
  guint n_present = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = g_ptr_array_index(world->machines, i);
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
advance_task(WorldMachine *machine, WorldTask *task) {
  World *world = machine->world;

  if (world->now_us < task->next_change_at_us || task->state == MM_REPORTED_ENDED)
    return;
  if (task->state == MM_REPORTED_FETCHING && task->job->is_task_done[task->number]) {
    world->n_starts++;
    world_check_start(world, machine, task);
    notify_observer(machine, task, WORLD_TASK_STARTS);
    task->state = MM_REPORTED_WAITING_FOR_GANG;
    end_task(machine, task, MM_CAUSE_DONE);
    return;
  }
  if (task->state == MM_REPORTED_FETCHING) {
    machine->has_changed = TRUE;
    world->n_starts++;
    mm_debug("world: %s/%u is on %s, attempt %" G_GUINT64_FORMAT, task->job->id, task->number,
             machine->id, task->attempt);
    world_check_start(world, machine, task);
    notify_observer(machine, task, WORLD_TASK_STARTS);
    if (task->job->spec.kind == MM_JOB_KIND_GANG && task->job->spec.n_tasks > 1) {
      task->state = MM_REPORTED_WAITING_FOR_GANG;
      task->remaining_s = 20;
      task->next_change_at_us = world->now_us;
      return;
    }
    task->state = MM_REPORTED_RUNNING;
    task->remaining_s
        = task->job->run_s * world_uniform(world, 0.8, 1.2) + task->number * task->job->stagger_s;
    task->next_change_at_us = world->now_us + (gint64)(task->remaining_s * G_USEC_PER_SEC);
    return;
  }
  if (task->state == MM_REPORTED_WAITING_FOR_GANG) {
    task->remaining_s -= 0.05;
    if (is_gang_complete(world, task)) {
      machine->has_changed = TRUE;
      task->state = MM_REPORTED_RUNNING;
      task->next_change_at_us = world->now_us + (gint64)(task->job->run_s * G_USEC_PER_SEC);
    } else if (task->remaining_s < 0) {
      end_task(machine, task, MM_CAUSE_GANG_INCOMPLETE);
    }
    return;
  }
  if (task->job->spec.kind == MM_JOB_KIND_SERVICE)
    return;
  if (!task->job->is_task_done[task->number] && world_uniform(world, 0, 1) < machine->failure_rate)
    end_task(machine, task, MM_CAUSE_ERROR);
  else
    end_task(machine, task, MM_CAUSE_DONE);
}

static void
worker_tick(gpointer data) {
  WorldMachine *machine = data;
  World *world = machine->world;

  if (!machine->is_up)
    return;
  world_schedule(world, world->now_us + 50000, worker_tick, machine);
  if (machine->notice_at_us != 0 && world->now_us >= machine->reclaimed_at_us) {
    world_kill_machine(world, machine);
    machine->is_terminated = TRUE;
    return;
  }
  if ((double)(world->now_us - machine->lease_renewed_at_us) > world->lease_s * G_USEC_PER_SEC) {
    mm_debug("world: the lease of %s has run out", machine->id);
    world_machine_clear_tasks(machine);
    machine->incarnation++;
    machine->lease_renewed_at_us = world->now_us;
    machine->has_changed = TRUE;
  }
  /* The lease ends also while the machine hangs: it may resume within its lease only. */
  if (world->now_us < machine->hung_until_us)
    return;
  for (guint i = 0; i < machine->tasks->len; i++)
    advance_task(machine, g_ptr_array_index(machine->tasks, i));
  if (machine->is_heartbeat_in_flight)
    return;
  if (world->now_us >= machine->next_heartbeat_at_us
      || (machine->has_changed && world->now_us - machine->last_heartbeat_at_us >= 500000))
    send_heartbeat(machine);
}
