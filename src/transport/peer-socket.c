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

static void connect_out(Out *outbound);

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
drop_out(Out *outbound) {
  if (outbound->connection == NULL)
    return;
  drop_source(&outbound->writable);
  drop_source(&outbound->readable);
  close_connection(g_steal_pointer(&outbound->connection));
  g_byte_array_set_size(outbound->queue, 0);
  mm_links_down(outbound->sockets->node->links, outbound->peer);
  g_timeout_add(RETRY_MS, reconnect, outbound);
}

static gboolean write_again(GSocket *socket, GIOCondition condition, gpointer data);

static void
write_out(Out *outbound) {
  g_autoptr(GError) error = NULL;
  GSocket *socket;
  gssize n_written;

  if (outbound->connection == NULL || outbound->queue->len == 0 || outbound->writable != NULL)
    return;
  socket = g_socket_connection_get_socket(outbound->connection);
  n_written = g_socket_send(socket, (const char *)outbound->queue->data, outbound->queue->len, NULL,
                            &error);
  if (n_written > 0)
    g_byte_array_remove_range(outbound->queue, 0, (guint)n_written);
  else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    drop_out(outbound);
    return;
  }
  if (outbound->queue->len == 0)
    return;
  outbound->writable = g_socket_create_source(socket, G_IO_OUT, NULL);
  g_source_set_callback(outbound->writable, G_SOURCE_FUNC(write_again), outbound, NULL);
  g_source_attach(outbound->writable, NULL);
}

static gboolean
write_again(GSocket *socket, GIOCondition condition, gpointer data) {
  Out *outbound = data;

  g_clear_pointer(&outbound->writable, g_source_unref);
  write_out(outbound);
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
    Out *outbound = &sockets->outs[i];
    outbound->sockets = sockets;
    outbound->peer = i;
    outbound->endpoint = g_array_index(settings->peers, MmPeerSettings, i).endpoint;
    outbound->queue = g_byte_array_new();
    outbound->flush = g_source_new(&flush_funcs, sizeof(GSource));
    g_source_set_callback(outbound->flush, flush, outbound, NULL);
    g_source_attach(outbound->flush, NULL);
  }
  return sockets;
}

void
mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame) {
  Out *outbound = &sockets->outs[peer];
  guint32 length = (guint32)mm__frame__get_packed_size(frame);
  guint32 length_be = g_htonl(length);
  guint offset = outbound->queue->len;

  if (outbound->connection == NULL)
    return;
  if (offset + length > MAX(QUEUE_LEAST, sockets->settings->memory_mb * QUEUE_SHARE)) {
    mm_info("peer %u does not read: its link is closed", peer);
    drop_out(outbound);
    return;
  }
  g_byte_array_set_size(outbound->queue, offset + 4 + length);
  memcpy(outbound->queue->data + offset, &length_be, 4);
  mm__frame__pack(frame, outbound->queue->data + offset + 4);
  g_source_set_ready_time(outbound->flush, 0);
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
  Out *outbound = data;
  GSocketConnection *connection
      = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);

  if (connection == NULL) {
    g_timeout_add(RETRY_MS, reconnect, outbound);
    return;
  }
  prepare_socket(connection);
  outbound->connection = connection;
  outbound->readable
      = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(outbound->readable, G_SOURCE_FUNC(out_read), outbound, NULL);
  g_source_attach(outbound->readable, NULL);
  mm_links_connected(outbound->sockets->node->links, outbound->peer);
}

static void
connect_out(Out *outbound) {
  g_autoptr(GSocketAddress) address = mm_transport_address(outbound->endpoint);

  if (address == NULL) {
    mm_error("peer address %s is not usable", outbound->endpoint);
    return;
  }
  g_socket_client_connect_async(outbound->sockets->client, G_SOCKET_CONNECTABLE(address), NULL,
                                connected, outbound);
}

/* ---- receiving ---- */

static void
drop_in(In *inbound) {
  if (inbound->peer >= 0 && inbound->sockets->ins[inbound->peer] == inbound)
    inbound->sockets->ins[inbound->peer] = NULL;
  drop_source(&inbound->readable);
  close_connection(inbound->connection);
  g_byte_array_unref(inbound->buffer);
  g_free(inbound);
}

/* The peer has opened a new connection: should the one before be half-open, nothing would ever show
 * its end. */
static void
note_hello(In *inbound, const char *label) {
  MmPeerSockets *sockets = inbound->sockets;

  inbound->peer = mm_links_find(sockets->node->links, label);
  if (inbound->peer < 0 || sockets->ins[inbound->peer] == inbound)
    return;
  if (sockets->ins[inbound->peer] != NULL)
    drop_in(sockets->ins[inbound->peer]);
  sockets->ins[inbound->peer] = inbound;
}

/* FALSE when the stream makes no sense. */
static gboolean
take_frames(In *inbound) {
  guint offset = 0;
  MmNode *node = inbound->sockets->node;

  while (inbound->buffer->len - offset >= 4) {
    guint32 length;
    Mm__Frame *frame;
    memcpy(&length, inbound->buffer->data + offset, 4);
    length = g_ntohl(length);
    if (length > FRAME_MAX)
      return FALSE;
    if (inbound->buffer->len - offset - 4 < length)
      break;
    frame = mm__frame__unpack(NULL, length, inbound->buffer->data + offset + 4);
    if (frame == NULL)
      return FALSE;
    offset += 4 + length;
    if (frame->body_case == MM__FRAME__BODY_HELLO)
      note_hello(inbound, frame->hello->label);
    if (inbound->peer >= 0)
      mm_links_frame(node->links, (guint)inbound->peer, frame);
    mm__frame__free_unpacked(frame, NULL);
    if (inbound->peer < 0)
      return FALSE;
  }
  g_byte_array_remove_range(inbound->buffer, 0, offset);
  return TRUE;
}

static gboolean
in_read(GSocket *socket, GIOCondition condition, gpointer data) {
  In *inbound = data;
  g_autoptr(GError) error = NULL;
  guint old_length = inbound->buffer->len;
  gssize n_read;

  g_byte_array_set_size(inbound->buffer, old_length + READ_SIZE);
  n_read = g_socket_receive(socket, (char *)inbound->buffer->data + old_length, READ_SIZE, NULL,
                            &error);
  g_byte_array_set_size(inbound->buffer, old_length + (guint)MAX(n_read, 0));
  if (n_read < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (n_read > 0 && take_frames(inbound))
    return G_SOURCE_CONTINUE;
  if (n_read > 0)
    mm_info("a peer's link makes no sense and is closed");
  drop_in(inbound);
  return G_SOURCE_REMOVE;
}

static gboolean
incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data) {
  In *inbound = g_new0(In, 1);

  inbound->sockets = data;
  inbound->connection = g_object_ref(connection);
  inbound->buffer = g_byte_array_new();
  inbound->peer = -1;
  prepare_socket(connection);
  inbound->readable
      = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(inbound->readable, G_SOURCE_FUNC(in_read), inbound, NULL);
  g_source_attach(inbound->readable, NULL);
  return TRUE;
}

gboolean
mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error) {
  g_autoptr(GSocketAddress) address = mm_transport_address(sockets->settings->peer_listen_address);

  sockets->node = node;
  sockets->service = g_socket_service_new();
  g_signal_connect(sockets->service, "incoming", G_CALLBACK(incoming), sockets);
  if (address == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address",
                sockets->settings->peer_listen_address);
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
