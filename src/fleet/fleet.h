/* The one part that talks to the cloud about machines: what should be rented or returned. */
#pragma once

#include "checkin/machine-table.h"
#include "node/node.h"

/* A machine that has not been listed for so long is gone. */
#define MM_FLEET_UNLISTED_MS 60000

typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean spot;
  gboolean running;
  gboolean failed;
  double age_s;  /* as of the list */
  MmTime listed; /* when last listed */
  MmTime first;  /* when first listed here */
  gboolean releasing;
} MmListed;

/* A kind of machine that was refused for lack of capacity: not asked for again for a while. */
typedef struct {
  MmName type;
  MmName zone;
  gboolean spot;
  MmTime until;
  guint refusals;
  guint asked; /* rented but not yet listed */
  MmTime asked_at;
  guint coming; /* on the way, as of the last plan */
} MmOffer;

/* How many of a zone's machines are silent at the moment. */
typedef struct {
  MmName zone;
  guint all;
  guint quiet;
} MmZoneQuiet;

struct MmFleet {
  MmNode *node;
  gboolean active;
  GHashTable *listed; /* id -> MmListed */
  GArray *offers;     /* MmOffer */
  GArray *zones;      /* MmZoneQuiet, as of this round */
  guint all;          /* machines not lost, and how many of them are silent */
  guint quiet;
  guint probes; /* still to be sent in this round */
  gboolean listing;
  gboolean renting;
  gboolean releasing;
  gboolean list_known;
  MmTime next_list;
  MmTime next_plan;
  MmTime next_release;
  guint64 requests;
};

MmFleet *mm_fleet_new(MmNode *node);
void mm_fleet_free(MmFleet *autoscaler);
void mm_fleet_tick(MmFleet *autoscaler);
/* The entry of this kind of machine, made where there is none. */
MmOffer *mm_fleet_offer_for(MmFleet *autoscaler, const MmName *type, const MmName *zone,
                            gboolean is_spot);

/* returns.c */
/* Counts which machines are silent, by zone: to be done before anything is returned or rented. */
void mm_fleet_count_quiet(MmFleet *autoscaler);
/* Most of the zone's machines are silent: it is taken to be cut off. */
gboolean mm_fleet_zone_is_cut(MmFleet *autoscaler, const MmName *zone_name);
void mm_fleet_return_machines(MmFleet *autoscaler);

/* renting.c */
/* Rents for what waits, one kind of machine at a time. */
void mm_fleet_rent(MmFleet *autoscaler);
