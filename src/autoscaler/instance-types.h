/* The table of the cloud's machine types (instance types). Every node needs the types to validate
 * submitted jobs and to look up the resources of machines.
 *
 * Every node fetches the types from the cloud periodically. The types are also stored in the
 * key-value store. A node that starts while the cloud is unavailable can therefore use the types
 * that another node fetched.
 *
 * Pointers to types may be kept, because types are added and updated in place, and are freed only
 * together with the node. */
#pragma once

#include "autoscaler/cloud-codec.h"
#include "jobs/job-spec.h"
#include "node/node.h"

struct MmInstanceTypes {
  MmNode *node;
  GPtrArray *types; /* MmInstanceType, owned */
  gboolean fetch_in_flight;
  MmTime next_fetch_at;
  char *stored_text; /* JSON text, without prices, of the types in the stored record; NULL: no
                        record has been loaded */
  MmKeyVersion stored_version; /* version of the stored record */
};

/* Returns a new table of instance types, empty and owned by the caller. `node` must outlive the
 * table. */
MmInstanceTypes *mm_instance_types_new(MmNode *node);
void mm_instance_types_free(MmInstanceTypes *instance_types);
/* Fetches the types from the cloud if a fetch is due and none is in flight. Must be called every
 * MM_NODE_TICK_MS. */
void mm_instance_types_tick(MmInstanceTypes *instance_types);
/* Records the content and the version of the stored record. If no types are known yet, the types of
 * the record are used until the cloud returns newer ones. */
void mm_instance_types_load_stored(MmInstanceTypes *instance_types, const MmJson *json,
                                   MmKeyVersion version);
/* Returns whether any type is known yet. */
gboolean mm_instance_types_are_known(const MmInstanceTypes *instance_types);
/* Returns the type with this name, borrowed, or NULL if it is unknown. */
const MmInstanceType *mm_instance_types_find(const MmInstanceTypes *instance_types,
                                             const MmName *name);
/* Returns whether an empty machine of any type could run one of the job's tasks. Considers only the
 * types and the zone that the job allows. */
gboolean mm_instance_types_any_fits(const MmInstanceTypes *instance_types, const MmJobSpec *spec);
/* Returns whether the type is available in the zone. */
gboolean mm_instance_type_is_in_zone(const MmInstanceType *type, const MmName *zone);
