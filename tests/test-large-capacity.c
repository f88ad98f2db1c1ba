/* Tests of how the resources of a full fleet are allocated, and of a fleet larger than the largest
 * planned one. */
#include "test-large.h"

#include "base/wire.h"
#include "machines/machine-table.h"

#define LARGE_JOBS 6

/* Submits an urgent array every second, and an urgent gang that needs accelerators every third
 * second. */
static void
submit_small_jobs(World *world, guint second) {
  g_autofree char *team = g_strdup_printf("team-%u", second % 2);
  world_submit(
      world,
      mm_json_pack("{s:s, s:i, s:s}", WIRE_TEAM, team, WIRE_TASKS, 6, WIRE_PRIORITY, "urgent"), 15);
  if (second % 3 == 0)
    world_submit(world,
                 mm_json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, team, WIRE_KIND,
                              WIRE_KIND_GANG, WIRE_TASKS, 1, WIRE_ACCELERATORS, 2.0, WIRE_CORES,
                              6.0, WIRE_PRIORITY, "urgent"),
                 20);
}

/* Submits job `i` of the 6 large jobs: an array, a gang and a service of each of two teams. */
static WorldJob *
submit_large_job(World *world, guint i) {
  g_autofree char *team = g_strdup_printf("team-%u", i % 2);
  MmJson *job = i < 2   ? mm_json_pack("{s:s, s:i, s:s}", WIRE_TEAM, team, WIRE_TASKS, 120,
                                       WIRE_PRIORITY, "low")
                : i < 4 ? mm_json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, team, WIRE_KIND,
                                       WIRE_KIND_GANG, WIRE_TASKS, 2, WIRE_ACCELERATORS, 2.0,
                                       WIRE_CORES, 6.0, WIRE_PRIORITY, "urgent")
                        : mm_json_pack("{s:s, s:s, s:i, s:b}", WIRE_TEAM, team, WIRE_KIND,
                                       WIRE_KIND_SERVICE, WIRE_TASKS, 12, WIRE_SPREAD, 1);

  return world_submit(world, job, 20);
}

/* Small jobs arrive continuously and need more resources than the fleet has. Nevertheless, for
 * each of two teams, the largest array, a gang and a service spread over zones must start within
 * four minutes. */
void
test_large_jobs_do_not_starve(void) {
  World *world = world_new(2);
  WorldJob *large_jobs[LARGE_JOBS];

  world->capacity = 0;
  world->team_cores = 60;
  world_add_machines(world, 12, "small", 2);
  world_add_machines(world, 4, "big", 2);
  world_start(world);
  world_run(world, 3);
  for (guint second = 0; second < 300; second++) {
    submit_small_jobs(world, second);
    for (guint i = 0; i < LARGE_JOBS && second == 30; i++)
      large_jobs[i] = submit_large_job(world, i);
    world_run(world, 1);
    world_assert_invariants(world);
  }
  for (guint i = 0; i < LARGE_JOBS; i++) {
    g_test_message("large job %u of 6 started after %.0f s", i,
                   (double)(large_jobs[i]->first_start_at_us - large_jobs[i]->submitted_at_us)
                       / G_USEC_PER_SEC);
    g_assert_cmpint(large_jobs[i]->first_start_at_us, !=, 0);
    g_assert_cmpint(large_jobs[i]->first_start_at_us - large_jobs[i]->submitted_at_us, <,
                    240 * (gint64)G_USEC_PER_SEC);
  }
  world_free(world);
}

/* A leader announced 512 pending tasks, the most urgent first. A large array that could start
 * nowhere took them all, and no other job of that leader was ever asked for, beside idle machines.
 */
void
test_array_without_machines_hides_no_job(void) {
  World *world = world_new(9);
  WorldJob *jobs[4];

  world->capacity = 0;
  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 3);
  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i);
    world_submit(world,
                 mm_json_pack("{s:s, s:i, s:s, s:s}", WIRE_TEAM, team, WIRE_TASKS, MM_JOB_MAX_TASKS,
                              WIRE_PRIORITY, "urgent", WIRE_ZONE, "c"),
                 5);
  }
  world_run(world, 5);
  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i);
    jobs[i] = world_submit(world, mm_json_pack("{s:s, s:i}", WIRE_TEAM, team, WIRE_TASKS, 6), 3);
  }
  world_run(world, 80);
  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
    g_test_message("job %u: %u of 6 tasks done", i, jobs[i]->n_done);
    g_assert_cmpuint(jobs[i]->n_done, ==, 6);
  }
  world_assert_invariants(world);
  world_free(world);
}

/* Numbers of big machines, counted by the kinds of jobs that run on the machines. Big machines
   have accelerators. */
typedef struct {
  guint with_services; /* with or without arrays */
  guint with_services_and_arrays;
  guint with_arrays_only;
  guint idle;
} MachineUses;

static MachineUses
count_machine_uses(const World *world) {
  MachineUses uses = { 0 };

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    gboolean has_services = FALSE, has_arrays = FALSE;
    for (guint k = 0; k < machine->tasks->len && strcmp(machine->type, "big") == 0; k++) {
      const WorldTask *task = g_ptr_array_index(machine->tasks, k);
      has_services = has_services || task->job->spec.kind == MM_JOB_KIND_SERVICE;
      has_arrays = has_arrays || task->job->spec.kind == MM_JOB_KIND_ARRAY;
    }
    uses.with_services += has_services;
    uses.with_services_and_arrays += has_services && has_arrays;
    uses.with_arrays_only += has_arrays && !has_services;
    uses.idle += machine->tasks->len == 0 && strcmp(machine->type, "big") == 0;
  }
  return uses;
}

/* Some machines with accelerators run services, because the services fit on no other machine. These
 * machines are filled up with arrays. Of the other machines with accelerators, four stay idle
 * because they are reserved for jobs that need accelerators; the rest may run arrays. */
void
test_accelerated_machines_with_services_are_filled(void) {
  World *world = world_new(12);
  MachineUses uses;

  world->capacity = 0;
  world->team_cores = 600;
  world_add_machines(world, 2, "small", 1);
  world_add_machines(world, 12, "big", 3);
  world_start(world);
  world_run(world, 8);
  world_submit(world,
               mm_json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, "team-1", WIRE_KIND,
                            WIRE_KIND_GANG, WIRE_TASKS, 1, WIRE_ACCELERATORS, 2.0, WIRE_CORES, 16.0,
                            WIRE_PRIORITY, "urgent"),
               60);
  world_run(world, 6);
  /* More replicas than fit on the small machines. */
  world_submit(world,
               mm_json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 10, WIRE_KIND, WIRE_KIND_SERVICE,
                            WIRE_PRIORITY, "critical"),
               0);
  world_run(world, 20);
  world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 300, WIRE_PRIORITY, "normal"), 90);
  world_run(world, 12);
  uses = count_machine_uses(world);
  g_test_message("big machines: %u run services, %u of these also arrays, %u only arrays, %u idle",
                 uses.with_services, uses.with_services_and_arrays, uses.with_arrays_only,
                 uses.idle);
  g_assert_cmpuint(uses.with_services, >, 0);
  g_assert_cmpuint(uses.with_services_and_arrays, ==, uses.with_services);
  g_assert_cmpuint(uses.idle, ==, 4);
  /* One of the twelve big machines runs the task that needs accelerators. */
  g_assert_cmpuint(uses.with_arrays_only, ==, 12 - 1 - uses.idle - uses.with_services);
  world_assert_invariants(world);
  world_free(world);
}

/* The fleet has half as many machines again as the largest planned fleet. Many machines fail at
 * once; twice, all nodes stop within a second; duplicates of requests arrive late; and a zone is
 * partitioned for a while. The invariants must hold, and tasks must continue to start. */
void
test_oversized_fleet_survives_faults(void) {
  World *world = world_new(13);
  guint starts;

  world->heartbeat_interval_s = 5;
  world->worker_lease_s = 26.5;
  world->cancel_s = 51.5;
  world->capacity = 40;
  world->team_cores = 2000;
  world->duplicate_rate = 0.005;
  for (guint i = 0; i < 1900; i++)
    world_add_machine(world, i % 12 == 11 ? "big" : "small", zones[i % 3], FALSE, 0.1);
  world_start(world);
  run_under_load(world, 300, 25);
  for (guint i = 0; i < 150; i++)
    world_kill_machine(world, g_ptr_array_index(world->machines, i * 12));
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.3 + 0.3 * i);
  world_run(world, 6);
  for (guint i = 0; i < WORLD_NODES; i++)
    world_kill_node(world, i, 0.2);
  world_run(world, 14);
  world_assert_invariants(world);
  for (guint i = 0; i < WORLD_NODES; i++)
    g_assert_cmpuint(world->nodes[i].node->machine_table->sorted_machines->len, >=, 1750);
  world_partition_zone(world, 1, 35, TRUE);
  world_run(world, 40);
  world_assert_invariants(world);
  starts = world->n_starts;
  run_under_load(world, 60, 15);
  world_run(world, 10);
  world_assert_invariants(world);
  g_assert_cmpuint(world->n_starts, >, starts + 50);
  world_free(world);
}
