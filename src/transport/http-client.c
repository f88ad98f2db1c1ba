/* Sends requests to the key-value store, the cloud and workers with libsoup. Each target has a
 * session of its own, because connections and time-outs of one target must not delay requests to
 * another target. */
#include "transport/transport.h"

#include <libsoup/soup.h>

/* Lower bound for a session's limit of connections. The limit must be high, because each request to
 * an unreachable machine occupies a connection until it times out. */
#define CONNECTION_LIMIT_MIN 200
#define CONNECTIONS_PER_HOST 24
/* How long an idle connection stays open, by MmTarget. Connections to workers are closed soon,
 * because a worker rarely receives two requests in quick succession. */
static const guint idle_timeout_s[] = { 60, 60, 1 };
/* After this many requests the session for workers is replaced by a new session, as soon as no
 * request to a worker is in flight. The reason is that libsoup keeps a timer for each host to which
 * a session has sent a request within the last five minutes. The main loop checks every timer in
 * each iteration. With 4,000 machines these checks took four tenths of a node's CPU time. */
#define WORKER_REQUESTS_PER_SESSION 64

/* Priorities in the main loop, by MmTarget. Responses of the key-value store come first, because an
 * overloaded node must still renew its lease. Without its lease the node would lose its shards, and
 * the loss would increase the load further. */
static const int source_priorities[] = { G_PRIORITY_HIGH, G_PRIORITY_DEFAULT, G_PRIORITY_DEFAULT };

struct MmHttpClient {
  const MmSettings *settings;
  SoupSession *sessions[3]; /* by MmTarget */
  char *base_urls[3];       /* by MmTarget; NULL for workers */
  guint n_worker_requests;  /* requests sent with the current session for workers */
  guint n_worker_in_flight; /* requests to workers that are in flight */
};

typedef struct {
  MmHttpClient *client;
  MmTarget target;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timeout_source;
  MmResponseCallback callback;
  gpointer data;
} ClientRequest;

static SoupSession *
new_session(const MmSettings *settings, MmTarget target) {
  SoupSession *session = soup_session_new_with_options(
      "max-conns", MAX(CONNECTION_LIMIT_MIN, settings->max_sockets / 8), "max-conns-per-host",
      CONNECTIONS_PER_HOST, "idle-timeout", idle_timeout_s[target], "proxy-resolver", NULL, NULL);

  soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
  return session;
}

MmHttpClient *
mm_http_client_new(const MmSettings *settings) {
  MmHttpClient *client = g_new0(MmHttpClient, 1);

  client->settings = settings;
  for (guint i = 0; i < G_N_ELEMENTS(client->sessions); i++)
    client->sessions[i] = new_session(settings, (MmTarget)i);
  client->base_urls[MM_TARGET_KV_STORE] = g_strconcat("http://", settings->kv_address, NULL);
  client->base_urls[MM_TARGET_CLOUD] = g_strconcat("http://", settings->cloud_address, NULL);
  return client;
}

static void
replace_worker_session_if_due(MmHttpClient *client) {
  if (client->n_worker_in_flight > 0 || client->n_worker_requests < WORKER_REQUESTS_PER_SESSION)
    return;
  g_object_unref(client->sessions[MM_TARGET_WORKER]);
  client->sessions[MM_TARGET_WORKER] = new_session(client->settings, MM_TARGET_WORKER);
  client->n_worker_requests = 0;
}

static gboolean
on_timeout(gpointer data) {
  ClientRequest *request = data;

  request->timeout_source = 0;
  g_cancellable_cancel(request->cancellable);
  return G_SOURCE_REMOVE;
}

static void
on_finished(GObject *source, GAsyncResult *result, gpointer data) {
  ClientRequest *request = data;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  g_autoptr(MmJson) body = NULL;
  MmJsonError error_in_body = { 0 };
  int status = 0;

  if (request->timeout_source != 0)
    g_source_remove(request->timeout_source);
  if (bytes != NULL) {
    gsize length;
    const char *text = g_bytes_get_data(bytes, &length);
    status = (int)soup_message_get_status(request->message);
    if (length > 0)
      body = mm_json_parse(text, length, &error_in_body);
    if (length > 0 && body == NULL && status == 200) {
      mm_info(
          "response discarded, body is not JSON target=%d reason=\"%s\" position=%" G_GSIZE_FORMAT,
          (int)request->target, error_in_body.reason, error_in_body.position);
      status = 0;
    }
  } else {
    mm_debug("request failed, no response received error=%s", error->message);
  }
  if (request->target == MM_TARGET_WORKER)
    request->client->n_worker_in_flight--;
  request->callback(request->data, status, body);
  g_object_unref(request->message);
  g_object_unref(request->cancellable);
  g_free(request);
}

typedef struct {
  MmResponseCallback callback;
  gpointer data;
} FailedRequest;

static gboolean
report_failure(gpointer data) {
  FailedRequest *failure = data;

  failure->callback(failure->data, 0, NULL);
  g_free(failure);
  return G_SOURCE_REMOVE;
}

void
mm_http_client_request(MmHttpClient *client, MmTarget target, const char *address,
                       const char *method, const char *path, const MmJson *body, guint timeout_ms,
                       MmResponseCallback callback, gpointer data) {
  g_autofree char *uri = target == MM_TARGET_WORKER
                             ? g_strconcat("http://", address, path, NULL)
                             : g_strconcat(client->base_urls[target], path, NULL);
  SoupMessage *message = soup_message_new(method, uri);
  ClientRequest *request;

  if (message == NULL) {
    FailedRequest *failure = g_new(FailedRequest, 1);
    *failure = (FailedRequest){ callback, data };
    mm_info("request not sent, invalid address uri=%s", uri);
    g_idle_add(report_failure, failure);
    return;
  }
  if (body != NULL) {
    char *text = mm_json_to_text(body);
    g_autoptr(GBytes) bytes = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  if (target == MM_TARGET_WORKER) {
    replace_worker_session_if_due(client);
    client->n_worker_requests++;
    client->n_worker_in_flight++;
  }
  request = g_new0(ClientRequest, 1);
  request->client = client;
  request->target = target;
  request->message = message;
  request->cancellable = g_cancellable_new();
  request->callback = callback;
  request->data = data;
  request->timeout_source = g_timeout_add(timeout_ms, on_timeout, request);
  soup_session_send_and_read_async(client->sessions[target], message, source_priorities[target],
                                   request->cancellable, on_finished, request);
}
