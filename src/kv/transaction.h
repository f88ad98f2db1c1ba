/* A transaction of the key-value store under construction: operations that are carried out
 * together if all conditions are met (compare-and-swap on the versions of keys).
 *
 * It owns its two arrays. mm_kv_client_commit takes them; what is not committed is to be cleared.
 */
#pragma once

#include <jansson.h>

#include "base/types.h"

typedef struct {
  json_t *conditions;
  json_t *operations;
  guint n_operations;
} MmTransaction;

MmTransaction mm_transaction_begin(void);
void mm_transaction_clear(MmTransaction *transaction);
/* The key, `prefix` and `key` put together, must have the version; 0: must be absent. */
void mm_transaction_require_version(MmTransaction *transaction, const char *prefix, const char *key,
                                    MmKeyVersion version);
/* Takes the value. The key is deleted as the lease expires; MM_NO_LEASE: it stays. */
void mm_transaction_put(MmTransaction *transaction, const char *prefix, const char *key,
                        json_t *value, guint64 lease_id);
void mm_transaction_delete(MmTransaction *transaction, const char *prefix, const char *key);
