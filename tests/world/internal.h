/* What the files of the simulated world share among themselves: not for tests. */
#pragma once

#include "world/world.h"

/* ---- event-queue.c ---- */

/* Runs the first event if it is due by `until_us`; FALSE if there is none. */
gboolean world_run_next_event(World *world, gint64 until_us);

/* ---- network.c ---- */

/* How late a late copy of a message arrives, in microseconds: from half a second to three leases.
 */
gint64 world_duplicate_delay(World *world);

/* ---- links.c ---- */

/* Opens links both ways between the node and each other one that is up. */
void world_link_with_others(const WorldNode *world_node);
/* The node's links are closed, and both ends see it. */
void world_links_close(World *world, guint index);
/* The node's process has ended: the others see their links to it closed, or half-open. */
void world_links_node_ended(World *world, guint index);
/* MmPlatform.send and .reconnect of a node; `data` is its WorldNode. */
void world_link_send(gpointer data, guint peer, const Mm__Frame *frame);
void world_link_reconnect(gpointer data, guint peer);

/* ---- node-platform.c ---- */

/* The interface to the outside that a simulated node gets. */
MmPlatform world_node_platform(WorldNode *world_node);
/* The steady clock of the node; `data` is its WorldNode. */
MmTime world_node_now(gpointer data);
/* Whether the node is suspended: the call is made once it goes on then, in the order in which such
 * calls came. */
gboolean world_defer_while_frozen(const WorldNode *world_node, guint generation,
                                  WorldCallback callback, gpointer data);

/* ---- nodes.c ---- */

/* Starts the node's process; `data` is its WorldNode. */
void world_boot_node(gpointer data);

/* ---- node-settings.c ---- */

/* The zone of each node. */
extern const char *const world_zone_names[WORLD_NODES];

/* ---- kv-watches.c ---- */

void world_kv_watches_init(World *world);
/* Answers all watches that wait with status 0, and frees them. */
void world_kv_watches_free(World *world);
/* A key has changed in the current revision; takes the event. */
void world_kv_record_change(World *world, const char *path, json_t *event);
/* Answers each watch that has changes or has waited long enough, unless the store refuses its node.
 */
void world_kv_answer_watches(World *world);
/* The value of a field of the path's query; NULL: it is not there. Free with g_free(). */
char *world_kv_query_text(const char *path, const char *name);

/* ---- cloud.c ---- */

#define WORLD_MEMORY_GB_PER_CORE 4
/* Cores of a machine of that instance type. */
double world_type_cores(const char *type);

/* ---- worker.c ---- */

/* A worker drops answers to heartbeats that arrive later. */
#define WORLD_HEARTBEAT_TIMEOUT_US (4 * (gint64)G_USEC_PER_SEC)

/* ---- tasks.c ---- */

/* The task that is on the machine or has ended there and is not forgotten yet; NULL: none. */
WorldTask *world_machine_find_task(WorldMachine *machine, const WorldJob *job, guint number,
                                   guint64 attempt);
/* A start command: fetches the image, unless the machine refuses. A known attempt is not started.
 */
void world_task_start(WorldMachine *machine, WorldJob *job, guint number, guint64 attempt);
/* The task ends, and what that means for its gang. */
void world_task_end(WorldMachine *machine, WorldTask *task, guint8 cause);
/* The task's next change of state, if it is due. */
void world_task_advance(WorldMachine *machine, WorldTask *task);
/* The protocol's word for why the task ended. */
const char *world_task_cause_word(const WorldTask *task);

/* ---- request.c ---- */

/* A request under way, from a node or to one. Each scheduled event has a reference to it. Embedded
 * as the first member, so that its functions take a pointer to the whole. */
typedef struct {
  World *world;
  guint node;       /* index of the node that sends or receives it */
  guint generation; /* of that node's process */
  char *method;
  char *path;
  json_t *body;
  int status;
  json_t *response_body;
  MmResponseCallback callback; /* NULL: nobody waits for the answer */
  gpointer data;
  gboolean is_over; /* it was answered or has timed out */
} WorldRequest;

/* Allocates `size` bytes for a struct that begins with a WorldRequest; takes the body. */
gpointer world_request_new(gsize size, World *world, guint node, const char *method,
                           const char *path, json_t *body);
/* Calls back with the request, to which the event has a reference until then. */
void world_request_schedule(gpointer request, gint64 at_us, WorldCallback callback);
/* Drops a reference. */
void world_request_release(gpointer request);
/* The one answer, status 0 for none; what comes after it is dropped. Drops a reference. */
void world_request_finish(gpointer request, int status, json_t *response_body);

/* ---- requests-of-nodes.c ---- */

/* MmPlatform.request of a node: to the key-value store, the cloud or a worker. */
void world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                            const char *path, const json_t *body, guint timeout_ms,
                            MmResponseCallback callback, gpointer callback_data);
