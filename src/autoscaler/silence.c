#include "autoscaler/silence.h"

#include "base/wire.h"

/* A heartbeat is overdue after this many heartbeat intervals, but at the earliest after
 * HEARTBEAT_OVERDUE_MIN_S. */
#define HEARTBEAT_OVERDUE_PERIODS 1.25
#define HEARTBEAT_OVERDUE_MIN_S 1.75
/* Maximum time for probing a machine whose heartbeat is overdue. The probing time is as long as the
 * time after which a heartbeat is overdue, but not longer than this maximum. The maximum is
 * sufficient for UNANSWERED_PROBES_MIN probes, however long the heartbeat interval is. If the
 * operators have set silent_release_s, the maximum does not apply. */
#define PROBING_MAX_S 2.5
#define UNANSWERED_PROBES_MIN 3
#define PROBE_INTERVAL_MS 900
#define PROBE_TIMEOUT_MS 1500
/* Limits the number of open connections. A round takes place every half second, and each probe
 * opens a connection. Connections to silent machines stay open until PROBE_TIMEOUT_MS. */
#define MAX_PROBES_PER_ROUND 16
/* No machine is released for its silence while the number of silent machines exceeds both
 * MASS_SILENCE_MIN and 1/MASS_SILENCE_DIVISOR of all machines. */
#define MASS_SILENCE_MIN 2
#define MASS_SILENCE_DIVISOR 8
/* A zone with fewer silent machines than this is never considered unreachable. */
#define UNREACHABLE_ZONE_MIN_SILENT 4
/* A machine with a termination notice is considered terminated when its announced termination and
 * its last message are both longer ago than this. */
#define TERMINATED_SILENCE_MS 1500

static void
on_probe_response(gpointer data, int status, MmJson *body) {
  MmAutoscaler *autoscaler = data;
  MmMachineTable *machine_table = autoscaler->node->machine_table;
  const char *id = mm_json_string(body, WIRE_MACHINE);
  MmMachine *machine = id != NULL ? mm_machine_table_find(machine_table, id) : NULL;

  if (status == 200)
    machine_table->last_worker_contact_at = mm_node_now(autoscaler->node);
  if (status == 200 && machine != NULL)
    machine->last_seen_at = mm_time_max(machine->last_seen_at, mm_node_now(autoscaler->node));
  if (machine != NULL)
    machine->unanswered_probes = 0;
}

/* Sends the machine a probe, at most one every PROBE_INTERVAL_MS and only while `probes_left`
 * allows it in this round. */
static void
probe_machine(MmAutoscaler *autoscaler, MmMachine *machine) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);

  if (autoscaler->probes_left == 0
      || mm_time_ms_since(now, machine->last_probed_at) < PROBE_INTERVAL_MS
      || machine->addr[0] == '\0')
    return;
  autoscaler->probes_left--;
  machine->last_probed_at = now;
  machine->unanswered_probes++;
  node->platform.request(node->platform.context, MM_TARGET_WORKER, machine->addr, "GET",
                         WIRE_STATUS_PATH, NULL, PROBE_TIMEOUT_MS, on_probe_response, autoscaler);
}

/* Returns the time after a machine's last message at which its heartbeat is overdue. If the
 * operators have set silent_release_s, returns half of silent_release_s, because the other half is
 * for probing. */
static gint64
heartbeat_overdue_ms(const MmAutoscaler *autoscaler) {
  const MmNode *node = autoscaler->node;
  double silent_release_s = node->operators->silent_release_s;

  return (gint64)(1000
                  * (silent_release_s > 0
                         ? silent_release_s / 2
                         : MAX(node->settings->heartbeat_interval_s * HEARTBEAT_OVERDUE_PERIODS,
                               HEARTBEAT_OVERDUE_MIN_S)));
}

/* Returns the time after a machine's last message at which the machine is silent if it has answered
 * no probe. */
static gint64
silence_timeout_ms(const MmAutoscaler *autoscaler) {
  gint64 overdue_limit_ms = heartbeat_overdue_ms(autoscaler);
  gint64 probing_ms = (gint64)(1000 * PROBING_MAX_S);

  return overdue_limit_ms
         + (autoscaler->node->operators->silent_release_s > 0 ? overdue_limit_ms
                                                              : MIN(overdue_limit_ms, probing_ms));
}

/* Returns whether this node has received a heartbeat or a response from any worker since it last
 * probed the machine. Without this check, a node that has lost its connection to the workers, and
 * so gets no responses, would release healthy machines whose heartbeats reach only its peers. */
static gboolean
has_worker_contact_since_probe(const MmAutoscaler *autoscaler, const MmMachine *machine) {
  return mm_time_before(machine->last_probed_at,
                        autoscaler->node->machine_table->last_worker_contact_at);
}

/* Probes the machine that any node has seen most recently. The response of this machine lets
 * has_worker_contact_since_probe() return TRUE. Without this response,
 * has_worker_contact_since_probe() could return FALSE for a long time if few machines report to
 * this node. */
static void
probe_most_recently_seen_machine(MmAutoscaler *autoscaler) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;
  MmMachine *last_seen = NULL;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (last_seen == NULL || mm_time_before(last_seen->last_seen_at, machine->last_seen_at))
      last_seen = machine;
  }
  if (last_seen != NULL)
    probe_machine(autoscaler, last_seen);
}

/* Returns whether the machine has been terminated as its termination notice announced. Such a
 * machine needs no probes, because the cloud can confirm the termination at once. */
static gboolean
was_terminated_as_announced(const MmMachine *machine, MmTime now) {
  return machine->has_termination_notice
         && mm_time_ms_since(now, machine->termination_at) > TERMINATED_SILENCE_MS
         && mm_time_ms_since(now, machine->last_seen_at) > TERMINATED_SILENCE_MS;
}

gboolean
mm_autoscaler_machine_is_silent(MmAutoscaler *autoscaler, MmMachine *machine) {
  MmTime now = mm_node_now(autoscaler->node);

  /* Registered machines are checked even if they last reported no tasks, because starts may have
   * been sent to them since. Newly acquired shards cannot start tasks until each registered machine
   * has acknowledged their term or is proved to have ended. Without this check, an idle machine
   * that has ended would delay each of these shards by a whole worker lease. */
  if (!machine->is_in_registry && (!machine->has_reported || machine->reported_tasks->len == 0))
    return FALSE;
  if (was_terminated_as_announced(machine, now))
    return TRUE;
  if (mm_time_ms_since(now, machine->last_seen_at) < heartbeat_overdue_ms(autoscaler)) {
    machine->unanswered_probes = 0;
    return FALSE;
  }
  if (autoscaler->n_silent > MAX(MASS_SILENCE_MIN, autoscaler->n_machines / MASS_SILENCE_DIVISOR))
    return FALSE;
  if (mm_time_ms_since(now, machine->last_seen_at) >= silence_timeout_ms(autoscaler)
      && machine->unanswered_probes >= UNANSWERED_PROBES_MIN) {
    if (has_worker_contact_since_probe(autoscaler, machine))
      return TRUE;
    probe_most_recently_seen_machine(autoscaler);
  }
  /* The node that received the machine's heartbeats may have crashed, and the machine may be about
   * to report to another node. In this case, the machine answers the probe. */
  probe_machine(autoscaler, machine);
  return FALSE;
}

static MmZoneMachineCounts *
find_or_add_zone_counts(MmAutoscaler *autoscaler, const MmName *zone) {
  MmZoneMachineCounts new_counts = { .zone = *zone };

  for (guint i = 0; i < autoscaler->zone_machine_counts->len; i++)
    if (mm_name_equal(&g_array_index(autoscaler->zone_machine_counts, MmZoneMachineCounts, i).zone,
                      zone))
      return &g_array_index(autoscaler->zone_machine_counts, MmZoneMachineCounts, i);
  g_array_append_val(autoscaler->zone_machine_counts, new_counts);
  return &g_array_index(autoscaler->zone_machine_counts, MmZoneMachineCounts,
                        autoscaler->zone_machine_counts->len - 1);
}

static void
count_machine(MmAutoscaler *autoscaler, const MmMachine *machine, gboolean is_silent) {
  MmZoneMachineCounts *counts = find_or_add_zone_counts(autoscaler, &machine->zone);

  counts->n_machines++;
  counts->n_silent += is_silent;
  autoscaler->n_machines += !machine->lease_has_expired;
  autoscaler->n_silent += !machine->lease_has_expired && is_silent;
}

/* Counts as silent the machines that the cloud lists as running and that this node does not know.
 * Lost machines are among them, because the machine table drops a machine once the machine is
 * removed from the registry. */
static void
count_unknown_machines(MmAutoscaler *autoscaler) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmCloudMachine *cloud_machine = value;
    const MmMachine *machine
        = mm_machine_table_find(autoscaler->node->machine_table, cloud_machine->id.s);
    MmZoneMachineCounts *counts;
    if (!cloud_machine->is_running || cloud_machine->is_releasing
        || (machine != NULL && (machine->has_reported || machine->is_in_registry)))
      continue;
    counts = find_or_add_zone_counts(autoscaler, &cloud_machine->zone);
    counts->n_machines++;
    counts->n_silent++;
  }
}

void
mm_autoscaler_count_silent_machines(MmAutoscaler *autoscaler) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;
  MmTime now = mm_node_now(autoscaler->node);
  /* A machine counts as soon as its heartbeat is overdue, long before silence_timeout_ms(). When
   * many machines become silent together, all of them must be counted before the first one reaches
   * this timeout. */
  gint64 overdue_ms = heartbeat_overdue_ms(autoscaler);

  g_array_set_size(autoscaler->zone_machine_counts, 0);
  autoscaler->n_machines = autoscaler->n_silent = 0;
  autoscaler->probes_left = MAX_PROBES_PER_ROUND;
  for (guint i = 0; i < machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machines, i);
    if ((machine->has_reported || machine->is_in_registry) && !machine->is_terminated)
      count_machine(autoscaler, machine,
                    mm_time_ms_since(now, machine->last_seen_at) >= overdue_ms);
  }
  count_unknown_machines(autoscaler);
}

gboolean
mm_autoscaler_zone_is_unreachable(MmAutoscaler *autoscaler, const MmName *zone_name) {
  const MmZoneMachineCounts *counts = find_or_add_zone_counts(autoscaler, zone_name);

  /* When most machines of a zone are silent, a network partition is a more likely cause than the
   * end of these machines. After a partition, the machines are reachable again. Launching as many
   * new machines takes longer than most partitions last. For this reason, scale-in waits longer
   * before it releases the machines of an unreachable zone, and scale-out launches no machines
   * there. */
  return counts->n_silent >= UNREACHABLE_ZONE_MIN_SILENT
         && 2 * counts->n_silent > counts->n_machines;
}
