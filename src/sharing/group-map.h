/* Who owns which machine group, as the key-value store shows it.
 *
 * Each node has one key that lists the groups it owns, each with the term of the transaction by
 * which it acquired the group. The key is attached to the node's lease, so a node whose lease
 * expires loses all its groups at once. A group is in at most one key: every transaction that gives
 * a group to a node raises the global term and is guarded by its version, so two of them never
 * build on the same map. */
#pragma once

#include <jansson.h>

#include "base/types.h"
#include "sharing/group-set.h"

/* Groups that their owner acquired by one transaction. */
typedef struct {
  MmTerm term;
  MmGroupSet *groups;
} MmGroupGrant;

/* What one node's key says. */
typedef struct {
  MmName node;
  guint64 lease_id;
  MmKeyVersion version;
  guint n_groups;    /* into how many groups its writer divides the fleet */
  GPtrArray *grants; /* MmGroupGrant */
} MmGroupHolding;

typedef struct {
  const MmGroupHolding *holding; /* NULL: nobody owns it */
  MmTerm term;
} MmGroupOwner;

typedef struct {
  guint n_groups;
  GHashTable *holdings;  /* label -> MmGroupHolding */
  GHashTable *malformed; /* label -> MmKeyVersion: keys that could not be read */
  MmGroupOwner *owners;  /* by group */
  MmTerm newest_term;    /* the highest term of any group */
} MmGroupMap;

/* `n_groups`: at least 1. */
MmGroupMap *mm_group_map_new(guint n_groups);
void mm_group_map_free(MmGroupMap *map);
/* A node's key has changed. FALSE when it is malformed: then it is unknown what the node owns, and
 * no group without an owner may be acquired by anybody. */
gboolean mm_group_map_put(MmGroupMap *map, const char *label, const json_t *value,
                          MmKeyVersion version);
void mm_group_map_remove(MmGroupMap *map, const char *label);
/* Appends the known keys, each behind the prefix; free them with g_free. */
void mm_group_map_list_keys(const MmGroupMap *map, const char *prefix, GPtrArray *keys);

/* NULL: the node has no key, or a malformed one. Valid until the key changes. */
const MmGroupHolding *mm_group_map_holding(const MmGroupMap *map, const char *label);
/* The version of the node's key, malformed or not; 0: there is none. */
MmKeyVersion mm_group_map_key_version(const MmGroupMap *map, const char *label);
MmGroupOwner mm_group_map_owner(const MmGroupMap *map, guint group);
/* Another number of groups than this map's, as some key says; 0: none does. */
guint mm_group_map_conflicting_count(const MmGroupMap *map);

/* A key's value under construction. */
typedef struct MmGroupValue MmGroupValue;
MmGroupValue *mm_group_value_new(guint n_groups, guint64 lease_id);
void mm_group_value_free(MmGroupValue *value);
/* Adds a group; of one that is listed already the later term counts. */
void mm_group_value_add(MmGroupValue *value, guint group, MmTerm term);
/* Adds all groups of the holding except those of `without` (may be NULL). */
void mm_group_value_add_all(MmGroupValue *value, const MmGroupHolding *holding,
                            const MmGroupSet *without);
/* Replaces the terms of all listed groups by this one. */
void mm_group_value_use_one_term(MmGroupValue *value, MmTerm term);
json_t *mm_group_value_to_json(const MmGroupValue *value);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmGroupValue, mm_group_value_free)
