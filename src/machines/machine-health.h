/* Which machines get no work for a while, and which hear none of the answers they are given. Every
 * node is told of every report, so all come to the same view. */
#pragma once

#include "machines/machine-table.h"

/* Counts the errors that the report shows for the first time; a machine on which tasks of several
 * jobs fail in a row is quarantined. Call it before the report's tasks replace the machine's. */
void mm_machine_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                                    const MmHeartbeat *heartbeat);
/* A start given to the machine was not carried out; after several in a row it is quarantined. */
void mm_machine_health_record_refused_start(const MmMachineTable *machine_table,
                                            MmMachine *machine);
/* Some node answered the machine, at `at` or later. */
void mm_machine_health_record_response(const MmMachineTable *machine_table, MmMachine *machine,
                                       MmTime responded_at);
/* The machine shows a new session; one that loses its leases although it is answered steadily is
 * quarantined. */
void mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine);

/* An answer with this term is about to go to the machine, or has gone from a peer. */
void mm_machine_health_count_response(const MmMachineTable *machine_table, MmMachine *machine,
                                      MmTerm term);
/* The same, by this node and with its term. */
void mm_machine_health_count_own_response(const MmMachineTable *machine_table, MmMachine *machine);
/* Its reports come, but it shows no sign of having had any of several answers. */
gboolean mm_machine_health_ignores_responses(const MmMachineTable *machine_table,
                                             const MmMachine *machine);
