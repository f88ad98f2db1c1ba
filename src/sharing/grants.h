/* What this node has granted of its groups' machines and no report accounts for yet. Resources of a
 * machine are granted by its group's owner alone, so no two starts are given the same ones. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

/* A start that may use resources of a machine, in the answer to one report. */
typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmHeartbeatId heartbeat_id; /* of the report whose answer carries the start */
} MmGrant;

typedef struct {
  MmNode *node;
  GHashTable *outstanding; /* machine id -> GArray of MmGrant */
  guint64 n_granted;       /* ever */
  guint64 n_refused;       /* ever */
} MmGrants;

MmGrants *mm_grants_new(MmNode *node);
void mm_grants_free(MmGrants *grants);

/* Grants the start if the machine has the resources beside what its newest report shows, what is
 * outstanding, and places that this node keeps for gangs. A repetition of an outstanding grant is
 * granted again. */
gboolean mm_grants_try_grant(MmGrants *grants, MmMachine *machine, const MmGrant *grant);
/* A report of the machine was taken in: starts that it shows are accounted for, and those whose
 * answer it was sent after without showing them were not carried out. `direct`: the answer to a
 * direct command, which says nothing of starts under way in the same session. */
void mm_grants_heartbeat_received(MmGrants *grants, const MmMachine *machine,
                                  MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
/* Nothing is on the machine any more and no start can reach it. */
void mm_grants_machine_gone(MmGrants *grants, const char *machine);
/* Another node may grant the group's resources from now on. */
void mm_grants_drop_group(MmGrants *grants, guint group, guint n_groups);
/* How many machines of the group have outstanding grants. */
guint mm_grants_count_outstanding(const MmGrants *grants, guint group, guint n_groups);
/* What the machine has left to grant. */
MmResources mm_grants_free_resources(const MmGrants *grants, const MmMachine *machine);
