/* Tests of what the nodes hold in memory. It follows the machines and what runs on them, not the
 * numbers of tasks that users name in their jobs. */
#include "test-memory.h"

#include "base/wire.h"
#include "node/memory-usage.h"
#include "scheduler/scheduler.h"

#define MACHINES 20
#define KB 1024
/* The most tasks that a machine may have. */
#define TASKS_PER_MACHINE_MAX 256
/* What a node may hold for each task that is on a machine and for each unfinished job. */
#define TASK_BYTES_MAX KB
#define JOB_BYTES_MAX (4 * KB)
/* For how long a task that was on a machine is remembered, with a margin for the checks' interval,
 * and how many of them at most in a small fleet. */
#define REMEMBERED_S 62
#define REMEMBERED_TASKS_MAX 1024

/* Random days: their length and number, the latter also with `-m slow`. */
#define DAY_S 90
#define DAYS 3
#define SLOW_DAYS 100

World *
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
  return world_submit(world,
                      mm_json_pack("{s:s, s:i, s:f}", WIRE_TEAM, "team-0", WIRE_TASKS, (int)n_tasks,
                                   WIRE_CORES, 2.0),
                      run_s);
}

static guint
count_tasks_on_machines(const World *world) {
  guint n_tasks = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n_tasks += world_machine_at(world, i)->tasks->len;
  return n_tasks;
}

/* Asserts for each running node that its memory for tasks is at most what `n_tasks` tasks and the
 * jobs may need. */
static void
assert_task_memory(const World *world, guint n_tasks) {
  gsize max_bytes = n_tasks * TASK_BYTES_MAX + world->jobs->len * JOB_BYTES_MAX;

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

/* Asserts for each running node that the memory for tasks follows what runs. */
static void
assert_task_memory_follows_what_runs(const World *world) {
  assert_task_memory(world, count_tasks_on_machines(world));
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

static WorldJob *
submit_tiny(World *world, const char *kind, const char *priority, guint n_tasks, gboolean spread,
            double run_s) {
  return world_submit(world,
                      mm_json_pack("{s:s, s:s, s:i, s:f, s:f, s:b}", WIRE_KIND, kind, WIRE_PRIORITY,
                                   priority, WIRE_TASKS, (int)n_tasks, WIRE_CORES, 0.0, WIRE_MEMORY,
                                   0.0, WIRE_SPREAD, spread),
                      run_s);
}

static guint
count_tasks_on_fullest_machine(const World *world) {
  guint most = 0;

  for (guint i = 0; i < world->machines->len; i++)
    most = MAX(most, world_machine_at(world, i)->tasks->len);
  return most;
}

/* Tasks that name no resources fitted on a machine without end. The machine's report then grew over
 * what a request may be, so that the machine lost its lease with all its tasks, and each node kept
 * each of them. The simulated workers check the length of their reports. Work of a higher priority
 * takes the place of such tasks as of any others. */
static void
test_tiny_tasks_fit_into_reports(void) {
  World *world = world_new(7);
  WorldJob *array, *service;

  world->capacity = 0;
  world_add_machines(world, 3, "small", 3);
  world_start(world);
  world_run(world, 3);
  array = submit_tiny(world, WIRE_KIND_ARRAY, "normal", LARGEST_ARRAY, FALSE, 1000);
  world_run(world, 150);
  g_assert_cmpuint(count_tasks_on_fullest_machine(world), ==, TASKS_PER_MACHINE_MAX);
  service = submit_tiny(world, WIRE_KIND_SERVICE, "critical", 50, TRUE, 0);
  for (guint round = 0; round < 6; round++) {
    world_run(world, 50);
    if (round % 2 == 1)
      world_kill_node(world, world_node_leading_most_shards(world), 3);
  }
  g_test_message("%u starts, %u tasks on the fullest machine", world->n_starts,
                 count_tasks_on_fullest_machine(world));
  g_assert_cmpuint(world_count_running(world, service, NULL), ==, 50);
  g_assert_cmpuint(world_count_running(world, array, NULL), >, 300);
  g_assert_cmpuint(count_tasks_on_fullest_machine(world), <=, TASKS_PER_MACHINE_MAX);
  world_assert_invariants(world);
  world_free(world);
}

/* A gang of tiny tasks finds its places over all machines, half of its tasks in one zone at most.
 * One that is larger than what its machines may have waits, and holds up nobody. */
static void
test_gangs_of_tiny_tasks(void) {
  World *world = world_new(8);
  WorldJob *gang, *too_large;

  world->capacity = 0;
  world_add_machines(world, 4, "small", 2);
  world_start(world);
  world_run(world, 3);
  too_large = submit_tiny(world, WIRE_KIND_GANG, "normal", LARGEST_ARRAY, TRUE, 5);
  gang = submit_tiny(world, WIRE_KIND_GANG, "normal", 60, TRUE, 5);
  world_run(world, 120);
  g_assert_cmpint(gang->user_view, ==, USER_SEES_DONE);
  g_assert_true(too_large->was_accepted);
  g_assert_cmpint(too_large->first_start_at_us, ==, 0);
  world_cancel(too_large);
  world_run(world, 30);
  world_assert_all_jobs_finished(world);
  world_assert_invariants(world);
  world_free(world);
}

/* A machine gets a few starts in an answer. The places of a gang with many tasks on a machine
 * expired before it had asked for all of them, and the gang was released and reserved again without
 * end. */
static void
test_gang_with_many_tasks_on_a_machine(void) {
  World *world = world_new(10);
  WorldJob *gang;

  world->capacity = 0;
  world_add_machines(world, 2, "small", 2);
  world_start(world);
  world_run(world, 3);
  gang = submit_tiny(world, WIRE_KIND_GANG, "normal", 300, FALSE, 5);
  world_run(world, 100);
  g_assert_cmpint(gang->user_view, ==, USER_SEES_DONE);
  world_assert_invariants(world);
  world_free(world);
}

/* Submits a job with many more tasks than the machines run. */
static void
submit_large_random(World *world) {
  static const char *const kinds[] = { WIRE_KIND_ARRAY, WIRE_KIND_ARRAY, WIRE_KIND_GANG };
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  gboolean is_tiny = g_rand_int_range(world->rand, 0, 3) == 0;
  const char *kind = is_tiny ? kinds[g_rand_int_range(world->rand, 0, 3)] : WIRE_KIND_ARRAY;

  world_submit(world,
               mm_json_pack("{s:s, s:s, s:i, s:f, s:f}", WIRE_TEAM, team, WIRE_KIND, kind,
                            WIRE_TASKS, g_rand_int_range(world->rand, 1000, LARGEST_ARRAY + 1),
                            WIRE_CORES, is_tiny ? 0.0 : 1.0, WIRE_MEMORY, is_tiny ? 0.0 : 1.0),
               world_uniform(world, 0.5, 20));
}

/* Returns the number of tasks that are or may be on machines or have a reserved place there,
 * according to the leaders of their shards. */
static guint
count_live_tasks(const World *world) {
  guint n_tasks = 0;

  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = world->nodes[i].node;
    for (guint k = 0; node != NULL && k < node->job_table->by_submission->len; k++) {
      const MmJob *job = g_ptr_array_index(node->job_table->by_submission, k);
      n_tasks += job->tasks != NULL ? job->n_maybe_on_machines : 0;
    }
  }
  return n_tasks;
}

/* Returns the highest number of live tasks in any of the seconds up to `second` in which a task may
 * have been live that is still remembered. */
static guint
highest_recent(const guint *live_tasks, guint second) {
  guint highest = 0;

  for (guint i = second > REMEMBERED_S ? second - REMEMBERED_S : 0; i <= second; i++)
    highest = MAX(highest, live_tasks[i]);
  return highest;
}

/* Plays a random day with faults, whose users submit jobs of up to the largest allowed size. After
 * each second, the nodes' memory must follow what runs or ran in the last minute. */
static void
play_day_with_large_jobs(guint32 seed) {
  World *world = world_new(seed);
  guint live_tasks[DAY_S] = { 0 };

  world->max_request_delay_s = seed % 3 == 0 ? 1.0 : 0;
  world->duplicate_rate = 0.02;
  world->late_write_rate = seed % 4 == 0 ? 0.1 : 0;
  world_add_nine_machines(world);
  world_start(world);
  world_run(world, 3);
  for (guint second = 0; second < DAY_S; second++) {
    world_add_random_activity(world, second);
    if (second % 10 == 0)
      submit_large_random(world);
    world_run(world, 1);
    live_tasks[second] = count_live_tasks(world);
    g_assert_cmpuint(live_tasks[second], <=,
                     world->machines->len * TASKS_PER_MACHINE_MAX * WORLD_NODES);
    assert_task_memory(world,
                       MAX(highest_recent(live_tasks, second), count_tasks_on_machines(world)));
    world_assert_invariants(world);
  }
  world_free(world);
}

static void
test_random_days_with_large_jobs(void) {
  guint n_days = g_test_slow() ? SLOW_DAYS : DAYS;

  for (guint32 seed = 1; seed <= n_days; seed++)
    play_day_with_large_jobs(seed);
}

int
main(int argc, char **argv) {
  world_test_init(&argc, &argv);
  g_test_add_func("/memory/largest-arrays-follow-what-runs", test_largest_arrays_follow_what_runs);
  g_test_add_func("/memory/too-many-pauses-are-forgotten", test_too_many_pauses_are_forgotten);
  g_test_add_func("/memory/array-completes-between-failovers",
                  test_array_completes_between_failovers);
  g_test_add_func("/memory/tiny-tasks-fit-into-reports", test_tiny_tasks_fit_into_reports);
  g_test_add_func("/memory/gangs-of-tiny-tasks", test_gangs_of_tiny_tasks);
  g_test_add_func("/memory/gang-with-many-tasks-on-a-machine",
                  test_gang_with_many_tasks_on_a_machine);
  g_test_add_func("/memory/results-that-are-not-stored-take-slots",
                  test_results_that_are_not_stored_take_slots);
  g_test_add_func("/memory/images-without-size-are-bounded", test_images_without_size_are_bounded);
  g_test_add_func("/memory/job-classes-are-bounded", test_job_classes_are_bounded);
  g_test_add_func("/memory/missed-changes-are-read-in-pages",
                  test_missed_changes_are_read_in_pages);
  g_test_add_func("/memory/jobs-without-room-are-retried", test_jobs_without_room_are_retried);
  g_test_add_func("/memory/estimate-covers-the-heap", test_estimate_covers_the_heap);
  g_test_add_func("/memory/random-days-with-large-jobs", test_random_days_with_large_jobs);
  return g_test_run();
}
