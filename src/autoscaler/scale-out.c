#include "autoscaler/scale-out.h"

#include "autoscaler/instance-types.h"
#include "autoscaler/silence.h"
#include "base/wire.h"
#include "leases/node-lease.h"
#include "machines/task-slots.h"
#include "placement/placement.h"

#define MAX_MACHINES_PER_REQUEST 50
/* Exponential backoff of a capacity pool after launch requests that launched too few machines. */
#define NO_CAPACITY_BACKOFF_MS 8000
#define NO_CAPACITY_BACKOFF_MAX_MS 30000
#define NO_CAPACITY_BACKOFF_MAX_DOUBLINGS 4
/* Backoff after any other failure of a launch request. */
#define FAILURE_BACKOFF_MS 1000
#define LAUNCH_TIMEOUT_MS 5000
/* In multiples of the cloud's list delay: a launched machine that is still not in the list after
 * this time is no longer expected to appear there. */
#define UNLISTED_LAUNCH_TIMEOUT_LIST_DELAYS 3

typedef struct {
  MmAutoscaler *autoscaler;
  MmName type;
  MmName zone;
  gboolean is_spot;
  guint n_machines;
} LaunchRequest;

G_DEFINE_AUTOPTR_CLEANUP_FUNC(LaunchRequest, g_free)

/* Returns the backoff after a launch request that failed with this HTTP status. Status 503, or
 * status 200 with too few machines, means that the pool has no capacity left. */
static gint64
backoff_ms(const MmCapacityPool *pool, int status) {
  gboolean has_no_capacity = status == 503 || status == 200;

  if (!has_no_capacity)
    return FAILURE_BACKOFF_MS;
  return MIN(NO_CAPACITY_BACKOFF_MS
                 << MIN(pool->n_consecutive_failures, NO_CAPACITY_BACKOFF_MAX_DOUBLINGS),
             NO_CAPACITY_BACKOFF_MAX_MS);
}

static void
on_launch_response(gpointer data, int status, MmJson *body) {
  g_autoptr(LaunchRequest) request = data;
  MmAutoscaler *autoscaler = request->autoscaler;
  MmCapacityPool *pool = mm_autoscaler_find_or_add_pool(autoscaler, &request->type, &request->zone,
                                                        request->is_spot);
  MmTime now = mm_node_now(autoscaler->node);
  guint n_launched = mm_launch_response_count(body);

  autoscaler->launch_in_flight = FALSE;
  if (status == 200 && n_launched > 0) {
    mm_info("machines launched for pending tasks machines=%u requested=%u type=%s zone=%s spot=%d",
            n_launched, request->n_machines, request->type.s, request->zone.s, request->is_spot);
    pool->n_launched_unlisted += n_launched;
    pool->last_launched_at = now;
    pool->n_consecutive_failures = 0;
  }
  if (status != 200 || n_launched < request->n_machines) {
    pool->backoff_until = mm_time_add_ms(now, backoff_ms(pool, status));
    pool->n_consecutive_failures++;
  }
}

static void
request_launch(MmAutoscaler *autoscaler, const MmName *type, const MmName *zone, gboolean is_spot,
               guint n_wanted) {
  MmNode *node = autoscaler->node;
  guint n_machines = MIN(n_wanted, MAX_MACHINES_PER_REQUEST);
  /* The request id is unique across nodes and across restarts of this node. */
  g_autofree char *request_id
      = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, node->settings->label.s,
                        node->node_lease->lease_id, ++autoscaler->n_launch_requests);
  g_autoptr(MmJson) body = mm_launch_request_to_json(request_id, type, zone, is_spot, n_machines);
  LaunchRequest *request = g_new(LaunchRequest, 1);

  *request = (LaunchRequest){ autoscaler, *type, *zone, is_spot, n_machines };
  autoscaler->launch_in_flight = TRUE;
  node->platform.request(node->platform.context, MM_TARGET_CLOUD, NULL, "POST", WIRE_MACHINES_PATH,
                         body, LAUNCH_TIMEOUT_MS, on_launch_response, request);
}

/* Returns for how many tasks the available amount of a resource is sufficient, at most `limit`.
 * Returns `limit` if a task needs none of the resource. */
static guint
limit_slots(guint limit, double available, double per_task) {
  if (per_task <= 0)
    return limit;
  return MIN(limit, (guint)MAX(available / per_task + MM_RESOURCES_SLACK, 0));
}

/* Returns how many of the job's tasks fit on an empty machine of the type. Leaves out the
 * resources that are kept free on such machines for accelerated jobs (see
 * placement/accelerator-reserve.h). */
static guint
slots_per_machine(const MmNode *node, const MmJob *job, const MmInstanceType *type) {
  const MmPlacement *placement = node->placement;
  MmResources need = job->spec.task_resources;
  MmResources free_resources = type->resources;
  guint n_slots = mm_task_slots_per_machine(node->machine_table);

  if (free_resources.accelerators > 0 && need.accelerators <= 0
      && placement->has_seen_accelerated_work)
    free_resources = mm_resources_sub(
        free_resources, (MmResources){ placement->largest_accelerated_need.cores, 0,
                                       placement->largest_accelerated_need.memory_gb });
  n_slots = limit_slots(n_slots, free_resources.cores, need.cores);
  n_slots = limit_slots(n_slots, free_resources.accelerators, need.accelerators);
  return limit_slots(n_slots, free_resources.memory_gb, need.memory_gb);
}

/* Counts the upcoming machines of each capacity pool. A machine is upcoming while it has been
 * launched and is not in the cloud's list yet, or while it is listed and has not sent a heartbeat
 * yet. */
static void
count_upcoming_machines(MmAutoscaler *autoscaler) {
  MmTime now = mm_node_now(autoscaler->node);
  double list_delay_s = MAX(autoscaler->node->settings->cloud_list_delay_s, 1);
  gint64 unlisted_limit_ms = (gint64)(1000 * UNLISTED_LAUNCH_TIMEOUT_LIST_DELAYS * list_delay_s);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < autoscaler->capacity_pools->len; i++) {
    MmCapacityPool *pool = &g_array_index(autoscaler->capacity_pools, MmCapacityPool, i);
    if (mm_time_ms_since(now, pool->last_launched_at) > unlisted_limit_ms)
      pool->n_launched_unlisted = 0;
    pool->n_upcoming = pool->n_launched_unlisted;
  }
  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmCloudMachine *cloud_machine = value;
    const MmMachine *machine
        = mm_machine_table_find(autoscaler->node->machine_table, cloud_machine->id.s);
    if (!cloud_machine->is_releasing && !cloud_machine->has_failed
        && (machine == NULL || !machine->has_reported)
        && mm_time_ms_since(now, cloud_machine->last_listed_at) < MM_AUTOSCALER_UNLISTED_TIMEOUT_MS)
      mm_autoscaler_find_or_add_pool(autoscaler, &cloud_machine->type, &cloud_machine->zone,
                                     cloud_machine->is_spot)
          ->n_upcoming++;
  }
}

/* A capacity pool that could provide slots for the tasks of a job. */
typedef struct {
  const MmInstanceType *type;
  MmName zone;
  gboolean is_spot;
  guint n_slots; /* per machine */
  double cost_per_slot;
} LaunchOption;

static gint
compare_by_cost(gconstpointer a, gconstpointer b) {
  const LaunchOption *x = a, *y = b;

  return x->cost_per_slot < y->cost_per_slot ? -1 : x->cost_per_slot > y->cost_per_slot;
}

/* Adds to `options` the on-demand option for the type in the zone. If the job allows spot machines,
 * also adds the spot option. */
static void
add_options_in_zone(GArray *options, const MmJob *job, const MmInstanceType *type,
                    const MmName *zone, guint n_slots) {
  LaunchOption on_demand = { type, *zone, FALSE, n_slots, type->on_demand_price / n_slots };
  LaunchOption spot = { type, *zone, TRUE, n_slots, type->spot_price / n_slots };

  g_array_append_val(options, on_demand);
  if (job->spec.allows_spot)
    g_array_append_val(options, spot);
}

/* Returns the launch options for the job's tasks, lowest cost per slot first. Free with
 * g_array_unref. */
static GArray *
list_launch_options(const MmNode *node, const MmJob *job) {
  GArray *options = g_array_new(FALSE, TRUE, sizeof(LaunchOption));

  for (guint i = 0; i < node->instance_types->types->len; i++) {
    const MmInstanceType *type = g_ptr_array_index(node->instance_types->types, i);
    guint n_slots = slots_per_machine(node, job, type);
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

/* Keeps only the options in one zone, for jobs whose tasks must all run in the same zone. The zone
 * kept is the zone of the cheapest option whose capacity pool is not in backoff. Removes all
 * options if all pools are in backoff. */
static void
keep_cheapest_available_zone(MmAutoscaler *autoscaler, GArray *options) {
  MmTime now = mm_node_now(autoscaler->node);
  MmName zone = { { 0 } };

  for (guint i = 0; i < options->len && mm_name_is_empty(&zone); i++) {
    const LaunchOption *option = &g_array_index(options, LaunchOption, i);
    if (!mm_time_before(now, mm_autoscaler_find_or_add_pool(autoscaler, &option->type->name,
                                                            &option->zone, option->is_spot)
                                 ->backoff_until))
      zone = option->zone;
  }
  for (guint i = options->len; i > 0; i--)
    if (!mm_name_equal(&g_array_index(options, LaunchOption, i - 1).zone, &zone))
      g_array_remove_index(options, i - 1);
}

/* Reserves slots for up to `n_tasks` tasks on the upcoming machines of the pool. Returns how many
 * slots it reserved. `reserved_slots` maps the index of a pool, plus 1, to the number of slots that
 * have been reserved in this pool in this round. */
static guint
reserve_upcoming_slots(GHashTable *reserved_slots, const MmAutoscaler *autoscaler,
                       const MmCapacityPool *pool, guint slots_per_machine, guint n_tasks) {
  guint pool_index = (guint)(pool - (const MmCapacityPool *)autoscaler->capacity_pools->data);
  gpointer pool_key = GUINT_TO_POINTER(pool_index + 1);
  guint n_already_reserved = GPOINTER_TO_UINT(g_hash_table_lookup(reserved_slots, pool_key));
  guint n_upcoming_slots = pool->n_upcoming * slots_per_machine;
  guint n_reserved = MIN(
      n_tasks, n_upcoming_slots > n_already_reserved ? n_upcoming_slots - n_already_reserved : 0);

  g_hash_table_insert(reserved_slots, pool_key, GUINT_TO_POINTER(n_already_reserved + n_reserved));
  return n_reserved;
}

/* Returns the total length of the ranges. Each range is a pair: the number of its first task, and
 * its length. */
static guint
count_pending_tasks(const MmPendingTasks *pending) {
  guint n_tasks = 0;

  for (guint i = 1; i < pending->ranges->len; i += 2)
    n_tasks += g_array_index(pending->ranges, guint, i);
  return n_tasks;
}

/* Reserves slots on upcoming machines for the `n_tasks` tasks, and requests new machines for the
 * tasks that get no slot. Returns TRUE if a request was sent. */
static gboolean
launch_for_job(MmAutoscaler *autoscaler, const MmJob *job, guint n_tasks,
               GHashTable *reserved_slots) {
  MmTime now = mm_node_now(autoscaler->node);
  g_autoptr(GArray) options = list_launch_options(autoscaler->node, job);

  if (job->spec.requires_one_zone)
    keep_cheapest_available_zone(autoscaler, options);
  for (guint i = 0; i < options->len && n_tasks > 0; i++) {
    const LaunchOption *option = &g_array_index(options, LaunchOption, i);
    const MmCapacityPool *pool = mm_autoscaler_find_or_add_pool(autoscaler, &option->type->name,
                                                                &option->zone, option->is_spot);

    n_tasks -= reserve_upcoming_slots(reserved_slots, autoscaler, pool, option->n_slots, n_tasks);
    if (n_tasks == 0 || mm_time_before(now, pool->backoff_until)
        || mm_autoscaler_zone_is_unreachable(autoscaler, &option->zone))
      continue;
    request_launch(autoscaler, &option->type->name, &option->zone, option->is_spot,
                   (n_tasks + option->n_slots - 1) / option->n_slots);
    return TRUE;
  }
  return FALSE;
}

/* The operators' on/off settings are stored as numbers: 1 enables scale-out, 0 disables it. */
static gboolean
is_scale_out_enabled(const MmOperators *operators) {
  return operators->may_scale_out >= 0.5;
}

void
mm_autoscaler_scale_out(MmAutoscaler *autoscaler) {
  MmNode *node = autoscaler->node;
  const MmPlacement *placement = node->placement;
  g_autoptr(GHashTable) reserved_slots = g_hash_table_new(g_direct_hash, g_direct_equal);

  if (autoscaler->launch_in_flight || !autoscaler->has_machine_list
      || !is_scale_out_enabled(node->operators))
    return;
  count_upcoming_machines(autoscaler);
  for (guint view_index = 0; view_index < placement->n_views; view_index++) {
    const GPtrArray *pending_jobs = placement->views[view_index].pending;
    for (guint i = 0; i < pending_jobs->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(pending_jobs, i);
      const MmJob *job = mm_job_table_find(node->job_table, pending->job.s);
      if (job == NULL || job->is_cancelled)
        continue;
      if (launch_for_job(autoscaler, job, count_pending_tasks(pending), reserved_slots))
        return;
    }
  }
}
