/* Silent machines: whose heartbeats are overdue and who answer no probe either.
 *
 * A worker lease proves a machine's tasks gone only when it expires; a release by the cloud proves
 * it at once. So a machine that is silent while the others are not is released. When many fall
 * silent together the cause is hardly the machines, and none is. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Counts the silent machines, in all and by zone, and renews the budget of probes. To be called
 * once a round, before scale in and scale out. */
void mm_autoscaler_count_silent(MmAutoscaler *autoscaler);
/* Whether the machine is silent and may be released for it. Probes it when its heartbeat is
 * overdue. */
gboolean mm_autoscaler_machine_is_silent(MmAutoscaler *autoscaler, MmMachine *machine);
/* Whether most of the zone's machines are silent: the zone is taken to be cut off. */
gboolean mm_autoscaler_zone_is_cut_off(MmAutoscaler *autoscaler, const MmName *zone_name);
