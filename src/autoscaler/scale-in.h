/* Scale-in: releases machines that never started to report, have failed, have lost their worker
 * lease, are silent or are idle. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Requests the release of all machines that are due for it, up to a maximum per request, unless a
 * release request is in flight or the retry interval after a failed one has not passed. To be
 * called after mm_autoscaler_count_silent_machines. */
void mm_autoscaler_scale_in(MmAutoscaler *autoscaler);
