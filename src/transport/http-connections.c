#include "transport/http-connections.h"

#include <sys/socket.h>

#include "base/log.h"

/* Time from the opening of a connection to the end of its first request, and from the head of a
 * later request to its end. Senders of requests wait for at most 5 s. */
#define REQUEST_TIMEOUT_MS 10000
/* Time from a response to the head of the next request on the connection. */
#define NEXT_REQUEST_TIMEOUT_MS 45000
/* Room is short when fewer than max_open / ROOM_DIVISOR connections are left. */
#define ROOM_DIVISOR 8

typedef enum {
  CLOSED_INCOMPLETE, /* the request did not become complete in time */
  CLOSED_IDLE,       /* no further request came in time */
  CLOSED_NO_ROOM,
  N_CLOSE_REASONS
} CloseReason;

struct MmHttpConnections {
  guint n_open;
  guint n_open_when_short;
  /* Connections in the order of their `since`, oldest first. */
  GQueue incomplete; /* without a complete request; since it was opened or its head was received */
  GQueue idle;       /* after a response; since the response */
  guint64 n_closed[N_CLOSE_REASONS];
  guint64 n_closed_logged; /* the sum of n_closed at the last log line */
};

struct MmHttpConnection {
  MmHttpConnections *connections;
  int descriptor;
  MmTime since;
  GQueue *queue; /* NULL: in no queue */
  GList link;
};

MmHttpConnections *
mm_http_connections_new(guint max_open) {
  MmHttpConnections *connections = g_new0(MmHttpConnections, 1);

  connections->n_open_when_short = max_open - max_open / ROOM_DIVISOR;
  g_queue_init(&connections->incomplete);
  g_queue_init(&connections->idle);
  return connections;
}

static void
leave_queue(MmHttpConnection *connection) {
  if (connection->queue != NULL)
    g_queue_unlink(connection->queue, &connection->link);
  connection->queue = NULL;
}

static void
enter_queue(MmHttpConnection *connection, GQueue *queue, MmTime now) {
  leave_queue(connection);
  connection->queue = queue;
  connection->since = now;
  g_queue_push_tail_link(queue, &connection->link);
}

/* Shuts the socket down; the server then closes it as if the client had. */
static void
close_connection(MmHttpConnection *connection, CloseReason reason) {
  connection->connections->n_closed[reason]++;
  leave_queue(connection);
  shutdown(connection->descriptor, SHUT_RDWR);
}

MmHttpConnection *
mm_http_connections_opened(MmHttpConnections *connections, int descriptor, MmTime now) {
  MmHttpConnection *connection = g_new0(MmHttpConnection, 1);
  MmHttpConnection *oldest = g_queue_peek_head(&connections->incomplete);

  if (oldest == NULL)
    oldest = g_queue_peek_head(&connections->idle);
  if (++connections->n_open > connections->n_open_when_short && oldest != NULL)
    close_connection(oldest, CLOSED_NO_ROOM);
  connection->connections = connections;
  connection->descriptor = descriptor;
  connection->link.data = connection;
  enter_queue(connection, &connections->incomplete, now);
  return connection;
}

void
mm_http_connections_closed(MmHttpConnection *connection) {
  connection->connections->n_open--;
  leave_queue(connection);
  g_free(connection);
}

void
mm_http_connections_head_received(MmHttpConnection *connection, MmTime now) {
  if (connection->queue == &connection->connections->idle)
    enter_queue(connection, &connection->connections->incomplete, now);
}

void
mm_http_connections_request_received(MmHttpConnection *connection) {
  leave_queue(connection);
}

void
mm_http_connections_request_done(MmHttpConnection *connection, MmTime now) {
  enter_queue(connection, &connection->connections->idle, now);
}

static void
close_older_than(GQueue *queue, MmTime now, gint64 timeout_ms, CloseReason reason) {
  MmHttpConnection *oldest;

  while ((oldest = g_queue_peek_head(queue)) != NULL
         && mm_time_ms_since(now, oldest->since) > timeout_ms)
    close_connection(oldest, reason);
}

void
mm_http_connections_close_overdue(MmHttpConnections *connections, MmTime now) {
  const guint64 *n_closed = connections->n_closed;
  guint64 sum;

  close_older_than(&connections->incomplete, now, REQUEST_TIMEOUT_MS, CLOSED_INCOMPLETE);
  close_older_than(&connections->idle, now, NEXT_REQUEST_TIMEOUT_MS, CLOSED_IDLE);
  sum = n_closed[CLOSED_INCOMPLETE] + n_closed[CLOSED_NO_ROOM];
  if (sum == connections->n_closed_logged)
    return;
  connections->n_closed_logged = sum;
  mm_info("connections closed incomplete=%" G_GUINT64_FORMAT " no_room=%" G_GUINT64_FORMAT
          " idle=%" G_GUINT64_FORMAT " open=%u",
          n_closed[CLOSED_INCOMPLETE], n_closed[CLOSED_NO_ROOM], n_closed[CLOSED_IDLE],
          connections->n_open);
}
