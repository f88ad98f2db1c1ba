#include "kv/kv-client.h"

#include "base/json.h"
#include "base/log.h"
#include "base/wire.h"

#define REQUEST_TIMEOUT_MS 2000
/* Time without a response after which the store counts as unresponsive: about two lease renewal
 * intervals. */
#define UNRESPONSIVE_AFTER_MS 1500
/* The fraction of the store's write rate that one node may use for deferrable writes. The fractions
 * of all nodes may add up to more than one, because all nodes rarely write at the same time. The
 * store enforces the actual limit with 429 responses. Lease requests and writes that users wait for
 * do not use this budget. */
#define NODE_WRITE_SHARE 0.3
/* For how long deferrable writes pause after a 429 response, in seconds. */
#define RATE_LIMIT_BACKOFF_S 0.25
/* Maximum time that one tick adds to available_us; see mm_kv_client_tick. */
#define MAX_AVAILABLE_PER_TICK_MS (4 * MM_NODE_TICK_MS)

/* The callback of a transaction that was not sent, because this node may not write. The callback is
 * called with status 503 at the next tick. */
typedef struct {
  MmResponseCallback on_response;
  gpointer data;
} UnsentTransaction;

MmKvClient *
mm_kv_client_new(const MmPlatform *platform, const MmSettings *settings) {
  MmKvClient *kv = g_new0(MmKvClient, 1);

  kv->platform = platform;
  kv->settings = settings;
  kv->learned_max_value_bytes = kv->learned_max_operations = MM_KV_NO_LIMIT;
  kv->unsent_transactions = g_array_new(FALSE, FALSE, sizeof(UnsentTransaction));
  return kv;
}

void
mm_kv_client_free(MmKvClient *kv) {
  g_array_unref(kv->unsent_transactions);
  g_free(kv);
}

void
mm_kv_client_set_write_guard(MmKvClient *kv, MmMayWrite may_write, gconstpointer context) {
  kv->may_write = may_write;
  kv->may_write_context = context;
}

gboolean
mm_kv_client_may_write(const MmKvClient *kv) {
  return kv->may_write == NULL || kv->may_write(kv->may_write_context);
}

void
mm_kv_client_fail_unsent(MmKvClient *kv) {
  g_autoptr(GArray) unsent = kv->unsent_transactions;

  /* A callback may commit another transaction. If that transaction is not sent either, its callback
   * is added to the new array, not to the array that is being processed. */
  kv->unsent_transactions = g_array_new(FALSE, FALSE, sizeof(UnsentTransaction));
  for (guint i = 0; i < unsent->len; i++) {
    const UnsentTransaction *transaction = &g_array_index(unsent, UnsentTransaction, i);
    transaction->on_response(transaction->data, 503, NULL);
  }
}

void
mm_kv_client_tick(MmKvClient *kv) {
  MmTime now = mm_platform_now(kv->platform);

  if (kv->last_served_at.us != 0 && !mm_kv_client_is_refused(kv)
      && !mm_kv_client_is_unresponsive(kv))
    kv->available_us += MIN(now.us - kv->last_tick_at.us, MAX_AVAILABLE_PER_TICK_MS * 1000);
  kv->last_tick_at = now;
  if (kv->unsent_transactions->len > 0)
    mm_kv_client_fail_unsent(kv);
}

typedef struct {
  MmKvClient *kv;
  MmTime sent_at;
  MmJson *transaction; /* owned; NULL if the request is not a transaction */
  MmResponseCallback on_response;
  gpointer data;
} Request;

/* Lower bounds of the learned limits. The learned limits are not lowered further, even if the store
 * refuses transactions of this size. Two operations are needed to end a job: one writes its
 * terminal record, and one deletes its job record. A lower limit on the size of values would only
 * make the node reject most jobs. */
#define MIN_LEARNED_OPERATIONS 2
#define MIN_LEARNED_VALUE_BYTES 1024
/* Error text of a 400 response to a transaction that names an expired lease. This response says
 * nothing about the transaction's size. */
#define LEASE_EXPIRED_ERROR "no such lease"

static guint
largest_value_bytes(const MmJson *operations) {
  gsize largest = 0;
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (operations, i, item)
    largest = MAX(largest, mm_json_text_length(mm_json_get(item, WIRE_VALUE)));
  return (guint)largest;
}

/* Lowers a learned limit after the store refused a transaction as too large. The store may refuse
 * such a transaction because the store's limits were lowered earlier or further than announced. The
 * refused transaction must not be sent again unchanged. The limit on operations becomes half of the
 * transaction's number of operations. If the transaction had no more than MIN_LEARNED_OPERATIONS,
 * the limit on the size of values becomes half of the transaction's largest value instead. */
static void
learn_transaction_limits(MmKvClient *kv, const MmJson *transaction, const MmJson *response) {
  const MmJson *operations = mm_json_get(transaction, WIRE_OPERATIONS);
  guint n_operations = (guint)mm_json_array_size(operations);

  if (g_strcmp0(mm_json_string(response, "error"), LEASE_EXPIRED_ERROR) == 0)
    return;
  if (n_operations > MIN_LEARNED_OPERATIONS)
    kv->learned_max_operations
        = MIN(kv->learned_max_operations, MAX(n_operations / 2, MIN_LEARNED_OPERATIONS));
  else
    kv->learned_max_value_bytes
        = MIN(kv->learned_max_value_bytes,
              MAX(largest_value_bytes(operations) / 2, MIN_LEARNED_VALUE_BYTES));
  mm_info("key-value store rejected transaction, presumably too large "
          "operations=%u largest_value_bytes=%u",
          n_operations, largest_value_bytes(operations));
}

guint
mm_kv_client_max_value_bytes(const MmKvClient *kv) {
  return MIN(kv->settings->kv_max_value_bytes, kv->learned_max_value_bytes);
}

guint
mm_kv_client_max_operations(const MmKvClient *kv) {
  return MIN(kv->settings->kv_max_operations, kv->learned_max_operations);
}

static double
write_budget_per_s(const MmKvClient *kv) {
  return kv->settings->kv_writes_per_s * NODE_WRITE_SHARE;
}

/* Pauses deferrable writes. The store's whole write rate is then available to lease requests and to
 * writes that users wait for. */
static void
pause_deferrable_writes(MmKvClient *kv) {
  mm_info("deferrable writes paused: key-value store limits the request rate status=429");
  kv->write_budget = -RATE_LIMIT_BACKOFF_S * write_budget_per_s(kv);
  kv->write_budget_at = mm_platform_now(kv->platform);
}

static void
on_request_done(gpointer data, int status, MmJson *body) {
  Request *request = data;

  /* A refusal counts from the time at which its request was sent. If this process was paused, the
   * response may have waited unread for the length of the pause. The age of a refusal must not be
   * underestimated, because the proof of an outage depends on it (see leases/node-lease.h). */
  if (status == 503) {
    if (!mm_kv_client_is_refused(request->kv))
      request->kv->refused_since = request->sent_at;
    request->kv->last_refused_at = mm_time_max(request->kv->last_refused_at, request->sent_at);
  } else if (status == 0) {
    request->kv->last_unanswered_at = mm_platform_now(request->kv->platform);
  } else if (status != 429) {
    request->kv->last_served_at = mm_time_max(request->kv->last_served_at, request->sent_at);
  }
  if (status == 429)
    pause_deferrable_writes(request->kv);
  if (status == 400 && request->transaction != NULL)
    learn_transaction_limits(request->kv, request->transaction, body);
  if (request->on_response != NULL)
    request->on_response(request->data, status, body);
  mm_json_unref(request->transaction);
  g_free(request);
}

static void
send_request(MmKvClient *kv, const char *method, const char *path, const MmJson *body,
             guint timeout_ms, MmJson *transaction, MmResponseCallback on_response, gpointer data) {
  Request *request = g_new(Request, 1);

  *request
      = (Request){ kv, mm_platform_now(kv->platform), mm_json_ref(transaction), on_response, data };
  kv->platform->request(kv->platform->context, MM_TARGET_KV_STORE, NULL, method, path, body,
                        timeout_ms, on_request_done, request);
}

void
mm_kv_client_request(MmKvClient *kv, const char *method, const char *path, const MmJson *body,
                     guint timeout_ms, MmResponseCallback on_response, gpointer data) {
  send_request(kv, method, path, body, timeout_ms, NULL, on_response, data);
}

void
mm_kv_client_get(MmKvClient *kv, const char *prefix, const char *key,
                 MmResponseCallback on_response, gpointer data) {
  g_autofree char *path = g_strconcat(WIRE_KEYS_PATH "/", prefix, key, NULL);

  mm_kv_client_request(kv, "GET", path, NULL, REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_kv_client_list(MmKvClient *kv, const char *prefix, const char *after_key, guint limit,
                  MmResponseCallback on_response, gpointer data) {
  g_autofree char *path = g_strdup_printf(
      WIRE_KEYS_PATH "?" WIRE_PREFIX "=%s%s%s&" WIRE_LIMIT "=%u", prefix,
      after_key != NULL ? "&" WIRE_AFTER "=" : "", after_key != NULL ? after_key : "", limit);

  mm_kv_client_request(kv, "GET", path, NULL, REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_kv_client_watch(MmKvClient *kv, const char *prefix, guint64 after_revision, guint wait_ms,
                   MmResponseCallback on_response, gpointer data) {
  g_autofree char *path = g_strdup_printf(WIRE_WATCH_PATH "?" WIRE_PREFIX "=%s&" WIRE_AFTER
                                                          "=%" G_GUINT64_FORMAT "&" WIRE_WAIT "=%u",
                                          prefix, after_revision, wait_ms);

  mm_kv_client_request(kv, "GET", path, NULL, wait_ms + REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_kv_client_commit(MmKvClient *kv, MmTransaction *transaction, MmResponseCallback on_response,
                    gpointer data) {
  g_autoptr(MmJson) body = mm_json_pack("{s:o, s:o}", WIRE_CONDITIONS, transaction->conditions,
                                        WIRE_OPERATIONS, transaction->operations);

  /* The guard is checked in this function because all transactions are sent here. No module can
   * bypass the check. */
  if (!mm_kv_client_may_write(kv)) {
    *transaction = (MmTransaction){ 0 };
    if (on_response != NULL) {
      UnsentTransaction unsent = { on_response, data };
      g_array_append_val(kv->unsent_transactions, unsent);
    }
    return;
  }
  send_request(kv, "POST", WIRE_TXN_PATH, body, REQUEST_TIMEOUT_MS, body, on_response, data);
  *transaction = (MmTransaction){ 0 };
}

void
mm_kv_client_commit_unless_empty(MmKvClient *kv, MmTransaction *transaction,
                                 MmResponseCallback on_response, gpointer data) {
  if (transaction->n_operations > 0) {
    mm_kv_client_commit(kv, transaction, on_response, data);
    return;
  }
  mm_transaction_clear(transaction);
}

gboolean
mm_kv_client_try_spend_writes(MmKvClient *kv, guint n_operations) {
  MmTime now = mm_platform_now(kv->platform);
  double budget_per_s = write_budget_per_s(kv);

  kv->write_budget += budget_per_s * (double)(now.us - kv->write_budget_at.us) / G_USEC_PER_SEC;
  kv->write_budget = MIN(kv->write_budget, MAX(budget_per_s, mm_kv_client_max_operations(kv)));
  kv->write_budget_at = now;
  if (kv->write_budget < n_operations)
    return FALSE;
  kv->write_budget -= n_operations;
  return TRUE;
}

gboolean
mm_kv_client_is_unresponsive(const MmKvClient *kv) {
  MmTime last_response_at = mm_time_max(kv->last_served_at, kv->last_refused_at);

  return kv->last_unanswered_at.us > last_response_at.us
         && mm_time_ms_since(mm_platform_now(kv->platform), last_response_at)
                > UNRESPONSIVE_AFTER_MS;
}

gboolean
mm_kv_client_is_refused(const MmKvClient *kv) {
  return kv->last_refused_at.us > kv->last_served_at.us;
}
