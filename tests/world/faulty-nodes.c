/* Deliberate defects of nodes. Tests use them to show that the invariant checks find violations. */
#include "dependencies/dependencies.h"
#include "scheduler/scheduler.h"
#include "leases/node-lease.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "world/world.h"

/* Makes the node, as a shard leader, count every machine as acknowledged immediately. */
static void
mark_all_acknowledged(MmScheduler *scheduler) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    g_hash_table_remove_all(((MmLedShard *)value)->unacknowledged_machines);
    ((MmLedShard *)value)->is_ready = TRUE;
  }
}

/* Makes the node accept late copies of heartbeats as new ones. */
static void
reset_heartbeat_sequences(MmMachineTable *machine_table) {
  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    machine->latest_message_id.sequence = machine->latest_heartbeat_id.sequence = 0;
  }
}

/* Makes the node keep responding to machines that ignore its responses. Also makes the node wait
 * for an acknowledgement of each machine that sends heartbeats, even if the heartbeats prove that
 * the acknowledgement is not needed. */
static void
keep_unacknowledging_machines(const MmNode *node) {
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

/* Makes the node forget cancellations of jobs in shards that it does not lead. */
static void
clear_cancellations_outside_led_shards(const MmJobTable *job_table) {
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    job->is_cancelled = job->is_cancelled && job->tasks != NULL;
  }
}

/* Makes the node treat unfinished dependencies as done. */
static void
mark_dependencies_done(const MmNode *node) {
  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (job->vertex != NULL)
      job->vertex->n_unmet = 0;
  }
}

/* Makes the node not cancel the dependents of a cancelled job. */
static void
clear_inherited_cancellations(const MmNode *node) {
  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (job->cancel_record_version.v == 0 && mm_job_has_cancelled_dependency(job))
      job->is_cancelled = FALSE;
  }
}

/* Makes the node treat its replica as never stale. */
static void
reset_replica_staleness(const MmNode *node, MmTime now) {
  node->replica->staleness_us = 0;
  node->replica->staleness_at = now;
}

/* Makes the node treat its lease as never expired and its replica as never stale. */
static void
extend_lease_forever(const MmNode *node, MmTime now) {
  node->node_lease->valid_until = mm_time_add_ms(now, 60000);
  reset_replica_staleness(node, now);
}

/* Makes the node faulty as a group owner. Depending on the enabled defects, the node counts every
 * machine as acknowledged, or forgets which resources it has granted. */
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
    mark_all_acknowledged(node->scheduler);
  if (world->accept_duplicates)
    reset_heartbeat_sequences(node->machine_table);
  if (world->respond_to_unacknowledging)
    keep_unacknowledging_machines(node);
  if (world->lease_never_expires && node->node_lease->lease_id != 0)
    extend_lease_forever(node, now);
  if (world->replica_never_stale)
    reset_replica_staleness(node, now);
  if (world->ignore_dependencies)
    mark_dependencies_done(node);
  if (world->ignore_ancestors)
    clear_inherited_cancellations(node);
  if (world->only_leader_knows_cancelled)
    clear_cancellations_outside_led_shards(node->job_table);
}
