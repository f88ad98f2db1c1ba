/* Links between this node and its peers, and the state derived from them: whether a peer still
 * answers workers, the time up to which this node knows every response that the peer gave to
 * workers, and when the key-value store last served or refused the peer.
 *
 * Links are one-way: this node sends on its own connection to a peer and receives on the peer's
 * connection to this node. On a new connection this node sends only a hello and a ping. Once any
 * frame arrives from the peer, this node sends the initial state and sets `is_up`. This node sends
 * pongs only after the initial state. Therefore a node that receives a pong has already received
 * every response that the pong's sender gave to workers before the ping was sent. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

typedef struct {
  MmName label;
  gboolean is_connected; /* this node's connection to the peer is open */
  gboolean is_up;        /* connected, and the peer has been sent the initial state */
  gint64 silent_us;      /* time since the connection opened or last delivered a pong */
  guint64 lease_id;      /* the peer's lease according to its last pong; 0: none */
  /* This node knows all responses that the peer gave to workers before this time. */
  MmTime responses_known_until;
  MmTime last_refused_at; /* lower bound of when the key-value store last refused the peer */
  MmTime last_served_at;  /* upper bound of when the key-value store last served the peer */
  MmTime last_pong_at;
  gboolean serves_workers; /* according to the last pong */
  guint n_machines;        /* machines that report to the peer, according to the last pong */
} MmPeer;

/* An answered heartbeat that showed no change since the machine's last heartbeat that was sent to
 * the peers. */
typedef struct {
  MmName machine;
  MmHeartbeatId heartbeat_id;
} MmRepeatHeartbeat;

/* Links to all peers. A peer's index is its position in the settings, from 0. */
struct MmPeerLinks {
  MmNode *node;
  MmPeer *peers;
  guint n_peers;
  MmTime next_ping_at;
  MmTime last_tick_at;
  /* The pending batch, sent before any pong. */
  GArray *unverified_machines; /* MmName: machines whose unverified heartbeats were answered */
  GArray *repeat_heartbeats;   /* MmRepeatHeartbeat */
  MmTime repeat_heartbeats_sent_at;
  guint64 n_frames_sent;
};

/* Returned by mm_peer_links_find and mm_peer_links_least_loaded if there is no such peer. */
#define MM_PEER_NONE (-1)

/* The node must outlive the links. */
MmPeerLinks *mm_peer_links_new(MmNode *node);
void mm_peer_links_free(MmPeerLinks *links);
/* Sends due pings and the pending batch of heartbeats, and reconnects half-open connections. */
void mm_peer_links_tick(MmPeerLinks *links);

/* Called by the transport when the connection to the peer has opened. Sends hello and ping. Does
 * not mark the link as up: the peer's process may be suspended. */
void mm_peer_links_connected(MmPeerLinks *links, guint peer);
/* Called by the transport when the connection to the peer has closed. */
void mm_peer_links_disconnected(MmPeerLinks *links, guint peer);
/* Handles a ping: sends the pending batch of heartbeats, then a pong. */
void mm_peer_links_ping_received(MmPeerLinks *links, guint peer, const Mm__Ping *ping);
/* Handles a pong: updates the peer's state from the pong. */
void mm_peer_links_pong_received(MmPeerLinks *links, guint peer_index, const Mm__Pong *pong);

/* Returns the index of the peer with this label, or MM_PEER_NONE. */
gint mm_peer_links_find(const MmPeerLinks *links, const char *label);
/* Returns the instant before which this node knows all responses that any node gave to workers; 0:
 * this instant is not known, because a live peer has not answered a ping yet. */
MmTime mm_peer_links_responses_known_until(const MmPeerLinks *links);
/* Returns when the key-value store last refused a request of any peer (a lower bound); 0: no
 * refusal is known. */
MmTime mm_peer_links_last_refused_at(const MmPeerLinks *links);
/* Returns when the key-value store last served any peer (an upper bound); 0: not known. */
MmTime mm_peer_links_last_served_at(const MmPeerLinks *links);
/* Returns whether the link is up and a recent pong says that the peer may answer workers. */
gboolean mm_peer_links_peer_serves_workers(const MmPeerLinks *links, guint peer);
/* Of the peers that may answer workers, returns the peer with the fewest machines; MM_PEER_NONE: no
 * peer may answer workers. */
gint mm_peer_links_least_loaded(const MmPeerLinks *links);
/* Sends the frame if the link to the peer is up; otherwise does nothing. The caller keeps ownership
 * of the frame. */
void mm_peer_links_send(MmPeerLinks *links, guint peer, Mm__Frame *frame);
