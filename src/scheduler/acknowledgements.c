#include "scheduler/acknowledgements.h"

#include "heartbeat-server/heartbeat-server.h"
#include "kv/replica.h"
#include "leases/shard-ownership.h"
#include "machines/machine-health.h"
#include "scheduler/direct-commands.h"
#include "sharing/sharing.h"

/* Minimum time between two acknowledgement requests to the same machine. */
#define ACK_REQUEST_INTERVAL_MS 3000
/* Limits on the acknowledgement requests in one slow tick. Each request takes about half a
 * millisecond. */
#define ACK_REQUESTS_PER_CORE 40
#define ACK_REQUESTS_MIN 2
#define ACK_REQUESTS_MAX 64
/* A machine may report a higher term before its next regular heartbeat. In this case, the machine
 * reports the term half a second after receiving the term. A machine that has not reported a
 * received term within TERM_REPORTED_WITHIN_MS is expected to wait for its next regular heartbeat.
 */
#define TERM_REPORTED_WITHIN_MS 1200
/* If the latest heartbeat of a machine is younger than this number of heartbeat intervals, waiting
 * for the next heartbeat of the machine would take too long. */
#define RECENT_HEARTBEAT_INTERVALS 0.6
/* A machine that has been silent for longer than this has missed a heartbeat. The value is in
 * milliseconds per second of the heartbeat interval. A shorter silence may be due to a heartbeat
 * that was sent late. */
#define SILENT_MS_PER_INTERVAL_S 1500

/* Returns the highest term of all teams' shards, whichever nodes lead them. */
static MmTerm
newest_shard_term(const MmNode *node) {
  MmTerm newest = { 0 };

  for (guint i = 0; i < node->shard_ownership->shard_names->len; i++) {
    const char *name = g_ptr_array_index(node->shard_ownership->shard_names, i);
    const MmShard *shard = mm_replica_shard(node->replica, name);
    if (shard != NULL && !mm_shard_ownership_is_singleton_role(name))
      newest.v = MAX(newest.v, shard->term.v);
  }
  return newest;
}

/* Returns whether this node waits for the machine to acknowledge a term, either for a shard that
 * this node leads or as the owner of the machine's group. */
static gboolean
is_unacknowledged(const MmScheduler *scheduler, const MmMachine *machine) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, scheduler->led_shards);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (g_hash_table_contains(((MmLedShard *)value)->unacknowledged_machines, machine->id.s))
      return TRUE;
  return mm_sharing_awaits_acknowledgement(scheduler->node->sharing, machine);
}

/* Returns whether the newest term would be acknowledged late if only the machine's heartbeats
 * acknowledged it. This is the case in two situations: the machine's next heartbeat is far in the
 * future, or the machine has received the term but may not report it before its next regular
 * heartbeat.
 *
 * Returns TRUE only on the node that answers the machine's heartbeats. This node requests the
 * acknowledgement on behalf of all nodes. */
static gboolean
acknowledgement_would_be_late(const MmNode *node, const MmMachine *machine, MmTerm newest) {
  MmTime now = mm_node_now(node);
  gint64 reported_ms = mm_time_ms_since(now, machine->last_heartbeat_at);

  if (machine->serving_node != MM_SERVING_NODE_SELF || !machine->has_reported
      || !machine->is_in_registry
      || machine->acknowledged_term.v
             >= MAX(newest.v, mm_sharing_group_term(node->sharing, machine).v))
    return FALSE;
  if (machine->unacknowledged_since.us != 0)
    return mm_time_ms_since(now, machine->unacknowledged_since) > TERM_REPORTED_WITHIN_MS;
  return reported_ms
         < (gint64)(node->settings->heartbeat_interval_s * 1000 * RECENT_HEARTBEAT_INTERVALS);
}

/* An empty command carries the term, and the reply to this command acknowledges the term. The
 * number of requests in a tick is limited in proportion to the node's processor share. Requests to
 * hundreds of machines at once would take so long that leases expire. */
void
mm_scheduler_request_acknowledgements(MmScheduler *scheduler) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);
  gint64 silent_ms = (gint64)(node->settings->heartbeat_interval_s * SILENT_MS_PER_INTERVAL_S);
  MmTerm newest = newest_shard_term(node);
  guint requests_left = (guint)CLAMP(node->settings->cpu_share * ACK_REQUESTS_PER_CORE,
                                     ACK_REQUESTS_MIN, ACK_REQUESTS_MAX);

  if (mm_heartbeat_server_awaits_leadership_transition(node->heartbeat_server))
    return;
  for (guint i = 0; i < node->machine_table->sorted_machines->len && requests_left > 0; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    gboolean ignores_responses;

    if (machine->lease_has_expired
        || mm_time_ms_since(now, machine->acknowledgement_requested_at) < ACK_REQUEST_INTERVAL_MS)
      continue;
    ignores_responses = mm_machine_health_ignores_responses(node->machine_table, machine);
    if (!ignores_responses && !acknowledgement_would_be_late(node, machine, newest)
        && (mm_time_ms_since(now, machine->last_heartbeat_at) < silent_ms
            || !is_unacknowledged(scheduler, machine)))
      continue;
    machine->acknowledgement_requested_at = now;
    requests_left--;
    mm_scheduler_send_commands(scheduler, machine, NULL, 0);
  }
}
