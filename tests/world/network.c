/* Network delays, and partitions of a node or a zone from the rest. */
#include "world/internal.h"

gint64
world_network_delay(World *world) {
  return (gint64)(world_uniform(world, 0.0005, 0.006) * G_USEC_PER_SEC);
}

gint64
world_duplicate_delay(World *world) {
  return (gint64)(world_uniform(world, 0.5, 3 * world->lease_s) * G_USEC_PER_SEC);
}

static void
on_partition_over(gpointer data) {
  world_links_open(data);
}

void
world_cut_node(World *world, guint index, double seconds, gboolean delays_messages) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL || world->now_us < world_node->cut_until_us)
    return;
  world_node->cut_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_node->cut_delays_messages = delays_messages;
  world_links_close(world, index);
  world_schedule(world, world_node->cut_until_us + 1000, on_partition_over, world_node);
}

gboolean
world_is_partitioned(const World *world, guint index, const WorldMachine *machine) {
  if (world->now_us < world->nodes[index].workers_cut_until_us)
    return TRUE;
  return world->now_us < world->zone_cut_until_us
         && (index == world->cut_zone)
                != (strcmp(machine->zone, world_zone_names[world->cut_zone]) == 0);
}

void
world_cut_zone(World *world, guint index, double seconds, gboolean delays_messages) {
  if (world->now_us < world->zone_cut_until_us)
    return;
  world->cut_zone = index;
  world->zone_cut_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_cut_node(world, index, seconds, delays_messages);
}
