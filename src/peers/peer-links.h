/* What nodes tell one another, and what follows from it: whether a peer still answers workers, up
 * to when all its answers are known here, and whether it too is refused by the state service. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

typedef struct {
  MmName label;
  gboolean is_connected; /* our own connection to it is open */
  gboolean is_up;   /* and the peer has shown a sign of life since: it was told all it must know */
  gint64 silent_us; /* how long it has been open without an answer to a ping */
  guint64 lease_id; /* its claim, as its last pong said */
  MmTime responses_known_until; /* all answers it gave before this instant are known here */
  MmTime last_refused_at;       /* when it was last refused by the state service */
  MmTime last_served_at;        /* when a request of it was last served, at the latest */
  MmTime last_pong_at;
  gboolean serves_workers;
  guint n_machines;
} MmPeer;

typedef struct {
  MmName machine;
  MmHeartbeatId heartbeat_id;
} MmRepeatHeartbeat;

struct MmPeerLinks {
  MmNode *node;
  MmPeer *peers;
  guint n_peers;
  MmTime next_ping_at;
  MmTime last_tick_at;
  GArray *unverified;        /* MmName: answered, but their reports are not believed yet */
  GArray *repeat_heartbeats; /* MmRepeatHeartbeat not yet told; before any pong they are */
  MmTime repeats_sent_at;
  guint64 n_frames_sent;
};

MmPeerLinks *mm_peer_links_new(MmNode *node);
void mm_peer_links_free(MmPeerLinks *links);
void mm_peer_links_tick(MmPeerLinks *links);

/* From the transport. A link is our own way to the peer; what it sends comes on its own link to us.
 */
/* The connection to the peer is open. That proves nothing yet: the peer may stand still. */
void mm_peer_links_connected(MmPeerLinks *links, guint peer);
void mm_peer_links_disconnected(MmPeerLinks *links, guint peer);
void mm_peer_links_receive(MmPeerLinks *links, guint peer_index, const Mm__Frame *frame);
/* -1 when no peer has this label. */
gint mm_peer_links_find(const MmPeerLinks *links, const char *label);

MmTime mm_peer_links_responses_known_until(const MmPeerLinks *links);
MmTime mm_peer_links_last_refused_at(const MmPeerLinks *links);
/* When any peer was last served by it, as far as known. */
MmTime mm_peer_links_last_served_at(const MmPeerLinks *links);
/* Whether the peer has lately said that it may answer workers. */
gboolean mm_peer_links_peer_serves_workers(const MmPeerLinks *links, guint peer);
/* A peer that may answer workers, best the one with fewest machines; -1: none. */
gint mm_peer_links_least_loaded(const MmPeerLinks *links);

/* A report that was heard here and is about to be answered: whole when it shows anything new, else
 * in one of the batches that keep peers informed of who was answered. */
void mm_peer_broadcast_heartbeat(MmPeerLinks *links, MmMachine *machine, gboolean is_answered);
/* What a direct answer showed: good as an acknowledgement, and proof of nothing else. */
void mm_peer_broadcast_direct_reply(MmPeerLinks *links, MmMachine *machine);
void mm_peer_broadcast_unverified(MmPeerLinks *links, const MmName *machine);
void mm_peer_broadcast_cancellation(MmPeerLinks *links, const char *job);
void mm_peer_broadcast_machine_gone(MmPeerLinks *links, const char *machine);
void mm_peer_links_send_commands(MmPeerLinks *links, guint peer, const MmMachine *machine,
                                 const GArray *commands);
void mm_peer_links_send(MmPeerLinks *links, guint peer, Mm__Frame *frame);

/* peer-broadcast.c, for links.c alone */
/* Tells all of whom this node has answered since it last did. */
void mm_peer_broadcast_repeat_heartbeats(MmPeerLinks *links);
/* Tells a peer of everything that this node has answered within two leases. */
void mm_peer_links_send_recent_responses(MmPeerLinks *links, guint peer);
void mm_peer_links_send_cancellation(MmPeerLinks *links, guint peer, const char *job);
void mm_peer_links_send_cancellation_ack(MmPeerLinks *links, guint peer, const char *job);
