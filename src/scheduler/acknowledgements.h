/* Requests for acknowledgements: empty direct commands that let machines acknowledge the newest
 * term, so that shards get ready soon after an acquisition (see scheduler.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Asks a bounded number of machines, where their heartbeats alone would acknowledge the term late
 * or not at all. */
void mm_scheduler_request_acknowledgements(MmScheduler *scheduler);
