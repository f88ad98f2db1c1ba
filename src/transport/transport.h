/* The network transport of the program: HTTP server, HTTP client and the links between nodes. The
 * transport runs in GLib's default main context and starts no threads. The servers, clients and
 * sockets are never freed, because a node runs until its process is killed. */
#pragma once

#include <gio/gio.h>

#include "node/node.h"

typedef struct MmHttpServer MmHttpServer;
typedef struct MmHttpClient MmHttpClient;
typedef struct MmPeerSockets MmPeerSockets;

/* Parses an address such as "10.0.0.1:8080". Returns NULL if `text` is not a valid address. Free
 * the result with g_object_unref. */
GSocketAddress *mm_transport_parse_address(const char *text);

/* Starts a server for users, operators, workers and health checks. The server listens on the
 * address `listen` and passes requests to the node. Returns NULL with an error if the address is
 * invalid or the server cannot listen on it. */
MmHttpServer *mm_http_server_new(MmNode *node, const char *listen, GError **error);

/* Creates a client. `settings` must outlive the client. */
MmHttpClient *mm_http_client_new(const MmSettings *settings);
/* Implements MmPlatform.request. */
void mm_http_client_request(MmHttpClient *client, MmTarget target, const char *address,
                            const char *method, const char *path, const MmJson *body,
                            guint timeout_ms, MmResponseCallback callback, gpointer data);

/* Creates the sockets without connecting them. `settings` must outlive the sockets. */
MmPeerSockets *mm_peer_sockets_new(const MmSettings *settings);
/* Listens for connections from peers and connects to each peer. A connection attempt that fails is
 * repeated until it succeeds. Frames and link events are passed to `node`, which must outlive the
 * sockets. Returns FALSE with an error if listening fails. */
gboolean mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error);
/* Implements MmPlatform.reconnect: closes the connection to the peer and opens a new connection. */
void mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer);
/* Implements MmPlatform.send: queues the frame. The queue is written at the end of the current
 * iteration of the main loop. `frame` is borrowed for the call. The frame is dropped if there is no
 * connection to the peer. If the peer does not read and the send queue is full, the connection is
 * closed. */
void mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame);
