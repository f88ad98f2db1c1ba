/* Scale-out: requests that the cloud launch machines for pending tasks. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Assigns the pending tasks of all shards to slots on upcoming machines, which have been launched
 * and have not sent a heartbeat yet, and requests machines for the first job whose tasks do not all
 * get a slot. Prefers the machines with the lowest price per slot. A slot is room for one task. At
 * most one request is in flight at a time. */
void mm_autoscaler_scale_out(MmAutoscaler *autoscaler);
