/* Common part of the requests that nodes send and receive. */
#include "world/internal.h"

gpointer
world_request_new(gsize size, World *world, guint node, const char *method, const char *path,
                  MmJson *body) {
  WorldRequest *request = g_rc_box_alloc0(size);

  request->world = world;
  request->node = node;
  request->method = g_strdup(method);
  request->path = g_strdup(path);
  request->body = body;
  return request;
}

static void
request_clear(gpointer data) {
  WorldRequest *request = data;

  mm_json_unref(request->response_body);
  mm_json_unref(request->body);
  g_free(request->method);
  g_free(request->path);
}

void
world_request_schedule(gpointer request, gint64 at_us, WorldCallback callback) {
  world_schedule(((WorldRequest *)request)->world, at_us, callback, g_rc_box_acquire(request));
}

void
world_request_release(gpointer request) {
  g_rc_box_release_full(request, request_clear);
}

void
world_request_finish(gpointer request, int status, MmJson *response_body) {
  WorldRequest *base = request;

  if (!base->is_finished) {
    base->is_finished = TRUE;
    if (base->callback != NULL)
      base->callback(base->data, status, response_body);
  }
  world_request_release(request);
}
