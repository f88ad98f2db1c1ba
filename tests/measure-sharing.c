/* Measures in the simulated world what it costs to share machines among the nodes: messages between
 * nodes, their bytes, writes and processor time, with and without machine groups. Also measures for
 * how long the machines of a moving group have no node that grants starts. Prints rows of a table;
 * with --figure also draws the rows with PLplot. */
#include <plplot.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/wire.h"
#include "sharing/sharing.h"
#include "world/world.h"

#define EXIT_USAGE 2
#define GROUPS 256
#define WARMUP_S 60
#define MEASURED_S 60
#define STEP_S 0.01
/* A move that has not finished after this many steps is counted with this duration. */
#define MOVE_STEPS_MAX 2000
#define MOVES 40
#define ROUNDS 3
#define JOBS_PER_SECOND 4
#define NEVER_S 1e6

static const guint sizes[] = { 40, 1241, 6000 };
#define N_SIZES G_N_ELEMENTS(sizes)

typedef struct {
  double frames; /* this field and the next two: per machine and second */
  double bytes;
  double heartbeats;
  double writes; /* per second */
  double starts; /* per second */
  double processor_s;
} Cost;

typedef struct {
  double writes; /* this field and the next: per move, minus the count without moves */
  double frames;
  GArray *gaps; /* double, s: each moved machine's time without a granting node, ascending */
} MoveCost;

static World *
new_world(guint size, gboolean shared) {
  World *world = world_new(17);

  world->skips_checks = TRUE;
  world->capacity = 0;
  world->team_cores = 2000;
  world->group_count = shared ? GROUPS : 0;
  world->group_hold_s = 1;
  if (size > 100) {
    world->heartbeat_interval_s = 5;
    world->worker_lease_s = 26.5;
    world->cancel_s = 51.5;
  }
  for (guint i = 0; i < size; i++)
    world_add_machine(world, i % 12 == 11 ? "big" : "small",
                      i % 3 == 0   ? "a"
                      : i % 3 == 1 ? "b"
                                   : "c",
                      FALSE, 0.1)
        ->failure_rate
        = 0;
  world_start(world);
  for (guint i = 0; i < WORLD_NODES; i++) {
    world->nodes[i].operators.may_scale_out = 0;
    world->nodes[i].operators.idle_release_s = NEVER_S;
  }
  world_run(world, WARMUP_S);
  return world;
}

static void
submit_jobs(World *world) {
  for (guint i = 0; i < JOBS_PER_SECOND; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(world,
                 mm_json_pack("{s:s, s:i, s:f}", WIRE_TEAM, team, WIRE_TASKS, 4, WIRE_CORES, 1.0),
                 world_uniform(world, 2, 8));
  }
}

static Cost
measure_cost(guint size, gboolean shared) {
  World *world = new_world(size, shared);
  guint64 frames = world->n_frames, bytes = world->n_frame_bytes, heartbeats = world->n_heartbeats;
  guint64 writes = world->n_writes;
  guint starts = world->n_starts;
  clock_t began = clock();
  double scale = 1.0 / (MEASURED_S * (double)size);
  Cost cost;

  for (guint i = 0; i < MEASURED_S; i++) {
    submit_jobs(world);
    world_run(world, 1);
  }
  cost = (Cost){ (double)(world->n_frames - frames) * scale,
                 (double)(world->n_frame_bytes - bytes) * scale,
                 (double)(world->n_heartbeats - heartbeats) * scale,
                 (double)(world->n_writes - writes) / MEASURED_S,
                 (double)(world->n_starts - starts) / MEASURED_S,
                 (double)(clock() - began) / CLOCKS_PER_SEC };
  world_free(world);
  return cost;
}

/* Moves */

static gboolean
has_granting_node(const World *world, const WorldMachine *machine) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = world->nodes[i].node;
    const MmMachine *known = mm_machine_table_find(node->machine_table, machine->id);
    if (known != NULL && mm_sharing_may_grant(node->sharing, known))
      return TRUE;
  }
  return FALSE;
}

/* Returns the machines (WorldMachine, borrowed) that belong to the group, are up, and have a node
 * that may grant their resources. Free with g_ptr_array_unref(). */
static GPtrArray *
granted_machines(const World *world, guint group) {
  GPtrArray *machines = g_ptr_array_new();

  for (guint i = 0; i < world->machines->len; i++) {
    WorldMachine *machine = world_machine_at(world, i);
    if (machine->is_up && world_group_of_machine(world, machine) == group
        && has_granting_node(world, machine))
      g_ptr_array_add(machines, machine);
  }
  return machines;
}

/* Moves the group. For each machine of the group, appends to `gaps` the time in seconds during
 * which no node grants the machine's resources. */
static void
measure_move(World *world, guint group, GArray *gaps) {
  g_autoptr(GPtrArray) machines = granted_machines(world, group);
  g_autofree double *without_grants_s = g_new0(double, machines->len + 1);
  guint owner = world_group_owner(world, 0, group);
  guint target = (owner + 1) % WORLD_NODES;
  guint granted = 0;

  world_move_group(world, owner, group, target);
  for (guint steps = 0; steps < MOVE_STEPS_MAX; steps++) {
    world_run(world, STEP_S);
    granted = 0;
    for (guint i = 0; i < machines->len; i++)
      if (has_granting_node(world, g_ptr_array_index(machines, i)))
        granted++;
      else
        without_grants_s[i] += STEP_S;
    if (granted == machines->len && world_group_owner(world, target, group) == target)
      break;
  }
  g_array_append_vals(gaps, without_grants_s, machines->len);
}

static gint
compare_doubles(gconstpointer a, gconstpointer b) {
  double x = *(const double *)a, y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Returns the ratio of the processor time with groups to the processor time without groups.
 * Measures the two times alternately, ROUNDS times, and returns the median of the ratios. The
 * counts are the same in each round. */
static double
measure_ratio(guint size, Cost *without, Cost *with) {
  double ratios[ROUNDS];

  for (guint i = 0; i < ROUNDS; i++) {
    *without = measure_cost(size, FALSE);
    *with = measure_cost(size, TRUE);
    ratios[i] = with->processor_s / without->processor_s;
  }
  qsort(ratios, ROUNDS, sizeof *ratios, compare_doubles);
  return ratios[ROUNDS / 2];
}

static MoveCost
measure_moves(guint size) {
  World *world = new_world(size, TRUE);
  MoveCost cost = { .gaps = g_array_new(FALSE, FALSE, sizeof(double)) };
  guint64 writes, frames;
  gint64 began_us;
  double seconds;

  for (guint i = 0; i < MOVES; i++) {
    submit_jobs(world);
    world_run(world, 1);
  }
  writes = world->n_writes;
  frames = world->n_frames;
  began_us = world->now_us;
  for (guint i = 0; i < MOVES; i++) {
    submit_jobs(world);
    measure_move(world, (i * 37) % GROUPS, cost.gaps);
  }
  seconds = (double)(world->now_us - began_us) / G_USEC_PER_SEC;
  cost.writes = (double)(world->n_writes - writes) / MOVES;
  cost.frames = (double)(world->n_frames - frames) / MOVES;
  /* Subtracts the writes and frames of an equally long period without moves. */
  writes = world->n_writes;
  frames = world->n_frames;
  for (guint i = 0; i < MOVES; i++) {
    submit_jobs(world);
    world_run(world, seconds / MOVES);
  }
  cost.writes -= (double)(world->n_writes - writes) / MOVES;
  cost.frames -= (double)(world->n_frames - frames) / MOVES;
  g_array_sort(cost.gaps, compare_doubles);
  world_free(world);
  return cost;
}

/* Output */

static double
quantile(const GArray *sorted, double share) {
  return sorted->len > 0 ? g_array_index(sorted, double, (guint)(share * (double)(sorted->len - 1)))
                         : 0;
}

static void
print_cost(guint size, const Cost *without, const Cost *with, double ratio) {
  printf("| %u | %.3f, %.3f | %.1f, %.1f | %.3f, %.3f | %.2f, %.2f | %.2f, %.2f | %.2f |\n", size,
         without->frames, with->frames, without->bytes, with->bytes, without->heartbeats,
         with->heartbeats, without->writes, with->writes, without->starts, with->starts, ratio);
}

static void
print_moves(guint size, const MoveCost *cost) {
  printf("| %u | %u | %.2f | %.2f | %.2f | %.1f | %.1f |\n", size, cost->gaps->len,
         quantile(cost->gaps, 0.5), quantile(cost->gaps, 0.9), quantile(cost->gaps, 1),
         cost->writes, cost->frames);
}

static void
draw_bars(const Cost *without, const Cost *with) {
  guint n = N_SIZES;
  PLFLT most = 0;

  for (guint i = 0; i < n; i++)
    most = MAX(most, MAX(without[i].bytes, with[i].bytes));
  plenv(0, n, 0, most * 1.15, 0, -1);
  plbox("b", 0, 0, "bcnst", 0, 0);
  pllab("simulated machines", "bytes between nodes",
        "per machine and second: without, with groups");
  for (guint i = 0; i < N_SIZES; i++) {
    g_autofree char *size = g_strdup_printf("%u", sizes[i]);
    const Cost *costs[] = { &without[i], &with[i] };
    for (guint k = 0; k < 2; k++) {
      PLFLT left = i + 0.15 + 0.35 * k, right = left + 0.3;
      PLFLT x[] = { left, left, right, right }, y[] = { 0, costs[k]->bytes, costs[k]->bytes, 0 };
      plcol0(k == 0 ? 7 : 9);
      plfill(4, x, y);
    }
    plcol0(15);
    plptex(i + 0.5, most * 1.08, 1, 0, 0.5, size);
  }
}

static void
draw_gaps(const MoveCost *moves) {
  PLFLT most = 0;

  for (guint i = 0; i < N_SIZES; i++)
    most = MAX(most, quantile(moves[i].gaps, 1));
  plcol0(15);
  plenv(0, most * 1.05, 0, 1.05, 0, 0);
  pllab("seconds without grants", "share of moved machines", "move of a group");
  for (guint i = 0; i < N_SIZES; i++) {
    guint n = moves[i].gaps->len;
    g_autofree PLFLT *shares = g_new(PLFLT, n);
    g_autofree char *size = g_strdup_printf("%u", sizes[i]);
    for (guint k = 0; k < n; k++)
      shares[k] = (double)(k + 1) / n;
    plcol0((PLINT)(9 + i * 2));
    plline((PLINT)n, (const PLFLT *)moves[i].gaps->data, shares);
    plptex(most * 0.8, 0.3 - 0.08 * i, 1, 0, 0, size);
  }
}

static void
draw(const char *path, const Cost *without, const Cost *with, const MoveCost *moves) {
  plsdev("svg");
  plsfnam(path);
  plspage(0, 0, 900, 380, 0, 0);
  plscolbg(255, 255, 255);
  plscol0(15, 0, 0, 0);
  plssub(2, 1);
  plinit();
  plcol0(15);
  draw_bars(without, with);
  draw_gaps(moves);
  plend();
}

int
main(int argc, char **argv) {
  Cost without[N_SIZES], with[N_SIZES];
  MoveCost moves[N_SIZES];

  if (argc != 1 && (argc != 3 || strcmp(argv[1], "--figure") != 0)) {
    fprintf(stderr, "measure-sharing: usage: measure-sharing [--figure FILE.svg]\n");
    return EXIT_USAGE;
  }
  printf("Each pair: without, with groups. Per machine and second: messages between nodes, their "
         "bytes, heartbeats; per second: writes, starts; processor time of the run, as a ratio.\n");
  for (guint i = 0; i < N_SIZES; i++) {
    double ratio = measure_ratio(sizes[i], &without[i], &with[i]);
    print_cost(sizes[i], &without[i], &with[i], ratio);
    fflush(stdout);
  }
  printf("Moves: machines moved; seconds without grants: median, 90th percentile, maximum; "
         "writes and messages per move.\n");
  for (guint i = 0; i < N_SIZES; i++) {
    moves[i] = measure_moves(sizes[i]);
    print_moves(sizes[i], &moves[i]);
    fflush(stdout);
  }
  if (argc == 3)
    draw(argv[2], without, with, moves);
  return EXIT_SUCCESS;
}
