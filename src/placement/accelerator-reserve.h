/* The reserve of machines with accelerators ("accelerated machines").
 *
 * Accelerated machines are reserved for accelerated jobs, whose tasks request accelerators. Other
 * jobs may use only the resources that the largest accelerated task seen so far leaves free. This
 * does not apply to machines where accelerated jobs may not run anyway. Two exceptions improve
 * utilization:
 *
 * - Unreserved machines: a machine may be taken out of the reserve for a job of higher priority
 *   that can start on no other machine. This is done for one machine at a time, and for at most a
 *   third of all accelerated machines, but at least one. Afterwards the machine is also open to
 *   more jobs of higher priority, and to jobs that accelerated jobs may preempt.
 * - Lent machines: while no accelerated job is pending, idle machines are open to jobs that
 *   accelerated jobs may preempt. */
#pragma once

#include "placement/placement.h"

/* The effect that placing a task on a machine would have on the reserve. The order of the values
 * matters, because callers compare them with `<`. */
typedef enum {
  MM_RESERVE_UNAFFECTED,   /* none: enough stays free, or the reserve does not apply */
  MM_RESERVE_EXEMPT,       /* none: the machine is unreserved or lent already */
  MM_RESERVE_WOULD_SHRINK, /* too little would stay free for accelerated jobs */
  MM_RESERVE_FORBIDDEN /* the same, but the job's priority is too low to unreserve the machine */
} MmReserveEffect;

/* Returns the effect of placing a task of the job on the machine. `free_resources` are the
 * machine's free resources, without those needed by starts in flight. */
MmReserveEffect mm_placement_check_reserve(MmPlacement *placement, const MmJob *job,
                                           const MmMachine *machine, MmResources free_resources);
/* Returns whether one more machine may be unreserved and `machine` is the machine to choose. All
 * shard leaders must choose the same machine when they decide at the same time. */
gboolean mm_placement_may_unreserve_machine(MmPlacement *placement, const MmMachine *machine);
/* Records the requirements of a submitted job if the job is accelerated. */
void mm_placement_record_accelerated_job(MmPlacement *placement, const MmJobSpec *spec);
