/* Dealings with workers: who may answer a report, and what the answer carries. */
#pragma once

#include "node/node.h"
#include "peers.pb-c.h"

struct MmCheckin {
  MmNode *node;
  GHashTable *asks; /* id of the request to a peer -> MmPendingAnswer */
  guint64 next_ask;
  /* Reports that show a newer term than the replica does, or came while parts changed hands: */
  GQueue *deferred;
  MmTime unsettled_since; /* since when parts are about to change hands; 0: they are not */
  MmTime redirected;
  MmTime counted;
  guint hosted;
  GHashTable *confirming; /* jobs whose final state is being read */
};

MmCheckin *mm_checkin_new(MmNode *node);
void mm_checkin_free(MmCheckin *server);
void mm_checkin_tick(MmCheckin *server);
void mm_checkin_report(MmCheckin *server, const json_t *body, MmExchange *exchange);
void mm_checkin_replica_changed(MmCheckin *server);
/* A peer's answer to a request for approval. */
void mm_checkin_answered(MmCheckin *server, guint peer, const Mm__Answer *reply);
/* Parts are changing hands at the moment: what is told of terms now would soon be old. */
gboolean mm_checkin_is_settling(const MmCheckin *server);
/* Machines that report to this node. */
guint mm_checkin_hosted(const MmCheckin *server);
