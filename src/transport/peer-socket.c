/* Links between nodes: each node sends on connections of its own making and receives on those that
 * the others made. A frame is its length in four bytes, then the message. What is sent within one
 * turn of the main loop goes out in one write. */
#include "transport/transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "peers.pb-c.h"
#include "peers/links.h"

#define FRAME_MAX (1024 * 1024)
/* What a new link tells at once grows with the fleet: a sixteenth of the memory may wait on it. */
#define QUEUE_LEAST (2 * 1024 * 1024)
#define QUEUE_SHARE (1024 * 1024 / 16.0)
#define READ_SIZE (32 * 1024)
#define RETRY_MS 250
#define CONNECT_S 2

typedef struct {
  MmPeerSockets *sockets;
  guint peer;
  char *endpoint;
  GSocketConnection *connection;
  GByteArray *queue; /* to be written */
  GSource *flush;    /* set to the end of this turn while something is queued */
  GSource *writable; /* only while the socket is full */
  GSource *readable; /* the peer never writes here: its end shows this way */
} Out;

typedef struct {
  MmPeerSockets *sockets;
  GSocketConnection *connection;
  GByteArray *buffer;
  GSource *readable;
  gint peer; /* -1 until its hello */
} In;

struct MmPeerSockets {
  MmNode *node;
  const MmSettings *settings;
  GSocketService *service;
  GSocketClient *client;
  Out *outs;
  In **ins; /* by peer, the connection that said hello last; may be NULL */
  guint n;
};

static void connect_out(Out *out);

GSocketAddress *
mm_transport_address(const char *text) {
  const char *colon = strrchr(text, ':');
  g_autofree char *host = NULL;

  if (colon == NULL)
    return NULL;
  host = g_strndup(text, (gsize)(colon - text));
  return g_inet_socket_address_new_from_string(host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
}

static void
prepare_socket(GSocketConnection *connection) {
  GSocket *socket = g_socket_connection_get_socket(connection);

  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_timeout(socket, 0);
  g_socket_set_blocking(socket, FALSE);
}

static void
close_connection(GSocketConnection *connection) {
  g_socket_close(g_socket_connection_get_socket(connection), NULL);
  g_object_unref(connection);
}

/* ---- sending ---- */

static gboolean
reconnect(gpointer data) {
  connect_out(data);
  return G_SOURCE_REMOVE;
}

static void
drop_source(GSource **source) {
  if (*source == NULL)
    return;
  g_source_destroy(*source);
  g_clear_pointer(source, g_source_unref);
}

static void
drop_out(Out *out) {
  if (out->connection == NULL)
    return;
  drop_source(&out->writable);
  drop_source(&out->readable);
  close_connection(g_steal_pointer(&out->connection));
  g_byte_array_set_size(out->queue, 0);
  mm_links_down(out->sockets->node->links, out->peer);
  g_timeout_add(RETRY_MS, reconnect, out);
}

static gboolean write_again(GSocket *socket, GIOCondition condition, gpointer data);

static void
write_out(Out *out) {
  g_autoptr(GError) error = NULL;
  GSocket *socket;
  gssize n;

  if (out->connection == NULL || out->queue->len == 0 || out->writable != NULL)
    return;
  socket = g_socket_connection_get_socket(out->connection);
  n = g_socket_send(socket, (const char *)out->queue->data, out->queue->len, NULL, &error);
  if (n > 0)
    g_byte_array_remove_range(out->queue, 0, (guint)n);
  else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    drop_out(out);
    return;
  }
  if (out->queue->len == 0)
    return;
  out->writable = g_socket_create_source(socket, G_IO_OUT, NULL);
  g_source_set_callback(out->writable, G_SOURCE_FUNC(write_again), out, NULL);
  g_source_attach(out->writable, NULL);
}

static gboolean
write_again(GSocket *socket, GIOCondition condition, gpointer data) {
  Out *out = data;

  g_clear_pointer(&out->writable, g_source_unref);
  write_out(out);
  return G_SOURCE_REMOVE;
}

static gboolean
flush_due(GSource *source, GSourceFunc callback, gpointer data) {
  g_source_set_ready_time(source, -1);
  return callback(data);
}

static gboolean
flush(gpointer data) {
  write_out(data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs flush_funcs = { NULL, NULL, flush_due, NULL, NULL, NULL };

MmPeerSockets *
mm_peer_sockets_new(const MmSettings *settings) {
  MmPeerSockets *sockets = g_new0(MmPeerSockets, 1);

  sockets->settings = settings;
  sockets->n = settings->peers->len;
  sockets->outs = g_new0(Out, sockets->n);
  sockets->ins = g_new0(In *, sockets->n);
  sockets->client = g_socket_client_new();
  g_socket_client_set_enable_proxy(sockets->client, FALSE);
  g_socket_client_set_timeout(sockets->client, CONNECT_S);
  for (guint i = 0; i < sockets->n; i++) {
    Out *out = &sockets->outs[i];
    out->sockets = sockets;
    out->peer = i;
    out->endpoint = g_array_index(settings->peers, MmPeerSettings, i).endpoint;
    out->queue = g_byte_array_new();
    out->flush = g_source_new(&flush_funcs, sizeof(GSource));
    g_source_set_callback(out->flush, flush, out, NULL);
    g_source_attach(out->flush, NULL);
  }
  return sockets;
}

void
mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame) {
  Out *out = &sockets->outs[peer];
  guint32 length = (guint32)mm__frame__get_packed_size(frame);
  guint32 big = g_htonl(length);
  guint at = out->queue->len;

  if (out->connection == NULL)
    return;
  if (at + length > MAX(QUEUE_LEAST, sockets->settings->memory_mb * QUEUE_SHARE)) {
    mm_info("peer %u does not read: its link is closed", peer);
    drop_out(out);
    return;
  }
  g_byte_array_set_size(out->queue, at + 4 + length);
  memcpy(out->queue->data + at, &big, 4);
  mm__frame__pack(frame, out->queue->data + at + 4);
  g_source_set_ready_time(out->flush, 0);
}

void
mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer) {
  drop_out(&sockets->outs[peer]);
}

static gboolean
out_read(GSocket *socket, GIOCondition condition, gpointer data) {
  drop_out(data);
  return G_SOURCE_REMOVE;
}

static void
connected(GObject *source, GAsyncResult *result, gpointer data) {
  Out *out = data;
  GSocketConnection *connection
      = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);

  if (connection == NULL) {
    g_timeout_add(RETRY_MS, reconnect, out);
    return;
  }
  prepare_socket(connection);
  out->connection = connection;
  out->readable = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(out->readable, G_SOURCE_FUNC(out_read), out, NULL);
  g_source_attach(out->readable, NULL);
  mm_links_connected(out->sockets->node->links, out->peer);
}

static void
connect_out(Out *out) {
  g_autoptr(GSocketAddress) address = mm_transport_address(out->endpoint);

  if (address == NULL) {
    mm_error("peer address %s is not usable", out->endpoint);
    return;
  }
  g_socket_client_connect_async(out->sockets->client, G_SOCKET_CONNECTABLE(address), NULL,
                                connected, out);
}

/* ---- receiving ---- */

static void
drop_in(In *in) {
  if (in->peer >= 0 && in->sockets->ins[in->peer] == in)
    in->sockets->ins[in->peer] = NULL;
  drop_source(&in->readable);
  close_connection(in->connection);
  g_byte_array_unref(in->buffer);
  g_free(in);
}

/* The peer has opened a new connection: should the one before be half-open, nothing would ever show
 * its end. */
static void
note_hello(In *in, const char *label) {
  MmPeerSockets *sockets = in->sockets;

  in->peer = mm_links_find(sockets->node->links, label);
  if (in->peer < 0 || sockets->ins[in->peer] == in)
    return;
  if (sockets->ins[in->peer] != NULL)
    drop_in(sockets->ins[in->peer]);
  sockets->ins[in->peer] = in;
}

/* FALSE when the stream makes no sense. */
static gboolean
take_frames(In *in) {
  guint at = 0;
  MmNode *node = in->sockets->node;

  while (in->buffer->len - at >= 4) {
    guint32 length;
    Mm__Frame *frame;
    memcpy(&length, in->buffer->data + at, 4);
    length = g_ntohl(length);
    if (length > FRAME_MAX)
      return FALSE;
    if (in->buffer->len - at - 4 < length)
      break;
    frame = mm__frame__unpack(NULL, length, in->buffer->data + at + 4);
    if (frame == NULL)
      return FALSE;
    at += 4 + length;
    if (frame->body_case == MM__FRAME__BODY_HELLO)
      note_hello(in, frame->hello->label);
    if (in->peer >= 0)
      mm_links_frame(node->links, (guint)in->peer, frame);
    mm__frame__free_unpacked(frame, NULL);
    if (in->peer < 0)
      return FALSE;
  }
  g_byte_array_remove_range(in->buffer, 0, at);
  return TRUE;
}

static gboolean
in_read(GSocket *socket, GIOCondition condition, gpointer data) {
  In *in = data;
  g_autoptr(GError) error = NULL;
  guint at = in->buffer->len;
  gssize n;

  g_byte_array_set_size(in->buffer, at + READ_SIZE);
  n = g_socket_receive(socket, (char *)in->buffer->data + at, READ_SIZE, NULL, &error);
  g_byte_array_set_size(in->buffer, at + (guint)MAX(n, 0));
  if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (n > 0 && take_frames(in))
    return G_SOURCE_CONTINUE;
  if (n > 0)
    mm_info("a peer's link makes no sense and is closed");
  drop_in(in);
  return G_SOURCE_REMOVE;
}

static gboolean
incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data) {
  In *in = g_new0(In, 1);

  in->sockets = data;
  in->connection = g_object_ref(connection);
  in->buffer = g_byte_array_new();
  in->peer = -1;
  prepare_socket(connection);
  in->readable = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(in->readable, G_SOURCE_FUNC(in_read), in, NULL);
  g_source_attach(in->readable, NULL);
  return TRUE;
}

gboolean
mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error) {
  g_autoptr(GSocketAddress) address = mm_transport_address(sockets->settings->cluster_listen);

  sockets->node = node;
  sockets->service = g_socket_service_new();
  g_signal_connect(sockets->service, "incoming", G_CALLBACK(incoming), sockets);
  if (address == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address",
                sockets->settings->cluster_listen);
    return FALSE;
  }
  if (!g_socket_listener_add_address(G_SOCKET_LISTENER(sockets->service), address,
                                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                     error))
    return FALSE;
  for (guint i = 0; i < sockets->n; i++)
    connect_out(&sockets->outs[i]);
  return TRUE;
}
