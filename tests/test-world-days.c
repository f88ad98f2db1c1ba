/* Seeded random days: anything may fail, the invariants hold after every step, and all work gets
 * done. */
#include "test-world.h"

#include "base/wire.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)
#define DAYS 16
#define ROUGH_DAYS_IN_CI 8
/* Days from here on draw from all faults. The earlier ones draw from the first of them only, as
 * they always did: one of them has a failure that was found on it. */
#define FIRST_ROUGH_DAY 1001
#define N_FAULTS_OF_CALM_DAYS 17

/* A machine that is up; NULL if fifty draws find none. */
static WorldMachine *
any_running_machine(World *world) {
  for (guint tries = 0; tries < 50; tries++) {
    WorldMachine *machine = g_ptr_array_index(
        world->machines, (guint)g_rand_int_range(world->rand, 0, (gint32)world->machines->len));
    if (machine->is_up)
      return machine;
  }
  return NULL;
}

/* What a fault befalls: one machine (may be NULL) or one node, drawn beforehand. */
typedef struct {
  World *world;
  WorldMachine *machine;
  guint node;
  double down_s; /* how long a node stays down */
} FaultTarget;

static gint64
random_time(World *world, double from_s, double to_s) {
  return world->now_us + (gint64)(world_uniform(world, from_s, to_s) * G_USEC_PER_SEC);
}

static void
node_ends(FaultTarget *target) {
  world_kill_node(target->world, target->node, target->down_s);
}

static void
all_nodes_end(FaultTarget *target) {
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(target->world, i, target->down_s);
}

static void
store_is_down(FaultTarget *target) {
  world_kv_outage(target->world, world_uniform(target->world, 1, 15));
}

static void
node_is_refused(FaultTarget *target) {
  target->world->nodes[target->node].kv_refuses_until_us = random_time(target->world, 1, 12);
}

static void
machine_dies(FaultTarget *target) {
  world_kill_machine(target->world, target->machine);
}

static void
machine_hangs(FaultTarget *target) {
  target->machine->hung_until_us = random_time(target->world, 1, 20);
}

static void
machine_is_cut_off(FaultTarget *target) {
  target->machine->cut_until_us = random_time(target->world, 1, 30);
}

static void
cloud_is_down(FaultTarget *target) {
  target->world->cloud_down_until_us = target->world->now_us + 10 * SECOND;
}

static void
machine_loses_inbound(FaultTarget *target) {
  target->machine->inbound_lost_until_us = random_time(target->world, 2, 40);
}

static void
node_or_zone_is_cut_off(FaultTarget *target) {
  World *world = target->world;

  if (g_rand_boolean(world->rand))
    world_cut_node(world, target->node, world_uniform(world, 1, 20), g_rand_boolean(world->rand));
  else
    world_cut_zone(world, target->node, world_uniform(world, 1, 30), g_rand_boolean(world->rand));
}

static void
machine_restarts(FaultTarget *target) {
  world_restart_machine(target->world, target->machine, world_uniform(target->world, 0.1, 0.8));
}

static void
links_are_refused(FaultTarget *target) {
  world_refuse_links(target->world, world_uniform(target->world, 2, 25));
}

static void
node_is_suspended(FaultTarget *target) {
  world_freeze_node(target->world, target->node,
                    world_uniform(target->world, 0.2, 4 * target->world->lease_s));
}

static void
spot_machine_gets_notice(FaultTarget *target) {
  WorldMachine *machine = target->machine;

  if (!machine->is_spot || machine->notice_at_us != 0)
    return;
  machine->notice_at_us = target->world->now_us;
  machine->reclaimed_at_us = target->world->now_us + 5 * SECOND;
  machine->has_changed = TRUE;
}

static void
machine_loses_outbound(FaultTarget *target) {
  target->machine->outbound_lost_until_us = random_time(target->world, 2, 30);
}

static void
store_is_slow(FaultTarget *target) {
  target->world->kv_slow_s = world_uniform(target->world, 0.1, 1.2);
  target->world->kv_slow_until_us = target->world->now_us + 15 * SECOND;
}

static void
users_send_odd_requests(FaultTarget *target) {
  world_send_odd_requests(target->world);
}

/* The store refuses one node, then all. */
static void
store_refuses_one_then_all(FaultTarget *target) {
  World *world = target->world;

  world->nodes[target->node].kv_refuses_until_us = world->now_us + 14 * SECOND;
  world_run(world, world_uniform(world, 0.5, 4));
  world_kv_outage(world, world_uniform(world, 5, world->cancel_s + 5));
}

static void
jobs_are_cancelled(FaultTarget *target) {
  World *world = target->world;

  for (guint i = 0; i < 4; i++)
    world_cancel(world_any_job(world));
  if (target->machine != NULL)
    target->machine->hung_until_us = world->now_us + 6 * SECOND;
}

static void
writes_turn_late(FaultTarget *target) {
  target->world->late_write_rate = target->world->late_write_rate > 0 ? 0 : 0.2;
}

typedef struct {
  void (*inject)(FaultTarget *target);
  gboolean needs_machine; /* not injected without a machine */
} Fault;

static const Fault faults[] = {
  { node_ends, FALSE },
  { all_nodes_end, FALSE },
  { store_is_down, FALSE },
  { node_is_refused, FALSE },
  { machine_dies, TRUE },
  { machine_hangs, TRUE },
  { machine_is_cut_off, TRUE },
  { machine_is_cut_off, TRUE },
  { cloud_is_down, FALSE },
  { machine_loses_inbound, TRUE },
  { machine_loses_inbound, TRUE },
  { node_or_zone_is_cut_off, FALSE },
  { machine_restarts, TRUE },
  { links_are_refused, FALSE },
  { node_is_suspended, FALSE },
  { node_is_suspended, FALSE },
  { spot_machine_gets_notice, TRUE },
  /* N_FAULTS_OF_CALM_DAYS end here. */
  { machine_loses_outbound, TRUE },
  { store_is_slow, FALSE },
  { users_send_odd_requests, FALSE },
  { store_refuses_one_then_all, FALSE },
  { jobs_are_cancelled, FALSE },
  { writes_turn_late, FALSE },
};

static void
inject_random_fault(World *world, gboolean rough) {
  FaultTarget target = { .world = world, .machine = any_running_machine(world) };
  guint which;

  target.node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  target.down_s = world_uniform(world, 0, 1) < 0.3 ? 0.2 : 3;
  which = (guint)g_rand_int_range(world->rand, 0,
                                  rough ? (gint)G_N_ELEMENTS(faults) : N_FAULTS_OF_CALM_DAYS);
  mm_debug("world: fault %u, machine %s, node %u", which,
           target.machine != NULL ? target.machine->id : "none", target.node);
  if (target.machine != NULL || !faults[which].needs_machine)
    faults[which].inject(&target);
}

/* A job every four seconds, some cancelled, and a fault on every fifth second. */
static void
play_random_day(World *world, gboolean rough) {
  for (guint second = 0; second < 150; second++) {
    if (second % 4 == 0)
      world_submit(world, world_random_job_body(world), world_uniform(world, 1, 12));
    if (second % 13 == 7)
      world_cancel(world_any_job(world));
    if (second > 10 && world_uniform(world, 0, 1) < 0.2)
      inject_random_fault(world, rough);
    mm_debug("second %u", second);
    world_run(world, 1);
    world_assert_invariants(world);
  }
}

/* Faults have ended: what is left gets done. */
static void
finish_random_day(World *world) {
  world->late_write_rate = 0;
  world->faults_ended_at_us = world->now_us + 45 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (job->spec.kind == MM_JOB_KIND_SERVICE && !job->is_cancel_requested)
      world_cancel(job);
  }
  world_run(world, 240);
  world_assert_invariants(world);
}

static void
test_random_day(gconstpointer data) {
  World *world = world_new(GPOINTER_TO_UINT(data));
  gboolean rough = GPOINTER_TO_UINT(data) >= FIRST_ROUGH_DAY;
  guint n_starts_amid_faults;

  /* On two days of three, late copies of requests come as well. */
  world->duplicate_rate = GPOINTER_TO_UINT(data) % 3 == 0 ? 0 : 0.02;
  world->stall_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.01;
  world->cancel_at_end_rate = rough ? 0.2 : 0;
  /* Nodes may end without their peers seeing the links closed. */
  world->ends_leave_half_open = rough && GPOINTER_TO_UINT(data) % 2 == 0;
  world_add_nine_machines(world);
  world_start(world);
  world_run(world, 3);
  play_random_day(world, rough);
  n_starts_amid_faults = world->n_starts;
  finish_random_day(world);
  g_assert_cmpuint(n_starts_amid_faults, >, 20);
  g_test_message("%u jobs, %u starts, %" G_GUINT64_FORMAT " writes", world->jobs->len,
                 world->n_starts, world->n_writes);
  world_assert_all_jobs_finished(world);
  world_free(world);
}

void
add_random_days(void) {
  guint days = DAYS, rough = ROUGH_DAYS_IN_CI;

  /* More days than CI plays: MM_WORLD_DAYS=100 tests/test-world */
  if (g_getenv("MM_WORLD_DAYS") != NULL)
    days = rough = (guint)g_ascii_strtoull(g_getenv("MM_WORLD_DAYS"), NULL, 10);
  /* Day 31: a gang split by a lost machine waited without end. */
  g_test_add_data_func("/world/random-day-31-with-split-gang", GUINT_TO_POINTER(31),
                       test_random_day);
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/world/random-day-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_day);
  }
  for (guint i = 0; i < rough; i++) {
    g_autofree char *name = g_strdup_printf("/world/rough-day-%u", FIRST_ROUGH_DAY + i);
    g_test_add_data_func(name, GUINT_TO_POINTER(FIRST_ROUGH_DAY + i), test_random_day);
  }
}
