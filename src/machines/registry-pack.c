#include "machines/registry-pack.h"

#include "kv/kv-client.h"

/* Maximum size of a pack in bytes, which limits a pack to a few dozen machines. The limit is low
 * because all nodes read a whole pack whenever the pack changes. */
#define PACK_MAX_BYTES 4096
/* Upper bounds on the encoded size of a pack without its entries, and of an entry without its
 * strings. */
#define PACK_OVERHEAD_BYTES 64
#define ENTRY_OVERHEAD_BYTES 40

/* Format of the record: an object with a list of entries. Each entry is an array whose elements are
 * in the order of EntryField. */
#define RECORD_ENTRIES "v"
typedef enum {
  ENTRY_MACHINE_ID,
  ENTRY_ADDR,
  ENTRY_TYPE,
  ENTRY_ZONE,
  ENTRY_IS_SPOT,
  ENTRY_INCARNATION
} EntryField;

void
mm_registry_pack_free(MmRegistryPack *pack) {
  g_array_unref(pack->entries);
  g_free(pack);
}

MmJson *
mm_registry_entries_to_json(const GArray *entries) {
  MmJson *list = mm_json_new_array();

  for (guint i = 0; i < entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(entries, MmRegistryEntry, i);
    mm_json_array_append(list, mm_json_pack("[s, s, s, s, i, I]", entry->machine_id.s, entry->addr,
                                            entry->type.s, entry->zone.s, entry->is_spot ? 1 : 0,
                                            entry->incarnation));
  }
  return mm_json_pack("{s:o}", RECORD_ENTRIES, list);
}

GArray *
mm_registry_entries_from_json(const MmJson *value) {
  GArray *entries = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (mm_json_get(value, RECORD_ENTRIES), i, item) {
    MmRegistryEntry entry
        = { .machine_id = mm_name(mm_json_string_value(mm_json_array_get(item, ENTRY_MACHINE_ID))),
            .type = mm_name(mm_json_string_value(mm_json_array_get(item, ENTRY_TYPE))),
            .zone = mm_name(mm_json_string_value(mm_json_array_get(item, ENTRY_ZONE))),
            .is_spot = mm_json_count_value(mm_json_array_get(item, ENTRY_IS_SPOT)) != 0,
            .incarnation
            = (guint64)mm_json_count_value(mm_json_array_get(item, ENTRY_INCARNATION)) };
    const char *addr = mm_json_string_value(mm_json_array_get(item, ENTRY_ADDR));
    if (mm_name_is_empty(&entry.machine_id))
      continue;
    g_strlcpy(entry.addr, addr != NULL ? addr : "", sizeof entry.addr);
    g_array_append_val(entries, entry);
  }
  return entries;
}

const MmRegistryEntry *
mm_registry_entries_find(const GArray *entries, const char *machine_id) {
  for (guint i = 0; i < entries->len; i++)
    if (strcmp(g_array_index(entries, MmRegistryEntry, i).machine_id.s, machine_id) == 0)
      return &g_array_index(entries, MmRegistryEntry, i);
  return NULL;
}

gsize
mm_registry_entry_bytes(const MmRegistryEntry *entry) {
  return strlen(entry->machine_id.s) + strlen(entry->addr) + strlen(entry->type.s)
         + strlen(entry->zone.s) + ENTRY_OVERHEAD_BYTES;
}

gsize
mm_registry_entries_bytes(const GArray *entries) {
  gsize bytes = 0;

  for (guint i = 0; i < entries->len; i++)
    bytes += mm_registry_entry_bytes(&g_array_index(entries, MmRegistryEntry, i));
  return bytes;
}

gsize
mm_registry_pack_limit_bytes(const MmKvClient *kv) {
  return MIN(mm_kv_client_max_value_bytes(kv), PACK_MAX_BYTES) - PACK_OVERHEAD_BYTES;
}
