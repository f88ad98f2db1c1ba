/* Sharing machines among nodes: each node owns groups of machines under its lease, and only the
 * owner of a machine's group grants its resources to starts.
 *
 * A start needs two approvals. The owner of the team's shard says that this attempt may run; the
 * owner of the machine's group says that the machine has the resources. docs/sharing.md argues why
 * the rules hold while groups move. */
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
  /* Machines that may still carry out starts of earlier owners: id -> session as registered. */
  GHashTable *unacknowledged;
  gboolean is_moving; /* nothing is granted: the group is to be given to `target` */
  MmName target;
  MmTime moving_since;
} MmOwnedGroup;

/* What a transaction of this node about groups is for. */
typedef enum {
  MM_GROUP_WRITE_NONE,
  MM_GROUP_WRITE_ACQUIRE,
  MM_GROUP_WRITE_MOVE,
  MM_GROUP_WRITE_CONFIRM, /* makes a move whose outcome is unknown void, or learns that it was made
                           */
  MM_GROUP_WRITE_RELEASE
} MmGroupWrite;

typedef enum {
  MM_MOVE_STARTED,
  MM_MOVE_SHARING_OFF,
  MM_MOVE_UNKNOWN_GROUP,
  MM_MOVE_UNKNOWN_NODE,
  MM_MOVE_NOT_OWNER,
  MM_MOVE_SAME_NODE,
  MM_MOVE_UNDER_WAY,
  MM_MOVE_TOO_SOON, /* the group has been here for less than the least time */
  MM_MOVE_TOO_MANY, /* as many are under way as may be */
  MM_MOVE_TARGET_NOT_LIVE
} MmMoveResult;

/* A move of one group that a peer has said is under way there. */
typedef struct {
  guint group;
  MmName from;
  MmName to;
} MmGroupMove;

struct MmSharing {
  MmNode *node;
  guint n_groups;  /* 0: this node does not share machines out */
  MmGroupMap *map; /* NULL with `groups` 0 */
  MmGrants *grants;
  MmOwnedGroup **owned; /* by group; NULL: not owned */
  guint n_owned;
  guint n_moving;
  guint64 n_moved;     /* groups given to others, ever */
  GArray **peer_moves; /* by peer: MmGroupMove */
  gboolean is_active;  /* every node of the settings shares machines out in as many groups */
  /* Another number of groups that was stored as this node came; 0: there was none. It may not take
   * part then: the program ends with an error. */
  guint conflicting_groups;
  gboolean is_compared; /* what is stored has been looked at */
  MmTime unowned_since; /* since when some group has had no owner; 0: all have one */

  /* transactions.c */
  MmGroupWrite write_in_flight;
  gboolean is_move_unconfirmed; /* a move got no answer: it is to be confirmed */
  guint64 min_revision;         /* nothing more is written before the replica has come as far */
  MmTime next_write_at;

  /* balance.c */
  MmTime next_balance_at;
  MmTime uneven_since;
  MmTime moves_sent_at;
};

MmSharing *mm_sharing_new(MmNode *node);
void mm_sharing_free(MmSharing *sharing);
void mm_sharing_tick(MmSharing *sharing);
void mm_sharing_replica_changed(MmSharing *sharing);
/* A node's key of groups, as the replica shows it; NULL: it has gone. */
void mm_sharing_key_changed(MmSharing *sharing, const char *label, const json_t *value,
                            MmKeyVersion version);

/* From the machine table. */
void mm_sharing_heartbeat_received(MmSharing *sharing, MmMachine *machine,
                                   MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
void mm_sharing_machine_gone(MmSharing *sharing, const MmMachine *machine);

/* Whether this node owns the group, by a lease that holds for certain. */
gboolean mm_sharing_owns(const MmSharing *sharing, guint group);
/* Whether this node may grant resources of the machine now. */
gboolean mm_sharing_may_grant(const MmSharing *sharing, const MmMachine *machine);

/* Where grants for a machine are to be had. */
typedef enum {
  MM_GRANTS_NOT_NEEDED, /* sharing is off: approvals are enough */
  MM_GRANTS_HERE,
  MM_GRANTS_AT_PEER,
  MM_GRANTS_NOWHERE /* no owner that could be asked now: no start */
} MmGrantSource;
/* `peer` and `term` (of the group) are set where somebody can be asked. */
MmGrantSource mm_sharing_grant_source(const MmSharing *sharing, const MmMachine *machine,
                                      guint *peer, MmTerm *term);
/* Whether a grant of that term is good for an answer that goes out now. */
gboolean mm_sharing_grant_is_current(const MmSharing *sharing, const char *machine, MmTerm term);
/* Another node's worker's report should go to this peer, which owns its group; -1: it may stay. */
gint mm_sharing_redirect_target(MmSharing *sharing, const char *machine);
/* Whether it is for this node to enter the machine in the registry: it owns the machine's group,
 * or, where nobody does, the machine reports to it. */
gboolean mm_sharing_may_register(const MmSharing *sharing, const MmMachine *machine);
/* The term that the owner of the machine's group waits for; 0: none. */
MmTerm mm_sharing_group_term(const MmSharing *sharing, const MmMachine *machine);
/* Whether this node waits for the machine to acknowledge the term of its group. */
gboolean mm_sharing_awaits_acknowledgement(const MmSharing *sharing, const MmMachine *machine);

/* moves.c */
/* Starts to give the group to another node, if this one owns it. By hand, neither the least time
 * nor the number of moves under way count. */
MmMoveResult mm_sharing_move(MmSharing *sharing, guint group, const char *target, gboolean by_hand);
const char *mm_sharing_move_result_text(MmMoveResult result);

/* From peers. */
void mm_sharing_grant_requested(MmSharing *sharing, guint peer, const Mm__GrantRequest *request);
void mm_sharing_move_ordered(MmSharing *sharing, guint peer, const Mm__MoveOrder *order);
void mm_sharing_moves_received(MmSharing *sharing, guint peer, const Mm__GroupMoves *moves);
void mm_sharing_peer_down(MmSharing *sharing, guint peer);

/* transactions.c */
/* Gives away what is ready to go, takes what has no owner; one transaction at a time. */
void mm_sharing_write(MmSharing *sharing);

/* balance.c */
/* The duty of evening the shares out, where this node has it; tells peers what moves here. */
void mm_sharing_balance(MmSharing *sharing);
void mm_sharing_broadcast_moves(MmSharing *sharing);
/* A free group's place: the label of the node that should take it; NULL: no node is live. Nodes are
 * in the order of their labels; `owned` counts as it is assigned. Free the container only. */
typedef struct MmSharePlan MmSharePlan;
MmSharePlan *mm_share_plan_new(const MmSharing *sharing);
void mm_share_plan_free(MmSharePlan *plan);
const char *mm_share_plan_next_taker(MmSharePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSharePlan, mm_share_plan_free)
