/* Updates the tasks of the led shards from machines' heartbeats, and queues the commands that
 * follow for the machines. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "scheduler/scheduler.h"

/* Handles a heartbeat or direct reply that the machine table has recorded. `tasks_changed`: FALSE
 * only if it reports the same tasks as the machine's previous message. */
void mm_scheduler_heartbeat_received(MmScheduler *scheduler, MmMachine *machine,
                                     const MmHeartbeat *heartbeat, gboolean tasks_changed);
/* Makes the machine's tasks pending. Called when the machine's lease has expired or the machine is
 * terminated: no task runs on it any more, and no start can reach it. */
void mm_scheduler_machine_gone(MmScheduler *scheduler, MmMachine *machine);
/* Applies the tasks that the machine's newest message reports. `only_shard`: the name of the one
 * shard whose tasks are applied; NULL: those of all led shards. */
void mm_scheduler_apply_reported_tasks(MmScheduler *scheduler, MmMachine *machine,
                                       const char *only_shard);
