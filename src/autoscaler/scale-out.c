#include "autoscaler/scale-out.h"

#include "autoscaler/instance-types.h"
#include "autoscaler/silence.h"
#include "base/wire.h"
#include "leases/node-lease.h"
#include "placement/placement.h"

#define MAX_MACHINES_PER_REQUEST 50
#define REFUSAL_BACKOFF_MS 8000
#define REFUSAL_BACKOFF_MAX_MS 30000
#define REFUSAL_BACKOFF_MAX_DOUBLINGS 4
/* After a response other than "no capacity". */
#define FAILURE_BACKOFF_MS 1000
#define RENT_TIMEOUT_MS 5000
/* A rented machine that the cloud has not listed after so many of its delays will not come. */
#define UNLISTED_AFTER_LIST_DELAYS 3
#define MAX_SLOTS_PER_MACHINE 1000

typedef struct {
  MmAutoscaler *autoscaler;
  MmName type;
  MmName zone;
  gboolean is_spot;
  guint n_machines;
} RentRequest;

G_DEFINE_AUTOPTR_CLEANUP_FUNC(RentRequest, g_free)

static gint64
refusal_backoff_ms(const MmMachineOffer *offer, int status) {
  gboolean has_no_capacity = status == 503 || status == 200;

  if (!has_no_capacity)
    return FAILURE_BACKOFF_MS;
  return MIN(REFUSAL_BACKOFF_MS << MIN(offer->n_refusals, REFUSAL_BACKOFF_MAX_DOUBLINGS),
             REFUSAL_BACKOFF_MAX_MS);
}

static void
on_rent_response(gpointer data, int status, json_t *body) {
  g_autoptr(RentRequest) request = data;
  MmAutoscaler *autoscaler = request->autoscaler;
  MmMachineOffer *offer
      = mm_autoscaler_offer_for(autoscaler, &request->type, &request->zone, request->is_spot);
  MmTime now = mm_node_now(autoscaler->node);
  guint n_rented = mm_rent_response_count(body);

  autoscaler->rent_in_flight = FALSE;
  if (status == 200 && n_rented > 0) {
    mm_info("rented machines=%u requested=%u type=%s zone=%s spot=%d", n_rented,
            request->n_machines, request->type.s, request->zone.s, request->is_spot);
    offer->n_rented_unlisted += n_rented;
    offer->last_rented_at = now;
    offer->n_refusals = 0;
  }
  if (status != 200 || n_rented < request->n_machines) {
    offer->refused_until = mm_time_add_ms(now, refusal_backoff_ms(offer, status));
    offer->n_refusals++;
  }
}

static void
request_machines(MmAutoscaler *autoscaler, const MmName *type, const MmName *zone, gboolean is_spot,
                 guint n_wanted) {
  MmNode *node = autoscaler->node;
  guint n_machines = MIN(n_wanted, MAX_MACHINES_PER_REQUEST);
  /* Never used twice, neither by another node nor by another run of this one. */
  g_autofree char *request_id
      = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, node->settings->label.s,
                        node->node_lease->lease_id, ++autoscaler->n_rent_requests);
  g_autoptr(json_t) body = mm_rent_request_to_json(request_id, type, zone, is_spot, n_machines);
  RentRequest *request = g_new(RentRequest, 1);

  *request = (RentRequest){ autoscaler, *type, *zone, is_spot, n_machines };
  autoscaler->rent_in_flight = TRUE;
  node->platform.request(node->platform.context, MM_TARGET_CLOUD, NULL, "POST", WIRE_MACHINES_PATH,
                         body, RENT_TIMEOUT_MS, on_rent_response, request);
}

/* How many times `need` goes into `have`, at most `limit`; a need of nothing sets no limit. */
static guint
limit_slots(guint limit, double have, double need) {
  if (need <= 0)
    return limit;
  return MIN(limit, (guint)MAX(have / need + MM_RESOURCES_SLACK, 0));
}

/* How many of the job's tasks one such machine runs beside the accelerated work it is kept for. */
static guint
slots_per_machine(const MmPlacement *placement, const MmJob *job, const MmInstanceType *type) {
  MmResources need = job->spec.task_resources;
  MmResources free_resources = type->resources;
  guint n_slots = MAX_SLOTS_PER_MACHINE;

  if (free_resources.accelerators > 0 && need.accelerators <= 0
      && placement->has_seen_accelerated_work)
    free_resources = mm_resources_sub(
        free_resources, (MmResources){ placement->largest_accelerated_need.cores, 0,
                                       placement->largest_accelerated_need.memory_gb });
  n_slots = limit_slots(n_slots, free_resources.cores, need.cores);
  n_slots = limit_slots(n_slots, free_resources.accelerators, need.accelerators);
  return limit_slots(n_slots, free_resources.memory_gb, need.memory_gb);
}

/* Counts the machines that are arriving, by offer: rented and not listed, or listed and without a
 * heartbeat so far. */
static void
count_arriving(MmAutoscaler *autoscaler) {
  MmTime now = mm_node_now(autoscaler->node);
  double list_delay_s = MAX(autoscaler->node->settings->cloud_list_delay_s, 1);
  gint64 unlisted_limit_ms = (gint64)(1000 * UNLISTED_AFTER_LIST_DELAYS * list_delay_s);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < autoscaler->offers->len; i++) {
    MmMachineOffer *offer = &g_array_index(autoscaler->offers, MmMachineOffer, i);
    if (mm_time_ms_since(now, offer->last_rented_at) > unlisted_limit_ms)
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

/* A way to get slots for tasks of a job. */
typedef struct {
  const MmInstanceType *type;
  MmName zone;
  gboolean is_spot;
  guint n_slots; /* on each machine */
  double cost_per_slot;
} RentOption;

static gint
compare_by_cost(gconstpointer a, gconstpointer b) {
  const RentOption *x = a, *y = b;

  return x->cost_per_slot < y->cost_per_slot ? -1 : x->cost_per_slot > y->cost_per_slot;
}

/* The on-demand option and, where the job allows it, the spot one. */
static void
add_options_in_zone(GArray *options, const MmJob *job, const MmInstanceType *type,
                    const MmName *zone, guint n_slots) {
  RentOption on_demand = { type, *zone, FALSE, n_slots, type->on_demand_price / n_slots };
  RentOption spot = { type, *zone, TRUE, n_slots, type->spot_price / n_slots };

  g_array_append_val(options, on_demand);
  if (job->spec.allows_spot)
    g_array_append_val(options, spot);
}

/* What could be rented for the job's tasks, the cheapest slot first. */
static GArray *
rent_options_for(const MmNode *node, const MmJob *job) {
  GArray *options = g_array_new(FALSE, TRUE, sizeof(RentOption));

  for (guint i = 0; i < node->instance_types->types->len; i++) {
    const MmInstanceType *type = g_ptr_array_index(node->instance_types->types, i);
    guint n_slots = slots_per_machine(node->placement, job, type);
    if (n_slots == 0 || !mm_job_spec_allows_type(&job->spec, &type->name))
      continue;
    for (guint zone_index = 0; zone_index < type->zones->len; zone_index++) {
      const MmName *zone = &g_array_index(type->zones, MmName, zone_index);
      if (mm_name_is_empty(&job->spec.zone) || mm_name_equal(&job->spec.zone, zone))
        add_options_in_zone(options, job, type, zone, n_slots);
    }
  }
  g_array_sort(options, compare_by_cost);
  return options;
}

/* For a job whose tasks must all run in one zone: keeps the zone of the cheapest option that is not
 * refused now. */
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

/* Sets aside slots on the offer's arriving machines; returns for how many of the tasks. The table
 * holds how many are set aside in this round: index of the offer, plus one -> number of slots. */
static guint
reserve_arriving_slots(GHashTable *reserved_slots, const MmAutoscaler *autoscaler,
                       const MmMachineOffer *offer, guint slots_per_machine, guint n_tasks) {
  guint offer_index = (guint)(offer - (const MmMachineOffer *)autoscaler->offers->data);
  gpointer offer_key = GUINT_TO_POINTER(offer_index + 1);
  guint n_used = GPOINTER_TO_UINT(g_hash_table_lookup(reserved_slots, offer_key));
  guint n_arriving = offer->n_arriving * slots_per_machine;
  guint n_reserved = MIN(n_tasks, n_arriving > n_used ? n_arriving - n_used : 0);

  g_hash_table_insert(reserved_slots, offer_key, GUINT_TO_POINTER(n_used + n_reserved));
  return n_reserved;
}

/* The ranges are pairs of a task's number and a count of tasks. */
static guint
count_pending_tasks(const MmPendingTasks *pending) {
  guint n_tasks = 0;

  for (guint i = 1; i < pending->ranges->len; i += 2)
    n_tasks += g_array_index(pending->ranges, guint, i);
  return n_tasks;
}

/* Rents for the tasks that arriving machines don't cover. TRUE when a request was sent. */
static gboolean
rent_for_job(MmAutoscaler *autoscaler, const MmJob *job, guint n_tasks,
             GHashTable *reserved_slots) {
  MmTime now = mm_node_now(autoscaler->node);
  g_autoptr(GArray) options = rent_options_for(autoscaler->node, job);

  if (job->spec.requires_one_zone)
    keep_best_zone(autoscaler, options);
  for (guint i = 0; i < options->len && n_tasks > 0; i++) {
    const RentOption *option = &g_array_index(options, RentOption, i);
    const MmMachineOffer *offer
        = mm_autoscaler_offer_for(autoscaler, &option->type->name, &option->zone, option->is_spot);

    n_tasks -= reserve_arriving_slots(reserved_slots, autoscaler, offer, option->n_slots, n_tasks);
    if (n_tasks == 0 || mm_time_before(now, offer->refused_until)
        || mm_autoscaler_zone_is_cut_off(autoscaler, &option->zone))
      continue;
    request_machines(autoscaler, &option->type->name, &option->zone, option->is_spot,
                     (n_tasks + option->n_slots - 1) / option->n_slots);
    return TRUE;
  }
  return FALSE;
}

/* The operators' switch, as the number that all their values are. */
static gboolean
may_rent(const MmOperators *operators) {
  return operators->may_scale_out >= 0.5;
}

void
mm_autoscaler_scale_out(MmAutoscaler *autoscaler) {
  MmNode *node = autoscaler->node;
  const MmPlacement *placement = node->placement;
  g_autoptr(GHashTable) reserved_slots = g_hash_table_new(g_direct_hash, g_direct_equal);

  if (autoscaler->rent_in_flight || !autoscaler->has_machine_list || !may_rent(node->operators))
    return;
  count_arriving(autoscaler);
  for (guint view_index = 0; view_index < placement->n_views; view_index++) {
    const GPtrArray *pending_jobs = placement->views[view_index].pending;
    for (guint i = 0; i < pending_jobs->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(pending_jobs, i);
      const MmJob *job = mm_job_table_find(node->job_table, pending->job.s);
      if (job == NULL || job->is_cancelled)
        continue;
      if (rent_for_job(autoscaler, job, count_pending_tasks(pending), reserved_slots))
        return;
    }
  }
}
