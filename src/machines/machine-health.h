/* Detects two kinds of unhealthy machines: machines to be quarantined (given no work for a while)
 * and machines that ignore the responses sent to them. All nodes reach the same conclusions,
 * because every heartbeat reaches every node.
 *
 * Owns the health fields of MmMachine (machine.h). */
#pragma once

#include "machines/machine-table.h"

/* Counts the task errors that this heartbeat is the first to report. A machine on which tasks of
 * several jobs in a row have failed is quarantined. Must be called before the machine's reported
 * tasks are replaced by the heartbeat's tasks. */
void mm_machine_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                                    const MmHeartbeat *heartbeat);
/* Records that a start sent to the machine was not executed. After several such starts in a row,
 * the machine is quarantined. */
void mm_machine_health_record_refused_start(const MmMachineTable *machine_table,
                                            MmMachine *machine);
/* Records that a node answered the machine with status 200 at `responded_at` or earlier. */
void mm_machine_health_record_response(const MmMachineTable *machine_table, MmMachine *machine,
                                       MmTime responded_at);
/* Records that the machine reports a new incarnation. A machine that repeatedly loses its lease
 * although it is answered regularly is quarantined. */
void mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine);

/* Records an incarnation that is newer than all previous ones and was first seen at
 * `first_seen_at`. The lease of the new incarnation is counted from that time. */
void mm_machine_health_begin_incarnation(MmMachine *machine, MmTime first_seen_at);

/* Records a response to the machine that carries the term `term`. The response is either about to
 * be sent by this node or was sent by a peer. */
void mm_machine_health_count_response(const MmMachineTable *machine_table, MmMachine *machine,
                                      MmTerm term);
/* Records a response that this node sends to the machine with the replica's term. */
void mm_machine_health_count_own_response(const MmMachineTable *machine_table, MmMachine *machine);
/* Records proof that a response or a direct command has reached the machine. */
void mm_machine_health_record_acknowledgement(MmMachine *machine);
/* Returns whether the machine's heartbeats arrive but acknowledge none of the last several
 * responses. */
gboolean mm_machine_health_ignores_responses(const MmMachineTable *machine_table,
                                             const MmMachine *machine);
