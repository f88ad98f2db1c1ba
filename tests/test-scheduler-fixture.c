/* Fixture for the tests of the shard leader. */
#include "test-scheduler.h"

#include "base/wire.h"
#include "scheduler/led-shards.h"

SchedulerFixture
scheduler_fixture(guint tasks) {
  SchedulerFixture f = { world_new(5) };
  WorldJob *job;

  world_add_machines(f.world, 2, "big", 1);
  world_start(f.world);
  world_run(f.world, 5);
  for (guint i = 0; i < 2; i++)
    world_machine_at(f.world, i)->suspended_until_us
        = f.world->now_us + 100 * (gint64)G_USEC_PER_SEC;
  job = world_submit(f.world, mm_json_pack("{s:i}", WIRE_TASKS, (int)tasks), 5);
  world_run(f.world, 0.5);
  for (guint i = 0; i < WORLD_NODES; i++) {
    MmNode *node = f.world->nodes[i].node;
    MmJob *job_on_node = mm_job_table_find(node->job_table, job->id);
    g_assert_nonnull(job_on_node);
    if (mm_scheduler_shard_of_job(node->scheduler, job_on_node) == NULL)
      continue;
    f.scheduler = node->scheduler;
    f.job = job_on_node;
    f.machines[0] = mm_machine_table_find(node->machine_table, "m-000001");
    f.machines[1] = mm_machine_table_find(node->machine_table, "m-000002");
  }
  g_assert_nonnull(f.scheduler);
  return f;
}
