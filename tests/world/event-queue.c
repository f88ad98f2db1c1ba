/* The event queue. All activity in the simulation takes place in the callbacks of events. */
#include "world/internal.h"

typedef struct {
  gint64 at_us;
  guint64 order;
  WorldCallback callback;
  gpointer data;
} Event;

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data) {
  const Event *x = a, *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void
world_schedule(World *world, gint64 at_us, WorldCallback callback, gpointer data) {
  Event *event = g_new(Event, 1);

  *event = (Event){ MAX(at_us, world->now_us), ++world->n_events, callback, data };
  g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

double
world_uniform(World *world, double from, double to) {
  return g_rand_double_range(world->rand, from, to);
}

gboolean
world_run_next_event(World *world, gint64 until_us) {
  GSequenceIter *first = g_sequence_get_begin_iter(world->events);
  Event event;

  if (g_sequence_iter_is_end(first))
    return FALSE;
  event = *(Event *)g_sequence_get(first);
  if (event.at_us > until_us)
    return FALSE;
  g_sequence_remove(first);
  world->now_us = event.at_us;
  event.callback(event.data);
  return TRUE;
}

void
world_run(World *world, double seconds) {
  gint64 until = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);

  while (world_run_next_event(world, until))
    continue;
  world->now_us = until;
}
