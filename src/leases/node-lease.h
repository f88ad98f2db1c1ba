/* This node's claim (a lease in the state service), the parts that hang on it, and until when it
 * entitles the node to answer workers. */
#pragma once

#include "node/node.h"

#define MM_SHARD_AUTOSCALER "=fleet"
/* The duty of evening out who owns how many machine groups; there where machines are shared out. */
#define MM_SHARD_SHARING "=sharing"

struct MmNodeLease {
  MmNode *node;
  guint64 lease_id;            /* 0: none */
  MmTime valid_until;          /* the claim cannot have ended before this instant */
  gboolean is_request_pending; /* a request about the claim itself is under way */
  gboolean is_commit_pending;  /* a transaction about parts is under way */
  MmTime next_request_at;      /* when to renew, or to ask again */
  MmTime next_check_at;        /* when to look at the part map again */
  guint64 conflict_revision;   /* the replica's when a transaction on parts failed; 0: none has */
  MmTime uneven_since;         /* since when the map has been uneven */
  MmKeyVersion announced_version; /* of the key that shows the claim */
  MmKeyVersion node_key_version;  /* of the node's key as read before the claim was asked for */
  MmTime outage_proved_at;        /* the newest proof of an outage */
  GPtrArray *shard_names;         /* all part names, in a fixed order */
  GHashTable *leaderless_since;   /* part name -> MmTime */
};

MmNodeLease *mm_node_lease_new(MmNode *node);
void mm_node_lease_free(MmNodeLease *claims);
void mm_node_lease_tick(MmNodeLease *claims);

/* Whether the claim still holds for certain, by the steady clock. */
gboolean mm_node_lease_is_valid(const MmNodeLease *lease);
/* Whether parts are about to change hands, as far as shows: one is held by nobody, or its holder or
 * another node has a claim that is new. */
gboolean mm_shard_ownership_is_unsettled(const MmNodeLease *ownership);
/* Whether this node may answer workers: a valid claim that the replica shows. */
gboolean mm_node_lease_may_answer_workers(const MmNodeLease *lease);
/* Whether an outage of the state service has been proved within the last second. */
gboolean mm_node_lease_has_proved_outage(const MmNodeLease *lease);
/* For how long, in microseconds and outages aside, a node may answer workers without having read
 * what has changed in the state service. */
gint64 mm_node_lease_max_staleness_us(const MmNodeLease *lease);
/* Whether the replica shows this life of this node as holder of the part. */
gboolean mm_shard_ownership_leads(const MmNodeLease *ownership, const char *shard_name);
/* Whether the shard is a duty that one node has, rather than a team. */
gboolean mm_shard_ownership_is_duty(const char *shard_name);
/* The part's name for a team: its name in a form that a key may have. */
char *mm_shard_ownership_shard_of_team(const MmName *team);
