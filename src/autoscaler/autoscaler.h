/* The one part that talks to the cloud about machines: what should be rented or returned. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

/* A machine that has not been listed for so long is gone. */
#define MM_AUTOSCALER_UNLISTED_GONE_MS 60000

typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean is_spot;
  gboolean is_running;
  gboolean has_failed;
  double age_when_listed_s; /* as of the list */
  MmTime last_listed_at;    /* when last listed */
  MmTime first_listed_at;   /* when first listed here */
  gboolean is_releasing;
} MmCloudMachine;

/* A kind of machine that was refused for lack of capacity: not asked for again for a while. */
typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmTime refused_until;
  guint n_refusals;
  guint n_rented_unlisted; /* rented but not yet listed */
  MmTime last_rented_at;
  guint n_arriving; /* on the way, as of the last plan */
} MmMachineOffer;

/* How many of a zone's machines are silent at the moment. */
typedef struct {
  MmName zone;
  guint n_machines;
  guint n_silent;
} MmZoneSilence;

struct MmAutoscaler {
  MmNode *node;
  gboolean is_active;
  GHashTable *cloud_machines; /* id -> MmCloudMachine */
  GArray *offers;             /* MmMachineOffer */
  GArray *zone_silences;      /* MmZoneSilence, as of this round */
  guint n_machines;           /* machines not lost, and how many of them are silent */
  guint n_silent;
  guint probes_left; /* still to be sent in this round */
  gboolean list_in_flight;
  gboolean rent_in_flight;
  gboolean release_in_flight;
  gboolean has_machine_list;
  MmTime next_list_at;
  MmTime next_plan_at;
  MmTime next_release_at;
  guint64 n_rent_requests;
};

MmAutoscaler *mm_autoscaler_new(MmNode *node);
void mm_autoscaler_free(MmAutoscaler *autoscaler);
void mm_autoscaler_tick(MmAutoscaler *autoscaler);
/* The entry of this kind of machine, made where there is none. */
MmMachineOffer *mm_autoscaler_offer_for(MmAutoscaler *autoscaler, const MmName *type,
                                        const MmName *zone, gboolean is_spot);

/* scale-in.c */
/* Counts which machines are silent, by zone: to be done before anything is returned or rented. */
void mm_autoscaler_count_silent(MmAutoscaler *autoscaler);
/* Most of the zone's machines are silent: it is taken to be cut off. */
gboolean mm_autoscaler_zone_is_cut_off(MmAutoscaler *autoscaler, const MmName *zone_name);
void mm_autoscaler_scale_in(MmAutoscaler *autoscaler);

/* scale-out.c */
/* Rents for what waits, one kind of machine at a time. */
void mm_autoscaler_scale_out(MmAutoscaler *autoscaler);
