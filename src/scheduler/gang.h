/* Gang scheduling: either all tasks of a gang are given places at once, or none is. The places are
 * reserved. When a machine with a reserved place requests work, the start of the task for which the
 * place is reserved is sent to the machine. A gang that is not complete in time is stopped and
 * planned again. A gang of one task is treated as an ordinary job. */
#pragma once

#include "scheduler/admission.h"
#include "scheduler/scheduler.h"

/* Reserves places for gangs, most urgent first, and stops gangs that are incomplete. */
void mm_scheduler_plan_gangs(MmScheduler *scheduler);
/* Approves the start of a task that has a reserved place on the request's machine, and sets
 * `approval`. Returns FALSE when there is no such task or when the resources for the task are not
 * free. */
gboolean mm_scheduler_approve_reserved_start(MmScheduler *scheduler, const MmStartRequest *request,
                                             MmApproval *approval);
/* Sets MmScheduler.yield_to_gang, based on the backlogs of all nodes. */
void mm_scheduler_choose_gang_to_yield_to(MmScheduler *scheduler);
