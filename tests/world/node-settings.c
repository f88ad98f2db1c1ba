/* The settings of a simulated node, as the platform would provide them in its settings file. */
#include "world/internal.h"

const char *const world_zone_names[WORLD_NODES] = { "a", "b", "c" };

MmSettings *
world_node_settings(World *world, guint index) {
  MmSettings *settings;
  g_autoptr(GError) error = NULL;
  g_autofree char *label = g_strdup_printf("n-%u", index);
  g_autoptr(MmJson) root = mm_json_pack(
      "{s:s, s:s, s:s, s:s, s:{s:s, s:s}, s:{s:i, s:{s:f, s:f, s:f, s:f, s:f},"
      " s:{s:f, s:f, s:f, s:i}, s:{s:f, s:f}, s:{s:f, s:f, s:i}}}",
      "label", label, "zone", world_zone_names[index], "front", "127.0.0.1:1", "cluster_listen",
      "127.0.0.1:2", "external", "cloud", "127.0.0.1:3", "state", "127.0.0.1:4", "settings",
      "count", WORLD_NODES, "workers", "report_s", world->heartbeat_interval_s, "lease_s",
      world->configured_lease_s > 0 ? world->configured_lease_s : world->worker_lease_s,
      "gang_wait_s", 20.0, "gang_peer_s", 4.0, "cancel_s", world->cancel_s, "state", "rps", 200.0,
      "write_rps", 20.0, "value_kb", 4.0, "txn_ops", 12, "cloud", "rps", 6.0, "list_lag_s", 2.0,
      "resources", "cpu", 0.1, "ram_mb", world->memory_mb, "max_sockets", 1000);
  MmJson *others = mm_json_new_array(), *teams = mm_json_new_array();

  g_assert_nonnull(root);
  for (guint i = 0; i < WORLD_NODES; i++) {
    g_autofree char *other = g_strdup_printf("n-%u", i);
    if (i != index)
      mm_json_array_append(others, mm_json_pack("{s:s, s:s, s:s}", "label", other, "zone",
                                                world_zone_names[i], "endpoint", "127.0.0.1:5"));
  }
  for (guint i = 0; i < 4; i++) {
    g_autofree char *name = g_strdup_printf("team-%u", i);
    mm_json_array_append(teams,
                         mm_json_pack("{s:s, s:f, s:f, s:f, s:f}", "name", name, "cpus", 4.0,
                                      "gpus", 0.0, "cpus_max", world->team_cores, "gpus_max", 0.0));
  }
  mm_json_object_set(root, "others", others);
  mm_json_object_set(mm_json_get(root, "settings"), "teams", teams);
  if (world->announces_next_limits && !world->nodes[index].is_old_version)
    mm_json_object_set(mm_json_get(mm_json_get(root, "settings"), "state"), "next",
                       mm_json_pack("{s:f, s:f, s:i}", "write_rps", WORLD_NEXT_WRITE_RPS,
                                    "value_kb", WORLD_NEXT_VALUE_BYTES / 1024.0, "txn_ops",
                                    WORLD_NEXT_TXN_OPS));
  settings = mm_settings_from_json("world", root, &error);
  if (settings == NULL)
    g_error("%s", error->message);
  return settings;
}
