#include "autoscaler/autoscaler.h"

#include "autoscaler/scale-in.h"
#include "autoscaler/scale-out.h"
#include "autoscaler/silence.h"
#include "machines/registry.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"

#define ROUND_INTERVAL_MS 500
#define LIST_PAGE_SIZE 500 /* machines per page */
#define LIST_TIMEOUT_MS 3000

static void request_machine_list(MmAutoscaler *autoscaler, const char *after);

MmAutoscaler *
mm_autoscaler_new(MmNode *node) {
  MmAutoscaler *autoscaler = g_new0(MmAutoscaler, 1);

  autoscaler->node = node;
  autoscaler->cloud_machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  autoscaler->zone_machine_counts = g_array_new(FALSE, TRUE, sizeof(MmZoneMachineCounts));
  autoscaler->capacity_pools = g_array_new(FALSE, TRUE, sizeof(MmCapacityPool));
  return autoscaler;
}

void
mm_autoscaler_free(MmAutoscaler *autoscaler) {
  g_hash_table_unref(autoscaler->cloud_machines);
  g_array_unref(autoscaler->capacity_pools);
  g_array_unref(autoscaler->zone_machine_counts);
  g_free(autoscaler);
}

void
mm_autoscaler_set_release_callback(MmAutoscaler *autoscaler,
                                   MmMachineReleasedCallback on_machine_released,
                                   gpointer context) {
  autoscaler->on_machine_released = on_machine_released;
  autoscaler->on_machine_released_context = context;
}

MmCapacityPool *
mm_autoscaler_find_or_add_pool(MmAutoscaler *autoscaler, const MmName *type, const MmName *zone,
                               gboolean is_spot) {
  MmCapacityPool new_pool = { .type = *type, .zone = *zone, .is_spot = is_spot };

  for (guint i = 0; i < autoscaler->capacity_pools->len; i++) {
    MmCapacityPool *pool = &g_array_index(autoscaler->capacity_pools, MmCapacityPool, i);
    if (mm_name_equal(&pool->type, type) && mm_name_equal(&pool->zone, zone)
        && pool->is_spot == is_spot)
      return pool;
  }
  g_array_append_val(autoscaler->capacity_pools, new_pool);
  return &g_array_index(autoscaler->capacity_pools, MmCapacityPool,
                        autoscaler->capacity_pools->len - 1);
}

static MmCloudMachine *
add_cloud_machine(MmAutoscaler *autoscaler, const MmListedMachine *listed) {
  MmCloudMachine *cloud_machine = g_new0(MmCloudMachine, 1);
  MmCapacityPool *pool
      = mm_autoscaler_find_or_add_pool(autoscaler, &listed->type, &listed->zone, listed->is_spot);

  cloud_machine->id = listed->id;
  cloud_machine->type = listed->type;
  cloud_machine->zone = listed->zone;
  cloud_machine->is_spot = listed->is_spot;
  cloud_machine->first_listed_at = mm_node_now(autoscaler->node);
  g_hash_table_insert(autoscaler->cloud_machines, cloud_machine->id.s, cloud_machine);
  if (pool->n_launched_unlisted > 0)
    pool->n_launched_unlisted--;
  return cloud_machine;
}

static void
update_cloud_machine(MmAutoscaler *autoscaler, const MmListedMachine *listed) {
  MmCloudMachine *cloud_machine = g_hash_table_lookup(autoscaler->cloud_machines, listed->id.s);

  if (cloud_machine == NULL)
    cloud_machine = add_cloud_machine(autoscaler, listed);
  cloud_machine->is_running = listed->is_running;
  cloud_machine->has_failed = listed->has_failed;
  cloud_machine->age_when_listed_s = listed->age_s;
  cloud_machine->last_listed_at = mm_node_now(autoscaler->node);
}

static void
on_machine_list(gpointer data, int status, MmJson *body) {
  MmAutoscaler *autoscaler = data;
  double list_delay_s = MAX(autoscaler->node->settings->cloud_list_delay_s, 1);
  g_auto(MmMachineListPage) page = { 0 };

  autoscaler->list_in_flight = FALSE;
  autoscaler->next_list_at
      = mm_time_add_ms(mm_node_now(autoscaler->node), (gint64)(list_delay_s * 1000 / 2));
  if (status != 200 || !mm_machine_list_page_parse(&page, body)) {
    mm_info("cloud machine list request failed: error status or malformed body status=%d", status);
    return;
  }
  for (guint i = 0; i < page.machines->len; i++)
    update_cloud_machine(autoscaler, &g_array_index(page.machines, MmListedMachine, i));
  if (page.next_after != NULL)
    request_machine_list(autoscaler, page.next_after);
  else
    autoscaler->has_machine_list = TRUE;
}

/* Requests the page of machines that follows the machine id `after`, or the first page if `after`
 * is NULL. */
static void
request_machine_list(MmAutoscaler *autoscaler, const char *after) {
  const MmPlatform *platform = &autoscaler->node->platform;
  g_autofree char *path = mm_machine_list_path(after, LIST_PAGE_SIZE);

  autoscaler->list_in_flight = TRUE;
  platform->request(platform->context, MM_TARGET_CLOUD, NULL, "GET", path, NULL, LIST_TIMEOUT_MS,
                    on_machine_list, autoscaler);
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
    mm_info("autoscaler became %s: node lease or shard leadership changed",
            is_active ? "active" : "inactive");
  }
  if (!is_active || !mm_instance_types_are_known(node->instance_types))
    return;
  if (!autoscaler->list_in_flight && !mm_time_before(now, autoscaler->next_list_at))
    request_machine_list(autoscaler, NULL);
  if (mm_time_before(now, autoscaler->next_round_at))
    return;
  autoscaler->next_round_at = mm_time_add_ms(now, ROUND_INTERVAL_MS);
  mm_autoscaler_count_silent_machines(autoscaler);
  mm_autoscaler_scale_in(autoscaler);
  /* Removes machines that have ended from the registry. Otherwise a node that acquires a shard
   * later would have to prove again that these machines have ended, before it could restart their
   * tasks or start any other tasks. */
  mm_registry_remove_ended_machines(node->registry);
  mm_autoscaler_scale_out(autoscaler);
}
