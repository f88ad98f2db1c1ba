/* The sockets of the running program: HTTP to and from it, and the links between nodes. All of it
 * runs on GLib's default main context, without threads; nothing here is ever freed, since a node
 * runs until its process is killed. */
#pragma once

#include <gio/gio.h>

#include "node/node.h"

typedef struct MmHttpServer MmHttpServer;
typedef struct MmHttpClient MmHttpClient;
typedef struct MmPeerSockets MmPeerSockets;

/* "10.0.0.1:8080" as an address; NULL when it is not one. Free with g_object_unref. */
GSocketAddress *mm_transport_parse_address(const char *text);

/* Serves users, workers and health checks at the address from now on, and hands their requests to
 * the node. NULL with an error when the address is none, or in use. */
MmHttpServer *mm_http_server_new(MmNode *node, const char *listen, GError **error);

/* The settings must outlive the client. */
MmHttpClient *mm_http_client_new(const MmSettings *settings);
/* As MmPlatform.request. */
void mm_http_client_request(MmHttpClient *client, MmTarget target, const char *address,
                            const char *method, const char *path, const json_t *body,
                            guint timeout_ms, MmResponseCallback callback, gpointer data);

/* The settings must outlive the sockets. */
MmPeerSockets *mm_peer_sockets_new(const MmSettings *settings);
/* Listens for peers and connects to each, again and again, for the node. FALSE with an error when
 * it can't listen. */
gboolean mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error);
/* Closes the connection to the peer and opens another. */
void mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer);
/* Queues the frame, which is lent, until the end of this turn of the main loop. A peer that does
 * not read is disconnected. */
void mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame);
