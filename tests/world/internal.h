/* Declarations shared by the files of the simulated world; not for use by tests. */
#pragma once

#include "world/world.h"

/* event-queue.c */

/* Runs the earliest scheduled event if the event is due by `until_us`. Returns FALSE if no event is
 * due by then. */
gboolean world_run_next_event(World *world, gint64 until_us);

/* network.c */

/* Draws the delay with which a late copy of a message arrives, in microseconds: 0.5 s to three
 * worker leases. */
gint64 world_duplicate_delay(World *world);

/* links.c */

/* Opens links in both directions between the node and each other running node. */
void world_links_open(const WorldNode *world_node);
/* Closes the links of the node and notifies the nodes at both ends. */
void world_links_close(World *world, guint index);
/* Handles the end of the node's process. The links of the other nodes to this node are closed. If
 * World.node_ends_leave_half_open_links is set, established links become half-open instead. */
void world_links_node_ended(World *world, guint index);
/* Implement MmPlatform.send and MmPlatform.reconnect of a node. `data` is the node's WorldNode. */
void world_link_send(gpointer data, guint peer, const Mm__Frame *frame);
void world_link_reconnect(gpointer data, guint peer);

/* node-platform.c */

/* Returns the platform interface of a simulated node. */
MmPlatform world_node_platform(WorldNode *world_node);
/* Returns the time of the node's steady clock. `data` is the node's WorldNode. */
MmTime world_node_now(gpointer data);
/* If the node's process with the number `generation` is suspended, schedules `callback` for the
 * time when the process resumes and returns TRUE. Otherwise returns FALSE. Deferred callbacks run
 * in the order in which they were deferred. */
gboolean world_defer_while_suspended(const WorldNode *world_node, guint generation,
                                     WorldCallback callback, gpointer data);

/* nodes.c */

/* Starts the node's process. `data` is the node's WorldNode. */
void world_boot_node(gpointer data);

/* node-settings.c */

/* Zone of each node, by index. */
extern const char *const world_zone_names[WORLD_NODES];

/* kv-watches.c */

void world_kv_watches_init(World *world);
/* Calls the callbacks of all pending watches with status 0, and frees the watches and the recorded
 * changes. */
void world_kv_watches_free(World *world);
/* Records that a key changed in the current revision. Takes ownership of the event. */
void world_kv_record_change(World *world, const char *path, MmJson *event);
/* Answers each watch that has changes or has timed out. A watch is not answered while the store
 * refuses requests of the node that opened the watch. */
void world_kv_answer_watches(World *world);
/* Returns the value of a parameter in the query part of the path, or NULL if the parameter is
 * absent. Free the value with g_free(). */
char *world_kv_query_parameter(const char *path, const char *name);

/* cloud.c */

#define WORLD_MEMORY_GB_PER_CORE 4
/* Returns the number of cores of a machine of the instance type. */
double world_type_cores(const char *type);

/* worker.c */

/* Time-out of a heartbeat request; a worker drops responses that arrive later. */
#define WORLD_HEARTBEAT_TIMEOUT_US (4 * (gint64)G_USEC_PER_SEC)

/* tasks.c */

/* Returns the attempt of the task on the machine, or NULL. An attempt that has ended is returned
 * until the machine has executed the command to forget it. */
WorldTask *world_machine_find_task(WorldMachine *machine, const WorldJob *job, guint number,
                                   guint64 attempt);
/* Executes a start command: begins to fetch the image, unless the machine refuses the task. Does
 * nothing if the machine already has this attempt. */
void world_task_start(WorldMachine *machine, WorldJob *job, guint number, guint64 attempt);
/* Ends the task. If the task was running as part of a gang, ends the other tasks of the gang too.
 */
void world_task_end(WorldMachine *machine, WorldTask *task, guint8 cause);
/* Performs the task's next state change if it is due. */
void world_task_advance(WorldMachine *machine, WorldTask *task);
/* Returns the name that the protocol uses for the cause of the task's end. */
const char *world_task_cause_name(const WorldTask *task);

/* request.c */

/* A pending request, sent by a node or to a node. A request is reference-counted, and each
 * scheduled event holds a reference. Specific request types have a WorldRequest as their first
 * member, and the functions below take a pointer to the specific type. */
typedef struct {
  World *world;
  guint node;       /* index of the node that sends or receives the request */
  guint generation; /* generation of that node's process */
  char *method;
  char *path;
  MmJson *body;
  int status;
  MmJson *response_body;
  MmResponseCallback callback; /* NULL: no caller waits for the response */
  gpointer data;
  gboolean is_finished; /* the request was answered or has timed out */
} WorldRequest;

/* Allocates `size` bytes for a struct that begins with a WorldRequest. Takes ownership of the body.
 * The caller owns a reference; release it with world_request_release(). */
gpointer world_request_new(gsize size, World *world, guint node, const char *method,
                           const char *path, MmJson *body);
/* Schedules a callback that receives the request as its argument. The callback owns a reference to
 * the request and must release the reference. */
void world_request_schedule(gpointer request, gint64 at_us, WorldCallback callback);
/* Drops a reference. */
void world_request_release(gpointer request);
/* Calls the callback of the request with the response. Status 0 means that there is no response.
 * Only the first call for a request invokes the callback; every call drops a reference. */
void world_request_finish(gpointer request, int status, MmJson *response_body);

/* requests-of-nodes.c */

/* Implements MmPlatform.request of a node: sends a request to the key-value store, the cloud or a
 * worker. */
void world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                            const char *path, const MmJson *body, guint timeout_ms,
                            MmResponseCallback callback, gpointer callback_data);
