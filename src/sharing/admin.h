/* HTTP interface for administrators of machine groups:
 *   GET  /admin/groups              lists the owners of all groups and the moves in progress
 *   POST /admin/groups/NUMBER/move  with {"to": NODE} moves the group to that node */
#pragma once

#include "sharing/sharing.h"

#define MM_ADMIN_GROUPS_PATH "/admin/groups"
/* JSON keys of requests and responses. */
#define MM_ADMIN_ACTIVE "active"
#define MM_ADMIN_GROUPS "groups"
#define MM_ADMIN_NODES "nodes"
#define MM_ADMIN_NODE "node"
#define MM_ADMIN_WEIGHT "weight"
#define MM_ADMIN_COUNT "count"
#define MM_ADMIN_OWNED "owned"
#define MM_ADMIN_TERM "term"
#define MM_ADMIN_MOVES "moves"
#define MM_ADMIN_GROUP "group"
#define MM_ADMIN_FROM "from"
#define MM_ADMIN_TO "to"
#define MM_ADMIN_UNOWNED "unowned"

/* Handles a request and responds through `exchange`. `subpath`: the rest of the path after
 * MM_ADMIN_GROUPS_PATH. `body`: NULL if the request has none. */
void mm_sharing_handle_admin_request(MmSharing *sharing, const char *method, const char *subpath,
                                     const MmJson *body, MmHttpExchange *exchange);
