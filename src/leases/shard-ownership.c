#include "leases/shard-ownership.h"

#include "base/log.h"

/* Once a shard has had no leader for this time, any node may acquire it, not only the node that
 * leads the fewest shards. */
#define LEADERLESS_TIMEOUT_MS 1500
/* For how long a node waits for the other nodes to join before the first assignment of shards. */
#define STARTUP_WAIT_MS 1000
/* For how long the shards must be unevenly distributed among the nodes before this node releases
 * any. */
#define IMBALANCE_TIMEOUT_MS 10000
#define CHECK_INTERVAL_MS 100
/* Delay after a transaction that failed. */
#define RETRY_AFTER_MS 200
/* Delay after a conflict, unless the replica advances earlier. */
#define CONFLICT_BACKOFF_MS 2000

MmShardOwnership *
mm_shard_ownership_new(const MmPlatform *platform, const MmSettings *settings,
                       const MmOperators *operators, MmKvClient *kv, const MmReplica *replica,
                       const MmNodeLease *node_lease) {
  MmShardOwnership *ownership = g_new0(MmShardOwnership, 1);

  ownership->platform = platform;
  ownership->settings = settings;
  ownership->kv = kv;
  ownership->replica = replica;
  ownership->node_lease = node_lease;
  ownership->shard_names = g_ptr_array_new_with_free_func(g_free);
  ownership->leaderless_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add(ownership->shard_names, g_strdup(MM_SHARD_AUTOSCALER));
  if (operators->group_count > 0)
    g_ptr_array_add(ownership->shard_names, g_strdup(MM_SHARD_SHARING));
  for (guint i = 0; i < settings->teams->len; i++)
    g_ptr_array_add(
        ownership->shard_names,
        mm_shard_ownership_shard_of_team(&g_array_index(settings->teams, MmTeamSettings, i).name));
  return ownership;
}

void
mm_shard_ownership_free(MmShardOwnership *ownership) {
  g_ptr_array_unref(ownership->shard_names);
  g_hash_table_unref(ownership->leaderless_since);
  g_free(ownership);
}

void
mm_shard_ownership_set_callbacks(MmShardOwnership *ownership,
                                 const MmShardOwnershipCallbacks *callbacks) {
  ownership->callbacks = *callbacks;
}

char *
mm_shard_ownership_shard_of_team(const MmName *team) {
  return g_uri_escape_string(team->s, NULL, FALSE);
}

gboolean
mm_shard_ownership_is_singleton_role(const char *shard_name) {
  return shard_name[0] == MM_SHARD_AUTOSCALER[0];
}

gboolean
mm_shard_ownership_leads(const MmShardOwnership *ownership, const char *shard_name) {
  const MmShard *shard = mm_replica_shard(ownership->replica, shard_name);

  return shard != NULL && ownership->node_lease->lease_id != MM_NO_LEASE
         && shard->lease_id == ownership->node_lease->lease_id
         && mm_name_equal(&shard->leader, &ownership->settings->label);
}

/* Returns whether some live peer has a lease in the replica that the peer has not yet announced
 * over its connection to this node. */
static gboolean
any_peer_lease_is_unannounced(const MmShardOwnership *ownership) {
  const MmShardOwnershipCallbacks *callbacks = &ownership->callbacks;
  const GArray *peers = ownership->settings->peers;

  for (guint i = 0; i < peers->len; i++) {
    const MmLiveNode *peer_node = g_hash_table_lookup(
        ownership->replica->live_nodes, g_array_index(peers, MmPeerSettings, i).label.s);
    if (peer_node != NULL
        && peer_node->lease_id != callbacks->lease_announced_by_peer(callbacks->context, i))
      return TRUE;
  }
  return FALSE;
}

gboolean
mm_shard_ownership_is_in_transition(const MmShardOwnership *ownership) {
  const MmReplica *replica = ownership->replica;

  for (guint i = 0; i < ownership->shard_names->len; i++) {
    const MmShard *shard = mm_replica_shard(replica, g_ptr_array_index(ownership->shard_names, i));
    const MmLiveNode *leader
        = shard != NULL ? g_hash_table_lookup(replica->live_nodes, shard->leader.s) : NULL;
    if (leader == NULL || leader->lease_id != shard->lease_id)
      return TRUE;
  }
  return any_peer_lease_is_unannounced(ownership);
}

static void
on_shards_committed(gpointer data, int status, MmJson *body) {
  MmShardOwnership *ownership = data;

  ownership->is_commit_pending = FALSE;
  if (status != 200)
    ownership->next_check_at = mm_time_add_ms(mm_platform_now(ownership->platform), RETRY_AFTER_MS);
  if (status == 409) {
    /* Every attempt uses up part of the store's write rate, which other work needs. The next
     * attempt therefore waits until the watch shows what has changed. */
    mm_debug("shard transaction failed: version conflict revision=%" G_GUINT64_FORMAT,
             ownership->replica->revision);
    ownership->conflict_revision = ownership->replica->revision;
    ownership->next_check_at
        = mm_time_add_ms(mm_platform_now(ownership->platform), CONFLICT_BACKOFF_MS);
  }
}

/* Returns whether the shard has no leader, or is led by this node under an earlier lease. */
static gboolean
may_be_acquired(const MmShardOwnership *ownership, const MmShard *shard) {
  return shard == NULL
         || (mm_name_equal(&shard->leader, &ownership->settings->label)
             && shard->lease_id != ownership->node_lease->lease_id);
}

/* Records whether the shard has no leader at present. Returns for how long the shard has had no
 * leader, in milliseconds, or 0 if the shard has a leader. */
static gint64
update_leaderless_ms(MmShardOwnership *ownership, const char *shard_name, gboolean is_leaderless) {
  MmTime now = mm_platform_now(ownership->platform);
  MmTime *since = g_hash_table_lookup(ownership->leaderless_since, shard_name);

  if (!is_leaderless) {
    g_hash_table_remove(ownership->leaderless_since, shard_name);
    return 0;
  }
  if (since == NULL) {
    since = g_new(MmTime, 1);
    *since = now;
    g_hash_table_insert(ownership->leaderless_since, g_strdup(shard_name), since);
  }
  return mm_time_ms_since(now, *since);
}

static void
acquire_shards(MmShardOwnership *ownership, GPtrArray *shard_names) {
  const MmReplica *replica = ownership->replica;
  guint n_acquired = MIN(shard_names->len, mm_kv_client_max_operations(ownership->kv) - 1);
  MmShard acquired = { .leader = ownership->settings->label,
                       .lease_id = ownership->node_lease->lease_id,
                       .term = { replica->term.v + 1 } };
  MmTransaction transaction = mm_transaction_begin();

  mm_transaction_require_version(&transaction, MM_KEY_TERM, "", replica->term_version);
  mm_transaction_put(&transaction, MM_KEY_TERM, "", mm_record_encode_term(acquired.term),
                     MM_NO_LEASE);
  for (guint i = 0; i < n_acquired; i++) {
    const char *name = g_ptr_array_index(shard_names, i);
    const MmShard *shard = mm_replica_shard(replica, name);
    mm_transaction_require_version(&transaction, MM_KEY_SHARD, name,
                                   shard != NULL ? shard->version : (MmKeyVersion){ 0 });
    mm_transaction_put(&transaction, MM_KEY_SHARD, name, mm_record_encode_shard(&acquired),
                       acquired.lease_id);
  }
  mm_info("shard acquisition started n=%u term=%" G_GUINT64_FORMAT, n_acquired, acquired.term.v);
  ownership->is_commit_pending = TRUE;
  mm_kv_client_commit(ownership->kv, &transaction, on_shards_committed, ownership);
}

/* Releases `surplus` shards, or as many as the limit on operations permits, in a single
 * transaction. If the shards were released one by one, they would be acquired one by one, each with
 * a new term. */
static void
release_shards(MmShardOwnership *ownership, guint surplus) {
  MmTransaction transaction = mm_transaction_begin();

  for (guint i = ownership->shard_names->len; i > 0 && surplus > 0; i--) {
    const char *name = g_ptr_array_index(ownership->shard_names, i - 1);
    if (!mm_shard_ownership_leads(ownership, name))
      continue;
    mm_transaction_require_version(&transaction, MM_KEY_SHARD, name,
                                   mm_replica_shard(ownership->replica, name)->version);
    mm_transaction_delete(&transaction, MM_KEY_SHARD, name);
    if (transaction.n_operations >= mm_kv_client_max_operations(ownership->kv))
      break;
    surplus--;
  }
  mm_info("shard release started: assignment unbalanced n=%u", transaction.n_operations);
  ownership->is_commit_pending = TRUE;
  mm_kv_client_commit(ownership->kv, &transaction, on_shards_committed, ownership);
}

/* The number of shards that each live node leads, according to the replica. */
typedef struct {
  GPtrArray *live_labels; /* labels of the nodes that have a lease, sorted */
  guint *n_led;           /* n_led[i]: number of shards led by the node live_labels[i] */
  guint own_index;        /* this node's index in live_labels, or NOT_LIVE */
} ShardDistribution;

/* Value of own_index while the replica shows no lease of this node. */
#define NOT_LIVE G_MAXUINT

static void
distribution_init(const MmShardOwnership *ownership, ShardDistribution *distribution) {
  const MmReplica *replica = ownership->replica;

  distribution->live_labels = mm_replica_live_labels(replica);
  distribution->n_led = g_new0(guint, distribution->live_labels->len);
  distribution->own_index = NOT_LIVE;
  for (guint n = 0; n < distribution->live_labels->len; n++) {
    const char *label = g_ptr_array_index(distribution->live_labels, n);
    if (strcmp(label, ownership->settings->label.s) == 0)
      distribution->own_index = n;
    for (guint i = 0; i < ownership->shard_names->len; i++) {
      const MmShard *shard
          = mm_replica_shard(replica, g_ptr_array_index(ownership->shard_names, i));
      distribution->n_led[n] += shard != NULL && strcmp(label, shard->leader.s) == 0;
    }
  }
}

static void
distribution_clear(ShardDistribution *distribution) {
  g_ptr_array_unref(distribution->live_labels);
  g_free(distribution->n_led);
}

static guint
node_with_fewest_shards(const ShardDistribution *distribution) {
  guint fewest = 0;

  for (guint n = 1; n < distribution->live_labels->len; n++)
    if (distribution->n_led[n] < distribution->n_led[fewest])
      fewest = n;
  return fewest;
}

/* Returns the names of the shards that this node should acquire. Each leaderless shard is assigned
 * to the node that leads the fewest shards. The caller frees the array but not the names. */
static GPtrArray *
shards_to_acquire(MmShardOwnership *ownership, ShardDistribution *distribution) {
  GPtrArray *shard_names = g_ptr_array_new();

  for (guint i = 0; i < ownership->shard_names->len; i++) {
    const char *name = g_ptr_array_index(ownership->shard_names, i);
    const MmShard *shard = mm_replica_shard(ownership->replica, name);
    gboolean is_leaderless = may_be_acquired(ownership, shard);
    gint64 leaderless_ms = update_leaderless_ms(ownership, name, is_leaderless);
    guint target_node;

    if (!is_leaderless)
      continue;
    if (shard != NULL || leaderless_ms > LEADERLESS_TIMEOUT_MS) {
      g_ptr_array_add(shard_names, (gpointer)name);
      continue;
    }
    target_node = node_with_fewest_shards(distribution);
    distribution->n_led[target_node]++;
    if (target_node == distribution->own_index)
      g_ptr_array_add(shard_names, (gpointer)name);
  }
  return shard_names;
}

/* Releases shards if this node has led too many for IMBALANCE_TIMEOUT_MS. Releases none while any
 * machine is silent. The reason: the next leader of a team's shard needs a heartbeat of every
 * machine before it starts tasks of that team. If the shard changed leaders while a machine is
 * silent, no task of that team would start until the machine is known to be lost. */
static void
rebalance_shards(MmShardOwnership *ownership, const ShardDistribution *distribution) {
  MmTime now = mm_platform_now(ownership->platform);
  guint n_led = distribution->n_led[distribution->own_index];
  guint n_fewest = distribution->n_led[node_with_fewest_shards(distribution)];

  if (n_led < n_fewest + 2
      || !ownership->callbacks.all_machines_seen_recently(ownership->callbacks.context)) {
    ownership->imbalanced_since.us = 0;
  } else if (ownership->imbalanced_since.us == 0) {
    ownership->imbalanced_since = now;
  } else if (mm_time_ms_since(now, ownership->imbalanced_since) > IMBALANCE_TIMEOUT_MS) {
    ownership->imbalanced_since.us = 0;
    release_shards(ownership, (n_led - n_fewest) / 2);
  }
}

/* Returns whether to wait before the first assignment of shards. While the whole cluster is
 * starting, the other nodes may be about to announce their leases. */
static gboolean
waits_for_other_nodes(const MmShardOwnership *ownership, const ShardDistribution *distribution) {
  const MmReplica *replica = ownership->replica;
  const MmLiveNode *own_node
      = g_hash_table_lookup(replica->live_nodes, ownership->settings->label.s);

  return distribution->live_labels->len < ownership->settings->node_count && replica->term.v == 0
         && mm_time_ms_since(mm_platform_now(ownership->platform), own_node->first_seen_at)
                < STARTUP_WAIT_MS;
}

static void
acquire_or_rebalance(MmShardOwnership *ownership, ShardDistribution *distribution) {
  g_autoptr(GPtrArray) shard_names = NULL;

  if (distribution->own_index == NOT_LIVE || waits_for_other_nodes(ownership, distribution))
    return;
  shard_names = shards_to_acquire(ownership, distribution);
  if (shard_names->len > 0)
    acquire_shards(ownership, shard_names);
  else
    rebalance_shards(ownership, distribution);
}

static gboolean
check_is_due(const MmShardOwnership *ownership) {
  const MmReplica *replica = ownership->replica;
  gboolean replica_advanced
      = ownership->conflict_revision != 0 && replica->revision > ownership->conflict_revision;

  return !ownership->is_commit_pending && !mm_kv_client_is_refused(ownership->kv)
         && (replica_advanced
             || !mm_time_before(mm_platform_now(ownership->platform), ownership->next_check_at));
}

static void
maintain_shards(MmShardOwnership *ownership) {
  ShardDistribution distribution;

  if (!check_is_due(ownership))
    return;
  ownership->next_check_at
      = mm_time_add_ms(mm_platform_now(ownership->platform), CHECK_INTERVAL_MS);
  ownership->conflict_revision = 0;
  distribution_init(ownership, &distribution);
  acquire_or_rebalance(ownership, &distribution);
  distribution_clear(&distribution);
}

void
mm_shard_ownership_tick(MmShardOwnership *ownership) {
  if (mm_node_lease_is_valid(ownership->node_lease) && ownership->replica->is_loaded)
    maintain_shards(ownership);
}
