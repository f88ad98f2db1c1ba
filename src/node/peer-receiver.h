/* Frames from peers, handed to the modules that they are for. */
#pragma once

#include "peers/peer-links.h"

/* A frame, which is lent, has come on the peer's link to this node. The first one after this node's
 * connection to the peer was opened is the peer's sign of life: the peer is sent the initial state
 * before the frame is handled, see MmPeer.is_up. */
void mm_peer_links_receive(MmPeerLinks *links, guint peer, const Mm__Frame *frame);
