/* Requests for acknowledgements: empty direct commands, whose replies acknowledge the newest term.
 * Shards therefore become ready soon after they are acquired (see scheduler.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Sends an empty direct command to each machine that would acknowledge the newest term late, or not
 * at all, if only the heartbeats of the machine acknowledged the term. The number of machines per
 * call is limited. */
void mm_scheduler_request_acknowledgements(MmScheduler *scheduler);
