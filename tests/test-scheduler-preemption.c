/* Preemption, gangs, and accelerated machines that are lent to other work. */
#include "test-scheduler.h"

#include "base/wire.h"
#include "scheduler/quota.h"

/* Which jobs may preempt tasks of another team when each team has a quota of four cores. */
void
test_quota_is_reclaimed_from_surplus_only(void) {
  SchedulerFixture f = scheduler_fixture(2);
  MmJob *job = f.job;
  MmJob victim = *job;

  job->is_within_quota = TRUE;
  victim.team_index = 1;
  victim.is_within_quota = FALSE;
  f.scheduler->team_used[1] = (MmResources){ 6, 0, 0 };
  g_assert_true(mm_scheduler_may_reclaim_quota(f.scheduler, job, &victim));
  f.scheduler->team_used[1].cores = 5; /* the victim's team would fall below its own quota */
  g_assert_false(mm_scheduler_may_reclaim_quota(f.scheduler, job, &victim));
  f.scheduler->team_used[1].cores = 6;
  victim.is_within_quota = TRUE;
  g_assert_false(mm_scheduler_may_reclaim_quota(f.scheduler, job, &victim));
  victim.is_within_quota = FALSE;
  victim.effective_priority = MM_PRIORITY_URGENT;
  g_assert_false(mm_scheduler_may_reclaim_quota(f.scheduler, job, &victim));
  victim.effective_priority = job->effective_priority;
  job->is_within_quota = FALSE;
  g_assert_false(mm_scheduler_may_reclaim_quota(f.scheduler, job, &victim));
  world_free(f.world);
}

/* Fills a machine with work of the lowest priority that takes three seconds to checkpoint, then
 * submits a job that must preempt it. Returns the grace period in seconds that the preempted work
 * got for its checkpoint. */
static double
grace_s_of_preempted_work(const char *priority, guint tasks, double wait_s) {
  World *world = world_new(12);
  double grace_s;
  WorldJob *job;

  world->capacity = 0; /* no machine can be rented */
  world_add_machine(world, "small", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  world_submit(world,
               mm_json_pack("{s:i, s:f, s:s, s:f, s:f}", WIRE_TASKS, 4, WIRE_CORES, 1.0,
                            WIRE_PRIORITY, "low", WIRE_CHECKPOINT_INTERVAL, 30.0,
                            WIRE_CHECKPOINT_DURATION, 3.0),
               300);
  world_run(world, 6);
  job = world_submit(
      world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, (int)tasks, WIRE_PRIORITY, priority), 30);
  world_run(world, wait_s);
  g_assert_cmpuint(world_count_running(world, job, NULL), >, 0);
  g_assert_cmpuint(world->n_stops, >, 0);
  grace_s = world->last_stop_grace_s;
  world_assert_invariants(world);
  world_free(world);
  return grace_s;
}

/* Critical services, which should be up within a second, do not wait until work of the lowest
 * priority has checkpointed. */
void
test_only_critical_work_gives_no_time_to_save(void) {
  g_assert_cmpfloat(grace_s_of_preempted_work("critical", 1, 5), ==, 0);
  g_assert_cmpfloat(grace_s_of_preempted_work("urgent", 1, 8), ==, 4);
}

/* Work above the lowest priority preempts work of the lowest priority, even if the preempting work
 * is neither urgent nor within its team's quota. */
void
test_normal_work_preempts_low_work(void) {
  g_assert_cmpfloat(grace_s_of_preempted_work("normal", 60, 12), ==, 4);
}

/* Gangs of several teams arrive one after another. Each of their tasks takes most of a machine.
 * Therefore some places of a gang are on machines that the gang's leader serves itself. The
 * resources that a task needs must not be compared with the resources that remain after the task's
 * own reservation. Otherwise such gangs would never start. */
void
test_gang_starts_on_machines_of_its_leader(void) {
  World *world = world_new(11);
  guint n_on_own_machines = 0;

  for (guint i = 0; i < 2; i++)
    world_add_machine(world, "big", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  for (guint team = 0; team < 4; team++) {
    g_autofree char *name = g_strdup_printf("team-%u", team);
    WorldJob *job = world_submit(world,
                                 mm_json_pack("{s:i, s:s, s:s, s:f}", WIRE_TASKS, 2, WIRE_KIND,
                                              WIRE_KIND_GANG, WIRE_TEAM, name, WIRE_CORES, 12.0),
                                 60);
    world_run(world, 8);
    g_assert_cmpuint(world_count_running(world, job, NULL), ==, 2);
    for (guint i = 0; i < WORLD_NODES; i++) {
      const MmJob *job_on_node = mm_job_table_find(world->nodes[i].node->job_table, job->id);
      for (guint k = 0; job_on_node->tasks != NULL && k < 2; k++)
        n_on_own_machines
            += mm_job_task(job_on_node, k)->machine->serving_node == MM_SERVING_NODE_SELF;
    }
    world_cancel(job);
    world_run(world, 4);
  }
  g_assert_cmpuint(n_on_own_machines, >, 0);
  world_assert_invariants(world);
  world_free(world);
}

static guint
count_machines_in_use(const World *world) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n += world_machine_at(world, i)->tasks->len > 0;
  return n;
}

/* Accelerated machines for which no accelerated work is pending are lent to other work, except for
 * four. A gang that needs more than those four preempts the work on lent machines and starts at
 * once. */
void
test_idle_accelerators_are_lent_and_reclaimed(void) {
  World *world = world_new(13);
  WorldJob *first, *array, *gang;

  world->capacity = 0; /* no machine can be rented */
  world->team_cores = 1000;
  for (guint i = 0; i < 7; i++)
    world_add_machine(world, "big", "a", FALSE, 0.1)->failure_rate = 0;
  world_start(world);
  world_run(world, 5);
  first = world_submit(world,
                       mm_json_pack("{s:i, s:s, s:f, s:f}", WIRE_TASKS, 1, WIRE_PRIORITY, "urgent",
                                    WIRE_CORES, 16.0, WIRE_ACCELERATORS, 2.0),
                       3);
  world_run(world, 8);
  g_assert_cmpuint(first->n_done, ==, 1);
  array = world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 60, WIRE_TEAM, "team-1"), 300);
  world_run(world, 12);
  g_assert_cmpuint(world_count_running(world, array, NULL), >, 0);
  g_assert_cmpuint(count_machines_in_use(world), <=, 3);
  gang = world_submit(world,
                      mm_json_pack("{s:i, s:s, s:s, s:f, s:f}", WIRE_TASKS, 6, WIRE_KIND,
                                   WIRE_KIND_GANG, WIRE_PRIORITY, "urgent", WIRE_CORES, 16.0,
                                   WIRE_ACCELERATORS, 2.0),
                      30);
  world_run(world, 10);
  g_assert_cmpuint(world_count_running(world, gang, NULL), ==, 6);
  world_assert_invariants(world);
  world_free(world);
}
