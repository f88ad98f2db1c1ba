/* The state service: requests, write budget, and what its refusals say. */
#pragma once

#include "node/node.h"

struct MmStore {
  MmNode *node;
  MmTime last_refused;    /* last 503 */
  MmTime refused_since;   /* first 503 since the last request that was served */
  MmTime last_unanswered; /* last request that got no answer in time */
  MmTime last_served;     /* when the last request that was served had been sent */
  double write_tokens;    /* what this node may still write in work that can wait */
  MmTime tokens_at;
  gint64 served_us; /* for how long it has been serving this node, as ticks have seen it */
  MmTime ticked;
  guint64 writes;
  guint64 requests;
  /* Limits learned from transactions that were refused as too large; G_MAXUINT: none yet. */
  guint learned_value_bytes;
  guint learned_txn_ops;
  GArray *refusals; /* transactions that were not sent, see mm_format_allows; to be answered 503 */
};

/* A transaction under construction. */
typedef struct {
  json_t *guards;
  json_t *apply;
  guint puts;
} MmTxn;

#define MM_KEY_ROOT "mm/r/"
/* Before all others in order, so that nothing is read in a format that is not known. */
#define MM_KEY_FORMAT MM_KEY_ROOT "a-format"
/* First of the rest, so that machines read later find their types. */
#define MM_KEY_TYPES MM_KEY_ROOT "a-types"
#define MM_KEY_TERM MM_KEY_ROOT "term"
#define MM_KEY_NODE MM_KEY_ROOT "n/"
#define MM_KEY_SHARD MM_KEY_ROOT "p/"
#define MM_KEY_PACK MM_KEY_ROOT "m/"
#define MM_KEY_JOB MM_KEY_ROOT "j/"
#define MM_KEY_VERSION MM_KEY_ROOT "v/" /* what each node of the settings understands */
#define MM_KEY_GROUPS MM_KEY_ROOT "g/"  /* which machine groups each node owns */
#define MM_KEY_NONE "mm/none"
#define MM_KEY_FINAL "mm/f/" /* not watched: final states of jobs */

MmStore *mm_store_new(MmNode *node);
void mm_store_free(MmStore *kv);
/* Counts the time in which the state service serves: of a node that stood still, and can't know, no
 * more than a few ticks. */
void mm_store_tick(MmStore *kv);

/* Answers the transactions that were not sent; also before what waits for them is freed. */
void mm_store_answer_refused(MmStore *kv);

MmTxn mm_txn(void);
void mm_txn_guard(MmTxn *transaction, const char *prefix, const char *key, MmKeyVersion version);
/* Takes the value. Claim 0: none. */
void mm_txn_put(MmTxn *transaction, const char *prefix, const char *key, json_t *value,
                guint64 lease_id);
void mm_txn_delete(MmTxn *transaction, const char *prefix, const char *key);

void mm_store_get(MmStore *kv, const char *prefix, const char *key, MmAnswered on_response,
                  gpointer data);
void mm_store_list(MmStore *kv, const char *prefix, const char *after_key, guint limit,
                   MmAnswered on_response, gpointer data);
void mm_store_watch(MmStore *kv, const char *prefix, guint64 after_revision, guint wait_ms,
                    MmAnswered on_response, gpointer data);
/* Sends and consumes the transaction. `answered` may be NULL where the replica shows the outcome.
 */
void mm_store_commit(MmStore *kv, MmTxn *transaction, MmAnswered on_response, gpointer data);
/* The same, or nothing at all when it changes nothing. */
void mm_store_commit_any(MmStore *kv, MmTxn *transaction, MmAnswered on_response, gpointer data);
void mm_store_request(MmStore *kv, const char *method, const char *path, const json_t *body,
                      guint timeout_ms, MmAnswered on_response, gpointer data);

/* What a value and a transaction may hold: by the settings, and less where the state service has
 * refused that much. */
guint mm_store_value_bytes(const MmStore *kv);
guint mm_store_txn_ops(const MmStore *kv);
/* Whether work that can wait may write `puts` keys now; takes them from the budget if so. */
gboolean mm_store_may_write(MmStore *kv, guint n_operations);
/* Whether the state service refuses us at the moment. */
gboolean mm_store_in_trouble(const MmStore *kv);
/* Whether it has answered us nothing at all for a while: more likely we are cut off from it than
 * that it is down. */
gboolean mm_store_is_silent(const MmStore *kv);
