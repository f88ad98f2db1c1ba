/* Scale out: rents machines for pending tasks. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Sets the pending tasks of all shards against the machines that are arriving; rents for the first
 * job that is short, cheapest slot first. At most one request at a time. */
void mm_autoscaler_scale_out(MmAutoscaler *autoscaler);
