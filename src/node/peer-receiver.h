/* Frames from peers, handed to the modules that they are for. */
#pragma once

#include "peers/peer-links.h"

/* A frame has come on the peer's link to this node; it is lent. The first one on a link that this
 * node's own connection stands beside makes it send the peer what that must know, see MmPeer.is_up.
 */
void mm_peer_links_receive(MmPeerLinks *links, guint peer, const Mm__Frame *frame);
