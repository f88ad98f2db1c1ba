/* Fixtures of the tests with concurrent faults. */
#include "test-concurrent-faults.h"

#include "base/wire.h"
#include "kv/replica.h"

void
submit_jobs(World *world, guint n, const char *kind, guint tasks, double run_s) {
  for (guint i = 0; i < n; i++) {
    g_autofree char *team = g_strdup_printf("team-%u", i % 4);
    world_submit(
        world, mm_json_pack("{s:i, s:s, s:s}", WIRE_TASKS, tasks, WIRE_KIND, kind, WIRE_TEAM, team),
        run_s);
  }
}

void
cancel_all_jobs(World *world) {
  for (guint i = 0; i < world->jobs->len; i++)
    if (!world_job_at(world, i)->is_cancel_requested)
      world_cancel(world_job_at(world, i));
}

guint
count_jobs_seen_as(const World *world, WorldUserView view) {
  guint n = 0;

  for (guint i = 0; i < world->jobs->len; i++)
    n += world_job_at(world, i)->user_view == view;
  return n;
}

guint
count_machines_with_lost_lease(const World *world, const char *zone) {
  guint n = 0;

  for (guint i = 0; i < world->machines->len; i++)
    n += world_machine_at(world, i)->incarnation > 1
         && (zone == NULL || strcmp(world_machine_at(world, i)->zone, zone) == 0);
  return n;
}

guint64
highest_known_term(const World *world) {
  guint64 term = 0;

  for (guint i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].node != NULL)
      term = MAX(term, world->nodes[i].node->replica->term.v);
  return term;
}

guint
inject_into_machines_with_tasks(World *world, guint max_machines, MachineFault inject,
                                double seconds) {
  gint64 until_us = world->now_us + (gint64)(seconds * SECOND);
  guint n = 0;

  for (guint i = 0; i < world->machines->len && n < max_machines; i++) {
    if (world_machine_at(world, i)->tasks->len == 0)
      continue;
    inject(world_machine_at(world, i), until_us);
    n++;
  }
  return n;
}

void
partition_machine(WorldMachine *machine, gint64 until_us) {
  machine->partitioned_until_us = until_us;
}

void
suspend_worker(WorldMachine *machine, gint64 until_us) {
  machine->suspended_until_us = until_us;
}

void
lose_inbound(WorldMachine *machine, gint64 until_us) {
  machine->inbound_lost_until_us = until_us;
}

void
lose_outbound(WorldMachine *machine, gint64 until_us) {
  machine->outbound_lost_until_us = until_us;
}

void
refuse_kv_requests(World *world, guint node, double seconds) {
  world->nodes[node].kv_refuses_until_us = world->now_us + (gint64)(seconds * SECOND);
}
