/* The cloud's machine types, which every node needs to judge submissions and rooms. */
#pragma once

#include "jobs/spec.h"
#include "node/node.h"

typedef struct {
  MmName name;
  MmResources room;
  double cache_gb;
  double fetch_gb_per_s;
  double price;
  double spot_price;
  double boot_s;
  GArray *zones; /* MmName */
} MmType;

struct MmTypes {
  MmNode *node;
  GPtrArray *types; /* MmType; grows and changes, entries are never freed while the node lives */
  gboolean asking;
  MmTime next;
  char *stored;         /* the types as the state service holds them, prices aside, */
  MmKeyVersion version; /* and the version of that record */
};

MmTypes *mm_types_new(MmNode *node);
void mm_types_free(MmTypes *instance_types);
void mm_types_tick(MmTypes *instance_types);
/* The types that a node saw earlier: nodes that start while the cloud is down go by them. */
void mm_types_stored(MmTypes *instance_types, const json_t *json, MmKeyVersion version);
gboolean mm_types_known(const MmTypes *instance_types);
const MmType *mm_types_find(const MmTypes *instance_types, const MmName *name);
gboolean mm_types_any_fits(const MmTypes *instance_types, const MmSpec *spec);
gboolean mm_type_in_zone(const MmType *type, const MmName *zone);
