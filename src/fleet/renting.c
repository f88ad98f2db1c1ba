/* Which machines are rented: what waits beyond what is coming, cheapest slot first. */
#include "fleet/fleet.h"

#include "base/wire.h"
#include "parts/claims.h"
#include "rank/rank.h"

#define RENT_MAX 50
#define REFUSED_MS 8000
#define REFUSED_MOST_MS 30000

typedef struct {
  MmFleet *fleet;
  MmName type;
  MmName zone;
  gboolean spot;
  guint count;
} Rent;

static void
rent_answered(gpointer data, int status, json_t *body) {
  Rent *request = data;
  MmFleet *autoscaler = request->fleet;
  MmOffer *offer = mm_fleet_offer_for(autoscaler, &request->type, &request->zone, request->spot);
  MmTime now = mm_node_now(autoscaler->node);
  guint n_rented = (guint)json_array_size(mm_json_get(body, WIRE_MACHINES));

  autoscaler->renting = FALSE;
  if (status == 200 && n_rented > 0) {
    mm_info("rented %u of %u %s in %s%s", n_rented, request->count, request->type.s,
            request->zone.s, request->spot ? ", spot" : "");
    offer->asked += n_rented;
    offer->asked_at = now;
    offer->refusals = 0;
  }
  if (status != 200 || n_rented < request->count) {
    gint64 backoff_ms = status == 503 || status == 200
                            ? MIN(REFUSED_MS << MIN(offer->refusals, 4), REFUSED_MOST_MS)
                            : 1000;
    offer->refusals++;
    offer->until = mm_time_add_ms(now, backoff_ms);
  }
  g_free(request);
}

static void
rent(MmFleet *autoscaler, const MmType *type, const MmName *zone, gboolean is_spot, guint count) {
  MmNode *node = autoscaler->node;
  /* Never used twice, not by another node nor by another life of this one. */
  g_autofree char *request_id
      = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, node->settings->label.s,
                        node->node_lease->lease_id, ++autoscaler->requests);
  g_autoptr(json_t) body = json_pack("{s:s, s:s, s:s, s:b, s:I}", WIRE_REQUEST, request_id,
                                     WIRE_TYPE, type->name.s, WIRE_ZONE, zone->s, WIRE_SPOT,
                                     is_spot, WIRE_COUNT, (json_int_t)MIN(count, RENT_MAX));
  Rent *request = g_new(Rent, 1);

  *request = (Rent){ autoscaler, type->name, *zone, is_spot, MIN(count, RENT_MAX) };
  autoscaler->renting = TRUE;
  node->port.request(node->port.self, MM_TARGET_CLOUD, NULL, "POST", WIRE_MACHINES_PATH, body, 5000,
                     rent_answered, request);
}

/* How many of the job's tasks one such machine holds beside the work it is kept for. */
static guint
slots(MmFleet *autoscaler, const MmJob *job, const MmType *type) {
  const MmPlacement *placement = autoscaler->node->rank;
  MmResources free_resources = type->room;
  guint n_slots = 1000;

  if (free_resources.accelerators > 0 && job->spec.need.accelerators <= 0
      && placement->has_seen_accelerated_work)
    free_resources = mm_resources_sub(
        free_resources, (MmResources){ placement->largest_accelerated_need.cores, 0,
                                       placement->largest_accelerated_need.memory_gb });
  if (job->spec.need.cores > 0)
    n_slots = MIN(n_slots, (guint)MAX(free_resources.cores / job->spec.need.cores + 1e-6, 0));
  if (job->spec.need.accelerators > 0)
    n_slots = MIN(n_slots,
                  (guint)MAX(free_resources.accelerators / job->spec.need.accelerators + 1e-6, 0));
  if (job->spec.need.memory_gb > 0)
    n_slots
        = MIN(n_slots, (guint)MAX(free_resources.memory_gb / job->spec.need.memory_gb + 1e-6, 0));
  return n_slots;
}

/* Machines on the way, by kind: listed but not heard, or rented and not listed. */
static void
count_coming(MmFleet *autoscaler) {
  MmTime now = mm_node_now(autoscaler->node);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < autoscaler->offers->len; i++) {
    MmOffer *offer = &g_array_index(autoscaler->offers, MmOffer, i);
    if (mm_time_ms_since(now, offer->asked_at)
        > (gint64)(3000 * MAX(autoscaler->node->settings->cloud_list_delay_s, 1)))
      offer->asked = 0;
    offer->coming = offer->asked;
  }
  g_hash_table_iter_init(&iter, autoscaler->listed);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmListed *cloud_machine = value;
    const MmMachine *machine
        = mm_machine_table_find(autoscaler->node->machine_table, cloud_machine->id.s);
    if (!cloud_machine->releasing && !cloud_machine->failed
        && (machine == NULL || !machine->has_reported)
        && mm_time_ms_since(now, cloud_machine->listed) < MM_FLEET_UNLISTED_MS)
      mm_fleet_offer_for(autoscaler, &cloud_machine->type, &cloud_machine->zone,
                         cloud_machine->spot)
          ->coming++;
  }
}

typedef struct {
  const MmType *type;
  MmName zone;
  gboolean spot;
  guint slots;
  double cost; /* of one slot */
} Option;

static gint
cheaper_first(gconstpointer a, gconstpointer b) {
  const Option *x = a, *y = b;

  return x->cost < y->cost ? -1 : x->cost > y->cost;
}

static GArray *
options_for(MmFleet *autoscaler, const MmJob *job) {
  MmNode *node = autoscaler->node;
  GArray *options = g_array_new(FALSE, TRUE, sizeof(Option));

  for (guint i = 0; i < node->types->types->len; i++) {
    const MmType *type = g_ptr_array_index(node->types->types, i);
    if (!mm_spec_allows_type(&job->spec, &type->name))
      continue;
    for (guint zone_index = 0; zone_index < type->zones->len; zone_index++) {
      const MmName *zone = &g_array_index(type->zones, MmName, zone_index);
      if (!mm_name_is_empty(&job->spec.zone) && !mm_name_equal(&job->spec.zone, zone))
        continue;
      for (guint is_spot = 0; is_spot < 2; is_spot++) {
        Option option = { type, *zone, is_spot == 1, slots(autoscaler, job, type), 0 };
        if ((is_spot && !job->spec.spot) || option.slots == 0)
          continue;
        option.cost = (is_spot ? type->spot_price : type->price) / option.slots;
        g_array_append_val(options, option);
      }
    }
  }
  g_array_sort(options, cheaper_first);
  return options;
}

/* For a job that must have all its tasks in one zone: only the zone of the best offer that is not
 * refused at the moment. */
static void
keep_one_zone(MmFleet *autoscaler, GArray *options) {
  MmTime now = mm_node_now(autoscaler->node);
  MmName zone = { { 0 } };

  for (guint i = 0; i < options->len && mm_name_is_empty(&zone); i++) {
    const Option *option = &g_array_index(options, Option, i);
    if (!mm_time_before(
            now, mm_fleet_offer_for(autoscaler, &option->type->name, &option->zone, option->spot)
                     ->until))
      zone = option->zone;
  }
  for (guint i = options->len; i > 0; i--)
    if (!mm_name_equal(&g_array_index(options, Option, i - 1).zone, &zone))
      g_array_remove_index(options, i - 1);
}

/* Waiting tasks of all owners against what is free and what is coming; the first kind of machine
 * that is short is rented, cheapest slot first. One request at a time. */
void
mm_fleet_rent(MmFleet *autoscaler) {
  MmNode *node = autoscaler->node;
  MmPlacement *placement = node->rank;
  MmTime now = mm_node_now(node);
  g_autoptr(GHashTable) reserved_slots = g_hash_table_new(g_direct_hash, g_direct_equal);

  if (autoscaler->renting || !autoscaler->list_known || node->operators->rent < 0.5)
    return;
  count_coming(autoscaler);
  for (guint view_index = 0; view_index < placement->n_views; view_index++) {
    for (guint i = 0; i < placement->views[view_index].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[view_index].pending, i);
      const MmJob *job = mm_job_table_find(node->job_table, pending->job.s);
      g_autoptr(GArray) options = NULL;
      guint n_tasks = 0;

      if (job == NULL || job->cancelled)
        continue;
      for (guint range_index = 1; range_index < pending->ranges->len; range_index += 2)
        n_tasks += g_array_index(pending->ranges, guint, range_index);
      options = options_for(autoscaler, job);
      if (job->spec.one_zone)
        keep_one_zone(autoscaler, options);
      for (guint option_index = 0; option_index < options->len && n_tasks > 0; option_index++) {
        const Option *option = &g_array_index(options, Option, option_index);
        MmOffer *offer
            = mm_fleet_offer_for(autoscaler, &option->type->name, &option->zone, option->spot);
        gpointer offer_key
            = GUINT_TO_POINTER((guint)(offer - (MmOffer *)autoscaler->offers->data) + 1);
        guint n_used_slots = GPOINTER_TO_UINT(g_hash_table_lookup(reserved_slots, offer_key));
        guint n_arriving_slots = offer->coming * option->slots;
        guint n_covered
            = MIN(n_tasks, n_arriving_slots > n_used_slots ? n_arriving_slots - n_used_slots : 0);

        g_hash_table_insert(reserved_slots, offer_key, GUINT_TO_POINTER(n_used_slots + n_covered));
        n_tasks -= n_covered;
        if (n_tasks == 0 || mm_time_before(now, offer->until)
            || mm_fleet_zone_is_cut(autoscaler, &option->zone))
          continue;
        rent(autoscaler, option->type, &option->zone, option->spot,
             (n_tasks + option->slots - 1) / option->slots);
        return;
      }
    }
  }
}
