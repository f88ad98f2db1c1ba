/* The simulated network between the nodes and everything else. */
#pragma once

#include "world/world.h"

/* Whether the node stands still: then the call is made once it goes on, in the order in which such
 * calls came. */
gboolean world_defer_while_frozen(const WorldNode *world_node, guint generation,
                                  WorldCallback callback, gpointer data);
/* How late a late copy comes, in microseconds: from seconds to well over a lease. */
gint64 world_duplicate_delay(World *world);
/* MmPlatform.request of a node: to the state service, the cloud or a worker. */
void world_platform_request(gpointer data, MmTarget target, const char *address, const char *method,
                            const char *path, const json_t *body, guint timeout_ms,
                            MmResponseCallback callback, gpointer callback_data);
