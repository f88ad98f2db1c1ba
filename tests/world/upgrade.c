/* Upgrades: nodes that send messages and store records as the previous release did, and limits of
 * the key-value store that are lowered. */
#include "world/world.h"

#include "base/wire.h"
#include "kv/kv-client.h"

void
world_downgrade_request(const World *world, guint node, MmJson *request) {
  MmJson *changes = mm_json_get(request, WIRE_OPERATIONS);
  size_t i;
  MmJson *item;

  for (i = mm_json_array_size(changes); i > 0; i--) {
    const char *key = mm_json_string(mm_json_array_get(changes, i - 1), WIRE_PUT);
    if (key != NULL && g_str_has_prefix(key, MM_KEY_NODE_VERSION))
      mm_json_array_remove(changes, i - 1);
  }
  MM_JSON_ARRAY_FOREACH (changes, i, item) {
    const char *key = mm_json_string(item, WIRE_PUT);
    MmJson *value = mm_json_get(item, WIRE_VALUE);
    if (key == NULL)
      continue;
    if (g_str_has_prefix(key, MM_KEY_TERMINAL_RECORD))
      mm_json_object_remove(value, "t");
    /* The old release does not know the dependency field. It would drop the field if it rewrote the
     * record. */
    if (g_str_has_prefix(key, MM_KEY_JOB) && mm_json_get(value, "w") != NULL)
      world_report_violation(
          ((WorldNode *)&world->nodes[node])->world,
          "upgrade: node %u of the old release rewrites the record %s of a job with dependencies",
          node, key);
  }
}

void
world_upgrade_node(World *world, guint index, double down_s) {
  WorldNode *world_node = &world->nodes[index];

  world_kill_node(world, index, down_s);
  world_node->is_old_version = FALSE;
  world_node->operators.group_count = world->group_count;
  /* The MmNode of the process that has just ended may still read the old settings. */
  g_ptr_array_add(world->retired_settings, world_node->settings);
  world_node->settings = world_node_settings(world, index);
}

void
world_lower_limits(World *world) {
  world->value_bytes = WORLD_NEXT_VALUE_BYTES;
  world->txn_ops = WORLD_NEXT_TXN_OPS;
  world->write_rps = WORLD_NEXT_WRITE_RPS;
  world->write_tokens = world->write_rps;
  world->write_tokens_at_us = world->now_us;
}
