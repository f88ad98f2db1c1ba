/* A pack of the registry: the value of one key, with the entries of several machines, and its
 * codec.
 *
 * An entry says that the incarnation of a machine may run tasks, and what the machine is. */
#pragma once

#include "node/node.h"

typedef struct MmRegistryEntry {
  MmName machine_id;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean is_spot;
  guint64 incarnation;
} MmRegistryEntry;

typedef struct {
  MmKeyVersion version;
  GArray *entries; /* MmRegistryEntry, owned */
} MmRegistryPack;

void mm_registry_pack_free(MmRegistryPack *pack);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmRegistryPack, mm_registry_pack_free)

/* `entries` are of MmRegistryEntry throughout. A new reference. */
json_t *mm_registry_entries_to_json(const GArray *entries);
/* Skips entries without a machine id. `value` is lent; the array is owned by the caller. */
GArray *mm_registry_entries_from_json(const json_t *value);
/* The entry of the machine, lent, or NULL. */
const MmRegistryEntry *mm_registry_entries_find(const GArray *entries, const char *machine_id);
/* An upper bound of the encoded size. */
gsize mm_registry_entry_bytes(const MmRegistryEntry *entry);
gsize mm_registry_entries_bytes(const GArray *entries);
/* How many bytes the entries of one pack may take. */
gsize mm_registry_pack_limit_bytes(const MmKvClient *kv);
