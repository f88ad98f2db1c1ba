/* Detects silent machines: their heartbeats are overdue, and they do not answer probes either. A
 * probe is a status request that a node sends to a worker.
 *
 * A machine that is silent while the others are not is released: the cloud's confirmation proves at
 * once that the machine's tasks have ended, whereas its worker lease proves it only when it
 * expires. When many machines become silent at the same time, the cause is unlikely to be the
 * machines themselves, and none is released. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Counts the machines and, as silent, those whose heartbeats are overdue, in total and per zone.
 * Resets the number of probes that may be sent. Must be called once per round, before scale-in and
 * scale-out. */
void mm_autoscaler_count_silent_machines(MmAutoscaler *autoscaler);
/* Returns whether the machine is silent and may be released for this reason. Probes the machine if
 * its heartbeat is overdue. */
gboolean mm_autoscaler_machine_is_silent(MmAutoscaler *autoscaler, MmMachine *machine);
/* Returns whether the zone is considered unreachable, because most of its machines are silent. */
gboolean mm_autoscaler_zone_is_unreachable(MmAutoscaler *autoscaler, const MmName *zone_name);
