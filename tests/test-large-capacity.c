/* Who gets the resources of a full fleet, and a fleet beyond the largest. */
#include "test-large.h"

#include "base/wire.h"
#include "machines/machine-table.h"

#define LARGE_JOBS 6

/* An urgent array each second, and a gang on accelerators each third. */
static void
submit_small_jobs(World *world, guint second) {
  g_autofree char *team = g_strdup_printf("team-%u", second % 2);
  world_submit(
      world, json_pack("{s:s, s:i, s:s}", WIRE_TEAM, team, WIRE_TASKS, 6, WIRE_PRIORITY, "urgent"),
      15);
  if (second % 3 == 0)
    world_submit(world,
                 json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, team, WIRE_KIND,
                           WIRE_KIND_GANG, WIRE_TASKS, 1, WIRE_ACCELERATORS, 2.0, WIRE_CORES, 6.0,
                           WIRE_PRIORITY, "urgent"),
                 20);
}

/* Large job `i` of 6: of each of two teams an array, a gang and a service. */
static WorldJob *
submit_large_job(World *world, guint i) {
  g_autofree char *team = g_strdup_printf("team-%u", i % 2);
  json_t *job
      = i < 2 ? json_pack("{s:s, s:i, s:s}", WIRE_TEAM, team, WIRE_TASKS, 120, WIRE_PRIORITY, "low")
        : i < 4 ? json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, team, WIRE_KIND,
                            WIRE_KIND_GANG, WIRE_TASKS, 2, WIRE_ACCELERATORS, 2.0, WIRE_CORES, 6.0,
                            WIRE_PRIORITY, "urgent")
                : json_pack("{s:s, s:s, s:i, s:b}", WIRE_TEAM, team, WIRE_KIND, WIRE_KIND_SERVICE,
                            WIRE_TASKS, 12, WIRE_SPREAD, 1);

  return world_submit(world, job, 20);
}

/* More work than resources, in small jobs that come without pause: the largest array, a gang and a
 * wide service of each of two teams begin within four minutes all the same. */
void
test_large_jobs_do_not_starve(void) {
  World *world = world_new(2);
  WorldJob *large[LARGE_JOBS];

  world->capacity = 0;
  world->team_cores = 60;
  world_add_machines(world, 12, "small", 2);
  world_add_machines(world, 4, "big", 2);
  world_start(world);
  world_run(world, 3);
  for (guint second = 0; second < 300; second++) {
    submit_small_jobs(world, second);
    for (guint i = 0; i < LARGE_JOBS && second == 30; i++)
      large[i] = submit_large_job(world, i);
    world_run(world, 1);
    world_assert_invariants(world);
  }
  for (guint i = 0; i < LARGE_JOBS; i++) {
    g_test_message("job %u of 6 began after %.0f s", i,
                   (double)(large[i]->first_start_at_us - large[i]->submitted_at_us)
                       / G_USEC_PER_SEC);
    g_assert_cmpint(large[i]->first_start_at_us, !=, 0);
    g_assert_cmpint(large[i]->first_start_at_us - large[i]->submitted_at_us, <,
                    240 * (gint64)G_USEC_PER_SEC);
  }
  world_free(world);
}

/* What the big machines are used for. */
typedef struct {
  guint with_services;
  guint with_both; /* services and arrays */
  guint lent;      /* arrays only */
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
    uses.with_both += has_services && has_arrays;
    uses.lent += has_arrays && !has_services;
    uses.idle += machine->tasks->len == 0 && strcmp(machine->type, "big") == 0;
  }
  return uses;
}

/* Accelerated machines that run services, since these had no other place, are filled up with
 * arrays; of the others, four idle ones are reserved for accelerated work, and the rest are lent to
 * arrays. */
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
               json_pack("{s:s, s:s, s:i, s:f, s:f, s:s}", WIRE_TEAM, "team-1", WIRE_KIND,
                         WIRE_KIND_GANG, WIRE_TASKS, 1, WIRE_ACCELERATORS, 2.0, WIRE_CORES, 16.0,
                         WIRE_PRIORITY, "urgent"),
               60);
  world_run(world, 6);
  /* More than the small machines hold. */
  world_submit(world,
               json_pack("{s:i, s:s, s:s}", WIRE_TASKS, 10, WIRE_KIND, WIRE_KIND_SERVICE,
                         WIRE_PRIORITY, "critical"),
               0);
  world_run(world, 20);
  world_submit(world, json_pack("{s:i, s:s}", WIRE_TASKS, 300, WIRE_PRIORITY, "normal"), 90);
  world_run(world, 12);
  uses = count_machine_uses(world);
  g_test_message("%u with services, %u of these with arrays, %u lent, %u idle", uses.with_services,
                 uses.with_both, uses.lent, uses.idle);
  g_assert_cmpuint(uses.with_services, >, 0);
  g_assert_cmpuint(uses.with_both, ==, uses.with_services);
  g_assert_cmpuint(uses.idle, ==, 4);
  /* One of the twelve runs the accelerated task. */
  g_assert_cmpuint(uses.lent, ==, 12 - 1 - uses.idle - uses.with_services);
  world_assert_invariants(world);
  world_free(world);
}

/* Half as many machines again as the largest fleet: many fail at once, all nodes end within a
 * second, twice, copies of requests arrive late, and a zone is cut off for a while. The invariants
 * hold and work goes on. */
void
test_oversized_fleet_survives_faults(void) {
  World *world = world_new(13);
  guint starts;

  world->heartbeat_interval_s = 5;
  world->lease_s = 26.5;
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
  world_cut_zone(world, 1, 35, TRUE);
  world_run(world, 40);
  world_assert_invariants(world);
  starts = world->n_starts;
  run_under_load(world, 60, 15);
  world_run(world, 10);
  world_assert_invariants(world);
  g_assert_cmpuint(world->n_starts, >, starts + 50);
  world_free(world);
}
