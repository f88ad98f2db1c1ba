/* Scales the cluster: rents machines for pending tasks and releases those that are not needed or
 * gone.
 *
 * Every node has an autoscaler; only the leader of MM_SHARD_AUTOSCALER is active, with a list of
 * the cloud's machines that it fetches anew after each time it became so. At most one request to
 * list, to rent and to release is under way at a time. */
#pragma once

#include "autoscaler/cloud-codec.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* A machine that has not been listed for so long is gone. */
#define MM_AUTOSCALER_UNLISTED_GONE_MS 60000

/* A machine that the cloud lists. */
typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean is_spot;
  gboolean is_running;
  gboolean has_failed;
  double age_when_listed_s; /* as of last_listed_at */
  MmTime last_listed_at;
  MmTime first_listed_at; /* on this node */
  gboolean is_releasing;
} MmCloudMachine;

/* A type of machine in a zone, at one of the two prices, and what became of requests for it. */
typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmTime refused_until; /* the cloud had none: no request before this */
  guint n_refusals;     /* in a row */
  guint n_rented_unlisted;
  MmTime last_rented_at;
  guint n_arriving; /* rented and not heard of yet, as of the latest plan */
} MmMachineOffer;

/* How many of a zone's machines are silent (see silence.h). */
typedef struct {
  MmName zone;
  guint n_machines;
  guint n_silent;
} MmZoneSilence;

/* Called when the cloud has released a machine, which proves that it and all tasks on it are gone.
 */
typedef void (*MmMachineReleasedCallback)(gpointer context, const char *machine_id);

struct MmAutoscaler {
  MmNode *node;
  gboolean is_active;

  /* autoscaler.c: the cloud's list */
  GHashTable *cloud_machines; /* id -> MmCloudMachine, owned */
  GArray *offers;             /* MmMachineOffer */
  gboolean list_in_flight;
  gboolean has_machine_list; /* the list has been read to its end since it became active */
  MmTime next_list_at;
  MmTime next_plan_at;

  /* silence.c, as of the latest plan */
  GArray *zone_silences; /* MmZoneSilence */
  guint n_machines;      /* whose worker lease has not expired */
  guint n_silent;        /* of these */
  guint probes_left;     /* that may still be sent */

  /* scale-in.c */
  gboolean release_in_flight;
  MmTime next_release_at;
  MmMachineReleasedCallback on_machine_released;
  gpointer on_machine_released_context;

  /* scale-out.c */
  gboolean rent_in_flight;
  guint64 n_rent_requests;
};

MmAutoscaler *mm_autoscaler_new(MmNode *node);
void mm_autoscaler_free(MmAutoscaler *autoscaler);
void mm_autoscaler_set_release_callback(MmAutoscaler *autoscaler,
                                        MmMachineReleasedCallback on_machine_released,
                                        gpointer context);
void mm_autoscaler_tick(MmAutoscaler *autoscaler);
/* The offer, added where there is none; valid until another is added. */
MmMachineOffer *mm_autoscaler_offer_for(MmAutoscaler *autoscaler, const MmName *type,
                                        const MmName *zone, gboolean is_spot);
