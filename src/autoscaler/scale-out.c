/* Which machines are rented: what waits beyond what is coming, cheapest slot first. */
#include "autoscaler/autoscaler.h"

#include "base/wire.h"
#include "leases/node-lease.h"
#include "placement/placement.h"

#define MAX_MACHINES_PER_REQUEST 50
#define REFUSAL_BACKOFF_MS 8000
#define REFUSAL_BACKOFF_MAX_MS 30000

typedef struct {
  MmAutoscaler *autoscaler;
  MmName type;
  MmName zone;
  gboolean is_spot;
  guint count;
} RentRequest;

static void
on_rent_response(gpointer data, int status, json_t *body) {
  RentRequest *request = data;
  MmAutoscaler *autoscaler = request->autoscaler;
  MmMachineOffer *offer
      = mm_autoscaler_offer_for(autoscaler, &request->type, &request->zone, request->is_spot);
  MmTime now = mm_node_now(autoscaler->node);
  guint n_rented = (guint)json_array_size(mm_json_get(body, WIRE_MACHINES));

  autoscaler->rent_in_flight = FALSE;
  if (status == 200 && n_rented > 0) {
    mm_info("rented %u of %u %s in %s%s", n_rented, request->count, request->type.s,
            request->zone.s, request->is_spot ? ", spot" : "");
    offer->n_rented_unlisted += n_rented;
    offer->last_rented_at = now;
    offer->n_refusals = 0;
  }
  if (status != 200 || n_rented < request->count) {
    gint64 backoff_ms
        = status == 503 || status == 200
              ? MIN(REFUSAL_BACKOFF_MS << MIN(offer->n_refusals, 4), REFUSAL_BACKOFF_MAX_MS)
              : 1000;
    offer->n_refusals++;
    offer->refused_until = mm_time_add_ms(now, backoff_ms);
  }
  g_free(request);
}

static void
request_machines(MmAutoscaler *autoscaler, const MmInstanceType *type, const MmName *zone,
                 gboolean is_spot, guint count) {
  MmNode *node = autoscaler->node;
  /* Never used twice, not by another node nor by another life of this one. */
  g_autofree char *request_id
      = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, node->settings->label.s,
                        node->node_lease->lease_id, ++autoscaler->n_rent_requests);
  g_autoptr(json_t) body = json_pack(
      "{s:s, s:s, s:s, s:b, s:I}", WIRE_REQUEST, request_id, WIRE_TYPE, type->name.s, WIRE_ZONE,
      zone->s, WIRE_SPOT, is_spot, WIRE_COUNT, (json_int_t)MIN(count, MAX_MACHINES_PER_REQUEST));
  RentRequest *request = g_new(RentRequest, 1);

  *request = (RentRequest){ autoscaler, type->name, *zone, is_spot,
                            MIN(count, MAX_MACHINES_PER_REQUEST) };
  autoscaler->rent_in_flight = TRUE;
  node->platform.request(node->platform.context, MM_TARGET_CLOUD, NULL, "POST", WIRE_MACHINES_PATH,
                         body, 5000, on_rent_response, request);
}

/* How many of the job's tasks one such machine holds beside the work it is kept for. */
static guint
slots_per_machine(MmAutoscaler *autoscaler, const MmJob *job, const MmInstanceType *type) {
  const MmPlacement *placement = autoscaler->node->placement;
  MmResources free_resources = type->resources;
  guint n_slots = 1000;

  if (free_resources.accelerators > 0 && job->spec.task_resources.accelerators <= 0
      && placement->has_seen_accelerated_work)
    free_resources = mm_resources_sub(
        free_resources, (MmResources){ placement->largest_accelerated_need.cores, 0,
                                       placement->largest_accelerated_need.memory_gb });
  if (job->spec.task_resources.cores > 0)
    n_slots
        = MIN(n_slots, (guint)MAX(free_resources.cores / job->spec.task_resources.cores + 1e-6, 0));
  if (job->spec.task_resources.accelerators > 0)
    n_slots = MIN(
        n_slots,
        (guint)MAX(free_resources.accelerators / job->spec.task_resources.accelerators + 1e-6, 0));
  if (job->spec.task_resources.memory_gb > 0)
    n_slots
        = MIN(n_slots,
              (guint)MAX(free_resources.memory_gb / job->spec.task_resources.memory_gb + 1e-6, 0));
  return n_slots;
}

/* Machines on the way, by kind: listed but not heard, or rented and not listed. */
static void
count_arriving(MmAutoscaler *autoscaler) {
  MmTime now = mm_node_now(autoscaler->node);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < autoscaler->offers->len; i++) {
    MmMachineOffer *offer = &g_array_index(autoscaler->offers, MmMachineOffer, i);
    if (mm_time_ms_since(now, offer->last_rented_at)
        > (gint64)(3000 * MAX(autoscaler->node->settings->cloud_list_delay_s, 1)))
      offer->n_rented_unlisted = 0;
    offer->n_arriving = offer->n_rented_unlisted;
  }
  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmCloudMachine *cloud_machine = value;
    const MmMachine *machine
        = mm_machine_table_find(autoscaler->node->machine_table, cloud_machine->id.s);
    if (!cloud_machine->is_releasing && !cloud_machine->has_failed
        && (machine == NULL || !machine->has_reported)
        && mm_time_ms_since(now, cloud_machine->last_listed_at) < MM_AUTOSCALER_UNLISTED_GONE_MS)
      mm_autoscaler_offer_for(autoscaler, &cloud_machine->type, &cloud_machine->zone,
                              cloud_machine->is_spot)
          ->n_arriving++;
  }
}

typedef struct {
  const MmInstanceType *type;
  MmName zone;
  gboolean is_spot;
  guint n_slots;
  double cost_per_slot; /* of one slot */
} RentOption;

static gint
compare_by_cost(gconstpointer a, gconstpointer b) {
  const RentOption *x = a, *y = b;

  return x->cost_per_slot < y->cost_per_slot ? -1 : x->cost_per_slot > y->cost_per_slot;
}

static GArray *
rent_options_for(MmAutoscaler *autoscaler, const MmJob *job) {
  MmNode *node = autoscaler->node;
  GArray *options = g_array_new(FALSE, TRUE, sizeof(RentOption));

  for (guint i = 0; i < node->instance_types->types->len; i++) {
    const MmInstanceType *type = g_ptr_array_index(node->instance_types->types, i);
    if (!mm_job_spec_allows_type(&job->spec, &type->name))
      continue;
    for (guint zone_index = 0; zone_index < type->zones->len; zone_index++) {
      const MmName *zone = &g_array_index(type->zones, MmName, zone_index);
      if (!mm_name_is_empty(&job->spec.zone) && !mm_name_equal(&job->spec.zone, zone))
        continue;
      for (guint is_spot = 0; is_spot < 2; is_spot++) {
        RentOption option
            = { type, *zone, is_spot == 1, slots_per_machine(autoscaler, job, type), 0 };
        if ((is_spot && !job->spec.allows_spot) || option.n_slots == 0)
          continue;
        option.cost_per_slot
            = (is_spot ? type->spot_price : type->on_demand_price) / option.n_slots;
        g_array_append_val(options, option);
      }
    }
  }
  g_array_sort(options, compare_by_cost);
  return options;
}

/* For a job that must have all its tasks in one zone: only the zone of the best offer that is not
 * refused at the moment. */
static void
keep_best_zone(MmAutoscaler *autoscaler, GArray *options) {
  MmTime now = mm_node_now(autoscaler->node);
  MmName zone = { { 0 } };

  for (guint i = 0; i < options->len && mm_name_is_empty(&zone); i++) {
    const RentOption *option = &g_array_index(options, RentOption, i);
    if (!mm_time_before(now, mm_autoscaler_offer_for(autoscaler, &option->type->name, &option->zone,
                                                     option->is_spot)
                                 ->refused_until))
      zone = option->zone;
  }
  for (guint i = options->len; i > 0; i--)
    if (!mm_name_equal(&g_array_index(options, RentOption, i - 1).zone, &zone))
      g_array_remove_index(options, i - 1);
}

/* Waiting tasks of all owners against what is free and what is coming; the first kind of machine
 * that is short is rented, cheapest slot first. One request at a time. */
void
mm_autoscaler_scale_out(MmAutoscaler *autoscaler) {
  MmNode *node = autoscaler->node;
  MmPlacement *placement = node->placement;
  MmTime now = mm_node_now(node);
  g_autoptr(GHashTable) reserved_slots = g_hash_table_new(g_direct_hash, g_direct_equal);

  if (autoscaler->rent_in_flight || !autoscaler->has_machine_list
      || node->operators->may_scale_out < 0.5)
    return;
  count_arriving(autoscaler);
  for (guint view_index = 0; view_index < placement->n_views; view_index++) {
    for (guint i = 0; i < placement->views[view_index].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[view_index].pending, i);
      const MmJob *job = mm_job_table_find(node->job_table, pending->job.s);
      g_autoptr(GArray) options = NULL;
      guint n_tasks = 0;

      if (job == NULL || job->is_cancelled)
        continue;
      for (guint range_index = 1; range_index < pending->ranges->len; range_index += 2)
        n_tasks += g_array_index(pending->ranges, guint, range_index);
      options = rent_options_for(autoscaler, job);
      if (job->spec.requires_one_zone)
        keep_best_zone(autoscaler, options);
      for (guint option_index = 0; option_index < options->len && n_tasks > 0; option_index++) {
        const RentOption *option = &g_array_index(options, RentOption, option_index);
        MmMachineOffer *offer = mm_autoscaler_offer_for(autoscaler, &option->type->name,
                                                        &option->zone, option->is_spot);
        gpointer offer_key
            = GUINT_TO_POINTER((guint)(offer - (MmMachineOffer *)autoscaler->offers->data) + 1);
        guint n_used_slots = GPOINTER_TO_UINT(g_hash_table_lookup(reserved_slots, offer_key));
        guint n_arriving_slots = offer->n_arriving * option->n_slots;
        guint n_covered
            = MIN(n_tasks, n_arriving_slots > n_used_slots ? n_arriving_slots - n_used_slots : 0);

        g_hash_table_insert(reserved_slots, offer_key, GUINT_TO_POINTER(n_used_slots + n_covered));
        n_tasks -= n_covered;
        if (n_tasks == 0 || mm_time_before(now, offer->refused_until)
            || mm_autoscaler_zone_is_cut_off(autoscaler, &option->zone))
          continue;
        request_machines(autoscaler, option->type, &option->zone, option->is_spot,
                         (n_tasks + option->n_slots - 1) / option->n_slots);
        return;
      }
    }
  }
}
