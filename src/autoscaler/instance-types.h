/* The cloud's machine types, which every node needs to judge submissions and rooms. */
#pragma once

#include "jobs/job-spec.h"
#include "node/node.h"

typedef struct {
  MmName name;
  MmResources resources;
  double image_cache_gb;
  double image_fetch_gb_per_s;
  double on_demand_price;
  double spot_price;
  double boot_s;
  GArray *zones; /* MmName */
} MmInstanceType;

struct MmInstanceTypes {
  MmNode *node;
  GPtrArray
      *types; /* MmInstanceType; grows and changes, entries are never freed while the node lives */
  gboolean fetch_in_flight;
  MmTime next_fetch_at;
  char *stored_text;           /* the types as the state service holds them, prices aside, */
  MmKeyVersion stored_version; /* and the version of that record */
};

MmInstanceTypes *mm_instance_types_new(MmNode *node);
void mm_instance_types_free(MmInstanceTypes *instance_types);
void mm_instance_types_tick(MmInstanceTypes *instance_types);
/* The types that a node saw earlier: nodes that start while the cloud is down go by them. */
void mm_instance_types_load_stored(MmInstanceTypes *instance_types, const json_t *json,
                                   MmKeyVersion version);
gboolean mm_instance_types_are_known(const MmInstanceTypes *instance_types);
const MmInstanceType *mm_instance_types_find(const MmInstanceTypes *instance_types,
                                             const MmName *name);
gboolean mm_instance_types_any_fits(const MmInstanceTypes *instance_types, const MmJobSpec *spec);
gboolean mm_instance_type_is_in_zone(const MmInstanceType *type, const MmName *zone);
