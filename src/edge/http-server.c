#include "edge/edge.h"

#include <libsoup/soup.h>

#define BODY_MAX (64 * 1024)

struct MmHttpServer {
  SoupServer *server;
  MmNode *node;
};

typedef struct {
  MmExchange exchange;
  SoupServerMessage *message;
  gboolean gone; /* the client left before the answer */
} Exchange;

static void
client_gone(SoupServerMessage *message, gpointer data) {
  ((Exchange *)data)->gone = TRUE;
}

static void
set_answer(SoupServerMessage *message, int status, json_t *body, guint retry_after_s) {
  soup_server_message_set_status(message, (guint)status, NULL);
  if (retry_after_s > 0) {
    char seconds[16];
    g_snprintf(seconds, sizeof seconds, "%u", retry_after_s);
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After",
                                 seconds);
  }
  if (body != NULL) {
    char *text = json_dumps(body, JSON_COMPACT);
    gsize length = strlen(text);
    /* jansson allocates with malloc, as GLib does. */
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_TAKE, text, length);
  }
}

static void
answer(MmExchange *base, int status, json_t *body, guint retry_after_s) {
  Exchange *exchange = (Exchange *)base;

  g_signal_handlers_disconnect_by_data(exchange->message, exchange);
  if (!exchange->gone) {
    set_answer(exchange->message, status, body, retry_after_s);
    soup_server_message_unpause(exchange->message);
  }
  json_decref(body);
  g_object_unref(exchange->message);
  g_free(exchange);
}

static void
refuse(SoupServerMessage *message, int status, const char *reason) {
  g_autoptr(json_t) body = mm_json_error(reason);

  set_answer(message, status, body, 0);
}

static void
handle(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
       gpointer data) {
  MmHttpServer *self = data;
  SoupMessageBody *request = soup_server_message_get_request_body(message);
  g_autoptr(GBytes) bytes = soup_message_body_flatten(request);
  gsize length = 0;
  const char *text = g_bytes_get_data(bytes, &length);
  g_autoptr(json_t) body = NULL;
  Exchange *exchange;

  if (length > BODY_MAX) {
    refuse(message, 413, "the body is over 64 KiB");
    return;
  }
  if (length > 0)
    body = json_loadb(text, length, JSON_DECODE_ANY, NULL);
  exchange = g_new0(Exchange, 1);
  exchange->exchange.answer = answer;
  exchange->message = g_object_ref(message);
  g_signal_connect(message, "disconnected", G_CALLBACK(client_gone), exchange);
  g_signal_connect(message, "finished", G_CALLBACK(client_gone), exchange);
  soup_server_message_pause(message);
  mm_node_handle(self->node, soup_server_message_get_method(message), path, body,
                 &exchange->exchange);
}

/* Before the body is read: nothing that is too long is taken in. */
static void
handle_early(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data) {
  SoupMessageHeaders *headers = soup_server_message_get_request_headers(message);

  if (soup_message_headers_get_content_length(headers) > BODY_MAX)
    refuse(message, 413, "the body is over 64 KiB");
}

MmHttpServer *
mm_http_server_new(MmNode *node, const char *listen, GError **error) {
  g_autoptr(GSocketAddress) address = mm_edge_address(listen);
  MmHttpServer *self = g_new0(MmHttpServer, 1);

  self->node = node;
  self->server = soup_server_new("server-header", NULL, NULL);
  soup_server_add_early_handler(self->server, NULL, handle_early, self, NULL);
  soup_server_add_handler(self->server, NULL, handle, self, NULL);
  if (address == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address", listen);
    return NULL;
  }
  if (!soup_server_listen(self->server, address, 0, error))
    return NULL;
  return self;
}
