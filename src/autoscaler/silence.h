/* Detects silent machines. A machine is silent when its heartbeats are overdue and it does not
 * answer probes either. A probe is a status request that a node sends to a worker.
 *
 * A silent machine is released, because the cloud's confirmation proves at once that the machine's
 * tasks have ended. Without this confirmation, only the expiry of the machine's worker lease proves
 * it. When many machines become silent at the same time, the cause is unlikely to be the machines
 * themselves, and no machine is released for its silence. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Counts all machines and the silent machines, each in total and per zone. A machine is counted as
 * silent as soon as its heartbeat is overdue. Resets the number of probes that may be sent. Must be
 * called once per round, before scale-in and scale-out. */
void mm_autoscaler_count_silent_machines(MmAutoscaler *autoscaler);
/* Returns whether the machine is silent and may be released for this reason. Probes the machine if
 * its heartbeat is overdue. */
gboolean mm_autoscaler_machine_is_silent(MmAutoscaler *autoscaler, MmMachine *machine);
/* Returns whether the zone is considered unreachable, because most of its machines are silent. */
gboolean mm_autoscaler_zone_is_unreachable(MmAutoscaler *autoscaler, const MmName *zone_name);
