#include "autoscaler/scale-in.h"

#include "autoscaler/instance-types.h"
#include "autoscaler/silence.h"
#include "base/wire.h"
#include "placement/placement.h"

#define MAX_RELEASES_PER_REQUEST 100
#define RELEASE_TIMEOUT_MS 5000
#define RELEASE_RETRY_MS 1500
/* A machine may take this long to boot, or longer by its type; where that is unknown, this long. */
#define BOOT_PATIENCE_MIN_S 30
#define UNKNOWN_TYPE_BOOT_PATIENCE_S 600
/* How many worker leases a machine must have been lost (or running without a heartbeat) before it
 * is released; longer in a zone that is cut off. */
#define RELEASE_LOST_AFTER_LEASES 2
#define RELEASE_MUTE_AFTER_LEASES 4
#define RELEASE_CUT_OFF_AFTER_LEASES 20

typedef struct {
  MmAutoscaler *autoscaler;
  GPtrArray *machine_ids; /* strings */
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

/* ---- the cloud's response ---- */

/* Its place can be rented anew at once. */
static void
forget_refusals(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine) {
  MmMachineOffer *offer = mm_autoscaler_offer_for(autoscaler, &cloud_machine->type,
                                                  &cloud_machine->zone, cloud_machine->is_spot);

  offer->refused_until.us = 0;
  offer->n_refusals = 0;
}

static void
on_machine_release_response(MmAutoscaler *autoscaler, const char *id, gboolean is_released) {
  MmNode *node = autoscaler->node;
  MmCloudMachine *cloud_machine = g_hash_table_lookup(autoscaler->cloud_machines, id);
  MmMachine *machine = mm_machine_table_find(node->machine_table, id);

  if (cloud_machine != NULL)
    cloud_machine->is_releasing = is_released;
  if (cloud_machine != NULL && is_released)
    forget_refusals(autoscaler, cloud_machine);
  if (machine == NULL)
    return;
  machine->is_being_terminated = is_released;
  if (!is_released)
    return;
  /* The response proves that the machine and all tasks on it are gone. */
  mm_info("released machine=%s", id);
  mm_machine_table_record_termination(node->machine_table, id);
  autoscaler->on_machine_released(autoscaler->on_machine_released_context, id);
  if (!machine->is_in_registry)
    mm_machine_table_remove(node->machine_table, machine);
}

static void
on_release_response(gpointer data, int status, json_t *body) {
  g_autoptr(ReleaseRequest) request = data;
  MmAutoscaler *autoscaler = request->autoscaler;

  autoscaler->release_in_flight = FALSE;
  if (status != 200)
    autoscaler->next_release_at = mm_time_add_ms(mm_node_now(autoscaler->node), RELEASE_RETRY_MS);
  for (guint i = 0; i < request->machine_ids->len; i++)
    on_machine_release_response(autoscaler, g_ptr_array_index(request->machine_ids, i),
                                status == 200);
}

/* ---- what is released ---- */

typedef enum {
  KEEP,
  RELEASE_FAILED,         /* the cloud says so */
  RELEASE_NEVER_REPORTED, /* it never came up, or is up and sends no heartbeat */
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

/* So many worker leases, or those of a zone that is cut off. */
static gint64
patience_in_leases_ms(MmAutoscaler *autoscaler, const MmName *zone, guint n_leases) {
  gint64 lease_ms = 1000 * (gint64)autoscaler->node->settings->worker_lease_s;

  return lease_ms
         * (mm_autoscaler_zone_is_cut_off(autoscaler, zone) ? RELEASE_CUT_OFF_AFTER_LEASES
                                                            : n_leases);
}

static double
boot_patience_s(const MmNode *node, const MmName *type_name) {
  const MmInstanceType *type = mm_instance_types_find(node->instance_types, type_name);

  if (type == NULL)
    return UNKNOWN_TYPE_BOOT_PATIENCE_S;
  return MAX(type->boot_s * node->operators->boot_timeout_factor, BOOT_PATIENCE_MIN_S);
}

static gboolean
is_overdue_to_report(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine) {
  const MmNode *node = autoscaler->node;
  gint64 listed_for_ms = mm_time_ms_since(mm_node_now(node), cloud_machine->first_listed_at);

  if (cloud_machine->age_when_listed_s <= boot_patience_s(node, &cloud_machine->type))
    return FALSE;
  return !cloud_machine->is_running
         || listed_for_ms > patience_in_leases_ms(autoscaler, &cloud_machine->zone,
                                                  RELEASE_MUTE_AFTER_LEASES);
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
reason_to_release(MmAutoscaler *autoscaler, const MmCloudMachine *cloud_machine,
                  MmMachine *machine) {
  const MmNode *node = autoscaler->node;

  if (cloud_machine->has_failed)
    return RELEASE_FAILED;
  if (machine == NULL || (!machine->has_reported && !machine->is_in_registry))
    return is_overdue_to_report(autoscaler, cloud_machine) ? RELEASE_NEVER_REPORTED : KEEP;
  if (machine->lease_has_expired)
    return mm_time_ms_since(mm_node_now(node), machine->last_seen_at)
                   > patience_in_leases_ms(autoscaler, &machine->zone, RELEASE_LOST_AFTER_LEASES)
               ? RELEASE_LEASE_EXPIRED
               : KEEP;
  if (mm_autoscaler_machine_is_silent(autoscaler, machine))
    return RELEASE_SILENT;
  return is_idle_and_unneeded(node, machine) ? RELEASE_IDLE : KEEP;
}

/* Registered machines that are silent and that the cloud doesn't list were taken away: asked to
 * release one, the cloud proves at once that it is gone. To wait until its worker lease expires
 * would keep newly acquired shards from starting anything for all that time. */
static void
add_silent_unlisted(MmAutoscaler *autoscaler, ReleaseRequest *request) {
  const GPtrArray *machines = autoscaler->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len && !is_full(request); i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!machine->is_in_registry || machine->lease_has_expired || machine->is_being_terminated
        || !autoscaler->has_machine_list
        || g_hash_table_contains(autoscaler->cloud_machines, machine->id.s)
        || !mm_autoscaler_machine_is_silent(autoscaler, machine))
      continue;
    mm_info("releasing machine=%s reason=silent-and-not-listed", machine->id.s);
    machine->is_being_terminated = TRUE;
    g_ptr_array_add(request->machine_ids, g_strdup(machine->id.s));
  }
}

static void
add_if_unneeded(MmAutoscaler *autoscaler, ReleaseRequest *request, MmCloudMachine *cloud_machine,
                MmMachine *machine) {
  ReleaseReason reason;

  if (cloud_machine->is_releasing || is_full(request))
    return;
  reason = reason_to_release(autoscaler, cloud_machine, machine);
  if (reason == KEEP)
    return;
  mm_info("releasing machine=%s reason=%s age_s=%.0f", cloud_machine->id.s, reason_names[reason],
          cloud_machine->age_when_listed_s);
  cloud_machine->is_releasing = TRUE;
  if (machine != NULL)
    machine->is_being_terminated = TRUE;
  g_ptr_array_add(request->machine_ids, g_strdup(cloud_machine->id.s));
}

/* Adds the listed machines that should go; forgets those that the cloud lists no more. */
static void
add_listed(MmAutoscaler *autoscaler, ReleaseRequest *request) {
  MmNode *node = autoscaler->node;
  MmTime now = mm_node_now(node);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, autoscaler->cloud_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmCloudMachine *cloud_machine = value;
    MmMachine *machine = mm_machine_table_find(node->machine_table, cloud_machine->id.s);
    gboolean is_gone
        = mm_time_ms_since(now, cloud_machine->last_listed_at) > MM_AUTOSCALER_UNLISTED_GONE_MS;
    if (!is_gone)
      add_if_unneeded(autoscaler, request, cloud_machine, machine);
    else if (machine == NULL || machine->lease_has_expired || cloud_machine->is_releasing)
      g_hash_table_iter_remove(&iter);
  }
}

void
mm_autoscaler_scale_in(MmAutoscaler *autoscaler) {
  const MmPlatform *platform = &autoscaler->node->platform;
  g_autoptr(ReleaseRequest) request = NULL;
  g_autoptr(json_t) body = NULL;

  if (autoscaler->release_in_flight
      || mm_time_before(mm_node_now(autoscaler->node), autoscaler->next_release_at))
    return;
  request = release_request_new(autoscaler);
  add_silent_unlisted(autoscaler, request);
  add_listed(autoscaler, request);
  if (request->machine_ids->len == 0)
    return;
  body = mm_release_request_to_json(request->machine_ids);
  autoscaler->release_in_flight = TRUE;
  platform->request(platform->context, MM_TARGET_CLOUD, NULL, "POST", WIRE_RELEASE_PATH, body,
                    RELEASE_TIMEOUT_MS, on_release_response, g_steal_pointer(&request));
}
