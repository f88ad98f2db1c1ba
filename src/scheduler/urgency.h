/* The urgency of jobs: the order in which they get machines. It follows from priority and from the
 * time by which the job's next objective needs it started. A job inherits the priority and the
 * deadlines of the jobs that depend on it. Urgency decides on order and preemption only, never on a
 * team's limit or quota. */
#pragma once

#include "scheduler/scheduler.h"

/* Whether the job is offered every fitting machine before the machine's own order of tasks counts:
 * it starves, is urgent, or has waited for longer than its bound. */
gboolean mm_scheduler_has_precedence(const MmScheduler *scheduler, const MmJob *job);
/* Sets the job's effective priority, and by when it must be given machines for the first objective
 * that it can still meet, its own or one of a job that depends on it. */
void mm_scheduler_update_urgency(MmScheduler *scheduler, MmJob *job);
/* Compares two `MmJob *`, for sorting: starving jobs first, the oldest first; then by priority,
 * then by what is due first. Jobs that can meet no objective any more come last until they starve.
 */
gint mm_scheduler_compare_urgency(gconstpointer a, gconstpointer b);
/* MmJob of the led shards without gangs, most urgent first; not older than the last slow tick.
 * Lent. */
const GPtrArray *mm_scheduler_jobs_by_urgency(MmScheduler *scheduler);
