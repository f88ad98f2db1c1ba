/* Registry of machines in the key-value store, which records the incarnations that may run tasks.
 * An incarnation is registered before its first start, so that a new shard leader knows which
 * machines must acknowledge its term before it starts their tasks elsewhere.
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

/* Creates the registry. `node` must outlive it. */
MmRegistry *mm_registry_new(MmNode *node);
void mm_registry_free(MmRegistry *registry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmRegistry, mm_registry_free)

/* Applies a pack from the replica. A version older than the known one is ignored. `value` is
 * borrowed. */
void mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const json_t *value,
                            MmKeyVersion version);
/* Handles the deletion of a pack in the replica. */
void mm_registry_remove_pack(MmRegistry *registry, const char *pack_name);
/* Appends the key of each pack to `keys`: `prefix` followed by the name, newly allocated. */
void mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys);

/* Returns the name of the pack with this number that belongs to this node, newly allocated. */
char *mm_registry_own_pack_name(const MmRegistry *registry, guint pack_number);
/* Registers the incarnations that this node may register and that are not in the registry yet. */
void mm_registry_tick(MmRegistry *registry);
/* Removes ended incarnations, so that the next leader of a shard need not wait for them. Each
 * removal is conditional on the version of its pack, so that a newer incarnation registered in that
 * pack in the meantime is not removed. A newer incarnation that is registered in another pack is
 * not affected. */
void mm_registry_remove_ended_machines(MmRegistry *registry);
