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

/* ---- requests-of-nodes.c ---- */

/* MmPlatform.request of a node: to the key-value store, the cloud or a worker. */
void world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                            const char *path, const json_t *body, guint timeout_ms,
                            MmResponseCallback callback, gpointer callback_data);
