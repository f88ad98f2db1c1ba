/* Requests that nodes receive from workers and users. */
#include "world/internal.h"

#include "base/wire.h"

typedef struct {
  WorldRequest base;
  MmHttpExchange exchange;    /* passed to the node; holds a reference until the node responds */
  WorldMachine *sender;       /* NULL: a user */
  WorldMachine *duplicate_of; /* sender of the original request; NULL: this is not a late copy */
  gboolean is_pending;        /* the node has received but not yet answered the request */
} InboundRequest;

static void
inbound_request_deliver_response(gpointer data) {
  InboundRequest *request = data;

  world_request_finish(request, request->base.status, request->base.response_body);
}

/* Returns when the response to the request arrives at its sender. */
static gint64
response_time(const InboundRequest *request) {
  World *world = request->base.world;
  gint64 at_us = world->now_us + world_network_delay(world);

  /* While the machine is partitioned, the response is delayed. The worker drops a response that
   * arrives more than 4 s after the heartbeat was sent. */
  if (request->sender != NULL && world->now_us < request->sender->partitioned_until_us)
    at_us = request->sender->partitioned_until_us + world_network_delay(world);
  /* Simulates a node that decides to respond, but is suspended before it sends the response. */
  if (world->delayed_response_rate > 0 && world_uniform(world, 0, 1) < world->delayed_response_rate)
    at_us += (gint64)(world_uniform(world, 0.1, 3.9) * G_USEC_PER_SEC);
  return at_us;
}

static void
inbound_request_respond(MmHttpExchange *exchange, int status, MmJson *body, guint retry_after_s) {
  InboundRequest *request
      = (InboundRequest *)((char *)exchange - G_STRUCT_OFFSET(InboundRequest, exchange));
  WorldRequest *base = &request->base;
  World *world = base->world;
  gint64 at_us = response_time(request);

  g_assert_true(request->is_pending);
  request->is_pending = FALSE;
  if (status == 200 && strcmp(base->path, WIRE_HEARTBEAT_PATH) == 0)
    world_check_heartbeat_response(world, base->node, base->body, body);
  base->status = world->nodes[base->node].generation == base->generation ? status : 0;
  base->response_body = body;
  if (request->sender == NULL
      || (world->now_us >= request->sender->inbound_lost_until_us
          && !world_is_partitioned(world, base->node, request->sender)))
    world_request_schedule(request, at_us, inbound_request_deliver_response);
  world_request_release(request);
}

static gboolean
is_lost_on_arrival(const InboundRequest *request) {
  const WorldRequest *base = &request->base;
  World *world = base->world;

  if (world->nodes[base->node].node == NULL)
    return TRUE;
  if (request->sender != NULL)
    return world_is_partitioned(world, base->node, request->sender);
  return base->node == world->partitioned_zone && world->now_us < world->zone_partitioned_until_us;
}

static void
inbound_request_arrive(gpointer data) {
  InboundRequest *request = data;
  WorldRequest *base = &request->base;
  World *world = base->world;
  const WorldNode *world_node = &world->nodes[base->node];

  if (world_defer_while_suspended(world_node, world_node->generation, inbound_request_arrive,
                                  request))
    return;
  if (is_lost_on_arrival(request)) {
    world_request_release(request);
    return;
  }
  base->generation = world_node->generation;
  request->is_pending = TRUE;
  if (request->duplicate_of != NULL)
    world->n_stale_incarnations
        += mm_json_count(base->body, WIRE_INCARNATION, 0) < request->duplicate_of->incarnation;
  mm_node_handle_request(world_node->node, base->method, base->path, base->body,
                         &request->exchange);
}

static void
inbound_request_time_out(gpointer data) {
  world_request_finish(data, 0, NULL);
}

/* Sends a late copy of the request. The response to the copy is dropped. */
static void
inbound_request_duplicate(World *world, guint index, const InboundRequest *request, gint64 at_us) {
  InboundRequest *duplicate
      = world_request_new(sizeof *duplicate, world, index, request->base.method, request->base.path,
                          mm_json_copy(request->base.body));

  duplicate->exchange.respond = inbound_request_respond;
  duplicate->duplicate_of = request->sender;
  duplicate->base.is_finished = TRUE;
  world_request_schedule(duplicate, at_us, inbound_request_arrive);
  world_request_release(duplicate);
}

/* Returns when a request sent now arrives; `delay_us` is its transit time without faults. */
static gint64
arrival_time(World *world, const WorldMachine *sender, gint64 delay_us) {
  gint64 at_us = world->now_us + delay_us;

  if (sender == NULL)
    return at_us;
  if (world->now_us < sender->partitioned_until_us)
    at_us = sender->partitioned_until_us + world_network_delay(world);
  if (world->max_request_delay_s > 0)
    at_us += (gint64)(world_uniform(world, 0, world->max_request_delay_s) * G_USEC_PER_SEC);
  return at_us;
}

static void
inbound_request_make_duplicates(const InboundRequest *request) {
  World *world = request->base.world;
  WorldMachine *sender = request->sender;

  /* The copy may arrive at any node. */
  if (strcmp(request->base.method, "GET") != 0
      && world_uniform(world, 0, 1) < world->duplicate_rate) {
    guint to = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
    inbound_request_duplicate(world, to, request, world->now_us + world_duplicate_delay(world));
  }
  if (sender != NULL && sender->duplicate_at_us != 0) {
    inbound_request_duplicate(world, sender->duplicate_node, request, sender->duplicate_at_us);
    sender->duplicate_at_us = 0;
  }
}

void
world_send_request(World *world, guint index, WorldMachine *sender, const char *method,
                   const char *path, MmJson *body, gint64 timeout_us, MmResponseCallback callback,
                   gpointer data) {
  InboundRequest *request;
  gint64 delay_us = world_network_delay(world);

  if (world->request_handler != NULL) {
    world->request_handler(world, index, method, path, body, timeout_us, callback, data);
    return;
  }
  request = world_request_new(sizeof *request, world, index, method, path, body);
  request->exchange.respond = inbound_request_respond;
  request->sender = sender;
  request->base.callback = callback;
  request->base.data = data;
  world_request_schedule(request, arrival_time(world, sender, delay_us), inbound_request_arrive);
  world_request_schedule(request, world->now_us + timeout_us, inbound_request_time_out);
  inbound_request_make_duplicates(request);
  world_request_release(request);
}

void
world_record_status(gpointer data, int status, MmJson *body) {
  *(int *)data = status;
}
