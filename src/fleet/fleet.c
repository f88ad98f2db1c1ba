#include "fleet/fleet.h"

#include "base/wire.h"
#include "checkin/registry.h"
#include "parts/claims.h"

#define PLAN_EVERY_MS 500
#define LIST_PAGE 500

static void list(MmFleet *autoscaler, const char *after_id);

MmFleet *
mm_fleet_new(MmNode *node) {
  MmFleet *autoscaler = g_new0(MmFleet, 1);

  autoscaler->node = node;
  autoscaler->listed = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  autoscaler->zones = g_array_new(FALSE, TRUE, sizeof(MmZoneQuiet));
  autoscaler->offers = g_array_new(FALSE, TRUE, sizeof(MmOffer));
  return autoscaler;
}

void
mm_fleet_free(MmFleet *autoscaler) {
  g_hash_table_unref(autoscaler->listed);
  g_array_unref(autoscaler->offers);
  g_array_unref(autoscaler->zones);
  g_free(autoscaler);
}

/* ---- the list ---- */

MmOffer *
mm_fleet_offer_for(MmFleet *autoscaler, const MmName *type, const MmName *zone, gboolean is_spot) {
  MmOffer fresh = { .type = *type, .zone = *zone, .spot = is_spot };

  for (guint i = 0; i < autoscaler->offers->len; i++) {
    MmOffer *known = &g_array_index(autoscaler->offers, MmOffer, i);
    if (mm_name_equal(&known->type, type) && mm_name_equal(&known->zone, zone)
        && known->spot == is_spot)
      return known;
  }
  g_array_append_val(autoscaler->offers, fresh);
  return &g_array_index(autoscaler->offers, MmOffer, autoscaler->offers->len - 1);
}

static void
take_listed(MmFleet *autoscaler, const json_t *item) {
  MmTime now = mm_node_now(autoscaler->node);
  const char *id = mm_json_string(item, WIRE_JOB_ID);
  const char *state = mm_json_string(item, WIRE_STATE);
  MmListed *cloud_machine;

  if (id == NULL || id[0] == '\0' || strlen(id) > MM_NAME_MAX)
    return;
  cloud_machine = g_hash_table_lookup(autoscaler->listed, id);
  if (cloud_machine == NULL) {
    MmOffer *offer;
    cloud_machine = g_new0(MmListed, 1);
    cloud_machine->id = mm_name(id);
    cloud_machine->type = mm_name(mm_json_string(item, WIRE_TYPE));
    cloud_machine->zone = mm_name(mm_json_string(item, WIRE_ZONE));
    cloud_machine->spot = mm_json_flag(item, WIRE_SPOT);
    cloud_machine->first = now;
    g_hash_table_insert(autoscaler->listed, cloud_machine->id.s, cloud_machine);
    offer = mm_fleet_offer_for(autoscaler, &cloud_machine->type, &cloud_machine->zone,
                               cloud_machine->spot);
    offer->asked -= offer->asked > 0;
  }
  cloud_machine->running = g_strcmp0(state, WIRE_RUNNING) == 0;
  cloud_machine->failed = g_strcmp0(state, WIRE_FAILED) == 0;
  cloud_machine->age_s = mm_json_number(item, WIRE_AGE, 0);
  cloud_machine->listed = now;
}

static void
listed_answered(gpointer data, int status, json_t *body) {
  MmFleet *autoscaler = data;
  const json_t *items = mm_json_get(body, WIRE_MACHINES);
  MmTime now = mm_node_now(autoscaler->node);
  double list_lag_s = MAX(autoscaler->node->settings->cloud_list_delay_s, 1);
  size_t i;
  json_t *item;
  const char *last_id = NULL;

  autoscaler->listing = FALSE;
  autoscaler->next_list = mm_time_add_ms(now, (gint64)(list_lag_s * 1000 / 2));
  if (status != 200 || !json_is_array(items)) {
    mm_info("no machine list from the cloud: status %d", status);
    return;
  }
  json_array_foreach(items, i, item) {
    take_listed(autoscaler, item);
    last_id = mm_json_string(item, WIRE_JOB_ID);
  }
  if (mm_json_flag(body, WIRE_MORE) && last_id != NULL) {
    list(autoscaler, last_id);
    return;
  }
  autoscaler->list_known = TRUE;
}

static void
list(MmFleet *autoscaler, const char *after_id) {
  g_autofree char *path = g_strdup_printf(
      WIRE_MACHINES_PATH "?%s%s%s" WIRE_LIMIT "=%d", after_id != NULL ? WIRE_AFTER "=" : "",
      after_id != NULL ? after_id : "", after_id != NULL ? "&" : "", LIST_PAGE);

  autoscaler->listing = TRUE;
  autoscaler->node->port.request(autoscaler->node->port.self, MM_TARGET_CLOUD, NULL, "GET", path,
                                 NULL, 3000, listed_answered, autoscaler);
}

void
mm_fleet_tick(MmFleet *autoscaler) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  gboolean is_active = mm_node_lease_is_valid(node->node_lease)
                       && mm_shard_ownership_leads(node->node_lease, MM_SHARD_AUTOSCALER);

  if (is_active != autoscaler->active) {
    autoscaler->active = is_active;
    autoscaler->list_known = FALSE;
    g_hash_table_remove_all(autoscaler->listed);
    mm_info("the fleet is %s", is_active ? "held here" : "no longer held here");
  }
  if (!is_active || !mm_types_known(node->types))
    return;
  if (!autoscaler->listing && !mm_time_before(now, autoscaler->next_list))
    list(autoscaler, NULL);
  if (mm_time_before(now, autoscaler->next_plan))
    return;
  autoscaler->next_plan = mm_time_add_ms(now, PLAN_EVERY_MS);
  mm_fleet_count_quiet(autoscaler);
  mm_fleet_return_machines(autoscaler);
  /* A lost machine stays on the register for nobody: after the next taking of a part it would have
   * to be proved lost once more before its tasks, or any others, could be given out. */
  mm_registry_remove_ended_machines(node->registry);
  mm_fleet_rent(autoscaler);
}
