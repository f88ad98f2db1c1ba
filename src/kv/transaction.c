#include "kv/transaction.h"

#include "base/json.h"
#include "base/wire.h"
#include "kv/records.h"

MmTransaction
mm_transaction_begin(void) {
  return (MmTransaction){ json_array(), json_array(), 0 };
}

void
mm_transaction_clear(MmTransaction *transaction) {
  json_decref(transaction->conditions);
  json_decref(transaction->operations);
  *transaction = (MmTransaction){ 0 };
}

void
mm_transaction_require_version(MmTransaction *transaction, const char *prefix, const char *key,
                               MmKeyVersion version) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  json_array_append_new(transaction->conditions, json_pack("{s:s, s:I}", WIRE_KEY, path,
                                                           WIRE_VERSION, (json_int_t)version.v));
}

void
mm_transaction_put(MmTransaction *transaction, const char *prefix, const char *key, json_t *value,
                   guint64 lease_id) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);
  json_t *operation = json_pack("{s:s, s:o}", WIRE_PUT, path, WIRE_VALUE, value);

  if (lease_id != MM_NO_LEASE)
    json_object_set_new(operation, WIRE_LEASE, json_integer((json_int_t)lease_id));
  json_array_append_new(transaction->operations, operation);
  transaction->n_operations++;
}

void
mm_transaction_delete(MmTransaction *transaction, const char *prefix, const char *key) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  json_array_append_new(transaction->operations, json_pack("{s:s}", WIRE_DELETE, path));
  transaction->n_operations++;
}
