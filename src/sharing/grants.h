/* Grants of resources on the machines of this node's groups that no heartbeat accounts for yet.
 * Resources of a machine are granted by its group's owner alone, so no two starts are granted the
 * same ones. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

/* A start that may use resources of a machine, in the response to one heartbeat. */
typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmHeartbeatId heartbeat_id; /* whose response carries the start */
} MmGrant;

typedef struct {
  MmNode *node;
  GHashTable *outstanding; /* machine id -> GArray of MmGrant */
  guint64 n_granted;       /* ever */
  guint64 n_refused;       /* ever */
} MmGrants;

MmGrants *mm_grants_new(MmNode *node);
void mm_grants_free(MmGrants *grants);

/* Grants the start if the machine has the resources beside what its newest heartbeat shows, what is
 * outstanding, and places that this node has reserved for gangs. Idempotent: a grant that is
 * outstanding is granted again. */
gboolean mm_grants_try_grant(MmGrants *grants, MmMachine *machine, const MmGrant *grant);
/* A heartbeat of the machine was recorded: starts that it shows are accounted for, and those whose
 * response it was sent after without showing them were not carried out. `is_direct_reply`: the
 * message is the reply to a direct command, which says nothing of starts under way in the same
 * incarnation. */
void mm_grants_heartbeat_received(MmGrants *grants, const MmMachine *machine,
                                  MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
/* Nothing is on the machine any more and no start can reach it. */
void mm_grants_machine_gone(MmGrants *grants, const char *machine);
/* Another node may grant the group's resources from now on. */
void mm_grants_drop_group(MmGrants *grants, guint group, guint n_groups);
/* How many machines of the group have outstanding grants. */
guint mm_grants_count_outstanding(const MmGrants *grants, guint group, guint n_groups);
/* What of the machine's resources is left to grant; nothing where that is unknown. */
MmResources mm_grants_free_resources(const MmGrants *grants, const MmMachine *machine);
