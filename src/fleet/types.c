#include "fleet/types.h"

#include "base/wire.h"

#define REFRESH_MS 60000
#define RETRY_MS 1000

static void
type_free(gpointer data) {
  MmType *type = data;

  g_array_unref(type->zones);
  g_free(type);
}

MmTypes *
mm_types_new(MmNode *node) {
  MmTypes *types = g_new0(MmTypes, 1);

  types->node = node;
  types->types = g_ptr_array_new_with_free_func(type_free);
  return types;
}

void
mm_types_free(MmTypes *types) {
  g_ptr_array_unref(types->types);
  g_free(types);
}

gboolean
mm_types_known(const MmTypes *types) {
  return types->types->len > 0;
}

const MmType *
mm_types_find(const MmTypes *types, const MmName *name) {
  for (guint i = 0; i < types->types->len; i++) {
    const MmType *type = g_ptr_array_index(types->types, i);
    if (mm_name_equal(&type->name, name))
      return type;
  }
  return NULL;
}

gboolean
mm_type_in_zone(const MmType *type, const MmName *zone) {
  for (guint i = 0; i < type->zones->len; i++)
    if (mm_name_equal(&g_array_index(type->zones, MmName, i), zone))
      return TRUE;
  return type->zones->len == 0;
}

gboolean
mm_types_any_fits(const MmTypes *types, const MmSpec *spec) {
  for (guint i = 0; i < types->types->len; i++) {
    const MmType *type = g_ptr_array_index(types->types, i);
    if (mm_spec_allows_type(spec, &type->name) && mm_room_fits(spec->need, type->room)
        && (mm_name_is_empty(&spec->zone) || mm_type_in_zone(type, &spec->zone)))
      return TRUE;
  }
  return FALSE;
}

static void
read_type(MmTypes *types, const json_t *item) {
  MmName name = mm_name(mm_json_string(item, W_TYPE_NAME));
  MmType *type = (MmType *)mm_types_find(types, &name);
  size_t i;
  json_t *zone;

  if (mm_name_is_empty(&name))
    return;
  if (type == NULL) {
    type = g_new0(MmType, 1);
    type->name = name;
    type->zones = g_array_new(FALSE, TRUE, sizeof(MmName));
    g_ptr_array_add(types->types, type);
  }
  type->room = (MmRoom){ mm_json_number(item, W_CORES, 0), mm_json_number(item, W_ACCELERATORS, 0),
                         mm_json_number(item, W_MEMORY, 0) };
  type->cache_gb = mm_json_number(item, W_CACHE_GB, 0);
  type->fetch_gb_per_s = MAX(mm_json_number(item, W_FETCH_RATE, 1), 1e-3);
  type->price = mm_json_number(item, W_PRICE, 0);
  type->spot_price = mm_json_number(item, W_SPOT_PRICE, type->price);
  type->boot_s = mm_json_number(item, W_BOOT, 60);
  g_array_set_size(type->zones, 0);
  json_array_foreach(mm_json_get(item, W_ZONES), i, zone) {
    MmName z = mm_name(json_string_value(zone));
    g_array_append_val(type->zones, z);
  }
}

static void
answered(gpointer data, int status, json_t *body) {
  MmTypes *types = data;
  const json_t *list = mm_json_get(body, W_TYPES);
  MmTime now = mm_node_now(types->node);
  size_t i;
  json_t *item;

  types->asking = FALSE;
  types->next = mm_time_add_ms(now, RETRY_MS);
  if (status != 200 || !json_is_array(list)) {
    mm_info("no machine types from the cloud: status %d", status);
    return;
  }
  json_array_foreach(list, i, item) read_type(types, item);
  types->next = mm_time_add_ms(now, REFRESH_MS);
}

void
mm_types_tick(MmTypes *types) {
  if (types->asking || mm_time_before(mm_node_now(types->node), types->next))
    return;
  types->asking = TRUE;
  types->node->port.request(types->node->port.self, MM_TARGET_CLOUD, NULL, "GET",
                            W_MACHINE_TYPES_PATH, NULL, 3000, answered, types);
}
