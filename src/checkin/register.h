/* The register of machines in the state service: who may hold tasks. A machine's session is in it
 * before its first start, so that a new holder of a part knows whom it must hear. Entries are
 * packed, many a key: one key a machine cost more than ten seconds of all writes after every mass
 * change of sessions. */
#pragma once

#include "checkin/roster.h"
#include "node/node.h"

struct MmEntry {
  MmName machine;
  char addr[64];
  MmName type;
  MmName zone;
  gboolean spot;
  guint64 session;
};

typedef struct {
  MmMark mark;
  GArray *entries; /* MmEntry */
} MmPack;

struct MmRegister {
  MmNode *node;
  GHashTable *packs; /* name -> MmPack, as the replica shows them */
  gboolean writing;
  gboolean dropping;
  MmTime next;
};

MmRegister *mm_register_new(MmNode *node);
void mm_register_free(MmRegister *reg);

/* From the replica. */
void mm_register_put(MmRegister *reg, const char *name, const json_t *value, MmMark mark);
void mm_register_remove(MmRegister *reg, const char *name);
void mm_register_list_keys(const MmRegister *reg, const char *prefix, GPtrArray *keys);

/* Enters the sessions heard here that are not in the register yet. */
void mm_register_tick(MmRegister *reg);
/* Takes lost and returned machines off: nobody need wait to hear them after the next taking of a
 * part. Guarded by the marks of their packs, which a newer session entered there would change; one
 * entered elsewhere stays. */
void mm_register_drop_lost(MmRegister *reg);
