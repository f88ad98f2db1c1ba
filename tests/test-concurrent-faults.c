/* Two troubles at once: each test brings one such meeting about, shows that it happened, and then
 * that the rules held and everything got done. */
#include "base/wire.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "kv/replica.h"
#include "autoscaler/autoscaler.h"
#include "kv/kv-client.h"
#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

typedef struct {
  const char *name;
  /* Plays the meeting; how often what makes it one has happened. */
  guint (*play)(World *world);
} Meeting;

/* ---- pieces ---- */

static WorldMachine *
machine_at(const World *world, guint index) {
  return g_ptr_array_index(world->machines, index);
}

static WorldJob *
job_at(const World *world, guint index) {
  return g_ptr_array_index(world->jobs, index);
}

static void
submit_many(World *world, guint n, const char *kind, guint tasks, double run_s) {
  for (guint i = 0; i < n; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(world,
                 json_pack("{s:i, s:s, s:s}", WIRE_TASKS, tasks, WIRE_KIND, kind, WIRE_TEAM, team),
                 run_s);
  }
}

static void
cancel_all(World *world) {
  for (guint i = 0; i < world->jobs->len; i++)
    if (!job_at(world, i)->is_cancel_requested)
      world_cancel(job_at(world, i));
}

static guint
told(const World *world, WorldUserView what) {
  guint n = 0;

  for (guint i = 0; i < world->jobs->len; i++)
    n += job_at(world, i)->user_view == what;
  return n;
}

/* How many machines (of the zone) have lost a lease. */
static guint
sessions_ended(const World *world, const char *zone) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n += machine_at(world, i)->incarnation > 1
         && (zone == NULL || strcmp(machine_at(world, i)->zone, zone) == 0);
  return n;
}

static guint64
newest_term(const World *world) {
  guint64 term = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].node != NULL)
      term = MAX(term, world->nodes[i].node->replica->term.v);
  return term;
}

/* Machines that hold tasks, `most` of them, and what to do with each. */
static guint
with_tasks(World *world, guint most, void (*what)(WorldMachine *machine, gint64 until_us),
           double seconds) {
  gint64 until_us = world->now_us + (gint64)(seconds * SECOND);
  guint n = 0;

  for (guint i = 0; i < world->machines->len && n < most; i++) {
    if (machine_at(world, i)->tasks->len == 0)
      continue;
    what(machine_at(world, i), until_us);
    n++;
  }
  return n;
}

static void
cut(WorldMachine *machine, gint64 until_us) {
  machine->cut_until_us = until_us;
}

static void
hang(WorldMachine *machine, gint64 until_us) {
  machine->hung_until_us = until_us;
}

static void
deafen(WorldMachine *machine, gint64 until_us) {
  machine->inbound_lost_until_us = until_us;
}

static void
silence(WorldMachine *machine, gint64 until_us) {
  machine->outbound_lost_until_us = until_us;
}

static void
refuse(World *world, guint node, double seconds) {
  world->nodes[node].kv_refuses_until_us = world->now_us + (gint64)(seconds * SECOND);
}

/* ---- the meetings ---- */

/* A command is held up for seconds, and its machine goes on meanwhile. */
static guint
commands_are_delayed(World *world) {
  submit_many(world, 4, WIRE_KIND_ARRAY, 4, 30);
  world_run(world, 8);
  with_tasks(world, 3, cut, 6);
  cancel_all(world);
  world_run(world, 2);
  with_tasks(world, 6, hang, 5);
  world_run(world, 10);
  return world->n_delayed_commands;
}

static guint
zone_is_cut_with_its_node(World *world) {
  submit_many(world, 4, WIRE_KIND_SERVICE, 3, 0);
  world_run(world, 8);
  world_cut_zone(world, 0, world->lease_s + 8, TRUE);
  world_run(world, 5);
  submit_many(world, 2, WIRE_KIND_ARRAY, 4, 5);
  world_run(world, world->lease_s + 15);
  return sessions_ended(world, "a");
}

/* The same while one of the other nodes ends and is back: it knows the cut-off machines from the
 * register only, and proves their sessions over as the zone comes back. */
static guint
node_restarts_while_zone_is_cut(World *world) {
  submit_many(world, 4, WIRE_KIND_SERVICE, 3, 0);
  submit_many(world, 8, WIRE_KIND_ARRAY, 6, 12);
  world_run(world, 6);
  world_cut_zone(world, 0, 2 * world->lease_s + world_uniform(world, 1, 4), TRUE);
  world_run(world, world_uniform(world, 2, world->lease_s + 2));
  world_kill_node(world, 1, world_uniform(world, 0.3, 3));
  for (guint i = 0; i < 12; i++) {
    world_run(world, 3);
    submit_many(world, 2, WIRE_KIND_ARRAY, 5, 12);
  }
  return sessions_ended(world, "a");
}

/* Nodes hand over and back; all end, and one is back within a second. */
static guint
all_nodes_end_and_one_returns(World *world) {
  guint64 before;

  submit_many(world, 4, WIRE_KIND_ARRAY, 5, 25);
  world_run(world, 6);
  before = newest_term(world);
  for (guint round = 0; round < 3; round++) {
    world_kill_node(world, world_node_leading_most_shards(world), 0.2);
    world_run(world, 4);
    for (guint i = 0; i < WORLD_NODES; i++)
      world_kill_node(world, i, i == round ? 0.3 : 4);
    world_run(world, 7);
  }
  return newest_term(world) >= before + 6;
}

/* Reports come again after newer ones, also of earlier sessions and attempts. */
static guint
stale_heartbeats_arrive(World *world) {
  world->duplicate_rate = 0.3;
  submit_many(world, 6, WIRE_KIND_ARRAY, 3, 12);
  for (guint round = 0; round < 3; round++) {
    world_run(world, 6);
    with_tasks(world, 2, round % 2 == 0 ? cut : deafen, world->lease_s + 3);
    world_kill_node(world, round, 0.3);
    world_run(world, 8);
  }
  world->duplicate_rate = 0;
  return world->n_stale_incarnations;
}

/* Transactions get no answer and are carried out late, after newer ones of the same node, also in
 * its next life. */
static guint
transactions_are_applied_late(World *world) {
  world->late_write_rate = 0.3;
  for (guint round = 0; round < 8; round++) {
    submit_many(world, 2, WIRE_KIND_ARRAY, 3, 5);
    world_run(world, 4);
    world_cancel(job_at(world, round * 2));
    if (round % 3 == 1)
      world_kill_node(world, world_node_leading_most_shards(world), 0.3);
    if (round % 3 == 2)
      with_tasks(world, 1, cut, world->lease_s + 2);
    world_run(world, 2);
  }
  world->late_write_rate = 0;
  return world->n_late_applied > 0 && world->n_late_rejected > 0;
}

/* A node's claim is announced twice, and the first announcement is carried out last. The key once
 * hung on the older claim then and went with it; the node was never entitled to anything again. */
static guint
lease_announcements_are_applied_late(World *world) {
  guint before;

  submit_many(world, 3, WIRE_KIND_ARRAY, 4, 20);
  world_run(world, 6);
  before = world->n_late_rejected;
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
  return world->n_late_rejected - before;
}

/* Machines reach no node, while direct commands reach them; a job on them is called off. */
static guint
heartbeats_are_lost_commands_arrive(World *world) {
  guint heard = 0;

  submit_many(world, 4, WIRE_KIND_ARRAY, 4, 40);
  world_run(world, 8);
  with_tasks(world, 4, silence, world->lease_s + 12);
  world_run(world, 0.5);
  world_cancel(job_at(world, 0));
  world_cancel(job_at(world, 1));
  world_run(world, world->lease_s + 14);
  for (guint i = 0; i < world->machines->len; i++)
    heard += machine_at(world, i)->n_direct_while_outbound_lost;
  return heard;
}

/* A copy of a report comes to a new leader that has acted already. */
static guint
delayed_heartbeat_reaches_new_leader(World *world) {
  guint old = world_node_leading_most_shards(world), met = 0;
  guint64 before = newest_term(world);

  submit_many(world, 5, WIRE_KIND_ARRAY, 3, 6);
  world_run(world, 4);
  for (guint i = 0; i < world->machines->len; i++) {
    machine_at(world, i)->duplicate_at_us = world->now_us + 9 * SECOND + (gint64)i * SECOND / 3;
    machine_at(world, i)->duplicate_node = (old + 1 + i % 2) % WORLD_NODES;
  }
  world_run(world, 1.5);
  world_kill_node(world, old, 20);
  world_run(world, 6.5);
  submit_many(world, 5, WIRE_KIND_ARRAY, 3, 6);
  for (guint i = 0; i < world->machines->len; i++)
    met += machine_at(world, i)->duplicate_at_us == 0
           && machine_at(world, i)->fencing_token > before;
  world_run(world, 20);
  return newest_term(world) > before ? met : 0;
}

/* Tasks of one array end far apart, with changes of leader between: none runs again that was done,
 * and none is missed. */
static guint
tasks_end_far_apart_between_failovers(World *world) {
  guint met = 0;

  for (guint i = 0; i < world->machines->len; i++)
    machine_at(world, i)->failure_rate = 0;
  for (guint i = 0; i < 6; i++)
    world_submit(world, json_pack("{s:i}", WIRE_TASKS, 2 + i % 2), 2)->stagger_s = 14;
  for (guint i = 0; i < 3; i++) {
    world_run(world, 8);
    world_kill_node(world, world_node_leading_most_shards(world), i % 2 == 0 ? 0.3 : 3);
  }
  world_run(world, 30);
  for (guint i = 0; i < 6; i++) {
    g_assert_cmpint(job_at(world, i)->user_view, ==, USER_SEES_DONE);
    met += job_at(world, i)->n_starts == job_at(world, i)->spec.n_tasks;
  }
  g_assert_cmpuint(met, ==, 6);
  return met;
}

/* Cancellations, questions and repeated submissions at the end of a job's last task. */
static guint
jobs_are_cancelled_as_they_end(World *world) {
  guint done = 0, cancelled = 0;

  world->cancel_at_end_rate = 0.7;
  for (guint i = 0; i < 12; i++) {
    submit_many(world, 2, WIRE_KIND_ARRAY, 1 + i % 3, 1 + i % 4);
    world_run(world, 2);
    world_send_odd_requests(world);
  }
  world_run(world, 10);
  for (guint i = 0; i < world->jobs->len; i++) {
    done += job_at(world, i)->is_cancel_requested && job_at(world, i)->user_view == USER_SEES_DONE;
    cancelled += job_at(world, i)->user_view == USER_SEES_CANCELLED;
  }
  g_test_message("%u called off after all, %u were done", cancelled, done);
  return MIN(world->n_odd_requests_correct, cancelled + done);
}

/* The state service refuses the leader alone, the others confirm cancellations, and then it is out
 * for all for longer than cancel_s, while the machines are answered. */
static guint
outage_follows_cancellation(World *world) {
  guint leader, met;

  submit_many(world, 6, WIRE_KIND_ARRAY, 4, 300);
  submit_many(world, 2, WIRE_KIND_SERVICE, 2, 0);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  refuse(world, leader, 14);
  world_run(world, 1.5);
  /* The first commands to these are lost. */
  with_tasks(world, 4, deafen, 4);
  cancel_all(world);
  world_run(world, 0.4);
  world_kv_outage(world, world->cancel_s + 12);
  world_run(world, 0.5);
  met = world_count_cancelled_tasks(world);
  world_run(world, world->cancel_s + 20);
  return met;
}

/* The same, but for the outage, which comes when the leader's claim has just ended and nobody has
 * taken its parts: they have no holder as long as it lasts. */
static guint
outage_follows_cancellation_without_leader(World *world) {
  g_autofree char *key = NULL;
  guint leader, met = 0;
  const MmNode *other;

  submit_many(world, 8, WIRE_KIND_ARRAY, 3, 300);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  other = world->nodes[(leader + 1) % WORLD_NODES].node;
  key = g_strconcat(MM_KEY_LIVE_NODE, world->nodes[leader].settings->label.s, NULL);
  refuse(world, leader, 14);
  for (guint i = 0; i < 500 && g_tree_lookup(world->keys, key) != NULL; i++)
    world_run(world, 0.01);
  with_tasks(world, 4, deafen, 3);
  cancel_all(world);
  world->delays_acquisitions = TRUE;
  world_run(world, 0.3);
  world->delays_acquisitions = FALSE;
  world_kv_outage(world, world->cancel_s + 12);
  world_run(world, 0.5);
  for (guint i = 0; i < world->jobs->len; i++) {
    g_autofree char *part = mm_shard_ownership_shard_of_team(&job_at(world, i)->spec.team);
    met += job_at(world, i)->user_view == USER_SEES_CANCELLED
           && mm_replica_shard(other->replica, part) == NULL;
  }
  world_run(world, world->cancel_s + 20);
  return met;
}

/* Jobs bound to one zone lose machines. */
static guint
zone_bound_jobs_lose_machines(World *world) {
  guint lost = 0;

  for (guint i = 0; i < 6; i++)
    world_submit(world,
                 json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 3, WIRE_ZONE, "b", WIRE_KIND,
                           i % 3 == 0 ? WIRE_KIND_SERVICE : WIRE_KIND_ARRAY),
                 12);
  world_run(world, 8);
  for (guint i = 0; i < world->machines->len && lost < 2; i++) {
    WorldMachine *machine = machine_at(world, i);
    if (strcmp(machine->zone, "b") != 0 || machine->tasks->len == 0)
      continue;
    world_kill_machine(world, machine);
    lost++;
  }
  world_kill_node(world, 1, 0.3);
  world_run(world, 20);
  return lost;
}

/* The leader has its workers and users and nothing else; jobs are called off through the others. */
static guint
leader_is_cut_off_from_cancellation(World *world) {
  guint leader, met = 0;

  submit_many(world, 6, WIRE_KIND_ARRAY, 4, 300);
  world_run(world, 8);
  leader = world_node_leading_most_shards(world);
  world_cut_node(world, leader, world->cancel_s + 10, FALSE);
  world_run(world, 1);
  with_tasks(world, 4, deafen, 6);
  cancel_all(world);
  for (guint i = 0; i < 60; i++) {
    world_run(world, 0.1);
    met = MAX(met, world_count_cancelled_tasks(world));
  }
  world_run(world, world->cancel_s + 10);
  return met;
}

/* More work than room, urgent and not, over slow links. */
static guint
more_work_than_resources(World *world) {
  static const char *const priorities[] = { "low", "normal", "urgent", "critical" };
  guint waiting = 0;

  world->slow_links_s = 1.5;
  world->capacity = 1;
  for (guint i = 0; i < 36; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(world,
                 json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 5, WIRE_PRIORITY, priorities[i / 4 % 4],
                           WIRE_TEAM, team),
                 20);
  }
  world_run(world, 30);
  for (guint i = 0; i < world->jobs->len; i++)
    waiting += job_at(world, i)->first_start_at_us == 0;
  world_kill_node(world, world_node_leading_most_shards(world), 0.5);
  world_run(world, 60);
  world->slow_links_s = 0;
  return waiting;
}

/* A leader ends while machines with long tasks can't be reached, or don't hear the new one. */
static guint
leader_ends_while_machines_are_unreached(World *world) {
  guint met = 0;
  guint64 before;

  submit_many(world, 5, WIRE_KIND_ARRAY, 4, 35);
  world_run(world, 8);
  before = newest_term(world);
  met += with_tasks(world, 2, cut, world->lease_s - 2);
  met += with_tasks(world, 4, deafen, 6);
  world_kill_node(world, world_node_leading_most_shards(world), 15);
  world_run(world, 1);
  world_cancel(job_at(world, 0));
  world_run(world, 30);
  return newest_term(world) > before ? met : 0;
}

/* Leaders change ten times in two minutes, also inside an outage. */
static guint
ten_failovers_in_two_minutes(World *world) {
  guint64 before;
  WorldJob *after;

  submit_many(world, 6, WIRE_KIND_ARRAY, 4, 30);
  world_run(world, 6);
  before = newest_term(world);
  for (guint i = 0; i < 11; i++) {
    world_kill_node(world, world_node_leading_most_shards(world), i % 2 == 0 ? 0.3 : 3);
    if (i == 4)
      world_kv_outage(world, 8);
    /* So that machines are kept. */
    submit_many(world, 2, WIRE_KIND_ARRAY, 2, 5);
    world_run(world, 10.5);
  }
  after = world_submit(world, json_pack("{s:i}", WIRE_TASKS, 2), 3);
  world_run(world, 25);
  g_assert_cmpint(after->first_start_at_us, >, 0);
  return newest_term(world) >= before + 10;
}

/* The state service is slow, then refuses the leader alone and then everybody, while users call off
 * jobs and ask. */
static guint
store_is_slow_then_refuses(World *world) {
  guint met;

  world->kv_slow_s = 0.8;
  world->kv_slow_until_us = world->now_us + 30 * SECOND;
  submit_many(world, 6, WIRE_KIND_ARRAY, 4, 200);
  world_run(world, 15);
  cancel_all(world);
  refuse(world, world_node_leading_most_shards(world), 10);
  world_run(world, 2);
  world_send_odd_requests(world);
  world_kv_outage(world, world->cancel_s + 10);
  world_run(world, 1);
  met = told(world, USER_SEES_CANCELLED) + world_count_cancelled_tasks(world);
  world_send_odd_requests(world);
  world_run(world, world->cancel_s + 20);
  return met;
}

static guint
all_nodes_are_down_beyond_a_lease(World *world) {
  submit_many(world, 4, WIRE_KIND_ARRAY, 4, 30);
  submit_many(world, 2, WIRE_KIND_SERVICE, 3, 0);
  world_run(world, 8);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, world->lease_s + 6);
  world_run(world, 2 * world->lease_s + 10);
  return sessions_ended(world, NULL);
}

/* A team is at its limit when the leader changes; some of its machines can't be asked, and one of
 * its jobs is called off then. */
static guint
team_is_at_its_limit_during_failover(World *world) {
  guint running = 0;

  for (guint i = 0; i < 5; i++)
    world_submit(world, json_pack("{s:i}", WIRE_TASKS, 6), 25);
  world_run(world, 10);
  for (guint i = 0; i < 5; i++)
    running += world_count_running(world, job_at(world, i), NULL);
  with_tasks(world, 3, cut, world->lease_s + 4);
  world_kill_node(world, world_node_leading_most_shards(world), 5);
  world_run(world, 0.5);
  world_cancel(job_at(world, 0));
  world_run(world, 40);
  return running * 2 >= (guint)world->team_cores - 2 ? running : 0;
}

/* Many jobs are called off within a fifth of a second, and their machines hang. */
static guint
machines_hang_as_jobs_are_cancelled(World *world) {
  guint met;

  submit_many(world, 8, WIRE_KIND_ARRAY, 3, 200);
  world_run(world, 10);
  cancel_all(world);
  world_run(world, 0.1);
  met = with_tasks(world, 5, hang, world->lease_s - 1);
  world_run(world, world->cancel_s + 10);
  return met;
}

/* A node reads nothing new, while its claim is renewed and its links are refused, and its workers'
 * jobs are called off through the others. */
static guint
stale_node_misses_cancellation(World *world) {
  guint node;

  submit_many(world, 6, WIRE_KIND_ARRAY, 4, 300);
  world_run(world, 8);
  node = world_node_leading_most_shards(world);
  world->nodes[node].watches_lost_until_us = world->now_us + 60 * SECOND;
  world_refuse_links(world, 60);
  /* Else it would be told of by its own users. */
  world->avoided_node = node;
  world_run(world, 0.5);
  cancel_all(world);
  world_run(world, 58);
  world->avoided_node = -1;
  return told(world, USER_SEES_CANCELLED);
}

/* The node that rents and returns machines loses the workers, and some of them, which reach no node
 * for a while, do answer the other nodes' questions. Healthy machines once were returned by the
 * dozen: nobody had answered the questions of the one who could ask nobody. */
static guint
autoscaler_is_cut_from_workers(World *world) {
  guint holder = 0, n, up = 0, left = 0;

  submit_many(world, 6, WIRE_KIND_SERVICE, 2, 0);
  world_run(world, 8);
  while (!world->nodes[holder].node->autoscaler->is_active)
    holder++;
  for (guint i = 0; i < 9; i++)
    up += machine_at(world, i)->is_up;
  world->nodes[holder].workers_cut_until_us = world->now_us + 20 * SECOND;
  world_run(world, 5);
  n = with_tasks(world, 1, silence, world->lease_s - 1.5);
  world_run(world, 15);
  for (guint i = 0; i < 9; i++)
    left += machine_at(world, i)->is_up;
  g_assert_cmpuint(left, ==, up);
  return n;
}

static const Meeting meetings[] = {
  { "autoscaler-is-cut-from-workers", autoscaler_is_cut_from_workers },
  { "commands-are-delayed", commands_are_delayed },
  { "zone-is-cut-with-its-node", zone_is_cut_with_its_node },
  { "node-restarts-while-zone-is-cut", node_restarts_while_zone_is_cut },
  { "all-nodes-end-and-one-returns", all_nodes_end_and_one_returns },
  { "stale-heartbeats-arrive", stale_heartbeats_arrive },
  { "transactions-are-applied-late", transactions_are_applied_late },
  { "lease-announcements-are-applied-late", lease_announcements_are_applied_late },
  { "heartbeats-are-lost-commands-arrive", heartbeats_are_lost_commands_arrive },
  { "delayed-heartbeat-reaches-new-leader", delayed_heartbeat_reaches_new_leader },
  { "tasks-end-far-apart-between-failovers", tasks_end_far_apart_between_failovers },
  { "jobs-are-cancelled-as-they-end", jobs_are_cancelled_as_they_end },
  { "outage-follows-cancellation", outage_follows_cancellation },
  { "outage_follows_cancellation-without-a-holder", outage_follows_cancellation_without_leader },
  { "zone-bound-jobs-lose-machines", zone_bound_jobs_lose_machines },
  { "leader-is-cut-off-from-cancellation", leader_is_cut_off_from_cancellation },
  { "more-work-than-resources", more_work_than_resources },
  { "leader-ends-while-machines-are-unreached", leader_ends_while_machines_are_unreached },
  { "ten-failovers-in-two-minutes", ten_failovers_in_two_minutes },
  { "store-is-slow-then-refuses", store_is_slow_then_refuses },
  { "all-nodes-are-down-beyond-a-lease", all_nodes_are_down_beyond_a_lease },
  { "team-is-at-its-limit-during-failover", team_is_at_its_limit_during_failover },
  { "machines-hang-as-jobs-are-cancelled", machines_hang_as_jobs_are_cancelled },
  { "stale-node-misses-cancellation", stale_node_misses_cancellation },
};

static World *
meeting_world(guint32 seed) {
  World *world = world_new(seed);

  for (guint i = 0; i < 9; i++)
    world_add_machine(world, "small", i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c", FALSE, 0.1);
  world_start(world);
  world_run(world, 3);
  return world;
}

/* What is left gets done once the troubles are over, and users are served. */
static void
settle(World *world) {
  world->faults_ended_at_us = world->now_us + 30 * SECOND;
  for (guint i = 0; i < world->jobs->len; i++)
    if (job_at(world, i)->spec.kind == MM_JOB_KIND_SERVICE
        && !job_at(world, i)->is_cancel_requested)
      world_cancel(job_at(world, i));
  world_run(world, 150);
  world_check_served(world);
  world_assert_invariants(world);
  for (guint i = 0; i < world->jobs->len; i++)
    if (job_at(world, i)->user_view < USER_SEES_CANCELLED)
      g_test_message("%s is not over: %u of %u done", job_at(world, i)->id,
                     job_at(world, i)->n_done, job_at(world, i)->spec.n_tasks);
  g_assert_cmpuint(told(world, USER_SEES_DONE) + told(world, USER_SEES_CANCELLED), ==,
                   world->jobs->len);
}

static void
test_fault_scenario(gconstpointer data) {
  const Meeting *meeting = data;
  guint first = 1, days = 2, met = 0;

  /* More than CI plays: MM_MEETING_DAYS=50 tests/test-meetings; or one of them: MM_MEETING_DAY=7 */
  if (g_getenv("MM_MEETING_DAYS") != NULL)
    days = (guint)g_ascii_strtoull(g_getenv("MM_MEETING_DAYS"), NULL, 10);
  if (g_getenv("MM_MEETING_DAY") != NULL)
    first = days = (guint)g_ascii_strtoull(g_getenv("MM_MEETING_DAY"), NULL, 10);
  for (guint32 seed = first; seed <= days; seed++) {
    World *world = meeting_world(seed);
    guint here = meeting->play(world);
    g_test_message("day %u: met %u times", seed, here);
    met += here;
    settle(world);
    world_free(world);
  }
  g_assert_cmpuint(met, >, 0);
}

static gboolean
cancelled_run_on(guint (*play)(World *world), gboolean judge_alone, gboolean never_stale) {
  gboolean broken = FALSE;

  for (guint32 seed = 1; seed <= 4 && !broken; seed++) {
    World *world = meeting_world(seed);
    world->only_leader_knows_cancelled = judge_alone;
    world->replica_never_stale = never_stale;
    play(world);
    for (guint i = 0; i < world->violations->len; i++)
      broken = broken || g_str_has_prefix(g_ptr_array_index(world->violations, i), "ran_cancelled");
    world_free(world);
  }
  return broken;
}

/* Nodes that know only of the cancellations of their own parts' jobs let tasks run on. */
static void
test_cancellation_known_to_leader_only_is_found(void) {
  g_assert_true(cancelled_run_on(outage_follows_cancellation_without_leader, TRUE, FALSE));
}

/* And so does one that answers its workers on though it has read nothing for long. */
static void
test_replica_never_stale_is_found(void) {
  g_assert_true(cancelled_run_on(stale_node_misses_cancellation, FALSE, TRUE));
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  if (g_getenv("LOG_LEVEL") != NULL)
    mm_log_read_level();
  for (guint i = 0; i < G_N_ELEMENTS(meetings); i++) {
    g_autofree char *path = g_strconcat("/concurrent-faults/", meetings[i].name, NULL);
    g_test_add_data_func(path, &meetings[i], test_fault_scenario);
  }
  g_test_add_func("/concurrent-faults/faulty/cancellation-known-to-leader-only-is-found",
                  test_cancellation_known_to_leader_only_is_found);
  g_test_add_func("/concurrent-faults/faulty/replica-never-stale-is-found",
                  test_replica_never_stale_is_found);
  return g_test_run();
}
