/* Outstanding grants: resources that this node has granted to starts on machines of its groups, and
 * that no heartbeat accounts for yet. Only the owner of a machine's group grants the machine's
 * resources, so no resources are granted to two starts. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

/* Permission to start one attempt of a task with resources of a machine, valid only in the response
 * to one heartbeat. */
typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmHeartbeatId heartbeat_id; /* the heartbeat whose response carries the start */
} MmGrant;

typedef struct {
  MmNode *node;
  GHashTable *outstanding; /* machine id -> GArray of MmGrant */
  guint64 n_granted;       /* since this process started */
  guint64 n_refused;       /* since this process started */
} MmGrants;

/* The node must outlive the grants. */
MmGrants *mm_grants_new(MmNode *node);
void mm_grants_free(MmGrants *grants);

/* Grants the start if the machine has enough resources besides those used by the tasks in its
 * newest message, by outstanding grants and by places that this node has reserved for gang tasks.
 * Refuses if the machine has sent a newer message than the heartbeat of the grant. Idempotent:
 * succeeds for a grant that is already outstanding. */
gboolean mm_grants_try_grant(MmGrants *grants, MmMachine *machine, const MmGrant *grant);
/* Removes the grants that a newly recorded message of the machine resolves. A start that the
 * message shows is accounted for by that message. A start that the message does not show was not
 * executed if the worker sent the message after it had processed the response with the start.
 * `is_direct_reply`: the message is the reply to a direct command, which proves nothing about
 * starts in transit to the same incarnation. */
void mm_grants_heartbeat_received(MmGrants *grants, const MmMachine *machine,
                                  MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
/* Removes the machine's grants. Called when no task runs on the machine any more and no start can
 * reach the machine. */
void mm_grants_machine_gone(MmGrants *grants, const char *machine);
/* Removes the grants on all machines of the group. From now on another node may grant the resources
 * of these machines. */
void mm_grants_drop_group(MmGrants *grants, guint group, guint n_groups);
/* Returns the number of the group's machines with outstanding grants. */
guint mm_grants_count_outstanding(const MmGrants *grants, guint group, guint n_groups);
/* Returns the resources of the machine that can still be granted; zero if these resources are
 * unknown. They are unknown if the machine's type is unknown, or if a task on the machine or an
 * outstanding grant belongs to an unknown job. */
MmResources mm_grants_free_resources(const MmGrants *grants, const MmMachine *machine);
