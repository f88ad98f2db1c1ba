/* Requests that nodes send: to the key-value store, the cloud and workers. */
#include "world/internal.h"

#include "base/wire.h"
#include "kv/kv-client.h"

typedef struct {
  World *world;
  guint node;
  guint generation;
  MmResponseCallback callback;
  gpointer data;
  int status;
  json_t *response_body;
  gboolean is_over;
  gboolean is_late;     /* a transaction that is applied late and not answered */
  gboolean was_delayed; /* a direct command that arrived after a cut or a hang */
  /* the request */
  MmTarget target;
  char *address;
  char *method;
  char *path;
  json_t *request_body;
} NodeRequest;

static void
node_request_clear(gpointer data) {
  NodeRequest *request = data;

  json_decref(request->response_body);
  json_decref(request->request_body);
  g_free(request->address);
  g_free(request->method);
  g_free(request->path);
}

/* Each scheduled event has a reference to the request. */
static void
node_request_schedule(NodeRequest *request, gint64 us, WorldCallback callback) {
  world_schedule(request->world, us, callback, g_rc_box_acquire(request));
}

static void
node_request_release(NodeRequest *request) {
  g_rc_box_release_full(request, node_request_clear);
}

/* The callback is called once: what comes after the first answer or the time-out is dropped. */
static void
node_request_respond(gpointer data) {
  NodeRequest *request = data;

  if (world_defer_while_frozen(&request->world->nodes[request->node], request->generation,
                               node_request_respond, request))
    return;
  if (!request->is_over) {
    request->is_over = TRUE;
    request->callback(request->data, request->status, request->response_body);
  }
  node_request_release(request);
}

static void
node_request_time_out(gpointer data) {
  NodeRequest *request = data;

  if (world_defer_while_frozen(&request->world->nodes[request->node], request->generation,
                               node_request_time_out, request))
    return;
  if (!request->is_over) {
    request->is_over = TRUE;
    request->callback(request->data, 0, NULL);
  }
  node_request_release(request);
}

static void node_request_arrive(gpointer data);

static gboolean
is_sender_alive(const NodeRequest *request) {
  return request->world->nodes[request->node].node != NULL
         && request->world->nodes[request->node].generation == request->generation;
}

static void
on_watch_response(gpointer data, int status, json_t *body) {
  NodeRequest *request = data;

  if (!request->is_over
      && request->world->now_us >= request->world->nodes[request->node].cut_until_us
      && request->world->now_us >= request->world->nodes[request->node].watches_lost_until_us) {
    request->status = is_sender_alive(request) ? status : 0;
    request->response_body = json_incref(body);
    node_request_schedule(request, request->world->now_us + world_network_delay(request->world),
                          node_request_respond);
  }
  node_request_release(request);
}

/* Executes the request at its target; FALSE: no answer follows now. */
static gboolean
node_request_execute(NodeRequest *request) {
  World *world = request->world;
  WorldNode *world_node = &world->nodes[request->node];
  gboolean is_refused
      = world->now_us < world->outage_until_us || world->now_us < world_node->kv_refuses_until_us;
  gboolean is_watch
      = request->target == MM_TARGET_KV_STORE && g_str_has_prefix(request->path, WIRE_WATCH_PATH);
  WorldMachine *machine;
  gint64 held_until;

  switch (request->target) {
  case MM_TARGET_KV_STORE:
    if (is_watch && !is_refused)
      world_kv_add_watch(world, request->node, request->path, on_watch_response,
                         g_rc_box_acquire(request));
    else if (is_refused)
      request->status = 503;
    else
      request->status = world_kv_handle(world, request->method, request->path,
                                        request->request_body, &request->response_body);
    return !is_watch;
  case MM_TARGET_CLOUD:
    request->status = world_cloud_handle(world, request->method, request->path,
                                         request->request_body, &request->response_body);
    return TRUE;
  case MM_TARGET_WORKER:
  default:
    machine = world_find_machine_by_address(world, request->address);
    if (machine == NULL)
      return FALSE;
    if (world->now_us < machine->inbound_lost_until_us
        || world_is_partitioned(world, request->node, machine))
      return FALSE;
    held_until = MAX(machine->cut_until_us, machine->hung_until_us);
    if (world->now_us < held_until) {
      /* Delayed, and executed when it arrives, whether or not its sender still waits. */
      request->was_delayed = TRUE;
      node_request_schedule(request, held_until + world_network_delay(world), node_request_arrive);
      return FALSE;
    }
    world->n_delayed_commands += request->was_delayed;
    machine->n_direct_while_outbound_lost += world->now_us < machine->outbound_lost_until_us;
    if (strcmp(request->path, WIRE_STATUS_PATH) == 0) {
      request->status = 200;
      request->response_body = world_machine_heartbeat(machine);
    } else {
      request->status
          = world_machine_handle_direct(machine, request->request_body, &request->response_body);
    }
    return TRUE;
  }
}

/* Requests of a node that is cut off are lost, or arrive when the cut is over and are executed
 * then, whether or not the node still waits. */
static gboolean
is_stopped_by_cut(NodeRequest *request) {
  WorldNode *world_node = &request->world->nodes[request->node];

  if (request->target == MM_TARGET_WORKER || request->world->now_us >= world_node->cut_until_us)
    return FALSE;
  if (world_node->cut_delays_messages && request->target == MM_TARGET_KV_STORE)
    node_request_schedule(request, world_node->cut_until_us + world_network_delay(request->world),
                          node_request_arrive);
  return TRUE;
}

static void
node_request_arrive(gpointer data) {
  NodeRequest *request = data;

  if (!is_stopped_by_cut(request) && node_request_execute(request)) {
    gint64 at = request->world->now_us + world_network_delay(request->world);
    if (request->is_late) {
      request->world->n_late_applied += request->status == 200;
      request->world->n_late_rejected += request->status == 409 || request->status == 400;
    }
    if (!is_sender_alive(request))
      request->status = 0;
    if (request->target == MM_TARGET_KV_STORE
        && request->world->now_us < request->world->kv_slow_until_us)
      at += (gint64)(world_uniform(request->world, 0, request->world->kv_slow_s) * G_USEC_PER_SEC);
    node_request_schedule(request, at, node_request_respond);
  }
  node_request_release(request);
}

static gboolean
is_delayed(World *world, const char *path, const json_t *body) {
  const json_t *changes = mm_json_get(body, WIRE_THEN);
  size_t i;
  json_t *item;

  if (strcmp(path, WIRE_TXN_PATH) != 0)
    return FALSE;
  json_array_foreach(changes, i, item) {
    const char *key = mm_json_string(item, WIRE_PUT);
    if (world->delays_acquisitions && key != NULL
        && (g_str_has_prefix(key, MM_KEY_SHARD) || g_str_has_prefix(key, MM_KEY_MACHINE_GROUPS)))
      return TRUE;
  }
  return world->late_write_rate > 0 && world_uniform(world, 0, 1) < world->late_write_rate;
}

void
world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                       const char *path, const json_t *body, guint timeout_ms,
                       MmResponseCallback callback, gpointer callback_data) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  NodeRequest *request = g_rc_box_new0(NodeRequest);

  if (target == MM_TARGET_KV_STORE && strcmp(path, WIRE_TXN_PATH) == 0)
    world_check_write(world, world_node->index);
  world->n_direct_commands += target == MM_TARGET_WORKER && strcmp(method, "POST") == 0;

  request->world = world;
  request->node = world_node->index;
  request->generation = world_node->generation;
  request->callback = callback;
  request->data = callback_data;
  request->target = target;
  request->address = g_strdup(address);
  request->method = g_strdup(method);
  request->path = g_strdup(path);
  request->request_body = json_deep_copy(body);
  if (world_node->is_old_version && target == MM_TARGET_KV_STORE)
    world_downgrade_request(world, world_node->index, request->request_body);
  /* Now and then a request is lost, or so late that its sender has timed out. */
  if (world_node->node != NULL || target == MM_TARGET_KV_STORE) {
    gint64 delay = world_network_delay(world);
    if (world_uniform(world, 0, 1) < 0.002)
      delay += (gint64)timeout_ms * 1000 / 2 + 500000;
    if (is_delayed(world, path, body)) {
      request->is_late = TRUE;
      node_request_schedule(request,
                            world->now_us + (gint64)(world_uniform(world, 2, 12) * G_USEC_PER_SEC),
                            node_request_arrive);
    } else if (world_uniform(world, 0, 1) >= 0.001
               && world->now_us + delay < world->now_us + (gint64)timeout_ms * 1000)
      node_request_schedule(request, world->now_us + delay, node_request_arrive);
  }
  /* A late copy of a request that changes something; nobody waits for its answer. */
  if (strcmp(method, "GET") != 0 && world_uniform(world, 0, 1) < world->duplicate_rate) {
    NodeRequest *duplicate = g_rc_box_new0(NodeRequest);
    duplicate->world = world;
    duplicate->node = world_node->index;
    duplicate->generation = world_node->generation;
    duplicate->is_over = TRUE;
    duplicate->target = target;
    duplicate->address = g_strdup(address);
    duplicate->method = g_strdup(method);
    duplicate->path = g_strdup(path);
    duplicate->request_body = json_deep_copy(request->request_body);
    node_request_schedule(duplicate, world->now_us + world_duplicate_delay(world),
                          node_request_arrive);
    node_request_release(duplicate);
  }
  node_request_schedule(request, world->now_us + (gint64)timeout_ms * 1000 + 1000,
                        node_request_time_out);
  node_request_release(request);
}
