/* Which machines are quarantined (get no work for a while), and which ignore the responses they are
 * given. Every heartbeat reaches every node, so that all of them come to the same view.
 *
 * Owns the health fields of MmMachine, see there. */
#pragma once

#include "machines/machine-table.h"

/* Counts the errors that the heartbeat shows for the first time; a machine on which tasks of
 * several jobs fail in a row is quarantined. To be called before the heartbeat's tasks replace the
 * machine's. */
void mm_machine_health_count_errors(MmMachineTable *machine_table, MmMachine *machine,
                                    const MmHeartbeat *heartbeat);
/* A start sent to the machine was not carried out; after several in a row it is quarantined. */
void mm_machine_health_record_refused_start(const MmMachineTable *machine_table,
                                            MmMachine *machine);
/* A node answered the machine with 200 at `responded_at`, or not later than that. */
void mm_machine_health_record_response(const MmMachineTable *machine_table, MmMachine *machine,
                                       MmTime responded_at);
/* The machine shows a new incarnation; one that loses its leases although it is answered steadily
 * is quarantined. */
void mm_machine_health_record_incarnation(const MmMachineTable *machine_table, MmMachine *machine);

/* A newer incarnation than any before is seen for the first time, at `first_seen_at`: its lease
 * counts from there. */
void mm_machine_health_begin_incarnation(MmMachine *machine, MmTime first_seen_at);

/* A response with this term is about to go to the machine, or a peer has sent one. */
void mm_machine_health_count_response(const MmMachineTable *machine_table, MmMachine *machine,
                                      MmTerm term);
/* The same, by this node with its replica's term. */
void mm_machine_health_count_own_response(const MmMachineTable *machine_table, MmMachine *machine);
/* The machine has shown that a response or a direct command reached it. */
void mm_machine_health_record_acknowledgement(MmMachine *machine);
/* Whether its heartbeats arrive, but acknowledge none of the last several responses. */
gboolean mm_machine_health_ignores_responses(const MmMachineTable *machine_table,
                                             const MmMachine *machine);
