/* The simulated key-value store, cloud, workers and users, served over loopback sockets to nodes
 * that are processes. The world's clock is the steady clock. */
#pragma once

#include "world/world.h"

typedef struct StandIns StandIns;

/* `fronts`: where the nodes' users reach them, WORLD_NODES of "HOST:PORT". */
StandIns *stand_ins_new(World *world, const char *const *fronts, GError **error);
/* Ends all requests to nodes and lets time stand still; the world may be freed after it. */
void stand_ins_stop(StandIns *stand_ins);
/* After the world, whose watches are answered as it is freed. */
void stand_ins_free(StandIns *stand_ins);
/* The address of the key-value store and the cloud alike. */
const char *stand_ins_address(const StandIns *stand_ins);
/* Makes the machine's worker reachable. */
void stand_ins_add_machine(const StandIns *stand_ins, WorldMachine *machine);
/* Brings the world's time up to the clock. */
void stand_ins_catch_up(StandIns *stand_ins);
