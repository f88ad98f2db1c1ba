#include "stand-ins.h"

#include <libsoup/soup.h>

#include "base/clock.h"
#include "base/wire.h"

#define STEP_MS 5
#define CONNECTIONS_MAX 400

struct StandIns {
  World *world;
  SoupServer *server;
  SoupSession *session;
  char *address;
  const char *const *http_addresses;
  gint64 offset_us; /* simulated time minus monotonic clock */
  guint timer;
  guint n_requests_in_flight; /* unanswered requests to nodes */
};

void
stand_ins_catch_up(StandIns *stand_ins) {
  gint64 late_us = mm_clock_now().us + stand_ins->offset_us - stand_ins->world->now_us;

  /* Processes overdue events, above all expired leases, in chronological order before any new
   * request is handled. */
  if (late_us > 0)
    world_run(stand_ins->world, (double)late_us / G_USEC_PER_SEC);
}

static gboolean
on_step_timer(gpointer data) {
  stand_ins_catch_up(data);
  return G_SOURCE_CONTINUE;
}

/* A member that every object carries which a node receives. */
#define UNKNOWN_MEMBER "\"x_unknown\":[18446744073709551616,-1e999,\"\\ud800\\u0000\",[[]]]"

/* Returns the text with an unknown member in each object. Free with g_free(). */
static char *
text_with_unknown_members(const MmJson *body) {
  g_autofree char *plain = mm_json_to_text(body);
  GString *text = g_string_new(NULL);
  gboolean is_in_string = FALSE;

  for (const char *c = plain; *c != '\0'; c++) {
    g_string_append_c(text, *c);
    if (is_in_string && *c == '\\')
      g_string_append_c(text, *++c);
    else if (*c == '"')
      is_in_string = !is_in_string;
    else if (!is_in_string && *c == '{')
      g_string_append(text, c[1] == '}' ? UNKNOWN_MEMBER : UNKNOWN_MEMBER ",");
  }
  return g_string_free(text, FALSE);
}

/* Requests from nodes */

static void
send_response(SoupServerMessage *message, int status, const MmJson *body) {
  char *text = body != NULL ? text_with_unknown_members(body) : NULL;

  soup_server_message_set_status(message, (guint)status, NULL);
  if (text != NULL)
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text,
                                     strlen(text));
  free(text);
}

static void
on_watch_response(gpointer data, int status, MmJson *body) {
  SoupServerMessage *message = data;

  send_response(message, status, body);
  soup_server_message_unpause(message);
  g_object_unref(message);
}

/* Handles a request to the worker of a machine, such as "/m-000001/do". Returns the HTTP status;
 * 404 when no machine with this id is up. */
static int
handle_worker_request(World *world, const char *path, const MmJson *body, MmJson **reply) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    const char *rest = path + 1 + strlen(machine->id);
    if (!machine->is_up || !g_str_has_prefix(path + 1, machine->id) || rest[0] != '/')
      continue;
    if (strcmp(rest, WIRE_DIRECT_PATH) == 0)
      return world_machine_handle_direct(machine, body, reply);
    *reply = world_machine_heartbeat(machine);
    return 200;
  }
  return 404;
}

static void
handle_request(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
               gpointer data) {
  StandIns *stand_ins = data;
  World *world = stand_ins->world;
  GUri *uri = soup_server_message_get_uri(message);
  const char *query_string = g_uri_get_query(uri);
  g_autofree char *target
      = query_string != NULL ? g_strdup_printf("%s?%s", path, query_string) : g_strdup(path);
  const SoupMessageBody *request_body = soup_server_message_get_request_body(message);
  g_autoptr(MmJson) body = mm_json_parse(request_body->data != NULL ? request_body->data : "",
                                         (gsize)request_body->length, NULL);
  const char *method = soup_server_message_get_method(message);
  g_autoptr(MmJson) reply = NULL;
  int status;

  stand_ins_catch_up(stand_ins);
  if (strcmp(path, WIRE_WATCH_PATH) == 0) {
    soup_server_message_pause(message);
    world_kv_add_watch(world, 0, target, on_watch_response, g_object_ref(message));
    return;
  }
  if (g_str_has_prefix(path, WIRE_MACHINES_PATH) || strcmp(path, WIRE_MACHINE_TYPES_PATH) == 0)
    status = world_cloud_handle(world, method, target, body, &reply);
  else if (g_str_has_prefix(path, "/m-"))
    status = handle_worker_request(world, path, body, &reply);
  else
    status = world_kv_handle(world, method, target, body, &reply);
  send_response(message, status, reply);
}

/* Requests to nodes */

typedef struct {
  StandIns *stand_ins;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  MmResponseCallback callback;
  gpointer data;
} Request;

static void
on_response(GObject *source, GAsyncResult *result, gpointer data) {
  Request *request = data;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
  g_autoptr(MmJson) body = NULL;
  int status = bytes != NULL ? (int)soup_message_get_status(request->message) : 0;

  if (bytes != NULL && g_bytes_get_size(bytes) > 0)
    body = mm_json_parse(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes), NULL);
  if (request->timer != 0)
    g_source_remove(request->timer);
  request->stand_ins->n_requests_in_flight--;
  if (request->stand_ins->timer != 0)
    stand_ins_catch_up(request->stand_ins);
  request->callback(request->data, status, body);
  g_object_unref(request->message);
  g_object_unref(request->cancellable);
  g_free(request);
}

static gboolean
on_request_timeout(gpointer data) {
  Request *request = data;

  request->timer = 0;
  g_cancellable_cancel(request->cancellable);
  return G_SOURCE_REMOVE;
}

static void
send_to_node(World *world, guint index, const char *method, const char *path, MmJson *body,
             gint64 timeout_us, MmResponseCallback callback, gpointer data) {
  StandIns *stand_ins = world->request_handler_data;
  g_autofree char *uri = g_strconcat("http://", stand_ins->http_addresses[index], path, NULL);
  Request *request = g_new0(Request, 1);

  stand_ins->n_requests_in_flight++;
  request->stand_ins = stand_ins;
  request->message = soup_message_new(method, uri);
  request->cancellable = g_cancellable_new();
  request->timer = g_timeout_add((guint)(timeout_us / 1000), on_request_timeout, request);
  request->callback = callback;
  request->data = data;
  if (body != NULL) {
    char *text = text_with_unknown_members(body);
    g_autoptr(GBytes) bytes = g_bytes_new_with_free_func(text, strlen(text), free, text);
    soup_message_set_request_body_from_bytes(request->message, "application/json", bytes);
    mm_json_unref(body);
  }
  soup_session_send_and_read_async(stand_ins->session, request->message, G_PRIORITY_DEFAULT,
                                   request->cancellable, on_response, request);
}

/* Setup */

StandIns *
stand_ins_new(World *world, const char *const *http_addresses, GError **error) {
  StandIns *stand_ins = g_new0(StandIns, 1);
  g_autoptr(GSocketAddress) loopback = g_inet_socket_address_new_from_string("127.0.0.1", 0);
  GSList *uris;

  stand_ins->world = world;
  stand_ins->http_addresses = http_addresses;
  stand_ins->server = soup_server_new(NULL, NULL);
  stand_ins->session = soup_session_new_with_options("max-conns", CONNECTIONS_MAX,
                                                     "max-conns-per-host", CONNECTIONS_MAX, NULL);
  soup_server_add_handler(stand_ins->server, NULL, handle_request, stand_ins, NULL);
  if (!soup_server_listen(stand_ins->server, loopback, 0, error)) {
    stand_ins_free(stand_ins);
    return NULL;
  }
  uris = soup_server_get_uris(stand_ins->server);
  stand_ins->address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
  g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
  stand_ins->offset_us = world->now_us - mm_clock_now().us;
  stand_ins->timer = g_timeout_add(STEP_MS, on_step_timer, stand_ins);
  world->request_handler_data = stand_ins;
  world->request_handler = send_to_node;
  return stand_ins;
}

void
stand_ins_stop(StandIns *stand_ins) {
  g_source_remove(stand_ins->timer);
  stand_ins->timer = 0;
  soup_session_abort(stand_ins->session);
  while (stand_ins->n_requests_in_flight > 0)
    g_main_context_iteration(NULL, TRUE);
}

void
stand_ins_free(StandIns *stand_ins) {
  soup_server_disconnect(stand_ins->server);
  while (g_main_context_iteration(NULL, FALSE))
    continue;
  g_object_unref(stand_ins->server);
  g_object_unref(stand_ins->session);
  g_free(stand_ins->address);
  g_free(stand_ins);
}

const char *
stand_ins_address(const StandIns *stand_ins) {
  return stand_ins->address;
}

void
stand_ins_add_machine(const StandIns *stand_ins, WorldMachine *machine) {
  /* One server serves all workers; the path identifies the machine. */
  g_snprintf(machine->address, sizeof machine->address, "%s/%s", stand_ins->address, machine->id);
}
