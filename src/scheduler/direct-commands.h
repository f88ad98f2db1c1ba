/* Direct commands: commands that are sent to a machine immediately instead of in the response to
 * its next heartbeat. Each direct command carries the newest term. The reply has the form of a
 * heartbeat: it shows the machine's tasks and acknowledges the term. A direct command may be lost.
 * Callers therefore repeat the command until a heartbeat shows its effect. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "scheduler/scheduler.h"

/* Sends the commands to the machine. If `n_commands` is 0, sends an empty list, which only requests
 * a reply. Does nothing while this node may not answer machines, or when the machine's address is
 * unknown. */
void mm_scheduler_send_commands(MmScheduler *scheduler, MmMachine *machine,
                                const MmCommand *commands, guint n_commands);
