#include "kv/transaction.h"

#include "base/json.h"
#include "base/wire.h"
#include "kv/records.h"

MmTransaction
mm_transaction_begin(void) {
  return (MmTransaction){ mm_json_new_array(), mm_json_new_array(), 0 };
}

void
mm_transaction_clear(MmTransaction *transaction) {
  mm_json_unref(transaction->conditions);
  mm_json_unref(transaction->operations);
  *transaction = (MmTransaction){ 0 };
}

void
mm_transaction_require_version(MmTransaction *transaction, const char *prefix, const char *key,
                               MmKeyVersion version) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  mm_json_array_append(transaction->conditions,
                       mm_json_pack("{s:s, s:I}", WIRE_KEY, path, WIRE_VERSION, version.v));
}

void
mm_transaction_put(MmTransaction *transaction, const char *prefix, const char *key, MmJson *value,
                   guint64 lease_id) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);
  MmJson *operation = mm_json_pack("{s:s, s:o}", WIRE_PUT, path, WIRE_VALUE, value);

  if (lease_id != MM_NO_LEASE)
    mm_json_object_set(operation, WIRE_LEASE, mm_json_new_count(lease_id));
  mm_json_array_append(transaction->operations, operation);
  transaction->n_operations++;
}

void
mm_transaction_delete(MmTransaction *transaction, const char *prefix, const char *key) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  mm_json_array_append(transaction->operations, mm_json_pack("{s:s}", WIRE_DELETE, path));
  transaction->n_operations++;
}
