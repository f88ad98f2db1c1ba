/* Tests of the active format: a node that does not support it is fenced, while the other nodes
 * continue to work. */
#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/replica.h"
#include "upgrade/format.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)
#define NEXT_FORMAT 2
#define N_SEEDS 4
#define N_SEEDS_SLOW 150

static World *
format_world(guint32 seed, guint n_supporting) {
  World *world = world_new(seed);

  world_add_nine_machines(world);
  world_start(world);
  for (guint i = 0; i < n_supporting; i++)
    world->nodes[i].highest_format = NEXT_FORMAT;
  return world;
}

static void
run_under_load(World *world, guint seconds) {
  for (guint i = 0; i < seconds; i++) {
    world_submit(world, world_random_job_body(world), world_uniform(world, 1, 6));
    world_run(world, 1);
    world_assert_invariants(world);
  }
}

static int
send_request(World *world, guint node, const char *method, const char *path, MmJson *body) {
  int status = -1;

  world_send_request(world, node, NULL, method, path, body, 2 * SECOND, world_record_status,
                     &status);
  world_run(world, 2.5);
  return status;
}

/* While the format key has a value that this program does not support or cannot read, no node
 * writes, starts tasks or answers 200, and no node exits. Once the key is removed, all nodes
 * resume. */
static void
test_unknown_value_fences_all_nodes(gconstpointer data) {
  World *world = format_world(41, 0);
  const WorldJob *first;
  guint64 writes;
  guint starts;

  world_run(world, 3);
  run_under_load(world, 6);
  first = world_job_at(world, 0);
  world_set_format(world, mm_json_parse(data, strlen(data), NULL));
  world_run(world, 3);
  writes = world->n_writes;
  starts = world->n_starts;
  for (guint i = 0; i < WORLD_NODES; i++) {
    g_autofree char *path = g_strconcat(WIRE_JOBS_PATH "/", first->id, NULL);
    g_assert_cmpint(send_request(world, i, "GET", "/healthz", NULL), ==, 503);
    g_assert_cmpint(send_request(world, i, "GET", path, NULL), ==, 503);
    g_assert_cmpint(send_request(world, i, "POST", WIRE_JOBS_PATH, mm_json_copy(first->body)), ==,
                    503);
    g_assert_false(mm_node_lease_may_answer_workers(world->nodes[i].node->node_lease));
  }
  world_kill_node(world, 1, 0.2);
  world_run(world, 10);
  g_assert_cmpuint(world->n_writes, ==, writes);
  g_assert_cmpuint(world->n_starts, <=, starts + 2); /* tasks whose images were being fetched */
  world_set_format(world, NULL);
  run_under_load(world, 10);
  g_assert_cmpint(send_request(world, 1, "GET", "/healthz", NULL), ==, 200);
  world_finish_run(world);
}

/* Two nodes support the next format and the third node does not. The first two acquire the shards
 * of the third node. The third node has neither a lease nor its node key, however often it
 * restarts. */
static void
test_old_node_is_fenced(void) {
  World *world = format_world(42, 2);

  world_run(world, 3);
  run_under_load(world, 6);
  world_set_format(world, mm_json_pack("{s:i}", "f", NEXT_FORMAT));
  run_under_load(world, 15);
  for (guint i = 0; i < 3; i++) {
    g_assert_null(g_tree_lookup(world->keys, "mm/r/n/n-2"));
    g_assert_nonnull(g_tree_lookup(world->keys, "mm/r/n/n-0"));
    g_assert_nonnull(world->nodes[2].node);
    world_kill_node(world, 2, 0.2);
    run_under_load(world, 6);
  }
  g_assert_cmpint(send_request(world, 2, "GET", "/healthz", NULL), ==, 503);
  world->nodes[2].highest_format = NEXT_FORMAT;
  world_kill_node(world, 2, 0.5);
  run_under_load(world, 6);
  g_assert_cmpint(send_request(world, 2, "GET", "/healthz", NULL), ==, 200);
  world_finish_run(world);
}

/* Random workload and faults. Meanwhile the active format changes back and forth, and one node
 * supports only the first format. */
static void
test_random_run(gconstpointer data) {
  World *world = format_world(GPOINTER_TO_UINT(data), 2);

  world->duplicate_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.02;
  world_run(world, 3);
  for (guint second = 0; second < 90; second++) {
    if (second % 3 == 0)
      world_submit(world, world_random_job_body(world), world_uniform(world, 1, 12));
    if (second > 5 && world_uniform(world, 0, 1) < 0.1)
      world_inject_random_fault(world);
    if (second % 17 == 9)
      world_set_format(
          world, g_rand_boolean(world->rand) ? NULL : mm_json_pack("{s:i}", "f", NEXT_FORMAT));
    world_run(world, 1);
    world_assert_invariants(world);
  }
  g_assert_cmpuint(world->n_starts, >, 20);
  world_set_format(world, NULL);
  world_finish_run(world);
}

int
main(int argc, char **argv) {
  static const char *const values[]
      = { "{\"f\":2}", "{\"f\":0}", "{\"f\":-1}", "{\"f\":\"1\"}", "{}", "[]" };

  world_test_init(&argc, &argv);
  for (guint i = 0; i < G_N_ELEMENTS(values); i++) {
    g_autofree char *path = g_strdup_printf("/format/unknown-value-%u-fences-all-nodes", i);
    g_test_add_data_func(path, values[i], test_unknown_value_fences_all_nodes);
  }
  g_test_add_func("/format/old-node-is-fenced", test_old_node_is_fenced);
  for (guint seed = 1; seed <= (g_test_slow() ? N_SEEDS_SLOW : N_SEEDS); seed++) {
    g_autofree char *path = g_strdup_printf("/format/random-day-%u", seed);
    g_test_add_data_func(path, GUINT_TO_POINTER(seed), test_random_run);
  }
  return g_test_run();
}
