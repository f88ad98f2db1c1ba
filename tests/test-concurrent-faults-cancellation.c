/* Scenarios in which jobs are cancelled during outages of the key-value store, during network
 * partitions, or while machines do not receive commands. */
#include "test-concurrent-faults.h"

#include "base/wire.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "leases/shard-ownership.h"

/* Cancellations of jobs arrive while the last tasks of these jobs end. Invalid submissions, status
   requests for an unknown job, repeated submissions of accepted jobs and cancellations of done
   jobs arrive as well. */
guint
jobs_are_cancelled_as_they_end(World *world) {
  guint n_done = 0, n_cancelled = 0;

  world->cancel_at_end_rate = 0.7;
  for (guint i = 0; i < 12; i++) {
    submit_jobs(world, 2, WIRE_KIND_ARRAY, 1 + i % 3, 1 + i % 4);
    world_run(world, 2);
    world_send_unusual_requests(world);
  }
  world_run(world, 10);
  for (guint i = 0; i < world->jobs->len; i++) {
    n_done += world_job_at(world, i)->is_cancel_requested
              && world_job_at(world, i)->user_view == USER_SEES_DONE;
    n_cancelled += world_job_at(world, i)->user_view == USER_SEES_CANCELLED;
  }
  g_test_message("%u jobs cancelled, %u done despite a cancellation request", n_cancelled, n_done);
  return MIN(world->n_unusual_requests_correct, n_cancelled + n_done);
}

/* First, the key-value store refuses requests from the leader only, while the other nodes confirm
 * cancellations. Then the store refuses requests from all nodes for longer than `cancel_s`, while
 * the nodes still respond to workers. */
guint
outage_follows_cancellation(World *world) {
  guint leader, n_overlaps;

  submit_jobs(world, 6, WIRE_KIND_ARRAY, 4, 300);
  submit_jobs(world, 2, WIRE_KIND_SERVICE, 2, 0);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  refuse_kv_requests(world, leader, 14);
  world_run(world, 1.5);
  /* The first commands to the machines chosen here are lost. */
  inject_into_machines_with_tasks(world, 4, lose_inbound, 4);
  cancel_all_jobs(world);
  world_run(world, 0.4);
  world_kv_outage(world, world->cancel_s + 12);
  world_run(world, 0.5);
  n_overlaps = world_count_cancelled_tasks(world);
  world_run(world, world->cancel_s + 20);
  return n_overlaps;
}

/* Like outage_follows_cancellation(), but the outage begins when the leader's lease has just
 * expired and no node has acquired the leader's shards yet. The shards therefore have no leader
 * during the outage. */
guint
outage_follows_cancellation_without_leader(World *world) {
  g_autofree char *key = NULL;
  guint leader, n_overlaps = 0;
  const MmNode *other;

  submit_jobs(world, 8, WIRE_KIND_ARRAY, 3, 300);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  other = world->nodes[(leader + 1) % WORLD_NODES].node;
  key = g_strconcat(MM_KEY_LIVE_NODE, world->nodes[leader].settings->label.s, NULL);
  refuse_kv_requests(world, leader, 14);
  for (guint i = 0; i < 500 && g_tree_lookup(world->keys, key) != NULL; i++)
    world_run(world, 0.01);
  inject_into_machines_with_tasks(world, 4, lose_inbound, 3);
  cancel_all_jobs(world);
  world->delays_acquisitions = TRUE;
  world_run(world, 0.3);
  world->delays_acquisitions = FALSE;
  world_kv_outage(world, world->cancel_s + 12);
  world_run(world, 0.5);
  for (guint i = 0; i < world->jobs->len; i++) {
    g_autofree char *shard = mm_shard_ownership_shard_of_team(&world_job_at(world, i)->spec.team);
    n_overlaps += world_job_at(world, i)->user_view == USER_SEES_CANCELLED
                  && mm_replica_shard(other->replica, shard) == NULL;
  }
  world_run(world, world->cancel_s + 20);
  return n_overlaps;
}

/* The leader is partitioned from everything but its workers and users; jobs are cancelled through
 * the other nodes. */
guint
leader_is_partitioned_during_cancellation(World *world) {
  guint leader, n_overlaps = 0;

  submit_jobs(world, 6, WIRE_KIND_ARRAY, 4, 300);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  world_partition_node(world, leader, world->cancel_s + 10, FALSE);
  world_run(world, 1);
  inject_into_machines_with_tasks(world, 4, lose_inbound, 6);
  cancel_all_jobs(world);
  for (guint i = 0; i < 60; i++) {
    world_run(world, 0.1);
    n_overlaps = MAX(n_overlaps, world_count_cancelled_tasks(world));
  }
  world_run(world, world->cancel_s + 10);
  return n_overlaps;
}

/* The key-value store first responds slowly, then refuses requests from the leader only, and
 * finally refuses requests from all nodes. Meanwhile users cancel jobs and request the status of
 * these jobs. */
guint
store_is_slow_then_refuses(World *world) {
  guint n_overlaps;

  world->kv_slow_s = 0.8;
  world->kv_slow_until_us = world->now_us + 30 * SECOND;
  submit_jobs(world, 6, WIRE_KIND_ARRAY, 4, 200);
  world_run(world, 15);
  cancel_all_jobs(world);
  refuse_kv_requests(world, world_node_leading_most_shards(world), 10);
  world_run(world, 2);
  world_send_unusual_requests(world);
  world_kv_outage(world, world->cancel_s + 10);
  world_run(world, 1);
  n_overlaps = count_jobs_seen_as(world, USER_SEES_CANCELLED) + world_count_cancelled_tasks(world);
  world_send_unusual_requests(world);
  world_run(world, world->cancel_s + 20);
  return n_overlaps;
}

/* Many jobs are cancelled within a fifth of a second, and workers that run tasks of these jobs are
 * suspended. */
guint
workers_are_suspended_as_jobs_are_cancelled(World *world) {
  guint n_overlaps;

  submit_jobs(world, 8, WIRE_KIND_ARRAY, 3, 200);
  world_run(world, 10);
  cancel_all_jobs(world);
  world_run(world, 0.1);
  n_overlaps = inject_into_machines_with_tasks(world, 5, suspend_worker, world->worker_lease_s - 1);
  world_run(world, world->cancel_s + 10);
  return n_overlaps;
}

/* The replica of one node receives no changes, although the node still renews its lease. Links
 * between nodes are refused. Jobs with tasks on this node's workers are cancelled through the other
 * nodes. */
guint
stale_node_misses_cancellation(World *world) {
  guint node;

  submit_jobs(world, 6, WIRE_KIND_ARRAY, 4, 300);
  world_run(world, 8);
  node = world_node_leading_most_shards(world);
  world->nodes[node].watches_lost_until_us = world->now_us + 60 * SECOND;
  world_refuse_links(world, 60);
  /* Users avoid this node, because otherwise the node would learn of the cancellations from the
     users' requests. */
  world->avoided_node = node;
  world_run(world, 0.5);
  cancel_all_jobs(world);
  world_run(world, 58);
  world->avoided_node = -1;
  return count_jobs_seen_as(world, USER_SEES_CANCELLED);
}
