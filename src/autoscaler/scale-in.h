/* Scale-in: releases machines that have never sent a heartbeat, have failed, have lost their worker
 * lease, are silent or are idle. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Requests the release of all machines that are due for release, up to a maximum number per
 * request. Does nothing while a release request is in flight, or before the retry interval after a
 * failed request has passed. Must be called after mm_autoscaler_count_silent_machines. */
void mm_autoscaler_scale_in(MmAutoscaler *autoscaler);
