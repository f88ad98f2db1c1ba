/* Faults at the times at which a node could misjudge how a dependency ended. */
#include "test-pipelines.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"

/* The shard leader of a dependency is killed after it has written the done state and before it has
 * sent messages to its peers. Another node leads the shards of the dependents. That node must
 * start the dependents although it knows the done state only from the key-value store. */
void
test_leader_ends_after_done_is_written(void) {
  for (guint32 seed = 1; seed <= 3; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_array(world, 0, 1, 6), *end;
    MmTerminalState state;
    guint leader = G_MAXUINT;

    run_until_accepted(world, start);
    end = submit_dependent_array(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    for (guint i = 0; i < 4000 && leader == G_MAXUINT; i++) {
      world_run(world, 0.005);
      for (guint n = 0; n < WORLD_NODES; n++)
        if (mm_job_table_get_terminal_state(world->nodes[n].node->job_table, start->id, &state))
          leader = n;
    }
    g_assert_cmpuint(leader, <, WORLD_NODES);
    world_kill_node(world, leader, 5);
    run_until_user_sees(world, end, USER_SEES_DONE, 60);
    check_and_free_world(world);
  }
}

/* A cancellation is confirmed, then the key-value store is down for all nodes, and all nodes
 * restart during the outage. */
void
test_cancellation_survives_outage_and_restart(void) {
  World *world = new_pipeline_world(6);
  WorldJob *start = submit_array(world, 0, 2, 60), *middle, *end;

  run_until_accepted(world, start);
  middle = submit_dependent_array(world, 1, 2, 3, start);
  run_until_accepted(world, middle);
  end = submit_dependent_array(world, 2, 2, 3, middle);
  run_until_accepted(world, end);
  world_cancel(start);
  run_until_user_sees(world, start, USER_SEES_CANCELLED, 20);
  world_kv_outage(world, 12);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 1);
  world_run(world, 14);
  run_until_user_sees(world, end, USER_SEES_CANCELLED, 15);
  run_until_user_sees(world, middle, USER_SEES_CANCELLED, 15);
  g_assert_cmpuint(middle->n_starts + end->n_starts, ==, 0);
  check_and_free_world(world);
}

/* While a job is cancelled through one node, a dependent of the job is submitted to another node.
 */
void
test_dependent_is_submitted_during_cancellation(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_array(world, 0, 2, 60), *end;

    run_until_accepted(world, start);
    world_run(world, 3);
    world_cancel(start);
    world_run(world, seed * 0.004);
    end = submit_dependent_array(world, 1, 2, 3, start);
    run_until_accepted(world, end);
    run_until_user_sees(world, end, USER_SEES_CANCELLED, 25);
    g_assert_cmpuint(end->n_starts, ==, 0);
    check_and_free_world(world);
  }
}

/* A new job depends on a job that was cancelled long ago, or on a job that was done long ago. The
 * new job is accepted in both cases. */
void
test_finished_dependencies_are_looked_up(void) {
  World *world = new_pipeline_world(7);
  WorldJob *done = submit_array(world, 0, 1, 2), *cancelled = submit_array(world, 0, 1, 60),
           *after_done, *after_cancelled;

  run_until_accepted(world, cancelled);
  world_cancel(cancelled);
  run_until_user_sees(world, done, USER_SEES_DONE, 30);
  run_until_user_sees(world, cancelled, USER_SEES_CANCELLED, 30);
  world_run(world, 10);
  /* The restarted node processes have not seen the end of either dependency. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2 + 0.2 * i);
  world_run(world, 6);
  after_done = submit_dependent_array(world, 1, 1, 2, done);
  after_cancelled = submit_dependent_array(world, 2, 1, 2, cancelled);
  /* The new job must never be reported as queued, because the cancellation of its dependency was
   * confirmed to the user long before (failure found on random day 124). */
  run_until_accepted(world, after_cancelled);
  g_assert_cmpint(after_cancelled->user_view, ==, USER_SEES_CANCELLED);
  run_until_user_sees(world, after_done, USER_SEES_DONE, 30);
  run_until_user_sees(world, after_cancelled, USER_SEES_CANCELLED, 30);
  check_and_free_world(world);
}

/* A node's replica is stale while one dependency is done and another is cancelled. The node must
 * neither start the dependents too early nor hold them back. It must accept new dependents. It must
 * not report a job as queued that another node has reported as cancelled. */
void
test_stale_replica_decides_nothing(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *done = submit_array(world, 0, 1, 4), *cancelled = submit_array(world, 1, 1, 90);
    WorldJob *dependents[2], *late_dependents[2];

    run_until_accepted(world, done);
    run_until_accepted(world, cancelled);
    dependents[0] = submit_dependent_array(world, 2, 1, 2, done);
    dependents[1] = submit_dependent_array(world, 3, 1, 2, cancelled);
    run_until_accepted(world, dependents[0]);
    run_until_accepted(world, dependents[1]);
    world->nodes[1].watches_lost_until_us = world->now_us + 30 * SECOND;
    world_cancel(cancelled);
    /* How long the user waits for this state depends on which nodes the user polls. */
    run_until_user_sees(world, done, USER_SEES_DONE, 25);
    world->nodes[1].watches_lost_until_us = world->now_us + 2 * SECOND;
    g_assert_nonnull(mm_job_table_find(world->nodes[1].node->job_table, done->id));
    late_dependents[0] = submit_dependent_array(world, 2, 1, 2, done);
    late_dependents[1] = submit_dependent_array(world, 3, 1, 2, cancelled);
    for (guint i = 0; i < 2; i++) {
      run_until_user_sees(world, dependents[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED, 60);
      run_until_user_sees(world, late_dependents[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED,
                          60);
    }
    check_and_free_world(world);
  }
}

/* A cancellation arrives while the job's last task ends. Of the cancellation and the done state,
 * the one that is written first decides the outcome for the job and for its dependent. */
void
test_cancellation_races_the_last_task(void) {
  guint n_done = 0, n_cancelled = 0;

  for (guint32 seed = 1; seed <= 8; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start, *end;

    world->cancel_at_end_rate = 1;
    start = submit_array(world, 0, 1, 3);
    run_until_accepted(world, start);
    end = submit_dependent_array(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    world_run(world, 8);
    world->cancel_at_end_rate = 0;
    world_run(world, 25);
    g_assert_cmpint(start->user_view, >=, USER_SEES_CANCELLED);
    g_assert_cmpint(end->user_view, ==, start->user_view);
    n_done += start->user_view == USER_SEES_DONE;
    n_cancelled += start->user_view == USER_SEES_CANCELLED;
    check_and_free_world(world);
  }
  g_test_message("%u done, %u cancelled", n_done, n_cancelled);
  g_assert_cmpuint(n_done + n_cancelled, ==, 8);
}

/* All nodes restart in the middle of a pipeline, and a gang loses a member while its dependent
 * waits. */
void
test_pipeline_survives_restarts(void) {
  for (guint32 seed = 1; seed <= 2; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_array(world, 0, 4, 3), *gang, *end;

    run_until_accepted(world, start);
    gang = world_submit_dependent(world,
                                  mm_json_pack("{s:s, s:i, s:s}", WIRE_KIND, WIRE_KIND_GANG,
                                               WIRE_TASKS, 3, WIRE_TEAM, "team-1"),
                                  8, &start, 1);
    run_until_accepted(world, gang);
    end = submit_dependent_array(world, 2, 2, 2, gang);
    run_until_accepted(world, end);
    for (guint i = 0; i < 200 && gang->first_start_at_us == 0; i++)
      world_run(world, 0.2);
    g_assert_cmpint(gang->first_start_at_us, !=, 0);
    for (guint i = 0; i < world->machines->len; i++) {
      WorldMachine *machine = world_machine_at(world, i);
      if (machine->tasks->len > 0
          && ((WorldTask *)g_ptr_array_index(machine->tasks, 0))->job == gang) {
        world_kill_machine(world, machine);
        break;
      }
    }
    for (guint i = 0; i < WORLD_NODES; i++)
      world_kill_node(world, i, 0.3 + 0.3 * i);
    run_until_user_sees(world, end, USER_SEES_DONE, 120);
    check_and_free_world(world);
  }
}
