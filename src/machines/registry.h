/* Registry of machines in the key-value store. It records the incarnations that may run tasks. An
 * incarnation is registered before its first start. A new shard leader therefore knows which
 * machines must acknowledge its term before it starts tasks of these machines elsewhere.
 *
 * Entries are grouped into packs, with many entries per key. With one key per machine, a
 * simultaneous change of many incarnations would exhaust the write budget for seconds. Each node
 * writes its own packs, named "<label>/<number>", so that nodes rarely conflict. Any node may
 * remove ended entries from any pack.
 *
 * Owns the packs as contained in the replica. Every write is conditional on the version of its
 * pack. No write is considered successful until the replica contains it. */
#pragma once

#include "machines/machine-table.h"
#include "machines/registry-pack.h"
#include "node/node.h"

struct MmRegistry {
  MmNode *node;
  GHashTable *packs;    /* name -> MmRegistryPack, as contained in the replica */
  gboolean is_writing;  /* a transaction that registers machines is in progress */
  gboolean is_removing; /* a transaction that removes ended entries is in progress */
  MmTime next_write_at;
};

/* Creates the registry. `node` must outlive the registry. */
MmRegistry *mm_registry_new(MmNode *node);
void mm_registry_free(MmRegistry *registry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmRegistry, mm_registry_free)

/* Applies a pack from the replica. If `version` is older than the recorded version of the pack, the
 * call has no effect. `value` is borrowed. */
void mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const MmJson *value,
                            MmKeyVersion version);
/* Handles the deletion of a pack in the replica. */
void mm_registry_remove_pack(MmRegistry *registry, const char *pack_name);
/* Appends the key of each pack to `keys`, as a newly allocated string. The key is `prefix` followed
 * by the pack's name. */
void mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys);

/* Returns the name of this node's own pack with the number `pack_number`, newly allocated. */
char *mm_registry_own_pack_name(const MmRegistry *registry, guint pack_number);
/* Registers the incarnations that this node may register and that are not in the registry yet. */
void mm_registry_tick(MmRegistry *registry);
/* Removes ended incarnations from the registry, so that the next leader of a shard need not wait
 * for their machines. Each removal is conditional on the version of its pack. A newer incarnation
 * that is registered in that pack in the meantime is therefore not removed. A newer incarnation
 * that is registered in another pack is not affected. */
void mm_registry_remove_ended_machines(MmRegistry *registry);
