#include "autoscaler/autoscaler.h"

#include "base/wire.h"
#include "machines/registry.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"

#define PLAN_INTERVAL_MS 500
#define LIST_PAGE_SIZE 500

static void request_machine_list(MmAutoscaler *autoscaler, const char *after_id);

MmAutoscaler *
mm_autoscaler_new(MmNode *node) {
  MmAutoscaler *autoscaler = g_new0(MmAutoscaler, 1);

  autoscaler->node = node;
  autoscaler->cloud_machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  autoscaler->zone_silences = g_array_new(FALSE, TRUE, sizeof(MmZoneSilence));
  autoscaler->offers = g_array_new(FALSE, TRUE, sizeof(MmMachineOffer));
  return autoscaler;
}

void
mm_autoscaler_free(MmAutoscaler *autoscaler) {
  g_hash_table_unref(autoscaler->cloud_machines);
  g_array_unref(autoscaler->offers);
  g_array_unref(autoscaler->zone_silences);
  g_free(autoscaler);
}

/* ---- the list ---- */

MmMachineOffer *
mm_autoscaler_offer_for(MmAutoscaler *autoscaler, const MmName *type, const MmName *zone,
                        gboolean is_spot) {
  MmMachineOffer fresh = { .type = *type, .zone = *zone, .is_spot = is_spot };

  for (guint i = 0; i < autoscaler->offers->len; i++) {
    MmMachineOffer *known = &g_array_index(autoscaler->offers, MmMachineOffer, i);
    if (mm_name_equal(&known->type, type) && mm_name_equal(&known->zone, zone)
        && known->is_spot == is_spot)
      return known;
  }
  g_array_append_val(autoscaler->offers, fresh);
  return &g_array_index(autoscaler->offers, MmMachineOffer, autoscaler->offers->len - 1);
}

static void
update_cloud_machine(MmAutoscaler *autoscaler, const json_t *item) {
  MmTime now = mm_node_now(autoscaler->node);
  const char *id = mm_json_string(item, WIRE_JOB_ID);
  const char *state = mm_json_string(item, WIRE_STATE);
  MmCloudMachine *cloud_machine;

  if (id == NULL || id[0] == '\0' || strlen(id) > MM_NAME_MAX)
    return;
  cloud_machine = g_hash_table_lookup(autoscaler->cloud_machines, id);
  if (cloud_machine == NULL) {
    MmMachineOffer *offer;
    cloud_machine = g_new0(MmCloudMachine, 1);
    cloud_machine->id = mm_name(id);
    cloud_machine->type = mm_name(mm_json_string(item, WIRE_TYPE));
    cloud_machine->zone = mm_name(mm_json_string(item, WIRE_ZONE));
    cloud_machine->is_spot = mm_json_flag(item, WIRE_SPOT);
    cloud_machine->first_listed_at = now;
    g_hash_table_insert(autoscaler->cloud_machines, cloud_machine->id.s, cloud_machine);
    offer = mm_autoscaler_offer_for(autoscaler, &cloud_machine->type, &cloud_machine->zone,
                                    cloud_machine->is_spot);
    offer->n_rented_unlisted -= offer->n_rented_unlisted > 0;
  }
  cloud_machine->is_running = g_strcmp0(state, WIRE_RUNNING) == 0;
  cloud_machine->has_failed = g_strcmp0(state, WIRE_FAILED) == 0;
  cloud_machine->age_when_listed_s = mm_json_number(item, WIRE_AGE, 0);
  cloud_machine->last_listed_at = now;
}

static void
on_machine_list(gpointer data, int status, json_t *body) {
  MmAutoscaler *autoscaler = data;
  const json_t *items = mm_json_get(body, WIRE_MACHINES);
  MmTime now = mm_node_now(autoscaler->node);
  double list_lag_s = MAX(autoscaler->node->settings->cloud_list_delay_s, 1);
  size_t i;
  json_t *item;
  const char *last_id = NULL;

  autoscaler->list_in_flight = FALSE;
  autoscaler->next_list_at = mm_time_add_ms(now, (gint64)(list_lag_s * 1000 / 2));
  if (status != 200 || !json_is_array(items)) {
    mm_info("no machine list from the cloud: status %d", status);
    return;
  }
  json_array_foreach(items, i, item) {
    update_cloud_machine(autoscaler, item);
    last_id = mm_json_string(item, WIRE_JOB_ID);
  }
  if (mm_json_flag(body, WIRE_MORE) && last_id != NULL) {
    request_machine_list(autoscaler, last_id);
    return;
  }
  autoscaler->has_machine_list = TRUE;
}

static void
request_machine_list(MmAutoscaler *autoscaler, const char *after_id) {
  g_autofree char *path = g_strdup_printf(
      WIRE_MACHINES_PATH "?%s%s%s" WIRE_LIMIT "=%d", after_id != NULL ? WIRE_AFTER "=" : "",
      after_id != NULL ? after_id : "", after_id != NULL ? "&" : "", LIST_PAGE_SIZE);

  autoscaler->list_in_flight = TRUE;
  autoscaler->node->platform.request(autoscaler->node->platform.context, MM_TARGET_CLOUD, NULL,
                                     "GET", path, NULL, 3000, on_machine_list, autoscaler);
}

void
mm_autoscaler_tick(MmAutoscaler *autoscaler) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  gboolean is_active = mm_node_lease_is_valid(node->node_lease)
                       && mm_shard_ownership_leads(node->shard_ownership, MM_SHARD_AUTOSCALER);

  if (is_active != autoscaler->is_active) {
    autoscaler->is_active = is_active;
    autoscaler->has_machine_list = FALSE;
    g_hash_table_remove_all(autoscaler->cloud_machines);
    mm_info("the fleet is %s", is_active ? "held here" : "no longer held here");
  }
  if (!is_active || !mm_instance_types_are_known(node->instance_types))
    return;
  if (!autoscaler->list_in_flight && !mm_time_before(now, autoscaler->next_list_at))
    request_machine_list(autoscaler, NULL);
  if (mm_time_before(now, autoscaler->next_plan_at))
    return;
  autoscaler->next_plan_at = mm_time_add_ms(now, PLAN_INTERVAL_MS);
  mm_autoscaler_count_silent(autoscaler);
  mm_autoscaler_scale_in(autoscaler);
  /* A lost machine stays on the register for nobody: after the next taking of a part it would have
   * to be proved lost once more before its tasks, or any others, could be given out. */
  mm_registry_remove_ended_machines(node->registry);
  mm_autoscaler_scale_out(autoscaler);
}
