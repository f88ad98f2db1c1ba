/* Builds transactions of the key-value store. The store carries out a transaction's operations
 * atomically if all of its conditions hold (compare-and-swap on the versions of keys).
 *
 * A transaction owns its two arrays. mm_kv_client_commit takes ownership of the arrays. A
 * transaction that is not committed must be cleared with mm_transaction_clear. */
#pragma once

#include "base/json.h"

#include "base/types.h"

typedef struct {
  MmJson *conditions;
  MmJson *operations;
  guint n_operations;
} MmTransaction;

/* Returns an empty transaction. */
MmTransaction mm_transaction_begin(void);
/* Frees the arrays. */
void mm_transaction_clear(MmTransaction *transaction);
/* Adds the condition that the key has the version. The key's name is `prefix` followed by `key`.
 * Version 0 means that the key must be absent. */
void mm_transaction_require_version(MmTransaction *transaction, const char *prefix, const char *key,
                                    MmKeyVersion version);
/* Adds an operation that writes the key, and takes ownership of the value. The store deletes the
 * key when the lease `lease_id` expires. If `lease_id` is MM_NO_LEASE, the key does not expire. */
void mm_transaction_put(MmTransaction *transaction, const char *prefix, const char *key,
                        MmJson *value, guint64 lease_id);
/* Adds an operation that deletes the key. */
void mm_transaction_delete(MmTransaction *transaction, const char *prefix, const char *key);
