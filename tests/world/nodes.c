/* Processes of the nodes: start, ticks, suspension and end. */
#include "world/internal.h"

#include "upgrade/format.h"

/* The tick timer of a node's process. The timer is freed at the first tick after the process has
 * ended. */
typedef struct {
  WorldNode *world_node;
  guint generation; /* generation of the process */
} TickTimer;

static void
tick_node(gpointer data) {
  TickTimer *timer = data;

  if (timer->world_node->node == NULL || timer->world_node->generation != timer->generation) {
    g_free(timer);
    return;
  }
  if (world_defer_while_suspended(timer->world_node, timer->generation, tick_node, timer))
    return;
  world_make_node_faulty(timer->world_node->world, timer->world_node->node,
                         world_node_now(timer->world_node));
  mm_node_tick(timer->world_node->node);
  world_schedule(timer->world_node->world,
                 timer->world_node->world->now_us + MM_NODE_TICK_MS * 1000, tick_node, timer);
}

void
world_boot_node(gpointer data) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  MmPlatform platform = world_node_platform(world_node);
  TickTimer *tick_timer;

  if (world->is_shutting_down)
    return;
  tick_timer = g_new(TickTimer, 1);
  world_node->clock_rate = world_uniform(world, 1.0, 1.0005);
  world_node->node = mm_node_new(world_node->settings, &world_node->operators, &platform,
                                 (guint32)g_rand_int(world->rand));
  if (world_node->highest_format != 0)
    world_node->node->format->highest_supported = world_node->highest_format;
  mm_node_start(world_node->node);
  *tick_timer = (TickTimer){ world_node, world_node->generation };
  world_schedule(world, world->now_us + MM_NODE_TICK_MS * 1000, tick_node, tick_timer);
  world_links_open(world_node);
}

void
world_suspend_node(World *world, guint index, double seconds) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node != NULL && world->now_us >= world_node->suspended_until_us)
    world_node->suspended_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
}

void
world_kill_node(World *world, guint index, double down_s) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL)
    return;
  /* The MmNode stays allocated until world_free(), because response callbacks of its requests can
   * still be invoked. The MmNode can have no further effect. */
  g_ptr_array_add(world->ended_nodes, world_node->node);
  world_node->node = NULL;
  world_node->generation++;
  world_node->suspended_until_us = 0;
  memset(world_node->is_link_half_open, 0, sizeof world_node->is_link_half_open);
  world_links_node_ended(world, index);
  world_schedule(world, world->now_us + (gint64)(down_s * G_USEC_PER_SEC), world_boot_node,
                 world_node);
}
