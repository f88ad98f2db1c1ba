/* Tests of what the nodes hold in memory. It follows the machines and what runs on them, not the
 * numbers of tasks that users name in their jobs. */
#include "base/wire.h"
#include "dependencies/dependency-graph.h"
#include "heap-bytes.h"
#include "kv/replica.h"
#include "job-api/job-capacity.h"
#include "node/memory-usage.h"
#include "scheduler/scheduler.h"
#include "world/world.h"

/* The most tasks that the protocol allows in a job. */
#define LARGEST_ARRAY 100000
#define MACHINES 20
#define KB 1024
/* The most tasks that a machine may have. */
#define TASKS_PER_MACHINE_MAX 256
/* The most images that are recorded for a machine, and job classes on a node. */
#define CACHED_IMAGES_MAX 128
#define JOB_CLASSES_MAX 1024
/* Memory that is so small that the shares of it are reached within a test. */
#define SMALL_MEMORY_MB 1.0
/* An eighth of it, at the 4 KiB of a value. */
#define MISSED_CHANGES_MAX 32
/* What a node may hold for each task that is on a machine and for each unfinished job. */
#define TASK_BYTES_MAX KB
#define JOB_BYTES_MAX (4 * KB)
/* How many pending tasks are remembered at most in a small fleet. */
#define REMEMBERED_TASKS_MAX 1024

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
                      json_pack("{s:s, s:s, s:i, s:f, s:f, s:b}", WIRE_KIND, kind, WIRE_PRIORITY,
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

/* The cache of a machine holds any number of images of size 0. */
static void
test_images_without_size_are_bounded(void) {
  World *world = memory_world(11);
  const MmMachineTable *table = world->nodes[0].node->machine_table;
  MmMachine *machine = g_ptr_array_index(table->sorted_machines, 0);

  for (guint i = 0; i < 10 * CACHED_IMAGES_MAX; i++) {
    g_autofree char *text = g_strdup_printf("image-%u", i);
    MmName image = mm_name(text);
    mm_machine_record_image(machine, (MmTime){ world->now_us + i }, &image, 0);
    g_assert_true(mm_machine_has_cached_image(machine, &image));
  }
  g_assert_cmpuint(machine->cached_images->len, <=, CACHED_IMAGES_MAX);
  world_free(world);
}

static guint
most_job_classes_on_a_node(const World *world) {
  guint most = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    most = MAX(most, g_hash_table_size(world->nodes[i].node->scheduler->estimate_errors));
  return most;
}

/* The estimates of run times are corrected by class, and users name the classes. */
static void
test_job_classes_are_bounded(void) {
  World *world = memory_world(12);
  guint most = 0;

  for (guint i = 0; i < JOB_CLASSES_MAX + 100; i++) {
    g_autofree char *job_class = g_strdup_printf("class-%u", i);
    world_submit(world,
                 json_pack("{s:s, s:s, s:i, s:f}", WIRE_CLASS, job_class, WIRE_TEAM, "team-0",
                           WIRE_TASKS, 1, WIRE_ESTIMATE, 1.0),
                 1.5);
    world_run(world, 0.1);
    most = MAX(most, most_job_classes_on_a_node(world));
  }
  for (guint second = 0; second < 300; second++) {
    world_run(world, 1);
    most = MAX(most, most_job_classes_on_a_node(world));
  }
  world_assert_all_jobs_finished(world);
  g_test_message("at most %u classes on a node", most);
  g_assert_cmpuint(most, >, JOB_CLASSES_MAX - 100);
  g_assert_cmpuint(most, <=, JOB_CLASSES_MAX);
  world_assert_invariants(world);
  world_free(world);
}

/* A node that the store had refused got all changes that it had missed in one response, however
 * many, as large as users make their records. It reads the keys page by page instead. */
static void
test_missed_changes_are_read_in_pages(void) {
  World *world = world_new(13);

  world->capacity = 0;
  world->memory_mb = SMALL_MEMORY_MB;
  world_add_machines(world, 6, "small", 3);
  world_start(world);
  world_run(world, 5);
  world->nodes[1].kv_refuses_until_us = world->now_us + 90 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < 60; i++) {
    world_submit(world, json_pack("{s:i}", WIRE_TASKS, 2), 1);
    world_run(world, 1.5);
  }
  world_run(world, 40);
  g_test_message("at most %u changes in a response", world->most_changes_at_once);
  g_assert_cmpuint(world->most_changes_at_once, <=, MISSED_CHANGES_MAX);
  g_assert_true(world->nodes[1].node->replica->is_loaded);
  g_assert_cmpuint(world->nodes[1].node->replica->revision, ==, world->revision);
  world_run(world, 60);
  world_assert_all_jobs_finished(world);
  world_assert_invariants(world);
  world_free(world);
}

#define MANY_JOBS 250

static guint
count_accepted(const World *world) {
  guint n_accepted = 0;

  for (guint i = 0; i < world->jobs->len; i++)
    n_accepted += world_job_at(world, i)->was_accepted;
  return n_accepted;
}

static void
assert_jobs_within_capacity(const World *world) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = world->nodes[i].node;
    /* Each node may accept one job more before it sees those that the others have accepted. */
    gsize max_bytes = mm_job_capacity_max_bytes(node->settings) * 11 / 10;
    g_assert_cmpuint(node->job_api->unfinished_jobs_bytes, <=, max_bytes);
  }
}

/* More jobs than the nodes have memory for were all accepted, and each node ended for memory. Now
 * the surplus is answered 503 until others have ended. None that was accepted is lost, also not
 * when all nodes end, and all jobs run in the end. */
static void
test_jobs_without_room_are_retried(void) {
  World *world = world_new(5);
  guint n_accepted;

  world->capacity = 0;
  world->memory_mb = SMALL_MEMORY_MB;
  world_add_machines(world, 4, "small", 2);
  world_start(world);
  world_run(world, 3);
  for (guint i = 0; i < MANY_JOBS; i++) {
    world_submit(world, json_pack("{s:i}", WIRE_TASKS, 2), 4);
    world_run(world, 0.1);
  }
  world_run(world, 10);
  assert_jobs_within_capacity(world);
  n_accepted = count_accepted(world);
  g_test_message("%u of %u jobs accepted", n_accepted, world->jobs->len);
  g_assert_cmpuint(n_accepted, >, 20);
  g_assert_cmpuint(n_accepted, <, MANY_JOBS);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 2);
  world_run(world, 20);
  assert_jobs_within_capacity(world);
  for (guint i = 0; i < n_accepted; i++)
    world_cancel(world_job_at(world, i));
  world_add_machines(world, 40, "small", 2);
  for (guint second = 0; second < 600 && count_accepted(world) < MANY_JOBS; second++) {
    world_run(world, 1);
    assert_jobs_within_capacity(world);
  }
  g_assert_cmpuint(count_accepted(world), ==, MANY_JOBS);
  world_run(world, 300);
  world_assert_all_jobs_finished(world);
  world_assert_invariants(world);
  world_free(world);
}

#define JOBS_MEASURED 400
#define DEPENDENCIES_MEASURED 150

/* Returns a job with as many allowed types and dependencies as given. All names are of the greatest
 * length, and no two jobs have a dependency in common. */
static json_t *
job_record(guint job_number, guint n_types, guint n_dependencies) {
  g_autofree char *id = g_strdup_printf("run-%06u", job_number);
  g_autofree char *name = g_strnfill(MM_NAME_MAX, 'x');
  g_autofree char *dependencies_text = NULL;
  g_autoptr(json_t) body = NULL;
  json_t *types = n_types > 0 ? json_array() : json_null(), *dependencies = json_array();
  const char *reason = NULL;
  MmJobSpec spec;
  json_t *record;

  for (guint i = 0; i < n_types; i++)
    json_array_append_new(types, json_string(name));
  for (guint i = 0; i < n_dependencies; i++) {
    g_autofree char *dependency
        = g_strdup_printf("run-%08u", 10000000 + job_number * n_dependencies + i);
    json_array_append_new(dependencies, json_string(dependency));
  }
  body = json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:o, s:b, s:b, s:b, s:s, s:f, s:f,"
      " s:f, s:f, s:o}",
      WIRE_JOB_ID, id, WIRE_CLASS, name, WIRE_TEAM, "team-0", WIRE_KIND, WIRE_KIND_ARRAY,
      WIRE_PRIORITY, "low", WIRE_TASKS, LARGEST_ARRAY, WIRE_CORES, 1.0, WIRE_ACCELERATORS, 0.0,
      WIRE_MEMORY, 1.0, WIRE_TYPES, types, WIRE_ONE_ZONE, 0, WIRE_SPREAD, 0, WIRE_SPOT, 1,
      WIRE_IMAGE, name, WIRE_IMAGE_GB, 1.0, WIRE_ESTIMATE, 1.0, WIRE_CHECKPOINT_INTERVAL, 0.0,
      WIRE_CHECKPOINT_DURATION, 0.0, WIRE_DEPENDENCIES, dependencies);
  g_assert_nonnull(body);
  g_assert_true(mm_job_spec_parse(&spec, body, &reason));
  record = mm_job_record_to_json(&spec, job_number, FALSE, NULL);
  mm_job_spec_clear(&spec);
  return record;
}

/* Asserts that jobs take no more of the heap than estimated, at the leader of their shard. */
static void
check_estimate(const MmSettings *settings, guint n_types, guint n_dependencies) {
  g_autoptr(MmDependencyGraph) graph = mm_dependency_graph_new();
  g_auto(MmDependencyChange) change = { 0 };
  MmJobTable *job_table = mm_job_table_new(settings);
  gsize before, used_bytes, estimated_bytes = 0;

  mm_dependency_change_init(&change);
  before = heap_bytes();
  for (guint i = 0; i < JOBS_MEASURED; i++) {
    g_autofree char *id = g_strdup_printf("run-%06u", i);
    g_autoptr(json_t) record = job_record(i, n_types, n_dependencies);
    MmJob *job;
    mm_job_table_put(job_table, id, record, (MmKeyVersion){ i + 1 });
    job = mm_job_table_find(job_table, id);
    g_assert_nonnull(job);
    job->vertex = mm_dependency_graph_add_job(graph, id, job->spec.dependencies,
                                              job->spec.n_dependencies, &change);
    job->tasks = mm_task_table_new((MmTime){ 1 });
    mm_completed_tasks_init(&job->completed, job->spec.n_tasks);
    mm_completed_tasks_add(&job->completed, 7);
    mm_completed_tasks_add_all(&job->recorded_completed, &job->completed);
    estimated_bytes += mm_job_capacity_estimate_bytes(&job->spec);
  }
  used_bytes = heap_bytes() - before;
  g_test_message("%u types, %u dependencies: %" G_GSIZE_FORMAT
                 " bytes of heap a job, %" G_GSIZE_FORMAT " estimated",
                 n_types, n_dependencies, used_bytes / JOBS_MEASURED,
                 estimated_bytes / JOBS_MEASURED);
  g_assert_cmpuint(used_bytes, >, 0);
  g_assert_cmpuint(used_bytes, <=, estimated_bytes);
  mm_job_table_free(job_table);
}

/* The estimate by which jobs are accepted covers what they take, whatever their users name. */
static void
test_estimate_covers_the_heap(void) {
  World *world = world_new(6);
  MmSettings *settings = world_node_settings(world, 0);

  check_estimate(settings, 0, 0);
  check_estimate(settings, MM_JOB_MAX_MACHINE_TYPES, 0);
  check_estimate(settings, 0, DEPENDENCIES_MEASURED);
  mm_settings_free(settings);
  world_free(world);
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
  g_test_add_func("/memory/images-without-size-are-bounded", test_images_without_size_are_bounded);
  g_test_add_func("/memory/job-classes-are-bounded", test_job_classes_are_bounded);
  g_test_add_func("/memory/missed-changes-are-read-in-pages",
                  test_missed_changes_are_read_in_pages);
  g_test_add_func("/memory/jobs-without-room-are-retried", test_jobs_without_room_are_retried);
  g_test_add_func("/memory/estimate-covers-the-heap", test_estimate_covers_the_heap);
  return g_test_run();
}
