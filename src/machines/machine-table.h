/* Table of all machines. It holds each machine in the state shown by its newest heartbeats,
 * regardless of which node received the heartbeats. The table also detects expired machine leases.
 *
 * Owns every MmMachine. A machine is added with its first heartbeat or its registration. The
 * machine is removed when its registration is removed or when the cloud no longer lists the
 * machine.
 *
 * Invariants: A message that is not newer than the recorded ones changes nothing but the lease. An
 * incarnation never returns once its lease has expired or its machine is terminated, even if a late
 * copy of a heartbeat arrives after the machine's entry has been removed (`ended_incarnations`). A
 * lease counts as expired only once no node can have answered the machine for a full lease
 * period. */
#pragma once

#include "machines/machine.h"
#include "node/node.h"

/* Callbacks for changes of machines. The machine and the heartbeat are borrowed. */
typedef struct {
  /* A heartbeat or direct reply was applied. `has_changes` is TRUE if the message differs from the
   * previous state in more than its id and time. */
  void (*heartbeat_recorded)(gpointer context, MmMachine *machine, const MmHeartbeat *heartbeat,
                             gboolean has_changes);
  /* The machine's lease has ended, or the machine was unregistered or is being removed from the
   * table. No task that was started on the machine is still running. Observers must drop their
   * pointers to the machine. */
  void (*machine_ended)(gpointer context, MmMachine *machine);
  gpointer context;
} MmMachineObserver;

struct MmMachineTable {
  MmNode *node;
  GArray *observers; /* elements: MmMachineObserver, called in the order of addition */
  GHashTable *running_tasks_by_job; /* job id -> number of tasks reported running */
  GHashTable *machines;             /* id -> MmMachine, owned */
  GPtrArray *sorted_machines;       /* elements: MmMachine, sorted by id */
  GHashTable *ended_incarnations;   /* machine id -> newest ended incarnation; bounded */
  GQueue *ended_incarnations_order; /* keys of ended_incarnations, oldest first */
  MmTime next_scan_at;              /* time of the next scan for expired leases */
  MmTime last_worker_contact_at;    /* when this node last received a heartbeat or direct reply */
};

/* Creates the table. `node` must outlive the table. */
MmMachineTable *mm_machine_table_new(MmNode *node);
void mm_machine_table_free(MmMachineTable *machine_table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmMachineTable, mm_machine_table_free)
/* Adds a copy of the observer. */
void mm_machine_table_add_observer(MmMachineTable *machine_table,
                                   const MmMachineObserver *observer);
/* Returns the machine, borrowed, or NULL if the machine is unknown. */
MmMachine *mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id);

/* Returns whether the heartbeat is certainly a late copy or belongs to an ended incarnation. No
 * worker waits for the response to such a heartbeat, because a worker has only one heartbeat in
 * flight at a time, and the heartbeat in flight is a different one. */
gboolean mm_machine_table_is_stale_heartbeat(const MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat);
/* Returns whether the heartbeat alone does not prove that its machine still exists. That is the
 * case if three conditions hold: no earlier message of the machine has been applied; the
 * heartbeat's incarnation is not in the registry; and its fencing token is lower than the term at
 * which this process started. The heartbeat may then be a late copy from a machine that this node
 * has never known. Such a heartbeat is answered, so that the machine can acknowledge the term, but
 * its contents are ignored. */
gboolean mm_machine_table_is_unverified_heartbeat(const MmMachineTable *machine_table,
                                                  const MmHeartbeat *heartbeat);
/* Records the id of an unverified heartbeat and nothing else. Returns the heartbeat's machine,
 * borrowed. */
MmMachine *mm_machine_table_add_unverified(MmMachineTable *machine_table,
                                           const MmHeartbeat *heartbeat);

/* Applies a heartbeat or direct reply, notifies the observers and returns the machine, borrowed.
 * Returns NULL if the message is outdated. `received_at` is the latest time at which the message
 * may have been sent. `serving_node` is the node that received the message: the index of a peer or
 * MM_SERVING_NODE_SELF, or MM_SERVING_NODE_NONE for a direct reply. */
MmMachine *mm_machine_table_record_heartbeat(MmMachineTable *machine_table,
                                             const MmHeartbeat *heartbeat, MmTime received_at,
                                             gint serving_node);
/* Records that a peer answered a heartbeat that showed no change. The heartbeat is compared with
 * the machine's previous heartbeat that the peer forwarded to this node. */
void mm_machine_table_record_repeat_heartbeat(MmMachineTable *machine_table, const char *machine_id,
                                              MmHeartbeatId heartbeat_id, MmTime received_at,
                                              gint serving_node);
/* Records that a node answered the machine. The machine's lease may last for a full lease period
 * after `responded_at`. */
void mm_machine_table_record_response(MmMachineTable *machine_table, const char *machine_id,
                                      MmTime responded_at);
typedef struct MmRegistryEntry MmRegistryEntry;
/* Records that the replica contains this registry entry. */
void mm_machine_table_record_registration(MmMachineTable *machine_table,
                                          const MmRegistryEntry *entry);
/* Records that the replica no longer contains a registry entry of the machine. Removes and frees
 * the machine, unless it is not terminated and has reported an incarnation newer than the
 * registered one. */
void mm_machine_table_record_unregistration(MmMachineTable *machine_table, const char *machine_id);
/* Notifies the observers and frees the machine. */
void mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine);
/* Records that the cloud reports the machine as terminated. Heartbeats of the machine that arrive
 * later are ignored. */
void mm_machine_table_record_termination(MmMachineTable *machine_table, const char *machine_id);
/* Ends the leases that have certainly expired. */
void mm_machine_table_tick(MmMachineTable *machine_table);

/* Returns whether every registered machine was seen within the last two heartbeat intervals. */
gboolean mm_machine_table_all_seen_recently(const MmMachineTable *machine_table);
/* Returns the number of the job's tasks that are reported as running, summed over all machines. */
guint mm_machine_table_running_tasks(const MmMachineTable *machine_table, const char *job_id);
