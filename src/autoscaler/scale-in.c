#include "autoscaler/scale-in.h"

#include "autoscaler/instance-types.h"
#include "autoscaler/silence.h"
#include "base/wire.h"
#include "placement/placement.h"

#define MAX_RELEASES_PER_REQUEST 100
#define RELEASE_TIMEOUT_MS 5000
#define RELEASE_RETRY_MS 1500
/* The boot timeout of a machine is derived from its type and is at least BOOT_TIMEOUT_MIN_S. For a
 * machine of unknown type, the boot timeout is UNKNOWN_TYPE_BOOT_TIMEOUT_S. */
#define BOOT_TIMEOUT_MIN_S 30
#define UNKNOWN_TYPE_BOOT_TIMEOUT_S 600
/* Release timeouts, in worker leases. EXPIRED_RELEASE_AFTER_LEASES applies to a machine whose lease
 * has expired, and counts from the machine's last message. UNREPORTED_RELEASE_AFTER_LEASES applies
 * to a running machine that has never sent a heartbeat, and counts from the machine's first
 * appearance in the cloud's list. UNREACHABLE_ZONE_RELEASE_AFTER_LEASES replaces both in an
 * unreachable zone, because the machines of such a zone are expected to become reachable again. */
#define EXPIRED_RELEASE_AFTER_LEASES 2
#define UNREPORTED_RELEASE_AFTER_LEASES 4
#define UNREACHABLE_ZONE_RELEASE_AFTER_LEASES 20

typedef struct {
  MmAutoscaler *autoscaler;
  GPtrArray *machine_ids; /* owned strings */
} ReleaseRequest;

static ReleaseRequest *
release_request_new(MmAutoscaler *autoscaler) {
  ReleaseRequest *request = g_new(ReleaseRequest, 1);

  *request = (ReleaseRequest){ autoscaler, g_ptr_array_new_with_free_func(g_free) };
  return request;
}

static void
release_request_free(ReleaseRequest *request) {
  g_ptr_array_unref(request->machine_ids);
  g_free(request);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ReleaseRequest, release_request_free)

static gboolean
is_full(const ReleaseRequest *request) {
  return request->machine_ids->len >= MAX_RELEASES_PER_REQUEST;
}

/* Ends the backoff of the machine's capacity pool, because the release frees capacity in this
 * pool. */
static void
reset_backoff(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine) {
  MmCapacityPool *pool = mm_autoscaler_find_or_add_pool(
      autoscaler, &cloud_machine->type, &cloud_machine->zone, cloud_machine->is_spot);

  pool->backoff_until.us = 0;
  pool->n_consecutive_failures = 0;
}

static void
record_release_result(MmAutoscaler *autoscaler, const char *id, gboolean is_released) {
  MmNode *node = autoscaler->node;
  MmCloudMachine *cloud_machine = g_hash_table_lookup(autoscaler->cloud_machines, id);
  MmMachine *machine = mm_machine_table_find(node->machine_table, id);

  if (cloud_machine != NULL)
    cloud_machine->is_releasing = is_released;
  if (cloud_machine != NULL && is_released)
    reset_backoff(autoscaler, cloud_machine);
  if (machine == NULL)
    return;
  machine->is_being_terminated = is_released;
  if (!is_released)
    return;
  /* The response proves that the machine and all tasks on it have ended. */
  mm_info("machine release confirmed by the cloud machine=%s", id);
  mm_machine_table_record_termination(node->machine_table, id);
  autoscaler->on_machine_released(autoscaler->on_machine_released_context, id);
  if (!machine->is_in_registry)
    mm_machine_table_remove(node->machine_table, machine);
}

static void
on_release_response(gpointer data, int status, MmJson *body) {
  g_autoptr(ReleaseRequest) request = data;
  MmAutoscaler *autoscaler = request->autoscaler;

  autoscaler->release_in_flight = FALSE;
  if (status != 200)
    autoscaler->next_release_at = mm_time_add_ms(mm_node_now(autoscaler->node), RELEASE_RETRY_MS);
  for (guint i = 0; i < request->machine_ids->len; i++)
    record_release_result(autoscaler, g_ptr_array_index(request->machine_ids, i), status == 200);
}

typedef enum {
  RELEASE_NONE,
  RELEASE_FAILED,         /* the cloud reports that the machine has failed */
  RELEASE_NEVER_REPORTED, /* did not boot in time, or is running without ever having sent a
                             heartbeat */
  RELEASE_LEASE_EXPIRED,
  RELEASE_SILENT,
  RELEASE_IDLE
} ReleaseReason;

static const char *const reason_names[] = {
  [RELEASE_FAILED] = "failed",
  [RELEASE_NEVER_REPORTED] = "never-reported",
  [RELEASE_LEASE_EXPIRED] = "lease-expired",
  [RELEASE_SILENT] = "silent",
  [RELEASE_IDLE] = "idle",
};

/* Returns the duration of `n_leases` worker leases. If the zone is unreachable, returns the
 * duration of UNREACHABLE_ZONE_RELEASE_AFTER_LEASES worker leases instead. */
static gint64
release_after_ms(MmAutoscaler *autoscaler, const MmName *zone, guint n_leases) {
  gint64 lease_ms = 1000 * (gint64)autoscaler->node->settings->worker_lease_s;

  return lease_ms
         * (mm_autoscaler_zone_is_unreachable(autoscaler, zone)
                ? UNREACHABLE_ZONE_RELEASE_AFTER_LEASES
                : n_leases);
}

static double
boot_timeout_s(const MmNode *node, const MmName *type_name) {
  const MmInstanceType *type = mm_instance_types_find(node->instance_types, type_name);

  if (type == NULL)
    return UNKNOWN_TYPE_BOOT_TIMEOUT_S;
  return MAX(type->boot_s * node->operators->boot_timeout_factor, BOOT_TIMEOUT_MIN_S);
}

static gboolean
is_overdue_to_report(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine) {
  const MmNode *node = autoscaler->node;
  gint64 listed_for_ms = mm_time_ms_since(mm_node_now(node), cloud_machine->first_listed_at);

  if (cloud_machine->age_when_listed_s <= boot_timeout_s(node, &cloud_machine->type))
    return FALSE;
  return !cloud_machine->is_running
         || listed_for_ms > release_after_ms(autoscaler, &cloud_machine->zone,
                                             UNREPORTED_RELEASE_AFTER_LEASES);
}

static gboolean
any_shard_has_pending_tasks(const MmPlacement *placement) {
  for (guint i = 0; i < placement->n_views; i++)
    if (placement->views[i].n_pending_tasks > 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_idle_and_unneeded(const MmNode *node, const MmMachine *machine) {
  gint64 idle_release_ms = (gint64)(node->operators->idle_release_s * 1000);

  return machine->reported_tasks->len == 0 && machine->placed_tasks->len == 0
         && mm_time_ms_since(mm_node_now(node), machine->idle_since) > idle_release_ms
         && !any_shard_has_pending_tasks(node->placement);
}

static ReleaseReason
find_release_reason(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine,
                    MmMachine *machine) {
  const MmNode *node = autoscaler->node;

  if (cloud_machine->has_failed)
    return RELEASE_FAILED;
  if (machine == NULL || (!machine->has_reported && !machine->is_in_registry))
    return is_overdue_to_report(autoscaler, cloud_machine) ? RELEASE_NEVER_REPORTED : RELEASE_NONE;
  if (machine->lease_has_expired)
    return mm_time_ms_since(mm_node_now(node), machine->last_seen_at)
                   > release_after_ms(autoscaler, &machine->zone, EXPIRED_RELEASE_AFTER_LEASES)
               ? RELEASE_LEASE_EXPIRED
               : RELEASE_NONE;
  if (mm_autoscaler_machine_is_silent(autoscaler, machine))
    return RELEASE_SILENT;
  return is_idle_and_unneeded(node, machine) ? RELEASE_IDLE : RELEASE_NONE;
}

/* Adds to the request the registered machines that are silent and not in the cloud's list. The
 * cloud has already taken these machines back. The response of the cloud to the release request
 * proves this at once. Without this proof, newly acquired shards could not start any tasks until
 * the worker leases of these machines expire. */
static void
add_silent_unlisted_machines(MmAutoscaler *autoscaler, ReleaseRequest *request) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len && !is_full(request); i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired || machine->is_being_terminated
        || !autoscaler->has_machine_list
        || g_hash_table_contains(autoscaler->cloud_machines, machine->id.s)
        || !mm_autoscaler_machine_is_silent(autoscaler, machine))
      continue;
    mm_info("machine release requested machine=%s reason=silent-and-not-listed", machine->id.s);
    machine->is_being_terminated = TRUE;
    g_ptr_array_add(request->machine_ids, g_strdup(machine->id.s));
  }
}

static void
add_if_releasable(MmAutoscaler *autoscaler, ReleaseRequest *request, MmCloudMachine *cloud_machine,
                  MmMachine *machine) {
  ReleaseReason reason;

  if (cloud_machine->is_releasing || is_full(request))
    return;
  reason = find_release_reason(autoscaler, cloud_machine, machine);
  if (reason == RELEASE_NONE)
    return;
  mm_info("machine release requested machine=%s reason=%s age_s=%.0f", cloud_machine->id.s,
          reason_names[reason], cloud_machine->age_when_listed_s);
  cloud_machine->is_releasing = TRUE;
  if (machine != NULL)
    machine->is_being_terminated = TRUE;
  g_ptr_array_add(request->machine_ids, g_strdup(cloud_machine->id.s));
}

/* Adds to the request the machines in the cloud's list that are to be released. Also frees the
 * MmCloudMachine of each machine that the cloud no longer lists. The MmCloudMachine is kept,
 * however, if the machine table contains the machine, the worker lease of the machine has not
 * expired, and no release of the machine has been requested. */
static void
add_listed_machines(MmAutoscaler *autoscaler, ReleaseRequest *request) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmCloudMachine *cloud_machine = value;
    MmMachine *machine = mm_machine_table_find(node->machine_table, cloud_machine->id.s);
    gboolean is_unlisted
        = mm_time_ms_since(now, cloud_machine->last_listed_at) > MM_AUTOSCALER_UNLISTED_TIMEOUT_MS;
    if (!is_unlisted)
      add_if_releasable(autoscaler, request, cloud_machine, machine);
    else if (machine == NULL || machine->lease_has_expired || cloud_machine->is_releasing)
      g_hash_table_iter_remove(&iter);
  }
}

void
mm_autoscaler_scale_in(MmAutoscaler *autoscaler) {
  const MmPlatform *platform = &autoscaler->node->platform;
  g_autoptr(ReleaseRequest) request = NULL;
  g_autoptr(MmJson) body = NULL;

  if (autoscaler->release_in_flight
      || mm_time_before(mm_node_now(autoscaler->node), autoscaler->next_release_at))
    return;
  request = release_request_new(autoscaler);
  add_silent_unlisted_machines(autoscaler, request);
  add_listed_machines(autoscaler, request);
  if (request->machine_ids->len == 0)
    return;
  body = mm_release_request_to_json(request->machine_ids);
  autoscaler->release_in_flight = TRUE;
  platform->request(platform->context, MM_TARGET_CLOUD, NULL, "POST", WIRE_RELEASE_PATH, body,
                    RELEASE_TIMEOUT_MS, on_release_response, g_steal_pointer(&request));
}
