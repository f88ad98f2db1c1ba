/* The cloud's machine types, which every node needs to validate submissions and to know a machine's
 * resources.
 *
 * Every node fetches them now and then. They are also stored in the key-value store, so that a node
 * which starts while the cloud is down knows those that another node saw. Types are added and
 * changed in place, never freed while the node lives: pointers to them may be kept. */
#pragma once

#include "autoscaler/cloud-codec.h"
#include "jobs/job-spec.h"
#include "node/node.h"

struct MmInstanceTypes {
  MmNode *node;
  GPtrArray *types; /* MmInstanceType, owned */
  gboolean fetch_in_flight;
  MmTime next_fetch_at;
  char *stored_text; /* the types of the stored record, prices aside; NULL: no record was seen */
  MmKeyVersion stored_version; /* of that record */
};

MmInstanceTypes *mm_instance_types_new(MmNode *node);
void mm_instance_types_free(MmInstanceTypes *instance_types);
/* Fetches the types when it is time. */
void mm_instance_types_tick(MmInstanceTypes *instance_types);
/* The stored record has this content at this version. Its types count until the cloud answers. */
void mm_instance_types_load_stored(MmInstanceTypes *instance_types, const json_t *json,
                                   MmKeyVersion version);
/* Whether any type is known yet. */
gboolean mm_instance_types_are_known(const MmInstanceTypes *instance_types);
/* The type, lent, or NULL. */
const MmInstanceType *mm_instance_types_find(const MmInstanceTypes *instance_types,
                                             const MmName *name);
/* Whether a machine of some type could run one of the job's tasks. */
gboolean mm_instance_types_any_fits(const MmInstanceTypes *instance_types, const MmJobSpec *spec);
gboolean mm_instance_type_is_in_zone(const MmInstanceType *type, const MmName *zone);
