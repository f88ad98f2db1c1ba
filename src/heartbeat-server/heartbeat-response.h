/* What a response to a heartbeat is made of: commands, and the message that carries them. */
#pragma once

#include "heartbeat-server/heartbeat-server.h"

/* Appends commands (MmCommand) for those of the tasks that must stop or be forgotten, whoever leads
 * their shards. `tasks`: MmReportedTask. */
void mm_heartbeat_response_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                                GArray *commands);
/* Answers 200 with the term as fencing token. `commands`: MmCommand. */
void mm_heartbeat_response_send(MmHttpExchange *exchange, MmTerm term, const GArray *commands);
