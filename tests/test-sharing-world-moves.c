/* One move of a machine group: by itself, and with a fault in every step of it. */
#include "test-sharing-world.h"

#include "base/wire.h"
#include "leases/shard-ownership.h"
#include "sharing/sharing.h"

/* When the fault comes, after the order to move: the steps of a move take some milliseconds each, a
 * pause of the watch some fifty. */
static const guint moments_ms[] = { 0, 5, 14, 70, 2, 9, 30, 200 };
#define FEW_MOMENTS 4 /* all with `-m slow` */

typedef struct {
  World *world;
  WorldMachine *machine; /* of the group that moves; tasks start on it all the time */
  guint group;
  guint source;
  guint target;
} Move;

typedef struct {
  const char *name;
  void (*before)(Move *move); /* the order; NULL: nothing */
  void (*during)(Move *move); /* at each of the moments; NULL: nothing */
} MoveCase;

static guint
node_after(const World *world, guint than) {
  return (than + 1) % WORLD_NODES;
}

/* A machine that is up, its group, and the nodes between which the group is to move. */
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
  move.target = node_after(world, move.source);
  return move;
}

static void
source_ends(Move *move) {
  world_kill_node(move->world, move->source, 3);
}

static void
source_is_back_at_once(Move *move) {
  world_kill_node(move->world, move->source, 0.2);
}

static void
target_ends(Move *move) {
  world_kill_node(move->world, move->target, 3);
}

static void
target_is_back_at_once(Move *move) {
  world_kill_node(move->world, move->target, 0.2);
}

static void
leader_of_duty_ends(Move *move) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = move->world->nodes[i].node;
    if (node != NULL && mm_shard_ownership_leads(node->shard_ownership, MM_SHARD_SHARING))
      world_kill_node(move->world, i, 0.2);
  }
}

/* Beyond its lease; it resumes with what came meanwhile in its queues. */
static void
source_is_suspended(Move *move) {
  world_freeze_node(move->world, move->source, 6);
}

static void
machine_is_lost(Move *move) {
  world_kill_machine(move->world, move->machine);
}

static void
machine_is_back(Move *move) {
  world_restart_machine(move->world, move->machine, 0.3);
}

static void
source_is_refused(Move *move) {
  move->world->nodes[move->source].kv_refuses_until_us = move->world->now_us + 8 * SECOND;
}

static void
target_is_refused(Move *move) {
  move->world->nodes[move->target].kv_refuses_until_us = move->world->now_us + 8 * SECOND;
}

static void
store_is_down(Move *move) {
  world_kv_outage(move->world, 8);
}

static void
links_are_refused(Move *move) {
  world_refuse_links(move->world, 8);
}

static void
source_misses_changes(Move *move) {
  move->world->nodes[move->source].watches_lost_until_us = move->world->now_us + 5 * SECOND;
}

/* A copy of the machine's next heartbeat reaches the former owner well over a lease later. */
static void
heartbeat_arrives_again(Move *move) {
  move->machine->duplicate_at_us
      = move->world->now_us + (gint64)(1.5 * move->world->lease_s * (double)SECOND);
  move->machine->duplicate_node = move->source;
}

/* The leader of most shards ends: its groups and its shards change hands at once. */
static void
shards_change_hands(Move *move) {
  world_kill_node(move->world, world_node_leading_most_shards(move->world), 3);
}

static void
jobs_are_cancelled(Move *move) {
  for (guint i = 0; i < 4; i++)
    world_cancel(world_any_job(move->world));
}

static void
group_moves_back(Move *move) {
  world_move_group(move->world, move->target, move->group, move->source);
}

/* The transactions of moves are applied seconds after their sender has stopped waiting. */
static void
writes_are_late(Move *move) {
  move->world->delays_acquisitions = TRUE;
}

static void
writes_are_late_no_more(Move *move) {
  move->world->delays_acquisitions = FALSE;
}

static void
key_is_malformed(Move *move) {
  g_autofree char *path = g_strdup_printf("mm/r/g/n-%u", move->target);
  g_autoptr(json_t) body = json_pack("{s:[], s:[{s:s, s:{s:s}}]}", WIRE_CONDITIONS, WIRE_OPERATIONS,
                                     WIRE_PUT, path, WIRE_VALUE, "g", "nonsense");
  g_autoptr(json_t) answer = NULL;

  g_assert_cmpint(world_kv_handle(move->world, "POST", WIRE_TXN_PATH, body, &answer), ==, 200);
}

static const MoveCase move_cases[] = {
  { "move-is-undisturbed", NULL, NULL },
  { "source-ends", NULL, source_ends },
  { "source-is-back-at-once", NULL, source_is_back_at_once },
  { "target-ends", NULL, target_ends },
  { "target-is-back-at-once", NULL, target_is_back_at_once },
  { "leader-of-duty-ends", NULL, leader_of_duty_ends },
  { "source-is-suspended", NULL, source_is_suspended },
  { "machine-is-lost", NULL, machine_is_lost },
  { "machine-is-back", NULL, machine_is_back },
  { "source-is-refused", NULL, source_is_refused },
  { "target-is-refused", NULL, target_is_refused },
  { "store-is-down", NULL, store_is_down },
  { "links-are-refused", NULL, links_are_refused },
  { "source-misses-changes", NULL, source_misses_changes },
  { "heartbeat-arrives-again", heartbeat_arrives_again, NULL },
  { "shards-change-hands", NULL, shards_change_hands },
  { "jobs-are-cancelled", NULL, jobs_are_cancelled },
  { "group-moves-back", NULL, group_moves_back },
  { "transactions-are-applied-late", writes_are_late, writes_are_late_no_more },
  { "key-is-malformed", NULL, key_is_malformed },
};

/* Returns whether the target owns the group in the end. */
static gboolean
play_move_case(const MoveCase *move_case, guint moment) {
  World *world = new_sharing_world(100 + moment);
  gboolean is_moved;
  Move move;

  world_start(world);
  world_run(world, 4);
  run_under_load(world, 4);
  move = choose_move(world);
  if (move_case->before != NULL)
    move_case->before(&move);
  world_move_group(world, move.source, move.group, move.target);
  /* The order is there and the source has begun. */
  world_run(world, 0.007);
  world_run(world, moments_ms[moment] / 1000.0);
  if (move_case->during != NULL)
    move_case->during(&move);
  run_under_load(world, 25);
  g_assert_cmpuint(world->n_moves_started, >, 0);
  assert_groups_are_owned(world);
  is_moved = world_group_owner(world, 0, move.group) == move.target;
  world_finish_day(world);
  return is_moved;
}

static void
test_move_case(gconstpointer data) {
  const MoveCase *move_case = data;
  guint moments = g_test_slow() ? G_N_ELEMENTS(moments_ms) : FEW_MOMENTS;
  guint n_moved = 0;

  for (guint moment = 0; moment < moments; moment++)
    n_moved += play_move_case(move_case, moment);
  g_test_message("%s: the group was at its target in the end in %u of %u", move_case->name, n_moved,
                 moments);
  if (move_case->during == NULL)
    g_assert_cmpuint(n_moved, ==, moments);
}

void
add_move_cases(void) {
  for (guint i = 0; i < G_N_ELEMENTS(move_cases); i++) {
    g_autofree char *path = g_strdup_printf("/sharing-world/%s", move_cases[i].name);
    g_test_add_data_func(path, &move_cases[i], test_move_case);
  }
}
