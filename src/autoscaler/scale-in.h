/* Scale in: releases machines that never came up, failed, went silent or are idle. */
#pragma once

#include "autoscaler/autoscaler.h"

/* Asks the cloud to release what should go, unless such a request is under way. To be called after
 * mm_autoscaler_count_silent. */
void mm_autoscaler_scale_in(MmAutoscaler *autoscaler);
