/* Where a machine's lease expires, and what is remembered of incarnations that are over. */
#include "machines/machine-table-private.h"

#include "kv/replica.h"
#include "peers/peer-links.h"

/* Each scan visits every machine. */
#define MACHINE_SCAN_INTERVAL_MS 150
#define CLOCK_DRIFT 0.002 /* between a worker's clock and this node's, as a fraction */
#define LEASE_EXPIRY_MARGIN_MS 250
/* Bound on the ended incarnations remembered: so many per known machine, and at least a minimum. */
#define ENDED_INCARNATIONS_PER_MACHINE 2
#define ENDED_INCARNATIONS_MIN 4096
/* As newest ended incarnation: the machine is terminated and never comes back. */
#define EVERY_INCARNATION G_MAXUINT64

/* ---- ended incarnations ---- */

gboolean
mm_machine_table_incarnation_has_ended(const MmMachineTable *machine_table, const char *machine_id,
                                       guint64 incarnation) {
  const guint64 *newest_ended = g_hash_table_lookup(machine_table->ended_incarnations, machine_id);

  return newest_ended != NULL && incarnation <= *newest_ended;
}

/* A late copy of a heartbeat would otherwise bring the machine back once its entry here is gone. */
void
mm_machine_table_remember_ended_incarnation(MmMachineTable *machine_table,
                                            const MmMachine *machine) {
  guint64 *incarnation = g_new(guint64, 1);

  *incarnation
      = machine->is_terminated ? EVERY_INCARNATION : mm_machine_newest_incarnation(machine);
  if (!g_hash_table_contains(machine_table->ended_incarnations, machine->id.s))
    g_queue_push_tail(machine_table->ended_incarnations_order, g_strdup(machine->id.s));
  g_hash_table_insert(machine_table->ended_incarnations, g_strdup(machine->id.s), incarnation);
  while (g_queue_get_length(machine_table->ended_incarnations_order)
         > MAX(ENDED_INCARNATIONS_MIN,
               ENDED_INCARNATIONS_PER_MACHINE * machine_table->sorted_machines->len)) {
    g_autofree char *oldest = g_queue_pop_head(machine_table->ended_incarnations_order);
    g_hash_table_remove(machine_table->ended_incarnations, oldest);
  }
}

/* ---- expiry ---- */

static void
end_lease(MmMachineTable *machine_table, MmMachine *machine) {
  machine->lease_has_expired = TRUE;
  mm_machine_table_notify_machine_ended(machine_table, machine);
  mm_machine_table_set_reported_tasks(machine_table, machine, NULL);
  machine->has_live_task = FALSE;
  g_array_set_size(machine->cached_images, 0);
}

void
mm_machine_table_record_termination(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->is_terminated = TRUE;
  end_lease(machine_table, machine);
}

/* A lease has certainly expired when no node can have answered the machine 200 for a whole lease:
 * counted up to the instant until which this node knows of all responses of all nodes. */
static void
expire_leases(MmMachineTable *machine_table) {
  MmNode *node = machine_table->node;
  MmTime responses_known_until = mm_peer_links_responses_known_until(node->peer_links);
  gint64 lease_ms = (gint64)(node->settings->worker_lease_s * 1000 * (1 + CLOCK_DRIFT))
                    + LEASE_EXPIRY_MARGIN_MS;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    MmTime last_possible_response_at
        = mm_time_max(machine->last_possible_response_at, node->replica->node_last_gone_at);
    if (machine->lease_has_expired
        || mm_time_ms_since(responses_known_until, last_possible_response_at) < lease_ms)
      continue;
    mm_info("machine %s is lost: its lease has expired", machine->id.s);
    end_lease(machine_table, machine);
  }
}

void
mm_machine_table_tick(MmMachineTable *machine_table) {
  MmTime now = mm_node_now(machine_table->node);

  if (mm_time_before(now, machine_table->next_scan_at))
    return;
  machine_table->next_scan_at = mm_time_add_ms(now, MACHINE_SCAN_INTERVAL_MS);
  expire_leases(machine_table);
}
