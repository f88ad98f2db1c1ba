#include "parts/claims.h"

#include "base/wire.h"
#include "checkin/machine-table.h"
#include "peers/links.h"
#include "store/replica.h"
#include "store/store.h"
#include "upgrade/format.h"

/* Steady clocks diverge by at most 0.05%; twice that, against two clocks, and a little more. */
#define DRIFT 0.002
/* A part that its rightful taker leaves lying this long goes to anyone. */
#define FREE_PATIENCE_MS 1500
/* At the start all nodes should take part in the sharing out. */
#define START_PATIENCE_MS 1000
#define UNEVEN_PATIENCE_MS 10000
#define PARTS_EVERY_MS 100
#define CONFLICT_MS 2000
#define OUTAGE_MS 1000
#define STALE_TTLS 2

MmClaims *
mm_claims_new(MmNode *node) {
  MmClaims *claims = g_new0(MmClaims, 1);

  claims->node = node;
  claims->names = g_ptr_array_new_with_free_func(g_free);
  claims->free_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add(claims->names, g_strdup(MM_SHARD_FLEET));
  if (node->operators->groups > 0)
    g_ptr_array_add(claims->names, g_strdup(MM_SHARD_SHARING));
  for (guint i = 0; i < node->settings->teams->len; i++)
    g_ptr_array_add(
        claims->names,
        mm_claims_shard_of_team(&g_array_index(node->settings->teams, MmTeamSettings, i).name));
  return claims;
}

void
mm_claims_free(MmClaims *claims) {
  g_ptr_array_unref(claims->names);
  g_hash_table_unref(claims->free_since);
  g_free(claims);
}

char *
mm_claims_shard_of_team(const MmName *team) {
  return g_uri_escape_string(team->s, NULL, FALSE);
}

gboolean
mm_claims_is_duty(const char *shard_name) {
  return shard_name[0] == MM_SHARD_FLEET[0];
}

static gint64
ttl_ms(const MmClaims *lease) {
  return (gint64)(lease->node->operators->claim_ttl_s * 1000);
}

static MmTime
valid_from(const MmClaims *lease, MmTime sent_at) {
  return mm_time_add_ms(sent_at, (gint64)((double)ttl_ms(lease) * (1 - DRIFT)) - 20);
}

gboolean
mm_claims_valid(const MmClaims *lease) {
  return lease->claim != 0 && mm_format_allows(lease->node->format)
         && mm_time_before(mm_node_now(lease->node), lease->valid);
}

gboolean
mm_claims_may_answer(const MmClaims *lease) {
  const MmReplica *replica = lease->node->replica;
  const MmNodeClaim *own_node;

  if (!mm_claims_valid(lease) || !replica->loaded || replica->term.v == 0
      || mm_replica_staleness_us(replica) > mm_claims_staleness_bound(lease))
    return FALSE;
  own_node = g_hash_table_lookup(replica->nodes, lease->node->settings->label.s);
  return own_node != NULL && own_node->claim == lease->claim;
}

gboolean
mm_claims_outage(const MmClaims *lease) {
  return lease->proved.us != 0
         && mm_time_ms_since(mm_node_now(lease->node), lease->proved) <= OUTAGE_MS;
}

gint64
mm_claims_staleness_bound(const MmClaims *lease) {
  return ttl_ms(lease) * 1000 * STALE_TTLS;
}

gboolean
mm_claims_holds(const MmClaims *ownership, const char *shard_name) {
  const MmShard *shard = mm_replica_shard(ownership->node->replica, shard_name);

  return shard != NULL && ownership->claim != 0 && shard->claim == ownership->claim
         && mm_name_equal(&shard->holder, &ownership->node->settings->label);
}

gboolean
mm_claims_unsettled(const MmClaims *ownership) {
  const MmReplica *replica = ownership->node->replica;
  const MmLinks *peer_links = ownership->node->links;

  for (guint i = 0; i < ownership->names->len; i++) {
    const MmShard *shard = mm_replica_shard(replica, g_ptr_array_index(ownership->names, i));
    const MmNodeClaim *leader
        = shard != NULL ? g_hash_table_lookup(replica->nodes, shard->holder.s) : NULL;
    if (leader == NULL || leader->claim != shard->claim)
      return TRUE;
  }
  for (guint i = 0; i < peer_links->n_peers; i++) {
    const MmNodeClaim *peer_node
        = g_hash_table_lookup(replica->nodes, peer_links->peers[i].label.s);
    if (peer_node != NULL && peer_node->claim != peer_links->peers[i].claim)
      return TRUE;
  }
  return FALSE;
}

/* ---- the claim itself ---- */

typedef struct {
  MmClaims *claims;
  MmTime sent;
  guint64 claim;
} Call;

static Call *
call_new(MmClaims *lease, guint64 lease_id) {
  Call *request = g_new(Call, 1);

  *request = (Call){ lease, mm_node_now(lease->node), lease_id };
  return request;
}

static void
announced(gpointer data, int status, json_t *body) {
  Call *request = data;
  MmClaims *lease = request->claims;

  lease->asking = FALSE;
  if (status == 200) {
    lease->claim = request->claim;
    lease->announced.v = mm_json_count(body, WIRE_REVISION, 0);
    lease->valid = valid_from(lease, request->sent);
    lease->next = mm_node_now(lease->node);
    mm_info("claim %" G_GUINT64_FORMAT " taken", request->claim);
  } else {
    lease->next = mm_time_add_ms(mm_node_now(lease->node), 150);
  }
  g_free(request);
}

static void
granted(gpointer data, int status, json_t *body) {
  Call *request = data;
  MmClaims *lease = request->claims;
  guint64 lease_id = mm_json_count(body, WIRE_LEASE, 0);

  if (status == 200 && lease_id != 0) {
    MmTxn transaction = mm_txn();
    request->claim = lease_id;
    /* Without the guard an announcement that got no answer, carried out after a newer one, hung the
     * key on the older claim; it went with that, and the others counted this node as gone while it
     * answered on. */
    mm_txn_guard(&transaction, MM_KEY_NODE, lease->node->settings->label.s, lease->key);
    mm_txn_put(&transaction, MM_KEY_NODE, lease->node->settings->label.s,
               json_pack("{s:I}", "c", (json_int_t)lease_id), lease_id);
    /* `sent` stays the grant's: the lease has been running since then. */
    mm_store_commit(lease->node->store, &transaction, announced, request);
    return;
  }
  lease->asking = FALSE;
  lease->next = mm_time_add_ms(mm_node_now(lease->node), 150);
  g_free(request);
}

static void
key_read(gpointer data, int status, json_t *body) {
  MmClaims *lease = data;
  g_autoptr(json_t) grant_request = NULL;

  if (status != 200 && status != 404) {
    lease->asking = FALSE;
    lease->next = mm_time_add_ms(mm_node_now(lease->node), 150);
    return;
  }
  lease->key.v = status == 200 ? mm_json_count(body, WIRE_VERSION, 0) : 0;
  grant_request = json_pack("{s:I}", WIRE_TTL, (json_int_t)ttl_ms(lease));
  mm_store_request(lease->node->store, "POST", WIRE_LEASES_PATH, grant_request, 1000, granted,
                   call_new(lease, 0));
}

static void
renewed(gpointer data, int status, json_t *body) {
  Call *request = data;
  MmClaims *lease = request->claims;
  MmTime now = mm_node_now(lease->node);
  gint64 renew_interval_ms = (gint64)(lease->node->operators->claim_renew_s * 1000);

  lease->asking = FALSE;
  if (status == 200) {
    lease->valid = mm_time_max(lease->valid, valid_from(lease, request->sent));
    lease->next = mm_time_add_ms(request->sent, renew_interval_ms);
  } else if (status == 404) {
    mm_info("claim %" G_GUINT64_FORMAT " has ended", lease->claim);
    lease->claim = 0;
    lease->next = now;
  } else {
    lease->next = mm_time_add_ms(now, MIN(renew_interval_ms / 2, 300));
  }
  g_free(request);
}

/* Two nodes that both were refused within the last second prove an outage, in which leases do not
 * run out and after which each has its full time again. The proof is as old as the older refusal;
 * the claim must not have ended before it. */
static void
extend_in_outage(MmClaims *lease) {
  MmTime now = mm_node_now(lease->node);
  MmTime own_refusal_at = lease->node->store->last_refused;
  MmTime peer_refusal_at = mm_links_last_refused(lease->node->links);
  MmTime proved_at = mm_time_min(own_refusal_at, peer_refusal_at);

  if (proved_at.us == 0 || mm_time_ms_since(now, proved_at) > OUTAGE_MS
      || !mm_time_before(proved_at, lease->valid))
    return;
  /* Whoever is served meanwhile shows that the others are refused alone, and their claims run out.
   */
  if (!mm_time_before(lease->node->store->last_served, proved_at)
      || !mm_time_before(mm_links_last_served(lease->node->links),
                         lease->node->store->refused_since))
    return;
  lease->proved = proved_at;
  lease->valid = mm_time_max(lease->valid, valid_from(lease, proved_at));
}

/* Whether the node's key shows another claim than its own, or none, though it has announced it:
 * nobody renews what is not seen, and the node would never be entitled to anything again. */
static gboolean
is_overwritten(const MmClaims *lease) {
  const MmReplica *replica = lease->node->replica;
  const MmNodeClaim *own_node = g_hash_table_lookup(replica->nodes, lease->node->settings->label.s);

  return lease->claim != 0 && replica->loaded && replica->revision >= lease->announced.v
         && (own_node == NULL || own_node->claim != lease->claim);
}

static void
tend_claim(MmClaims *lease) {
  MmTime now = mm_node_now(lease->node);

  /* A node that does not know the active format lets its lease end. */
  if (lease->asking || mm_time_before(now, lease->next) || !mm_format_allows(lease->node->format))
    return;
  if (is_overwritten(lease)) {
    mm_info("claim %" G_GUINT64_FORMAT " shows no more", lease->claim);
    lease->claim = 0;
  }
  lease->asking = TRUE;
  if (lease->claim == 0) {
    mm_store_get(lease->node->store, MM_KEY_NODE, lease->node->settings->label.s, key_read, lease);
  } else {
    g_autofree char *path
        = g_strdup_printf(WIRE_LEASES_PATH "/%" G_GUINT64_FORMAT "/renew", lease->claim);
    mm_store_request(lease->node->store, "POST", path, NULL, 1000, renewed,
                     call_new(lease, lease->claim));
  }
}

static void
parts_moved(gpointer data, int status, json_t *body) {
  MmClaims *ownership = data;

  ownership->moving = FALSE;
  if (status != 200)
    ownership->next_parts = mm_time_add_ms(mm_node_now(ownership->node), 200);
  if (status == 409) {
    /* Each try costs writes that others need: first the watch must show what has changed. */
    mm_debug("the part map had changed meanwhile");
    ownership->stale_revision = ownership->node->replica->revision;
    ownership->next_parts = mm_time_add_ms(mm_node_now(ownership->node), CONFLICT_MS);
  }
}

/* Whose the part is to take: a life of the holder that has ended, or nobody's. */
static gboolean
is_free(const MmClaims *ownership, const MmShard *shard) {
  return shard == NULL
         || (mm_name_equal(&shard->holder, &ownership->node->settings->label)
             && shard->claim != ownership->claim);
}

static gint64
free_for_ms(MmClaims *ownership, const char *shard_name, gboolean is_leaderless) {
  MmTime now = mm_node_now(ownership->node);
  MmTime *since = g_hash_table_lookup(ownership->free_since, shard_name);

  if (!is_leaderless) {
    g_hash_table_remove(ownership->free_since, shard_name);
    return 0;
  }
  if (since == NULL) {
    since = g_new(MmTime, 1);
    *since = now;
    g_hash_table_insert(ownership->free_since, g_strdup(shard_name), since);
  }
  return mm_time_ms_since(now, *since);
}

static void
take(MmClaims *ownership, GPtrArray *wanted) {
  const MmReplica *replica = ownership->node->replica;
  guint n_acquired = MIN(wanted->len, mm_store_txn_ops(ownership->node->store) - 1);
  guint64 term = replica->term.v + 1;
  MmTxn transaction = mm_txn();

  mm_txn_guard(&transaction, MM_KEY_TERM, "", replica->term_version);
  mm_txn_put(&transaction, MM_KEY_TERM, "", json_pack("{s:I}", "t", (json_int_t)term), 0);
  for (guint i = 0; i < n_acquired; i++) {
    const char *name = g_ptr_array_index(wanted, i);
    const MmShard *shard = mm_replica_shard(replica, name);
    mm_txn_guard(&transaction, MM_KEY_SHARD, name,
                 shard != NULL ? shard->version : (MmKeyVersion){ 0 });
    mm_txn_put(&transaction, MM_KEY_SHARD, name,
               json_pack("{s:s, s:I, s:I}", "n", ownership->node->settings->label.s, "c",
                         (json_int_t)ownership->claim, "t", (json_int_t)term),
               ownership->claim);
  }
  mm_info("taking %u part(s) with term %" G_GUINT64_FORMAT, n_acquired, term);
  ownership->moving = TRUE;
  mm_store_commit(ownership->node->store, &transaction, parts_moved, ownership);
}

/* Gives up parts for which another node has room, all at once: each move costs a new term. */
static void
give_up(MmClaims *ownership, guint surplus) {
  MmTxn transaction = mm_txn();

  for (guint i = ownership->names->len; i > 0 && surplus > 0; i--) {
    const char *name = g_ptr_array_index(ownership->names, i - 1);
    if (!mm_claims_holds(ownership, name))
      continue;
    mm_txn_guard(&transaction, MM_KEY_SHARD, name,
                 mm_replica_shard(ownership->node->replica, name)->version);
    mm_txn_delete(&transaction, MM_KEY_SHARD, name);
    if (transaction.puts >= mm_store_txn_ops(ownership->node->store))
      break;
    surplus--;
  }
  mm_info("giving up %u part(s)", transaction.puts);
  ownership->moving = TRUE;
  mm_store_commit(ownership->node->store, &transaction, parts_moved, ownership);
}

/* Where the parts are, as every node sees it alike. */
typedef struct {
  GPtrArray *live; /* labels of the nodes that have a claim, in order */
  guint *held;     /* how many parts each of them holds */
  guint me;        /* this node's place among them; G_MAXUINT: none */
} Shares;

static void
shares_count(const MmClaims *ownership, Shares *distribution) {
  const MmReplica *replica = ownership->node->replica;

  distribution->live = mm_replica_live(replica);
  distribution->held = g_new0(guint, distribution->live->len);
  distribution->me = G_MAXUINT;
  for (guint n = 0; n < distribution->live->len; n++) {
    const char *label = g_ptr_array_index(distribution->live, n);
    if (strcmp(label, ownership->node->settings->label.s) == 0)
      distribution->me = n;
    for (guint i = 0; i < ownership->names->len; i++) {
      const MmShard *shard = mm_replica_shard(replica, g_ptr_array_index(ownership->names, i));
      distribution->held[n] += shard != NULL && strcmp(label, shard->holder.s) == 0;
    }
  }
}

static void
shares_clear(Shares *distribution) {
  g_ptr_array_unref(distribution->live);
  g_free(distribution->held);
}

static guint
shares_least(const Shares *distribution) {
  guint fewest = 0;

  for (guint n = 1; n < distribution->live->len; n++)
    if (distribution->held[n] < distribution->held[fewest])
      fewest = n;
  return fewest;
}

/* The free parts that are this node's to take: each goes to the node that holds fewest. */
static GPtrArray *
parts_to_take(MmClaims *ownership, Shares *distribution) {
  GPtrArray *wanted = g_ptr_array_new();

  for (guint i = 0; i < ownership->names->len; i++) {
    const char *name = g_ptr_array_index(ownership->names, i);
    const MmShard *shard = mm_replica_shard(ownership->node->replica, name);
    gboolean is_leaderless = is_free(ownership, shard);
    gint64 leaderless_ms = free_for_ms(ownership, name, is_leaderless);
    guint target_node;

    if (!is_leaderless)
      continue;
    if (shard != NULL || leaderless_ms > FREE_PATIENCE_MS) {
      g_ptr_array_add(wanted, (gpointer)name);
      continue;
    }
    target_node = shares_least(distribution);
    distribution->held[target_node]++;
    if (target_node == distribution->me)
      g_ptr_array_add(wanted, (gpointer)name);
  }
  return wanted;
}

/* The taker must hear every machine: while one is silent, a move would stop the team's starts until
 * that machine is proved lost. */
static void
even_out(MmClaims *ownership, const Shares *distribution) {
  MmTime now = mm_node_now(ownership->node);
  guint n_led = distribution->held[distribution->me];
  guint n_fewest = distribution->held[shares_least(distribution)];

  if (n_led < n_fewest + 2 || !mm_machine_table_all_heard(ownership->node->machine_table)) {
    ownership->uneven.us = 0;
  } else if (ownership->uneven.us == 0) {
    ownership->uneven = now;
  } else if (mm_time_ms_since(now, ownership->uneven) > UNEVEN_PATIENCE_MS) {
    ownership->uneven.us = 0;
    give_up(ownership, (n_led - n_fewest) / 2);
  }
}

/* At the start of all nodes, the others may be about to show. */
static gboolean
waits_for_others(const MmClaims *ownership, const Shares *distribution) {
  const MmReplica *replica = ownership->node->replica;
  const MmNodeClaim *own_node
      = g_hash_table_lookup(replica->nodes, ownership->node->settings->label.s);

  return distribution->live->len < ownership->node->settings->node_count && replica->term.v == 0
         && mm_time_ms_since(mm_node_now(ownership->node), own_node->since) < START_PATIENCE_MS;
}

static void
share_out(MmClaims *ownership, Shares *distribution) {
  g_autoptr(GPtrArray) wanted = NULL;

  if (distribution->me == G_MAXUINT || waits_for_others(ownership, distribution))
    return;
  wanted = parts_to_take(ownership, distribution);
  if (wanted->len > 0)
    take(ownership, wanted);
  else
    even_out(ownership, distribution);
}

static gboolean
parts_are_due(const MmClaims *ownership) {
  const MmReplica *replica = ownership->node->replica;
  gboolean replica_moved_on
      = ownership->stale_revision != 0 && replica->revision > ownership->stale_revision;

  return !ownership->moving && !mm_store_in_trouble(ownership->node->store)
         && (replica_moved_on
             || !mm_time_before(mm_node_now(ownership->node), ownership->next_parts));
}

static void
tend_parts(MmClaims *ownership) {
  Shares distribution;

  if (!parts_are_due(ownership))
    return;
  ownership->next_parts = mm_time_add_ms(mm_node_now(ownership->node), PARTS_EVERY_MS);
  ownership->stale_revision = 0;
  shares_count(ownership, &distribution);
  share_out(ownership, &distribution);
  shares_clear(&distribution);
}

void
mm_claims_tick(MmClaims *claims) {
  extend_in_outage(claims);
  tend_claim(claims);
  if (mm_claims_valid(claims) && claims->node->replica->loaded)
    tend_parts(claims);
}
