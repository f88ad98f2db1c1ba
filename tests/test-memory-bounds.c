/* Tests of the bounds of what users' requests make a node hold: unfinished jobs, names of images
 * and job classes, and changes that a node missed. */
#include "test-memory.h"

#include "base/wire.h"
#include "dependencies/dependency-graph.h"
#include "heap-bytes.h"
#include "job-api/job-capacity.h"
#include "kv/replica.h"
#include "machines/task-slots.h"
#include "scheduler/scheduler.h"

/* The most images that are recorded for a machine, and job classes on a node. */
#define CACHED_IMAGES_MAX 128
#define JOB_CLASSES_MAX 1024
/* Memory that is so small that the shares of it are reached within a test. */
#define SMALL_MEMORY_MB 1.0
/* Task slots of a machine with that memory, and listed tasks for each. */
#define SMALL_MEMORY_SLOTS 64
#define LISTED_TASKS_PER_SLOT 4
/* An eighth of it, at the 4 KiB of a value. */
#define MISSED_CHANGES_MAX 32
/* While results can't be stored, their tasks stay in the machine's report, and every node keeps the
 * report. A machine with many of them gets no more tasks. */
void
test_results_that_are_not_stored_take_slots(void) {
  World *world = world_new(14);
  const MmMachineTable *table;
  MmMachine *machine;
  MmReportedTask ended
      = { .job = mm_name("run-000001"), .state = MM_REPORTED_ENDED, .cause = MM_CAUSE_DONE };

  world->capacity = 0;
  world->memory_mb = SMALL_MEMORY_MB;
  world_add_machines(world, 6, "small", 3);
  world_start(world);
  world_run(world, 3);
  table = world->nodes[0].node->machine_table;
  machine = g_ptr_array_index(table->sorted_machines, 0);
  g_assert_cmpuint(mm_task_slots_per_machine(table), ==, SMALL_MEMORY_SLOTS);
  g_assert_cmpuint(mm_task_slots_free(table, machine), ==, SMALL_MEMORY_SLOTS);
  for (guint i = 0; i < LISTED_TASKS_PER_SLOT * SMALL_MEMORY_SLOTS; i++) {
    g_assert_cmpuint(mm_task_slots_free(table, machine), >, 0);
    ended.number = i;
    g_array_append_val(machine->reported_tasks, ended);
  }
  g_assert_cmpuint(mm_task_slots_free(table, machine), ==, 0);
  world_free(world);
}

/* The cache of a machine holds any number of images of size 0. */
void
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
void
test_job_classes_are_bounded(void) {
  World *world = memory_world(12);
  guint most = 0;

  for (guint i = 0; i < JOB_CLASSES_MAX + 100; i++) {
    g_autofree char *job_class = g_strdup_printf("class-%u", i);
    world_submit(world,
                 mm_json_pack("{s:s, s:s, s:i, s:f}", WIRE_CLASS, job_class, WIRE_TEAM, "team-0",
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
void
test_missed_changes_are_read_in_pages(void) {
  World *world = world_new(13);

  world->capacity = 0;
  world->memory_mb = SMALL_MEMORY_MB;
  world_add_machines(world, 6, "small", 3);
  world_start(world);
  world_run(world, 5);
  world->nodes[1].kv_refuses_until_us = world->now_us + 90 * (gint64)G_USEC_PER_SEC;
  for (guint i = 0; i < 60; i++) {
    world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 2), 1);
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
void
test_jobs_without_room_are_retried(void) {
  World *world = world_new(5);
  guint n_accepted;

  world->capacity = 0;
  world->memory_mb = SMALL_MEMORY_MB;
  world_add_machines(world, 4, "small", 2);
  world_start(world);
  world_run(world, 3);
  for (guint i = 0; i < MANY_JOBS; i++) {
    world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 2), 4);
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
static MmJson *
job_record(guint job_number, guint n_types, guint n_dependencies) {
  g_autofree char *id = g_strdup_printf("run-%06u", job_number);
  g_autofree char *name = g_strnfill(MM_NAME_MAX, 'x');
  g_autofree char *dependencies_text = NULL;
  g_autoptr(MmJson) body = NULL;
  MmJson *types = n_types > 0 ? mm_json_new_array() : mm_json_new_null(),
         *dependencies = mm_json_new_array();
  const char *reason = NULL;
  MmJobSpec spec;
  MmJson *record;

  for (guint i = 0; i < n_types; i++)
    mm_json_array_append(types, mm_json_new_string(name));
  for (guint i = 0; i < n_dependencies; i++) {
    g_autofree char *dependency
        = g_strdup_printf("run-%08u", 10000000 + job_number * n_dependencies + i);
    mm_json_array_append(dependencies, mm_json_new_string(dependency));
  }
  body = mm_json_pack(
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
    g_autoptr(MmJson) record = job_record(i, n_types, n_dependencies);
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
void
test_estimate_covers_the_heap(void) {
  World *world = world_new(6);
  MmSettings *settings = world_node_settings(world, 0);

  check_estimate(settings, 0, 0);
  check_estimate(settings, MM_JOB_MAX_MACHINE_TYPES, 0);
  check_estimate(settings, 0, DEPENDENCIES_MEASURED);
  mm_settings_free(settings);
  world_free(world);
}
