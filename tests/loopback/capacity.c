/* Measures the memory of three nodes and the time of a take-over against the number of accepted
 * tasks. For each number of arrays of the largest allowed size, it starts three processes on
 * loopback, submits the arrays, reads the processes' memory, and kills the node that leads most
 * shards. It prints one line for each number, with machines on which tasks run and without any.
 *
 *   measure-capacity PROGRAM [ARRAYS...]
 *
 * "max" stands for as many arrays as are accepted. */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/wire.h"
#include "kv/records.h"
#include "processes.h"
#include "stand-ins.h"

#define MEMORY_MB 56
#define MACHINES 20
#define MACHINES_UP_S 5
#define RUNNING_JOBS 4
#define RUNNING_TASKS_S 2
#define SETTLE_S 8
#define TAKE_OVER_MAX_S 60
#define START_MAX_S 60
#define SUBMISSIONS_IN_FLIGHT 16
#define SUBMIT_TIMEOUT_US (20 * (gint64)G_USEC_PER_SEC)
/* So many answers 503 in a row mean that no more arrays are accepted. */
#define REFUSALS_MAX 40
#define PROCESSOR_TIME_S 10
#define NEVER_MS 3600000

typedef struct {
  World *world;
  Processes *processes;
  StandIns *stand_ins;
  guint n_submitted;
  guint n_accepted;
  guint n_in_flight;
  guint n_refused_in_a_row;
  int health_status;
} Measurement;

/* Runs the main loop, with the simulated world, for `seconds` of real time. */
static void
run_for(double seconds) {
  gint64 end_us = g_get_monotonic_time() + (gint64)(seconds * G_USEC_PER_SEC);

  while (g_get_monotonic_time() < end_us)
    if (!g_main_context_iteration(NULL, FALSE))
      g_usleep(500);
}

static void
on_submitted(gpointer data, int status, MmJson *body) {
  Measurement *m = data;

  m->n_in_flight--;
  if (status == 201 || status == 200) {
    m->n_accepted++;
    m->n_refused_in_a_row = 0;
  } else {
    m->n_refused_in_a_row++;
  }
}

/* Submits an array of the largest size. Its priority is lower than that of the jobs that run. */
static void
submit_array(Measurement *m) {
  g_autofree char *id = g_strdup_printf("run-%08u", 10000000 + m->n_submitted);
  g_autofree char *team = g_strdup_printf("team-%u", m->n_submitted % 4);
  MmJson *body = mm_json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:b, s:b, s:b, s:s, s:f, s:f, s:f, s:f}",
      WIRE_JOB_ID, id, WIRE_CLASS, "archive", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_ARRAY,
      WIRE_PRIORITY, "low", WIRE_TASKS, MM_JOB_MAX_TASKS, WIRE_CORES, 1.0, WIRE_ACCELERATORS, 0.0,
      WIRE_MEMORY, 1.0, WIRE_ONE_ZONE, 0, WIRE_SPREAD, 0, WIRE_SPOT, 0, WIRE_IMAGE, "archive",
      WIRE_IMAGE_GB, 1.0, WIRE_ESTIMATE, 40.0, WIRE_CHECKPOINT_INTERVAL, 0.0,
      WIRE_CHECKPOINT_DURATION, 0.0);

  g_assert_nonnull(body);
  m->n_in_flight++;
  world_send_request(m->world, m->n_submitted++ % WORLD_NODES, NULL, "POST", WIRE_JOBS_PATH, body,
                     SUBMIT_TIMEOUT_US, on_submitted, m);
}

static void
submit_arrays(Measurement *m, guint n_arrays) {
  while (m->n_accepted < n_arrays && m->n_refused_in_a_row < REFUSALS_MAX) {
    while (m->n_in_flight < SUBMISSIONS_IN_FLIGHT && m->n_accepted + m->n_in_flight < n_arrays)
      submit_array(m);
    g_main_context_iteration(NULL, TRUE);
  }
  while (m->n_in_flight > 0)
    g_main_context_iteration(NULL, TRUE);
}

/* Returns the anonymous memory of the node's process in KiB: what it holds without the pages of the
 * program and its libraries. */
static guint64
resident_kb(const Measurement *m, guint node) {
  g_autofree char *path = g_strdup_printf("/proc/%d/status", m->processes->pids[node]);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents(path, &text, NULL, NULL))
    return 0;
  line = strstr(text, "RssAnon:");
  return line != NULL
             ? g_ascii_strtoull(line + strlen("RssAnon:") + strspn(line + 8, " \t"), NULL, 10)
             : 0;
}

/* Returns the processor time of the node's process in seconds. */
static double
processor_s(const Measurement *m, guint node) {
  g_autofree char *path = g_strdup_printf("/proc/%d/stat", m->processes->pids[node]);
  g_autofree char *text = NULL;
  unsigned long user, system;
  const char *fields;

  if (!g_file_get_contents(path, &text, NULL, NULL))
    return 0;
  fields = strrchr(text, ')');
  if (fields == NULL
      || sscanf(fields + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system)
             != 2)
    return 0;
  return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

typedef struct {
  guint n_shards_of[WORLD_NODES];
  guint n_shards;
} Leaders;

static gboolean
count_leader(gpointer path, gpointer value, gpointer data) {
  Leaders *leaders = data;
  const WorldKey *key = value;
  MmShard shard;

  if (!g_str_has_prefix(path, MM_KEY_SHARD))
    return FALSE;
  shard = mm_record_decode_shard(key->value);
  leaders->n_shards++;
  leaders->n_shards_of[shard.leader.s[strlen("n-")] - '0']++;
  return FALSE;
}

static Leaders
find_leaders(const Measurement *m) {
  Leaders leaders = { 0 };

  g_tree_foreach(m->world->keys, count_leader, &leaders);
  return leaders;
}

static guint
node_with_most_shards(const Measurement *m) {
  Leaders leaders = find_leaders(m);
  guint best = 0;

  for (guint i = 1; i < WORLD_NODES; i++)
    if (leaders.n_shards_of[i] > leaders.n_shards_of[best])
      best = i;
  return best;
}

/* Runs until the others lead all shards and, if tasks run, until one more task has started. Returns
 * the time in seconds, or -1 if that takes too long. */
static double
wait_for_take_over(Measurement *m, guint killed, guint n_shards, gboolean is_running) {
  gint64 begin_us = g_get_monotonic_time();
  guint n_starts = 0;
  gboolean is_led = FALSE;
  double waited_s;

  do {
    Leaders leaders;
    run_for(0.01);
    waited_s = (double)(g_get_monotonic_time() - begin_us) / G_USEC_PER_SEC;
    leaders = find_leaders(m);
    if (!is_led && leaders.n_shards == n_shards && leaders.n_shards_of[killed] == 0) {
      is_led = TRUE;
      n_starts = m->world->n_starts;
    }
    if (is_led && (!is_running || m->world->n_starts > n_starts))
      return waited_s;
  } while (waited_s < TAKE_OVER_MAX_S);
  return -1;
}

static void
on_health(gpointer data, int status, MmJson *body) {
  ((Measurement *)data)->health_status = status;
}

/* Runs until the node is healthy. Returns the time in seconds, or -1 if that takes too long. */
static double
wait_until_healthy(Measurement *m, guint node) {
  gint64 begin_us = g_get_monotonic_time();
  double waited_s = 0;

  while (waited_s < START_MAX_S) {
    m->health_status = -1;
    world_send_request(m->world, node, NULL, "GET", "/healthz", NULL, G_USEC_PER_SEC, on_health, m);
    while (m->health_status == -1)
      g_main_context_iteration(NULL, TRUE);
    waited_s = (double)(g_get_monotonic_time() - begin_us) / G_USEC_PER_SEC;
    if (m->health_status == 200)
      return waited_s;
    run_for(0.02);
  }
  return -1;
}

static void
start(Measurement *m, gboolean is_running) {
  for (guint i = 0; is_running && i < MACHINES; i++)
    stand_ins_add_machine(m->stand_ins,
                          world_add_machine(m->world, "small", i % 2 == 0 ? "a" : "b", FALSE, 0.1));
  processes_write_settings(m->processes, m->world, stand_ins_address(m->stand_ins), NULL);
  for (guint i = 0; i < WORLD_NODES; i++)
    processes_start(m->processes, i);
  for (guint i = 0; i < WORLD_NODES; i++)
    if (wait_until_healthy(m, i) < 0)
      g_error("node %u does not become healthy", i);
  run_for(MACHINES_UP_S);
  for (guint i = 0; is_running && i < RUNNING_JOBS; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i);
    world_submit(m->world,
                 mm_json_pack("{s:s, s:i, s:s}", WIRE_TEAM, team, WIRE_TASKS, MM_JOB_MAX_TASKS,
                              WIRE_PRIORITY, "urgent"),
                 RUNNING_TASKS_S);
  }
  run_for(is_running ? SETTLE_S : 0);
}

static guint64
highest_resident_kb(const Measurement *m) {
  guint64 highest = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    highest = MAX(highest, resident_kb(m, i));
  return highest;
}

static double
total_processor_s(const Measurement *m, guint except) {
  double total = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    total += i != except ? processor_s(m, i) : 0;
  return total;
}

/* Kills the node that leads most shards and prints what follows. */
static void
measure_take_over(Measurement *m, gboolean is_running) {
  guint killed = node_with_most_shards(m), n_shards = find_leaders(m).n_shards;
  double before_s = total_processor_s(m, killed), steady_s, take_over_s, load_s;

  run_for(PROCESSOR_TIME_S);
  steady_s = total_processor_s(m, killed) - before_s;
  before_s = total_processor_s(m, killed);
  processes_kill(m->processes, killed, NEVER_MS);
  take_over_s = wait_for_take_over(m, killed, n_shards, is_running);
  run_for(MAX(PROCESSOR_TIME_S - take_over_s, 0));
  printf(" %.2f | %.2f | %.2f |", take_over_s, steady_s, total_processor_s(m, killed) - before_s);
  printf(" %.1f |", (double)highest_resident_kb(m) / 1024);
  processes_start(m->processes, killed);
  load_s = wait_until_healthy(m, killed);
  printf(" %.2f |\n", load_s);
}

static void
measure(const char *program, guint n_arrays, gboolean is_running) {
  g_autoptr(GError) error = NULL;
  Measurement m = { .world = world_new(1), .processes = processes_new(program) };

  m.world->memory_mb = MEMORY_MB;
  m.world->capacity = 0;
  m.world->team_cores = 20;
  m.stand_ins = stand_ins_new(m.world, (const char *const *)m.processes->http_addresses, &error);
  if (m.stand_ins == NULL)
    g_error("%s", error->message);
  start(&m, is_running);
  submit_arrays(&m, n_arrays);
  run_for(SETTLE_S);
  printf("| %u | %s | %.1f |", m.n_accepted, is_running ? "running" : "idle",
         (double)highest_resident_kb(&m) / 1024);
  fflush(stdout);
  measure_take_over(&m, is_running);
  fflush(stdout);
  m.world->is_shutting_down = TRUE;
  processes_stop(m.processes);
  stand_ins_stop(m.stand_ins);
  world_free(m.world);
  stand_ins_free(m.stand_ins);
  processes_free(m.processes);
}

int
main(int argc, char **argv) {
  if (argc < 2) {
    fprintf(stderr, "measure-capacity: PROGRAM is required\n");
    return 2;
  }
  printf(
      "| arrays of %d tasks | | MB, highest of three | take-over, s | processor s in %d s before "
      "| in %d s from the kill on | MB after it | start, s |\n",
      MM_JOB_MAX_TASKS, PROCESSOR_TIME_S, PROCESSOR_TIME_S);
  for (int i = 2; i < argc; i++) {
    guint n_arrays
        = strcmp(argv[i], "max") == 0 ? G_MAXUINT / 2 : (guint)strtoul(argv[i], NULL, 10);
    measure(argv[1], n_arrays, FALSE);
    measure(argv[1], n_arrays, TRUE);
  }
  return 0;
}
