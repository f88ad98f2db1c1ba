/* Nodes that are faulty on purpose, so that the checks of the invariants are seen to fail. */
#include "dependencies/dependencies.h"
#include "scheduler/scheduler.h"
#include "leases/node-lease.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "world/world.h"

/* A shard leader that counts every machine as acknowledged at once. */
static void
forget_unacknowledged(MmScheduler *scheduler) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    g_hash_table_remove_all(((MmLedShard *)value)->unacknowledged_machines);
    ((MmLedShard *)value)->is_ready = TRUE;
  }
}

/* A node that accepts late copies of heartbeats as newer ones. */
static void
forget_heartbeat_ids(MmMachineTable *machine_table) {
  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    machine->latest_message_id.sequence = machine->latest_heartbeat_id.sequence = 0;
  }
}

/* A node that goes on answering machines which ignore its answers, and waits for the
 * acknowledgement of each that sends heartbeats, whatever else these prove. */
static void
ignore_unacknowledging(const MmNode *node) {
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    machine->unacknowledged_responses = 0;
    g_hash_table_iter_init(&iter, node->scheduler->led_shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
      MmLedShard *led_shard = value;
      if (!machine->has_reported || machine->lease_has_expired
          || machine->acknowledged_term.v >= led_shard->term.v)
        continue;
      g_hash_table_insert(led_shard->unacknowledged_machines, g_strdup(machine->id.s),
                          GSIZE_TO_POINTER(G_MAXSIZE));
      led_shard->is_ready = FALSE;
    }
  }
}

/* A node that knows only of the cancellations in shards that it leads. */
static void
forget_cancelled(const MmJobTable *job_table) {
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    job->is_cancelled = job->is_cancelled && job->tasks != NULL;
  }
}

/* A node that counts dependencies as done which are not. */
static void
forget_dependencies(const MmNode *node) {
  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (job->vertex != NULL)
      job->vertex->n_unmet = 0;
  }
}

/* A node that does not cancel dependents of a cancelled job. */
static void
forget_ancestors(const MmNode *node) {
  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (job->cancel_record_version.v == 0 && mm_job_has_cancelled_dependency(job))
      job->is_cancelled = FALSE;
  }
}

/* A node whose replica never counts as stale. */
static void
forget_staleness(const MmNode *node, MmTime now) {
  node->replica->staleness_us = 0;
  node->replica->staleness_at = now;
}

/* A node whose lease does not expire either. */
static void
extend_lease_forever(const MmNode *node, MmTime now) {
  node->node_lease->valid_until = mm_time_add_ms(now, 60000);
  forget_staleness(node, now);
}

/* A group owner that counts every machine as acknowledged, or forgets what it has granted. */
static void
make_sharing_faulty(const World *world, MmSharing *sharing) {
  for (guint group = 0; group < sharing->n_groups && world->ignore_group_acknowledgements; group++)
    if (sharing->owned[group] != NULL)
      g_hash_table_remove_all(sharing->owned[group]->unacknowledged);
  if (world->forget_grants)
    g_hash_table_remove_all(sharing->grants->outstanding);
}

void
world_make_node_faulty(const World *world, MmNode *node, MmTime now) {
  make_sharing_faulty(world, node->sharing);
  if (world->ignore_acknowledgements)
    forget_unacknowledged(node->scheduler);
  if (world->accept_duplicates)
    forget_heartbeat_ids(node->machine_table);
  if (world->respond_to_unacknowledging)
    ignore_unacknowledging(node);
  if (world->lease_never_expires && node->node_lease->lease_id != 0)
    extend_lease_forever(node, now);
  if (world->replica_never_stale)
    forget_staleness(node, now);
  if (world->ignore_dependencies)
    forget_dependencies(node);
  if (world->ignore_ancestors)
    forget_ancestors(node);
  if (world->only_leader_knows_cancelled)
    forget_cancelled(node->job_table);
}
