#include "autoscaler/instance-types.h"

#include <stdlib.h>

#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/kv-client.h"

#define TYPES_REFRESH_MS 60000
#define TYPES_RETRY_MS 1000
#define UNSTORED_TYPES_REFRESH_MS 3000

static void
instance_type_free(gpointer data) {
  MmInstanceType *type = data;

  g_array_unref(type->zones);
  g_free(type);
}

MmInstanceTypes *
mm_instance_types_new(MmNode *node) {
  MmInstanceTypes *instance_types = g_new0(MmInstanceTypes, 1);

  instance_types->node = node;
  instance_types->types = g_ptr_array_new_with_free_func(instance_type_free);
  return instance_types;
}

void
mm_instance_types_free(MmInstanceTypes *instance_types) {
  g_ptr_array_unref(instance_types->types);
  g_free(instance_types->stored_text);
  g_free(instance_types);
}

gboolean
mm_instance_types_are_known(const MmInstanceTypes *instance_types) {
  return instance_types->types->len > 0;
}

const MmInstanceType *
mm_instance_types_find(const MmInstanceTypes *instance_types, const MmName *name) {
  for (guint i = 0; i < instance_types->types->len; i++) {
    const MmInstanceType *type = g_ptr_array_index(instance_types->types, i);
    if (mm_name_equal(&type->name, name))
      return type;
  }
  return NULL;
}

gboolean
mm_instance_type_is_in_zone(const MmInstanceType *type, const MmName *zone) {
  for (guint i = 0; i < type->zones->len; i++)
    if (mm_name_equal(&g_array_index(type->zones, MmName, i), zone))
      return TRUE;
  return type->zones->len == 0;
}

gboolean
mm_instance_types_any_fits(const MmInstanceTypes *instance_types, const MmJobSpec *spec) {
  for (guint i = 0; i < instance_types->types->len; i++) {
    const MmInstanceType *type = g_ptr_array_index(instance_types->types, i);
    if (mm_job_spec_allows_type(spec, &type->name)
        && mm_resources_fits(spec->task_resources, type->resources)
        && (mm_name_is_empty(&spec->zone) || mm_instance_type_is_in_zone(type, &spec->zone)))
      return TRUE;
  }
  return FALSE;
}

static void
read_type(MmInstanceTypes *instance_types, const json_t *item) {
  MmName name = mm_name(mm_json_string(item, WIRE_TYPE_NAME));
  MmInstanceType *type = (MmInstanceType *)mm_instance_types_find(instance_types, &name);
  size_t i;
  json_t *zone;

  if (mm_name_is_empty(&name))
    return;
  if (type == NULL) {
    type = g_new0(MmInstanceType, 1);
    type->name = name;
    type->zones = g_array_new(FALSE, TRUE, sizeof(MmName));
    g_ptr_array_add(instance_types->types, type);
  }
  type->resources = (MmResources){ mm_json_number(item, WIRE_CORES, 0),
                                   mm_json_number(item, WIRE_ACCELERATORS, 0),
                                   mm_json_number(item, WIRE_MEMORY, 0) };
  type->image_cache_gb = mm_json_number(item, WIRE_CACHE_GB, 0);
  type->image_fetch_gb_per_s = MAX(mm_json_number(item, WIRE_FETCH_RATE, 1), 1e-3);
  type->on_demand_price = mm_json_number(item, WIRE_PRICE, 0);
  type->spot_price = mm_json_number(item, WIRE_SPOT_PRICE, type->on_demand_price);
  type->boot_s = mm_json_number(item, WIRE_BOOT, 60);
  g_array_set_size(type->zones, 0);
  json_array_foreach(mm_json_get(item, WIRE_ZONES), i, zone) {
    MmName zone_name = mm_name(json_string_value(zone));
    g_array_append_val(type->zones, zone_name);
  }
}

/* What does not change from one answer to the next. */
static char *
text_without_prices(const json_t *list) {
  g_autoptr(json_t) copy = json_deep_copy(list);
  size_t i;
  json_t *item;
  char *text, *copied_text;

  json_array_foreach(copy, i, item) {
    json_object_del(item, WIRE_PRICE);
    json_object_del(item, WIRE_SPOT_PRICE);
  }
  text = json_dumps(copy, JSON_COMPACT | JSON_SORT_KEYS);
  copied_text = g_strdup(text);
  free(text);
  return copied_text;
}

void
mm_instance_types_load_stored(MmInstanceTypes *instance_types, const json_t *json,
                              MmKeyVersion version) {
  const json_t *list = mm_json_get(json, WIRE_TYPES);
  size_t i;
  json_t *item;

  if (!json_is_array(list))
    return;
  g_free(instance_types->stored_text);
  instance_types->stored_text = text_without_prices(list);
  instance_types->stored_version = version;
  /* What the cloud itself has said since is newer. */
  if (mm_instance_types_are_known(instance_types))
    return;
  json_array_foreach(list, i, item) read_type(instance_types, item);
}

static void
write_types_record(MmInstanceTypes *instance_types, const json_t *list) {
  MmNode *node = instance_types->node;
  g_autofree char *text = text_without_prices(list);
  MmTransaction transaction;

  if (g_strcmp0(text, instance_types->stored_text) == 0
      || !mm_node_lease_may_answer_workers(node->node_lease)
      || strlen(text) + 512 > node->settings->kv_max_value_bytes
      || !mm_kv_client_try_spend_writes(node->kv, 1))
    return;
  transaction = mm_transaction_begin();
  /* One that is carried out late must not bring back what the cloud has changed since. */
  mm_transaction_require_version(&transaction, MM_KEY_INSTANCE_TYPES, "",
                                 instance_types->stored_version);
  mm_transaction_put(&transaction, MM_KEY_INSTANCE_TYPES, "", json_pack("{s:O}", WIRE_TYPES, list),
                     0);
  /* Should it fail, the cloud's next answer is stored. */
  mm_kv_client_commit(node->kv, &transaction, NULL, NULL);
}

static void
on_machine_types(gpointer data, int status, json_t *body) {
  MmInstanceTypes *instance_types = data;
  const json_t *list = mm_json_get(body, WIRE_TYPES);
  MmTime now = mm_node_now(instance_types->node);
  size_t i;
  json_t *item;

  instance_types->fetch_in_flight = FALSE;
  instance_types->next_fetch_at = mm_time_add_ms(now, TYPES_RETRY_MS);
  if (status != 200 || !json_is_array(list)) {
    mm_info("no machine types from the cloud: status %d", status);
    return;
  }
  json_array_foreach(list, i, item) read_type(instance_types, item);
  /* Soon again until the state service holds them: a claim may not have been there yet. */
  instance_types->next_fetch_at = mm_time_add_ms(
      now, instance_types->stored_text != NULL ? TYPES_REFRESH_MS : UNSTORED_TYPES_REFRESH_MS);
  write_types_record(instance_types, list);
}

void
mm_instance_types_tick(MmInstanceTypes *instance_types) {
  if (instance_types->fetch_in_flight
      || mm_time_before(mm_node_now(instance_types->node), instance_types->next_fetch_at))
    return;
  instance_types->fetch_in_flight = TRUE;
  instance_types->node->platform.request(instance_types->node->platform.context, MM_TARGET_CLOUD,
                                         NULL, "GET", WIRE_MACHINE_TYPES_PATH, NULL, 3000,
                                         on_machine_types, instance_types);
}
