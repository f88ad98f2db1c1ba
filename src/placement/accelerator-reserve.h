/* The reserve of machines with accelerators.
 *
 * Such machines are kept for the work that needs accelerators: other work may take only what is
 * left beside the largest accelerated task seen, unless accelerated work may not run there anyway.
 * Two exceptions use them better. A machine may be released to work of higher priority that finds
 * no other place, one at a time and a third of all at most; once it is, more such work may join
 * there, and work that accelerated work may preempt. And idle machines are lent to work that
 * accelerated work may preempt while no accelerated work is pending. */
#pragma once

#include "placement/placement.h"

/* What placing a task would mean for the reserve, from harmless to forbidden. */
typedef enum {
  MM_RESERVE_KEPT,         /* leaves enough, or the machine is in no reserve */
  MM_RESERVE_RELEASED,     /* does not, but the machine is released already, or lent */
  MM_RESERVE_WOULD_SHRINK, /* would make the machine useless for accelerated work */
  MM_RESERVE_FORBIDDEN     /* the same, and the job's priority is too low for that */
} MmReserveVerdict;

/* `free_resources`: what is free on the machine, with starts under way already subtracted. */
MmReserveVerdict mm_placement_check_reserve(MmPlacement *placement, const MmJob *job,
                                            const MmMachine *machine, MmResources free_resources);
/* Whether one more machine may be released, and this is the one: shard leaders that decide at the
 * same time must choose the same machine. */
gboolean mm_placement_may_release_machine(MmPlacement *placement, const MmMachine *machine);
/* A job has been submitted: remembers what accelerated work needs. */
void mm_placement_note_accelerated_job(MmPlacement *placement, const MmJobSpec *spec);
