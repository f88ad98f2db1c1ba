/* The interface through which a node accesses clocks, outgoing requests, links to peers and timers.
 * The program `martenmount` implements the interface with sockets; the tests implement it with a
 * simulation.
 *
 * Callbacks of requests and timers are invoked by the single main loop, never during the call of
 * `request` or `call_after` to which they were passed. */
#pragma once

#include "base/json.h"

#include "base/types.h"

typedef struct Mm__Frame Mm__Frame;

typedef enum { MM_TARGET_KV_STORE, MM_TARGET_CLOUD, MM_TARGET_WORKER } MmTarget;

/* Receives a response. `status` is the HTTP status, or 0 if there was no valid response before the
 * time-out. `body` is borrowed for the call. It is NULL if the response has no body or the body is
 * not JSON. */
typedef void (*MmResponseCallback)(gpointer data, int status, MmJson *body);

typedef struct {
  gpointer context;                    /* passed to each function as its first argument */
  MmTime (*now)(gpointer context);     /* monotonic time */
  gint64 (*wall_ms)(gpointer context); /* milliseconds since 1970 */
  /* Sends a request. `address` is used for MM_TARGET_WORKER only. `body` is borrowed for the call
   * and may be NULL. `on_response` is called exactly once, after this function has returned. */
  void (*request)(gpointer context, MmTarget target, const char *address, const char *method,
                  const char *path, const MmJson *body, guint timeout_ms,
                  MmResponseCallback on_response, gpointer data);
  /* Sends a frame to the peer, or drops the frame if there is no connection to the peer. `frame` is
   * borrowed for the call. */
  void (*send)(gpointer context, guint peer, const Mm__Frame *frame);
  /* Closes the connection to the peer and opens a new connection. Closing calls
   * mm_peer_links_disconnected. */
  void (*reconnect)(gpointer context, guint peer);
  /* Calls `callback` once after `ms` milliseconds. The timer cannot be cancelled. */
  void (*call_after)(gpointer context, guint ms, void (*callback)(gpointer data), gpointer data);
} MmPlatform;

/* The interval of a node's ticks. In each tick the modules run their control loops, which move the
 * actual state towards the desired state. */
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
mm_platform_call_after(const MmPlatform *platform, guint ms, void (*callback)(gpointer data),
                       gpointer data) {
  platform->call_after(platform->context, ms, callback, data);
}

/* An incoming request. Its handler must respond exactly once and must not use the exchange after
 * the response. */
typedef struct MmHttpExchange MmHttpExchange;
struct MmHttpExchange {
  /* Sends the response and takes ownership of `body`. If `retry_after_s` is 0, no Retry-After
   * header is sent. */
  void (*respond)(MmHttpExchange *exchange, int status, MmJson *body, guint retry_after_s);
  /* Why the body is not JSON, or zeros if it is JSON or empty. */
  MmJsonError body_error;
};

static inline void
mm_http_exchange_respond(MmHttpExchange *exchange, int status, MmJson *body, guint retry_after_s) {
  exchange->respond(exchange, status, body, retry_after_s);
}
