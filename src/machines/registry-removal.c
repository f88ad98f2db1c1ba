/* Removes ended incarnations from the registry, and splits packs that exceed the current size
 * limit. */
#include "machines/registry.h"

#include "base/wire.h"
#include "kv/kv-client.h"

/* Maximum number of conditions of a transaction, as a multiple of the maximum number of
 * operations. */
#define CONDITIONS_PER_OPERATION 4

static void
removals_written(gpointer data, int status, MmJson *body) {
  ((MmRegistry *)data)->is_removing = FALSE;
}

/* Returns whether the entry's incarnation has ended. A machine has one incarnation at a time, so a
 * message from a newer incarnation proves that all older ones have ended. */
static gboolean
entry_has_ended(const MmMachine *machine, const MmRegistryEntry *entry) {
  if (machine->is_terminated
      || (machine->has_reported && entry->incarnation < machine->latest_message_id.incarnation))
    return TRUE;
  return machine->lease_has_expired
         && (!machine->has_reported
             || entry->incarnation == machine->latest_message_id.incarnation);
}

/* Returns the name of another pack that contains the same incarnation of the machine, borrowed, or
 * NULL if there is none. If a pack is found, sets `version` to the version of that pack. */
static const char *
find_copy_in_other_pack(const MmRegistry *registry, const MmRegistryPack *excluded_pack,
                        const MmRegistryEntry *entry, MmKeyVersion *version) {
  GHashTableIter iter;
  gpointer pack_name, value;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, &pack_name, &value)) {
    const MmRegistryPack *pack = value;
    const MmRegistryEntry *copy = pack != excluded_pack
                                      ? mm_registry_entries_find(pack->entries, entry->machine_id.s)
                                      : NULL;
    if (copy != NULL && copy->incarnation == entry->incarnation) {
      *version = pack->version;
      return pack_name;
    }
  }
  return NULL;
}

static gboolean
has_version_condition(const MmTransaction *transaction, const char *pack_name) {
  g_autofree char *key = g_strconcat(MM_KEY_REGISTRY_PACK, pack_name, NULL);
  size_t i;
  MmJson *condition;

  MM_JSON_ARRAY_FOREACH (transaction->conditions, i, condition) {
    if (g_strcmp0(mm_json_string(condition, WIRE_KEY), key) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Returns the entries that remain in the pack, owned by the caller. Ended incarnations are left
 * out. If the pack was written under a larger size limit, entries that have been copied to another
 * pack are left out too. For each of these copied entries, a condition is added to
 * `copy_conditions`: the other pack must not have changed when this pack is written. The condition
 * ensures that at least one of the two copies remains. */
static GArray *
entries_to_keep(MmRegistry *registry, const MmRegistryPack *pack, MmTransaction *copy_conditions) {
  GArray *remaining = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  gboolean too_large
      = mm_registry_entries_bytes(pack->entries) > mm_registry_pack_limit_bytes(registry->node->kv);

  for (guint i = 0; i < pack->entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(pack->entries, MmRegistryEntry, i);
    const MmMachine *machine
        = mm_machine_table_find(registry->node->machine_table, entry->machine_id.s);
    const char *copied_to = NULL;
    MmKeyVersion version;
    if (machine != NULL && entry_has_ended(machine, entry))
      continue;
    if (too_large)
      copied_to = find_copy_in_other_pack(registry, pack, entry, &version);
    if (copied_to == NULL)
      g_array_append_val(remaining, *entry);
    else if (!has_version_condition(copy_conditions, copied_to))
      mm_transaction_require_version(copy_conditions, MM_KEY_REGISTRY_PACK, copied_to, version);
  }
  return remaining;
}

static char *
unused_pack_name(const MmRegistry *registry) {
  for (guint pack_number = 0;; pack_number++) {
    g_autofree char *pack_name = mm_registry_own_pack_name(registry, pack_number);
    if (!g_hash_table_contains(registry->packs, pack_name))
      return g_steal_pointer(&pack_name);
  }
}

/* Copies entries from the end of a pack that exceeds the current size limit to a new pack. The
 * copied entries are removed from the old pack only after the replica contains the copies. Every
 * reader therefore finds each machine in at least one pack. */
static void
copy_overflow(MmRegistry *registry, const char *pack_name, const MmRegistryPack *pack,
              const GArray *remaining, MmTransaction *transaction) {
  g_autoptr(GArray) copied = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  g_autofree char *new_pack_name = unused_pack_name(registry);
  gsize limit = mm_registry_pack_limit_bytes(registry->node->kv),
        bytes_left = mm_registry_entries_bytes(remaining), bytes_copied = 0;

  for (guint i = remaining->len; i > 0 && bytes_left > limit; i--) {
    const MmRegistryEntry *entry = &g_array_index(remaining, MmRegistryEntry, i - 1);
    if (bytes_copied + mm_registry_entry_bytes(entry) > limit)
      break;
    bytes_copied += mm_registry_entry_bytes(entry);
    bytes_left -= mm_registry_entry_bytes(entry);
    g_array_append_val(copied, *entry);
  }
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, pack_name, pack->version);
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, new_pack_name,
                                 (MmKeyVersion){ 0 });
  mm_transaction_put(transaction, MM_KEY_REGISTRY_PACK, new_pack_name,
                     mm_registry_entries_to_json(copied), 0);
}

static void
write_remaining(const char *pack_name, const MmRegistryPack *pack, const GArray *remaining,
                MmTransaction *transaction) {
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, pack_name, pack->version);
  if (remaining->len > 0)
    mm_transaction_put(transaction, MM_KEY_REGISTRY_PACK, pack_name,
                       mm_registry_entries_to_json(remaining), 0);
  else
    mm_transaction_delete(transaction, MM_KEY_REGISTRY_PACK, pack_name);
}

/* Adds the removal of ended entries from the pack to the transaction. If the remaining entries
 * exceed the size limit, the copying of entries to a new pack is added instead (see copy_overflow).
 * Copying, and a removal that needs conditions on other packs, are added only to an empty
 * transaction. If either is needed and the transaction is not empty, nothing is added in this
 * call. */
static void
remove_ended_entries(MmRegistry *registry, const char *pack_name, const MmRegistryPack *pack,
                     MmTransaction *transaction) {
  MmTransaction copy_conditions = mm_transaction_begin();
  g_autoptr(GArray) remaining = entries_to_keep(registry, pack, &copy_conditions);
  guint conditions_limit
      = CONDITIONS_PER_OPERATION * mm_kv_client_max_operations(registry->node->kv);
  gboolean too_large
      = mm_registry_entries_bytes(remaining) > mm_registry_pack_limit_bytes(registry->node->kv);
  gboolean needs_own_transaction = too_large || mm_json_array_size(copy_conditions.conditions) > 0;

  if (remaining->len < pack->entries->len
      && !(needs_own_transaction && transaction->n_operations > 0)
      && mm_json_array_size(copy_conditions.conditions) < conditions_limit
      && mm_kv_client_try_spend_writes(registry->node->kv, 1)) {
    mm_json_array_extend(transaction->conditions, copy_conditions.conditions);
    if (too_large)
      copy_overflow(registry, pack_name, pack, remaining, transaction);
    else
      write_remaining(pack_name, pack, remaining, transaction);
  }
  mm_json_unref(copy_conditions.conditions);
  mm_json_unref(copy_conditions.operations);
}

void
mm_registry_remove_ended_machines(MmRegistry *registry) {
  MmNode *node = registry->node;
  GHashTableIter iter;
  gpointer pack_name, value;
  MmTransaction transaction;

  if (registry->is_removing || mm_kv_client_is_refused(node->kv))
    return;
  transaction = mm_transaction_begin();
  g_hash_table_iter_init(&iter, registry->packs);
  while (transaction.n_operations < mm_kv_client_max_operations(node->kv)
         && mm_json_array_size(transaction.conditions) <= mm_kv_client_max_operations(node->kv)
         && g_hash_table_iter_next(&iter, &pack_name, &value))
    remove_ended_entries(registry, pack_name, value, &transaction);
  registry->is_removing = transaction.n_operations > 0;
  mm_kv_client_commit_unless_empty(node->kv, &transaction, removals_written, registry);
}
