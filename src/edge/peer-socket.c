/* Links between nodes: each node sends on connections of its own making and receives on those that
 * the others made. A frame is its length in four bytes, then the message. */
#include "edge/edge.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "peers.pb-c.h"
#include "peers/links.h"

#define FRAME_MAX (1024 * 1024)
#define QUEUE_MAX (2 * 1024 * 1024)
#define READ_SIZE 8192
#define RETRY_MS 250
#define CONNECT_S 2

typedef struct {
  MmPeerSockets *sockets;
  guint peer;
  char *endpoint;
  GSocketConnection *connection;
  GByteArray *queue;   /* to be written */
  GByteArray *writing; /* being written */
} Out;

typedef struct {
  MmPeerSockets *sockets;
  GSocketConnection *connection;
  GByteArray *buffer;
  gint peer; /* -1 until its hello */
  guint8 chunk[READ_SIZE];
} In;

struct MmPeerSockets {
  MmNode *node;
  const MmSettings *settings;
  GSocketService *service;
  GSocketClient *client;
  Out *outs;
  guint n;
};

static void connect_out(Out *out);

GSocketAddress *
mm_edge_address(const char *text) {
  const char *colon = strrchr(text, ':');
  g_autofree char *host = NULL;

  if (colon == NULL)
    return NULL;
  host = g_strndup(text, (gsize)(colon - text));
  return g_inet_socket_address_new_from_string(host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
}

MmPeerSockets *
mm_peer_sockets_new(const MmSettings *settings) {
  MmPeerSockets *sockets = g_new0(MmPeerSockets, 1);

  sockets->settings = settings;
  sockets->n = settings->peers->len;
  sockets->outs = g_new0(Out, sockets->n);
  sockets->client = g_socket_client_new();
  g_socket_client_set_enable_proxy(sockets->client, FALSE);
  g_socket_client_set_timeout(sockets->client, CONNECT_S);
  for (guint i = 0; i < sockets->n; i++) {
    Out *out = &sockets->outs[i];
    out->sockets = sockets;
    out->peer = i;
    out->endpoint = g_array_index(settings->peers, MmPeerSettings, i).endpoint;
    out->queue = g_byte_array_new();
  }
  return sockets;
}

static void
no_delay(GSocketConnection *connection) {
  GSocket *socket = g_socket_connection_get_socket(connection);

  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_timeout(socket, 0);
}

/* ---- sending ---- */

static gboolean
reconnect(gpointer data) {
  connect_out(data);
  return G_SOURCE_REMOVE;
}

static void
drop_out(Out *out) {
  if (out->connection == NULL)
    return;
  g_io_stream_close_async(G_IO_STREAM(out->connection), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_clear_object(&out->connection);
  g_byte_array_set_size(out->queue, 0);
  mm_links_down(out->sockets->node->links, out->peer);
  g_timeout_add(RETRY_MS, reconnect, out);
}

static void write_out(Out *out);

typedef struct {
  Out *out;
  GSocketConnection *connection;
  GByteArray *bytes;
} Writing;

static void
written(GObject *source, GAsyncResult *result, gpointer data) {
  Writing *writing = data;
  Out *out = writing->out;
  gboolean good = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, NULL, NULL);
  gboolean current = out->connection == writing->connection;

  g_byte_array_unref(writing->bytes);
  g_object_unref(writing->connection);
  g_free(writing);
  if (!current)
    return;
  out->writing = NULL;
  if (!good)
    drop_out(out);
  else
    write_out(out);
}

static void
write_out(Out *out) {
  Writing *writing;

  if (out->connection == NULL || out->writing != NULL || out->queue->len == 0)
    return;
  out->writing = out->queue;
  out->queue = g_byte_array_new();
  writing = g_new(Writing, 1);
  *writing = (Writing){ out, g_object_ref(out->connection), out->writing };
  g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(out->connection)),
                                  out->writing->data, out->writing->len, G_PRIORITY_DEFAULT, NULL,
                                  written, writing);
}

void
mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame) {
  Out *out = &sockets->outs[peer];
  guint32 length = (guint32)mm__frame__get_packed_size(frame);
  guint32 big = g_htonl(length);
  guint at;

  if (out->connection == NULL)
    return;
  if (out->queue->len + length > QUEUE_MAX) {
    mm_info("peer %u does not read: its link is closed", peer);
    drop_out(out);
    return;
  }
  at = out->queue->len;
  g_byte_array_set_size(out->queue, at + 4 + length);
  memcpy(out->queue->data + at, &big, 4);
  mm__frame__pack(frame, out->queue->data + at + 4);
  write_out(out);
}

/* The peer never writes on our link: anything read, and above all its end, means it is over. */
static void
out_read(GObject *source, GAsyncResult *result, gpointer data) {
  Out *out = data;

  g_input_stream_skip_finish(G_INPUT_STREAM(source), result, NULL);
  if (out->connection != NULL
      && g_io_stream_get_input_stream(G_IO_STREAM(out->connection)) == G_INPUT_STREAM(source))
    drop_out(out);
}

static void
connected(GObject *source, GAsyncResult *result, gpointer data) {
  Out *out = data;
  g_autoptr(GSocketConnection) connection
      = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);

  if (connection == NULL) {
    g_timeout_add(RETRY_MS, reconnect, out);
    return;
  }
  no_delay(connection);
  out->connection = g_steal_pointer(&connection);
  out->writing = NULL;
  g_input_stream_skip_async(g_io_stream_get_input_stream(G_IO_STREAM(out->connection)), 1,
                            G_PRIORITY_DEFAULT, NULL, out_read, out);
  mm_links_up(out->sockets->node->links, out->peer);
}

static void
connect_out(Out *out) {
  g_autoptr(GSocketAddress) address = mm_edge_address(out->endpoint);

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
  g_io_stream_close_async(G_IO_STREAM(in->connection), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_object_unref(in->connection);
  g_byte_array_unref(in->buffer);
  g_free(in);
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
      in->peer = mm_links_find(node->links, frame->hello->label);
    if (in->peer >= 0)
      mm_links_frame(node->links, (guint)in->peer, frame);
    mm__frame__free_unpacked(frame, NULL);
    if (in->peer < 0)
      return FALSE;
  }
  g_byte_array_remove_range(in->buffer, 0, at);
  return TRUE;
}

static void
in_read(GObject *source, GAsyncResult *result, gpointer data) {
  In *in = data;
  gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

  if (n <= 0) {
    drop_in(in);
    return;
  }
  g_byte_array_append(in->buffer, in->chunk, (guint)n);
  if (!take_frames(in)) {
    mm_info("a peer's link makes no sense and is closed");
    drop_in(in);
    return;
  }
  g_input_stream_read_async(G_INPUT_STREAM(source), in->chunk, READ_SIZE, G_PRIORITY_DEFAULT, NULL,
                            in_read, in);
}

static gboolean
incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data) {
  In *in = g_new0(In, 1);

  in->sockets = data;
  in->connection = g_object_ref(connection);
  in->buffer = g_byte_array_new();
  in->peer = -1;
  no_delay(connection);
  g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(connection)), in->chunk,
                            READ_SIZE, G_PRIORITY_DEFAULT, NULL, in_read, in);
  return TRUE;
}

gboolean
mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error) {
  g_autoptr(GSocketAddress) address = mm_edge_address(sockets->settings->cluster_listen);

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
