/* Scenarios in which a failover coincides with delayed transactions, lost machines or teams at
 * their resource limit. */
#include "test-concurrent-faults.h"

#include "base/wire.h"
#include "leases/node-lease.h"

/* Leadership moves to another node and back; then all nodes stop, and one of them restarts within a
 * second. */
guint
all_nodes_end_and_one_returns(World *world) {
  guint64 before;

  submit_jobs(world, 4, WIRE_KIND_ARRAY, 5, 25);
  world_run(world, 6);
  before = highest_known_term(world);
  for (guint round = 0; round < 3; round++) {
    world_kill_node(world, world_node_leading_most_shards(world), 0.2);
    world_run(world, 4);
    for (guint i = 0; i < WORLD_NODES; i++)
      world_kill_node(world, i, i == round ? 0.3 : 4);
    world_run(world, 7);
  }
  return highest_known_term(world) >= before + 6;
}

/* Transactions of a node get no response and are applied late, after newer transactions of the
 * same node. Some of the newer transactions are sent after a restart of the node. */
guint
transactions_are_applied_late(World *world) {
  world->late_write_rate = 0.3;
  for (guint round = 0; round < 8; round++) {
    submit_jobs(world, 2, WIRE_KIND_ARRAY, 3, 5);
    world_run(world, 4);
    world_cancel(world_job_at(world, round * 2));
    if (round % 3 == 1)
      world_kill_node(world, world_node_leading_most_shards(world), 0.3);
    if (round % 3 == 2)
      inject_into_machines_with_tasks(world, 1, partition_machine, world->worker_lease_s + 2);
    world_run(world, 2);
  }
  world->late_write_rate = 0;
  return world->n_late_applied > 0 && world->n_late_rejected > 0;
}

/* A node announces its lease twice, and the first announcement is applied last. Without a condition
 * on the node's key, this late transaction would bind the key to the older lease. The key would
 * then be deleted when the older lease expires, and the node could never act again. */
guint
lease_announcements_are_applied_late(World *world) {
  guint n_rejected_before;

  submit_jobs(world, 3, WIRE_KIND_ARRAY, 4, 20);
  world_run(world, 6);
  n_rejected_before = world->n_late_rejected;
  for (guint round = 0; round < 8; round++) {
    guint node = round % WORLD_NODES;
    world_kill_node(world, node, 0.2);
    world_run(world, 0.2);
    world->late_write_rate = 1;
    world_run(world, 0.15);
    world->late_write_rate = 0;
    world_run(world, 20);
    g_assert_true(mm_node_lease_may_answer_workers(world->nodes[node].node->node_lease));
  }
  return world->n_late_rejected - n_rejected_before;
}

/* Tasks of one array end far apart in time, with failovers in between. No completed task runs
 * again, and no task is left out. */
guint
tasks_end_far_apart_between_failovers(World *world) {
  guint n_overlaps = 0;

  for (guint i = 0; i < world->machines->len; i++)
    world_machine_at(world, i)->failure_rate = 0;
  for (guint i = 0; i < 6; i++)
    world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 2 + i % 2), 2)->stagger_s = 14;
  for (guint i = 0; i < 3; i++) {
    world_run(world, 8);
    world_kill_node(world, world_node_leading_most_shards(world), i % 2 == 0 ? 0.3 : 3);
  }
  world_run(world, 30);
  for (guint i = 0; i < 6; i++) {
    g_assert_cmpint(world_job_at(world, i)->user_view, ==, USER_SEES_DONE);
    n_overlaps += world_job_at(world, i)->n_starts == world_job_at(world, i)->spec.n_tasks;
  }
  g_assert_cmpuint(n_overlaps, ==, 6);
  return n_overlaps;
}

/* Machines that run tasks of jobs restricted to one zone fail. */
guint
zone_bound_jobs_lose_machines(World *world) {
  guint n_killed = 0;

  for (guint i = 0; i < 6; i++)
    world_submit(world,
                 mm_json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 3, WIRE_ZONE, "b", WIRE_KIND,
                              i % 3 == 0 ? WIRE_KIND_SERVICE : WIRE_KIND_ARRAY),
                 12);
  world_run(world, 8);
  for (guint i = 0; i < world->machines->len && n_killed < 2; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    if (strcmp(machine->zone, "b") != 0 || machine->tasks->len == 0)
      continue;
    world_kill_machine(world, machine);
    n_killed++;
  }
  world_kill_node(world, 1, 0.3);
  world_run(world, 20);
  return n_killed;
}

/* Jobs of all priorities need more resources than there are, while heartbeats and the responses to
 * them are delayed. */
guint
more_work_than_resources(World *world) {
  static const char *const priorities[] = { "low", "normal", "urgent", "critical" };
  guint n_waiting = 0;

  world->max_request_delay_s = 1.5;
  world->capacity = 1;
  for (guint i = 0; i < 36; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(world,
                 mm_json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 5, WIRE_PRIORITY,
                              priorities[i / 4 % 4], WIRE_TEAM, team),
                 20);
  }
  world_run(world, 30);
  for (guint i = 0; i < world->jobs->len; i++)
    n_waiting += world_job_at(world, i)->first_start_at_us == 0;
  world_kill_node(world, world_node_leading_most_shards(world), 0.5);
  world_run(world, 60);
  world->max_request_delay_s = 0;
  return n_waiting;
}

/* A leader stops while some machines with long tasks are unreachable and others receive no response
 * from the new leader. */
guint
leader_ends_while_machines_are_unreached(World *world) {
  guint n_overlaps = 0;
  guint64 before;

  submit_jobs(world, 5, WIRE_KIND_ARRAY, 4, 35);
  world_run(world, 8);
  before = highest_known_term(world);
  n_overlaps
      += inject_into_machines_with_tasks(world, 2, partition_machine, world->worker_lease_s - 2);
  n_overlaps += inject_into_machines_with_tasks(world, 4, lose_inbound, 6);
  world_kill_node(world, world_node_leading_most_shards(world), 15);
  world_run(world, 1);
  world_cancel(world_job_at(world, 0));
  world_run(world, 30);
  return highest_known_term(world) > before ? n_overlaps : 0;
}

/* At least ten failovers occur in two minutes. One of the failovers occurs during an outage of the
   key-value store. */
guint
ten_failovers_in_two_minutes(World *world) {
  guint64 before;
  WorldJob *last_job;

  submit_jobs(world, 6, WIRE_KIND_ARRAY, 4, 30);
  world_run(world, 6);
  before = highest_known_term(world);
  for (guint i = 0; i < 11; i++) {
    world_kill_node(world, world_node_leading_most_shards(world), i % 2 == 0 ? 0.3 : 3);
    if (i == 4)
      world_kv_outage(world, 8);
    /* Gives the machines work, so that the autoscaler does not return them as idle. */
    submit_jobs(world, 2, WIRE_KIND_ARRAY, 2, 5);
    world_run(world, 10.5);
  }
  last_job = world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 2), 3);
  world_run(world, 25);
  g_assert_cmpint(last_job->first_start_at_us, >, 0);
  return highest_known_term(world) >= before + 10;
}

/* All nodes are down for longer than the duration of a worker's lease. */
guint
all_nodes_are_down_beyond_a_lease(World *world) {
  submit_jobs(world, 4, WIRE_KIND_ARRAY, 4, 30);
  submit_jobs(world, 2, WIRE_KIND_SERVICE, 3, 0);
  world_run(world, 8);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, world->worker_lease_s + 6);
  world_run(world, 2 * world->worker_lease_s + 10);
  return count_machines_with_lost_lease(world, NULL);
}

/* The leader changes while a team is at its resource limit, some machines that run the team's tasks
 * are unreachable, and one of the team's jobs is cancelled. */
guint
team_is_at_its_limit_during_failover(World *world) {
  guint n_running = 0;

  for (guint i = 0; i < 5; i++)
    world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 6), 25);
  world_run(world, 10);
  for (guint i = 0; i < 5; i++)
    n_running += world_count_running(world, world_job_at(world, i), NULL);
  inject_into_machines_with_tasks(world, 3, partition_machine, world->worker_lease_s + 4);
  world_kill_node(world, world_node_leading_most_shards(world), 5);
  world_run(world, 0.5);
  world_cancel(world_job_at(world, 0));
  world_run(world, 40);
  return n_running * 2 >= (guint)world->team_cores - 2 ? n_running : 0;
}
