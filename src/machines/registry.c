#include "machines/registry.h"

#include "base/wire.h"
#include "machines/machine-health.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "kv/kv-client.h"

#define WRITE_INTERVAL_MS 250
/* All nodes read a whole pack whenever it changes, so it is kept to a few dozen machines. */
#define PACK_MAX_BYTES 4096
#define PACK_OVERHEAD_BYTES 64

static void
pack_free(gpointer data) {
  MmRegistryPack *pack = data;

  g_array_unref(pack->entries);
  g_free(pack);
}

MmRegistry *
mm_registry_new(MmNode *node) {
  MmRegistry *registry = g_new0(MmRegistry, 1);

  registry->node = node;
  registry->packs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pack_free);
  return registry;
}

void
mm_registry_free(MmRegistry *registry) {
  g_hash_table_unref(registry->packs);
  g_free(registry);
}

/* ---- packs as JSON ---- */

static json_t *
pack_to_json(const GArray *entries) {
  json_t *list = json_array();

  for (guint i = 0; i < entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(entries, MmRegistryEntry, i);
    json_array_append_new(list, json_pack("[s, s, s, s, i, I]", entry->machine_id.s, entry->addr,
                                          entry->type.s, entry->zone.s, entry->is_spot ? 1 : 0,
                                          (json_int_t)entry->incarnation));
  }
  return json_pack("{s:o}", "v", list);
}

static gsize
entry_bytes(const MmRegistryEntry *entry) {
  return strlen(entry->machine_id.s) + strlen(entry->addr) + strlen(entry->type.s)
         + strlen(entry->zone.s) + 40;
}

static gsize
entries_bytes(const GArray *entries) {
  gsize bytes = 0;

  for (guint i = 0; i < entries->len; i++)
    bytes += entry_bytes(&g_array_index(entries, MmRegistryEntry, i));
  return bytes;
}

/* How many bytes the entries of one pack may take. */
static gsize
pack_limit_bytes(const MmRegistry *registry) {
  return MIN(mm_kv_client_max_value_bytes(registry->node->kv), PACK_MAX_BYTES)
         - PACK_OVERHEAD_BYTES;
}

static GArray *
pack_from_json(const json_t *value) {
  GArray *entries = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  size_t i;
  json_t *item;

  json_array_foreach(mm_json_get(value, "v"), i, item) {
    MmRegistryEntry entry = { .machine_id = mm_name(json_string_value(json_array_get(item, 0))),
                              .type = mm_name(json_string_value(json_array_get(item, 2))),
                              .zone = mm_name(json_string_value(json_array_get(item, 3))),
                              .is_spot = json_integer_value(json_array_get(item, 4)) != 0,
                              .incarnation = (guint64)json_integer_value(json_array_get(item, 5)) };
    const char *addr = json_string_value(json_array_get(item, 1));
    if (mm_name_is_empty(&entry.machine_id))
      continue;
    g_strlcpy(entry.addr, addr != NULL ? addr : "", sizeof entry.addr);
    g_array_append_val(entries, entry);
  }
  return entries;
}

static const MmRegistryEntry *
find_entry(const GArray *entries, const char *machine_id) {
  for (guint i = 0; i < entries->len; i++)
    if (strcmp(g_array_index(entries, MmRegistryEntry, i).machine_id.s, machine_id) == 0)
      return &g_array_index(entries, MmRegistryEntry, i);
  return NULL;
}

/* The entry of the machine's newest registered incarnation, or NULL. */
static const MmRegistryEntry *
find_newest_entry(const MmRegistry *registry, const char *machine_id) {
  const MmRegistryEntry *newest_entry = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmRegistryEntry *entry = find_entry(((MmRegistryPack *)value)->entries, machine_id);
    if (entry != NULL && (newest_entry == NULL || entry->incarnation > newest_entry->incarnation))
      newest_entry = entry;
  }
  return newest_entry;
}

/* ---- from the replica ---- */

/* Handles the entries that a pack no longer has. */
static void
process_removed_entries(MmRegistry *registry, const GArray *previous, const GArray *current) {
  for (guint i = 0; i < previous->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(previous, MmRegistryEntry, i);
    const MmRegistryEntry *remaining_entry;
    if (current != NULL && find_entry(current, entry->machine_id.s) != NULL)
      continue;
    remaining_entry = find_newest_entry(registry, entry->machine_id.s);
    if (remaining_entry != NULL)
      mm_machine_table_record_registration(registry->node->machine_table, remaining_entry);
    else
      mm_machine_table_record_unregistration(registry->node->machine_table, entry->machine_id.s);
  }
}

void
mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const json_t *value,
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
  pack->entries = pack_from_json(value);
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
mm_registry_forget_pack(MmRegistry *registry, const char *pack_name) {
  MmRegistryPack *pack = g_hash_table_lookup(registry->packs, pack_name);
  g_autoptr(GArray) previous_entries = NULL;

  if (pack == NULL)
    return;
  previous_entries = g_array_ref(pack->entries);
  g_hash_table_remove(registry->packs, pack_name);
  process_removed_entries(registry, previous_entries, NULL);
}

void
mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys) {
  GHashTableIter iter;
  gpointer pack_name;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, &pack_name, NULL))
    g_ptr_array_add(keys, g_strconcat(prefix, pack_name, NULL));
}

/* ---- entering machines ---- */

static void
registrations_written(gpointer data, int status, json_t *body) {
  MmRegistry *registry = data;

  /* The replica shows which machines are entered; those it does not show are tried again. */
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

/* The pack's entries without those that a newer incarnation has replaced elsewhere, and as many of
 * `unregistered` as fit, which are removed from its end. */
static GArray *
fill_pack(const MmRegistry *registry, const MmRegistryPack *pack, GPtrArray *unregistered) {
  GArray *entries = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  gsize limit = pack_limit_bytes(registry), bytes = 0;

  for (guint i = 0; pack != NULL && i < pack->entries->len; i++) {
    const MmRegistryEntry *entry = &g_array_index(pack->entries, MmRegistryEntry, i);
    const MmMachine *machine
        = mm_machine_table_find(registry->node->machine_table, entry->machine_id.s);
    if (machine != NULL
        && (entry->incarnation < machine->registered_incarnation
            || g_ptr_array_find(unregistered, machine, NULL)))
      continue;
    g_array_append_val(entries, *entry);
    bytes += entry_bytes(entry);
  }
  while (unregistered->len > 0) {
    const MmMachine *machine = g_ptr_array_index(unregistered, unregistered->len - 1);
    MmRegistryEntry entry = { .machine_id = machine->id,
                              .type = machine->type_name,
                              .zone = machine->zone,
                              .is_spot = machine->is_spot,
                              .incarnation = machine->latest_message_id.incarnation };
    memcpy(entry.addr, machine->addr, sizeof entry.addr);
    if (bytes + entry_bytes(&entry) > limit)
      break;
    bytes += entry_bytes(&entry);
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
    g_autofree char *pack_name = g_strdup_printf("%s/%u", node->settings->label.s, pack_number);
    const MmRegistryPack *pack = g_hash_table_lookup(registry->packs, pack_name);
    guint n_before = unregistered->len;
    g_autoptr(GArray) entries = fill_pack(registry, pack, unregistered);

    if (unregistered->len == n_before)
      continue;
    if (!mm_kv_client_try_spend_writes(node->kv, 1))
      break;
    mm_transaction_require_version(&transaction, MM_KEY_REGISTRY_PACK, pack_name,
                                   pack != NULL ? pack->version : (MmKeyVersion){ 0 });
    mm_transaction_put(&transaction, MM_KEY_REGISTRY_PACK, pack_name, pack_to_json(entries), 0);
  }
  registry->is_writing = transaction.n_operations > 0;
  mm_kv_client_commit_unless_empty(node->kv, &transaction, registrations_written, registry);
}

/* ---- removing entries ---- */

static void
removals_written(gpointer data, int status, json_t *body) {
  ((MmRegistry *)data)->is_removing = FALSE;
}

/* A machine has one incarnation at a time: a message of a newer one ends the older. */
static gboolean
entry_has_ended(const MmMachine *machine, const MmRegistryEntry *entry) {
  if (machine->is_terminated
      || (machine->has_reported && entry->incarnation < machine->latest_message_id.incarnation))
    return TRUE;
  return machine->lease_has_expired
         && (!machine->has_reported
             || entry->incarnation == machine->latest_message_id.incarnation);
}

/* The name of another pack with the same incarnation of the machine, or NULL; lent. */
static const char *
find_copy_in_other_pack(const MmRegistry *registry, const MmRegistryPack *excluded_pack,
                        const MmRegistryEntry *entry, MmKeyVersion *version) {
  GHashTableIter iter;
  gpointer pack_name, value;

  g_hash_table_iter_init(&iter, registry->packs);
  while (g_hash_table_iter_next(&iter, &pack_name, &value)) {
    const MmRegistryPack *pack = value;
    const MmRegistryEntry *copy
        = pack != excluded_pack ? find_entry(pack->entries, entry->machine_id.s) : NULL;
    if (copy != NULL && copy->incarnation == entry->incarnation) {
      *version = pack->version;
      return pack_name;
    }
  }
  return NULL;
}

static gboolean
pack_is_guarded(const MmTransaction *transaction, const char *pack_name) {
  g_autofree char *key = g_strconcat(MM_KEY_REGISTRY_PACK, pack_name, NULL);
  size_t i;
  json_t *guard;

  json_array_foreach(transaction->conditions, i,
                     guard) if (g_strcmp0(mm_json_string(guard, WIRE_KEY), key) == 0) return TRUE;
  return FALSE;
}

/* The entries that stay in the pack: without the incarnations that are over and, in a pack written
 * under larger limits, without those that have been copied to another pack. `guards` then gets a
 * condition that the other pack stays unchanged until this one is written: of two copies one has to
 * remain. */
static GArray *
entries_to_keep(MmRegistry *registry, const MmRegistryPack *pack, MmTransaction *guards) {
  GArray *remaining = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  gboolean too_large = entries_bytes(pack->entries) > pack_limit_bytes(registry);

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
    else if (!pack_is_guarded(guards, copied_to))
      mm_transaction_require_version(guards, MM_KEY_REGISTRY_PACK, copied_to, version);
  }
  return remaining;
}

static char *
unused_pack_name(const MmRegistry *registry) {
  for (guint pack_number = 0;; pack_number++) {
    char *pack_name = g_strdup_printf("%s/%u", registry->node->settings->label.s, pack_number);
    if (!g_hash_table_contains(registry->packs, pack_name))
      return pack_name;
    g_free(pack_name);
  }
}

/* Copies the last entries, which exceed the pack's present limit, to a new pack. They leave this
 * one once the replica shows the copies: no reader ever finds a machine in neither. */
static void
copy_overflow(MmRegistry *registry, const char *pack_name, const MmRegistryPack *pack,
              const GArray *remaining, MmTransaction *transaction) {
  g_autoptr(GArray) copied = g_array_new(FALSE, TRUE, sizeof(MmRegistryEntry));
  g_autofree char *new_pack_name = unused_pack_name(registry);
  gsize limit = pack_limit_bytes(registry), bytes_left = entries_bytes(remaining), bytes_copied = 0;

  for (guint i = remaining->len; i > 0 && bytes_left > limit; i--) {
    const MmRegistryEntry *entry = &g_array_index(remaining, MmRegistryEntry, i - 1);
    if (bytes_copied + entry_bytes(entry) > limit)
      break;
    bytes_copied += entry_bytes(entry);
    bytes_left -= entry_bytes(entry);
    g_array_append_val(copied, *entry);
  }
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, pack_name, pack->version);
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, new_pack_name,
                                 (MmKeyVersion){ 0 });
  mm_transaction_put(transaction, MM_KEY_REGISTRY_PACK, new_pack_name, pack_to_json(copied), 0);
}

static void
write_remaining(const char *pack_name, const MmRegistryPack *pack, const GArray *remaining,
                MmTransaction *transaction) {
  mm_transaction_require_version(transaction, MM_KEY_REGISTRY_PACK, pack_name, pack->version);
  if (remaining->len > 0)
    mm_transaction_put(transaction, MM_KEY_REGISTRY_PACK, pack_name, pack_to_json(remaining), 0);
  else
    mm_transaction_delete(transaction, MM_KEY_REGISTRY_PACK, pack_name);
}

/* A pack whose removal needs conditions on other packs, or a copy, gets a transaction of its own.
 */
static void
remove_ended_entries(MmRegistry *registry, const char *pack_name, const MmRegistryPack *pack,
                     MmTransaction *transaction) {
  MmTransaction guards = mm_transaction_begin();
  g_autoptr(GArray) remaining = entries_to_keep(registry, pack, &guards);
  guint guards_limit = 4 * mm_kv_client_max_operations(registry->node->kv);
  gboolean too_large = entries_bytes(remaining) > pack_limit_bytes(registry);
  gboolean needs_own_transaction = too_large || json_array_size(guards.conditions) > 0;

  if (remaining->len < pack->entries->len
      && !(needs_own_transaction && transaction->n_operations > 0)
      && json_array_size(guards.conditions) < guards_limit
      && mm_kv_client_try_spend_writes(registry->node->kv, 1)) {
    json_array_extend(transaction->conditions, guards.conditions);
    if (too_large)
      copy_overflow(registry, pack_name, pack, remaining, transaction);
    else
      write_remaining(pack_name, pack, remaining, transaction);
  }
  json_decref(guards.conditions);
  json_decref(guards.operations);
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
         && json_array_size(transaction.conditions) <= mm_kv_client_max_operations(node->kv)
         && g_hash_table_iter_next(&iter, &pack_name, &value))
    remove_ended_entries(registry, pack_name, value, &transaction);
  registry->is_removing = transaction.n_operations > 0;
  mm_kv_client_commit_unless_empty(node->kv, &transaction, removals_written, registry);
}
