#include "autoscaler/silence.h"

#include "base/wire.h"

/* A heartbeat is overdue after this, */
#define HEARTBEAT_OVERDUE_PERIODS 1.25
#define HEARTBEAT_OVERDUE_MIN_S 1.75
/* and then probes must stay unanswered for as long again, but no longer than this, which is time
 * for all of them however rare heartbeats are. */
#define PROBING_MAX_S 2.5
#define UNANSWERED_PROBES_MIN 3
#define PROBE_INTERVAL_MS 900
#define PROBE_TIMEOUT_MS 1500
/* A round is half a second. Each probe is a connection, and those to silent machines stay open
 * until they time out. */
#define MAX_PROBES_PER_ROUND 16
/* More silent machines than this, and than this share of all, fell silent together. */
#define SILENT_TOGETHER_MIN 2
#define SILENT_TOGETHER_DIVISOR 8
#define ZONE_CUT_OFF_MIN_SILENT 4
/* After the end of a termination notice. */
#define PREEMPTED_SILENCE_MS 1500

/* ---- probes ---- */

static void
on_probe_response(gpointer data, int status, json_t *body) {
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

/* Asks the machine directly for a sign of life, within the budget. */
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

/* After so long without a sign of life a machine that answers no probe is silent. */
static gint64
silence_patience_ms(const MmAutoscaler *autoscaler) {
  gint64 overdue_limit_ms = heartbeat_overdue_ms(autoscaler);
  gint64 probing_ms = (gint64)(1000 * PROBING_MAX_S);

  return overdue_limit_ms
         + (autoscaler->node->operators->silent_release_s > 0 ? overdue_limit_ms
                                                              : MIN(overdue_limit_ms, probing_ms));
}

/* Whether any worker has reached this node, or answered it, since its last probe of the machine. A
 * node that is cut off from the workers gets no answer from any, and must not release healthy
 * machines whose heartbeats reach only its peers. */
static gboolean
reaches_workers(const MmAutoscaler *autoscaler, const MmMachine *machine) {
  return mm_time_before(machine->last_probed_at,
                        autoscaler->node->machine_table->last_worker_contact_at);
}

/* Where few machines report to this node, reaches_workers may be false for long: it probes the one
 * that was last seen by any node. */
static void
probe_last_seen_machine(MmAutoscaler *autoscaler) {
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

/* The termination notice has run out and the machine is gone; the cloud can prove it at once. */
static gboolean
was_terminated_as_announced(const MmMachine *machine, MmTime now) {
  return machine->has_termination_notice
         && mm_time_ms_since(now, machine->termination_at) > PREEMPTED_SILENCE_MS
         && mm_time_ms_since(now, machine->last_seen_at) > PREEMPTED_SILENCE_MS;
}

gboolean
mm_autoscaler_machine_is_silent(MmAutoscaler *autoscaler, MmMachine *machine) {
  MmTime now = mm_node_now(autoscaler->node);

  /* A registered machine may have been sent starts, whatever it last reported. Until it is heard of
   * or proved gone, newly acquired shards can't start anything there: an idle one that is gone
   * would cost each of them a whole worker lease. */
  if (!machine->is_in_registry && (!machine->has_reported || machine->reported_tasks->len == 0))
    return FALSE;
  if (was_terminated_as_announced(machine, now))
    return TRUE;
  if (mm_time_ms_since(now, machine->last_seen_at) < heartbeat_overdue_ms(autoscaler)) {
    machine->unanswered_probes = 0;
    return FALSE;
  }
  if (autoscaler->n_silent
      > MAX(SILENT_TOGETHER_MIN, autoscaler->n_machines / SILENT_TOGETHER_DIVISOR))
    return FALSE;
  if (mm_time_ms_since(now, machine->last_seen_at) >= silence_patience_ms(autoscaler)
      && machine->unanswered_probes >= UNANSWERED_PROBES_MIN) {
    if (reaches_workers(autoscaler, machine))
      return TRUE;
    probe_last_seen_machine(autoscaler);
  }
  /* The node it reported to may have crashed and it may be about to report to another: then it
   * answers a probe. */
  probe_machine(autoscaler, machine);
  return FALSE;
}

/* ---- counting ---- */

static MmZoneSilence *
find_or_add_zone(MmAutoscaler *autoscaler, const MmName *zone) {
  MmZoneSilence fresh = { .zone = *zone };

  for (guint i = 0; i < autoscaler->zone_silences->len; i++)
    if (mm_name_equal(&g_array_index(autoscaler->zone_silences, MmZoneSilence, i).zone, zone))
      return &g_array_index(autoscaler->zone_silences, MmZoneSilence, i);
  g_array_append_val(autoscaler->zone_silences, fresh);
  return &g_array_index(autoscaler->zone_silences, MmZoneSilence,
                        autoscaler->zone_silences->len - 1);
}

static void
count_machine(MmAutoscaler *autoscaler, const MmMachine *machine, gboolean is_silent) {
  MmZoneSilence *zone = find_or_add_zone(autoscaler, &machine->zone);

  zone->n_machines++;
  zone->n_silent += is_silent;
  autoscaler->n_machines += !machine->lease_has_expired;
  autoscaler->n_silent += !machine->lease_has_expired && is_silent;
}

/* Machines that the cloud lists as running and that this node doesn't know: lost ones are removed
 * from the machine table once they are off the registry. */
static void
count_unknown_machines(MmAutoscaler *autoscaler) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmCloudMachine *cloud_machine = value;
    const MmMachine *machine
        = mm_machine_table_find(autoscaler->node->machine_table, cloud_machine->id.s);
    MmZoneSilence *zone;
    if (!cloud_machine->is_running || cloud_machine->is_releasing
        || (machine != NULL && (machine->has_reported || machine->is_in_registry)))
      continue;
    zone = find_or_add_zone(autoscaler, &cloud_machine->zone);
    zone->n_machines++;
    zone->n_silent++;
  }
}

void
mm_autoscaler_count_silent(MmAutoscaler *autoscaler) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;
  MmTime now = mm_node_now(autoscaler->node);
  /* Long before the patience ends: when it ends for the first of many that fell silent together,
   * the others must be counted already. */
  gint64 overdue_ms = heartbeat_overdue_ms(autoscaler);

  g_array_set_size(autoscaler->zone_silences, 0);
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

/* A zone most of whose machines are silent is cut off, rather than that all of them have ended:
 * they will be back, and renting as many anew takes longer than most such cuts last. */
gboolean
mm_autoscaler_zone_is_cut_off(MmAutoscaler *autoscaler, const MmName *zone_name) {
  const MmZoneSilence *silence = find_or_add_zone(autoscaler, zone_name);

  return silence->n_silent >= ZONE_CUT_OFF_MIN_SILENT
         && 2 * silence->n_silent > silence->n_machines;
}
