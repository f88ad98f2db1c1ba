/* Which version of records and frames each node supports, for rolling upgrades.
 *
 * During an upgrade old and new processes serve side by side; what only new ones support is stored
 * once every node of the settings has announced that version. Each node announces it by a durable
 * key of its own: an upgraded node never returns to an older version. Nodes older than these keys
 * have none, and ignore those of the others. The key also announces the number of machine groups
 * that the node's settings name. */
#pragma once

#include "config/operators.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "platform/platform.h"

typedef enum {
  MM_VERSION_NONE,        /* no key: may be older than these keys */
  MM_VERSION_DEPENDENCIES /* jobs with dependencies; terminal records with a time */
} MmVersion;
#define MM_VERSION_CURRENT MM_VERSION_DEPENDENCIES

typedef struct MmVersions {
  const MmPlatform *platform;
  const MmSettings *settings;
  const MmOperators *operators;
  MmKvClient *kv;
  const MmReplica *replica;
  gboolean (*may_announce)(gconstpointer context); /* NULL: always */
  gconstpointer may_announce_context;
  GHashTable *node_versions;     /* label -> MmVersion, by GUINT_TO_POINTER */
  GHashTable *node_group_counts; /* label -> number of machine groups, likewise; absent: 0 */
  MmKeyVersion own_key_version;  /* of this node's own key; 0: it is absent */
  gboolean is_writing;
  MmTime next_write_at;
} MmVersions;

/* What is passed must outlive it. */
MmVersions *mm_versions_new(const MmPlatform *platform, const MmSettings *settings,
                            const MmOperators *operators, MmKvClient *kv, const MmReplica *replica);
void mm_versions_free(MmVersions *versions);
/* This node's key is written only while `may_announce` says so. */
void mm_versions_set_announce_guard(MmVersions *versions, gboolean (*may_announce)(gconstpointer),
                                    gconstpointer context);
/* Writes this node's key where it is absent or announces less than the node supports. */
void mm_versions_tick(MmVersions *versions);
/* Takes over a node's key as the replica shows it. */
void mm_versions_key_changed(MmVersions *versions, const char *label, const json_t *value,
                             MmKeyVersion key_version);
/* The number of machine groups that every node of the settings has announced; 0: they announce
 * none, or different numbers. */
guint mm_versions_common_group_count(const MmVersions *versions);
/* Whether this node's own key announces the number of groups of its settings. Until then the other
 * nodes may rely on a number that this node does not keep to, so it answers no worker. */
gboolean mm_versions_own_groups_announced(const MmVersions *versions);
/* Whether every node of the settings has announced that it supports the version. */
gboolean mm_versions_all_support(const MmVersions *versions, MmVersion version);
