#include "store/store.h"

#include "base/wire.h"
#include "upgrade/format.h"

#define REQUEST_TIMEOUT_MS 2000
/* Two renewals of a claim. */
#define SILENT_MS 1500
/* Shares are by node, yet rarely do all nodes write at once; the state service's own 429 is the
 * last word. Claims and users' words are not held back by this budget. */
#define WRITE_SHARE 0.3
/* After a 429 nothing that can wait is written for so long. */
#define LIMITED_PAUSE_S 0.25
#define SERVED_MOST_MS (4 * MM_NODE_TICK_MS)

/* A transaction that this node may not send. */
typedef struct {
  MmAnswered answered;
  gpointer data;
} Refusal;

MmStore *
mm_store_new(MmNode *node) {
  MmStore *kv = g_new0(MmStore, 1);

  kv->node = node;
  kv->learned_value_bytes = kv->learned_txn_ops = G_MAXUINT;
  kv->refusals = g_array_new(FALSE, FALSE, sizeof(Refusal));
  return kv;
}

void
mm_store_free(MmStore *kv) {
  g_array_unref(kv->refusals);
  g_free(kv);
}

void
mm_store_answer_refused(MmStore *kv) {
  g_autoptr(GArray) unsent = kv->refusals;

  /* What they are answered may be refused in its turn. */
  kv->refusals = g_array_new(FALSE, FALSE, sizeof(Refusal));
  for (guint i = 0; i < unsent->len; i++) {
    const Refusal *transaction = &g_array_index(unsent, Refusal, i);
    transaction->answered(transaction->data, 503, NULL);
  }
}

void
mm_store_tick(MmStore *kv) {
  MmTime now = mm_node_now(kv->node);

  if (kv->last_served.us != 0 && !mm_store_in_trouble(kv) && !mm_store_is_silent(kv))
    kv->served_us += MIN(now.us - kv->ticked.us, SERVED_MOST_MS * 1000);
  kv->ticked = now;
  if (kv->refusals->len > 0)
    mm_store_answer_refused(kv);
}

typedef struct {
  MmStore *store;
  MmTime sent;
  json_t *txn; /* NULL: it is none */
  MmAnswered answered;
  gpointer data;
} Call;

/* No limit is believed to be below these, whatever is refused: a final state and its record take
 * two changes, and a value that is too small for most jobs would only turn them away. */
#define TXN_OPS_LEAST 2
#define VALUE_BYTES_LEAST 1024
#define LEASE_ENDED_ERROR "no such lease"

static guint
largest_value(const json_t *operations) {
  gsize largest = 0;
  size_t i;
  json_t *item;

  json_array_foreach(operations, i, item) largest
      = MAX(largest, json_dumpb(mm_json_get(item, WIRE_VALUE), NULL, 0, JSON_COMPACT));
  return (guint)largest;
}

/* The limits have fallen earlier than expected, or further. Nothing is sent again as it was: what
 * is too much is halved, first the changes, then the values. */
static void
learn_limits(MmStore *kv, const json_t *transaction, const json_t *response) {
  const json_t *operations = json_object_get(transaction, WIRE_THEN);
  guint n_operations = (guint)json_array_size(operations);

  if (g_strcmp0(mm_json_string(response, "error"), LEASE_ENDED_ERROR) == 0)
    return;
  if (n_operations > TXN_OPS_LEAST)
    kv->learned_txn_ops = MIN(kv->learned_txn_ops, MAX(n_operations / 2, TXN_OPS_LEAST));
  else
    kv->learned_value_bytes
        = MIN(kv->learned_value_bytes, MAX(largest_value(operations) / 2, VALUE_BYTES_LEAST));
  mm_info("the state service refuses %u changes of up to %u bytes", n_operations,
          largest_value(operations));
}

guint
mm_store_value_bytes(const MmStore *kv) {
  return MIN(kv->node->settings->state_value_bytes, kv->learned_value_bytes);
}

guint
mm_store_txn_ops(const MmStore *kv) {
  return MIN(kv->node->settings->state_txn_ops, kv->learned_txn_ops);
}

static double
write_rate(const MmStore *kv) {
  return kv->node->settings->state_write_rps * WRITE_SHARE;
}

/* Leases and what users wait for go first. */
static void
note_limited(MmStore *kv) {
  mm_info("the state service says 429");
  kv->write_tokens = -LIMITED_PAUSE_S * write_rate(kv);
  kv->tokens_at = mm_node_now(kv->node);
}

static void
call_answered(gpointer data, int status, json_t *body) {
  Call *request = data;

  /* A refusal is as old as its request: the answer may have lain unread while this node stood
   * still, and a proof of an outage hangs on its age. */
  if (status == 503) {
    if (!mm_store_in_trouble(request->store))
      request->store->refused_since = request->sent;
    request->store->last_refused = mm_time_max(request->store->last_refused, request->sent);
  } else if (status == 0) {
    request->store->last_unanswered = mm_node_now(request->store->node);
  } else if (status != 429) {
    request->store->last_served = mm_time_max(request->store->last_served, request->sent);
  }
  if (status == 429)
    note_limited(request->store);
  if (status == 400 && request->txn != NULL)
    learn_limits(request->store, request->txn, body);
  if (request->answered != NULL)
    request->answered(request->data, status, body);
  json_decref(request->txn);
  g_free(request);
}

static void
send_request(MmStore *kv, const char *method, const char *path, const json_t *body,
             guint timeout_ms, json_t *transaction, MmAnswered on_response, gpointer data) {
  Call *request = g_new(Call, 1);

  *request = (Call){ kv, mm_node_now(kv->node), json_incref(transaction), on_response, data };
  kv->requests++;
  kv->node->port.request(kv->node->port.self, MM_TARGET_STORE, NULL, method, path, body, timeout_ms,
                         call_answered, request);
}

void
mm_store_request(MmStore *kv, const char *method, const char *path, const json_t *body,
                 guint timeout_ms, MmAnswered on_response, gpointer data) {
  send_request(kv, method, path, body, timeout_ms, NULL, on_response, data);
}

MmTxn
mm_txn(void) {
  return (MmTxn){ json_array(), json_array(), 0 };
}

void
mm_txn_guard(MmTxn *transaction, const char *prefix, const char *key, MmKeyVersion version) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  json_array_append_new(transaction->guards, json_pack("{s:s, s:I}", WIRE_KEY, path, WIRE_VERSION,
                                                       (json_int_t)version.v));
}

void
mm_txn_put(MmTxn *transaction, const char *prefix, const char *key, json_t *value,
           guint64 lease_id) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);
  json_t *operation = json_pack("{s:s, s:o}", WIRE_PUT, path, WIRE_VALUE, value);

  if (lease_id != 0)
    json_object_set_new(operation, WIRE_LEASE, json_integer((json_int_t)lease_id));
  json_array_append_new(transaction->apply, operation);
  transaction->puts++;
}

void
mm_txn_delete(MmTxn *transaction, const char *prefix, const char *key) {
  g_autofree char *path = g_strconcat(prefix, key, NULL);

  json_array_append_new(transaction->apply, json_pack("{s:s}", WIRE_DELETE, path));
  transaction->puts++;
}

void
mm_store_get(MmStore *kv, const char *prefix, const char *key, MmAnswered on_response,
             gpointer data) {
  g_autofree char *path = g_strconcat(WIRE_KEYS_PATH "/", prefix, key, NULL);

  mm_store_request(kv, "GET", path, NULL, REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_store_list(MmStore *kv, const char *prefix, const char *after_key, guint limit,
              MmAnswered on_response, gpointer data) {
  g_autofree char *path = g_strdup_printf(
      WIRE_KEYS_PATH "?" WIRE_PREFIX "=%s%s%s&" WIRE_LIMIT "=%u", prefix,
      after_key != NULL ? "&" WIRE_AFTER "=" : "", after_key != NULL ? after_key : "", limit);

  mm_store_request(kv, "GET", path, NULL, REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_store_watch(MmStore *kv, const char *prefix, guint64 after_revision, guint wait_ms,
               MmAnswered on_response, gpointer data) {
  g_autofree char *path = g_strdup_printf(WIRE_WATCH_PATH "?" WIRE_PREFIX "=%s&" WIRE_AFTER
                                                          "=%" G_GUINT64_FORMAT "&" WIRE_WAIT "=%u",
                                          prefix, after_revision, wait_ms);

  mm_store_request(kv, "GET", path, NULL, wait_ms + REQUEST_TIMEOUT_MS, on_response, data);
}

void
mm_store_commit(MmStore *kv, MmTxn *transaction, MmAnswered on_response, gpointer data) {
  g_autoptr(json_t) body
      = json_pack("{s:o, s:o}", WIRE_IF, transaction->guards, WIRE_THEN, transaction->apply);

  /* Whatever decided on it: nothing is written in a format that is not known to be the active one.
   */
  if (!mm_format_allows(kv->node->format)) {
    *transaction = (MmTxn){ 0 };
    if (on_response != NULL) {
      Refusal unsent = { on_response, data };
      g_array_append_val(kv->refusals, unsent);
    }
    return;
  }
  kv->writes += transaction->puts;
  send_request(kv, "POST", WIRE_TXN_PATH, body, REQUEST_TIMEOUT_MS, body, on_response, data);
  *transaction = (MmTxn){ 0 };
}

void
mm_store_commit_any(MmStore *kv, MmTxn *transaction, MmAnswered on_response, gpointer data) {
  if (transaction->puts > 0) {
    mm_store_commit(kv, transaction, on_response, data);
    return;
  }
  json_decref(transaction->guards);
  json_decref(transaction->apply);
  *transaction = (MmTxn){ 0 };
}

gboolean
mm_store_may_write(MmStore *kv, guint n_operations) {
  MmTime now = mm_node_now(kv->node);
  double budget_per_s = write_rate(kv);

  kv->write_tokens += budget_per_s * (double)(now.us - kv->tokens_at.us) / G_USEC_PER_SEC;
  kv->write_tokens = MIN(kv->write_tokens, MAX(budget_per_s, mm_store_txn_ops(kv)));
  kv->tokens_at = now;
  if (kv->write_tokens < n_operations)
    return FALSE;
  kv->write_tokens -= n_operations;
  return TRUE;
}

gboolean
mm_store_is_silent(const MmStore *kv) {
  MmTime last_response_at = mm_time_max(kv->last_served, kv->last_refused);

  return kv->last_unanswered.us > last_response_at.us
         && mm_time_ms_since(mm_node_now(kv->node), last_response_at) > SILENT_MS;
}

gboolean
mm_store_in_trouble(const MmStore *kv) {
  return kv->last_refused.us > kv->last_served.us;
}
