/* Tests that the invariant checks can fail: they must detect nodes with deliberately injected
 * faults, and report no broken invariant for correct nodes. */
#include "base/wire.h"
#include "world/world.h"

/* Partitions machines from the nodes while all nodes restart, with up to eight seeds. Returns
 * whether an invariant was broken. */
static gboolean
restarts_break_an_invariant(gboolean ignore_acknowledgements, double configured_lease_s) {
  gboolean is_broken = FALSE;

  for (guint seed = 1; seed <= 8 && !is_broken; seed++) {
    World *world = world_new(seed);
    world->ignore_acknowledgements = ignore_acknowledgements;
    world->configured_lease_s = configured_lease_s;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint i = 0; i < 4; i++)
      world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 6, WIRE_KIND, WIRE_KIND_SERVICE),
                   30);
    for (guint round = 0; round < 12 && !is_broken; round++) {
      for (guint i = 0; i < 3; i++) {
        WorldMachine *machine
            = g_ptr_array_index(world->machines, (guint)g_rand_int_range(world->rand, 0, 6));
        machine->partitioned_until_us
            = world->now_us + (gint64)(world_uniform(world, 2, 7) * G_USEC_PER_SEC);
      }
      for (guint i = 0; i < WORLD_NODES; i++)
        world_kill_node(world, i, world_uniform(world, 0.1, 0.5));
      world_run(world, 10);
      is_broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return is_broken;
}

static void
test_sound_nodes_break_no_invariant(void) {
  g_assert_false(restarts_break_an_invariant(FALSE, 0));
}

/* The injected fault: shard leaders start tasks although a machine that may already have these
 * tasks has not acknowledged the term. */
static void
test_ignored_acknowledgements_are_found(void) {
  g_assert_true(restarts_break_an_invariant(TRUE, 0));
}

/* The injected fault: nodes count machines as lost long before the leases of these machines have
 * expired. */
static void
test_too_short_lease_is_found(void) {
  g_assert_true(restarts_break_an_invariant(FALSE, 1.5));
}

/* Tasks end and nodes restart while late duplicates of almost a third of all requests arrive.
 * Returns whether an invariant was broken. */
static gboolean
duplicates_break_an_invariant(gboolean accept_duplicates) {
  gboolean is_broken = FALSE;

  for (guint seed = 1; seed <= 6 && !is_broken; seed++) {
    World *world = world_new(seed);
    world->duplicate_rate = 0.3;
    world->accept_duplicates = accept_duplicates;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint second = 0; second < 60 && !is_broken; second++) {
      if (second % 2 == 0)
        world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 3), world_uniform(world, 1, 6));
      if (second % 20 == 10)
        world_kill_node(world, second / 20, 0.3);
      world_run(world, 1);
      is_broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return is_broken;
}

static void
test_accepted_duplicates_are_found(void) {
  g_assert_false(duplicates_break_an_invariant(FALSE));
  g_assert_true(duplicates_break_an_invariant(TRUE));
}

static WorldMachine *
first_machine_with_tasks(World *world) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    if (machine->tasks->len > 0)
      return machine;
  }
  g_assert_not_reached();
}

/* Prevents responses and direct commands from reaching a machine that runs replicas of a service,
 * while all nodes restart. Returns whether two things hold a minute and a half later: all replicas
 * run on other machines, and a job submitted during the restart is done. */
static gboolean
service_recovers_without_machine(guint32 seed, gboolean respond_to_unacknowledging) {
  World *world = world_new(seed);
  WorldMachine *unanswered;
  WorldJob *service, *later;
  gboolean has_recovered;

  world->respond_to_unacknowledging = respond_to_unacknowledging;
  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 3);
  service = world_submit(
      world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 8, WIRE_KIND, WIRE_KIND_SERVICE), 0);
  world_run(world, 12);
  unanswered = first_machine_with_tasks(world);
  unanswered->inbound_lost_until_us = world->now_us + 3600 * (gint64)G_USEC_PER_SEC;
  /* The cloud is down because otherwise the machine would be returned to the cloud. The return
   * would prove the machine lost sooner. */
  world->cloud_down_until_us = unanswered->inbound_lost_until_us;
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2);
  /* This job is submitted before the shards are acquired. Therefore the job waits until all
   * machines have acknowledged the term. */
  later = world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 3), 2);
  world_run(world, 90);
  g_assert_cmpuint(world->violations->len, ==, 0);
  /* The invariants ensure that no task runs twice, so this count means that every replica runs. */
  has_recovered = later->user_view == USER_SEES_DONE
                  && world_count_running(world, service, unanswered) == service->spec.n_tasks;
  world_free(world);
  return has_recovered;
}

/* The fault does not show with every seed. If the last shard is acquired before the machine's
 * incarnation has ended, the faulty nodes do not wait for the machine. */
static void
test_answers_to_unacknowledging_machines_are_found(void) {
  guint n_found = 0;

  for (guint32 seed = 1; seed <= 6; seed++) {
    g_assert_true(service_recovers_without_machine(seed, FALSE));
    n_found += !service_recovers_without_machine(seed, TRUE);
  }
  g_test_message("fault detected with %u seeds", n_found);
  g_assert_cmpuint(n_found, >, 0);
}

/* Partitions a node for long enough that the other nodes count its machines as lost. With even
 * seeds, the node is partitioned from everything but its workers. The other nodes still reach these
 * workers by direct commands, and the workers drop the partitioned node's responses because these
 * carry a lower fencing token. With odd seeds, the node's whole zone is partitioned, and only the
 * expiry of the node's lease stops the node. Returns whether an invariant was broken. */
static gboolean
partitioned_node_breaks_an_invariant(gboolean lease_never_expires) {
  gboolean is_broken = FALSE;

  for (guint seed = 1; seed <= 4 && !is_broken; seed++) {
    World *world = world_new(seed);
    world->lease_never_expires = lease_never_expires;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint i = 0; i < 2; i++)
      world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 3, WIRE_KIND, WIRE_KIND_SERVICE),
                   30);
    world_run(world, 8);
    world->cloud_down_until_us = G_MAXINT64;
    for (guint i = 0; i < WORLD_NODES && !is_broken; i++) {
      if (seed % 2 == 0)
        world_partition_node(world, i, 25, TRUE);
      else
        world_partition_zone(world, i, 25, FALSE);
      world_run(world, 35);
      is_broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return is_broken;
}

static void
test_lease_without_expiry_is_found(void) {
  g_assert_false(partitioned_node_breaks_an_invariant(FALSE));
  g_assert_true(partitioned_node_breaks_an_invariant(TRUE));
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/faulty-nodes/sound-nodes-break-no-invariant",
                  test_sound_nodes_break_no_invariant);
  g_test_add_func("/faulty-nodes/ignored-acknowledgements-are-found",
                  test_ignored_acknowledgements_are_found);
  g_test_add_func("/faulty-nodes/too-short-lease-is-found", test_too_short_lease_is_found);
  g_test_add_func("/faulty-nodes/accepted-duplicates-are-found",
                  test_accepted_duplicates_are_found);
  g_test_add_func("/faulty-nodes/answers-to-unacknowledging-machines-are-found",
                  test_answers_to_unacknowledging_machines_are_found);
  g_test_add_func("/faulty-nodes/lease-without-expiry-is-found",
                  test_lease_without_expiry_is_found);
  return g_test_run();
}
