/* The links between this node and its peers, and what follows from them: whether a peer still
 * answers workers, up to when all its responses are known here, and whether it too is refused by
 * the key-value store.
 *
 * A link goes one way: this node sends on its own connection to the peer and receives on the peer's
 * connection to it. On a new connection only a hello and a ping are sent; once the peer has shown a
 * sign of life it is sent all that it must know (`is_up`), before any pong. So a pong proves that
 * the peer knows every response that this node gave before the ping. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

typedef struct {
  MmName label;
  gboolean is_connected; /* this node's connection to the peer is open */
  gboolean is_up;        /* and the peer has shown a sign of life since, and been sent the state */
  gint64 silent_us;      /* how long it has been open without a pong */
  guint64 lease_id;      /* of the peer, as its last pong said; 0: none */
  MmTime responses_known_until; /* all responses it gave before this instant are known here */
  MmTime last_refused_at;       /* when the key-value store last refused it, at the earliest */
  MmTime last_served_at;        /* when the key-value store last served it, at the latest */
  MmTime last_pong_at;
  gboolean serves_workers; /* as its last pong said */
  guint n_machines;        /* that report to it, likewise */
} MmPeer;

/* A heartbeat that showed nothing new and was answered. */
typedef struct {
  MmName machine;
  MmHeartbeatId heartbeat_id;
} MmRepeatHeartbeat;

/* Peers are numbered in the order of the settings, from 0. */
struct MmPeerLinks {
  MmNode *node;
  MmPeer *peers;
  guint n_peers;
  MmTime next_ping_at;
  MmTime last_tick_at;
  GArray *unverified;        /* MmName: machines that were answered though unverified, unsent */
  GArray *repeat_heartbeats; /* MmRepeatHeartbeat, unsent; they are sent before any pong */
  MmTime repeats_sent_at;
  guint64 n_frames_sent;
};

/* What mm_peer_links_find and mm_peer_links_least_loaded return where there is no such peer. */
#define MM_PEER_NONE (-1)

/* The node must outlive the links. */
MmPeerLinks *mm_peer_links_new(MmNode *node);
void mm_peer_links_free(MmPeerLinks *links);
/* Pings, broadcasts what has waited long enough, and reconnects half-open links. */
void mm_peer_links_tick(MmPeerLinks *links);

/* From the transport: the connection to the peer is open. That proves nothing yet: the peer's
 * process may be stopped. */
void mm_peer_links_connected(MmPeerLinks *links, guint peer);
/* From the transport: the connection to the peer has ended. */
void mm_peer_links_disconnected(MmPeerLinks *links, guint peer);
/* The peer asks whether this node still answers; it is answered with a pong. */
void mm_peer_links_ping_received(MmPeerLinks *links, guint peer, const Mm__Ping *ping);
void mm_peer_links_pong_received(MmPeerLinks *links, guint peer_index, const Mm__Pong *pong);

/* The peer of this label, or MM_PEER_NONE. */
gint mm_peer_links_find(const MmPeerLinks *links, const char *label);
/* All responses that any node gave to workers before this instant are known here; 0: that can't be
 * said of any instant, since a live peer has not answered a ping yet. */
MmTime mm_peer_links_responses_known_until(const MmPeerLinks *links);
/* When the key-value store last refused any peer, as far as known. */
MmTime mm_peer_links_last_refused_at(const MmPeerLinks *links);
/* When the key-value store last served any peer, as far as known. */
MmTime mm_peer_links_last_served_at(const MmPeerLinks *links);
/* Whether the peer has said lately that it may answer workers. */
gboolean mm_peer_links_peer_serves_workers(const MmPeerLinks *links, guint peer);
/* Of the peers that may answer workers the one with the fewest machines, or MM_PEER_NONE. */
gint mm_peer_links_least_loaded(const MmPeerLinks *links);
/* Sends the frame, which is lent; to a peer that is not up, nothing. */
void mm_peer_links_send(MmPeerLinks *links, guint peer, Mm__Frame *frame);
