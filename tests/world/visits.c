/* Requests to nodes: of workers and users. */
#include "world/network.h"

#include "base/wire.h"

typedef struct {
  MmExchange exchange;
  World *world;
  guint node;
  guint life;
  WorldMachine *from;
  WorldMachine *copy_of; /* a late copy of a report: whose */
  char *method;
  char *path;
  json_t *request;
  int status;
  json_t *body;
  gboolean over;
  gboolean pending; /* the node has it and has not answered */
  MmAnswered answered;
  gpointer data;
} Visit;

static void
visit_clear(gpointer data) {
  Visit *request = data;

  json_decref(request->body);
  json_decref(request->request);
  g_free(request->method);
  g_free(request->path);
}

/* Every event that is to come, and the node while it owes an answer, holds on to the visit. */
static void
visit_at(Visit *request, gint64 us, WorldCall callback) {
  world_at(request->world, us, callback, g_rc_box_acquire(request));
}

static void
visit_release(Visit *request) {
  g_rc_box_release_full(request, visit_clear);
}

static void
visit_over(Visit *request, int status, json_t *body) {
  if (!request->over)
    request->answered(request->data, status, body);
  request->over = TRUE;
  visit_release(request);
}

static void
visit_back(gpointer data) {
  Visit *request = data;

  visit_over(request, request->status, request->body);
}

static void
visit_answer(MmExchange *exchange, int status, json_t *body, guint retry_after_s) {
  Visit *request = (Visit *)exchange;
  World *world = request->world;
  gint64 at = world->now_us + world_delay(world);

  g_assert_true(request->pending);
  request->pending = FALSE;
  if (status == 200 && strcmp(request->path, WIRE_REPORT_PATH) == 0)
    world_check_answer(world, request->node, request->request, body);
  request->status = status;
  request->body = body;
  /* An answer to a machine that is cut off is held back; the worker drops what comes after 4 s. */
  if (request->from != NULL && world->now_us < request->from->cut_until_us)
    at = request->from->cut_until_us + world_delay(world);
  /* It had judged that it may answer, and stood still before the answer went out. */
  if (world->stalls > 0 && world_uniform(world, 0, 1) < world->stalls)
    at += (gint64)(world_uniform(world, 0.1, 3.9) * G_USEC_PER_SEC);
  if (world->nodes[request->node].life != request->life)
    request->status = 0;
  if (request->from == NULL
      || (world->now_us >= request->from->deaf_until_us
          && !world_is_apart(world, request->node, request->from)))
    visit_at(request, at, visit_back);
  visit_release(request);
}

static void
visit_arrives(gpointer data) {
  Visit *request = data;
  WorldNode *world_node = &request->world->nodes[request->node];
  gboolean is_user_at_cut_zone = request->from == NULL && request->node == request->world->cut_zone
                                 && request->world->now_us < request->world->zone_cut_until_us;

  if (world_node_stands_still(world_node, world_node->life, visit_arrives, request))
    return;
  if (world_node->node == NULL || is_user_at_cut_zone
      || (request->from != NULL && world_is_apart(request->world, request->node, request->from))) {
    visit_release(request);
    return;
  }
  request->life = world_node->life;
  request->pending = TRUE;
  if (request->copy_of != NULL)
    request->world->old_sessions
        += mm_json_count(request->request, WIRE_SESSION, 0) < request->copy_of->session;
  mm_node_handle(world_node->node, request->method, request->path, request->request,
                 &request->exchange);
}

static void
visit_timeout(gpointer data) {
  visit_over(data, 0, NULL);
}

static void
nobody_waits(gpointer data, int status, json_t *body) {
}

/* A late copy of a request, whose answer nobody waits for. */
static void
visit_again(World *world, guint index, const Visit *request, gint64 at) {
  Visit *duplicate = g_rc_box_new0(Visit);

  duplicate->exchange.answer = visit_answer;
  duplicate->world = world;
  duplicate->node = index;
  duplicate->copy_of = request->from;
  duplicate->method = g_strdup(request->method);
  duplicate->path = g_strdup(request->path);
  duplicate->request = json_deep_copy(request->request);
  duplicate->answered = nobody_waits;
  duplicate->over = TRUE;
  visit_at(duplicate, at, visit_arrives);
  visit_release(duplicate);
}

void
world_ask_node(World *world, guint index, WorldMachine *sender, const char *method,
               const char *path, json_t *body, gint64 timeout_us, MmAnswered callback,
               gpointer data) {
  Visit *request;
  gint64 at = world->now_us + world_delay(world);

  if (world->ask != NULL) {
    world->ask(world, index, method, path, body, timeout_us, callback, data);
    return;
  }
  request = g_rc_box_new0(Visit);
  request->exchange.answer = visit_answer;
  request->world = world;
  request->node = index;
  request->from = sender;
  request->method = g_strdup(method);
  request->path = g_strdup(path);
  request->request = body;
  request->answered = callback;
  request->data = data;
  if (sender != NULL && world->now_us < sender->cut_until_us)
    at = sender->cut_until_us + world_delay(world);
  if (sender != NULL && world->slow_links_s > 0)
    at += (gint64)(world_uniform(world, 0, world->slow_links_s) * G_USEC_PER_SEC);
  visit_at(request, at, visit_arrives);
  visit_at(request, world->now_us + timeout_us, visit_timeout);
  /* It may reach any node. */
  if (strcmp(method, "GET") != 0 && world_uniform(world, 0, 1) < world->copies) {
    guint to = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
    visit_again(world, to, request, world->now_us + world_lateness(world));
  }
  if (sender != NULL && sender->copy_at_us != 0) {
    visit_again(world, sender->copy_to, request, sender->copy_at_us);
    sender->copy_at_us = 0;
  }
  visit_release(request);
}
