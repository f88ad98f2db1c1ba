/* Commands, launches and releases that are carried out late, and machines that are back within a
 * second, while jobs are cancelled and leaders change. */
#include "base/wire.h"
#include "machines/machine-table.h"
#include "world/world.h"

#define SEEDS 4
#define ROUNDS 8
/* Latest execution, in seconds: beyond the 16 s that a command may be held, and beyond cancel_s. */
#define LATE_MAX_S 45

static World *
new_world(guint seed) {
  World *world = world_new(seed);

  world->late_max_s = LATE_MAX_S;
  world_add_nine_machines(world);
  world_start(world);
  world_run(world, 3);
  return world;
}

static void
submit_jobs(World *world, guint n_jobs, guint n_tasks, double run_s) {
  for (guint i = 0; i < n_jobs; i++)
    world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, (int)n_tasks), run_s);
}

static void
cancel_every_second_job(World *world) {
  for (guint i = 0; i < world->jobs->len; i += 2)
    if (!world_job_at(world, i)->is_cancel_requested)
      world_cancel(world_job_at(world, i));
}

static WorldMachine *
any_machine(World *world) {
  guint index = (guint)world_uniform(world, 0, world->machines->len);

  return world_machine_at(world, index);
}

/* Guards against starts, or tasks that go on, after a cancellation whose commands were held up. */
static void
test_held_up_commands_start_nothing(void) {
  guint n_late = 0;

  for (guint seed = 1; seed <= SEEDS; seed++) {
    World *world = new_world(seed);
    for (guint round = 0; round < ROUNDS; round++) {
      world->late_command_rate = 0.5;
      submit_jobs(world, 4, 3, 20);
      world_run(world, 3);
      cancel_every_second_job(world);
      world_run(world, 0.3);
      world_kill_node(world, world_node_leading_most_shards(world), 1);
      world_restart_machine(world, any_machine(world), 0.4);
      world_run(world, 4);
    }
    world->late_command_rate = 0;
    n_late += world->n_late_commands;
    world_run(world, LATE_MAX_S);
    world_finish_run(world);
  }
  g_assert_cmpuint(n_late, >, 0);
}

/* The injected fault: a start that is sent as a direct command and carried out after cancel_s. */
static void
test_start_after_cancellation_is_found(void) {
  World *world = new_world(1);
  g_autoptr(MmJson) command = NULL;
  g_autoptr(MmJson) response = NULL;
  g_autofree char *task = NULL;
  const WorldJob *job;
  WorldMachine *machine = world_machine_at(world, 0);

  submit_jobs(world, 1, 3, 20);
  world_run(world, 3);
  cancel_every_second_job(world);
  world_run(world, world->cancel_s + 5);
  job = world_job_at(world, 0);
  g_assert_cmpint(job->user_view, ==, USER_SEES_CANCELLED);
  g_assert_cmpuint(world->violations->len, ==, 0);
  task = g_strdup_printf("%s/0", job->id);
  command
      = mm_json_pack("{s:I, s:I, s:[{s:s, s:s, s:i}]}", WIRE_FENCING_TOKEN, machine->fencing_token,
                     WIRE_INCARNATION, machine->incarnation, WIRE_COMMANDS, WIRE_COMMAND_KIND,
                     WIRE_START, WIRE_TASK, task, WIRE_ATTEMPT, 1);
  g_assert_cmpint(world_machine_handle_direct(machine, command, &response), ==, 200);
  world_run(world, 3);
  g_assert_cmpuint(world->violations->len, >, 0);
  world_free(world);
}

static gboolean
is_known_to_a_node(World *world, const WorldMachine *machine) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = world->nodes[i].node;
    if (node != NULL && mm_machine_table_find(node->machine_table, machine->id) != NULL)
      return TRUE;
  }
  return FALSE;
}

/* Returns the number of machines that are up and known to no node. */
static guint
count_unknown_machines(World *world) {
  guint n_unknown = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    n_unknown += machine->is_up && !machine->is_terminated && !is_known_to_a_node(world, machine);
  }
  return n_unknown;
}

/* Guards against machines that are launched or released late and run tasks that no node knows of.
 */
static void
test_late_launches_and_releases_are_noticed(void) {
  guint n_late = 0;

  for (guint seed = 1; seed <= SEEDS; seed++) {
    World *world = new_world(seed);
    guint n_machines = world->machines->len;
    world->late_cloud_rate = 0.5;
    for (guint round = 0; round < ROUNDS; round++) {
      submit_jobs(world, 3, 8, 10);
      world_run(world, 6);
      world_kill_node(world, round % WORLD_NODES, 0.5);
      world_run(world, 6);
    }
    world->late_cloud_rate = 0;
    n_late += world->n_late_cloud_requests;
    g_assert_cmpuint(world->machines->len, >, n_machines);
    world_run(world, LATE_MAX_S + 60);
    g_assert_cmpuint(count_unknown_machines(world), ==, 0);
    world_finish_run(world);
  }
  g_assert_cmpuint(n_late, >, 0);
}

/* The injected fault: a machine that is up without any node having heard of it. */
static void
test_unknown_machine_is_found(void) {
  World *world = new_world(1);
  WorldMachine *machine = world_add_machine(world, "small", "a", FALSE, 0);

  machine->outbound_lost_until_us = G_MAXINT64;
  world_machine_boot(machine);
  world_run(world, 0.2);
  g_assert_cmpuint(count_unknown_machines(world), ==, 1);
  world_free(world);
}

/* Machines are back under their names within a second while their shards change hands. Returns
 * whether an invariant was broken. */
static gboolean
returns_break_an_invariant(guint seed, gboolean ignore_acknowledgements) {
  World *world = new_world(seed);
  gboolean is_broken = FALSE;

  world->ignore_acknowledgements = ignore_acknowledgements;
  for (guint i = 0; i < 3; i++)
    world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 5, WIRE_KIND, WIRE_KIND_SERVICE), 0);
  for (guint round = 0; round < ROUNDS && !is_broken; round++) {
    submit_jobs(world, 3, 4, 10);
    world_run(world, 3);
    for (guint i = 0; i < 3; i++)
      any_machine(world)->partitioned_until_us
          = world->now_us + (gint64)(world_uniform(world, 2, 7) * G_USEC_PER_SEC);
    for (guint i = 0; i < WORLD_NODES; i++)
      world_kill_node(world, i, world_uniform(world, 0.1, 0.5));
    for (guint i = 0; i < 2; i++)
      world_restart_machine(world, any_machine(world), world_uniform(world, 0.1, 0.9));
    world_run(world, 9);
    is_broken = world->violations->len > 0;
  }
  if (is_broken || ignore_acknowledgements) {
    world_free(world);
    return is_broken;
  }
  world_run(world, 30);
  g_assert_cmpuint(count_unknown_machines(world), ==, 0);
  world_finish_run(world);
  return FALSE;
}

static void
test_machines_back_within_a_second_run_nothing_twice(void) {
  for (guint seed = 1; seed <= SEEDS; seed++)
    g_assert_false(returns_break_an_invariant(seed, FALSE));
}

/* The injected fault: leaders start tasks before machines that may have them have acknowledged the
 * term. */
static void
test_ignored_acknowledgements_are_found(void) {
  gboolean is_broken = FALSE;

  for (guint seed = 1; seed <= 2 * SEEDS && !is_broken; seed++)
    is_broken = returns_break_an_invariant(seed, TRUE);
  g_assert_true(is_broken);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/late-actions/held-up-commands-start-nothing",
                  test_held_up_commands_start_nothing);
  g_test_add_func("/late-actions/faulty/start-after-cancellation-is-found",
                  test_start_after_cancellation_is_found);
  g_test_add_func("/late-actions/late-launches-and-releases-are-noticed",
                  test_late_launches_and_releases_are_noticed);
  g_test_add_func("/late-actions/faulty/unknown-machine-is-found", test_unknown_machine_is_found);
  g_test_add_func("/late-actions/machines-back-within-a-second-run-nothing-twice",
                  test_machines_back_within_a_second_run_nothing_twice);
  g_test_add_func("/late-actions/faulty/ignored-acknowledgements-are-found",
                  test_ignored_acknowledgements_are_found);
  return g_test_run();
}
