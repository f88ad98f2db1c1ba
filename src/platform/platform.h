/* The interface of a node to the outside: clocks, outgoing requests, links to peers and timers. The
 * program implements it with sockets, the tests with a simulated world.
 *
 * Responses and timers come from the one main loop, never from within the call that asked for them.
 */
#pragma once

#include <jansson.h>

#include "base/types.h"

typedef struct Mm__Frame Mm__Frame;

typedef enum { MM_TARGET_KV_STORE, MM_TARGET_CLOUD, MM_TARGET_WORKER } MmTarget;

/* Status 0: no response in time. The body is lent, and NULL when it is absent or not JSON. */
typedef void (*MmResponseCallback)(gpointer data, int status, json_t *body);

typedef struct {
  gpointer context;                 /* passed as `self` */
  MmTime (*now)(gpointer self);     /* steady time */
  gint64 (*wall_ms)(gpointer self); /* since 1970 */
  /* The body is lent and may be NULL; `address` is for workers alone. `on_response` is called
   * exactly once, and never before this returns. */
  void (*request)(gpointer self, MmTarget target, const char *address, const char *method,
                  const char *path, const json_t *body, guint timeout_ms,
                  MmResponseCallback on_response, gpointer data);
  /* Sends a frame, which is lent, to the peer; lost when there is no connection. */
  void (*send)(gpointer self, guint peer, const Mm__Frame *frame);
  /* Closes the connection to the peer, which calls mm_peer_links_disconnected, and opens another.
   */
  void (*reconnect)(gpointer self, guint peer);
  /* Calls once, after the time; cannot be cancelled. */
  void (*call_after)(gpointer self, guint ms, void (*call)(gpointer data), gpointer data);
} MmPlatform;

/* How often the loops of a node run, each of which moves the actual state towards the wanted one.
 */
#define MM_NODE_TICK_MS 50

static inline MmTime
mm_platform_now(const MmPlatform *platform) {
  return platform->now(platform->context);
}

static inline gint64
mm_platform_wall_ms(const MmPlatform *platform) {
  return platform->wall_ms(platform->context);
}

static inline void
mm_platform_call_after(const MmPlatform *platform, guint ms, void (*call)(gpointer data),
                       gpointer data) {
  platform->call_after(platform->context, ms, call, data);
}

/* An incoming request, to be responded to exactly once; it must not be used afterwards. */
typedef struct MmHttpExchange MmHttpExchange;
struct MmHttpExchange {
  /* Takes the body. `retry_after_s` 0: no Retry-After header. */
  void (*respond)(MmHttpExchange *exchange, int status, json_t *body, guint retry_after_s);
};

static inline void
mm_http_exchange_respond(MmHttpExchange *exchange, int status, json_t *body, guint retry_after_s) {
  exchange->respond(exchange, status, body, retry_after_s);
}
