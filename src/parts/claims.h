/* This node's claim (a lease in the state service), the parts that hang on it, and until when it
 * entitles the node to answer workers. */
#pragma once

#include "node/node.h"

#define MM_SHARD_FLEET "=fleet"
/* The duty of evening out who owns how many machine groups; there where machines are shared out. */
#define MM_SHARD_SHARING "=sharing"

struct MmClaims {
  MmNode *node;
  guint64 claim;          /* 0: none */
  MmTime valid;           /* the claim cannot have ended before this instant */
  gboolean asking;        /* a request about the claim itself is under way */
  gboolean moving;        /* a transaction about parts is under way */
  MmTime next;            /* when to renew, or to ask again */
  MmTime next_parts;      /* when to look at the part map again */
  guint64 stale_revision; /* the replica's when a transaction on parts failed; 0: none has */
  MmTime uneven;          /* since when the map has been uneven */
  MmKeyVersion announced; /* of the key that shows the claim */
  MmKeyVersion key;       /* of the node's key as read before the claim was asked for */
  MmTime proved;          /* the newest proof of an outage */
  GPtrArray *names;       /* all part names, in a fixed order */
  GHashTable *free_since; /* part name -> MmTime */
};

MmClaims *mm_claims_new(MmNode *node);
void mm_claims_free(MmClaims *claims);
void mm_claims_tick(MmClaims *claims);

/* Whether the claim still holds for certain, by the steady clock. */
gboolean mm_claims_valid(const MmClaims *lease);
/* Whether parts are about to change hands, as far as shows: one is held by nobody, or its holder or
 * another node has a claim that is new. */
gboolean mm_claims_unsettled(const MmClaims *ownership);
/* Whether this node may answer workers: a valid claim that the replica shows. */
gboolean mm_claims_may_answer(const MmClaims *lease);
/* Whether an outage of the state service has been proved within the last second. */
gboolean mm_claims_outage(const MmClaims *lease);
/* For how long, in microseconds and outages aside, a node may answer workers without having read
 * what has changed in the state service. */
gint64 mm_claims_staleness_bound(const MmClaims *lease);
/* Whether the replica shows this life of this node as holder of the part. */
gboolean mm_claims_holds(const MmClaims *ownership, const char *shard_name);
/* Whether the shard is a duty that one node has, rather than a team. */
gboolean mm_claims_is_duty(const char *shard_name);
/* The part's name for a team: its name in a form that a key may have. */
char *mm_claims_shard_of_team(const MmName *team);
