/* Functions shared by machine-table.c (entries and registration), machine-table-heartbeats.c, and
 * machine-table-leases.c (lease expiry, ended incarnations). */
#pragma once

#include "machines/machine-table.h"

/* Returns the machine, borrowed. A machine that is unknown is added first and is assumed to have
 * been answered just now. */
MmMachine *mm_machine_table_find_or_add(MmMachineTable *machine_table, const char *machine_id);
/* Replaces the machine's reported tasks by a copy of `tasks` (elements: MmReportedTask; NULL:
 * none). */
void mm_machine_table_set_reported_tasks(MmMachineTable *machine_table, MmMachine *machine,
                                         const GArray *tasks);
/* Notifies the observers that no task started on the machine is still running. */
void mm_machine_table_notify_machine_ended(const MmMachineTable *machine_table, MmMachine *machine);

/* Returns whether the incarnation is known to have ended. This also works after the machine's table
 * entry has been freed. */
gboolean mm_machine_table_incarnation_has_ended(const MmMachineTable *machine_table,
                                                const char *machine_id, guint64 incarnation);
/* Records that the machine's newest incarnation has ended. If the machine is terminated, records
 * that all its incarnations have ended. */
void mm_machine_table_remember_ended_incarnation(MmMachineTable *machine_table,
                                                 const MmMachine *machine);
