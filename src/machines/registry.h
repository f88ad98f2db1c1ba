/* The registry of machines in the key-value store: which incarnations may run tasks. An incarnation
 * is entered before its first start, so that a new shard leader knows from which machines it must
 * hear before it places their tasks elsewhere.
 *
 * Entries are packed, many to a key: with one key a machine, a mass change of incarnations would
 * use up the write budget for seconds. Each node writes packs of its own, named "<label>/<number>",
 * so that nodes rarely conflict; any node removes entries that have ended, from any pack.
 *
 * Owns the packs as the replica shows them. Every write requires the version of its pack; nothing
 * is taken as written before the replica shows it. */
#pragma once

#include "machines/machine-table.h"
#include "machines/registry-pack.h"
#include "node/node.h"

struct MmRegistry {
  MmNode *node;
  GHashTable *packs;    /* name -> MmRegistryPack, as the replica shows them */
  gboolean is_writing;  /* a transaction that enters machines is under way */
  gboolean is_removing; /* a transaction that removes ended entries is under way */
  MmTime next_write_at;
};

/* The node must outlive the registry. */
MmRegistry *mm_registry_new(MmNode *node);
void mm_registry_free(MmRegistry *registry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmRegistry, mm_registry_free)

/* The replica shows this pack. An older version than the known one changes nothing. `value` is
 * lent. */
void mm_registry_apply_pack(MmRegistry *registry, const char *pack_name, const json_t *value,
                            MmKeyVersion version);
/* The replica shows that the pack is deleted. */
void mm_registry_forget_pack(MmRegistry *registry, const char *pack_name);
/* Appends the keys of all packs, each newly allocated, `prefix` before the name. */
void mm_registry_list_keys(const MmRegistry *registry, const char *prefix, GPtrArray *keys);

/* The name of a pack that this node writes, newly allocated. */
char *mm_registry_own_pack_name(const MmRegistry *registry, guint pack_number);
/* Enters the incarnations that this node may register and that are not in the registry yet. */
void mm_registry_tick(MmRegistry *registry);
/* Removes the incarnations that are over: the next leader of a shard need not wait for them. A
 * condition on the version of the pack guards against removing a newer incarnation that is entered
 * there meanwhile; one entered in another pack stays. */
void mm_registry_remove_ended_machines(MmRegistry *registry);
