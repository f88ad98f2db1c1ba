#include "node/node.h"

#include "base/wire.h"
#include "heartbeat-server/heartbeat-server.h"
#include "machines/registry.h"
#include "machines/machine-table.h"
#include "dependencies/dependencies.h"
#include "autoscaler/autoscaler.h"
#include "autoscaler/instance-types.h"
#include "job-api/job-api.h"
#include "jobs/job-table.h"
#include "placement/backlog.h"
#include "placement/placement.h"
#include "scheduler/scheduler.h"
#include "leases/node-lease.h"
#include "leases/shard-ownership.h"
#include "peers/peer-links.h"
#include "sharing/admin.h"
#include "sharing/sharing.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/format.h"
#include "upgrade/versions.h"
#include "node/memory-usage.h"
#include "node/wiring.h"

/* How long is_healthy() counts a request to the key-value store as recent. The function considers
 * the last request of this node that the store served, and the last request of any peer that the
 * store refused. */
#define KV_RECENT_RESPONSE_MS 2000
/* Load shedding under overload: status polls are rejected if the tick delay is at least
 * SHED_POLLS_DELAY_MS, and submissions if it is at least SHED_SUBMISSIONS_DELAY_MS. Heartbeats,
 * cancellations and health checks are never rejected. */
#define SHED_POLLS_DELAY_MS 600
#define SHED_SUBMISSIONS_DELAY_MS 1500
#define LOAD_SHED_RETRY_S 3
#define FENCED_RETRY_S 5

MmNode *
mm_node_new(const MmSettings *settings, const MmOperators *operators, const MmPlatform *platform,
            guint32 seed) {
  MmNode *node = g_new0(MmNode, 1);

  node->settings = settings;
  node->operators = operators;
  node->platform = *platform;
  node->rand = g_rand_new_with_seed(seed);
  node->started_at = mm_node_now(node);
  node->kv = mm_kv_client_new(&node->platform, settings);
  node->replica = mm_replica_new(&node->platform, settings, node->kv);
  node->node_lease
      = mm_node_lease_new(&node->platform, settings, operators, node->kv, node->replica);
  node->shard_ownership = mm_shard_ownership_new(&node->platform, settings, operators, node->kv,
                                                 node->replica, node->node_lease);
  node->job_table = mm_job_table_new(settings);
  node->job_api = mm_job_api_new(node);
  node->dependencies = mm_dependencies_new(node);
  node->versions = mm_versions_new(&node->platform, settings, operators, node->kv, node->replica);
  node->format = mm_format_new();
  node->instance_types = mm_instance_types_new(node);
  node->machine_table = mm_machine_table_new(node);
  node->registry = mm_registry_new(node);
  node->heartbeat_server = mm_heartbeat_server_new(node);
  node->placement = mm_placement_new(node);
  node->scheduler = mm_scheduler_new(node);
  node->autoscaler = mm_autoscaler_new(node);
  node->sharing = mm_sharing_new(node);
  node->peer_links = mm_peer_links_new(node);
  mm_node_wire(node);
  return node;
}

void
mm_node_free(MmNode *node) {
  while (node->kv->unsent_transactions->len > 0)
    mm_kv_client_fail_unsent(node->kv);
  mm_heartbeat_server_free(node->heartbeat_server);
  mm_replica_free(node->replica); /* calls callbacks that wait for an up-to-date replica */
  mm_job_api_free(node->job_api);
  mm_peer_links_free(node->peer_links);
  mm_sharing_free(node->sharing);
  mm_autoscaler_free(node->autoscaler);
  mm_scheduler_free(node->scheduler);
  mm_placement_free(node->placement);
  mm_registry_free(node->registry);
  mm_machine_table_free(node->machine_table);
  mm_instance_types_free(node->instance_types);
  mm_job_table_free(node->job_table);
  mm_dependencies_free(node->dependencies);
  mm_versions_free(node->versions);
  mm_format_free(node->format);
  mm_shard_ownership_free(node->shard_ownership);
  mm_node_lease_free(node->node_lease);
  mm_kv_client_free(node->kv);
  g_rand_free(node->rand);
  g_free(node);
}

void
mm_node_start(MmNode *node) {
  mm_replica_start(node->replica);
  mm_node_tick(node);
}

/* Updates tick_delay_ms, the worst recent delay of a tick. Each tick that is on time halves the
 * stored delay. */
static void
measure_tick_delay(MmNode *node) {
  MmTime now = mm_node_now(node);
  gint64 delay_ms = node->last_tick_at.us != 0
                        ? mm_time_ms_since(now, node->last_tick_at) - MM_NODE_TICK_MS
                        : 0;

  node->last_tick_at = now;
  if (delay_ms >= SHED_POLLS_DELAY_MS && node->tick_delay_ms < SHED_POLLS_DELAY_MS)
    mm_info("node is overloaded, rejecting status polls tick_delay_ms=%" G_GINT64_FORMAT, delay_ms);
  node->tick_delay_ms = MAX(delay_ms, node->tick_delay_ms / 2);
}

static gboolean
shed_load(const MmNode *node, gint64 max_delay_ms, MmHttpExchange *exchange) {
  if (node->tick_delay_ms < max_delay_ms)
    return FALSE;
  mm_http_exchange_respond(exchange, 503, mm_json_error("too busy"), LOAD_SHED_RETRY_S);
  return TRUE;
}

void
mm_node_tick(MmNode *node) {
  measure_tick_delay(node);
  mm_kv_client_tick(node->kv);
  mm_node_lease_tick(node->node_lease);
  mm_shard_ownership_tick(node->shard_ownership);
  mm_replica_tick(node->replica);
  mm_versions_tick(node->versions);
  mm_dependencies_tick(node->dependencies);
  mm_job_api_tick(node->job_api);
  mm_peer_links_tick(node->peer_links);
  mm_instance_types_tick(node->instance_types);
  mm_heartbeat_server_tick(node->heartbeat_server);
  mm_machine_table_tick(node->machine_table);
  mm_registry_tick(node->registry);
  mm_scheduler_tick(node->scheduler);
  mm_placement_tick(node->placement);
  mm_sharing_tick(node->sharing);
  mm_autoscaler_tick(node->autoscaler);
  mm_memory_usage_tick(node);
}

/* Returns whether health checks succeed. Users are sent to healthy nodes only. A node is unhealthy
 * until it has loaded its replica, the machine types and a supported format. A loaded node is
 * unhealthy while the key-value store does not respond to the node or refuses only this node. If
 * the store refuses peers as well, or if no peer serves workers, the node is healthy, because its
 * users would get no better service from another node. */
static gboolean
is_healthy(const MmNode *node) {
  MmTime now = mm_node_now(node);

  if (!node->replica->is_loaded || !mm_instance_types_are_known(node->instance_types)
      || !mm_format_is_supported(node->format))
    return FALSE;
  if (mm_kv_client_is_unresponsive(node->kv))
    return FALSE;
  return !mm_kv_client_is_refused(node->kv)
         || mm_time_ms_since(now, node->kv->last_served_at) < KV_RECENT_RESPONSE_MS
         || mm_time_ms_since(now, mm_peer_links_last_refused_at(node->peer_links))
                < KV_RECENT_RESPONSE_MS
         || mm_peer_links_least_loaded(node->peer_links) < 0;
}

static void
respond_wrong_method(MmHttpExchange *exchange) {
  mm_http_exchange_respond(exchange, 405, mm_json_error("this path does not take that method"), 0);
}

static void
handle_job_request(MmNode *node, const char *method, const char *subpath,
                   MmHttpExchange *exchange) {
  const char *slash = strchr(subpath, '/');

  if (slash == NULL) {
    if (strcmp(method, "GET") != 0)
      respond_wrong_method(exchange);
    else if (!shed_load(node, SHED_POLLS_DELAY_MS, exchange))
      mm_job_api_status(node, subpath, exchange);
  } else if (strcmp(slash + 1, WIRE_CANCEL_WORD) == 0) {
    g_autofree char *id = g_strndup(subpath, (gsize)(slash - subpath));
    if (strcmp(method, "POST") == 0)
      mm_job_api_cancel(node, id, exchange);
    else
      respond_wrong_method(exchange);
  } else {
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such path"), 0);
  }
}

/* Returns whether the node must not serve requests because it does not support the active format.
 * While the format is unknown the node is not fenced, because the node has not yet read any data
 * that it could misinterpret. */
static gboolean
is_fenced(const MmNode *node) {
  return node->format->is_known && !mm_format_is_supported(node->format);
}

void
mm_node_handle_request(MmNode *node, const char *method, const char *path, MmJson *body,
                       MmHttpExchange *exchange) {
  if (is_fenced(node) && strcmp(path, "/healthz") != 0) {
    mm_http_exchange_respond(
        exchange, 503, mm_json_error("this node does not know the active format"), FENCED_RETRY_S);
  } else if (strcmp(path, WIRE_HEARTBEAT_PATH) == 0) {
    if (strcmp(method, "POST") == 0)
      mm_heartbeat_server_receive(node->heartbeat_server, body, exchange);
    else
      respond_wrong_method(exchange);
  } else if (strcmp(path, WIRE_JOBS_PATH) == 0) {
    if (strcmp(method, "POST") != 0)
      respond_wrong_method(exchange);
    else if (!shed_load(node, SHED_SUBMISSIONS_DELAY_MS, exchange))
      mm_job_api_submit(node, body, exchange);
  } else if (g_str_has_prefix(path, WIRE_JOBS_PATH "/")) {
    handle_job_request(node, method, path + strlen(WIRE_JOBS_PATH "/"), exchange);
  } else if (g_str_has_prefix(path, MM_ADMIN_GROUPS_PATH)) {
    mm_sharing_handle_admin_request(node->sharing, method, path + strlen(MM_ADMIN_GROUPS_PATH),
                                    body, exchange);
  } else if (strcmp(path, "/healthz") == 0) {
    if (strcmp(method, "GET") != 0)
      respond_wrong_method(exchange);
    else if (is_healthy(node))
      mm_http_exchange_respond(exchange, 200, mm_json_pack("{s:s}", "status", "ok"), 0);
    else
      mm_http_exchange_respond(exchange, 503, mm_json_error("not ready"), 1);
  } else {
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such path"), 0);
  }
}
