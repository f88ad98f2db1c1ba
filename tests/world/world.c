/* Life cycle of a simulated world: creation, start, periodic checks and end. */
#include "world/internal.h"

#include "kv/kv-client.h"
#include "upgrade/format.h"

void
world_report_violation(World *world, const char *format, ...) {
  va_list args;

  va_start(args, format);
  g_ptr_array_add(world->violations, g_strdup_vprintf(format, args));
  va_end(args);
}

void
world_test_init(int *argc, char ***argv) {
  g_test_init(argc, argv, NULL);
  if (g_getenv("LOG_LEVEL") != NULL)
    mm_log_read_level();
}

static void
check_periodically(gpointer data) {
  World *world = data;

  if (!world->skips_checks)
    world_check_invariants(world);
  world_schedule(world, world->now_us + 100000, check_periodically, world);
}

World *
world_new(guint32 seed) {
  World *world = g_new0(World, 1);

  world->rand = g_rand_new_with_seed(seed);
  world->events = g_sequence_new(g_free);
  world->ended_nodes = g_ptr_array_new();
  world->retired_settings = g_ptr_array_new_with_free_func((GDestroyNotify)mm_settings_free);
  world->now_us = G_USEC_PER_SEC;
  world->worker_lease_s = 8;
  world->heartbeat_interval_s = 1;
  world->cancel_s = 25;
  world->memory_mb = 64;
  world->capacity = 6;
  world->team_cores = 24;
  world->avoided_node = -1;
  world->format = MM_FORMAT_LOWEST;
  world->value_bytes = 4096;
  world->txn_ops = 12;
  world->violations = g_ptr_array_new_with_free_func(g_free);
  world->machines = g_ptr_array_new();
  world->jobs = g_ptr_array_new();
  world->cores_granted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  world->launch_responses
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)mm_json_unref);
  world_kv_init(world);
  return world;
}

void
world_start(World *world) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    WorldNode *world_node = &world->nodes[i];
    world_node->world = world;
    world_node->index = i;
    world_node->settings = world_node_settings(world, i);
    world_node->operators = mm_operators_defaults();
    world_node->operators.group_count = world_node->is_old_version ? 0 : world->group_count;
    world_node->operators.group_min_stay_s = world->group_hold_s;
    world_schedule(world, world->now_us + (gint64)i * 30000, world_boot_node, world_node);
  }
  check_periodically(world);
}

static void
run_all_events(World *world, double max_s) {
  gint64 until_us = world->now_us + (gint64)(max_s * G_USEC_PER_SEC);

  while (world_run_next_event(world, until_us))
    continue;
}

static void
end_nodes(World *world) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (world->nodes[i].node != NULL)
      g_ptr_array_add(world->ended_nodes, world->nodes[i].node);
    world->nodes[i].node = NULL;
    world->nodes[i].generation++;
  }
}

static void
free_machines(World *world) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    world_machine_clear_tasks(machine);
    g_ptr_array_unref(machine->tasks);
    g_free(machine);
  }
}

static void
free_jobs(World *world) {
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    mm_json_unref(job->body);
    mm_job_spec_clear(&job->spec);
    g_ptr_array_unref(job->dependencies);
    g_free(job->is_task_done);
    g_free(job);
  }
}

void
world_free(World *world) {
  world->is_shutting_down = TRUE;
  end_nodes(world);
  for (guint i = 0; i < world->machines->len; i++)
    world_kill_machine(world, g_ptr_array_index(world->machines, i));
  /* Runs until the requests of the ended nodes have finished with status 0. All of them finish
   * within the longest time-out. */
  run_all_events(world, 120);
  for (guint i = 0; i < world->ended_nodes->len; i++)
    mm_node_free(g_ptr_array_index(world->ended_nodes, i));
  run_all_events(world, 10);
  for (guint i = 0; i < WORLD_NODES; i++)
    mm_settings_free(world->nodes[i].settings);
  free_machines(world);
  free_jobs(world);
  world_kv_free(world);
  g_hash_table_unref(world->launch_responses);
  g_hash_table_unref(world->cores_granted);
  g_ptr_array_unref(world->machines);
  g_ptr_array_unref(world->jobs);
  g_ptr_array_unref(world->ended_nodes);
  g_ptr_array_unref(world->retired_settings);
  g_ptr_array_unref(world->violations);
  g_sequence_free(world->events);
  g_rand_free(world->rand);
  g_free(world);
}
