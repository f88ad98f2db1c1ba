/* Which version of the service's data and frames each node understands. During an upgrade old and
 * new processes serve side by side; what only the new ones understand is stored once every node of
 * the settings has said that it is new. A node says so with a key of its own in the state service,
 * which stays: a node that has been upgraded never comes back old. Nodes older than these keys have
 * none, and ignore those of the others. */
#pragma once

#include "node/node.h"

typedef enum {
  MM_VERSION_NONE,        /* says nothing: may be older than these keys */
  MM_VERSION_DEPENDENCIES /* jobs that depend on others; final records with a time */
} MmVersion;
#define MM_VERSION_CURRENT MM_VERSION_DEPENDENCIES

struct MmVersions {
  MmNode *node;
  GHashTable *node_versions;     /* label -> version, as a pointer's number */
  GHashTable *node_group_counts; /* label -> number of machine groups, likewise; absent: it shares
                                    none out */
  MmKeyVersion own_key_version;  /* of this node's own key; 0: there is none */
  gboolean is_writing;
  MmTime next_write_at;
};

MmVersions *mm_versions_new(MmNode *node);
void mm_versions_free(MmVersions *versions);
/* Writes this node's key where it is missing or says less. */
void mm_versions_tick(MmVersions *versions);
/* A node's key, as the replica shows it. */
void mm_versions_key_changed(MmVersions *versions, const char *label, const json_t *value,
                             MmKeyVersion key_version);
/* Into how many groups every node of the settings has said that it shares the machines out; 0: they
 * don't, or not alike. */
guint mm_versions_common_group_count(const MmVersions *versions);
/* Whether this node's own key says of sharing what its settings do. Until then the others may rely
 * on something that it won't keep to, so it answers no worker. */
gboolean mm_versions_own_groups_announced(const MmVersions *versions);
/* Whether every node of the settings has said that it understands the version. */
gboolean mm_versions_all_support(const MmVersions *versions, MmVersion version);
