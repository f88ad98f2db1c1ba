#include "machines/registry.h"

MmRegistry *
mm_registry_new(MmNode *node) {
  MmRegistry *registry = g_new0(MmRegistry, 1);

  registry->node = node;
  registry->packs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)mm_registry_pack_free);
  return registry;
}

void
mm_registry_free(MmRegistry *registry) {
  g_hash_table_unref(registry->packs);
  g_free(registry);
}

/* Returns the entry of the newest registered incarnation of the machine, or NULL. */
static const MmRegistryEntry *
find_newest_entry(const MmRegistry *registry, const char *machine_id) {
  const MmRegistryEntry *newest_entry = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmRegistryEntry *entry
        = mm_registry_entries_find(((MmRegistryPack *)value)->entries, machine_id);
    if (entry != NULL && (newest_entry == NULL || entry->incarnation > newest_entry->incarnation))
      newest_entry = entry;
  }
  return newest_entry;
}

/* Updates the machine table for the entries of `previous` that are not in `current`. `current` is
 * NULL if the pack was deleted. */
static void
process_removed_entries(MmRegistry *registry, const GArray *previous, const GArray *current) {
  for (guint i = 0; i < previous->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(previous, MmRegistryEntry, i);
    const MmRegistryEntry *remaining_entry;
    if (current != NULL && mm_registry_entries_find(current, entry->machine_id.s) != NULL)
      continue;
    remaining_entry = find_newest_entry(registry, entry->machine_id.s);
    if (remaining_entry != NULL)
      mm_machine_table_record_registration(registry->node->machine_table, remaining_entry);
    else
      mm_machine_table_record_unregistration(registry->node->machine_table, entry->machine_id.s);
  }
}

void
mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const MmJson *value,
                       MmKeyVersion version) {
  MmRegistryPack *pack = g_hash_table_lookup(registry->packs, pack_name);
  g_autoptr(GArray) previous_entries = NULL;

  if (pack != NULL && version.v < pack->version.v)
    return;
  if (pack == NULL) {
    pack = g_new0(MmRegistryPack, 1);
    g_hash_table_insert(registry->packs, g_strdup(pack_name), pack);
  }
  previous_entries = g_steal_pointer(&pack->entries);
  pack->version = version;
  pack->entries = mm_registry_entries_from_json(value);
  for (guint i = 0; i < pack->entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(pack->entries, MmRegistryEntry, i);
    const MmMachine *machine
        = mm_machine_table_find(registry->node->machine_table, entry->machine_id.s);
    if (machine == NULL || !machine->is_in_registry
        || entry->incarnation > machine->registered_incarnation)
      mm_machine_table_record_registration(registry->node->machine_table, entry);
  }
  if (previous_entries != NULL)
    process_removed_entries(registry, previous_entries, pack->entries);
}

void
mm_registry_remove_pack(MmRegistry *registry, const char *pack_name) {
  MmRegistryPack *pack = g_hash_table_lookup(registry->packs, pack_name);
  g_autoptr(GArray) previous_entries = NULL;

  if (pack == NULL)
    return;
  previous_entries = g_array_ref(pack->entries);
  g_hash_table_remove(registry->packs, pack_name);
  process_removed_entries(registry, previous_entries, NULL);
}

char *
mm_registry_own_pack_name(const MmRegistry *registry, guint pack_number) {
  return g_strdup_printf("%s/%u", registry->node->settings->label.s, pack_number);
}

void
mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys) {
  GHashTableIter iter;
  gpointer pack_name;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, &pack_name, NULL))
    g_ptr_array_add(keys, g_strconcat(prefix, pack_name, NULL));
}
