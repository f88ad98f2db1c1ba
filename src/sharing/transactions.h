/* Transactions that change the owners of machine groups. */
#pragma once

#include "sharing/sharing.h"

/* Starts the next transaction that is due: moves groups that are ready to move or, if there are
 * none, acquires groups without an owner that are assigned to this node. While sharing is inactive,
 * releases all groups of this node instead. Only one transaction is in flight at a time. */
void mm_sharing_write(MmSharing *sharing);
