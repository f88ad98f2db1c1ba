/* Gang scheduling: all tasks of a gang get places at once or none does. The places are reserved,
 * and each start is sent as its machine asks. A gang that does not get complete in time is stopped
 * and planned again. A gang of one task is an ordinary job here. */
#pragma once

#include "scheduler/admission.h"
#include "scheduler/scheduler.h"

/* Reserves places for gangs, most urgent first, and stops those that are incomplete. */
void mm_scheduler_plan_gangs(MmScheduler *scheduler);
/* Sends the start of a place that is reserved on the request's machine. FALSE: there is none. */
gboolean mm_scheduler_approve_reserved_start(MmScheduler *scheduler, const MmStartRequest *request,
                                             MmApproval *approval);
/* Sets MmScheduler.yield_to_gang from the backlogs of all nodes. */
void mm_scheduler_choose_gang_to_yield_to(MmScheduler *scheduler);
