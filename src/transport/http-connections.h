/* The connections of the HTTP server that have no request in progress at the node: which of them
 * are closed because their request does not become complete, and which because room is short.
 * Without these bounds, clients that send a byte now and then hold all connections. */
#pragma once

#include "base/types.h"

typedef struct MmHttpConnections MmHttpConnections;
typedef struct MmHttpConnection MmHttpConnection;

/* `max_open` is the number of connections that the server accepts. */
MmHttpConnections *mm_http_connections_new(guint max_open);

/* Adds a connection that was accepted on the socket `descriptor`, which stays the caller's. If room
 * is short, closes the connection that has waited longest: one without a complete request if there
 * is one, else one that is idle after a response. */
MmHttpConnection *mm_http_connections_opened(MmHttpConnections *connections, int descriptor,
                                             MmTime now);
/* Frees a connection whose socket is being closed. */
void mm_http_connections_closed(MmHttpConnection *connection);

/* The head of a request is complete. */
void mm_http_connections_head_received(MmHttpConnection *connection, MmTime now);
/* The request is complete: the connection stays open until request_done. */
void mm_http_connections_request_received(MmHttpConnection *connection);
/* The response was sent, or the request was given up. */
void mm_http_connections_request_done(MmHttpConnection *connection, MmTime now);

/* Closes connections whose request is not complete in time, and logs how many were closed since the
 * last call and why. */
void mm_http_connections_close_overdue(MmHttpConnections *connections, MmTime now);
