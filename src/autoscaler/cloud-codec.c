#include "autoscaler/cloud-codec.h"

#include "base/wire.h"
#include "machines/task-slots.h"

/* Default values for fields that the cloud omits from the description of a machine type. */
#define DEFAULT_BOOT_S 60
#define DEFAULT_FETCH_GB_PER_S 1
/* Lower bound of the fetch rate, whatever the cloud reports. */
#define MIN_FETCH_GB_PER_S 1e-3

/* List of machines. */

static gboolean
parse_machine(MmListedMachine *machine, const MmJson *json) {
  const char *id = mm_json_string(json, WIRE_JOB_ID);
  const char *state = mm_json_string(json, WIRE_STATE);

  if (id == NULL || id[0] == '\0' || strlen(id) > MM_NAME_MAX)
    return FALSE;
  *machine = (MmListedMachine){
    .id = mm_name(id),
    .type = mm_name(mm_json_string(json, WIRE_TYPE)),
    .zone = mm_name(mm_json_string(json, WIRE_ZONE)),
    .is_spot = mm_json_flag(json, WIRE_SPOT),
    .is_running = g_strcmp0(state, WIRE_RUNNING) == 0,
    .has_failed = g_strcmp0(state, WIRE_FAILED) == 0,
    .age_s = mm_json_number(json, WIRE_AGE, 0),
  };
  return TRUE;
}

gboolean
mm_machine_list_page_parse(MmMachineListPage *page, const MmJson *body) {
  const MmJson *items = mm_json_get(body, WIRE_MACHINES);
  const char *last_id = NULL;
  size_t i;
  MmJson *item;

  if (!mm_json_is_array(items))
    return FALSE;
  page->machines = g_array_new(FALSE, FALSE, sizeof(MmListedMachine));
  MM_JSON_ARRAY_FOREACH (items, i, item) {
    MmListedMachine machine;
    if (parse_machine(&machine, item))
      g_array_append_val(page->machines, machine);
    last_id = mm_json_string(item, WIRE_JOB_ID);
  }
  page->next_after = mm_json_flag(body, WIRE_MORE) ? g_strdup(last_id) : NULL;
  return TRUE;
}

void
mm_machine_list_page_clear(MmMachineListPage *page) {
  g_clear_pointer(&page->machines, g_array_unref);
  g_clear_pointer(&page->next_after, g_free);
}

char *
mm_machine_list_path(const char *after, guint page_size) {
  if (after == NULL)
    return g_strdup_printf(WIRE_MACHINES_PATH "?" WIRE_LIMIT "=%u", page_size);
  return g_strdup_printf(WIRE_MACHINES_PATH "?" WIRE_AFTER "=%s&" WIRE_LIMIT "=%u", after,
                         page_size);
}

/* Machine types. */

void
mm_instance_type_free(MmInstanceType *type) {
  g_array_unref(type->zones);
  g_free(type);
}

MmInstanceType *
mm_instance_type_parse(const MmJson *json) {
  const char *name = mm_json_string(json, WIRE_TYPE_NAME);
  MmInstanceType *type;
  size_t i;
  MmJson *zone;

  if (name == NULL || name[0] == '\0')
    return NULL;
  type = g_new0(MmInstanceType, 1);
  type->name = mm_name(name);
  type->resources = (MmResources){ mm_json_number(json, WIRE_CORES, 0),
                                   mm_json_number(json, WIRE_ACCELERATORS, 0),
                                   mm_json_number(json, WIRE_MEMORY, 0), MM_TASK_SLOTS_MAX };
  type->image_cache_gb = mm_json_number(json, WIRE_CACHE_GB, 0);
  type->image_fetch_gb_per_s
      = MAX(mm_json_number(json, WIRE_FETCH_RATE, DEFAULT_FETCH_GB_PER_S), MIN_FETCH_GB_PER_S);
  type->on_demand_price = mm_json_number(json, WIRE_PRICE, 0);
  type->spot_price = mm_json_number(json, WIRE_SPOT_PRICE, type->on_demand_price);
  type->boot_s = mm_json_number(json, WIRE_BOOT, DEFAULT_BOOT_S);
  type->zones = g_array_new(FALSE, TRUE, sizeof(MmName));
  MM_JSON_ARRAY_FOREACH (mm_json_get(json, WIRE_ZONES), i, zone) {
    MmName zone_name = mm_name(mm_json_string_value(zone));
    g_array_append_val(type->zones, zone_name);
  }
  return type;
}

const MmJson *
mm_instance_type_list_of(const MmJson *body) {
  const MmJson *list = mm_json_get(body, WIRE_TYPES);

  return mm_json_is_array(list) ? list : NULL;
}

char *
mm_instance_type_list_to_text_without_prices(const MmJson *list) {
  g_autoptr(MmJson) copy = mm_json_copy(list);
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (copy, i, item) {
    mm_json_object_remove(item, WIRE_PRICE);
    mm_json_object_remove(item, WIRE_SPOT_PRICE);
  }
  return mm_json_to_sorted_text(copy);
}

MmJson *
mm_instance_type_record_to_json(const MmJson *list) {
  return mm_json_pack("{s:O}", WIRE_TYPES, list);
}

/* Launch and release requests. */

MmJson *
mm_launch_request_to_json(const char *request_id, const MmName *type, const MmName *zone,
                          gboolean is_spot, guint n_machines) {
  return mm_json_pack("{s:s, s:s, s:s, s:b, s:I}", WIRE_REQUEST, request_id, WIRE_TYPE, type->s,
                      WIRE_ZONE, zone->s, WIRE_SPOT, is_spot, WIRE_COUNT, (guint64)n_machines);
}

guint
mm_launch_response_count(const MmJson *body) {
  return (guint)mm_json_array_size(mm_json_get(body, WIRE_MACHINES));
}

MmJson *
mm_release_request_to_json(const GPtrArray *machine_ids) {
  MmJson *list = mm_json_new_array();

  for (guint i = 0; i < machine_ids->len; i++)
    mm_json_array_append(list, mm_json_new_string(g_ptr_array_index(machine_ids, i)));
  return mm_json_pack("{s:o}", WIRE_MACHINES, list);
}
