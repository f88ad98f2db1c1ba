/* Random days: runs of the simulated world whose workload and faults are drawn from a seed.
 * Anything may fail; the invariants hold after every step, and all jobs finish in the end. */
#include "test-world.h"

#include "base/wire.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)
#define DAYS 16
#define DAYS_WITH_ALL_FAULTS_IN_CI 8
/* Days with this number or a higher number draw from all faults. Days with lower numbers draw only
 * from the first N_BASIC_FAULTS faults, so that a seed of these days still reproduces the same
 * run. This matters because one of these days covers a failure that was found on that day. */
#define FIRST_DAY_WITH_ALL_FAULTS 1001
#define N_BASIC_FAULTS 17

/* Returns a machine that is up, or NULL if fifty draws find none. */
static WorldMachine *
random_running_machine(World *world) {
  for (guint tries = 0; tries < 50; tries++) {
    WorldMachine *machine = g_ptr_array_index(
        world->machines, (guint)g_rand_int_range(world->rand, 0, (gint32)world->machines->len));
    if (machine->is_up)
      return machine;
  }
  return NULL;
}

/* The target of a fault, drawn before the fault: one machine (may be NULL) or one node. */
typedef struct {
  World *world;
  WorldMachine *machine;
  guint node;
  double down_s; /* how long a killed node stays down */
} FaultTarget;

static gint64
random_time(World *world, double from_s, double to_s) {
  return world->now_us + (gint64)(world_uniform(world, from_s, to_s) * G_USEC_PER_SEC);
}

static void
kill_node(FaultTarget *target) {
  world_kill_node(target->world, target->node, target->down_s);
}

static void
kill_all_nodes(FaultTarget *target) {
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(target->world, i, target->down_s);
}

static void
start_kv_outage(FaultTarget *target) {
  world_kv_outage(target->world, world_uniform(target->world, 1, 15));
}

static void
refuse_node_kv_requests(FaultTarget *target) {
  target->world->nodes[target->node].kv_refuses_until_us = random_time(target->world, 1, 12);
}

static void
kill_machine(FaultTarget *target) {
  world_kill_machine(target->world, target->machine);
}

static void
suspend_worker(FaultTarget *target) {
  target->machine->suspended_until_us = random_time(target->world, 1, 20);
}

static void
partition_machine(FaultTarget *target) {
  target->machine->partitioned_until_us = random_time(target->world, 1, 30);
}

static void
start_cloud_outage(FaultTarget *target) {
  target->world->cloud_down_until_us = target->world->now_us + 10 * SECOND;
}

static void
lose_inbound_messages(FaultTarget *target) {
  target->machine->inbound_lost_until_us = random_time(target->world, 2, 40);
}

static void
partition_node_or_zone(FaultTarget *target) {
  World *world = target->world;

  if (g_rand_boolean(world->rand))
    world_partition_node(world, target->node, world_uniform(world, 1, 20),
                         g_rand_boolean(world->rand));
  else
    world_partition_zone(world, target->node, world_uniform(world, 1, 30),
                         g_rand_boolean(world->rand));
}

static void
restart_machine(FaultTarget *target) {
  world_restart_machine(target->world, target->machine, world_uniform(target->world, 0.1, 0.8));
}

static void
refuse_peer_links(FaultTarget *target) {
  world_refuse_links(target->world, world_uniform(target->world, 2, 25));
}

static void
suspend_node(FaultTarget *target) {
  world_suspend_node(target->world, target->node,
                     world_uniform(target->world, 0.2, 4 * target->world->worker_lease_s));
}

static void
send_termination_notice(FaultTarget *target) {
  WorldMachine *machine = target->machine;

  if (!machine->is_spot || machine->termination_notice_at_us != 0)
    return;
  machine->termination_notice_at_us = target->world->now_us;
  machine->reclaimed_at_us = target->world->now_us + 5 * SECOND;
  machine->has_changed = TRUE;
}

static void
lose_outbound_messages(FaultTarget *target) {
  target->machine->outbound_lost_until_us = random_time(target->world, 2, 30);
}

static void
slow_kv_store(FaultTarget *target) {
  target->world->kv_slow_s = world_uniform(target->world, 0.1, 1.2);
  target->world->kv_slow_until_us = target->world->now_us + 15 * SECOND;
}

static void
send_unusual_requests(FaultTarget *target) {
  world_send_unusual_requests(target->world);
}

/* The key-value store refuses requests from one node first, then from all nodes. */
static void
refuse_one_node_then_all(FaultTarget *target) {
  World *world = target->world;

  world->nodes[target->node].kv_refuses_until_us = world->now_us + 14 * SECOND;
  world_run(world, world_uniform(world, 0.5, 4));
  world_kv_outage(world, world_uniform(world, 5, world->cancel_s + 5));
}

static void
cancel_jobs_and_suspend_worker(FaultTarget *target) {
  World *world = target->world;

  for (guint i = 0; i < 4; i++)
    world_cancel(world_any_job(world));
  if (target->machine != NULL)
    target->machine->suspended_until_us = world->now_us + 6 * SECOND;
}

static void
toggle_late_writes(FaultTarget *target) {
  target->world->late_write_rate = target->world->late_write_rate > 0 ? 0 : 0.2;
}

typedef struct {
  void (*inject)(FaultTarget *target);
  gboolean needs_machine; /* if TRUE, the fault is skipped when the target's `machine` is NULL */
} Fault;

static const Fault faults[] = {
  { kill_node, FALSE },
  { kill_all_nodes, FALSE },
  { start_kv_outage, FALSE },
  { refuse_node_kv_requests, FALSE },
  { kill_machine, TRUE },
  { suspend_worker, TRUE },
  { partition_machine, TRUE },
  { partition_machine, TRUE },
  { start_cloud_outage, FALSE },
  { lose_inbound_messages, TRUE },
  { lose_inbound_messages, TRUE },
  { partition_node_or_zone, FALSE },
  { restart_machine, TRUE },
  { refuse_peer_links, FALSE },
  { suspend_node, FALSE },
  { suspend_node, FALSE },
  { send_termination_notice, TRUE },
  /* The first N_BASIC_FAULTS end here. */
  { lose_outbound_messages, TRUE },
  { slow_kv_store, FALSE },
  { send_unusual_requests, FALSE },
  { refuse_one_node_then_all, FALSE },
  { cancel_jobs_and_suspend_worker, FALSE },
  { toggle_late_writes, FALSE },
};

static void
inject_random_fault(World *world, gboolean with_all_faults) {
  FaultTarget target = { .world = world, .machine = random_running_machine(world) };
  guint fault_index;

  target.node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  target.down_s = world_uniform(world, 0, 1) < 0.3 ? 0.2 : 3;
  fault_index = (guint)g_rand_int_range(
      world->rand, 0, with_all_faults ? (gint)G_N_ELEMENTS(faults) : N_BASIC_FAULTS);
  mm_debug("random fault drawn index=%u machine=%s node=%u", fault_index,
           target.machine != NULL ? target.machine->id : "none", target.node);
  if (target.machine != NULL || !faults[fault_index].needs_machine)
    faults[fault_index].inject(&target);
}

/* Submits a job every four seconds, cancels some, and injects a fault in one second of five on
 * average. */
static void
run_random_day(World *world, gboolean with_all_faults) {
  for (guint second = 0; second < 150; second++) {
    if (second % 4 == 0)
      world_submit(world, world_random_job_body(world), world_uniform(world, 1, 12));
    if (second % 13 == 7)
      world_cancel(world_any_job(world));
    if (second > 10 && world_uniform(world, 0, 1) < 0.2)
      inject_random_fault(world, with_all_faults);
    mm_debug("simulated second started second=%u", second);
    world_run(world, 1);
    world_assert_invariants(world);
  }
}

/* Injects no more faults, cancels the services and runs the world long enough for the remaining
 * work to finish. */
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
  gboolean with_all_faults = GPOINTER_TO_UINT(data) >= FIRST_DAY_WITH_ALL_FAULTS;
  guint n_starts_amid_faults;

  /* On two days of three, late copies of requests arrive as well. */
  world->duplicate_rate = GPOINTER_TO_UINT(data) % 3 == 0 ? 0 : 0.02;
  world->delayed_response_rate = GPOINTER_TO_UINT(data) % 2 == 0 ? 0 : 0.01;
  world->cancel_at_end_rate = with_all_faults ? 0.2 : 0;
  /* Nodes may be killed without their peers seeing the links closed. */
  world->node_ends_leave_half_open_links = with_all_faults && GPOINTER_TO_UINT(data) % 2 == 0;
  world_add_nine_machines(world);
  world_start(world);
  world_run(world, 3);
  run_random_day(world, with_all_faults);
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
  guint days = DAYS, days_with_all_faults = DAYS_WITH_ALL_FAULTS_IN_CI;

  /* To run more days than CI does: MM_WORLD_DAYS=100 tests/test-world */
  if (g_getenv("MM_WORLD_DAYS") != NULL)
    days = days_with_all_faults = (guint)g_ascii_strtoull(g_getenv("MM_WORLD_DAYS"), NULL, 10);
  /* Regression test for day 31, on which a gang split by the loss of a machine waited forever. */
  g_test_add_data_func("/world/random-day-31-with-split-gang", GUINT_TO_POINTER(31),
                       test_random_day);
  for (guint seed = 1; seed <= days; seed++) {
    g_autofree char *name = g_strdup_printf("/world/random-day-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_day);
  }
  for (guint i = 0; i < days_with_all_faults; i++) {
    g_autofree char *name = g_strdup_printf("/world/rough-day-%u", FIRST_DAY_WITH_ALL_FAULTS + i);
    g_test_add_data_func(name, GUINT_TO_POINTER(FIRST_DAY_WITH_ALL_FAULTS + i), test_random_day);
  }
}
