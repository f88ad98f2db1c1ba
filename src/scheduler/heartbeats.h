/* What machines' heartbeats say of the tasks of the led shards, and which commands follow for the
 * machines. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "scheduler/scheduler.h"

/* The machine has taken the heartbeat in. `tasks_changed`: it shows other tasks than the heartbeat
 * before. */
void mm_scheduler_heartbeat_received(MmScheduler *scheduler, MmMachine *machine,
                                     const MmHeartbeat *heartbeat, gboolean tasks_changed);
/* The machine's lease has expired or the machine is terminated: nothing is on it any more, and no
 * start can reach it. */
void mm_scheduler_machine_gone(MmScheduler *scheduler, MmMachine *machine);
/* Applies the tasks of the machine's newest heartbeat, of all led shards or of `only_shard`. */
void mm_scheduler_apply_reported_tasks(MmScheduler *scheduler, MmMachine *machine,
                                       const char *only_shard);
