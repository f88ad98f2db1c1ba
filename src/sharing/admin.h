/* The administrators' HTTP interface to machine groups:
 *   GET  /admin/groups              who owns which groups, and what moves
 *   POST /admin/groups/NUMBER/move  with {"to": NODE}: moves the group to that node */
#pragma once

#include "sharing/sharing.h"

#define MM_ADMIN_GROUPS_PATH "/admin/groups"
/* The names in requests and responses. */
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

/* `rest`: the path behind MM_ADMIN_GROUPS_PATH. */
void mm_sharing_handle_admin_request(MmSharing *sharing, const char *method, const char *subpath,
                                     const json_t *body, MmHttpExchange *exchange);
