/* The active format of the stored state, and the check that nodes respect it. */
#include "world/world.h"

#include "base/wire.h"
#include "kv/kv-client.h"
#include "upgrade/format.h"

/* Time within which a node learns of a change of the format. The time must be longer than 3.7 s,
 * because a node reopens its watch only after 3.7 s if the response to the watch is lost or arrives
 * while the node is suspended. */
#define CHANGE_PROPAGATION_US (4 * G_USEC_PER_SEC)

void
world_set_format(World *world, MmJson *value) {
  const MmJson *number = mm_json_get(value, "f");
  MmJson *change = value != NULL
                       ? mm_json_pack("{s:s, s:O}", WIRE_PUT, MM_KEY_FORMAT, WIRE_VALUE, value)
                       : mm_json_pack("{s:s}", WIRE_DELETE, MM_KEY_FORMAT);
  g_autoptr(MmJson) body = mm_json_pack("{s:[], s:[o]}", WIRE_CONDITIONS, WIRE_OPERATIONS, change);
  g_autoptr(MmJson) answer = NULL;

  g_assert_cmpint(world_kv_handle(world, "POST", WIRE_TXN_PATH, body, &answer), ==, 200);
  world->format = value == NULL
                      ? MM_FORMAT_LOWEST
                      : (mm_json_is_count(number) ? (guint64)mm_json_count_value(number) : 0);
  world->format_set_at_us = world->now_us;
  mm_json_unref(value);
}

void
world_check_write(const World *world, guint node) {
  const WorldNode *world_node = &world->nodes[node];
  guint64 highest
      = world_node->highest_format != 0 ? world_node->highest_format : MM_FORMAT_HIGHEST;

  /* A node that cannot read from the store cannot know the format. Until the node can read again,
   * the conditions of its transactions prevent wrong writes. */
  if ((world->format >= MM_FORMAT_LOWEST && world->format <= highest)
      || world->now_us < world->format_set_at_us + CHANGE_PROPAGATION_US
      || world->format_set_at_us == 0
      || world->now_us < world_node->watches_lost_until_us + CHANGE_PROPAGATION_US
      || world->now_us < world_node->partitioned_until_us + CHANGE_PROPAGATION_US
      || world->now_us < world_node->kv_refuses_until_us + CHANGE_PROPAGATION_US
      || world->now_us < world_node->suspended_until_us + CHANGE_PROPAGATION_US
      || world->now_us < world->outage_until_us + CHANGE_PROPAGATION_US
      || world->now_us < world->kv_slow_until_us + CHANGE_PROPAGATION_US)
    return;
  world_report_violation(
      (World *)world,
      "format: node %u writes although it does not support the active format %" G_GUINT64_FORMAT,
      node, world->format);
}
