/* Leases, outages, terms and load shedding in the simulated world, and random days. */
#include "base/wire.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "test-world.h"
#include "world/world.h"

/* All nodes restart during an outage of the cloud and use the stored instance types: the nodes are
 * healthy and start tasks before the cloud is back. */
static void
test_restart_needs_no_cloud(void) {
  World *world = world_new(9);
  WorldJob *job;

  /* Task failures are disabled, as this test does not cover them. */
  for (guint i = 0; i < 3; i++)
    world_add_machine(world, "small", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 10);
  world->cloud_down_until_us = world->now_us + 600 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.5);
  world_run(world, 3);
  job = world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 4), 2);
  world_run(world, 25);
  world_assert_invariants(world);
  g_assert_cmpint(job->user_view, ==, USER_SEES_DONE);
  world_free(world);
}

/* The key-value store refuses requests from two nodes at the same time and serves the third node.
 * The refusals do not prove an outage, because the third node shows that the store is up. The two
 * refused nodes stop answering workers, and the leases of these two nodes expire. No task runs
 * twice. */
static void
test_two_refused_nodes_are_no_outage(void) {
  World *world = world_new(5);
  gint64 second = G_USEC_PER_SEC;

  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 3);
  world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 6, WIRE_KIND, WIRE_KIND_SERVICE), 0);
  world_run(world, 10);
  world->nodes[0].kv_refuses_until_us = world->nodes[1].kv_refuses_until_us
      = world->now_us + 30 * second;
  world_run(world, 8);
  world_assert_invariants(world);
  g_assert_false(mm_node_lease_may_answer_workers(world->nodes[0].node->node_lease));
  g_assert_false(mm_node_lease_may_answer_workers(world->nodes[1].node->node_lease));
  g_assert_true(mm_node_lease_may_answer_workers(world->nodes[2].node->node_lease));
  world_run(world, 40);
  world_assert_invariants(world);
  g_assert_true(mm_node_lease_may_answer_workers(world->nodes[0].node->node_lease));
  world_free(world);
}

/* All nodes restart shortly after one another, and each acquires its shards under a term of its
 * own. Responses to heartbeats are delayed briefly until the last of these terms is known. Without
 * the delay, a worker would show the first higher term at once but the next term only half a lease
 * later. The shards of the later term would have to wait for the worker. */
static void
test_last_term_is_shown_first(void) {
  World *world = world_new(11);
  guint n_token_changes = 0;
  guint64 fencing_tokens[20] = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS(fencing_tokens); i++)
    world_add_machine(world, "small", "a", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2 + 0.15 * i);
  for (guint step = 0; step < 350; step++) {
    world_run(world, 0.02);
    for (guint i = 0; i < G_N_ELEMENTS(fencing_tokens); i++) {
      const WorldMachine *machine = world_machine_at(world, i);
      n_token_changes += machine->fencing_token > fencing_tokens[i] && step > 0;
      fencing_tokens[i] = machine->fencing_token;
    }
  }
  world_assert_invariants(world);
  g_test_message("%u changes of fencing tokens on %u machines", n_token_changes,
                 (guint)G_N_ELEMENTS(fencing_tokens));
  for (guint i = 0; i < G_N_ELEMENTS(fencing_tokens); i++)
    if (world_machine_at(world, i)->is_up)
      g_assert_cmpuint(fencing_tokens[i], ==, world->nodes[0].node->replica->term.v);
  g_assert_cmpuint(n_token_changes, <=, G_N_ELEMENTS(fencing_tokens) + 2);
  world_free(world);
}

/* A node that has lost the key-value store and the other nodes answers its users at once. The node
 * redirects its workers once the node's lease may have expired, and recovers by itself. */
static void
test_partitioned_node_answers_users_503(void) {
  World *world = world_new(7);
  int submitted = -1, health = -1, polled = -1;
  MmJson *body;

  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 8);
  world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 4), 5);
  world_run(world, 2);
  body = mm_json_copy(world_job_at(world, 0)->body);
  mm_json_object_set(body, WIRE_JOB_ID, mm_json_new_string("run-000001"));
  world_partition_node(world, 1, 20, FALSE);
  world_run(world, 4);
  g_assert_false(mm_node_lease_may_answer_workers(world->nodes[1].node->node_lease));
  world_send_request(world, 1, NULL, "POST", WIRE_JOBS_PATH, body, 100000, world_record_status,
                     &submitted);
  world_send_request(world, 1, NULL, "GET", WIRE_JOBS_PATH "/run-000001", NULL, 100000,
                     world_record_status, &polled);
  world_send_request(world, 1, NULL, "GET", "/healthz", NULL, 100000, world_record_status, &health);
  world_run(world, 0.2);
  g_assert_cmpint(submitted, ==, 503);
  g_assert_cmpint(polled, ==, 503);
  g_assert_cmpint(health, ==, 503);
  world_run(world, 25);
  g_assert_true(mm_node_lease_may_answer_workers(world->nodes[1].node->node_lease));
  world_assert_invariants(world);
  world_free(world);
}

/* Returns the status of a request to a node whose ticks are at least `tick_delay_ms` late. */
static int
status_of_late_node(World *world, gint64 tick_delay_ms, const char *method, const char *path,
                    MmJson *body) {
  int status = -1;

  world_send_request(world, 0, NULL, method, path, body, 4000000, world_record_status, &status);
  /* The request arrives within 6 ms; a tick that is on time would halve the delay. */
  world->nodes[0].node->tick_delay_ms = MAX(world->nodes[0].node->tick_delay_ms, tick_delay_ms);
  world_run(world, 2);
  return status;
}

/* An overloaded node refuses status polls first, then submissions, and never health checks; a
 * malformed submission still gets 400 while only polls are refused. Once the node's ticks are on
 * time again, it accepts everything. */
static void
test_load_is_shed_in_order(void) {
  World *world = world_new(8);
  const char *poll = WIRE_JOBS_PATH "/run-555555";

  world_add_machine(world, "small", "a", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  g_assert_cmpint(status_of_late_node(world, 0, "GET", poll, NULL), ==, 404);
  g_assert_cmpint(status_of_late_node(world, 1400, "GET", poll, NULL), ==, 503);
  g_assert_cmpint(status_of_late_node(world, 1400, "POST", WIRE_JOBS_PATH, mm_json_new_object()),
                  ==, 400);
  g_assert_cmpint(status_of_late_node(world, 100000, "POST", WIRE_JOBS_PATH, mm_json_new_object()),
                  ==, 503);
  g_assert_cmpint(status_of_late_node(world, 100000, "GET", "/healthz", NULL), ==, 200);
  world_run(world, 2);
  g_assert_cmpint(status_of_late_node(world, 0, "GET", poll, NULL), ==, 404);
  world_free(world);
}

/* The key-value store is down for all nodes, and two nodes prove the outage to each other. The
 * node leases stay valid during the outage. */
static void
test_leases_hold_in_an_outage(void) {
  World *world = world_new(6);

  world_add_machines(world, 4, "small", 1);
  world_start(world);
  world_run(world, 10);
  world_kv_outage(world, 25);
  for (guint i = 0; i < 24; i++) {
    world_run(world, 1);
    for (guint n = 0; n < WORLD_NODES; n++)
      g_assert_true(mm_node_lease_may_answer_workers(world->nodes[n].node->node_lease));
  }
  world_run(world, 10);
  world_assert_invariants(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/world/restart-needs-no-cloud", test_restart_needs_no_cloud);
  g_test_add_func("/world/two-refused-nodes-are-no-outage", test_two_refused_nodes_are_no_outage);
  g_test_add_func("/world/leases-hold-in-an-outage", test_leases_hold_in_an_outage);
  g_test_add_func("/world/cut-node-answers-users-503", test_partitioned_node_answers_users_503);
  g_test_add_func("/world/load-is-shed-in-order", test_load_is_shed_in_order);
  g_test_add_func("/world/last-term-is-shown-first", test_last_term_is_shown_first);
  add_random_days();
  return g_test_run();
}
