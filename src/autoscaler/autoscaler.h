/* The cluster autoscaler: requests that the cloud launch machines for pending tasks, and releases
 * (terminates) machines that are idle, failed or lost.
 *
 * Every node has an autoscaler. Only the autoscaler of the node that leads MM_SHARD_AUTOSCALER is
 * active. Each time an autoscaler becomes active, it discards its list of the cloud's machines and
 * fetches a new list. At most one list request, one launch request and one release request are in
 * flight at a time. */
#pragma once

#include "autoscaler/cloud-codec.h"
#include "machines/machine-table.h"
#include "node/node.h"

/* How long a machine must be missing from the cloud's list to be considered terminated. */
#define MM_AUTOSCALER_UNLISTED_TIMEOUT_MS 60000

/* A machine that the cloud's list contains, or contained until recently. */
typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean is_spot;
  gboolean is_running;
  gboolean has_failed;
  double age_when_listed_s; /* age of the machine at last_listed_at */
  MmTime last_listed_at;
  MmTime first_listed_at; /* when this node first saw the machine in the list */
  gboolean is_releasing;  /* a release request is in flight or has succeeded */
} MmCloudMachine;

/* A capacity pool: the machines of one type in one zone with one purchase option (spot or
 * on-demand), and the outcome of the launch requests for them. */
typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
  MmTime backoff_until;         /* no launch request is sent earlier, because a request failed */
  guint n_consecutive_failures; /* consecutive requests that failed or launched too few machines */
  guint n_launched_unlisted;    /* machines launched that are not in the cloud's list yet */
  MmTime last_launched_at;
  guint n_upcoming; /* machines launched that have sent no heartbeat, as of the latest round */
} MmCapacityPool;

/* The number of machines in a zone, and how many of these machines count as silent (see
 * mm_autoscaler_count_silent_machines). */
typedef struct {
  MmName zone;
  guint n_machines;
  guint n_silent;
} MmZoneMachineCounts;

/* Called when the cloud has confirmed the release of a machine, which proves that the machine and
 * all tasks on it have ended. */
typedef void (*MmMachineReleasedCallback)(gpointer context, const char *machine_id);

struct MmAutoscaler {
  MmNode *node;
  gboolean is_active;

  /* Written by autoscaler.c: the cloud's list of machines, and the capacity pools. */
  GHashTable *cloud_machines; /* id -> MmCloudMachine, owned */
  GArray *capacity_pools;     /* MmCapacityPool */
  gboolean list_in_flight;
  gboolean has_machine_list; /* all pages have been read since the autoscaler became active */
  MmTime next_list_at;
  MmTime next_round_at;

  /* Written by silence.c: counts of the latest round. */
  GArray *zone_machine_counts; /* MmZoneMachineCounts */
  guint n_machines;            /* machines whose worker lease has not expired */
  guint n_silent;              /* how many of these machines have overdue heartbeats */
  guint probes_left;           /* how many more probes may be sent in this round */

  /* Written by scale-in.c. */
  gboolean release_in_flight;
  MmTime next_release_at;
  MmMachineReleasedCallback on_machine_released;
  gpointer on_machine_released_context;

  /* Written by scale-out.c. */
  gboolean launch_in_flight;
  guint64 n_launch_requests; /* since the start of the process; makes request ids unique */
};

/* Returns a new, inactive autoscaler, owned by the caller. The node must outlive the autoscaler. */
MmAutoscaler *mm_autoscaler_new(MmNode *node);
void mm_autoscaler_free(MmAutoscaler *autoscaler);
/* Sets the callback for confirmed releases. Must be called before the first tick. */
void mm_autoscaler_set_release_callback(MmAutoscaler *autoscaler,
                                        MmMachineReleasedCallback on_machine_released,
                                        gpointer context);
/* Follows changes of leadership, updates the list of the cloud's machines and, at intervals, runs a
 * round of scale-in and scale-out. Must be called every MM_NODE_TICK_MS. */
void mm_autoscaler_tick(MmAutoscaler *autoscaler);
/* Returns the capacity pool with these properties. Adds the pool first if it does not exist yet.
 * The pointer is valid until the next pool is added. */
MmCapacityPool *mm_autoscaler_find_or_add_pool(MmAutoscaler *autoscaler, const MmName *type,
                                               const MmName *zone, gboolean is_spot);
