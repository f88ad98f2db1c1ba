/* Links between nodes. Each node sends on the connections that it opened, and receives on the
 * connections that its peers opened. A frame on the wire consists of the length of the message, as
 * four bytes in big-endian order, and the message. All frames sent within one iteration of the main
 * loop are written together. */
#include "transport/transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "peers.pb-c.h"
#include "peers/peer-links.h"
#include "node/peer-receiver.h"

#define FRAME_MAX_BYTES (1024 * 1024)
/* Size of the length field in front of each message. */
#define LENGTH_BYTES 4
/* The limit of a send queue: a sixteenth of the node's memory, but at least QUEUE_LIMIT_MIN_BYTES.
 * The limit depends on the node's memory because the initial state, which is sent on each new link,
 * grows with the number of machines. */
#define QUEUE_LIMIT_MIN_BYTES (2 * 1024 * 1024)
#define QUEUE_LIMIT_SHARE (1.0 / 16)
#define READ_BYTES (32 * 1024)
#define RECONNECT_DELAY_MS 250
#define CONNECT_TIMEOUT_S 2

typedef struct {
  MmPeerSockets *sockets;
  guint peer;
  char *endpoint;
  GSocketConnection *connection;
  GByteArray *queue; /* frames to be written */
  /* Dispatched at the end of the main loop iteration in which frames were queued. */
  GSource *flush_source;
  /* Exists only while the socket's send buffer is full. */
  GSource *writable_source;
  /* Signals that the connection was closed. The peer never sends on this connection. The connection
   * therefore becomes readable only when it is closed. */
  GSource *readable_source;
} OutboundLink;

typedef struct {
  MmPeerSockets *sockets;
  GSocketConnection *connection;
  GByteArray *buffer;
  GSource *readable_source;
  gint peer; /* MM_PEER_NONE until the hello frame of the peer is received */
} InboundLink;

struct MmPeerSockets {
  MmNode *node;
  const MmSettings *settings;
  GSocketService *service;
  GSocketClient *client;
  OutboundLink *outbound;
  /* For each peer, the connection on which the peer's latest hello frame was received, or NULL. */
  InboundLink **inbound;
  guint n_peers;
};

static void connect_outbound(OutboundLink *outbound);

GSocketAddress *
mm_transport_parse_address(const char *text) {
  const char *colon = strrchr(text, ':');
  g_autofree char *host = NULL;

  if (colon == NULL)
    return NULL;
  host = g_strndup(text, (gsize)(colon - text));
  return g_inet_socket_address_new_from_string(host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
}

static void
set_socket_options(GSocketConnection *connection) {
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

/* Sending. */

static gboolean
on_retry_due(gpointer data) {
  connect_outbound(data);
  return G_SOURCE_REMOVE;
}

static void
clear_source(GSource **source) {
  if (*source == NULL)
    return;
  g_source_destroy(*source);
  g_clear_pointer(source, g_source_unref);
}

static void
close_outbound(OutboundLink *outbound) {
  if (outbound->connection == NULL)
    return;
  clear_source(&outbound->writable_source);
  clear_source(&outbound->readable_source);
  close_connection(g_steal_pointer(&outbound->connection));
  g_byte_array_set_size(outbound->queue, 0);
  mm_peer_links_disconnected(outbound->sockets->node->peer_links, outbound->peer);
  g_timeout_add(RECONNECT_DELAY_MS, on_retry_due, outbound);
}

static gboolean on_writable(GSocket *socket, GIOCondition condition, gpointer data);

static void
write_queue(OutboundLink *outbound) {
  g_autoptr(GError) error = NULL;
  GSocket *socket;
  gssize n_written;

  if (outbound->connection == NULL || outbound->queue->len == 0
      || outbound->writable_source != NULL)
    return;
  socket = g_socket_connection_get_socket(outbound->connection);
  n_written = g_socket_send(socket, (const char *)outbound->queue->data, outbound->queue->len, NULL,
                            &error);
  if (n_written > 0)
    g_byte_array_remove_range(outbound->queue, 0, (guint)n_written);
  else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    close_outbound(outbound);
    return;
  }
  if (outbound->queue->len == 0)
    return;
  outbound->writable_source = g_socket_create_source(socket, G_IO_OUT, NULL);
  g_source_set_callback(outbound->writable_source, G_SOURCE_FUNC(on_writable), outbound, NULL);
  g_source_attach(outbound->writable_source, NULL);
}

static gboolean
on_writable(GSocket *socket, GIOCondition condition, gpointer data) {
  OutboundLink *outbound = data;

  g_clear_pointer(&outbound->writable_source, g_source_unref);
  write_queue(outbound);
  return G_SOURCE_REMOVE;
}

static gboolean
dispatch_flush(GSource *source, GSourceFunc callback, gpointer data) {
  g_source_set_ready_time(source, -1);
  return callback(data);
}

static gboolean
flush_queue(gpointer data) {
  write_queue(data);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs flush_funcs = { NULL, NULL, dispatch_flush, NULL, NULL, NULL };

MmPeerSockets *
mm_peer_sockets_new(const MmSettings *settings) {
  MmPeerSockets *sockets = g_new0(MmPeerSockets, 1);

  sockets->settings = settings;
  sockets->n_peers = settings->peers->len;
  sockets->outbound = g_new0(OutboundLink, sockets->n_peers);
  sockets->inbound = g_new0(InboundLink *, sockets->n_peers);
  sockets->client = g_socket_client_new();
  g_socket_client_set_enable_proxy(sockets->client, FALSE);
  g_socket_client_set_timeout(sockets->client, CONNECT_TIMEOUT_S);
  for (guint i = 0; i < sockets->n_peers; i++) {
    OutboundLink *outbound = &sockets->outbound[i];
    outbound->sockets = sockets;
    outbound->peer = i;
    outbound->endpoint = g_array_index(settings->peers, MmPeerSettings, i).endpoint;
    outbound->queue = g_byte_array_new();
    outbound->flush_source = g_source_new(&flush_funcs, sizeof(GSource));
    g_source_set_callback(outbound->flush_source, flush_queue, outbound, NULL);
    g_source_attach(outbound->flush_source, NULL);
  }
  return sockets;
}

void
mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame) {
  OutboundLink *outbound = &sockets->outbound[peer];
  guint32 length = (guint32)mm__frame__get_packed_size(frame);
  guint32 length_be = g_htonl(length);
  guint offset = outbound->queue->len;

  if (outbound->connection == NULL)
    return;
  if (offset + length > MAX(QUEUE_LIMIT_MIN_BYTES,
                            mm_settings_memory_bytes(sockets->settings, QUEUE_LIMIT_SHARE))) {
    mm_info("peer link closed, send queue is full peer=%u", peer);
    close_outbound(outbound);
    return;
  }
  g_byte_array_set_size(outbound->queue, offset + LENGTH_BYTES + length);
  memcpy(outbound->queue->data + offset, &length_be, LENGTH_BYTES);
  mm__frame__pack(frame, outbound->queue->data + offset + LENGTH_BYTES);
  g_source_set_ready_time(outbound->flush_source, 0);
}

void
mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer) {
  close_outbound(&sockets->outbound[peer]);
}

static gboolean
on_outbound_readable(GSocket *socket, GIOCondition condition, gpointer data) {
  close_outbound(data);
  return G_SOURCE_REMOVE;
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data) {
  OutboundLink *outbound = data;
  GSocketConnection *connection
      = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);

  if (connection == NULL) {
    g_timeout_add(RECONNECT_DELAY_MS, on_retry_due, outbound);
    return;
  }
  set_socket_options(connection);
  outbound->connection = connection;
  outbound->readable_source
      = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(outbound->readable_source, G_SOURCE_FUNC(on_outbound_readable), outbound,
                        NULL);
  g_source_attach(outbound->readable_source, NULL);
  mm_peer_links_connected(outbound->sockets->node->peer_links, outbound->peer);
}

static void
connect_outbound(OutboundLink *outbound) {
  g_autoptr(GSocketAddress) address = mm_transport_parse_address(outbound->endpoint);

  if (address == NULL) {
    mm_error("peer link not opened, invalid address endpoint=%s", outbound->endpoint);
    return;
  }
  g_socket_client_connect_async(outbound->sockets->client, G_SOCKET_CONNECTABLE(address), NULL,
                                on_connected, outbound);
}

/* Receiving. */

static void
close_inbound(InboundLink *inbound) {
  if (inbound->peer >= 0 && inbound->sockets->inbound[inbound->peer] == inbound)
    inbound->sockets->inbound[inbound->peer] = NULL;
  clear_source(&inbound->readable_source);
  close_connection(inbound->connection);
  g_byte_array_unref(inbound->buffer);
  g_free(inbound);
}

/* Assigns the connection to the peer that sent the hello frame, and closes the peer's previous
 * connection. The previous connection may be half-open, and nothing else would close a half-open
 * connection. */
static void
register_hello(InboundLink *inbound, const char *label) {
  MmPeerSockets *sockets = inbound->sockets;

  inbound->peer = mm_peer_links_find(sockets->node->peer_links, label);
  if (inbound->peer < 0 || sockets->inbound[inbound->peer] == inbound)
    return;
  if (sockets->inbound[inbound->peer] != NULL)
    close_inbound(sockets->inbound[inbound->peer]);
  sockets->inbound[inbound->peer] = inbound;
}

/* Passes complete frames to the node and removes them from the buffer. Returns FALSE if a frame is
 * malformed, longer than FRAME_MAX_BYTES, or received before a hello frame of a known peer. */
static gboolean
receive_frames(InboundLink *inbound) {
  guint offset = 0;
  MmNode *node = inbound->sockets->node;

  while (inbound->buffer->len - offset >= LENGTH_BYTES) {
    guint32 length;
    Mm__Frame *frame;
    memcpy(&length, inbound->buffer->data + offset, LENGTH_BYTES);
    length = g_ntohl(length);
    if (length > FRAME_MAX_BYTES)
      return FALSE;
    if (inbound->buffer->len - offset - LENGTH_BYTES < length)
      break;
    frame = mm__frame__unpack(NULL, length, inbound->buffer->data + offset + LENGTH_BYTES);
    if (frame == NULL)
      return FALSE;
    offset += LENGTH_BYTES + length;
    if (frame->body_case == MM__FRAME__BODY_HELLO)
      register_hello(inbound, frame->hello->label);
    if (inbound->peer >= 0)
      mm_peer_links_receive(node->peer_links, (guint)inbound->peer, frame);
    mm__frame__free_unpacked(frame, NULL);
    if (inbound->peer < 0)
      return FALSE;
  }
  g_byte_array_remove_range(inbound->buffer, 0, offset);
  return TRUE;
}

static gboolean
on_inbound_readable(GSocket *socket, GIOCondition condition, gpointer data) {
  InboundLink *inbound = data;
  g_autoptr(GError) error = NULL;
  guint old_length = inbound->buffer->len;
  gssize n_read;

  g_byte_array_set_size(inbound->buffer, old_length + READ_BYTES);
  n_read = g_socket_receive(socket, (char *)inbound->buffer->data + old_length, READ_BYTES, NULL,
                            &error);
  g_byte_array_set_size(inbound->buffer, old_length + (guint)MAX(n_read, 0));
  if (n_read < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (n_read > 0 && receive_frames(inbound))
    return G_SOURCE_CONTINUE;
  if (n_read > 0)
    mm_info("peer link closed, malformed frame received peer=%d", inbound->peer);
  close_inbound(inbound);
  return G_SOURCE_REMOVE;
}

static gboolean
on_connection_accepted(GSocketService *service, GSocketConnection *connection, GObject *source,
                       gpointer data) {
  InboundLink *inbound = g_new0(InboundLink, 1);

  inbound->sockets = data;
  inbound->connection = g_object_ref(connection);
  inbound->buffer = g_byte_array_new();
  inbound->peer = MM_PEER_NONE;
  set_socket_options(connection);
  inbound->readable_source
      = g_socket_create_source(g_socket_connection_get_socket(connection), G_IO_IN, NULL);
  g_source_set_callback(inbound->readable_source, G_SOURCE_FUNC(on_inbound_readable), inbound,
                        NULL);
  g_source_attach(inbound->readable_source, NULL);
  return TRUE;
}

gboolean
mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error) {
  g_autoptr(GSocketAddress) address
      = mm_transport_parse_address(sockets->settings->peer_listen_address);

  sockets->node = node;
  sockets->service = g_socket_service_new();
  g_signal_connect(sockets->service, "incoming", G_CALLBACK(on_connection_accepted), sockets);
  if (address == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address",
                sockets->settings->peer_listen_address);
    return FALSE;
  }
  if (!g_socket_listener_add_address(G_SOCKET_LISTENER(sockets->service), address,
                                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                     error))
    return FALSE;
  for (guint i = 0; i < sockets->n_peers; i++)
    connect_outbound(&sockets->outbound[i]);
  return TRUE;
}
