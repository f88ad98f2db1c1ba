/* Map from machine groups to their owners, as the key-value store shows them.
 *
 * Each node has one key, its ownership record, that lists the groups it owns, each with the term of
 * the transaction by which the node acquired the group. The key is attached to the node's lease, so
 * a node whose lease expires loses all its groups at once. A group is in at most one record,
 * because no two transactions that assign groups start from the same map: each such transaction
 * increments the global term and requires the term's version to be unchanged. */
#pragma once

#include "base/json.h"

#include "base/types.h"
#include "sharing/group-set.h"

/* Groups that their owner acquired in one transaction. */
typedef struct {
  MmTerm term;
  MmGroupSet *groups;
} MmGroupAcquisition;

/* The ownership record of one node, parsed from the value of the node's key. */
typedef struct {
  MmName node;
  guint64 lease_id;
  MmKeyVersion version;
  guint n_groups;          /* number of groups in the settings of the node that wrote the record */
  GPtrArray *acquisitions; /* MmGroupAcquisition */
} MmOwnershipRecord;

typedef struct {
  const MmOwnershipRecord *record; /* the owner's record, borrowed; NULL: the group has no owner */
  MmTerm term;                     /* under which the owner acquired the group; 0: no owner */
} MmGroupOwner;

typedef struct {
  guint n_groups;
  GHashTable *records;   /* label -> MmOwnershipRecord */
  GHashTable *malformed; /* label -> MmKeyVersion: keys that could not be parsed */
  MmGroupOwner *owners;  /* by group */
  MmTerm newest_term;    /* the highest term that any group has had */
} MmGroupMap;

/* Creates an empty map. `n_groups`: at least 1. */
MmGroupMap *mm_group_map_new(guint n_groups);
void mm_group_map_free(MmGroupMap *map);
/* Stores the new value of a node's key. Returns FALSE if the value is malformed. The groups of that
 * node are then unknown, so no other node may acquire groups that seem to have no owner. */
gboolean mm_group_map_put(MmGroupMap *map, const char *label, const MmJson *value,
                          MmKeyVersion version);
/* Removes a node's key that was deleted from the key-value store. */
void mm_group_map_remove(MmGroupMap *map, const char *label);
/* Appends the names of all known keys to `keys`, including the keys with malformed values. Each
 * name is a new string: `prefix` followed by the label. The caller frees them with g_free. */
void mm_group_map_list_keys(const MmGroupMap *map, const char *prefix, GPtrArray *keys);

/* Returns the node's ownership record, owned by the map and valid until the key changes; NULL: the
 * node has no key, or a malformed one. */
const MmOwnershipRecord *mm_group_map_ownership_record(const MmGroupMap *map, const char *label);
/* Returns the version of the node's key, malformed or not; 0: there is no key. */
MmKeyVersion mm_group_map_key_version(const MmGroupMap *map, const char *label);
/* Returns the group's owner. A group number outside the map has no owner. */
MmGroupOwner mm_group_map_owner(const MmGroupMap *map, guint group);
/* Searches the ownership records for a number of groups that differs from `n_groups` of the map.
 * Returns that number; 0: all records agree with the map. */
guint mm_group_map_conflicting_group_count(const MmGroupMap *map);

/* Builder of an ownership record's JSON. */
typedef struct MmOwnershipRecordBuilder MmOwnershipRecordBuilder;
MmOwnershipRecordBuilder *mm_ownership_record_builder_new(guint n_groups, guint64 lease_id);
void mm_ownership_record_builder_free(MmOwnershipRecordBuilder *builder);
/* Adds a group whose number is below `n_groups`. If the group is listed already, the later term is
 * kept. */
void mm_ownership_record_builder_add(MmOwnershipRecordBuilder *builder, guint group, MmTerm term);
/* Adds all groups of the record except those in `without`, which may be NULL. The record must have
 * the same number of groups as the builder. */
void mm_ownership_record_builder_add_all(MmOwnershipRecordBuilder *builder,
                                         const MmOwnershipRecord *record,
                                         const MmGroupSet *without);
/* Sets the terms of all listed groups to `term`, which makes the JSON shorter. */
void mm_ownership_record_builder_set_all_terms(MmOwnershipRecordBuilder *builder, MmTerm term);
/* Returns the JSON value for the node's key, with a reference that the caller owns. */
MmJson *mm_ownership_record_builder_to_json(const MmOwnershipRecordBuilder *builder);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmOwnershipRecordBuilder, mm_ownership_record_builder_free)
