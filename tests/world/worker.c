/* The simulated workers, one per machine. They implement the worker's side of the protocol:
 * heartbeats, commands and leases. */
#include "world/internal.h"

#include <stdlib.h>

#include "base/wire.h"

/* Maximum length of a request body. */
#define REQUEST_BYTES_MAX (64 * 1024)

/* Names of MmReportedState in the protocol. */
static const char *const reported_state_names[]
    = { "fetching", "gathering", "running", "flushing", "ended" };

static void worker_tick(gpointer data);

WorldMachine *
world_find_machine_by_address(World *world, const char *address) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
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

MmJson *
world_machine_heartbeat(WorldMachine *machine) {
  World *world = machine->world;
  MmJson *tasks = mm_json_new_array();
  MmJson *heartbeat;

  machine->sequence++;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WorldTask *task = g_ptr_array_index(machine->tasks, i);
    g_autofree char *name = g_strdup_printf("%s/%u", task->job->id, task->number);
    MmJson *item
        = mm_json_pack("{s:s, s:I, s:s}", WIRE_TASK, name, WIRE_ATTEMPT, (guint64)task->attempt,
                       WIRE_STATE, reported_state_names[task->state]);
    if (task->state == MM_REPORTED_ENDED)
      mm_json_object_set(item, WIRE_CAUSE, mm_json_new_string(world_task_cause_name(task)));
    mm_json_array_append(tasks, item);
  }
  heartbeat = mm_json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:o}", WIRE_MACHINE,
                           machine->id, WIRE_ADDRESS, machine->address, WIRE_TYPE, machine->type,
                           WIRE_ZONE, machine->zone, WIRE_SPOT, machine->is_spot, WIRE_INCARNATION,
                           (guint64)machine->incarnation, WIRE_SEQUENCE, (guint64)machine->sequence,
                           WIRE_FENCING_TOKEN, (guint64)machine->fencing_token, "kits", tasks);
  if (machine->termination_notice_at_us != 0)
    mm_json_object_set(
        heartbeat, WIRE_TERMINATION_NOTICE,
        mm_json_new_real((double)(machine->reclaimed_at_us - world->now_us) / G_USEC_PER_SEC));
  return heartbeat;
}

static void
execute_commands(WorldMachine *machine, const MmJson *commands) {
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (commands, i, item) {
    const char *kind = mm_json_string(item, WIRE_COMMAND_KIND),
               *task_name = mm_json_string(item, WIRE_TASK);
    const char *slash = strrchr(task_name, '/');
    g_autofree char *id = g_strndup(task_name, (gsize)(slash - task_name));
    guint number = (guint)atoi(slash + 1);
    guint64 attempt = mm_json_count(item, WIRE_ATTEMPT, 0);
    WorldJob *job = world_find_job(machine->world, id);
    WorldTask *task = job != NULL ? world_machine_find_task(machine, job, number, attempt) : NULL;

    if (strcmp(kind, WIRE_START) == 0) {
      world_task_start(machine, job, number, attempt);
    } else if (task != NULL && strcmp(kind, WIRE_STOP) == 0) {
      machine->world->n_stops++;
      machine->world->last_stop_grace_s = mm_json_number(item, WIRE_GRACE, 0);
      if (task->state != MM_REPORTED_ENDED)
        world_task_end(machine, task, MM_CAUSE_STOPPED);
    } else if (task != NULL && strcmp(kind, WIRE_FORGET) == 0 && task->state == MM_REPORTED_ENDED) {
      g_ptr_array_remove(machine->tasks, task);
      g_free(task);
      machine->has_changed = TRUE;
    }
  }
}

int
world_machine_handle_direct(WorldMachine *machine, const MmJson *body, MmJson **response) {
  guint64 fencing_token = mm_json_count(body, WIRE_FENCING_TOKEN, 0);
  size_t i;
  MmJson *item;

  /* Nodes must not send starts as direct commands, because a direct command may be executed minutes
   * late. */
  MM_JSON_ARRAY_FOREACH (mm_json_get(body, WIRE_COMMANDS), i, item)
    if (g_strcmp0(mm_json_string(item, WIRE_COMMAND_KIND), WIRE_START) == 0)
      world_report_violation(machine->world,
                             "direct_start: start command sent as a direct command to machine %s",
                             machine->id);
  if (fencing_token < machine->fencing_token
      || mm_json_count(body, WIRE_INCARNATION, 0) != machine->incarnation) {
    *response = world_machine_heartbeat(machine);
    return 409;
  }
  machine->has_changed = machine->has_changed || fencing_token > machine->fencing_token;
  machine->fencing_token = fencing_token;
  execute_commands(machine, mm_json_get(body, WIRE_COMMANDS));
  *response = world_machine_heartbeat(machine);
  return 200;
}

/* Heartbeats */

typedef struct {
  WorldMachine *machine;
  guint64 heartbeat_number;
  guint64 incarnation;
  gint64 sent_at_us;
} HeartbeatRequest;

static void
on_heartbeat_response(gpointer data, int status, MmJson *body) {
  HeartbeatRequest *request = data;
  WorldMachine *machine = request->machine;
  World *world = machine->world;
  guint64 fencing_token = mm_json_count(body, WIRE_FENCING_TOKEN, 0);
  const char *redirect_label = mm_json_string(body, WIRE_REDIRECT_TO);

  if (machine->is_up && machine->heartbeat_number == request->heartbeat_number) {
    machine->is_heartbeat_in_flight = FALSE;
    if (status == 200) {
      if (machine->incarnation == request->incarnation && fencing_token != 0
          && fencing_token >= machine->fencing_token) {
        machine->fencing_token = fencing_token;
        machine->lease_renewed_at_us = request->sent_at_us;
        execute_commands(machine, mm_json_get(body, WIRE_COMMANDS));
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

/* Reports a violation if the heartbeat is longer than a request may be. A node would refuse it, and
 * the machine would lose its lease with all its tasks. */
static void
check_length(World *world, const WorldMachine *machine, const MmJson *heartbeat) {
  gsize length = mm_json_text_length(heartbeat);

  if (length > REQUEST_BYTES_MAX)
    world_report_violation(world,
                           "heartbeat: machine %s reports %u tasks in %" G_GSIZE_FORMAT " bytes",
                           machine->id, machine->tasks->len, length);
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
  else {
    MmJson *heartbeat = world_machine_heartbeat(machine);
    check_length(world, machine, heartbeat);
    world_send_request(world, machine->serving_node, machine, "POST", WIRE_HEARTBEAT_PATH,
                       heartbeat, WORLD_HEARTBEAT_TIMEOUT_US, on_heartbeat_response, request);
  }
}

static void
worker_tick(gpointer data) {
  WorldMachine *machine = data;
  World *world = machine->world;

  if (!machine->is_up)
    return;
  world_schedule(world, world->now_us + 50000, worker_tick, machine);
  if (machine->termination_notice_at_us != 0 && world->now_us >= machine->reclaimed_at_us) {
    world_kill_machine(world, machine);
    machine->is_terminated = TRUE;
    return;
  }
  if ((double)(world->now_us - machine->lease_renewed_at_us)
      > world->worker_lease_s * G_USEC_PER_SEC) {
    mm_debug("world: lease expired machine=%s", machine->id);
    world_machine_clear_tasks(machine);
    machine->incarnation++;
    machine->lease_renewed_at_us = world->now_us;
    machine->has_changed = TRUE;
  }
  /* The lease is checked before the suspension, because the lease expires even while the worker is
   * suspended. When the worker resumes, its tasks may continue only if its lease has not expired.
   */
  if (world->now_us < machine->suspended_until_us)
    return;
  for (guint i = 0; i < machine->tasks->len; i++)
    world_task_advance(machine, g_ptr_array_index(machine->tasks, i));
  if (machine->is_heartbeat_in_flight)
    return;
  if (world->now_us >= machine->next_heartbeat_at_us
      || (machine->has_changed && world->now_us - machine->last_heartbeat_at_us >= 500000))
    send_heartbeat(machine);
}
