/* The state service: requests, write budget, and what its refusals say. */
#pragma once

#include "node/node.h"

struct MmKvClient {
  MmNode *node;
  MmTime last_refused_at;    /* last 503 */
  MmTime refused_since;      /* first 503 since the last request that was served */
  MmTime last_unanswered_at; /* last request that got no answer in time */
  MmTime last_served_at;     /* when the last request that was served had been sent */
  double write_budget;       /* what this node may still write in work that can wait */
  MmTime write_budget_at;
  gint64 available_us; /* for how long it has been serving this node, as ticks have seen it */
  MmTime last_tick_at;
  guint64 n_writes;
  guint64 n_requests;
  /* Limits learned from transactions that were refused as too large; G_MAXUINT: none yet. */
  guint learned_max_value_bytes;
  guint learned_max_operations;
  GArray *unsent_transactions; /* transactions that were not sent, see mm_format_is_supported; to be
                                  answered 503 */
};

/* A transaction under construction. */
typedef struct {
  json_t *conditions;
  json_t *operations;
  guint n_operations;
} MmTransaction;

#define MM_KEY_ROOT "mm/r/"
/* Before all others in order, so that nothing is read in a format that is not known. */
#define MM_KEY_FORMAT MM_KEY_ROOT "a-format"
/* First of the rest, so that machines read later find their types. */
#define MM_KEY_INSTANCE_TYPES MM_KEY_ROOT "a-types"
#define MM_KEY_TERM MM_KEY_ROOT "term"
#define MM_KEY_LIVE_NODE MM_KEY_ROOT "n/"
#define MM_KEY_SHARD MM_KEY_ROOT "p/"
#define MM_KEY_REGISTRY_PACK MM_KEY_ROOT "m/"
#define MM_KEY_JOB MM_KEY_ROOT "j/"
#define MM_KEY_NODE_VERSION MM_KEY_ROOT "v/"   /* what each node of the settings understands */
#define MM_KEY_MACHINE_GROUPS MM_KEY_ROOT "g/" /* which machine groups each node owns */
#define MM_KEY_NEVER_WRITTEN "mm/none"
#define MM_KEY_TERMINAL_RECORD "mm/f/" /* not watched: final states of jobs */

MmKvClient *mm_kv_client_new(MmNode *node);
void mm_kv_client_free(MmKvClient *kv);
/* Counts the time in which the state service serves: of a node that stood still, and can't know, no
 * more than a few ticks. */
void mm_kv_client_tick(MmKvClient *kv);

/* Answers the transactions that were not sent; also before what waits for them is freed. */
void mm_kv_client_fail_unsent(MmKvClient *kv);

MmTransaction mm_transaction_begin(void);
void mm_transaction_require_version(MmTransaction *transaction, const char *prefix, const char *key,
                                    MmKeyVersion version);
/* Takes the value. Claim 0: none. */
void mm_transaction_put(MmTransaction *transaction, const char *prefix, const char *key,
                        json_t *value, guint64 lease_id);
void mm_transaction_delete(MmTransaction *transaction, const char *prefix, const char *key);

void mm_kv_client_get(MmKvClient *kv, const char *prefix, const char *key,
                      MmResponseCallback on_response, gpointer data);
void mm_kv_client_list(MmKvClient *kv, const char *prefix, const char *after_key, guint limit,
                       MmResponseCallback on_response, gpointer data);
void mm_kv_client_watch(MmKvClient *kv, const char *prefix, guint64 after_revision, guint wait_ms,
                        MmResponseCallback on_response, gpointer data);
/* Sends and consumes the transaction. `answered` may be NULL where the replica shows the outcome.
 */
void mm_kv_client_commit(MmKvClient *kv, MmTransaction *transaction, MmResponseCallback on_response,
                         gpointer data);
/* The same, or nothing at all when it changes nothing. */
void mm_kv_client_commit_unless_empty(MmKvClient *kv, MmTransaction *transaction,
                                      MmResponseCallback on_response, gpointer data);
void mm_kv_client_request(MmKvClient *kv, const char *method, const char *path, const json_t *body,
                          guint timeout_ms, MmResponseCallback on_response, gpointer data);

/* What a value and a transaction may hold: by the settings, and less where the state service has
 * refused that much. */
guint mm_kv_client_max_value_bytes(const MmKvClient *kv);
guint mm_kv_client_max_operations(const MmKvClient *kv);
/* Whether work that can wait may write `puts` keys now; takes them from the budget if so. */
gboolean mm_kv_client_try_spend_writes(MmKvClient *kv, guint n_operations);
/* Whether the state service refuses us at the moment. */
gboolean mm_kv_client_is_refused(const MmKvClient *kv);
/* Whether it has answered us nothing at all for a while: more likely we are cut off from it than
 * that it is down. */
gboolean mm_kv_client_is_silent(const MmKvClient *kv);
