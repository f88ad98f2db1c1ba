/* Detects unhealthy machines: those to be quarantined (given no work for a while) and those that
 * ignore the responses sent to them. Every heartbeat reaches every node, so all nodes reach the
 * same conclusions.
 *
 * Owns the health fields of MmMachine (machine.h). */
#pragma once

#include "machines/machine-table.h"

/* Counts the errors that this heartbeat reports for the first time. A machine on which tasks of
 * several jobs in a row have failed is quarantined. Must be called before the heartbeat's tasks
 * replace the machine's reported tasks. */
void mm_machine_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                                    const MmHeartbeat *heartbeat);
/* Records that a start sent to the machine was not executed. After several such starts in a row,
 * the machine is quarantined. */
void mm_machine_health_record_refused_start(const MmMachineTable *machine_table,
                                            MmMachine *machine);
/* Records that a node answered the machine with status 200 at `responded_at` or earlier. */
void mm_machine_health_record_response(const MmMachineTable *machine_table, MmMachine *machine,
                                       MmTime responded_at);
/* Records that the machine reports a new incarnation. A machine that loses its leases although it
 * is answered regularly is quarantined. */
void mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine);

/* Records an incarnation newer than all previous ones, first seen at `first_seen_at`. Its lease is
 * counted from that time. */
void mm_machine_health_begin_incarnation(MmMachine *machine, MmTime first_seen_at);

/* Records a response to the machine that carries this term. This node is about to send it, or a
 * peer has sent it. */
void mm_machine_health_count_response(const MmMachineTable *machine_table, MmMachine *machine,
                                      MmTerm term);
/* Records a response by this node with the replica's term. */
void mm_machine_health_count_own_response(const MmMachineTable *machine_table, MmMachine *machine);
/* Records proof that a response or a direct command has reached the machine. */
void mm_machine_health_record_acknowledgement(MmMachine *machine);
/* Returns whether the machine's heartbeats arrive but acknowledge none of the last several
 * responses. */
gboolean mm_machine_health_ignores_responses(const MmMachineTable *machine_table,
                                             const MmMachine *machine);
