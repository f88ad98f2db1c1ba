/* One move of a machine group: without a fault, and with a fault at each step of the move. */
#include "test-sharing-world.h"

#include "base/wire.h"
#include "leases/shard-ownership.h"
#include "sharing/sharing.h"

/* Delays of the fault. A delay begins 7 ms after the request to move a group. Each step of a move
 * takes a few milliseconds. The pause between two requests of a watch takes about 50 ms. */
static const guint fault_delays_ms[] = { 0, 5, 14, 70, 2, 9, 30, 200 };
#define N_DEFAULT_FAULT_DELAYS 4 /* number of delays used; `-m slow`: all are used */

typedef struct {
  World *world;
  WorldMachine *machine; /* a machine of the group that moves; tasks start on it throughout */
  guint group;
  guint source;
  guint target;
} Move;

typedef struct {
  const char *name;
  void (*before_order)(Move *move); /* called before the request to move; NULL: not called */
  void (*during_move)(Move *move);  /* called after each of the delays; NULL: not called */
} MoveCase;

static guint
next_node(const World *world, guint node) {
  return (node + 1) % WORLD_NODES;
}

/* Returns a machine that is up, its group, and the nodes between which the group is to move. */
static Move
choose_move(World *world) {
  Move move = { .world = world };

  for (guint i = 0; move.machine == NULL; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    if (machine->is_up)
      move.machine = machine;
  }
  move.group = world_group_of_machine(world, move.machine);
  move.source = world_group_owner(world, 0, move.group);
  g_assert_cmpuint(move.source, <, WORLD_NODES);
  move.target = next_node(world, move.source);
  return move;
}

static void
kill_source(Move *move) {
  world_kill_node(move->world, move->source, 3);
}

static void
restart_source_at_once(Move *move) {
  world_kill_node(move->world, move->source, 0.2);
}

static void
kill_target(Move *move) {
  world_kill_node(move->world, move->target, 3);
}

static void
restart_target_at_once(Move *move) {
  world_kill_node(move->world, move->target, 0.2);
}

static void
restart_sharing_leader(Move *move) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = move->world->nodes[i].node;
    if (node != NULL && mm_shard_ownership_leads(node->shard_ownership, MM_SHARD_SHARING))
      world_kill_node(move->world, i, 0.2);
  }
}

/* Suspends the source node for longer than its lease. When the source node resumes, the messages
 * that arrived in the meantime are still queued. */
static void
suspend_source(Move *move) {
  world_suspend_node(move->world, move->source, 6);
}

static void
kill_moved_machine(Move *move) {
  world_kill_machine(move->world, move->machine);
}

static void
restart_moved_machine(Move *move) {
  world_restart_machine(move->world, move->machine, 0.3);
}

static void
refuse_source_kv_requests(Move *move) {
  move->world->nodes[move->source].kv_refuses_until_us = move->world->now_us + 8 * SECOND;
}

static void
refuse_target_kv_requests(Move *move) {
  move->world->nodes[move->target].kv_refuses_until_us = move->world->now_us + 8 * SECOND;
}

static void
start_kv_outage(Move *move) {
  world_kv_outage(move->world, 8);
}

static void
refuse_peer_links(Move *move) {
  world_refuse_links(move->world, 8);
}

static void
lose_source_watches(Move *move) {
  move->world->nodes[move->source].watches_lost_until_us = move->world->now_us + 5 * SECOND;
}

/* Has a copy of the machine's next heartbeat delivered to the source node 1.5 leases from now. By
 * then the source node is only the former owner. */
static void
duplicate_next_heartbeat(Move *move) {
  move->machine->duplicate_at_us
      = move->world->now_us + (gint64)(1.5 * move->world->worker_lease_s * (double)SECOND);
  move->machine->duplicate_node = move->source;
}

/* Kills the leader of most shards. The groups and the shards of this node then change owners at the
 * same time. */
static void
kill_leader_of_most_shards(Move *move) {
  world_kill_node(move->world, world_node_leading_most_shards(move->world), 3);
}

static void
cancel_random_jobs(Move *move) {
  for (guint i = 0; i < 4; i++)
    world_cancel(world_any_job(move->world));
}

static void
move_group_back(Move *move) {
  world_move_group(move->world, move->target, move->group, move->source);
}

/* Has each transaction of a move applied seconds after the sender of the transaction has stopped
 * waiting for it. */
static void
delay_transactions(Move *move) {
  move->world->delays_acquisitions = TRUE;
}

static void
stop_delaying_transactions(Move *move) {
  move->world->delays_acquisitions = FALSE;
}

static void
corrupt_target_key(Move *move) {
  g_autofree char *path = g_strdup_printf("mm/r/g/n-%u", move->target);
  g_autoptr(MmJson) body
      = mm_json_pack("{s:[], s:[{s:s, s:{s:s}}]}", WIRE_CONDITIONS, WIRE_OPERATIONS, WIRE_PUT, path,
                     WIRE_VALUE, "g", "nonsense");
  g_autoptr(MmJson) response = NULL;

  g_assert_cmpint(world_kv_handle(move->world, "POST", WIRE_TXN_PATH, body, &response), ==, 200);
}

static const MoveCase move_cases[] = {
  { "move-is-undisturbed", NULL, NULL },
  { "source-ends", NULL, kill_source },
  { "source-is-back-at-once", NULL, restart_source_at_once },
  { "target-ends", NULL, kill_target },
  { "target-is-back-at-once", NULL, restart_target_at_once },
  { "leader-of-duty-ends", NULL, restart_sharing_leader },
  { "source-is-suspended", NULL, suspend_source },
  { "machine-is-lost", NULL, kill_moved_machine },
  { "machine-is-back", NULL, restart_moved_machine },
  { "source-is-refused", NULL, refuse_source_kv_requests },
  { "target-is-refused", NULL, refuse_target_kv_requests },
  { "store-is-down", NULL, start_kv_outage },
  { "links-are-refused", NULL, refuse_peer_links },
  { "source-misses-changes", NULL, lose_source_watches },
  { "heartbeat-arrives-again", duplicate_next_heartbeat, NULL },
  { "shards-change-hands", NULL, kill_leader_of_most_shards },
  { "jobs-are-cancelled", NULL, cancel_random_jobs },
  { "group-moves-back", NULL, move_group_back },
  { "transactions-are-applied-late", delay_transactions, stop_delaying_transactions },
  { "key-is-malformed", NULL, corrupt_target_key },
};

/* Runs one move with the fault at the given delay. Returns whether the target owns the group in the
 * end. */
static gboolean
run_move_case(const MoveCase *move_case, guint delay_index) {
  World *world = new_sharing_world(100 + delay_index);
  gboolean is_moved;
  Move move;

  world_start(world);
  world_run(world, 4);
  run_under_load(world, 4);
  move = choose_move(world);
  if (move_case->before_order != NULL)
    move_case->before_order(&move);
  world_move_group(world, move.source, move.group, move.target);
  /* At the end of this run, the source node has received the request to move and has started the
     move. */
  world_run(world, 0.007);
  world_run(world, fault_delays_ms[delay_index] / 1000.0);
  if (move_case->during_move != NULL)
    move_case->during_move(&move);
  run_under_load(world, 25);
  g_assert_cmpuint(world->n_moves_started, >, 0);
  assert_groups_are_owned(world);
  is_moved = world_group_owner(world, 0, move.group) == move.target;
  world_finish_run(world);
  return is_moved;
}

static void
test_move_case(gconstpointer data) {
  const MoveCase *move_case = data;
  guint n_delays = g_test_slow() ? G_N_ELEMENTS(fault_delays_ms) : N_DEFAULT_FAULT_DELAYS;
  guint n_moved = 0;

  for (guint delay_index = 0; delay_index < n_delays; delay_index++)
    n_moved += run_move_case(move_case, delay_index);
  g_test_message("%s: the target owned the group at the end of %u of %u runs", move_case->name,
                 n_moved, n_delays);
  if (move_case->during_move == NULL)
    g_assert_cmpuint(n_moved, ==, n_delays);
}

void
add_move_cases(void) {
  for (guint i = 0; i < G_N_ELEMENTS(move_cases); i++) {
    g_autofree char *path = g_strdup_printf("/sharing-world/%s", move_cases[i].name);
    g_test_add_data_func(path, &move_cases[i], test_move_case);
  }
}
