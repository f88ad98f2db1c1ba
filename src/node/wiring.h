/* Connects the modules of a node. A module must not include headers of a higher layer (see
 * .ci/layers.txt). A module therefore notifies modules of higher layers through observers and
 * listeners, and queries them through callbacks. Only the wiring includes the headers of both
 * layers. */
#pragma once

#include "node/node.h"

/* Registers all observers, listeners and callbacks. Must be called once, after all modules of the
 * node have been created and before the first tick. */
void mm_node_wire(MmNode *node);
