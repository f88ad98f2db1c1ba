/* The network transport of the program: HTTP server, HTTP client and the links between nodes. It
 * runs in GLib's default main context and starts no threads. Its objects are never freed, since a
 * node runs until its process is killed. */
#pragma once

#include <gio/gio.h>

#include "node/node.h"

typedef struct MmHttpServer MmHttpServer;
typedef struct MmHttpClient MmHttpClient;
typedef struct MmPeerSockets MmPeerSockets;

/* Parses an address such as "10.0.0.1:8080". Returns NULL if it is invalid. Free the result with
 * g_object_unref. */
GSocketAddress *mm_transport_parse_address(const char *text);

/* Starts a server for users, operators, workers and health checks at the address `listen`, which
 * passes their requests to the node. Returns NULL with an error if the address is invalid or cannot
 * be listened on. */
MmHttpServer *mm_http_server_new(MmNode *node, const char *listen, GError **error);

/* Creates a client. `settings` must outlive it. */
MmHttpClient *mm_http_client_new(const MmSettings *settings);
/* Implements MmPlatform.request. */
void mm_http_client_request(MmHttpClient *client, MmTarget target, const char *address,
                            const char *method, const char *path, const json_t *body,
                            guint timeout_ms, MmResponseCallback callback, gpointer data);

/* Creates the sockets without connecting them. `settings` must outlive them. */
MmPeerSockets *mm_peer_sockets_new(const MmSettings *settings);
/* Listens for connections from peers and connects to each peer; connection attempts are repeated
 * until they succeed. Frames and link events go to `node`, which must outlive the sockets. Returns
 * FALSE with an error if listening fails. */
gboolean mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error);
/* Implements MmPlatform.reconnect: closes the connection to the peer and opens a new one. */
void mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer);
/* Implements MmPlatform.send: queues the frame, which is written at the end of the current
 * iteration of the main loop. `frame` is borrowed for the call. Drops the frame if there is no
 * connection, and closes the connection if the send queue is full because the peer does not read.
 */
void mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame);
