/* The client of the key-value store. Sends requests and transactions, limits the rate of deferrable
 * writes, learns the store's size limits from refused transactions, and tracks whether the store
 * serves this node.
 *
 * The time recorded for a response is the time at which its request was sent, so a delayed response
 * never counts as newer than its contents. A transaction that this node may not send (see
 * `may_write`) is withheld, and its callback receives status 503 at the next tick. */
#pragma once

#include "config/settings.h"
#include "kv/records.h"
#include "kv/transaction.h"
#include "platform/platform.h"

/* Returns whether this node may write at present. Called before each transaction is sent. */
typedef gboolean (*MmMayWrite)(gconstpointer context);

/* Value of a learned limit until a transaction is refused as too large and lowers the limit. */
#define MM_KV_NO_LIMIT G_MAXUINT

typedef struct MmKvClient {
  const MmPlatform *platform;
  const MmSettings *settings;
  MmMayWrite may_write; /* NULL: this node may always write */
  gconstpointer may_write_context;
  /* Times of requests by outcome; 0: no request had this outcome. Each time is when the request was
   * sent, except last_unanswered_at, which is when the timeout was noticed. */
  MmTime last_refused_at;    /* newest request that was refused (503) */
  MmTime refused_since;      /* first refused (503) request after the newest served one */
  MmTime last_unanswered_at; /* when a request last timed out */
  MmTime last_served_at;     /* newest request that the store served */
  double write_budget;    /* operations that deferrable work may write now; below 0 after a 429 */
  MmTime write_budget_at; /* when write_budget was last updated */
  gint64 available_us;    /* total time, in microseconds, for which the store served this node */
  MmTime last_tick_at;
  /* Limits learned from transactions that were refused as too large, or MM_KV_NO_LIMIT. */
  guint learned_max_value_bytes;
  guint learned_max_operations;
  GArray *unsent_transactions; /* elements: UnsentTransaction, withheld by may_write */
} MmKvClient;

/* Creates a client. `platform` and `settings` must outlive the client. */
MmKvClient *mm_kv_client_new(const MmPlatform *platform, const MmSettings *settings);
void mm_kv_client_free(MmKvClient *kv);
/* Sets the guard of writes: transactions are sent only while `may_write` returns TRUE. */
void mm_kv_client_set_write_guard(MmKvClient *kv, MmMayWrite may_write, gconstpointer context);
/* Returns whether the guard permits writes. Returns TRUE if no guard is set. */
gboolean mm_kv_client_may_write(const MmKvClient *kv);
/* If the store serves this node, adds the time since the last tick to `available_us`. Also calls
 * the callbacks of transactions that were not sent, with status 503. After a pause of the process,
 * the time of only a few ticks is added, because the process cannot know whether the store was
 * available during the pause. */
void mm_kv_client_tick(MmKvClient *kv);

/* Calls the callbacks of the transactions that were not sent, with status 503. Must also be called
 * before the objects that these callbacks use are freed. */
void mm_kv_client_fail_unsent(MmKvClient *kv);

/* Reads one key, whose name is `prefix` followed by `key`. This function and all functions below
 * that send a request call `on_response` exactly once, and never before they return. `on_response`
 * receives the HTTP status (0 if there was no response in time) and the body, which is valid only
 * during the callback. */
void mm_kv_client_get(MmKvClient *kv, const char *prefix, const char *key,
                      MmResponseCallback on_response, gpointer data);
/* Lists at most `limit` keys with the prefix, in key order. The list starts after `after_key`, or
 * with the first key if `after_key` is NULL. */
void mm_kv_client_list(MmKvClient *kv, const char *prefix, const char *after_key, guint limit,
                       MmResponseCallback on_response, gpointer data);
/* Requests the changes that were made to keys with the prefix after the given revision. If there
 * are no such changes yet, the store waits up to `wait_ms` for a change before it responds. */
void mm_kv_client_watch(MmKvClient *kv, const char *prefix, guint64 after_revision, guint wait_ms,
                        MmResponseCallback on_response, gpointer data);
/* Sends the transaction and takes ownership of the transaction's arrays. `on_response` may be NULL
 * if the caller learns the outcome from the replica. */
void mm_kv_client_commit(MmKvClient *kv, MmTransaction *transaction, MmResponseCallback on_response,
                         gpointer data);
/* Commits the transaction if it has operations. Otherwise clears the transaction and does not call
 * `on_response`. */
void mm_kv_client_commit_unless_empty(MmKvClient *kv, MmTransaction *transaction,
                                      MmResponseCallback on_response, gpointer data);
/* Sends a request of any other kind. `body` is borrowed and may be NULL. */
void mm_kv_client_request(MmKvClient *kv, const char *method, const char *path, const MmJson *body,
                          guint timeout_ms, MmResponseCallback on_response, gpointer data);

/* Returns the maximum size of a value: the limit in the settings or, if lower, the limit learned
 * from refused transactions. */
guint mm_kv_client_max_value_bytes(const MmKvClient *kv);
/* Returns the maximum number of operations of a transaction: the limit in the settings or, if
 * lower, the limit learned from refused transactions. */
guint mm_kv_client_max_operations(const MmKvClient *kv);
/* Takes `n_operations` writes from the budget of deferrable writes. If the budget does not suffice
 * at present, takes nothing and returns FALSE. */
gboolean mm_kv_client_try_spend_writes(MmKvClient *kv, guint n_operations);
/* Returns whether the store refuses this node's requests at present. That is the case if the newest
 * refused (503) request was sent after the newest served request. */
gboolean mm_kv_client_is_refused(const MmKvClient *kv);
/* Returns whether requests have timed out and the store has not responded for some time. In this
 * case this node is more likely cut off from the network than the store is down. */
gboolean mm_kv_client_is_unresponsive(const MmKvClient *kv);
