/* The version of records and frames that each node supports, for rolling upgrades.
 *
 * During an upgrade, processes of the old and of the new version run side by side. Data that only
 * the new version supports is stored only after every node in the settings has announced the new
 * version. Each node announces its version in its own key. The key is durable, because an upgraded
 * node never returns to an older version. Nodes older than this mechanism have no key and ignore
 * the keys of other nodes.
 *
 * The key also announces the number of machine groups in the node's settings. */
#pragma once

#include "config/operators.h"
#include "config/settings.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "platform/platform.h"

typedef enum {
  MM_VERSION_NONE,        /* the node has no key and may be older than this mechanism */
  MM_VERSION_DEPENDENCIES /* jobs with dependencies; terminal records with a completion time */
} MmVersion;
#define MM_VERSION_CURRENT MM_VERSION_DEPENDENCIES

typedef struct MmVersions {
  const MmPlatform *platform;
  const MmSettings *settings;
  const MmOperators *operators;
  MmKvClient *kv;
  const MmReplica *replica;
  gboolean (*may_announce)(gconstpointer context); /* NULL: announcing is always permitted */
  gconstpointer may_announce_context;
  GHashTable *node_versions;     /* label -> MmVersion, stored with GUINT_TO_POINTER */
  GHashTable *node_group_counts; /* label -> number of groups (GUINT_TO_POINTER); absent: 0 */
  MmKeyVersion own_key_version;  /* revision of this node's own key; 0: absent */
  gboolean is_writing;
  MmTime next_write_at;
} MmVersions;

/* Creates the module's state. All arguments must outlive the state. */
MmVersions *mm_versions_new(const MmPlatform *platform, const MmSettings *settings,
                            const MmOperators *operators, MmKvClient *kv, const MmReplica *replica);
void mm_versions_free(MmVersions *versions);
/* Sets the guard of announcements. This node's key is written only while `may_announce` returns
 * TRUE. */
void mm_versions_set_announce_guard(MmVersions *versions, gboolean (*may_announce)(gconstpointer),
                                    gconstpointer context);
/* Writes this node's key in three cases: the key is absent, announces an older version than this
 * node supports, or announces another number of machine groups than this node's settings. */
void mm_versions_tick(MmVersions *versions);
/* Records the value of a node's key as shown by the replica. */
void mm_versions_key_changed(MmVersions *versions, const char *label, const MmJson *value,
                             MmKeyVersion key_version);
/* Returns the number of machine groups that every node in the settings has announced. Returns 0 if
 * the nodes announced no machine groups or different numbers. */
guint mm_versions_common_group_count(const MmVersions *versions);
/* Returns whether this node's own key announces the number of machine groups in this node's
 * settings. While the key does not announce that number, this node must not answer workers, because
 * other nodes may rely on a number of groups that this node does not follow. */
gboolean mm_versions_own_groups_announced(const MmVersions *versions);
/* Returns whether every node in the settings has announced that it supports the version. */
gboolean mm_versions_all_support(const MmVersions *versions, MmVersion version);
