/* Sharing machines among nodes: each node owns groups of machines under its lease, and only the
 * owner of a machine's group grants its resources to starts.
 *
 * A start needs two approvals. The leader of the team's shard says that this attempt may run; the
 * owner of the machine's group says that the machine has the resources. docs/sharing.md argues why
 * the rules hold while groups move.
 *
 * The state of all modules of this folder stands here: ownership in sharing.c, moves in moves.c,
 * the transactions that change it in transactions.c, balancing in balance.c. */
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
  /* Machines that may still carry out starts of earlier owners: id -> registered incarnation. */
  GHashTable *unacknowledged;
  gboolean is_moving; /* nothing is granted: the group is to move to `target` */
  MmName target;
  MmTime moving_since;
} MmOwnedGroup;

/* What a transaction of this node about groups is for. */
typedef enum {
  MM_GROUP_WRITE_NONE,
  MM_GROUP_WRITE_ACQUIRE,
  MM_GROUP_WRITE_MOVE,
  MM_GROUP_WRITE_CONFIRM, /* makes a move of unknown outcome fail, or finds that it was applied */
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
  MM_MOVE_TOO_SOON, /* this node acquired the group less than the minimum time ago */
  MM_MOVE_TOO_MANY, /* the limit of moves under way is reached */
  MM_MOVE_TARGET_NOT_LIVE
} MmMoveResult;

/* A move of one group that is under way at a peer, as the peer last said. */
typedef struct {
  guint group;
  MmName from;
  MmName to;
} MmGroupMove;

struct MmSharing {
  MmNode *node;
  guint n_groups;  /* 0: this node does not take part in sharing */
  MmGroupMap *map; /* NULL with `n_groups` 0 */
  MmGrants *grants;
  MmOwnedGroup **owned; /* by group; NULL: not owned */
  guint n_owned;
  guint n_moving;
  guint64 n_moved;     /* groups that moved to other nodes, ever */
  GArray **peer_moves; /* by peer: MmGroupMove */
  gboolean is_active;  /* every node of the settings takes part, with the same number of groups */
  /* Another number of groups that was stored when this node started; 0: there was none. It may not
   * take part then: the program ends with an error. */
  guint conflicting_groups;
  gboolean is_compared; /* the stored number of groups has been compared */
  MmTime unowned_since; /* since when some group has had no owner; 0: all have one */

  /* transactions.c */
  MmGroupWrite write_in_flight;
  gboolean is_move_unconfirmed; /* a move got no response: it is to be confirmed */
  guint64 min_revision;         /* nothing more is written before the replica has reached it */
  MmTime next_write_at;

  /* balance.c */
  MmTime next_balance_at;
  MmTime uneven_since;
  MmTime moves_sent_at;
};

/* The node must outlive it. */
MmSharing *mm_sharing_new(MmNode *node);
void mm_sharing_free(MmSharing *sharing);
/* Writes what is due, and balances where that is this node's duty. */
void mm_sharing_tick(MmSharing *sharing);
/* The replica has changed: drops groups that are no longer owned and adopts new ones. */
void mm_sharing_replica_changed(MmSharing *sharing);
/* A node's key of groups, as the replica shows it; NULL: it was deleted. */
void mm_sharing_key_changed(MmSharing *sharing, const char *label, const json_t *value,
                            MmKeyVersion version);

/* From the machine table: a heartbeat was recorded, or nothing is on the machine any more. */
void mm_sharing_heartbeat_received(MmSharing *sharing, MmMachine *machine,
                                   MmHeartbeatId heartbeat_id, gboolean is_direct_reply);
void mm_sharing_machine_gone(MmSharing *sharing, const MmMachine *machine);

/* Whether this node owns the group, by a lease that is certainly valid. */
gboolean mm_sharing_owns(const MmSharing *sharing, guint group);
/* Whether this node may grant resources of the machine now. */
gboolean mm_sharing_may_grant(const MmSharing *sharing, const MmMachine *machine);

/* Who grants a machine's resources. */
typedef enum {
  MM_GRANTS_NOT_NEEDED, /* sharing is off: approvals are enough */
  MM_GRANTS_HERE,
  MM_GRANTS_AT_PEER,
  MM_GRANTS_NOWHERE /* no owner can be reached now: no start */
} MmGrantSource;
/* Sets `peer` with MM_GRANTS_AT_PEER, and the group's `term` wherever sharing is active. */
MmGrantSource mm_sharing_grant_source(const MmSharing *sharing, const MmMachine *machine,
                                      guint *peer, MmTerm *term);
/* Whether a grant of that term is valid in a response that is sent now. */
gboolean mm_sharing_grant_is_current(const MmSharing *sharing, const char *machine, MmTerm term);
/* The peer that owns the machine's group and should get its heartbeats; MM_PEER_NONE: this node
 * serves the machine. Not the same machine again within a lease. */
gint mm_sharing_redirect_target(MmSharing *sharing, const char *machine);
/* Whether this node should register the machine: it owns the machine's group, or, where nobody
 * does, the machine sends its heartbeats to it. */
gboolean mm_sharing_may_register(const MmSharing *sharing, const MmMachine *machine);
/* The term that the owner of the machine's group waits for the machine to acknowledge; 0: none. */
MmTerm mm_sharing_group_term(const MmSharing *sharing, const MmMachine *machine);
/* Whether this node waits for the machine to acknowledge the term of its group. */
gboolean mm_sharing_awaits_acknowledgement(const MmSharing *sharing, const MmMachine *machine);

/* From a peer: asks this node, as owner of the machine's group, to grant starts; answered at once.
 */
void mm_sharing_grant_requested(MmSharing *sharing, guint peer, const Mm__GrantRequest *request);
