/* Scenarios in which network faults coincide with each other or with the stop of a node. */
#include "test-concurrent-faults.h"

#include "autoscaler/autoscaler.h"
#include "base/wire.h"

/* Direct commands arrive seconds late, while the machines continue to run their tasks. */
guint
commands_are_delayed(World *world) {
  submit_jobs(world, 4, WIRE_KIND_ARRAY, 4, 30);
  world_run(world, 8);
  inject_into_machines_with_tasks(world, 3, partition_machine, 6);
  cancel_all_jobs(world);
  world_run(world, 2);
  inject_into_machines_with_tasks(world, 6, suspend_worker, 5);
  world_run(world, 10);
  return world->n_delayed_commands;
}

/* A zone that contains a node and workers is partitioned for longer than the duration of a worker's
 * lease. */
guint
zone_is_partitioned_with_its_node(World *world) {
  submit_jobs(world, 4, WIRE_KIND_SERVICE, 3, 0);
  world_run(world, 8);
  world_partition_zone(world, 0, world->worker_lease_s + 8, TRUE);
  world_run(world, 5);
  submit_jobs(world, 2, WIRE_KIND_ARRAY, 4, 5);
  world_run(world, world->worker_lease_s + 15);
  return count_machines_with_lost_lease(world, "a");
}

/* Like zone_is_partitioned_with_its_node(), but a node outside the zone restarts. After the
 * restart, this node knows the machines in the zone only from the registry. When the zone is
 * reconnected, the restarted node proves that the incarnations of these machines have ended. */
guint
node_restarts_while_zone_is_partitioned(World *world) {
  submit_jobs(world, 4, WIRE_KIND_SERVICE, 3, 0);
  submit_jobs(world, 8, WIRE_KIND_ARRAY, 6, 12);
  world_run(world, 6);
  world_partition_zone(world, 0, 2 * world->worker_lease_s + world_uniform(world, 1, 4), TRUE);
  world_run(world, world_uniform(world, 2, world->worker_lease_s + 2));
  world_kill_node(world, 1, world_uniform(world, 0.3, 3));
  for (guint i = 0; i < 12; i++) {
    world_run(world, 3);
    submit_jobs(world, 2, WIRE_KIND_ARRAY, 5, 12);
  }
  return count_machines_with_lost_lease(world, "a");
}

/* Duplicates of heartbeats arrive after newer heartbeats. Some of the duplicates are from earlier
 * incarnations and attempts. */
guint
stale_heartbeats_arrive(World *world) {
  world->duplicate_rate = 0.3;
  submit_jobs(world, 6, WIRE_KIND_ARRAY, 3, 12);
  for (guint round = 0; round < 3; round++) {
    world_run(world, 6);
    inject_into_machines_with_tasks(world, 2, round % 2 == 0 ? partition_machine : lose_inbound,
                                    world->worker_lease_s + 3);
    world_kill_node(world, round, 0.3);
    world_run(world, 8);
  }
  world->duplicate_rate = 0;
  return world->n_stale_incarnations;
}

/* The heartbeats of machines are lost while direct commands still reach these machines, and jobs
 * that run on them are cancelled. */
guint
heartbeats_are_lost_commands_arrive(World *world) {
  guint n_arrived = 0;

  submit_jobs(world, 4, WIRE_KIND_ARRAY, 4, 40);
  world_run(world, 8);
  inject_into_machines_with_tasks(world, 4, lose_outbound, world->worker_lease_s + 12);
  world_run(world, 0.5);
  world_cancel(world_job_at(world, 0));
  world_cancel(world_job_at(world, 1));
  world_run(world, world->worker_lease_s + 14);
  for (guint i = 0; i < world->machines->len; i++)
    n_arrived += world_machine_at(world, i)->n_direct_while_outbound_lost;
  return n_arrived;
}

/* The duplicate of a heartbeat reaches a new leader after the leader has already sent commands. */
guint
delayed_heartbeat_reaches_new_leader(World *world) {
  guint old_leader = world_node_leading_most_shards(world), n_overlaps = 0;
  guint64 before = highest_known_term(world);

  submit_jobs(world, 5, WIRE_KIND_ARRAY, 3, 6);
  world_run(world, 4);
  for (guint i = 0; i < world->machines->len; i++) {
    world_machine_at(world, i)->duplicate_at_us
        = world->now_us + 9 * SECOND + (gint64)i * SECOND / 3;
    world_machine_at(world, i)->duplicate_node = (old_leader + 1 + i % 2) % WORLD_NODES;
  }
  world_run(world, 1.5);
  world_kill_node(world, old_leader, 20);
  world_run(world, 6.5);
  submit_jobs(world, 5, WIRE_KIND_ARRAY, 3, 6);
  for (guint i = 0; i < world->machines->len; i++)
    n_overlaps += world_machine_at(world, i)->duplicate_at_us == 0
                  && world_machine_at(world, i)->fencing_token > before;
  world_run(world, 20);
  return highest_known_term(world) > before ? n_overlaps : 0;
}

/* The node with the active autoscaler is partitioned from all workers. Meanwhile the heartbeats of
 * some workers are lost, but these workers answer requests of the other nodes. The autoscaler must
 * not count machines as silent because of the partition of its own node. Otherwise the autoscaler
 * would return healthy machines to the cloud. */
guint
autoscaler_is_partitioned_from_workers(World *world) {
  guint autoscaler_node = 0, n_overlaps, n_up_before = 0, n_up_after = 0;

  submit_jobs(world, 6, WIRE_KIND_SERVICE, 2, 0);
  world_run(world, 8);
  while (!world->nodes[autoscaler_node].node->autoscaler->is_active)
    autoscaler_node++;
  for (guint i = 0; i < 9; i++)
    n_up_before += world_machine_at(world, i)->is_up;
  world->nodes[autoscaler_node].workers_partitioned_until_us = world->now_us + 20 * SECOND;
  world_run(world, 5);
  n_overlaps
      = inject_into_machines_with_tasks(world, 1, lose_outbound, world->worker_lease_s - 1.5);
  world_run(world, 15);
  for (guint i = 0; i < 9; i++)
    n_up_after += world_machine_at(world, i)->is_up;
  g_assert_cmpuint(n_up_after, ==, n_up_before);
  return n_overlaps;
}
