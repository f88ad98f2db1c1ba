/* Dispatches frames received from peers to the modules that handle them. */
#pragma once

#include "peers/peer-links.h"

/* Handles a frame that was received on the peer's connection to this node. `frame` is borrowed for
 * the call. The first frame after this node's own connection to the peer was opened proves that the
 * peer is alive: this node then sends the peer its initial state before it handles the frame, see
 * MmPeer.is_up. */
void mm_peer_links_receive(MmPeerLinks *links, guint peer, const Mm__Frame *frame);
