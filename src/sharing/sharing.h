/* Divides the machines among the nodes: each node owns groups of machines under its lease, and only
 * the owner of a machine's group grants the machine's resources to starts.
 *
 * A start needs two permissions. The leader of the team's shard approves the attempt; the owner of
 * the machine's group grants the resources on the machine. docs/sharing.md explains why these rules
 * hold while groups move.
 *
 * This header declares the state of all modules in this folder: sharing.c tracks ownership, moves.c
 * starts moves, transactions.c writes changes of ownership, balance.c balances. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"
#include "sharing/grants.h"
#include "sharing/group-map.h"

/* A group that this node owns. */
typedef struct {
  guint number;
  MmTerm term;
  MmTime acquired_at;
  /* Machines that have not acknowledged `term` and may therefore still execute starts granted by
   * earlier owners: id -> registered incarnation. No resources of these machines are granted. */
  GHashTable *unacknowledged;
  gboolean is_moving;  /* a move to `target` is in progress: no resources are granted */
  MmName target;       /* valid while `is_moving` */
  MmTime moving_since; /* valid while `is_moving` */
} MmOwnedGroup;

/* Purpose of a transaction by which this node changes ownership of groups. */
typedef enum {
  MM_GROUP_WRITE_NONE,
  MM_GROUP_WRITE_ACQUIRE,
  MM_GROUP_WRITE_MOVE,
  MM_GROUP_WRITE_CONFIRM, /* resolves a move of unknown outcome, see confirm_move */
  MM_GROUP_WRITE_RELEASE
} MmGroupWrite;

/* Outcome of a request to move a group. */
typedef enum {
  MM_MOVE_STARTED,
  MM_MOVE_SHARING_OFF,
  MM_MOVE_UNKNOWN_GROUP,
  MM_MOVE_UNKNOWN_NODE,
  MM_MOVE_NOT_OWNER,
  MM_MOVE_SAME_NODE,
  MM_MOVE_UNDER_WAY,
  MM_MOVE_TOO_SOON, /* this node acquired the group less than the minimum time ago */
  MM_MOVE_TOO_MANY, /* the limit of concurrent moves is reached */
  MM_MOVE_TARGET_NOT_LIVE
} MmMoveResult;

/* A move in progress at a peer, according to the peer's last GroupMoves frame. */
typedef struct {
  guint group;
  MmName from;
  MmName to;
} MmGroupMove;

struct MmSharing {
  MmNode *node;
  guint n_groups;  /* number of groups in the settings; 0: sharing is disabled on this node */
  MmGroupMap *map; /* NULL if `n_groups` is 0 */
  MmGrants *grants;
  MmOwnedGroup **owned; /* by group; NULL: not owned by this node */
  guint n_owned;
  guint n_moving;
  guint64 n_moved;     /* groups moved to other nodes since this process started */
  GArray **peer_moves; /* by peer: MmGroupMove */
  gboolean is_active;  /* every node of the settings announces the same number of groups */
  /* A stored number of groups that differed from the settings when this node started; 0: there was
   * none. If such a number was found, this node must not own groups, and its process exits with an
   * error. */
  guint conflicting_group_count;
  gboolean is_group_count_checked; /* `conflicting_group_count` has been determined */
  MmTime unowned_since;            /* since when at least one group has no owner; 0: all have one */

  /* Written by transactions.c. */
  MmGroupWrite write_in_flight;
  gboolean is_move_unconfirmed; /* a move got no response; its outcome must be determined */
  guint64 min_revision; /* no transaction starts until the replica has reached this revision */
  MmTime next_write_at;

  /* Written by balance.c. */
  MmTime next_balance_at;
  MmTime imbalanced_since; /* 0: the shares need no move */
  MmTime moves_broadcast_at;
};

/* Creates the state of this folder's modules; the node must outlive it. */
MmSharing *mm_sharing_new(MmNode *node);
void mm_sharing_free(MmSharing *sharing);
/* Starts a transaction that is due, and balances the groups if this node leads the balancing shard.
 * Must be called at every tick of the node. */
void mm_sharing_tick(MmSharing *sharing);
/* Called after the replica has changed. Updates the groups that this node owns. */
void mm_sharing_replica_changed(MmSharing *sharing);
/* Called when the replica shows a change of the ownership record of the node `label`. `value`: NULL
 * if the record was deleted. */
void mm_sharing_key_changed(MmSharing *sharing, const char *label, const MmJson *value,
                            MmKeyVersion version);

/* Called when the machine table has recorded a heartbeat or direct reply. Removes the grants that
 * the message resolves. If the message acknowledges the term of the machine's group, no longer
 * waits for this acknowledgement. */
void mm_sharing_heartbeat_received(MmSharing *sharing, MmMachine *machine,
                                   MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
/* Called when the machine certainly runs no task any more. Removes the machine's grants and no
 * longer waits for the machine's acknowledgement. */
void mm_sharing_machine_gone(MmSharing *sharing, const MmMachine *machine);

/* Returns whether this node owns the group under a lease that is certainly valid. */
gboolean mm_sharing_owns(const MmSharing *sharing, guint group);
/* Returns whether this node may grant resources of the machine now. */
gboolean mm_sharing_may_grant(const MmSharing *sharing, const MmMachine *machine);

/* Node that grants a machine's resources. */
typedef enum {
  MM_GRANTS_NOT_NEEDED, /* sharing is inactive: the shard leader's approval suffices */
  MM_GRANTS_LOCAL,
  MM_GRANTS_AT_PEER,
  MM_GRANTS_UNAVAILABLE /* no node can grant now, so no start is sent */
} MmGrantSource;
/* Returns which node grants the machine's resources. Sets `peer` for MM_GRANTS_AT_PEER, and `term`
 * to the group's term whenever sharing is active. */
MmGrantSource mm_sharing_grant_source(const MmSharing *sharing, const MmMachine *machine,
                                      guint *peer, MmTerm *term);
/* Returns whether a grant made under the term is valid in a response that is sent now. */
gboolean mm_sharing_grant_is_current(const MmSharing *sharing, const char *machine, MmTerm term);
/* Returns the peer to which the machine's worker should send its heartbeats, the owner of the
 * machine's group; MM_PEER_NONE: this node serves the machine. Records the redirect: a machine is
 * redirected at most once per worker lease. Must be called only while sharing is active. */
gint mm_sharing_redirect_target(MmSharing *sharing, const char *machine);
/* Returns whether this node should register the machine: it owns the machine's group, or the group
 * has no owner and the machine sends its heartbeats to this node. */
gboolean mm_sharing_may_register(const MmSharing *sharing, const MmMachine *machine);
/* Returns the term under which the machine's group was acquired, which the machine has to
 * acknowledge; 0: the group has no owner, or sharing is inactive. */
MmTerm mm_sharing_group_term(const MmSharing *sharing, const MmMachine *machine);
/* Returns whether this node owns the machine's group and waits for the machine to acknowledge the
 * group's term. */
gboolean mm_sharing_awaits_acknowledgement(const MmSharing *sharing, const MmMachine *machine);

/* Handles a peer's request to grant resources to starts on a machine whose group this node owns.
 * Sends the response at once. */
void mm_sharing_grant_requested(MmSharing *sharing, guint peer, const Mm__GrantRequest *request);
