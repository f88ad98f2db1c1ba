/* A pack of the registry, and the codec for packs. A pack is the value of one key and contains the
 * entries of several machines.
 *
 * An entry describes a machine and permits one incarnation of that machine to run tasks. */
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
  GArray *entries; /* elements: MmRegistryEntry, owned */
} MmRegistryPack;

void mm_registry_pack_free(MmRegistryPack *pack);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmRegistryPack, mm_registry_pack_free)

/* Returns the entries (elements: MmRegistryEntry) as JSON, as a new reference. */
MmJson *mm_registry_entries_to_json(const GArray *entries);
/* Returns the decoded entries (elements: MmRegistryEntry), owned by the caller. Skips entries
 * without a machine id. `value` is borrowed. */
GArray *mm_registry_entries_from_json(const MmJson *value);
/* Returns the entry of the machine, borrowed, or NULL. */
const MmRegistryEntry *mm_registry_entries_find(const GArray *entries, const char *machine_id);
/* Returns an upper bound on the encoded size in bytes. */
gsize mm_registry_entry_bytes(const MmRegistryEntry *entry);
gsize mm_registry_entries_bytes(const GArray *entries);
/* Returns the maximum total size in bytes of the entries in one pack. */
gsize mm_registry_pack_limit_bytes(const MmKvClient *kv);
