/* The transactions by which machine groups change hands. */
#pragma once

#include "sharing/sharing.h"

/* Moves groups that are ready to move, and acquires those without an owner that are due to this
 * node; one transaction at a time. */
void mm_sharing_write(MmSharing *sharing);
