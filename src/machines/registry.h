/* The register of machines in the state service: who may hold tasks. A machine's session is in it
 * before its first start, so that a new holder of a part knows whom it must hear. Entries are
 * packed, many a key: one key a machine cost more than ten seconds of all writes after every mass
 * change of sessions. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

struct MmRegistryEntry {
  MmName machine_id;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean is_spot;
  guint64 incarnation;
};

typedef struct {
  MmKeyVersion version;
  GArray *entries; /* MmRegistryEntry */
} MmRegistryPack;

struct MmRegistry {
  MmNode *node;
  GHashTable *packs; /* name -> MmRegistryPack, as the replica shows them */
  gboolean is_writing;
  gboolean is_removing;
  MmTime next_write_at;
};

MmRegistry *mm_registry_new(MmNode *node);
void mm_registry_free(MmRegistry *registry);

/* From the replica. */
void mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const json_t *value,
                            MmKeyVersion version);
void mm_registry_forget_pack(MmRegistry *registry, const char *pack_name);
void mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys);

/* Enters the sessions heard here that are not in the register yet. */
void mm_registry_tick(MmRegistry *registry);
/* Takes lost and returned machines off: nobody need wait to hear them after the next taking of a
 * part. Guarded by the versions of their packs, which a newer session entered there would change;
 * one entered elsewhere stays. */
void mm_registry_remove_ended_machines(MmRegistry *registry);
