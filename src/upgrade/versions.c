#include "upgrade/versions.h"

#include "sharing/sharing.h"
#include "store/replica.h"
#include "store/store.h"

#define RETRY_MS 500
/* The names in a node's key. */
#define FIELD_VERSION "v"
#define FIELD_GROUPS "g"

MmVersions *
mm_versions_new(MmNode *node) {
  MmVersions *versions = g_new0(MmVersions, 1);

  versions->node = node;
  versions->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  versions->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return versions;
}

void
mm_versions_free(MmVersions *versions) {
  g_hash_table_unref(versions->known);
  g_hash_table_unref(versions->groups);
  g_free(versions);
}

static MmVersion
version_of(const MmVersions *versions, const MmName *label) {
  return (MmVersion)GPOINTER_TO_UINT(g_hash_table_lookup(versions->known, label->s));
}

static guint
groups_of(const MmVersions *versions, const MmName *label) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(versions->groups, label->s));
}

gboolean
mm_versions_groups_told(const MmVersions *versions) {
  const MmNode *node = versions->node;

  return groups_of(versions, &node->settings->label) == (guint)node->operators->groups;
}

guint
mm_versions_groups(const MmVersions *versions) {
  const MmSettings *settings = versions->node->settings;
  guint group_count = groups_of(versions, &settings->label);

  for (guint i = 0; i < settings->peers->len; i++)
    if (groups_of(versions, &g_array_index(settings->peers, MmPeerSettings, i).label)
        != group_count)
      return 0;
  return group_count;
}

void
mm_versions_seen(MmVersions *versions, const char *label, const json_t *value,
                 MmKeyVersion key_version) {
  guint node_version = (guint)MIN(mm_json_count(value, FIELD_VERSION, 0), G_MAXUINT);

  guint group_count = (guint)MIN(mm_json_count(value, FIELD_GROUPS, 0), G_MAXUINT);

  g_hash_table_replace(versions->known, g_strdup(label), GUINT_TO_POINTER(node_version));
  g_hash_table_replace(versions->groups, g_strdup(label), GUINT_TO_POINTER(group_count));
  if (strcmp(label, versions->node->settings->label.s) == 0)
    versions->version = key_version;
}

static void
written(gpointer data, int status, json_t *body) {
  MmVersions *versions = data;

  /* Whether it is there is for the replica to show. */
  versions->writing = FALSE;
}

/* As before, to the byte, where machines are not shared out. */
static json_t *
own_value(const MmVersions *versions) {
  guint group_count = (guint)versions->node->operators->groups;
  json_t *value = json_pack("{s:i}", FIELD_VERSION, MM_VERSION_CURRENT);

  if (group_count > 0)
    json_object_set_new(value, FIELD_GROUPS, json_integer(group_count));
  return value;
}

void
mm_versions_tick(MmVersions *versions) {
  MmNode *node = versions->node;
  MmTime now = mm_node_now(node);
  const MmName *own_label = &node->settings->label;
  MmTxn transaction;

  if (versions->writing || !node->replica->loaded || mm_time_before(now, versions->next)
      || mm_store_in_trouble(node->store) || node->sharing->conflicting_groups != 0
      || (version_of(versions, own_label) >= MM_VERSION_CURRENT
          && mm_versions_groups_told(versions)))
    return;
  versions->next = mm_time_add_ms(now, RETRY_MS);
  versions->writing = TRUE;
  transaction = mm_txn();
  mm_txn_guard(&transaction, MM_KEY_VERSION, own_label->s, versions->version);
  mm_txn_put(&transaction, MM_KEY_VERSION, own_label->s, own_value(versions), 0);
  mm_store_commit(node->store, &transaction, written, versions);
}

gboolean
mm_versions_all(const MmVersions *versions, MmVersion version) {
  const MmSettings *settings = versions->node->settings;

  if (version_of(versions, &settings->label) < version)
    return FALSE;
  for (guint i = 0; i < settings->peers->len; i++)
    if (version_of(versions, &g_array_index(settings->peers, MmPeerSettings, i).label) < version)
      return FALSE;
  return TRUE;
}
