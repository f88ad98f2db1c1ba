/* The MmPlatform of a simulated node: clocks, timers, requests and links. */
#include "world/internal.h"

gboolean
world_defer_while_suspended(const WorldNode *world_node, guint generation, WorldCallback callback,
                            gpointer data) {
  if (world_node->node == NULL || world_node->generation != generation
      || world_node->world->now_us >= world_node->suspended_until_us)
    return FALSE;
  world_schedule(world_node->world, world_node->suspended_until_us, callback, data);
  return TRUE;
}

MmTime
world_node_now(gpointer data) {
  WorldNode *world_node = data;

  return (MmTime){ (gint64)((double)world_node->world->now_us * world_node->clock_rate) };
}

static gint64
platform_wall_ms(gpointer data) {
  WorldNode *world_node = data;

  /* The wall clocks of the nodes differ by up to 74 ms. */
  return 1700000000000 + world_node->world->now_us / 1000 + (gint64)world_node->index * 37 - 40;
}

/* A timer of a node's process. The timer is dropped if it becomes due after the process has ended.
 */
typedef struct {
  WorldNode *world_node;
  guint generation; /* generation of the process */
  WorldCallback callback;
  gpointer data;
} NodeTimer;

static void
on_timer_due(gpointer data) {
  NodeTimer *timer = data;

  if (world_defer_while_suspended(timer->world_node, timer->generation, on_timer_due, timer))
    return;
  if (timer->world_node->node != NULL && timer->world_node->generation == timer->generation)
    timer->callback(timer->data);
  g_free(timer);
}

static void
platform_call_after(gpointer data, guint ms, void (*callback)(gpointer data),
                    gpointer callback_data) {
  WorldNode *world_node = data;
  NodeTimer *timer;

  if (world_node->node == NULL)
    return;
  timer = g_new(NodeTimer, 1);
  *timer = (NodeTimer){ world_node, world_node->generation, callback, callback_data };
  world_schedule(world_node->world, world_node->world->now_us + (gint64)ms * 1000, on_timer_due,
                 timer);
}

MmPlatform
world_node_platform(WorldNode *world_node) {
  return (MmPlatform){ world_node,         world_node_now,
                       platform_wall_ms,   world_platform_request,
                       world_link_send,    world_link_reconnect,
                       platform_call_after };
}
