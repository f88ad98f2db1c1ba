/* Faults at the moments at which a node could misjudge how a dependency ended. */
#include "test-pipelines.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"

/* The leader of a dependency ends between the write of `done` and the messages to its peers: the
 * dependents, which another node leads, start by what the key-value store has. */
void
test_leader_ends_after_done_is_written(void) {
  for (guint32 seed = 1; seed <= 3; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_first(world, 0, 1, 6), *end;
    MmTerminalState state;
    guint leader = G_MAXUINT;

    run_until_accepted(world, start);
    end = submit_after(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    for (guint i = 0; i < 4000 && leader == G_MAXUINT; i++) {
      world_run(world, 0.005);
      for (guint n = 0; n < WORLD_NODES; n++)
        if (mm_job_table_get_terminal_state(world->nodes[n].node->job_table, start->id, &state))
          leader = n;
    }
    g_assert_cmpuint(leader, <, WORLD_NODES);
    world_kill_node(world, leader, 5);
    run_until_seen(world, end, USER_SEES_DONE, 60);
    finish_world(world);
  }
}

/* A cancellation is confirmed, then the key-value store is down for all, and all nodes restart
 * meanwhile. */
void
test_cancellation_survives_outage_and_restart(void) {
  World *world = new_pipeline_world(6);
  WorldJob *start = submit_first(world, 0, 2, 60), *middle, *end;

  run_until_accepted(world, start);
  middle = submit_after(world, 1, 2, 3, start);
  run_until_accepted(world, middle);
  end = submit_after(world, 2, 2, 3, middle);
  run_until_accepted(world, end);
  world_cancel(start);
  run_until_seen(world, start, USER_SEES_CANCELLED, 20);
  world_kv_outage(world, 12);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 1);
  world_run(world, 14);
  run_until_seen(world, end, USER_SEES_CANCELLED, 15);
  run_until_seen(world, middle, USER_SEES_CANCELLED, 15);
  g_assert_cmpuint(middle->n_starts + end->n_starts, ==, 0);
  finish_world(world);
}

/* A dependent is submitted to another node at the moment of the cancellation. */
void
test_dependent_is_submitted_during_cancellation(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_first(world, 0, 2, 60), *end;

    run_until_accepted(world, start);
    world_run(world, 3);
    world_cancel(start);
    world_run(world, seed * 0.004);
    end = submit_after(world, 1, 2, 3, start);
    run_until_accepted(world, end);
    run_until_seen(world, end, USER_SEES_CANCELLED, 25);
    g_assert_cmpuint(end->n_starts, ==, 0);
    finish_world(world);
  }
}

/* A job names one that was cancelled long ago, or that was done long ago: accepted both times. */
void
test_finished_dependencies_are_looked_up(void) {
  World *world = new_pipeline_world(7);
  WorldJob *done = submit_first(world, 0, 1, 2), *cancelled = submit_first(world, 0, 1, 60),
           *after_done, *after_cancelled;

  run_until_accepted(world, cancelled);
  world_cancel(cancelled);
  run_until_seen(world, done, USER_SEES_DONE, 30);
  run_until_seen(world, cancelled, USER_SEES_CANCELLED, 30);
  world_run(world, 10);
  /* The new processes have seen neither job end. */
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2 + 0.2 * i);
  world_run(world, 6);
  after_done = submit_after(world, 1, 1, 2, done);
  after_cancelled = submit_after(world, 2, 1, 2, cancelled);
  /* Never answered as queued: the cancellation was confirmed to the user long ago (day 124). */
  run_until_accepted(world, after_cancelled);
  g_assert_cmpint(after_cancelled->user_view, ==, USER_SEES_CANCELLED);
  run_until_seen(world, after_done, USER_SEES_DONE, 30);
  run_until_seen(world, after_cancelled, USER_SEES_CANCELLED, 30);
  finish_world(world);
}

/* A node's replica stays behind while one dependency is done and another is cancelled: the node
 * neither starts what waits for them too early nor keeps it waiting, nor refuses new dependents,
 * nor answers that a job is queued which another node has answered as cancelled. */
void
test_stale_replica_decides_nothing(void) {
  for (guint32 seed = 1; seed <= 6; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *done = submit_first(world, 0, 1, 4), *cancelled = submit_first(world, 1, 1, 90);
    WorldJob *after[2], *late[2];

    run_until_accepted(world, done);
    run_until_accepted(world, cancelled);
    after[0] = submit_after(world, 2, 1, 2, done);
    after[1] = submit_after(world, 3, 1, 2, cancelled);
    run_until_accepted(world, after[0]);
    run_until_accepted(world, after[1]);
    world->nodes[1].watches_lost_until_us = world->now_us + 30 * SECOND;
    world_cancel(cancelled);
    /* How soon depends on which nodes its user happens to poll. */
    run_until_seen(world, done, USER_SEES_DONE, 25);
    world->nodes[1].watches_lost_until_us = world->now_us + 2 * SECOND;
    g_assert_nonnull(mm_job_table_find(world->nodes[1].node->job_table, done->id));
    late[0] = submit_after(world, 2, 1, 2, done);
    late[1] = submit_after(world, 3, 1, 2, cancelled);
    for (guint i = 0; i < 2; i++) {
      run_until_seen(world, after[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED, 60);
      run_until_seen(world, late[i], i == 0 ? USER_SEES_DONE : USER_SEES_CANCELLED, 60);
    }
    finish_world(world);
  }
}

/* A cancellation comes as the last task ends: whichever is written first decides for all. */
void
test_cancellation_races_the_last_task(void) {
  guint n_done = 0, n_cancelled = 0;

  for (guint32 seed = 1; seed <= 8; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start, *end;

    world->cancel_at_end_rate = 1;
    start = submit_first(world, 0, 1, 3);
    run_until_accepted(world, start);
    end = submit_after(world, 1, 1, 2, start);
    run_until_accepted(world, end);
    world_run(world, 8);
    world->cancel_at_end_rate = 0;
    world_run(world, 25);
    g_assert_cmpint(start->user_view, >=, USER_SEES_CANCELLED);
    g_assert_cmpint(end->user_view, ==, start->user_view);
    n_done += start->user_view == USER_SEES_DONE;
    n_cancelled += start->user_view == USER_SEES_CANCELLED;
    finish_world(world);
  }
  g_test_message("%u done, %u cancelled", n_done, n_cancelled);
  g_assert_cmpuint(n_done + n_cancelled, ==, 8);
}

/* All nodes restart in the middle of a pipeline; a gang loses a member while its dependent waits.
 */
void
test_pipeline_survives_restarts(void) {
  for (guint32 seed = 1; seed <= 2; seed++) {
    World *world = new_pipeline_world(seed);
    WorldJob *start = submit_first(world, 0, 4, 3), *gang, *end;

    run_until_accepted(world, start);
    gang = world_submit_dependent(
        world,
        json_pack("{s:s, s:i, s:s}", WIRE_KIND, WIRE_KIND_GANG, WIRE_TASKS, 3, WIRE_TEAM, "team-1"),
        8, &start, 1);
    run_until_accepted(world, gang);
    end = submit_after(world, 2, 2, 2, gang);
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
    run_until_seen(world, end, USER_SEES_DONE, 120);
    finish_world(world);
  }
}
