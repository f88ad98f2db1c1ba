/* Seeded random days: everything may fail, the rules hold after every step, and work gets done. */
#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/replica.h"
#include "world/world.h"

static WorldMachine *
any_machine(World *world) {
  for (guint tries = 0; tries < 50; tries++) {
    WorldMachine *machine = g_ptr_array_index(
        world->machines, (guint)g_rand_int_range(world->rand, 0, (gint32)world->machines->len));
    if (machine->is_up)
      return machine;
  }
  return NULL;
}

/* Days from here on have all troubles; the earlier ones stay as they were, since one of them holds
 * what once went wrong on it. */
#define ROUGH_DAYS 1001
#define OLD_TROUBLES 17
#define SECOND ((gint64)G_USEC_PER_SEC)

/* What befalls one machine (not NULL) or one node, drawn beforehand. */
typedef struct {
  World *world;
  WorldMachine *machine;
  guint node;
  double back_s; /* how long a node stays away */
} Victims;

static gint64
later(World *world, double from_s, double to_s) {
  return world->now_us + (gint64)(world_uniform(world, from_s, to_s) * G_USEC_PER_SEC);
}

static void
node_ends(Victims *v) {
  world_kill_node(v->world, v->node, v->back_s);
}

static void
all_nodes_end(Victims *v) {
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(v->world, i, v->back_s);
}

static void
store_is_down(Victims *v) {
  world_kv_outage(v->world, world_uniform(v->world, 1, 15));
}

static void
node_is_refused(Victims *v) {
  v->world->nodes[v->node].kv_refuses_until_us = later(v->world, 1, 12);
}

static void
machine_dies(Victims *v) {
  world_kill_machine(v->world, v->machine);
}

static void
machine_hangs(Victims *v) {
  v->machine->hung_until_us = later(v->world, 1, 20);
}

static void
machine_is_cut_off(Victims *v) {
  v->machine->cut_until_us = later(v->world, 1, 30);
}

static void
cloud_is_down(Victims *v) {
  v->world->cloud_down_until_us = v->world->now_us + 10 * SECOND;
}

static void
machine_is_deaf(Victims *v) {
  v->machine->inbound_lost_until_us = later(v->world, 2, 40);
}

static void
node_or_zone_is_cut_off(Victims *v) {
  World *world = v->world;

  if (g_rand_boolean(world->rand))
    world_cut_node(world, v->node, world_uniform(world, 1, 20), g_rand_boolean(world->rand));
  else
    world_cut_zone(world, v->node, world_uniform(world, 1, 30), g_rand_boolean(world->rand));
}

static void
machine_restarts(Victims *v) {
  world_restart_machine(v->world, v->machine, world_uniform(v->world, 0.1, 0.8));
}

static void
links_are_refused(Victims *v) {
  world_refuse_links(v->world, world_uniform(v->world, 2, 25));
}

static void
node_stands_still(Victims *v) {
  world_freeze_node(v->world, v->node, world_uniform(v->world, 0.2, 4 * v->world->lease_s));
}

static void
machine_is_to_be_taken(Victims *v) {
  WorldMachine *machine = v->machine;

  if (!machine->is_spot || machine->notice_at_us != 0)
    return;
  machine->notice_at_us = v->world->now_us;
  machine->reclaimed_at_us = v->world->now_us + 5 * SECOND;
  machine->has_changed = TRUE;
}

static void
machine_is_mute(Victims *v) {
  v->machine->outbound_lost_until_us = later(v->world, 2, 30);
}

static void
store_is_slow(Victims *v) {
  v->world->kv_slow_s = world_uniform(v->world, 0.1, 1.2);
  v->world->kv_slow_until_us = v->world->now_us + 15 * SECOND;
}

static void
odd_requests(Victims *v) {
  world_send_odd_requests(v->world);
}

/* One is refused alone, then all are. */
static void
refused_then_down(Victims *v) {
  World *world = v->world;

  world->nodes[v->node].kv_refuses_until_us = world->now_us + 14 * SECOND;
  world_run(world, world_uniform(world, 0.5, 4));
  world_kv_outage(world, world_uniform(world, 5, world->cancel_s + 5));
}

static void
jobs_are_called_off(Victims *v) {
  World *world = v->world;

  for (guint i = 0; i < 4; i++)
    world_cancel(g_ptr_array_index(
        world->jobs, (guint)g_rand_int_range(world->rand, 0, (gint32)world->jobs->len)));
  if (v->machine != NULL)
    v->machine->hung_until_us = world->now_us + 6 * SECOND;
}

static void
writes_get_late(Victims *v) {
  v->world->late_write_rate = v->world->late_write_rate > 0 ? 0 : 0.2;
}

typedef struct {
  void (*happens)(Victims *v);
  gboolean needs_machine;
} Trouble;

static const Trouble troubles[] = {
  { node_ends, FALSE },
  { all_nodes_end, FALSE },
  { store_is_down, FALSE },
  { node_is_refused, FALSE },
  { machine_dies, TRUE },
  { machine_hangs, TRUE },
  { machine_is_cut_off, TRUE },
  { machine_is_cut_off, TRUE },
  { cloud_is_down, FALSE },
  { machine_is_deaf, TRUE },
  { machine_is_deaf, TRUE },
  { node_or_zone_is_cut_off, FALSE },
  { machine_restarts, TRUE },
  { links_are_refused, FALSE },
  { node_stands_still, FALSE },
  { node_stands_still, FALSE },
  { machine_is_to_be_taken, TRUE },
  /* OLD_TROUBLES end here. */
  { machine_is_mute, TRUE },
  { store_is_slow, FALSE },
  { odd_requests, FALSE },
  { refused_then_down, FALSE },
  { jobs_are_called_off, FALSE },
  { writes_get_late, FALSE },
};

static void
some_trouble(World *world, gboolean rough) {
  Victims victims = { .world = world, .machine = any_machine(world) };
  guint which;

  victims.node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  victims.back_s = world_uniform(world, 0, 1) < 0.3 ? 0.2 : 3;
  which = (guint)g_rand_int_range(world->rand, 0,
                                  rough ? (gint)G_N_ELEMENTS(troubles) : OLD_TROUBLES);
  mm_debug("world: trouble %u, machine %s, node %u", which,
           victims.machine != NULL ? victims.machine->id : "none", victims.node);
  if (victims.machine != NULL || !troubles[which].needs_machine)
    troubles[which].happens(&victims);
}

static void
test_random_day(gconstpointer data) {
  World *world = world_new(GPOINTER_TO_UINT(data));
  gboolean rough = GPOINTER_TO_UINT(data) >= ROUGH_DAYS;
  guint started_half;

  /* On two days of three, late copies of requests come as well. */
  world->duplicate_rate = GPOINTER_TO_UINT(data) % 3 == 0 ? 0 : 0.02;
  world->stall_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.01;
  world->cancel_at_end_rate = rough ? 0.2 : 0;
  /* Nodes' machines may go away without a word to their peers. */
  world->ends_leave_half_open = rough && GPOINTER_TO_UINT(data) % 2 == 0;
  for (guint i = 0; i < 9; i++)
    world_add_machine(world, i % 4 == 3 ? "big" : "small",
                      i % 3 == 0   ? "a"
                      : i % 3 == 1 ? "b"
                                   : "c",
                      FALSE, 0.1);
  world_start(world);
  world_run(world, 3);
  for (guint second = 0; second < 150; second++) {
    if (second % 4 == 0)
      world_submit(world, world_random_job_body(world), world_uniform(world, 1, 12));
    if (second % 13 == 7)
      world_cancel(g_ptr_array_index(
          world->jobs, (guint)g_rand_int_range(world->rand, 0, (gint32)world->jobs->len)));
    if (second > 10 && world_uniform(world, 0, 1) < 0.2)
      some_trouble(world, rough);
    mm_debug("second %u", second);
    world_run(world, 1);
    world_assert_invariants(world);
  }
  started_half = world->n_starts;
  world->late_write_rate = 0;
  /* Troubles over: what is left gets done. */
  world->faults_ended_at_us = world->now_us + 45 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = g_ptr_array_index(world->jobs, i);
    if (job->spec.kind == MM_JOB_KIND_SERVICE && !job->is_cancel_requested)
      world_cancel(job);
  }
  world_run(world, 240);
  world_assert_invariants(world);
  g_assert_cmpuint(started_half, >, 20);
  g_test_message("%u jobs, %u starts, %" G_GUINT64_FORMAT " writes", world->jobs->len,
                 world->n_starts, world->n_writes);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

/* Nodes that all start anew while the cloud is down go by the machine types that were stored: they
 * once stood idle, and unhealthy, until it was back. */
static void
test_restart_needs_no_cloud(void) {
  World *world = world_new(9);
  WorldJob *job;

  /* None is faulty: how often tasks fail is not what is asked here. */
  for (guint i = 0; i < 3; i++)
    world_add_machine(world, "small", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 10);
  world->cloud_down_until_us = world->now_us + 600 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.5);
  world_run(world, 3);
  job = world_submit(world, json_pack("{s:i}", WIRE_TASKS, 4), 2);
  world_run(world, 25);
  world_assert_invariants(world);
  g_assert_cmpint(job->user_view, ==, USER_SEES_DONE);
  world_free(world);
}

/* Two nodes that are refused alone at the same time, while the third is served, are no outage: they
 * stop answering and their claims end, as the third one's doing shows; nothing runs twice. */
static void
test_two_refused_nodes_are_no_outage(void) {
  World *world = world_new(5);
  gint64 second = G_USEC_PER_SEC;

  for (guint i = 0; i < 6; i++)
    world_add_machine(world, "small", i % 2 == 0 ? "a" : "b", FALSE, 0.1);
  world_start(world);
  world_run(world, 3);
  world_submit(world, json_pack("{s:i, s:s}", WIRE_TASKS, 6, WIRE_KIND, WIRE_KIND_SERVICE), 0);
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

/* All nodes are back one shortly after the other, and each takes its parts with a term of its own.
 * Reports wait a moment for the last of them: a worker shows one higher term at once and the next
 * only half a lease later, and the parts waited for that. */
static void
test_last_term_is_shown_first(void) {
  World *world = world_new(11);
  guint changes = 0;
  guint64 tokens[20] = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS(tokens); i++)
    world_add_machine(world, "small", "a", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2 + 0.15 * i);
  for (guint step = 0; step < 350; step++) {
    world_run(world, 0.02);
    for (guint i = 0; i < G_N_ELEMENTS(tokens); i++) {
      const WorldMachine *machine = g_ptr_array_index(world->machines, i);
      changes += machine->fencing_token > tokens[i] && step > 0;
      tokens[i] = machine->fencing_token;
    }
  }
  world_assert_invariants(world);
  g_test_message("%u changes of term on %u machines", changes, (guint)G_N_ELEMENTS(tokens));
  for (guint i = 0; i < G_N_ELEMENTS(tokens); i++)
    if (((WorldMachine *)g_ptr_array_index(world->machines, i))->is_up)
      g_assert_cmpuint(tokens[i], ==, world->nodes[0].node->replica->term.v);
  g_assert_cmpuint(changes, <=, G_N_ELEMENTS(tokens) + 2);
  world_free(world);
}

/* A node that has lost the state service and the other nodes answers its users at once, sends its
 * workers on when its claim can have ended, and is back by itself. */
static void
test_cut_node_answers_users_503(void) {
  World *world = world_new(7);
  int submitted = -1, health = -1, polled = -1;
  json_t *body = json_pack("{s:s}", WIRE_JOB_ID, "run-000001");

  for (guint i = 0; i < 6; i++)
    world_add_machine(world, "small", i % 2 == 0 ? "a" : "b", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  world_submit(world, json_pack("{s:i}", WIRE_TASKS, 4), 5);
  world_run(world, 2);
  json_object_update(body, ((WorldJob *)g_ptr_array_index(world->jobs, 0))->body);
  json_object_set_new(body, WIRE_JOB_ID, json_string("run-000001"));
  world_cut_node(world, 1, 20, FALSE);
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

/* Of a request to a node that is at least so late. */
static int
status_late(World *world, gint64 lag_ms, const char *method, const char *path, json_t *body) {
  int status = -1;

  world_send_request(world, 0, NULL, method, path, body, 4000000, world_record_status, &status);
  /* It comes within 6 ms, and a tick on time would halve the lag. */
  world->nodes[0].node->tick_delay_ms = MAX(world->nodes[0].node->tick_delay_ms, lag_ms);
  world_run(world, 2);
  return status;
}

/* A node that falls behind turns polls away first, then submissions, never bad input's right answer
 * for long, nor health checks; on time again, it takes everything. */
static void
test_load_is_shed_in_order(void) {
  World *world = world_new(8);
  const char *poll = WIRE_JOBS_PATH "/run-555555";

  world_add_machine(world, "small", "a", FALSE, 0.1);
  world_start(world);
  world_run(world, 8);
  g_assert_cmpint(status_late(world, 0, "GET", poll, NULL), ==, 404);
  g_assert_cmpint(status_late(world, 1400, "GET", poll, NULL), ==, 503);
  g_assert_cmpint(status_late(world, 1400, "POST", WIRE_JOBS_PATH, json_object()), ==, 400);
  g_assert_cmpint(status_late(world, 100000, "POST", WIRE_JOBS_PATH, json_object()), ==, 503);
  g_assert_cmpint(status_late(world, 100000, "GET", "/healthz", NULL), ==, 200);
  world_run(world, 2);
  g_assert_cmpint(status_late(world, 0, "GET", poll, NULL), ==, 404);
  world_free(world);
}

/* An outage for all, in which two nodes find each other refused: claims hold throughout. */
static void
test_leases_hold_in_an_outage(void) {
  World *world = world_new(6);

  for (guint i = 0; i < 4; i++)
    world_add_machine(world, "small", "a", FALSE, 0.1);
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
  guint days = 16, rough = 8;

  g_test_init(&argc, &argv, NULL);
  if (g_getenv("LOG_LEVEL") != NULL)
    mm_log_read_level();
  /* More days than CI plays: MM_WORLD_DAYS=100 tests/test-world */
  if (g_getenv("MM_WORLD_DAYS") != NULL)
    days = rough = (guint)g_ascii_strtoull(g_getenv("MM_WORLD_DAYS"), NULL, 10);
  g_test_add_func("/world/restart-needs-no-cloud", test_restart_needs_no_cloud);
  g_test_add_func("/world/two-refused-nodes-are-no-outage", test_two_refused_nodes_are_no_outage);
  g_test_add_func("/world/leases-hold-in-an-outage", test_leases_hold_in_an_outage);
  g_test_add_func("/world/cut-node-answers-users-503", test_cut_node_answers_users_503);
  g_test_add_func("/world/load-is-shed-in-order", test_load_is_shed_in_order);
  g_test_add_func("/world/last-term-is-shown-first", test_last_term_is_shown_first);
  /* Day 31: a gang split by a lost machine waited without end. */
  g_test_add_data_func("/world/random-day-31-with-split-gang", GUINT_TO_POINTER(31),
                       test_random_day);
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/world/random-day-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_day);
  }
  for (guint i = 0; i < rough; i++) {
    g_autofree char *name = g_strdup_printf("/world/rough-day-%u", ROUGH_DAYS + i);
    g_test_add_data_func(name, GUINT_TO_POINTER(ROUGH_DAYS + i), test_random_day);
  }
  return g_test_run();
}
