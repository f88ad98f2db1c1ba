/* Dealings with workers: who may answer a report, and what the answer carries. */
#pragma once

#include "node/node.h"
#include "peers.pb-c.h"

struct MmCheckin {
  MmNode *node;
  GHashTable *asks; /* id of the request to a peer -> session */
  guint64 next_ask;
  GQueue *deferred; /* reports that show a newer term than the replica does */
  MmTime redirected;
  MmTime counted;
  guint hosted;
  GHashTable *confirming; /* jobs whose final state is being read */
};

MmCheckin *mm_checkin_new(MmNode *node);
void mm_checkin_free(MmCheckin *checkin);
void mm_checkin_tick(MmCheckin *checkin);
void mm_checkin_report(MmCheckin *checkin, const json_t *body, MmExchange *exchange);
void mm_checkin_replica_changed(MmCheckin *checkin);
void mm_checkin_answered(MmCheckin *checkin, guint peer, const Mm__Answer *answer);
/* Machines that report to this node. */
guint mm_checkin_hosted(const MmCheckin *checkin);
