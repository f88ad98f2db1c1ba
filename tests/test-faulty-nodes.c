/* The rules' checks must be able to fail: nodes that are broken on purpose get caught. */
#include "base/wire.h"
#include "world/world.h"

/* Machines that are cut off while all nodes restart, on many days; TRUE when a rule was broken. */
static gboolean
days_break_a_rule(gboolean ignore_acknowledgements, double believed_lease_s) {
  gboolean broken = FALSE;

  for (guint seed = 1; seed <= 8 && !broken; seed++) {
    World *world = world_new(seed);
    world->ignore_acknowledgements = ignore_acknowledgements;
    world->configured_lease_s = believed_lease_s;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint i = 0; i < 4; i++)
      world_submit(world, json_pack("{s:i, s:s}", WIRE_TASKS, 6, WIRE_KIND, WIRE_KIND_SERVICE), 30);
    for (guint round = 0; round < 12 && !broken; round++) {
      for (guint i = 0; i < 3; i++) {
        WorldMachine *machine
            = g_ptr_array_index(world->machines, (guint)g_rand_int_range(world->rand, 0, 6));
        machine->cut_until_us
            = world->now_us + (gint64)(world_uniform(world, 2, 7) * G_USEC_PER_SEC);
      }
      for (guint i = 0; i < WORLD_NODES; i++)
        world_kill_node(world, i, world_uniform(world, 0.1, 0.5));
      world_run(world, 10);
      broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return broken;
}

static void
test_sound_nodes_break_no_invariant(void) {
  g_assert_false(days_break_a_rule(FALSE, 0));
}

/* Tasks are given out though a machine that may hold them has not been heard. */
static void
test_ignored_acknowledgements_are_found(void) {
  g_assert_true(days_break_a_rule(TRUE, 0));
}

/* Machines are given up long before their lease has run out. */
static void
test_too_short_lease_is_found(void) {
  g_assert_true(days_break_a_rule(FALSE, 1.5));
}

/* Tasks that end and machines that are lost, under late copies of a third of all requests. */
static gboolean
copies_break_a_rule(gboolean believe) {
  gboolean broken = FALSE;

  for (guint seed = 1; seed <= 6 && !broken; seed++) {
    World *world = world_new(seed);
    world->duplicate_rate = 0.3;
    world->accept_duplicates = believe;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint second = 0; second < 60 && !broken; second++) {
      if (second % 2 == 0)
        world_submit(world, json_pack("{s:i}", WIRE_TASKS, 3), world_uniform(world, 1, 6));
      if (second % 20 == 10)
        world_kill_node(world, second / 20, 0.3);
      world_run(world, 1);
      broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return broken;
}

static void
test_accepted_duplicates_are_found(void) {
  g_assert_false(copies_break_a_rule(FALSE));
  g_assert_true(copies_break_a_rule(TRUE));
}

static WorldMachine *
first_that_runs(World *world) {
  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    if (machine->tasks->len > 0)
      return machine;
  }
  g_assert_not_reached();
}

/* A machine that holds replicas and hears nothing while all nodes restart: whether the replicas of
 * a service submitted before that are all up again on other machines within a minute and a half. */
static gboolean
deaf_machine_is_done_without(guint32 seed, gboolean answer_deaf) {
  World *world = world_new(seed);
  WorldMachine *deaf;
  WorldJob *service, *later;
  gboolean over;

  world->respond_to_unacknowledging = answer_deaf;
  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 3);
  service = world_submit(world,
                         json_pack("{s:i, s:s}", WIRE_TASKS, 8, WIRE_KIND, WIRE_KIND_SERVICE), 0);
  world_run(world, 12);
  deaf = first_that_runs(world);
  deaf->inbound_lost_until_us = world->now_us + 3600 * (gint64)G_USEC_PER_SEC;
  /* Else the cloud would be asked to return it, which proves it gone sooner. */
  world->cloud_down_until_us = deaf->inbound_lost_until_us;
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2);
  /* An older job needs the parts to be taken in full: nothing of it runs, all machines are heard.
   */
  later = world_submit(world, json_pack("{s:i}", WIRE_TASKS, 3), 2);
  world_run(world, 90);
  g_assert_cmpuint(world->violations->len, ==, 0);
  /* No task runs twice, as the rules' check has shown: so many are all of them. */
  over = later->user_view == USER_SEES_DONE
         && world_count_running(world, service, deaf) == service->spec.n_tasks;
  world_free(world);
  return over;
}

/* Not on every day does the broken node's waiting show: where the last part is taken before the
 * machine has ended a session, nothing waits for it. */
static void
test_answers_to_unacknowledging_machines_are_found(void) {
  guint caught = 0;

  for (guint32 seed = 1; seed <= 6; seed++) {
    g_assert_true(deaf_machine_is_done_without(seed, FALSE));
    caught += !deaf_machine_is_done_without(seed, TRUE);
  }
  g_test_message("caught on %u days", caught);
  g_assert_cmpuint(caught, >, 0);
}

/* A node that keeps its workers and loses all else, for long enough that the others count its
 * machines as lost. Where the others reach its workers directly, these drop its answers for their
 * older term; with its whole zone, nothing but the end of its claim stops it. */
static gboolean
cut_node_breaks_a_rule(gboolean claim_for_ever) {
  gboolean broken = FALSE;

  for (guint seed = 1; seed <= 4 && !broken; seed++) {
    World *world = world_new(seed);
    world->lease_never_expires = claim_for_ever;
    world_add_machines(world, 6, "small", 2);
    world_start(world);
    world_run(world, 3);
    for (guint i = 0; i < 2; i++)
      world_submit(world, json_pack("{s:i, s:s}", WIRE_TASKS, 3, WIRE_KIND, WIRE_KIND_SERVICE), 30);
    world_run(world, 8);
    world->cloud_down_until_us = G_MAXINT64;
    for (guint i = 0; i < WORLD_NODES && !broken; i++) {
      if (seed % 2 == 0)
        world_cut_node(world, i, 25, TRUE);
      else
        world_cut_zone(world, i, 25, FALSE);
      world_run(world, 35);
      broken = world->violations->len > 0;
    }
    world_free(world);
  }
  return broken;
}

static void
test_lease_without_expiry_is_found(void) {
  g_assert_false(cut_node_breaks_a_rule(FALSE));
  g_assert_true(cut_node_breaks_a_rule(TRUE));
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  if (g_getenv("LOG_LEVEL") != NULL)
    mm_log_read_level();
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
