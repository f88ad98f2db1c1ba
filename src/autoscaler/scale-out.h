/* Scale-out: requests that the cloud launch machines for pending tasks. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Assigns the pending tasks of all shards to slots on upcoming machines. A slot is room for one
 * task. A machine is upcoming from its launch until its first heartbeat.
 *
 * Then requests machines for the first job whose tasks do not all get a slot, and prefers the
 * machines with the lowest price per slot. At most one request is in flight at a time. */
void mm_autoscaler_scale_out(MmAutoscaler *autoscaler);
