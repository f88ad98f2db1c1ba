/* The sockets of the running program. */
#pragma once

#include <gio/gio.h>

#include "node/node.h"

typedef struct MmHttpServer MmHttpServer;
typedef struct MmHttpClient MmHttpClient;
typedef struct MmPeerSockets MmPeerSockets;

/* "10.0.0.1:8080" as an address; NULL when it is not one. */
GSocketAddress *mm_transport_parse_address(const char *text);

MmHttpServer *mm_http_server_new(MmNode *node, const char *listen, GError **error);

MmHttpClient *mm_http_client_new(const MmSettings *settings);
void mm_http_client_request(MmHttpClient *client, MmTarget target, const char *address,
                            const char *method, const char *path, const json_t *body,
                            guint timeout_ms, MmResponseCallback callback, gpointer data);

MmPeerSockets *mm_peer_sockets_new(const MmSettings *settings);
gboolean mm_peer_sockets_start(MmPeerSockets *sockets, MmNode *node, GError **error);
/* Closes our connection to the peer and opens another. */
void mm_peer_sockets_reconnect(MmPeerSockets *sockets, guint peer);
void mm_peer_sockets_send(MmPeerSockets *sockets, guint peer, const Mm__Frame *frame);
