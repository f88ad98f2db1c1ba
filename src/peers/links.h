/* What nodes tell one another, and what follows from it: whether a peer still answers workers, up
 * to when all its answers are known here, and whether it too is refused by the state service. */
#pragma once

#include "checkin/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

typedef struct {
  MmName label;
  gboolean connected; /* our own connection to it is open */
  gboolean up;      /* and the peer has shown a sign of life since: it was told all it must know */
  gint64 silent_us; /* how long it has been open without an answer to a ping */
  guint64 claim;    /* its claim, as its last pong said */
  MmTime settled;   /* all answers it gave before this instant are known here */
  MmTime refused;   /* when it was last refused by the state service */
  MmTime served;    /* when a request of it was last served, at the latest */
  MmTime ponged;
  gboolean answering;
  guint machines;
} MmPeer;

typedef struct {
  MmName machine;
  MmHeartbeatId stamp;
} MmBeat;

struct MmLinks {
  MmNode *node;
  MmPeer *peers;
  guint n_peers;
  MmTime next_ping;
  MmTime ticked;
  GArray *unproved; /* MmName: answered, but their reports are not believed yet */
  GArray *beats;    /* MmBeat not yet told; before any pong they are */
  MmTime beat_told;
  guint64 frames_out;
};

MmLinks *mm_links_new(MmNode *node);
void mm_links_free(MmLinks *links);
void mm_links_tick(MmLinks *links);

/* From the transport. A link is our own way to the peer; what it sends comes on its own link to us.
 */
/* The connection to the peer is open. That proves nothing yet: the peer may stand still. */
void mm_links_connected(MmLinks *links, guint peer);
void mm_links_down(MmLinks *links, guint peer);
void mm_links_frame(MmLinks *links, guint peer_index, const Mm__Frame *frame);
/* -1 when no peer has this label. */
gint mm_links_find(const MmLinks *links, const char *label);

MmTime mm_links_settled(const MmLinks *links);
MmTime mm_links_last_refused(const MmLinks *links);
/* When any peer was last served by it, as far as known. */
MmTime mm_links_last_served(const MmLinks *links);
/* Whether the peer has lately said that it may answer workers. */
gboolean mm_links_peer_answers(const MmLinks *links, guint peer);
/* A peer that may answer workers, best the one with fewest machines; -1: none. */
gint mm_links_other(const MmLinks *links);

/* A report that was heard here and is about to be answered: whole when it shows anything new, else
 * in one of the batches that keep peers informed of who was answered. */
void mm_links_tell_report(MmLinks *links, MmMachine *machine, gboolean is_answered);
/* What a direct answer showed: good as an acknowledgement, and proof of nothing else. */
void mm_links_tell_direct(MmLinks *links, MmMachine *machine);
void mm_links_tell_unproved(MmLinks *links, const MmName *machine);
void mm_links_tell_cancelled(MmLinks *links, const char *job);
void mm_links_tell_gone(MmLinks *links, const char *machine);
void mm_links_tell_commands(MmLinks *links, guint peer, const MmMachine *machine,
                            const GArray *commands);
void mm_links_send(MmLinks *links, guint peer, Mm__Frame *frame);

/* telling.c, for links.c alone */
/* Tells all of whom this node has answered since it last did. */
void mm_links_tell_beats(MmLinks *links);
/* Tells a peer of everything that this node has answered within two leases. */
void mm_links_tell_answered(MmLinks *links, guint peer);
void mm_links_tell_cancelled_to(MmLinks *links, guint peer, const char *job);
void mm_links_tell_cancel_ack(MmLinks *links, guint peer, const char *job);
