/* A controller node. It owns all its modules, runs their periodic ticks and dispatches requests
 * from users and workers. src/node/wiring.c connects the modules to each other. */
#pragma once

#include "base/json.h"
#include "base/log.h"
#include "base/types.h"
#include "config/operators.h"
#include "config/settings.h"
#include "platform/platform.h"

typedef struct MmNode MmNode;
typedef struct MmKvClient MmKvClient;
typedef struct MmReplica MmReplica;
typedef struct MmNodeLease MmNodeLease;
typedef struct MmShardOwnership MmShardOwnership;
typedef struct MmJobTable MmJobTable;
typedef struct MmJobApi MmJobApi;
typedef struct MmDependencies MmDependencies;
typedef struct MmVersions MmVersions;
typedef struct MmFormat MmFormat;
typedef struct MmMachineTable MmMachineTable;
typedef struct MmRegistry MmRegistry;
typedef struct MmHeartbeatServer MmHeartbeatServer;
typedef struct MmPlacement MmPlacement;
typedef struct MmScheduler MmScheduler;
typedef struct MmInstanceTypes MmInstanceTypes;
typedef struct MmAutoscaler MmAutoscaler;
typedef struct MmPeerLinks MmPeerLinks;
typedef struct MmSharing MmSharing;

struct MmNode {
  const MmSettings *settings;
  const MmOperators *operators;
  MmPlatform platform;
  GRand *rand;
  MmTime started_at;
  MmTime last_tick_at;
  gint64 tick_delay_ms; /* the worst recent delay of a tick; each tick that is on time halves this
                           value */
  MmTime memory_measured_at;      /* memory-usage.c: when the memory was last measured */
  MmTime memory_logged_at;        /* memory-usage.c: when it was last logged */
  gsize memory_logged_heap_bytes; /* memory-usage.c: size of the heap as last logged */

  MmKvClient *kv;
  MmReplica *replica;
  MmNodeLease *node_lease;
  MmShardOwnership *shard_ownership;
  MmJobTable *job_table;
  MmJobApi *job_api;
  MmDependencies *dependencies;
  MmVersions *versions;
  MmFormat *format;
  MmMachineTable *machine_table;
  MmRegistry *registry;
  MmHeartbeatServer *heartbeat_server;
  MmPlacement *placement;
  MmScheduler *scheduler;
  MmInstanceTypes *instance_types;
  MmAutoscaler *autoscaler;
  MmPeerLinks *peer_links;
  MmSharing *sharing;
};

/* Creates a node. Copies `platform`; `settings` and `operators` must outlive the node. `seed`
 * initializes the node's random number generator. */
MmNode *mm_node_new(const MmSettings *settings, const MmOperators *operators,
                    const MmPlatform *platform, guint32 seed);
/* Frees the node. Must be called only when no response callback of the node's requests can be
 * invoked any more. */
void mm_node_free(MmNode *node);

/* Starts loading the replica and runs the first tick. */
void mm_node_start(MmNode *node);
/* Runs the ticks of all modules. Must be called every MM_NODE_TICK_MS. */
void mm_node_tick(MmNode *node);
/* Handles a request from a user, an operator or a worker. `path` has no query part. `body` is
 * borrowed for the call and is NULL if the request has no body or the body is not JSON. The
 * response is sent through `exchange`, during the call or later. */
void mm_node_handle_request(MmNode *node, const char *method, const char *path, MmJson *body,
                            MmHttpExchange *exchange);

static inline MmTime
mm_node_now(const MmNode *node) {
  return mm_platform_now(&node->platform);
}

static inline gint64
mm_node_wall_ms(const MmNode *node) {
  return mm_platform_wall_ms(&node->platform);
}
