/* The client of the key-value store: requests, transactions, the budget of writes that can wait,
 * the limits learned from refusals, and whether the store serves this node.
 *
 * Times are those at which requests were sent, so a late response never counts as a newer one. A
 * transaction that this node may not send is not sent at all and answered 503 with the next tick.
 */
#pragma once

#include "config/settings.h"
#include "kv/records.h"
#include "kv/transaction.h"
#include "platform/platform.h"

/* Whether this node may write, asked before each transaction. */
typedef gboolean (*MmMayWrite)(gconstpointer context);

#define MM_KV_NO_LIMIT G_MAXUINT

typedef struct MmKvClient {
  const MmPlatform *platform;
  const MmSettings *settings;
  MmMayWrite may_write; /* NULL: always */
  gconstpointer may_write_context;
  MmTime last_refused_at;    /* last 503; 0: never, as with the times below */
  MmTime refused_since;      /* first 503 since a request was served */
  MmTime last_unanswered_at; /* last time that a request got no response */
  MmTime last_served_at;     /* when the newest served request was sent */
  double write_budget;       /* keys that work which can wait may still write; below 0: paused */
  MmTime write_budget_at;
  gint64 available_us; /* for how long the store has served this node, counted by ticks */
  MmTime last_tick_at;
  /* Limits learned from transactions that were refused as too large; MM_KV_NO_LIMIT: none yet. */
  guint learned_max_value_bytes;
  guint learned_max_operations;
  GArray *unsent_transactions; /* not sent, see may_write; to be answered 503 */
} MmKvClient;

/* Platform and settings must outlive the client. */
MmKvClient *mm_kv_client_new(const MmPlatform *platform, const MmSettings *settings);
void mm_kv_client_free(MmKvClient *kv);
/* From now on transactions are sent only while `may_write` says so. */
void mm_kv_client_set_write_guard(MmKvClient *kv, MmMayWrite may_write, gconstpointer context);
gboolean mm_kv_client_may_write(const MmKvClient *kv);
/* Counts the time in which the store serves this node (of a node that stood still no more than a
 * few ticks, since it can't know more), and answers transactions that were not sent. */
void mm_kv_client_tick(MmKvClient *kv);

/* Answers the transactions that were not sent. Also to be called before their callers are freed. */
void mm_kv_client_fail_unsent(MmKvClient *kv);

/* Requests: `on_response` comes exactly once, never before the call returns, with the HTTP status
 * (0: no response in time) and the body, which is lent. */
void mm_kv_client_get(MmKvClient *kv, const char *prefix, const char *key,
                      MmResponseCallback on_response, gpointer data);
/* Keys with the prefix in order, from after `after_key` (NULL: from the first), at most `limit`. */
void mm_kv_client_list(MmKvClient *kv, const char *prefix, const char *after_key, guint limit,
                       MmResponseCallback on_response, gpointer data);
/* Changes after the revision; the store waits up to `wait_ms` for one. */
void mm_kv_client_watch(MmKvClient *kv, const char *prefix, guint64 after_revision, guint wait_ms,
                        MmResponseCallback on_response, gpointer data);
/* Sends and takes the transaction. `on_response` may be NULL where the replica shows the outcome.
 */
void mm_kv_client_commit(MmKvClient *kv, MmTransaction *transaction, MmResponseCallback on_response,
                         gpointer data);
/* The same, but without operations it is only cleared, and nobody is called back. */
void mm_kv_client_commit_unless_empty(MmKvClient *kv, MmTransaction *transaction,
                                      MmResponseCallback on_response, gpointer data);
void mm_kv_client_request(MmKvClient *kv, const char *method, const char *path, const json_t *body,
                          guint timeout_ms, MmResponseCallback on_response, gpointer data);

/* Bounds of a value and of a transaction: those of the settings, and less where the store has
 * refused as much. */
guint mm_kv_client_max_value_bytes(const MmKvClient *kv);
guint mm_kv_client_max_operations(const MmKvClient *kv);
/* Whether work that can wait may write so many keys now; takes them from the budget if so. */
gboolean mm_kv_client_try_spend_writes(MmKvClient *kv, guint n_operations);
/* Whether the store refuses this node at the moment (503). */
gboolean mm_kv_client_is_refused(const MmKvClient *kv);
/* Whether the store has not responded for a while: more likely this node is cut off than the store
 * is down. */
gboolean mm_kv_client_is_silent(const MmKvClient *kv);
