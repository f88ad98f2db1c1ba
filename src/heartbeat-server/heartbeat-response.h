/* Heartbeat responses: the cleanup commands they contain, and sending them. */
#pragma once

#include "heartbeat-server/heartbeat-server.h"

/* Appends a stop or discard command (MmCommand) for each of the tasks (elements: MmReportedTask)
 * that must stop or whose result is no longer needed, regardless of which node leads their
 * shards. */
void mm_heartbeat_response_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                                GArray *commands);
/* Sends status 200 with the term as fencing token and the commands (elements: MmCommand). */
void mm_heartbeat_response_send(MmHttpExchange *exchange, MmTerm term, const GArray *commands);
