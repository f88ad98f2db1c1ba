/* Requests of nodes: to the state service, the cloud and workers. */
#include "world/network.h"

#include "base/wire.h"
#include "store/store.h"

typedef struct {
  World *world;
  guint node;
  guint life;
  MmAnswered answered;
  gpointer data;
  int status;
  json_t *body;
  gboolean over;
  gboolean late; /* a transaction that its sender has no answer to */
  gboolean held; /* a command that was held up on its way */
  /* the request */
  MmTarget target;
  char *address;
  char *method;
  char *path;
  json_t *request;
} Call;

static void
call_clear(gpointer data) {
  Call *request = data;

  json_decref(request->body);
  json_decref(request->request);
  g_free(request->address);
  g_free(request->method);
  g_free(request->path);
}

/* Every event that is to come holds on to the call. */
static void
call_at(Call *request, gint64 us, WorldCall callback) {
  world_at(request->world, us, callback, g_rc_box_acquire(request));
}

static void
call_release(Call *request) {
  g_rc_box_release_full(request, call_clear);
}

/* The one answer; what comes later is dropped. */
static void
call_answer(gpointer data) {
  Call *request = data;

  if (world_node_stands_still(&request->world->nodes[request->node], request->life, call_answer,
                              request))
    return;
  if (!request->over) {
    request->over = TRUE;
    request->answered(request->data, request->status, request->body);
  }
  call_release(request);
}

static void
call_timeout(gpointer data) {
  Call *request = data;

  if (world_node_stands_still(&request->world->nodes[request->node], request->life, call_timeout,
                              request))
    return;
  if (!request->over) {
    request->over = TRUE;
    request->answered(request->data, 0, NULL);
  }
  call_release(request);
}

static void call_arrives(gpointer data);

static gboolean
alive(const Call *request) {
  return request->world->nodes[request->node].node != NULL
         && request->world->nodes[request->node].life == request->life;
}

static void
watch_answered(gpointer data, int status, json_t *body) {
  Call *request = data;

  if (!request->over && request->world->now_us >= request->world->nodes[request->node].cut_until_us
      && request->world->now_us >= request->world->nodes[request->node].unread_until_us) {
    request->status = alive(request) ? status : 0;
    request->body = json_incref(body);
    call_at(request, request->world->now_us + world_delay(request->world), call_answer);
  }
  call_release(request);
}

/* Carries the request out at its target; FALSE when no answer follows from here. */
static gboolean
carry_out(Call *request) {
  World *world = request->world;
  WorldNode *world_node = &world->nodes[request->node];
  gboolean is_refused
      = world->now_us < world->outage_until_us || world->now_us < world_node->refused_until_us;
  gboolean is_watch
      = request->target == MM_TARGET_STORE && g_str_has_prefix(request->path, WIRE_WATCH_PATH);
  WorldMachine *machine;
  gint64 held_until;

  switch (request->target) {
  case MM_TARGET_STORE:
    if (is_watch && !is_refused)
      world_store_add_watch(world, request->node, request->path, watch_answered,
                            g_rc_box_acquire(request));
    else if (is_refused)
      request->status = 503;
    else
      request->status = world_store_handle(world, request->method, request->path, request->request,
                                           &request->body);
    return !is_watch;
  case MM_TARGET_CLOUD:
    request->status = world_cloud_handle(world, request->method, request->path, request->request,
                                         &request->body);
    return TRUE;
  case MM_TARGET_WORKER:
  default:
    machine = world_find_machine(world, request->address);
    if (machine == NULL)
      return FALSE;
    if (world->now_us < machine->deaf_until_us || world_is_apart(world, request->node, machine))
      return FALSE;
    held_until = MAX(machine->cut_until_us, machine->hung_until_us);
    if (world->now_us < held_until) {
      /* Held back, and executed when it arrives at last, whether or not anybody still waits. */
      request->held = TRUE;
      call_at(request, held_until + world_delay(world), call_arrives);
      return FALSE;
    }
    world->held += request->held;
    machine->heard_mute += world->now_us < machine->mute_until_us;
    if (strcmp(request->path, WIRE_STATUS_PATH) == 0) {
      request->status = 200;
      request->body = world_machine_report(machine);
    } else {
      request->status = world_machine_direct(machine, request->request, &request->body);
    }
    return TRUE;
  }
}

/* Requests of a node that is cut off are lost, or held until the cut is over and carried out then,
 * whether or not anybody still waits. */
static gboolean
stopped_by_cut(Call *request) {
  WorldNode *world_node = &request->world->nodes[request->node];

  if (request->target == MM_TARGET_WORKER || request->world->now_us >= world_node->cut_until_us)
    return FALSE;
  if (world_node->cut_holds && request->target == MM_TARGET_STORE)
    call_at(request, world_node->cut_until_us + world_delay(request->world), call_arrives);
  return TRUE;
}

static void
call_arrives(gpointer data) {
  Call *request = data;

  if (!stopped_by_cut(request) && carry_out(request)) {
    gint64 at = request->world->now_us + world_delay(request->world);
    if (request->late) {
      request->world->late_taken += request->status == 200;
      request->world->late_void += request->status == 409 || request->status == 400;
    }
    if (!alive(request))
      request->status = 0;
    if (request->target == MM_TARGET_STORE
        && request->world->now_us < request->world->slow_until_us)
      at += (gint64)(world_uniform(request->world, 0, request->world->slow_s) * G_USEC_PER_SEC);
    call_at(request, at, call_answer);
  }
  call_release(request);
}

static gboolean
is_to_be_late(World *world, const char *path, const json_t *body) {
  const json_t *changes = mm_json_get(body, WIRE_THEN);
  size_t i;
  json_t *item;

  if (strcmp(path, WIRE_TXN_PATH) != 0)
    return FALSE;
  json_array_foreach(changes, i, item) {
    const char *key = mm_json_string(item, WIRE_PUT);
    if (world->late_takings && key != NULL
        && (g_str_has_prefix(key, MM_KEY_SHARD) || g_str_has_prefix(key, MM_KEY_MACHINE_GROUPS)))
      return TRUE;
  }
  return world->late_writes > 0 && world_uniform(world, 0, 1) < world->late_writes;
}

void
world_port_request(gpointer data, MmTarget target, const char *address, const char *method,
                   const char *path, const json_t *body, guint timeout_ms, MmAnswered callback,
                   gpointer callback_data) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  Call *request = g_rc_box_new0(Call);

  if (target == MM_TARGET_STORE && strcmp(path, WIRE_TXN_PATH) == 0)
    world_check_write(world, world_node->index);
  world->directs += target == MM_TARGET_WORKER && strcmp(method, "POST") == 0;

  request->world = world;
  request->node = world_node->index;
  request->life = world_node->life;
  request->answered = callback;
  request->data = callback_data;
  request->target = target;
  request->address = g_strdup(address);
  request->method = g_strdup(method);
  request->path = g_strdup(path);
  request->request = json_deep_copy(body);
  if (world_node->old && target == MM_TARGET_STORE)
    world_as_old_version(world, world_node->index, request->request);
  /* Now and then a request is lost, or so late that its sender has given up. */
  if (world_node->node != NULL || target == MM_TARGET_STORE) {
    gint64 delay = world_delay(world);
    if (world_uniform(world, 0, 1) < 0.002)
      delay += (gint64)timeout_ms * 1000 / 2 + 500000;
    if (is_to_be_late(world, path, body)) {
      request->late = TRUE;
      call_at(request, world->now_us + (gint64)(world_uniform(world, 2, 12) * G_USEC_PER_SEC),
              call_arrives);
    } else if (world_uniform(world, 0, 1) >= 0.001
               && world->now_us + delay < world->now_us + (gint64)timeout_ms * 1000)
      call_at(request, world->now_us + delay, call_arrives);
  }
  /* A late copy of what changes something; nobody waits for its answer. */
  if (strcmp(method, "GET") != 0 && world_uniform(world, 0, 1) < world->copies) {
    Call *duplicate = g_rc_box_new0(Call);
    duplicate->world = world;
    duplicate->node = world_node->index;
    duplicate->life = world_node->life;
    duplicate->over = TRUE;
    duplicate->target = target;
    duplicate->address = g_strdup(address);
    duplicate->method = g_strdup(method);
    duplicate->path = g_strdup(path);
    duplicate->request = json_deep_copy(request->request);
    call_at(duplicate, world->now_us + world_lateness(world), call_arrives);
    call_release(duplicate);
  }
  call_at(request, world->now_us + (gint64)timeout_ms * 1000 + 1000, call_timeout);
  call_release(request);
}
