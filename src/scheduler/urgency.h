/* The urgency of jobs: the order in which jobs are given machines. The urgency follows from the
 * job's priority and from the time by which the job must start to meet its next objective. A job
 * inherits the priority and the deadlines of the jobs that depend on it. Urgency affects only the
 * order of jobs and preemption, never a team's limit or quota. */
#pragma once

#include "scheduler/scheduler.h"

/* Returns whether the job has precedence because it is starving, is urgent, or has waited for
 * longer than its bound. Every machine that the job fits on then tries the job's tasks before the
 * tasks that the machine would otherwise prefer. */
gboolean mm_scheduler_has_precedence(const MmScheduler *scheduler, const MmJob *job);
/* Sets the job's effective priority and its due time. The due time is the time by which the job
 * must be given machines to meet the earliest objective that can still be met. This is an objective
 * of the job or of a job that depends on it. */
void mm_scheduler_update_urgency(MmScheduler *scheduler, MmJob *job);
/* Compares two `MmJob *` for sorting. Starving jobs come first, and among them the job that has
 * waited longest. The other jobs are ordered by priority, then by due time. Jobs that can meet no
 * objective any more come last until they starve. */
gint mm_scheduler_compare_urgency(gconstpointer a, gconstpointer b);
/* Returns the jobs (MmJob) of the led shards except gangs, most urgent first. The order is at most
 * as old as the latest slow tick. The scheduler owns the array. */
const GPtrArray *mm_scheduler_jobs_by_urgency(MmScheduler *scheduler);
