#include "upgrade/versions.h"

/* Minimum interval between two writes of this node's key. */
#define RETRY_AFTER_MS 500

MmVersions *
mm_versions_new(const MmPlatform *platform, const MmSettings *settings,
                const MmOperators *operators, MmKvClient *kv, const MmReplica *replica) {
  MmVersions *versions = g_new0(MmVersions, 1);

  versions->platform = platform;
  versions->settings = settings;
  versions->operators = operators;
  versions->kv = kv;
  versions->replica = replica;
  versions->node_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  versions->node_group_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return versions;
}

void
mm_versions_free(MmVersions *versions) {
  g_hash_table_unref(versions->node_versions);
  g_hash_table_unref(versions->node_group_counts);
  g_free(versions);
}

void
mm_versions_set_announce_guard(MmVersions *versions, gboolean (*may_announce)(gconstpointer),
                               gconstpointer context) {
  versions->may_announce = may_announce;
  versions->may_announce_context = context;
}

static MmVersion
version_of(const MmVersions *versions, const MmName *label) {
  return (MmVersion)GPOINTER_TO_UINT(g_hash_table_lookup(versions->node_versions, label->s));
}

static guint
group_count_of(const MmVersions *versions, const MmName *label) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(versions->node_group_counts, label->s));
}

gboolean
mm_versions_own_groups_announced(const MmVersions *versions) {
  return group_count_of(versions, &versions->settings->label)
         == (guint)versions->operators->group_count;
}

guint
mm_versions_common_group_count(const MmVersions *versions) {
  const MmSettings *settings = versions->settings;
  guint group_count = group_count_of(versions, &settings->label);

  for (guint i = 0; i < settings->peers->len; i++)
    if (group_count_of(versions, &g_array_index(settings->peers, MmPeerSettings, i).label)
        != group_count)
      return 0;
  return group_count;
}

void
mm_versions_key_changed(MmVersions *versions, const char *label, const MmJson *value,
                        MmKeyVersion key_version) {
  MmNodeVersionRecord record = mm_record_decode_node_version(value);

  g_hash_table_replace(versions->node_versions, g_strdup(label), GUINT_TO_POINTER(record.version));
  g_hash_table_replace(versions->node_group_counts, g_strdup(label),
                       GUINT_TO_POINTER(record.group_count));
  if (strcmp(label, versions->settings->label.s) == 0)
    versions->own_key_version = key_version;
}

static void
on_key_written(gpointer data, int status, MmJson *body) {
  MmVersions *versions = data;

  /* The response is not evaluated, because the replica shows whether the key was written. */
  versions->is_writing = FALSE;
}

/* Returns whether this node's key is absent or does not announce the current version and number of
 * machine groups. */
static gboolean
own_key_is_outdated(const MmVersions *versions) {
  return version_of(versions, &versions->settings->label) < MM_VERSION_CURRENT
         || !mm_versions_own_groups_announced(versions);
}

static gboolean
may_write_own_key(const MmVersions *versions) {
  return !versions->is_writing && versions->replica->is_loaded
         && !mm_time_before(mm_platform_now(versions->platform), versions->next_write_at)
         && !mm_kv_client_is_refused(versions->kv)
         && (versions->may_announce == NULL
             || versions->may_announce(versions->may_announce_context));
}

void
mm_versions_tick(MmVersions *versions) {
  const char *own_label = versions->settings->label.s;
  MmNodeVersionRecord own_record
      = { .version = MM_VERSION_CURRENT, .group_count = (guint)versions->operators->group_count };
  MmTransaction transaction;

  if (!may_write_own_key(versions) || !own_key_is_outdated(versions))
    return;
  versions->next_write_at = mm_time_add_ms(mm_platform_now(versions->platform), RETRY_AFTER_MS);
  versions->is_writing = TRUE;
  transaction = mm_transaction_begin();
  mm_transaction_require_version(&transaction, MM_KEY_NODE_VERSION, own_label,
                                 versions->own_key_version);
  mm_transaction_put(&transaction, MM_KEY_NODE_VERSION, own_label,
                     mm_record_encode_node_version(&own_record), MM_NO_LEASE);
  mm_kv_client_commit(versions->kv, &transaction, on_key_written, versions);
}

gboolean
mm_versions_all_support(const MmVersions *versions, MmVersion version) {
  const MmSettings *settings = versions->settings;

  if (version_of(versions, &settings->label) < version)
    return FALSE;
  for (guint i = 0; i < settings->peers->len; i++)
    if (version_of(versions, &g_array_index(settings->peers, MmPeerSettings, i).label) < version)
      return FALSE;
  return TRUE;
}
