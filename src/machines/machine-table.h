/* The machines as their newest reports show them, whichever node heard these, and until when each
 * may still have been answered. */
#pragma once

#include "machines/machine.h"
#include "node/node.h"

struct MmMachineTable {
  MmNode *node;
  GHashTable *running_tasks_by_job; /* job id -> how many of its tasks are seen running */
  GHashTable *machines;             /* id -> MmMachine */
  GPtrArray *sorted_machines;       /* MmMachine by id */
  GHashTable *ended_incarnations;   /* id -> newest session that is over for certain; bounded */
  GQueue *ended_incarnations_order;
  MmTime next_scan_at;
  MmTime last_worker_contact_at; /* when any worker last reached this node, or answered it */
};

MmMachineTable *mm_machine_table_new(MmNode *node);
void mm_machine_table_free(MmMachineTable *machine_table);
MmMachine *mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id);

/* Whether the report is certainly a late copy, or of a session that is over: no worker waits for
 * its answer, since a worker has one report under way and it is not this one. */
gboolean mm_machine_table_is_stale_heartbeat(const MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat);
/* Whether the report alone is no proof that its machine still is: its session is not on the
 * register and it shows no term of this life of the node. It may be a late copy from a machine that
 * this node never knew. It is answered, so that the machine can show the term, and believed in
 * nothing. */
gboolean mm_machine_table_is_unverified(const MmMachineTable *machine_table,
                                        const MmHeartbeat *heartbeat);
/* The entry of such a machine. */
MmMachine *mm_machine_table_add_unverified(MmMachineTable *machine_table,
                                           const MmHeartbeat *heartbeat);

/* Takes a report in; NULL when it is older than what is known. `heard_at`: when it was made at the
 * latest; `host`: the node that heard it. */
MmMachine *mm_machine_table_record_heartbeat(MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat, MmTime received_at,
                                             gint serving_node);
/* A peer answered a report that showed nothing new since the last one it told of. */
void mm_machine_table_record_repeat(MmMachineTable *machine_table, const char *machine_id,
                                    MmHeartbeatId heartbeat_id, MmTime received_at,
                                    gint serving_node);
/* Somebody answered the machine, and nothing else is known of it. */
void mm_machine_table_record_response(MmMachineTable *machine_table, const char *machine_id,
                                      MmTime responded_at);
typedef struct MmRegistryEntry MmRegistryEntry;
void mm_machine_table_record_registration(MmMachineTable *machine_table,
                                          const MmRegistryEntry *entry);
void mm_machine_table_record_unregistration(MmMachineTable *machine_table, const char *machine_id);
void mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine);
/* The cloud has proved it gone. Late reports of it may still come; they change nothing. */
void mm_machine_table_record_termination(MmMachineTable *machine_table, const char *machine_id);
void mm_machine_table_tick(MmMachineTable *machine_table);

/* Whether every registered machine has been heard lately. */
gboolean mm_machine_table_all_seen_recently(const MmMachineTable *machine_table);
guint mm_machine_table_running_tasks(const MmMachineTable *machine_table, const char *job_id);
