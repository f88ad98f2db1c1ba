/* Requests that nodes send to the key-value store, the cloud and workers. */
#include "world/internal.h"

#include "base/wire.h"
#include "kv/kv-client.h"

typedef struct {
  WorldRequest base;
  MmTarget target;
  char address[64];         /* address of the worker if `target` is MM_TARGET_WORKER */
  gboolean is_applied_late; /* a transaction that is applied late and not answered */
  gboolean acts_late;       /* a command or a request to the cloud that is carried out late */
  gboolean was_delayed;     /* a direct command delivered after a partition or suspension ended */
} NodeRequest;

static void node_request_arrive(gpointer data);

static void
node_request_respond(gpointer data) {
  NodeRequest *request = data;
  const WorldRequest *base = &request->base;

  if (!world_defer_while_suspended(&base->world->nodes[base->node], base->generation,
                                   node_request_respond, request))
    world_request_finish(request, base->status, base->response_body);
}

static void
node_request_time_out(gpointer data) {
  NodeRequest *request = data;
  const WorldRequest *base = &request->base;

  if (!world_defer_while_suspended(&base->world->nodes[base->node], base->generation,
                                   node_request_time_out, request))
    world_request_finish(request, 0, NULL);
}

static gboolean
is_sender_alive(const WorldRequest *base) {
  const WorldNode *world_node = &base->world->nodes[base->node];

  return world_node->node != NULL && world_node->generation == base->generation;
}

static void
on_watch_response(gpointer data, int status, MmJson *body) {
  NodeRequest *request = data;
  WorldRequest *base = &request->base;
  World *world = base->world;
  const WorldNode *world_node = &world->nodes[base->node];

  if (!base->is_finished && world->now_us >= world_node->partitioned_until_us
      && world->now_us >= world_node->watches_lost_until_us) {
    base->status = is_sender_alive(base) ? status : 0;
    base->response_body = mm_json_ref(body);
    world_request_schedule(request, world->now_us + world_network_delay(world),
                           node_request_respond);
  }
  world_request_release(request);
}

/* The execute_at_ functions below execute a request at its target. They return FALSE if no response
 * is to be sent now. */

static gboolean
execute_at_kv_store(NodeRequest *request) {
  WorldRequest *base = &request->base;
  World *world = base->world;
  gboolean is_refused = world->now_us < world->outage_until_us
                        || world->now_us < world->nodes[base->node].kv_refuses_until_us;
  gboolean is_watch = g_str_has_prefix(base->path, WIRE_WATCH_PATH);

  if (is_refused)
    base->status = 503;
  else if (is_watch)
    world_kv_add_watch(world, base->node, base->path, on_watch_response, g_rc_box_acquire(request));
  else
    base->status
        = world_kv_handle(world, base->method, base->path, base->body, &base->response_body);
  return !is_watch;
}

static gboolean
execute_at_worker(NodeRequest *request) {
  WorldRequest *base = &request->base;
  World *world = base->world;
  WorldMachine *machine = world_find_machine_by_address(world, request->address);
  gint64 delayed_until_us;

  if (machine == NULL || world->now_us < machine->inbound_lost_until_us
      || world_is_partitioned(world, base->node, machine))
    return FALSE;
  delayed_until_us = MAX(machine->partitioned_until_us, machine->suspended_until_us);
  if (world->now_us < delayed_until_us) {
    /* The command is executed when it arrives, even if the node that sent it no longer waits for
     * the response. */
    request->was_delayed = TRUE;
    world_request_schedule(request, delayed_until_us + world_network_delay(world),
                           node_request_arrive);
    return FALSE;
  }
  world->n_delayed_commands += request->was_delayed;
  machine->n_direct_while_outbound_lost += world->now_us < machine->outbound_lost_until_us;
  if (strcmp(base->path, WIRE_STATUS_PATH) == 0) {
    base->status = 200;
    base->response_body = world_machine_heartbeat(machine);
  } else {
    base->status = world_machine_handle_direct(machine, base->body, &base->response_body);
  }
  return TRUE;
}

static gboolean
node_request_execute(NodeRequest *request) {
  WorldRequest *base = &request->base;

  switch (request->target) {
  case MM_TARGET_KV_STORE:
    return execute_at_kv_store(request);
  case MM_TARGET_CLOUD:
    base->status = world_cloud_handle(base->world, base->method, base->path, base->body,
                                      &base->response_body);
    return TRUE;
  case MM_TARGET_WORKER:
  default:
    return execute_at_worker(request);
  }
}

/* Returns TRUE if the request cannot reach its target now because the node that sent it is
 * partitioned. Such a request is normally lost. If the partition delays messages and the target is
 * the key-value store, the request arrives when the partition ends. The store then executes the
 * request, even if the node no longer waits for the response. */
static gboolean
is_blocked_by_partition(NodeRequest *request) {
  World *world = request->base.world;
  const WorldNode *world_node = &world->nodes[request->base.node];

  if (request->target == MM_TARGET_WORKER || world->now_us >= world_node->partitioned_until_us)
    return FALSE;
  if (world_node->partition_delays_messages && request->target == MM_TARGET_KV_STORE)
    world_request_schedule(request, world_node->partitioned_until_us + world_network_delay(world),
                           node_request_arrive);
  return TRUE;
}

static void
count_late_action(const NodeRequest *request) {
  World *world = request->base.world;

  if (request->target == MM_TARGET_CLOUD)
    world->n_late_cloud_requests++;
  else
    world->n_late_commands++;
}

static void
node_request_arrive(gpointer data) {
  NodeRequest *request = data;
  WorldRequest *base = &request->base;
  World *world = base->world;

  if (!is_blocked_by_partition(request) && node_request_execute(request)) {
    gint64 at_us = world->now_us + world_network_delay(world);
    if (request->is_applied_late) {
      world->n_late_applied += base->status == 200;
      world->n_late_rejected += base->status == 409 || base->status == 400;
    }
    if (request->acts_late)
      count_late_action(request);
    if (!is_sender_alive(base))
      base->status = 0;
    if (request->target == MM_TARGET_KV_STORE && world->now_us < world->kv_slow_until_us)
      at_us += (gint64)(world_uniform(world, 0, world->kv_slow_s) * G_USEC_PER_SEC);
    world_request_schedule(request, at_us, node_request_respond);
  }
  world_request_release(request);
}

/* Returns whether the request is a transaction that must be applied late according to the world's
 * parameters. May draw a random number. */
static gboolean
should_apply_late(World *world, const char *path, const MmJson *body) {
  const MmJson *changes = mm_json_get(body, WIRE_OPERATIONS);
  size_t i;
  MmJson *item;

  if (strcmp(path, WIRE_TXN_PATH) != 0)
    return FALSE;
  MM_JSON_ARRAY_FOREACH (changes, i, item) {
    const char *key = mm_json_string(item, WIRE_PUT);
    if (world->delays_acquisitions && key != NULL
        && (g_str_has_prefix(key, MM_KEY_SHARD) || g_str_has_prefix(key, MM_KEY_MACHINE_GROUPS)))
      return TRUE;
  }
  return world->late_write_rate > 0 && world_uniform(world, 0, 1) < world->late_write_rate;
}

/* Returns whether the request is a command or a request to the cloud that must be carried out late
 * according to the world's parameters. May draw a random number. */
static gboolean
should_act_late(const NodeRequest *request) {
  World *world = request->base.world;
  double rate = request->target == MM_TARGET_CLOUD    ? world->late_cloud_rate
                : request->target == MM_TARGET_WORKER ? world->late_command_rate
                                                      : 0;

  return rate > 0 && strcmp(request->base.method, "POST") == 0 && world_uniform(world, 0, 1) < rate;
}

static NodeRequest *
node_request_new(const WorldNode *world_node, MmTarget target, const char *address,
                 const char *method, const char *path, const MmJson *body) {
  NodeRequest *request = world_request_new(sizeof *request, world_node->world, world_node->index,
                                           method, path, mm_json_copy(body));

  request->base.generation = world_node->generation;
  request->target = target;
  if (address != NULL)
    g_strlcpy(request->address, address, sizeof request->address);
  return request;
}

/* Schedules the arrival of the request. 1 in 1000 requests is lost. 2 in 1000 requests are delayed
 * by half the time-out plus 0.5 s, so that the node may time out before the response arrives. A
 * request whose delay reaches the time-out is lost too. */
static void
node_request_send(NodeRequest *request, const MmJson *body, gint64 timeout_us) {
  World *world = request->base.world;
  gint64 delay_us = world_network_delay(world);

  if (world_uniform(world, 0, 1) < 0.002)
    delay_us += timeout_us / 2 + 500000;
  if (should_apply_late(world, request->base.path, body)) {
    request->is_applied_late = TRUE;
    world_request_schedule(request,
                           world->now_us + (gint64)(world_uniform(world, 2, 12) * G_USEC_PER_SEC),
                           node_request_arrive);
  } else if (should_act_late(request)) {
    request->acts_late = TRUE;
    delay_us = (gint64)(world_uniform(world, 2, world->late_max_s) * G_USEC_PER_SEC);
    world_request_schedule(request, world->now_us + delay_us, node_request_arrive);
  } else if (world_uniform(world, 0, 1) >= 0.001 && delay_us < timeout_us) {
    world_request_schedule(request, world->now_us + delay_us, node_request_arrive);
  }
}

/* Sends a late copy of the request. The response to the copy is dropped. */
static void
node_request_duplicate(const NodeRequest *request) {
  const WorldRequest *base = &request->base;
  World *world = base->world;
  NodeRequest *duplicate = node_request_new(&world->nodes[base->node], request->target,
                                            request->address, base->method, base->path, base->body);

  duplicate->base.is_finished = TRUE;
  world_request_schedule(duplicate, world->now_us + world_duplicate_delay(world),
                         node_request_arrive);
  world_request_release(duplicate);
}

void
world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                       const char *path, const MmJson *body, guint timeout_ms,
                       MmResponseCallback callback, gpointer callback_data) {
  const WorldNode *world_node = data;
  World *world = world_node->world;
  gint64 timeout_us = (gint64)timeout_ms * 1000;
  NodeRequest *request;

  if (target == MM_TARGET_KV_STORE && strcmp(path, WIRE_TXN_PATH) == 0)
    world_check_write(world, world_node->index);
  world->n_direct_commands += target == MM_TARGET_WORKER && strcmp(method, "POST") == 0;

  request = node_request_new(world_node, target, address, method, path, body);
  request->base.callback = callback;
  request->base.data = callback_data;
  if (world_node->is_old_version && target == MM_TARGET_KV_STORE)
    world_downgrade_request(world, world_node->index, request->base.body);
  if (world_node->node != NULL || target == MM_TARGET_KV_STORE)
    node_request_send(request, body, timeout_us);
  if (strcmp(method, "GET") != 0 && world_uniform(world, 0, 1) < world->duplicate_rate)
    node_request_duplicate(request);
  world_request_schedule(request, world->now_us + timeout_us + 1000, node_request_time_out);
  world_request_release(request);
}
