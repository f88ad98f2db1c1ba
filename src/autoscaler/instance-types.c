#include "autoscaler/instance-types.h"

#include "base/wire.h"
#include "leases/node-lease.h"
#include "kv/kv-client.h"

#define TYPES_REFRESH_MS 60000
#define TYPES_RETRY_MS 1000 /* after a failed fetch */
/* Refresh interval of the types until this node knows of a stored record of them. */
#define UNSTORED_TYPES_REFRESH_MS 3000
#define TYPES_TIMEOUT_MS 3000
/* Maximum number of bytes by which the stored record may exceed the text of the types, which omits
 * the prices. */
#define RECORD_OVERHEAD_BYTES 512

MmInstanceTypes *
mm_instance_types_new(MmNode *node) {
  MmInstanceTypes *instance_types = g_new0(MmInstanceTypes, 1);

  instance_types->node = node;
  instance_types->types = g_ptr_array_new_with_free_func((GDestroyNotify)mm_instance_type_free);
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

/* Takes ownership of `parsed`. */
static void
add_or_update(MmInstanceTypes *instance_types, MmInstanceType *parsed) {
  MmInstanceType *known = (MmInstanceType *)mm_instance_types_find(instance_types, &parsed->name);

  if (known == NULL) {
    g_ptr_array_add(instance_types->types, parsed);
    return;
  }
  /* Updates the type in place, because other modules keep pointers to it. */
  g_array_unref(known->zones);
  *known = *parsed;
  g_free(parsed);
}

static void
load_types(MmInstanceTypes *instance_types, const MmJson *list) {
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (list, i, item) {
    MmInstanceType *type = mm_instance_type_parse(item);
    if (type != NULL)
      add_or_update(instance_types, type);
  }
}

void
mm_instance_types_load_stored(MmInstanceTypes *instance_types, const MmJson *json,
                              MmKeyVersion version) {
  const MmJson *list = mm_instance_type_list_of(json);

  if (list == NULL)
    return;
  g_free(instance_types->stored_text);
  instance_types->stored_text = mm_instance_type_list_to_text_without_prices(list);
  instance_types->stored_version = version;
  /* Types that the cloud has returned to this node are newer than the stored ones. */
  if (mm_instance_types_are_known(instance_types))
    return;
  load_types(instance_types, list);
}

/* Stores the list as the cloud sent it, if it differs from the stored list in more than the prices.
 * Skips the write while this node may not answer workers, when the record would exceed the maximum
 * size of a value, or when the write budget is used up. */
static void
write_types_record(MmInstanceTypes *instance_types, const MmJson *list) {
  MmNode *node = instance_types->node;
  g_autofree char *text = mm_instance_type_list_to_text_without_prices(list);
  MmTransaction transaction;

  if (g_strcmp0(text, instance_types->stored_text) == 0
      || !mm_node_lease_may_answer_workers(node->node_lease)
      || strlen(text) + RECORD_OVERHEAD_BYTES > node->settings->kv_max_value_bytes
      || !mm_kv_client_try_spend_writes(node->kv, 1))
    return;
  transaction = mm_transaction_begin();
  /* The condition on the version prevents a delayed write from replacing a newer record. */
  mm_transaction_require_version(&transaction, MM_KEY_INSTANCE_TYPES, "",
                                 instance_types->stored_version);
  mm_transaction_put(&transaction, MM_KEY_INSTANCE_TYPES, "", mm_instance_type_record_to_json(list),
                     0);
  /* A failed write is ignored, because the next response from the cloud triggers another write. */
  mm_kv_client_commit(node->kv, &transaction, NULL, NULL);
}

static void
on_machine_types(gpointer data, int status, MmJson *body) {
  MmInstanceTypes *instance_types = data;
  const MmJson *list = mm_instance_type_list_of(body);
  MmTime now = mm_node_now(instance_types->node);

  instance_types->fetch_in_flight = FALSE;
  instance_types->next_fetch_at = mm_time_add_ms(now, TYPES_RETRY_MS);
  if (status != 200 || list == NULL) {
    mm_info("cloud machine types request failed: error status or malformed body status=%d", status);
    return;
  }
  load_types(instance_types, list);
  /* Until the types are stored, the next fetch is due sooner. The write below may be skipped, for
   * example because the node has no lease yet. A skipped write is retried only after another
   * response from the cloud. */
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
                                         NULL, "GET", WIRE_MACHINE_TYPES_PATH, NULL,
                                         TYPES_TIMEOUT_MS, on_machine_types, instance_types);
}
