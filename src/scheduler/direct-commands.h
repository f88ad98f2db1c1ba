/* Direct commands: sent to a machine at once rather than with the response to its next heartbeat.
 * Each carries the newest term, and the reply to it is a heartbeat in form: it shows the machine's
 * tasks, and acknowledges the term. A direct command may get lost; what it asks for is repeated
 * until a heartbeat shows it. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "scheduler/scheduler.h"

/* Sends the machine the commands, or an empty list of them where `n_commands` is 0. Does nothing
 * while this node may not answer machines, or knows no address of this one. */
void mm_scheduler_send_commands(MmScheduler *scheduler, MmMachine *machine,
                                const MmCommand *commands, guint n_commands);
