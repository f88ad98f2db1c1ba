/* Network delays, and partitions of a node or a zone from the rest. */
#include "world/internal.h"

gint64
world_network_delay(World *world) {
  return (gint64)(world_uniform(world, 0.0005, 0.006) * G_USEC_PER_SEC);
}

gint64
world_duplicate_delay(World *world) {
  return (gint64)(world_uniform(world, 0.5, 3 * world->worker_lease_s) * G_USEC_PER_SEC);
}

static void
on_partition_ended(gpointer data) {
  world_links_open(data);
}

void
world_partition_node(World *world, guint index, double seconds, gboolean delays_messages) {
  WorldNode *world_node = &world->nodes[index];

  if (world_node->node == NULL || world->now_us < world_node->partitioned_until_us)
    return;
  world_node->partitioned_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_node->partition_delays_messages = delays_messages;
  world_links_close(world, index);
  world_schedule(world, world_node->partitioned_until_us + 1000, on_partition_ended, world_node);
}

gboolean
world_is_partitioned(const World *world, guint index, const WorldMachine *machine) {
  if (world->now_us < world->nodes[index].workers_partitioned_until_us)
    return TRUE;
  return world->now_us < world->zone_partitioned_until_us
         && (index == world->partitioned_zone)
                != (strcmp(machine->zone, world_zone_names[world->partitioned_zone]) == 0);
}

void
world_partition_zone(World *world, guint index, double seconds, gboolean delays_messages) {
  if (world->now_us < world->zone_partitioned_until_us)
    return;
  world->partitioned_zone = index;
  world->zone_partitioned_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  world_partition_node(world, index, seconds, delays_messages);
}
