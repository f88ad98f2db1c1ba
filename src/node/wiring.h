/* Connects the modules of a node: lower modules tell upper ones by observers and listeners, and ask
 * them by callbacks. They include no header of a folder above their own; this is the one place that
 * knows both sides. */
#pragma once

#include "node/node.h"

/* To be called once, when all modules of the node exist and before the first tick. */
void mm_node_wire(MmNode *node);
