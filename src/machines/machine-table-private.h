/* What the sources of the machine table share: machine-table.c (entries and registration),
 * machine-table-heartbeats.c, and machine-table-leases.c (expiry, ended incarnations). */
#pragma once

#include "machines/machine-table.h"

/* Lent. A new entry counts as just answered. */
MmMachine *mm_machine_table_find_or_add(MmMachineTable *machine_table, const char *machine_id);
/* Replaces the machine's reported tasks. `tasks`: MmReportedTask, copied; NULL: none. */
void mm_machine_table_set_reported_tasks(MmMachineTable *machine_table, MmMachine *machine,
                                         const GArray *tasks);
/* Tells scheduler and sharing that nothing of the machine's incarnation runs any more. */
void mm_machine_table_notify_machine_ended(const MmMachineTable *machine_table, MmMachine *machine);

/* Whether the incarnation is known to be over; holds also after the machine's entry is freed. */
gboolean mm_machine_table_incarnation_has_ended(const MmMachineTable *machine_table,
                                                const char *machine_id, guint64 incarnation);
void mm_machine_table_remember_ended_incarnation(MmMachineTable *machine_table,
                                                 const MmMachine *machine);
