/* Updates the tasks of the led shards from the heartbeats of machines, and queues the commands for
 * the machines that follow from these heartbeats. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "scheduler/scheduler.h"

/* Handles a heartbeat or direct reply that the machine table has recorded. `tasks_changed` is FALSE
 * only if this message reports the same tasks as the machine's previous message. */
void mm_scheduler_heartbeat_received(MmScheduler *scheduler, MmMachine *machine,
                                     const MmHeartbeat *heartbeat, gboolean tasks_changed);
/* Makes the machine's tasks pending again. Called when the machine's lease has expired or the
 * machine is terminated: no task runs on it any more, and no start can reach it. */
void mm_scheduler_machine_gone(MmScheduler *scheduler, MmMachine *machine);
/* Applies the tasks that the machine's newest message reports. If `only_shard` is not NULL, applies
 * only the tasks of the shard with this name, otherwise the tasks of all led shards. */
void mm_scheduler_apply_reported_tasks(MmScheduler *scheduler, MmMachine *machine,
                                       const char *only_shard);
