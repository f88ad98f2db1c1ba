/* Requests that nodes receive: from workers and users. */
#include "world/internal.h"

#include "base/wire.h"

typedef struct {
  MmHttpExchange exchange;
  World *world;
  guint node;
  guint generation;
  WorldMachine *sender;
  WorldMachine *duplicate_of; /* a late copy of a heartbeat: whose */
  char *method;
  char *path;
  json_t *request_body;
  int status;
  json_t *response_body;
  gboolean is_over;
  gboolean is_pending; /* the node has received it and not answered */
  MmResponseCallback callback;
  gpointer data;
} InboundRequest;

static void
inbound_request_clear(gpointer data) {
  InboundRequest *request = data;

  json_decref(request->response_body);
  json_decref(request->request_body);
  g_free(request->method);
  g_free(request->path);
}

/* Each scheduled event, and the node until it has answered, has a reference to the request. */
static void
inbound_request_schedule(InboundRequest *request, gint64 us, WorldCallback callback) {
  world_schedule(request->world, us, callback, g_rc_box_acquire(request));
}

static void
inbound_request_release(InboundRequest *request) {
  g_rc_box_release_full(request, inbound_request_clear);
}

static void
inbound_request_finish(InboundRequest *request, int status, json_t *body) {
  if (!request->is_over)
    request->callback(request->data, status, body);
  request->is_over = TRUE;
  inbound_request_release(request);
}

static void
inbound_request_deliver_response(gpointer data) {
  InboundRequest *request = data;

  inbound_request_finish(request, request->status, request->response_body);
}

static void
inbound_request_respond(MmHttpExchange *exchange, int status, json_t *body, guint retry_after_s) {
  InboundRequest *request = (InboundRequest *)exchange;
  World *world = request->world;
  gint64 at = world->now_us + world_network_delay(world);

  g_assert_true(request->is_pending);
  request->is_pending = FALSE;
  if (status == 200 && strcmp(request->path, WIRE_REPORT_PATH) == 0)
    world_check_heartbeat_response(world, request->node, request->request_body, body);
  request->status = status;
  request->response_body = body;
  /* An answer to a machine that is cut off is delayed; the worker drops what arrives after 4 s. */
  if (request->sender != NULL && world->now_us < request->sender->cut_until_us)
    at = request->sender->cut_until_us + world_network_delay(world);
  /* The node decides that it may answer, and is suspended before the answer leaves. */
  if (world->stall_rate > 0 && world_uniform(world, 0, 1) < world->stall_rate)
    at += (gint64)(world_uniform(world, 0.1, 3.9) * G_USEC_PER_SEC);
  if (world->nodes[request->node].generation != request->generation)
    request->status = 0;
  if (request->sender == NULL
      || (world->now_us >= request->sender->inbound_lost_until_us
          && !world_is_partitioned(world, request->node, request->sender)))
    inbound_request_schedule(request, at, inbound_request_deliver_response);
  inbound_request_release(request);
}

static void
inbound_request_arrive(gpointer data) {
  InboundRequest *request = data;
  WorldNode *world_node = &request->world->nodes[request->node];
  gboolean is_user_at_cut_zone = request->sender == NULL
                                 && request->node == request->world->cut_zone
                                 && request->world->now_us < request->world->zone_cut_until_us;

  if (world_defer_while_frozen(world_node, world_node->generation, inbound_request_arrive, request))
    return;
  if (world_node->node == NULL || is_user_at_cut_zone
      || (request->sender != NULL
          && world_is_partitioned(request->world, request->node, request->sender))) {
    inbound_request_release(request);
    return;
  }
  request->generation = world_node->generation;
  request->is_pending = TRUE;
  if (request->duplicate_of != NULL)
    request->world->n_stale_incarnations += mm_json_count(request->request_body, WIRE_SESSION, 0)
                                            < request->duplicate_of->incarnation;
  mm_node_handle_request(world_node->node, request->method, request->path, request->request_body,
                         &request->exchange);
}

static void
inbound_request_time_out(gpointer data) {
  inbound_request_finish(data, 0, NULL);
}

static void
ignore_response(gpointer data, int status, json_t *body) {
}

/* A late copy of a request, for whose answer nobody waits. */
static void
inbound_request_duplicate(World *world, guint index, const InboundRequest *request, gint64 at) {
  InboundRequest *duplicate = g_rc_box_new0(InboundRequest);

  duplicate->exchange.respond = inbound_request_respond;
  duplicate->world = world;
  duplicate->node = index;
  duplicate->duplicate_of = request->sender;
  duplicate->method = g_strdup(request->method);
  duplicate->path = g_strdup(request->path);
  duplicate->request_body = json_deep_copy(request->request_body);
  duplicate->callback = ignore_response;
  duplicate->is_over = TRUE;
  inbound_request_schedule(duplicate, at, inbound_request_arrive);
  inbound_request_release(duplicate);
}

void
world_send_request(World *world, guint index, WorldMachine *sender, const char *method,
                   const char *path, json_t *body, gint64 timeout_us, MmResponseCallback callback,
                   gpointer data) {
  InboundRequest *request;
  gint64 at = world->now_us + world_network_delay(world);

  if (world->request_handler != NULL) {
    world->request_handler(world, index, method, path, body, timeout_us, callback, data);
    return;
  }
  request = g_rc_box_new0(InboundRequest);
  request->exchange.respond = inbound_request_respond;
  request->world = world;
  request->node = index;
  request->sender = sender;
  request->method = g_strdup(method);
  request->path = g_strdup(path);
  request->request_body = body;
  request->callback = callback;
  request->data = data;
  if (sender != NULL && world->now_us < sender->cut_until_us)
    at = sender->cut_until_us + world_network_delay(world);
  if (sender != NULL && world->slow_links_s > 0)
    at += (gint64)(world_uniform(world, 0, world->slow_links_s) * G_USEC_PER_SEC);
  inbound_request_schedule(request, at, inbound_request_arrive);
  inbound_request_schedule(request, world->now_us + timeout_us, inbound_request_time_out);
  /* The copy may reach any node. */
  if (strcmp(method, "GET") != 0 && world_uniform(world, 0, 1) < world->duplicate_rate) {
    guint to = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
    inbound_request_duplicate(world, to, request, world->now_us + world_duplicate_delay(world));
  }
  if (sender != NULL && sender->duplicate_at_us != 0) {
    inbound_request_duplicate(world, sender->duplicate_node, request, sender->duplicate_at_us);
    sender->duplicate_at_us = 0;
  }
  inbound_request_release(request);
}

void
world_record_status(gpointer data, int status, json_t *body) {
  *(int *)data = status;
}
