#include "node/node.h"

#include "base/wire.h"
#include "checkin/checkin.h"
#include "checkin/registry.h"
#include "checkin/machine-table.h"
#include "dependencies/dependencies.h"
#include "fleet/fleet.h"
#include "fleet/types.h"
#include "jobs/api.h"
#include "jobs/job-table.h"
#include "owner/owner.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "rank/rank.h"
#include "sharing/admin.h"
#include "sharing/sharing.h"
#include "store/replica.h"
#include "store/store.h"
#include "upgrade/format.h"
#include "upgrade/versions.h"

#define TROUBLE_ALONE_MS 2000
/* Overload is shed in this order: status polls, then submissions. Workers' leases, cancellations
 * and health checks are never turned away for it. */
#define SHED_POLLS_MS 600
#define SHED_SUBMISSIONS_MS 1500
#define SHED_RETRY_S 3
#define FENCED_RETRY_S 5

MmNode *
mm_node_new(const MmSettings *settings, const MmOperators *operators, const MmPort *platform,
            guint32 seed) {
  MmNode *node = g_new0(MmNode, 1);

  node->settings = settings;
  node->operators = operators;
  node->port = *platform;
  node->rand = g_rand_new_with_seed(seed);
  node->started = mm_node_now(node);
  node->store = mm_kv_client_new(node);
  node->replica = mm_replica_new(node);
  node->node_lease = mm_node_lease_new(node);
  node->job_table = mm_job_table_new(node);
  node->api = mm_job_api_new(node);
  node->dependencies = mm_dependencies_new(node);
  node->versions = mm_versions_new(node);
  node->format = mm_format_new(node);
  node->types = mm_instance_types_new(node);
  node->machine_table = mm_machine_table_new(node);
  node->registry = mm_registry_new(node);
  node->checkin = mm_heartbeat_server_new(node);
  node->rank = mm_placement_new(node);
  node->owner = mm_scheduler_new(node);
  node->fleet = mm_autoscaler_new(node);
  node->sharing = mm_sharing_new(node);
  node->links = mm_links_new(node);
  return node;
}

void
mm_node_free(MmNode *node) {
  while (node->store->unsent_transactions->len > 0)
    mm_kv_client_fail_unsent(node->store);
  mm_heartbeat_server_free(node->checkin);
  mm_job_api_free(node->api);
  mm_replica_free(node->replica); /* answers those who wait for it */
  mm_links_free(node->links);
  mm_sharing_free(node->sharing);
  mm_autoscaler_free(node->fleet);
  mm_scheduler_free(node->owner);
  mm_placement_free(node->rank);
  mm_registry_free(node->registry);
  mm_machine_table_free(node->machine_table);
  mm_instance_types_free(node->types);
  mm_job_table_free(node->job_table);
  mm_dependencies_free(node->dependencies);
  mm_versions_free(node->versions);
  mm_format_free(node->format);
  mm_node_lease_free(node->node_lease);
  mm_kv_client_free(node->store);
  g_rand_free(node->rand);
  g_free(node);
}

void
mm_node_start(MmNode *node) {
  mm_replica_start(node->replica);
  mm_node_tick(node);
}

/* The worst of late, halved with each tick that is on time. */
static void
measure_lag(MmNode *node) {
  MmTime now = mm_node_now(node);
  gint64 delay_ms
      = node->ticked.us != 0 ? mm_time_ms_since(now, node->ticked) - MM_NODE_TICK_MS : 0;

  node->ticked = now;
  if (delay_ms >= SHED_POLLS_MS && node->lag_ms < SHED_POLLS_MS)
    mm_info("too much to do: %" G_GINT64_FORMAT " ms late, polls are turned away", delay_ms);
  node->lag_ms = MAX(delay_ms, node->lag_ms / 2);
}

static gboolean
shed(const MmNode *node, gint64 max_delay_ms, MmExchange *exchange) {
  if (node->lag_ms < max_delay_ms)
    return FALSE;
  mm_exchange_answer(exchange, 503, mm_json_error("too busy"), SHED_RETRY_S);
  return TRUE;
}

void
mm_node_tick(MmNode *node) {
  measure_lag(node);
  mm_kv_client_tick(node->store);
  mm_node_lease_tick(node->node_lease);
  mm_replica_tick(node->replica);
  mm_versions_tick(node->versions);
  mm_dependencies_tick(node->dependencies);
  mm_job_api_tick(node->api);
  mm_links_tick(node->links);
  mm_instance_types_tick(node->types);
  mm_heartbeat_server_tick(node->checkin);
  mm_machine_table_tick(node->machine_table);
  mm_registry_tick(node->registry);
  mm_scheduler_tick(node->owner);
  mm_placement_tick(node->rank);
  mm_sharing_tick(node->sharing);
  mm_autoscaler_tick(node->fleet);
}

/* A node that alone is refused by the state service, or has no answer from it, sends its users
 * elsewhere. In an outage for all, being unhealthy would help nobody. */
static gboolean
healthy(const MmNode *node) {
  MmTime now = mm_node_now(node);

  if (!node->replica->is_loaded || !mm_instance_types_are_known(node->types)
      || !mm_format_is_supported(node->format))
    return FALSE;
  if (mm_kv_client_is_silent(node->store))
    return FALSE;
  return !mm_kv_client_is_refused(node->store)
         || mm_time_ms_since(now, node->store->last_served_at) < TROUBLE_ALONE_MS
         || mm_time_ms_since(now, mm_links_last_refused(node->links)) < TROUBLE_ALONE_MS
         || mm_links_other(node->links) < 0;
}

static void
wrong_method(MmExchange *exchange) {
  mm_exchange_answer(exchange, 405, mm_json_error("this path does not take that method"), 0);
}

static void
handle_job(MmNode *node, const char *method, const char *subpath, MmExchange *exchange) {
  const char *slash = strchr(subpath, '/');

  if (slash == NULL) {
    if (strcmp(method, "GET") != 0)
      wrong_method(exchange);
    else if (!shed(node, SHED_POLLS_MS, exchange))
      mm_job_api_status(node, subpath, exchange);
  } else if (strcmp(slash + 1, WIRE_CANCEL_WORD) == 0) {
    g_autofree char *id = g_strndup(subpath, (gsize)(slash - subpath));
    if (strcmp(method, "POST") == 0)
      mm_job_api_cancel(node, id, exchange);
    else
      wrong_method(exchange);
  } else {
    mm_exchange_answer(exchange, 404, mm_json_error("no such path"), 0);
  }
}

/* Before anything has been read nothing is fenced yet: there is nothing to misread. */
static gboolean
is_fenced(const MmNode *node) {
  return node->format->is_known && !mm_format_is_supported(node->format);
}

void
mm_node_handle(MmNode *node, const char *method, const char *path, json_t *body,
               MmExchange *exchange) {
  if (is_fenced(node) && strcmp(path, "/healthz") != 0) {
    mm_exchange_answer(exchange, 503, mm_json_error("this node does not know the active format"),
                       FENCED_RETRY_S);
  } else if (strcmp(path, WIRE_REPORT_PATH) == 0) {
    if (strcmp(method, "POST") == 0)
      mm_heartbeat_server_receive(node->checkin, body, exchange);
    else
      wrong_method(exchange);
  } else if (strcmp(path, WIRE_JOBS_PATH) == 0) {
    if (strcmp(method, "POST") != 0)
      wrong_method(exchange);
    else if (!shed(node, SHED_SUBMISSIONS_MS, exchange))
      mm_job_api_submit(node, body, exchange);
  } else if (g_str_has_prefix(path, WIRE_JOBS_PATH "/")) {
    handle_job(node, method, path + strlen(WIRE_JOBS_PATH "/"), exchange);
  } else if (g_str_has_prefix(path, MM_ADMIN_GROUPS_PATH)) {
    mm_sharing_admin(node->sharing, method, path + strlen(MM_ADMIN_GROUPS_PATH), body, exchange);
  } else if (strcmp(path, "/healthz") == 0) {
    if (strcmp(method, "GET") != 0)
      wrong_method(exchange);
    else if (healthy(node))
      mm_exchange_answer(exchange, 200, json_pack("{s:s}", "status", "ok"), 0);
    else
      mm_exchange_answer(exchange, 503, mm_json_error("not ready"), 1);
  } else {
    mm_exchange_answer(exchange, 404, mm_json_error("no such path"), 0);
  }
}
