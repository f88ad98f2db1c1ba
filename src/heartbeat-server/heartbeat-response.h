/* Sends heartbeat responses and determines the cleanup commands that they contain. */
#pragma once

#include "heartbeat-server/heartbeat-server.h"

/* Appends a command (MmCommand) for each reported task that needs cleanup: a stop command for a
 * task that must stop, a discard command for a task whose result is no longer needed. `tasks` has
 * elements of type MmReportedTask. The commands are appended regardless of which node leads the
 * shards of the tasks. */
void mm_heartbeat_response_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                                GArray *commands);
/* Responds with status 200 and a body that contains the term as the fencing token and the commands
 * (elements: MmCommand). */
void mm_heartbeat_response_send(MmHttpExchange *exchange, MmTerm term, const GArray *commands);
