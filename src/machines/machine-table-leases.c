/* Expiry of machine leases, and the record of ended incarnations. */
#include "machines/machine-table-private.h"

#include "kv/replica.h"
#include "peers/peer-links.h"

/* Interval between scans for expired leases. Each scan visits every machine. */
#define MACHINE_SCAN_INTERVAL_MS 150
/* Maximum drift between a worker's clock and this node's, as a fraction. */
#define CLOCK_DRIFT 0.002
#define LEASE_EXPIRY_MARGIN_MS 250
/* Maximum number of machines whose newest ended incarnation is remembered:
 * ENDED_INCARNATIONS_PER_MACHINE times the number of known machines, but at least
 * ENDED_INCARNATIONS_MIN. */
#define ENDED_INCARNATIONS_PER_MACHINE 2
#define ENDED_INCARNATIONS_MIN 4096
/* Stored as the newest ended incarnation of a terminated machine. All incarnations of a terminated
 * machine count as ended, because the machine never returns. */
#define EVERY_INCARNATION G_MAXUINT64

/* Ended incarnations */

gboolean
mm_machine_table_incarnation_has_ended(const MmMachineTable *machine_table, const char *machine_id,
                                       guint64 incarnation) {
  const guint64 *newest_ended = g_hash_table_lookup(machine_table->ended_incarnations, machine_id);

  return newest_ended != NULL && incarnation <= *newest_ended;
}

/* The ended incarnation is remembered because a late copy of a heartbeat would otherwise add the
 * machine to the table again after the machine's entry has been removed. */
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

/* Lease expiry */

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

/* Ends the leases that have certainly expired. A lease has certainly expired if no node can have
 * answered the machine with status 200 during a full lease period. The lease period must end no
 * later than `responses_known_until`, the time until which this node knows all responses of all
 * nodes. The lease period must start no earlier than the time at which any node last lost its own
 * lease, because that node may have answered the machine until then. */
static void
expire_leases(MmMachineTable *machine_table) {
  MmNode *node = machine_table->node;
  MmTime responses_known_until = mm_peer_links_responses_known_until(node->peer_links);
  gint64 lease_ms = (gint64)(node->settings->worker_lease_s * 1000 * (1 + CLOCK_DRIFT))
                    + LEASE_EXPIRY_MARGIN_MS;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    MmTime last_possible_response_at
        = mm_time_max(machine->last_possible_response_at, node->replica->last_node_lease_loss_at);
    if (machine->lease_has_expired
        || mm_time_ms_since(responses_known_until, last_possible_response_at) < lease_ms)
      continue;
    mm_info("machine %s is considered lost: its lease has expired", machine->id.s);
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
