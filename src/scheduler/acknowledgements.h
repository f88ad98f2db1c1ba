/* Requests for acknowledgements: empty direct commands whose replies acknowledge the newest term,
 * so that shards become ready soon after they are acquired (see scheduler.h). */
#pragma once

#include "scheduler/scheduler.h"

/* Sends an empty direct command to each machine whose heartbeats alone would acknowledge the term
 * late or not at all, up to a maximum number of machines. */
void mm_scheduler_request_acknowledgements(MmScheduler *scheduler);
