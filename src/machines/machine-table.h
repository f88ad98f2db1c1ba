/* All machines as their newest heartbeats show them, whichever node received these, and the expiry
 * of their leases.
 *
 * Owns every MmMachine. A machine enters with its first heartbeat or its registration, and leaves
 * with its registration, or as the cloud no longer lists it.
 *
 * Invariants: a message that is not newer than what is known changes nothing but the lease; an
 * incarnation whose lease has expired, or whose machine is terminated, never comes back, even when
 * a late copy of a heartbeat arrives after its entry is gone (`ended_incarnations`). A lease counts
 * as expired only once no node can have answered the machine for a whole lease. */
#pragma once

#include "machines/machine.h"
#include "node/node.h"

/* Is told what happens to machines. The machine and the heartbeat are lent. */
typedef struct {
  /* A heartbeat or direct reply was applied. `has_changes`: it shows more than a repetition. */
  void (*heartbeat_recorded)(gpointer context, MmMachine *machine, const MmHeartbeat *heartbeat,
                             gboolean has_changes);
  /* Nothing runs on the machine any more, for certain: pointers to it end here. */
  void (*machine_ended)(gpointer context, MmMachine *machine);
  gpointer context;
} MmMachineObserver;

struct MmMachineTable {
  MmNode *node;
  GArray *observers; /* MmMachineObserver, told in the order in which they were added */
  GHashTable *running_tasks_by_job; /* job id -> number of its tasks reported running */
  GHashTable *machines;             /* id -> MmMachine, owned */
  GPtrArray *sorted_machines;       /* MmMachine by id */
  GHashTable *ended_incarnations;   /* id -> newest incarnation certainly over; bounded */
  GQueue *ended_incarnations_order; /* its keys, oldest first */
  MmTime next_scan_at;              /* for expired leases */
  MmTime last_worker_contact_at;    /* newest heartbeat or direct reply to this node */
};

/* The node must outlive the table. */
MmMachineTable *mm_machine_table_new(MmNode *node);
void mm_machine_table_free(MmMachineTable *machine_table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmMachineTable, mm_machine_table_free)
/* Copies the observer. */
void mm_machine_table_add_observer(MmMachineTable *machine_table,
                                   const MmMachineObserver *observer);
/* NULL when unknown. Lent. */
MmMachine *mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id);

/* Whether the heartbeat is certainly a late copy, or of an incarnation that is over: no worker
 * waits for its response, since a worker has one heartbeat under way and it is not this one. */
gboolean mm_machine_table_is_stale_heartbeat(const MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat);
/* Whether the heartbeat alone does not prove that its machine still exists: its incarnation is not
 * in the registry, and its fencing token is older than the term at which this process started. It
 * may be a late copy from a machine that this node never knew. It is answered, so that the machine
 * can acknowledge the term, and its contents are ignored. */
gboolean mm_machine_table_is_unverified_heartbeat(const MmMachineTable *machine_table,
                                                  const MmHeartbeat *heartbeat);
/* Records only the id of an unverified heartbeat. Returns its machine, lent. */
MmMachine *mm_machine_table_add_unverified(MmMachineTable *machine_table,
                                           const MmHeartbeat *heartbeat);

/* Applies a heartbeat or direct reply and notifies the observers. NULL when it is older
 * than what is known. `received_at`: the latest instant at which it was sent; `serving_node`: the
 * node that received it, a peer's index or MM_SERVING_NODE_... */
MmMachine *mm_machine_table_record_heartbeat(MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat, MmTime received_at,
                                             gint serving_node);
/* A peer answered a heartbeat that showed no change since the last one it sent to this node. */
void mm_machine_table_record_repeat(MmMachineTable *machine_table, const char *machine_id,
                                    MmHeartbeatId heartbeat_id, MmTime received_at,
                                    gint serving_node);
/* A node answered the machine: its lease may last until a lease after `responded_at`. */
void mm_machine_table_record_response(MmMachineTable *machine_table, const char *machine_id,
                                      MmTime responded_at);
typedef struct MmRegistryEntry MmRegistryEntry;
/* The replica shows this entry in the registry. */
void mm_machine_table_record_registration(MmMachineTable *machine_table,
                                          const MmRegistryEntry *entry);
/* The replica shows no entry of the machine any more. Frees the machine, unless it is back with a
 * newer incarnation. */
void mm_machine_table_record_unregistration(MmMachineTable *machine_table, const char *machine_id);
/* Frees the machine. */
void mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine);
/* The cloud shows the machine as terminated. Late heartbeats of it change nothing. */
void mm_machine_table_record_termination(MmMachineTable *machine_table, const char *machine_id);
/* Ends leases that have certainly expired. */
void mm_machine_table_tick(MmMachineTable *machine_table);

/* Whether every registered machine was seen within two heartbeat intervals. */
gboolean mm_machine_table_all_seen_recently(const MmMachineTable *machine_table);
/* How many tasks of the job are reported running, on all machines. */
guint mm_machine_table_running_tasks(const MmMachineTable *machine_table, const char *job_id);
