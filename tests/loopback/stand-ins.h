/* Serves the simulated key-value store, cloud and workers over loopback sockets to nodes that run
 * as processes, and sends the simulated users' requests to them. The simulated time follows the
 * monotonic clock. */
#pragma once

#include "world/world.h"

typedef struct StandIns StandIns;

/* Starts the server. `http_addresses` has WORLD_NODES entries of "HOST:PORT", the addresses at
 * which users reach the nodes. `world` and `http_addresses` are borrowed: the world must exist
 * until stand_ins_stop() is called, and `http_addresses` until the last request to a node has been
 * sent. Returns NULL and sets `error` when the server cannot listen. Free with stand_ins_free(). */
StandIns *stand_ins_new(World *world, const char *const *http_addresses, GError **error);
/* Aborts all requests to nodes and stops the simulated time. The world may be freed afterwards. */
void stand_ins_stop(StandIns *stand_ins);
/* Stops and frees the server. Call this function after world_free(), because world_free() responds
 * to pending watches. */
void stand_ins_free(StandIns *stand_ins);
/* Returns the address, "HOST:PORT", of both the key-value store and the cloud. Owned by
 * `stand_ins`. */
const char *stand_ins_address(const StandIns *stand_ins);
/* Sets the machine's address, at which nodes reach its worker. */
void stand_ins_add_machine(const StandIns *stand_ins, WorldMachine *machine);
/* Advances the simulated time to the monotonic clock. */
void stand_ins_catch_up(StandIns *stand_ins);
