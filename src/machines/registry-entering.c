/* Registers machines in the registry. */
#include "machines/registry.h"

#include "kv/kv-client.h"
#include "kv/replica.h"
#include "machines/machine-health.h"
#include "sharing/sharing.h"

/* Minimum time between two transactions that register machines. */
#define WRITE_INTERVAL_MS 250

static void
registrations_written(gpointer data, int status, MmJson *body) {
  MmRegistry *registry = data;

  /* The status is not checked, because the replica shows which machines were registered. The
   * registration of the other machines is tried again. */
  registry->is_writing = FALSE;
  registry->next_write_at = mm_time_add_ms(mm_node_now(registry->node), WRITE_INTERVAL_MS);
}

static GPtrArray *
machines_to_register(const MmRegistry *registry) {
  GPtrArray *unregistered = g_ptr_array_new();
  const GPtrArray *machines = registry->node->machine_table->sorted_machines;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    if (!mm_machine_has_registered_incarnation(machine) && machine->has_reported
        && !machine->lease_has_expired && !machine->is_being_terminated
        && mm_sharing_may_register(registry->node->sharing, machine)
        && !mm_machine_health_ignores_responses(registry->node->machine_table, machine))
      g_ptr_array_add(unregistered, machine);
  }
  return unregistered;
}

/* Appends the entries of the pack. Skips an entry if a newer incarnation of its machine is
 * registered in another pack or is about to be registered. */
static void
append_current_entries(const MmRegistry *registry, const MmRegistryPack *pack,
                       GPtrArray *unregistered, GArray *entries) {
  for (guint i = 0; i < pack->entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(pack->entries, MmRegistryEntry, i);
    const MmMachine *machine
        = mm_machine_table_find(registry->node->machine_table, entry->machine_id.s);
    if (machine != NULL
        && (entry->incarnation < machine->registered_incarnation
            || g_ptr_array_find(unregistered, machine, NULL)))
      continue;
    g_array_append_val(entries, *entry);
  }
}

static MmRegistryEntry
entry_of_machine(const MmMachine *machine) {
  MmRegistryEntry entry = { .machine_id = machine->id,
                            .type = machine->type_name,
                            .zone = machine->zone,
                            .is_spot = machine->is_spot,
                            .incarnation = machine->latest_message_id.incarnation };

  memcpy(entry.addr, machine->addr, sizeof entry.addr);
  return entry;
}

/* Returns the entries to write to the pack, owned by the caller. They are the pack's current
 * entries and as many machines from `unregistered` as fit. `pack` is NULL for a new pack. The
 * machines that fit are removed from the end of `unregistered`. */
static GArray *
fill_pack(const MmRegistry *registry, const MmRegistryPack *pack, GPtrArray *unregistered) {
  GArray *entries = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  gsize limit = mm_registry_pack_limit_bytes(registry->node->kv), bytes;

  if (pack != NULL)
    append_current_entries(registry, pack, unregistered, entries);
  bytes = mm_registry_entries_bytes(entries);
  while (unregistered->len > 0) {
    MmRegistryEntry entry
        = entry_of_machine(g_ptr_array_index(unregistered, unregistered->len - 1));
    if (bytes + mm_registry_entry_bytes(&entry) > limit)
      break;
    bytes += mm_registry_entry_bytes(&entry);
    g_array_append_val(entries, entry);
    g_ptr_array_set_size(unregistered, (gint)unregistered->len - 1);
  }
  return entries;
}

void
mm_registry_tick(MmRegistry *registry) {
  MmNode *node = registry->node;
  MmTime now = mm_node_now(node);
  g_autoptr(GPtrArray) unregistered = NULL;
  MmTransaction transaction;

  if (registry->is_writing || mm_time_before(now, registry->next_write_at)
      || mm_kv_client_is_refused(node->kv) || !node->replica->is_loaded)
    return;
  registry->next_write_at = mm_time_add_ms(now, WRITE_INTERVAL_MS);
  unregistered = machines_to_register(registry);
  if (unregistered->len == 0)
    return;
  transaction = mm_transaction_begin();
  for (guint pack_number = 0;
       unregistered->len > 0 && transaction.n_operations < mm_kv_client_max_operations(node->kv);
       pack_number++) {
    g_autofree char *pack_name = mm_registry_own_pack_name(registry, pack_number);
    const MmRegistryPack *pack = g_hash_table_lookup(registry->packs, pack_name);
    guint n_before = unregistered->len;
    g_autoptr(GArray) entries = fill_pack(registry, pack, unregistered);

    if (unregistered->len == n_before)
      continue;
    if (!mm_kv_client_try_spend_writes(node->kv, 1))
      break;
    mm_transaction_require_version(&transaction, MM_KEY_REGISTRY_PACK, pack_name,
                                   pack != NULL ? pack->version : (MmKeyVersion){ 0 });
    mm_transaction_put(&transaction, MM_KEY_REGISTRY_PACK, pack_name,
                       mm_registry_entries_to_json(entries), 0);
  }
  registry->is_writing = transaction.n_operations > 0;
  mm_kv_client_commit_unless_empty(node->kv, &transaction, registrations_written, registry);
}
