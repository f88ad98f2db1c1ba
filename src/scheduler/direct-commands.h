/* Direct commands: sent to a machine at once rather than with the response to its next heartbeat.
 * Each carries the newest term, and the reply to it is a heartbeat in form: it shows the machine's
 * tasks, and acknowledges the term. A direct command may get lost; what it asks for is repeated
 * until a heartbeat shows it. */
#pragma once

#include "base/json.h"
#include "scheduler/scheduler.h"

/* Sends the machine an array of commands, which may be empty, and takes the array. Does nothing
 * while this node may not answer machines, or knows no address of this one. */
void mm_scheduler_send_commands(MmScheduler *scheduler, MmMachine *machine, json_t *commands);
