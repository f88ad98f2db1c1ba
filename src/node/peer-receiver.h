/* Dispatches frames received from peers to the modules that handle them. */
#pragma once

#include "peers/peer-links.h"

/* Handles a frame that was received on the peer's connection to this node. `frame` is borrowed for
 * the call. The first frame that arrives after this node has opened its own connection to the peer
 * proves that the peer is alive. This node sends its initial state to the peer before it handles
 * that first frame, see MmPeer.is_up. */
void mm_peer_links_receive(MmPeerLinks *links, guint peer, const Mm__Frame *frame);
