/* The HTTP server for users, operators, workers and health checks, based on libmicrohttpd;
 * docs/design.md explains why the server does not use libsoup. GLib's main loop polls the epoll
 * descriptor of the libmicrohttpd daemon; no thread is started. */
#include "transport/transport.h"

#include <microhttpd.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "transport/http-connections.h"

#define BODY_MAX_BYTES (64 * 1024)
/* Memory of a connection for headers and the read buffer. A body that does not fit into the read
 * buffer is received in several pieces. */
#define CONNECTION_MEMORY_BYTES 4096
/* For how long a connection may be silent. Those that send something now and then are bounded by
 * http-connections.c. */
#define IDLE_TIMEOUT_S 45
#define OVERDUE_CHECK_INTERVAL_MS 500
/* Number of sockets that the server leaves unused, because connections to the key-value store, the
 * cloud, peers and workers need sockets too. */
#define RESERVED_SOCKETS 100
#define LISTEN_BACKLOG 256

/* Memory for the bodies of requests that are being received, of all connections together: a share
 * of the node's memory. */
#define BODIES_MEMORY_SHARE (1.0 / 16)
/* Retry-After, in seconds, of the 503 response to a request for whose body there is no memory. */
#define NO_MEMORY_RETRY_S 1

struct MmHttpServer {
  struct MHD_Daemon *daemon;
  MmNode *node;
  MmHttpConnections *connections;
  GSource *source;
  gsize bodies_bytes;     /* length of the bodies that are being received */
  gsize bodies_max_bytes; /* a request whose body would exceed this is answered 503 */
};

typedef struct {
  MmHttpExchange base;
  MmHttpServer *server;
  struct MHD_Connection *connection;
  GByteArray *body;
  gboolean is_body_too_large;
  gboolean is_body_discarded;    /* there was no memory for a piece of the body */
  gboolean awaits_node_response; /* the node has received the request but has not responded */
  /* mm_node_handle_request is running. A response must not resume the connection during that call,
   * because the connection has not been suspended yet. */
  gboolean is_in_handler;
  gboolean is_client_disconnected; /* the client closed the connection before the node responded */
  int status;                      /* HTTP status; 0: no response yet */
  MmJson *response;
  guint retry_after_s;
} ServerExchange;

static void
free_body(ServerExchange *exchange) {
  if (exchange->body != NULL)
    exchange->server->bodies_bytes -= exchange->body->len;
  g_clear_pointer(&exchange->body, g_byte_array_unref);
}

static void
exchange_free(ServerExchange *exchange) {
  free_body(exchange);
  mm_json_unref(exchange->response);
  g_free(exchange);
}

static void
respond(MmHttpExchange *base, int status, MmJson *body, guint retry_after_s) {
  ServerExchange *exchange = (ServerExchange *)base;

  exchange->awaits_node_response = FALSE;
  exchange->status = status;
  exchange->response = body;
  exchange->retry_after_s = retry_after_s;
  if (exchange->is_client_disconnected)
    exchange_free(exchange);
  else if (!exchange->is_in_handler) {
    MHD_resume_connection(exchange->connection);
    /* Run the daemon in the next iteration of the main loop. Otherwise the response would be
     * delayed until the next request arrives, because the epoll descriptor does not signal a
     * resumed connection. */
    g_source_set_ready_time(exchange->server->source, 0);
  }
}

static enum MHD_Result
queue_response(struct MHD_Connection *connection, int status, const MmJson *body,
               guint retry_after_s) {
  char *text = body != NULL ? mm_json_to_text(body) : NULL;
  struct MHD_Response *response = MHD_create_response_from_buffer(text != NULL ? strlen(text) : 0,
                                                                  text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  if (text != NULL)
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
  if (retry_after_s > 0) {
    char seconds[16];
    g_snprintf(seconds, sizeof seconds, "%u", retry_after_s);
    MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
  }
  result = MHD_queue_response(connection, (guint)status, response);
  MHD_destroy_response(response);
  return result;
}

static enum MHD_Result
queue_error(struct MHD_Connection *connection, int status, const char *reason,
            guint retry_after_s) {
  g_autoptr(MmJson) body = mm_json_error(reason);

  return queue_response(connection, status, body, retry_after_s);
}

static MmHttpConnection *
connection_state(struct MHD_Connection *connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static void
on_connection_change(gpointer data, struct MHD_Connection *connection, void **socket_context,
                     enum MHD_ConnectionNotificationCode code) {
  MmHttpServer *server = data;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    mm_http_connections_closed(*socket_context);
    return;
  }
  *socket_context = mm_http_connections_opened(
      server->connections,
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd,
      mm_clock_now());
}

static gboolean
close_overdue_connections(gpointer data) {
  mm_http_connections_close_overdue(((MmHttpServer *)data)->connections, mm_clock_now());
  return G_SOURCE_CONTINUE;
}

static ServerExchange *
exchange_new(MmHttpServer *server, struct MHD_Connection *connection) {
  ServerExchange *exchange = g_new0(ServerExchange, 1);

  exchange->base.respond = respond;
  exchange->server = server;
  exchange->connection = connection;
  return exchange;
}

static void
append_to_body(ServerExchange *exchange, const char *piece, size_t length) {
  MmHttpServer *server = exchange->server;

  if (exchange->is_body_too_large || exchange->is_body_discarded)
    return;
  if (exchange->body == NULL)
    exchange->body = g_byte_array_new();
  exchange->is_body_too_large = exchange->body->len + length > BODY_MAX_BYTES;
  exchange->is_body_discarded = server->bodies_bytes + length > server->bodies_max_bytes;
  if (exchange->is_body_too_large || exchange->is_body_discarded) {
    free_body(exchange);
    return;
  }
  g_byte_array_append(exchange->body, (const guint8 *)piece, (guint)length);
  server->bodies_bytes += length;
}

/* Passes the request to the node. The node calls respond() during this call or later. */
static void
dispatch_to_node(ServerExchange *exchange, const char *method, const char *path) {
  g_autoptr(MmJson) body = NULL;

  if (exchange->body != NULL)
    body = mm_json_parse((const char *)exchange->body->data, exchange->body->len,
                         &exchange->base.body_error);
  free_body(exchange);
  exchange->awaits_node_response = TRUE;
  exchange->is_in_handler = TRUE;
  mm_node_handle_request(exchange->server->node, method, path, body, &exchange->base);
  exchange->is_in_handler = FALSE;
}

typedef struct {
  const char *length; /* the first Content-Length, or NULL */
  gboolean is_chunked;
  gboolean is_contradictory;
} BodyLength;

static enum MHD_Result
read_length_header(gpointer data, enum MHD_ValueKind kind, const char *name, const char *value) {
  BodyLength *body_length = data;

  if (g_ascii_strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    body_length->is_chunked = TRUE;
  if (g_ascii_strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) != 0)
    return MHD_YES;
  if (body_length->length != NULL && g_strcmp0(body_length->length, value) != 0)
    body_length->is_contradictory = TRUE;
  body_length->length = value;
  return MHD_YES;
}

/* Whether the head states two lengths of the body, of which libmicrohttpd would choose one. */
static gboolean
has_contradictory_length(struct MHD_Connection *connection) {
  BodyLength body_length = { 0 };

  MHD_get_connection_values(connection, MHD_HEADER_KIND, read_length_header, &body_length);
  return body_length.is_contradictory || (body_length.is_chunked && body_length.length != NULL);
}

/* Called by libmicrohttpd once for the headers, once for each piece of the body and once when the
 * body is complete. If the node does not respond at once, the connection is suspended.
 * libmicrohttpd calls this function again after the response has resumed the connection. */
static enum MHD_Result
handle_request(gpointer data, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *piece, size_t *length,
               void **request_state) {
  ServerExchange *exchange = *request_state;

  if (exchange == NULL) {
    mm_http_connections_head_received(connection_state(connection), mm_clock_now());
    *request_state = exchange_new(data, connection);
    if (has_contradictory_length(connection))
      return queue_error(connection, 400, "the length of the body is contradictory", 0);
    return MHD_YES;
  }
  if (*length > 0) {
    append_to_body(exchange, piece, *length);
    *length = 0;
    return MHD_YES;
  }
  mm_http_connections_request_received(connection_state(connection));
  if (exchange->is_body_too_large)
    return queue_error(connection, 413, "the body is over 64 KiB", 0);
  if (exchange->is_body_discarded)
    return queue_error(connection, 503, "too many requests in progress", NO_MEMORY_RETRY_S);
  if (exchange->status == 0)
    dispatch_to_node(exchange, method, path);
  if (exchange->status == 0) {
    MHD_suspend_connection(connection);
    return MHD_YES;
  }
  return queue_response(connection, exchange->status, exchange->response, exchange->retry_after_s);
}

static void
on_request_completed(gpointer data, struct MHD_Connection *connection, void **request_state,
                     enum MHD_RequestTerminationCode code) {
  ServerExchange *exchange = *request_state;

  *request_state = NULL;
  mm_http_connections_request_done(connection_state(connection), mm_clock_now());
  if (exchange == NULL)
    return;
  if (exchange->awaits_node_response)
    exchange->is_client_disconnected = TRUE; /* respond frees the exchange */
  else
    exchange_free(exchange);
}

typedef struct {
  GSource base;
  MmHttpServer *server;
  gpointer epoll_tag; /* of the daemon's epoll descriptor */
} DaemonSource;

/* Takes the time-out from libmicrohttpd. A time-out of 0 means that libmicrohttpd has read data
 * that it has not processed yet. The source must then be dispatched at once, because no descriptor
 * signals such data. */
static gboolean
source_prepare(GSource *source, gint *timeout_ms) {
  MHD_UNSIGNED_LONG_LONG timeout;

  *timeout_ms = -1;
  if (MHD_get_timeout(((DaemonSource *)source)->server->daemon, &timeout) == MHD_YES)
    *timeout_ms = (gint)MIN(timeout, 1000);
  return *timeout_ms == 0;
}

static gboolean
source_check(GSource *source) {
  return g_source_query_unix_fd(source, ((DaemonSource *)source)->epoll_tag) != 0;
}

static gboolean
source_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  g_source_set_ready_time(source, -1);
  MHD_run(((DaemonSource *)source)->server->daemon);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs
    = { source_prepare, source_check, source_dispatch, NULL, NULL, NULL };

static void
attach_source(MmHttpServer *server) {
  const union MHD_DaemonInfo *info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  DaemonSource *source = (DaemonSource *)g_source_new(&source_funcs, sizeof *source);

  source->server = server;
  source->epoll_tag = g_source_add_unix_fd(&source->base, info->epoll_fd, G_IO_IN);
  g_source_attach(&source->base, NULL);
  server->source = &source->base;
}

MmHttpServer *
mm_http_server_new(MmNode *node, const char *listen, GError **error) {
  g_autoptr(GSocketAddress) address = mm_transport_parse_address(listen);
  MmHttpServer *server = g_new0(MmHttpServer, 1);
  guint max_sockets = node->settings->max_sockets;
  guint max_connections = max_sockets - MIN(RESERVED_SOCKETS, max_sockets / 3);
  struct sockaddr_in socket_address;

  server->node = node;
  server->bodies_max_bytes = mm_settings_memory_bytes(node->settings, BODIES_MEMORY_SHARE);
  if (address == NULL || g_socket_address_get_family(address) != G_SOCKET_FAMILY_IPV4
      || !g_socket_address_to_native(address, &socket_address, sizeof socket_address, error)) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address", listen);
    g_free(server);
    return NULL;
  }
  server->connections = mm_http_connections_new(max_connections);
  server->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_request, server,
      MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_CONNECTION_LIMIT, max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
      on_request_completed, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection_change, server,
      MHD_OPTION_END);
  if (server->daemon == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE, "%s cannot be served", listen);
    g_free(server->connections);
    g_free(server);
    return NULL;
  }
  g_timeout_add(OVERDUE_CHECK_INTERVAL_MS, close_overdue_connections, server);
  attach_source(server);
  return server;
}
