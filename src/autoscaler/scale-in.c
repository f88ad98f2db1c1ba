/* Which machines are returned: what never came up, what is idle, and what is silent. */
#include "autoscaler/autoscaler.h"

#include "base/wire.h"
#include "peers/peer-broadcast.h"
#include "placement/placement.h"

#define MAX_RELEASES_PER_REQUEST 100
#define BOOT_PATIENCE_MIN_S 30

/* A report is overdue, and then questions go unanswered for as long again, at most a few seconds:
 * that is time for all of them, however rare reports are. */
#define HEARTBEAT_OVERDUE_PERIODS 1.25
#define HEARTBEAT_OVERDUE_MIN_S 1.75
#define PROBING_MAX_S 2.5
#define UNANSWERED_PROBES_MIN 3
#define PROBE_INTERVAL_MS 900
/* In half a second; each is a connection, and those to silent machines stay open until they fail.
 */
#define MAX_PROBES_PER_ROUND 16
#define ZONE_CUT_OFF_MIN_SILENT 4
/* After so many leases a lost machine is returned, or one of a zone that is cut off. */
#define RELEASE_LOST_AFTER_LEASES 2
#define RELEASE_CUT_OFF_AFTER_LEASES 20
#define RELEASE_MUTE_AFTER_LEASES 4
#define PREEMPTED_SILENCE_MS 1500
#define RELEASE_RETRY_MS 1500

typedef struct {
  MmAutoscaler *autoscaler;
  GPtrArray *machine_ids;
} ReleaseRequest;

static void
on_release_response(gpointer data, int status, json_t *body) {
  ReleaseRequest *request = data;
  MmAutoscaler *autoscaler = request->autoscaler;
  MmNode *node = autoscaler->node;

  autoscaler->release_in_flight = FALSE;
  if (status != 200)
    autoscaler->next_release_at = mm_time_add_ms(mm_node_now(node), RELEASE_RETRY_MS);
  for (guint i = 0; i < request->machine_ids->len; i++) {
    const char *id = g_ptr_array_index(request->machine_ids, i);
    MmCloudMachine *cloud_machine = g_hash_table_lookup(autoscaler->cloud_machines, id);
    MmMachine *machine = mm_machine_table_find(node->machine_table, id);

    if (cloud_machine != NULL)
      cloud_machine->is_releasing = status == 200;
    if (cloud_machine != NULL && status == 200) {
      /* Its place can be rented anew at once. */
      MmMachineOffer *offer = mm_autoscaler_offer_for(autoscaler, &cloud_machine->type,
                                                      &cloud_machine->zone, cloud_machine->is_spot);
      offer->refused_until.us = 0;
      offer->n_refusals = 0;
    }
    if (machine == NULL)
      continue;
    machine->is_being_terminated = status == 200;
    if (status != 200)
      continue;
    /* A 200 proves that the machine and all on it are gone. */
    mm_info("machine %s has been returned", id);
    mm_machine_table_record_termination(node->machine_table, id);
    mm_peer_broadcast_machine_gone(node->peer_links, id);
    if (!machine->is_in_registry)
      mm_machine_table_remove(node->machine_table, machine);
  }
  g_ptr_array_unref(request->machine_ids);
  g_free(request);
}

/* ---- silent machines ---- */

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
                         WIRE_STATUS_PATH, NULL, 1500, on_probe_response, autoscaler);
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

static gint64
silence_patience_ms(const MmAutoscaler *autoscaler) {
  gint64 overdue_limit_ms = heartbeat_overdue_ms(autoscaler);
  gint64 probing_ms = (gint64)(1000 * PROBING_MAX_S);

  return overdue_limit_ms
         + (autoscaler->node->operators->silent_release_s > 0 ? overdue_limit_ms
                                                              : MIN(overdue_limit_ms, probing_ms));
}

/* Whether this node reaches workers at all, as far as it can have seen since the machine was last
 * asked in vain. A node cut off from the workers got no answer from any, and once returned 80
 * healthy machines that reported to its peers a little late. */
static gboolean
reaches_workers(const MmAutoscaler *autoscaler, const MmMachine *machine) {
  return mm_time_before(machine->last_probed_at,
                        autoscaler->node->machine_table->last_worker_contact_at);
}

/* Where few machines report to this node, it may hear of none for long: it asks the one that was
 * heard of last, by whichever node. */
static void
probe_last_heard_machine(MmAutoscaler *autoscaler) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;
  MmMachine *last_heard = NULL;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (last_heard == NULL || mm_time_before(last_heard->last_seen_at, machine->last_seen_at))
      last_heard = machine;
  }
  if (last_heard != NULL)
    probe_machine(autoscaler, last_heard);
}

/* A machine that neither reports nor answers while the others do: its lease would prove its tasks
 * gone only at its end, the cloud proves it at once. Not when many are silent together: then the
 * trouble is hardly with the machines. */
static gboolean
is_machine_silent(MmAutoscaler *autoscaler, MmMachine *machine) {
  MmTime now = mm_node_now(autoscaler->node);
  gint64 patience_ms = silence_patience_ms(autoscaler);

  /* One that is registered may have been started on, whatever it showed last: until it is heard or
   * proved gone, the parts taken anew stand still. Idle ones that were taken once cost each of them
   * a whole lease. */
  if (!machine->is_in_registry && (!machine->has_reported || machine->reported_tasks->len == 0))
    return FALSE;
  /* Its notice has run out: the cloud is asked to say at once that it is gone. */
  if (machine->has_termination_notice
      && mm_time_ms_since(now, machine->termination_at) > PREEMPTED_SILENCE_MS
      && mm_time_ms_since(now, machine->last_seen_at) > PREEMPTED_SILENCE_MS)
    return TRUE;
  if (mm_time_ms_since(now, machine->last_seen_at) < heartbeat_overdue_ms(autoscaler)) {
    machine->unanswered_probes = 0;
    return FALSE;
  }
  if (autoscaler->n_silent > MAX(2, autoscaler->n_machines / 8))
    return FALSE;
  if (mm_time_ms_since(now, machine->last_seen_at) >= patience_ms
      && machine->unanswered_probes >= UNANSWERED_PROBES_MIN) {
    if (reaches_workers(autoscaler, machine))
      return TRUE;
    probe_last_heard_machine(autoscaler);
  }
  /* Its node may have crashed and it may be on its way to another: then it answers directly. */
  probe_machine(autoscaler, machine);
  return FALSE;
}

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

void
mm_autoscaler_count_silent(MmAutoscaler *autoscaler) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;
  MmTime now = mm_node_now(autoscaler->node);
  /* Long before the patience ends: when the first of many that fell silent together is given up on,
   * the others must count already. */
  gint64 overdue_limit_ms = heartbeat_overdue_ms(autoscaler);
  GHashTableIter iter;
  gpointer value;

  g_array_set_size(autoscaler->zone_silences, 0);
  autoscaler->n_machines = autoscaler->n_silent = 0;
  autoscaler->probes_left = MAX_PROBES_PER_ROUND;
  for (guint i = 0; i < machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machines, i);
    gboolean is_silent = mm_time_ms_since(now, machine->last_seen_at) >= overdue_limit_ms;
    MmZoneSilence *zone;
    if (!(machine->has_reported || machine->is_in_registry) || machine->is_terminated)
      continue;
    zone = find_or_add_zone(autoscaler, &machine->zone);
    zone->n_machines++;
    zone->n_silent += is_silent;
    autoscaler->n_machines += !machine->lease_has_expired;
    autoscaler->n_silent += !machine->lease_has_expired && is_silent;
  }
  /* Those that run and are not known: lost ones are forgotten once they are off the register. */
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

/* A zone most of whose machines are silent is cut off, rather than that they all have ended: they
 * will be back, and renting as many anew takes longer than most cuts last. */
gboolean
mm_autoscaler_zone_is_cut_off(MmAutoscaler *autoscaler, const MmName *zone_name) {
  const MmZoneSilence *silence = find_or_add_zone(autoscaler, zone_name);

  return silence->n_silent >= ZONE_CUT_OFF_MIN_SILENT
         && 2 * silence->n_silent > silence->n_machines;
}

static gboolean
should_release(MmAutoscaler *autoscaler, MmCloudMachine *cloud_machine) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  MmMachine *machine = mm_machine_table_find(node->machine_table, cloud_machine->id.s);
  const MmInstanceType *type = mm_instance_types_find(node->instance_types, &cloud_machine->type);
  double patience_s
      = type != NULL ? MAX(type->boot_s * node->operators->boot_timeout_factor, BOOT_PATIENCE_MIN_S)
                     : 600;
  gint64 listed_for_ms = mm_time_ms_since(now, cloud_machine->first_listed_at);

  if (cloud_machine->has_failed)
    return TRUE;
  if (machine == NULL || (!machine->has_reported && !machine->is_in_registry))
    /* Never came up, or is up and never reported. */
    return cloud_machine->age_when_listed_s > patience_s
           && (!cloud_machine->is_running
               || listed_for_ms
                      > 1000 * (gint64)node->settings->worker_lease_s
                            * (mm_autoscaler_zone_is_cut_off(autoscaler, &cloud_machine->zone)
                                   ? RELEASE_CUT_OFF_AFTER_LEASES
                                   : RELEASE_MUTE_AFTER_LEASES));
  if (machine->lease_has_expired)
    return mm_time_ms_since(now, machine->last_seen_at)
           > 1000 * (gint64)node->settings->worker_lease_s
                 * (mm_autoscaler_zone_is_cut_off(autoscaler, &machine->zone)
                        ? RELEASE_CUT_OFF_AFTER_LEASES
                        : RELEASE_LOST_AFTER_LEASES);
  if (is_machine_silent(autoscaler, machine))
    return TRUE;
  /* Idle, with nothing waiting anywhere. */
  if (machine->reported_tasks->len == 0 && machine->placed_tasks->len == 0
      && mm_time_ms_since(now, machine->idle_since)
             > (gint64)(node->operators->idle_release_s * 1000)) {
    for (guint view_index = 0; view_index < node->placement->n_views; view_index++)
      if (node->placement->views[view_index].n_pending_tasks > 0)
        return FALSE;
    return TRUE;
  }
  return FALSE;
}

/* A registered machine that is silent and not on the list has been taken: the cloud, asked to
 * return it, says at once that it is gone. Waiting out its lease instead kept parts that were taken
 * anew from starting anything for all that time. */
static void
add_silent_unlisted(MmAutoscaler *autoscaler, GPtrArray *machine_ids, json_t *json_ids) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len && machine_ids->len < MAX_RELEASES_PER_REQUEST; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired || machine->is_being_terminated
        || !autoscaler->has_machine_list
        || g_hash_table_contains(autoscaler->cloud_machines, machine->id.s)
        || !is_machine_silent(autoscaler, machine))
      continue;
    mm_info("returning machine %s, which the cloud does not list", machine->id.s);
    machine->is_being_terminated = TRUE;
    g_ptr_array_add(machine_ids, g_strdup(machine->id.s));
    json_array_append_new(json_ids, json_string(machine->id.s));
  }
}

void
mm_autoscaler_scale_in(MmAutoscaler *autoscaler) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  ReleaseRequest *request;
  GHashTableIter iter;
  gpointer value;
  json_t *json_ids;

  if (autoscaler->release_in_flight || mm_time_before(now, autoscaler->next_release_at))
    return;
  json_ids = json_array();
  request = g_new(ReleaseRequest, 1);
  *request = (ReleaseRequest){ autoscaler, g_ptr_array_new_with_free_func(g_free) };
  add_silent_unlisted(autoscaler, request->machine_ids, json_ids);
  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmCloudMachine *cloud_machine = value;
    MmMachine *machine = mm_machine_table_find(node->machine_table, cloud_machine->id.s);
    if (mm_time_ms_since(now, cloud_machine->last_listed_at) > MM_AUTOSCALER_UNLISTED_GONE_MS) {
      /* Gone from the list for long: taken or returned. */
      if (machine == NULL || machine->lease_has_expired || cloud_machine->is_releasing)
        g_hash_table_iter_remove(&iter);
      continue;
    }
    if (cloud_machine->is_releasing || request->machine_ids->len >= MAX_RELEASES_PER_REQUEST
        || !should_release(autoscaler, cloud_machine))
      continue;
    mm_info("returning machine %s (%s, %.0f s old)", cloud_machine->id.s,
            cloud_machine->has_failed ? "failed"
            : machine == NULL         ? "never came up"
                                      : "not needed or silent",
            cloud_machine->age_when_listed_s);
    cloud_machine->is_releasing = TRUE;
    if (machine != NULL)
      machine->is_being_terminated = TRUE;
    g_ptr_array_add(request->machine_ids, g_strdup(cloud_machine->id.s));
    json_array_append_new(json_ids, json_string(cloud_machine->id.s));
  }
  if (request->machine_ids->len > 0) {
    g_autoptr(json_t) body = json_pack("{s:o}", WIRE_MACHINES, json_ids);
    autoscaler->release_in_flight = TRUE;
    node->platform.request(node->platform.context, MM_TARGET_CLOUD, NULL, "POST", WIRE_RELEASE_PATH,
                           body, 5000, on_release_response, request);
    return;
  }
  json_decref(json_ids);
  g_ptr_array_unref(request->machine_ids);
  g_free(request);
}
