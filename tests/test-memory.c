/* Tests of what the nodes hold in memory. It follows the machines and what runs on them, not the
 * numbers of tasks that users name in their jobs. */
#include "base/wire.h"
#include "node/memory-usage.h"
#include "scheduler/scheduler.h"
#include "world/world.h"

/* The most tasks that the protocol allows in a job. */
#define LARGEST_ARRAY 100000
#define MACHINES 20
#define KB 1024
/* What a node may hold for each task that is on a machine and for each unfinished job. */
#define TASK_BYTES_MAX KB
#define JOB_BYTES_MAX (4 * KB)
/* How long a task that has failed is remembered, with a margin for the interval of the checks. */
#define REMEMBERED_S 62
/* How many such tasks are remembered at most in a small fleet. */
#define REMEMBERED_TASKS_MAX 1024
/* Starts that were approved and have not reached their machines: two fit on a machine. */
#define STARTS_IN_FLIGHT_MAX (2 * MACHINES)
/* For how long all tasks fail in a test. */
#define FAILURE_S 400

static World *
memory_world(guint32 seed) {
  World *world = world_new(seed);

  world->capacity = 0;
  world->team_cores = 48;
  world_add_machines(world, MACHINES, "small", 3);
  world_start(world);
  world_run(world, 3);
  return world;
}

static WorldJob *
submit_array(World *world, guint n_tasks, double run_s) {
  return world_submit(
      world,
      json_pack("{s:s, s:i, s:f}", WIRE_TEAM, "team-0", WIRE_TASKS, (int)n_tasks, WIRE_CORES, 2.0),
      run_s);
}

static guint
count_tasks_on_machines(const World *world) {
  guint n_tasks = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n_tasks += world_machine_at(world, i)->tasks->len;
  return n_tasks;
}

/* Asserts for each running node that the memory for tasks follows what runs. */
static void
assert_task_memory_follows_what_runs(const World *world) {
  gsize max_bytes
      = count_tasks_on_machines(world) * TASK_BYTES_MAX + world->jobs->len * JOB_BYTES_MAX;

  for (guint i = 0; i < WORLD_NODES; i++) {
    MmMemoryUsage usage;
    if (world->nodes[i].node == NULL)
      continue;
    usage = mm_memory_usage_measure(world->nodes[i].node);
    g_test_message("node %u: %" G_GUINT64_FORMAT " tasks of %u jobs need %" G_GSIZE_FORMAT
                   " bytes, at most %" G_GSIZE_FORMAT " allowed",
                   i, usage.n_tasks, usage.n_jobs, usage.tasks_bytes, max_bytes);
    g_assert_cmpuint(usage.tasks_bytes, <=, max_bytes);
  }
}

/* Three accepted arrays of 100,000 tasks ended each controller that led their shard for memory,
 * because it allocated the state of every task as soon as it led the shard (review case 1). The
 * node that takes over must not hold more either. */
static void
test_largest_arrays_follow_what_runs(void) {
  World *world = memory_world(1);
  WorldJob *jobs[3];

  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
    jobs[i] = submit_array(world, LARGEST_ARRAY, 2);
  world_run(world, 20);
  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
    g_assert_true(jobs[i]->was_accepted);
  g_assert_cmpuint(jobs[0]->n_done, >, 0);
  assert_task_memory_follows_what_runs(world);
  for (guint round = 0; round < WORLD_NODES; round++) {
    guint n_starts = world->n_starts;
    world_kill_node(world, world_node_leading_most_shards(world), 5);
    world_run(world, 30);
    assert_task_memory_follows_what_runs(world);
    g_assert_cmpuint(world->n_starts, >, n_starts);
  }
  world_assert_invariants(world);
  world_free(world);
}

/* Returns the number of entries in the task tables of all nodes. */
static guint
count_task_entries(const World *world) {
  guint n_entries = 0;

  for (guint i = 0; i < WORLD_NODES; i++) {
    const GPtrArray *jobs = world->nodes[i].node->job_table->by_submission;
    for (guint k = 0; k < jobs->len; k++) {
      const MmJob *job = g_ptr_array_index(jobs, k);
      n_entries += job->tasks != NULL ? job->tasks->entries->len : 0;
    }
  }
  return n_entries;
}

/* A task that ended without a result is remembered with its machine and its pause, for a minute. Of
 * a large array whose tasks fail on every machine, each task would be remembered sooner or later.
 */
static void
test_failed_tasks_are_forgotten(void) {
  World *world = memory_world(2);
  WorldJob *job = submit_array(world, LARGEST_ARRAY, 0.5);
  guint starts_until[FAILURE_S + 1] = { 0 };

  for (guint i = 0; i < MACHINES; i++)
    world_machine_at(world, i)->failure_rate = 1;
  for (guint second = 1; second <= FAILURE_S; second++) {
    guint oldest = second > REMEMBERED_S ? second - REMEMBERED_S : 0;
    world_run(world, 1);
    starts_until[second] = job->n_starts;
    g_assert_cmpuint(count_task_entries(world), <=,
                     job->n_starts - starts_until[oldest] + count_tasks_on_machines(world)
                         + STARTS_IN_FLIGHT_MAX);
  }
  g_assert_cmpuint(job->n_starts, >, 100);
  g_assert_cmpuint(job->n_done, ==, 0);
  for (guint i = 0; i < MACHINES; i++)
    world_machine_at(world, i)->failure_rate = 0;
  world_run(world, 200);
  g_assert_cmpuint(job->n_done, >, 0);
  assert_task_memory_follows_what_runs(world);
  world_assert_invariants(world);
  world_free(world);
}

/* Returns the job on the node that leads its shard. */
static MmJob *
job_at_leader(const World *world, const WorldJob *job) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    MmJob *at_node = mm_job_table_find(world->nodes[i].node->job_table, job->id);
    if (at_node != NULL && at_node->tasks != NULL)
      return at_node;
  }
  g_assert_not_reached();
}

/* Tasks that their machines do not find pause for 2 s each, and the job goes on with others. Many
 * more such tasks than the fleet explains are forgotten even before their pauses end. */
static void
test_too_many_pauses_are_forgotten(void) {
  World *world = memory_world(4);
  WorldJob *job = submit_array(world, LARGEST_ARRAY, 5);
  MmTime pause_end;
  MmJob *at_leader;

  world_run(world, 5);
  at_leader = job_at_leader(world, job);
  pause_end = mm_time_add_ms((MmTime){ world->now_us }, 600 * G_TIME_SPAN_SECOND);
  for (guint number = LARGEST_ARRAY / 2; number < LARGEST_ARRAY; number++)
    mm_job_edit_task(at_leader, number)->retry_not_before = pause_end;
  g_assert_cmpuint(count_task_entries(world), >, LARGEST_ARRAY / 2);
  world_run(world, 60);
  g_assert_cmpuint(count_task_entries(world), <,
                   REMEMBERED_TASKS_MAX + count_tasks_on_machines(world));
  g_assert_cmpuint(job->n_done, >, 0);
  world_assert_invariants(world);
  world_free(world);
}

/* An array runs to its end with leaders that change, and each node's sets of completed tasks hold
 * few ranges all the time, because tasks start in the order of their numbers. */
static void
test_array_completes_between_failovers(void) {
  World *world = memory_world(3);
  WorldJob *job = submit_array(world, 1500, 1);

  for (guint round = 0; round < 40 && job->user_view != USER_SEES_DONE; round++) {
    world_run(world, 9);
    assert_task_memory_follows_what_runs(world);
    if (round % 4 == 1)
      world_kill_node(world, world_node_leading_most_shards(world), round % 8 == 1 ? 0.2 : 4);
  }
  g_assert_cmpint(job->user_view, ==, USER_SEES_DONE);
  g_assert_cmpuint(job->n_done, ==, 1500);
  world_assert_invariants(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/memory/largest-arrays-follow-what-runs", test_largest_arrays_follow_what_runs);
  g_test_add_func("/memory/failed-tasks-are-forgotten", test_failed_tasks_are_forgotten);
  g_test_add_func("/memory/too-many-pauses-are-forgotten", test_too_many_pauses_are_forgotten);
  g_test_add_func("/memory/array-completes-between-failovers",
                  test_array_completes_between_failovers);
  return g_test_run();
}
