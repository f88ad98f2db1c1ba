/* Which task a machine should get next, as the node that hears the machine sees it: from what the
 * owners last said of their unassigned tasks, the machine's room and its cached images. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

#define MM_PLACEMENT_CANDIDATES_MAX 16

typedef struct {
  MmName job;
  GArray *ranges;          /* guint pairs: first number, length */
  gboolean has_precedence; /* goes first to any fitting machine */
  gboolean is_starving;    /* goes before all others */
} MmPendingTasks;

typedef struct {
  GPtrArray *pending;        /* MmPendingTasks */
  GArray *reserved_machines; /* MmName: machines with places reserved for gangs */
  guint n_pending_tasks;
} MmBacklogView;

struct MmPlacement {
  MmNode *node;
  MmBacklogView *views; /* this node's own first, then the peers' */
  guint n_views;
  const MmMachine
      *next_released_machine;  /* as of `given_up_at`; looking at all machines each time */
  MmTime release_checked_at;   /* took a fifth of an owner's time */
  GHashTable *lent_machines;   /* ids of idle accelerated machines that other work may use, as of */
  MmTime lent_chosen_at;       /* this time */
  gboolean is_backlog_changed; /* our own backlog has changed since it was told */
  MmTime announced_at;
  /* The largest need of work with accelerators seen so far. */
  gboolean has_seen_accelerated_work;
  gboolean accelerated_may_use_spot;
  MmResources largest_accelerated_need;
  MmPriority max_accelerated_priority;
};

/* What to ask of whom. `view` 0 is this node itself, k + 1 peer k; -1: nothing to ask. */
typedef struct {
  gint view;
  gboolean is_pull;
  guint n_tasks;
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX];
} MmPlacementChoice;

MmPlacement *mm_placement_new(MmNode *node);
void mm_placement_free(MmPlacement *placement);
void mm_placement_tick(MmPlacement *placement);
void mm_placement_backlog_changed(MmPlacement *placement);
/* Sends our backlog to a peer. */
void mm_placement_send_backlog(MmPlacement *placement, gint peer);
void mm_placement_backlog_received(MmPlacement *placement, gint peer, const Mm__Backlog *backlog);
/* `tried`: MmTaskRef already asked for in this answer; `dry`: views that had nothing, by bit. */
MmPlacementChoice mm_placement_choose(MmPlacement *placement, const MmMachine *machine,
                                      MmResources free_resources, const GArray *requested,
                                      guint exhausted_views);
/* Takes a task out of a view: it has been given out or refused. */
void mm_placement_remove_candidate(MmPlacement *placement, guint view, const char *job,
                                   guint number);
/* A job has come: what accelerated work needs is remembered. */
void mm_placement_note_accelerated_job(MmPlacement *placement, const MmJobSpec *spec);
gboolean mm_placement_allows(const MmJob *job, const MmMachine *machine);
/* Machines with accelerators are left to the work that needs them: other work takes only what stays
 * beside the largest such task seen, unless that work may not run there anyway. Such a machine may
 * be given up to work of higher priority that has no other place, one at a time and a third of them
 * at most; once it is, more such work joins there, and work that accelerated work may stop. */
typedef enum {
  MM_RESERVE_KEPT,         /* leaves enough, or there is nothing to leave */
  MM_RESERVE_RELEASED,     /* would not, but the machine is given up already, or is lent */
  MM_RESERVE_WOULD_SHRINK, /* would make the machine useless for accelerated work */
  MM_RESERVE_FORBIDDEN     /* of too low a priority for that */
} MmReserveVerdict;
/* `room` is what is left, starts that no report shows yet already taken off. */
MmReserveVerdict mm_placement_check_reserve(MmPlacement *placement, const MmJob *job,
                                            const MmMachine *machine, MmResources free_resources);
/* Whether one more such machine may be given up, and this is the one: owners that decide at the
 * same time must not each choose another. */
gboolean mm_placement_may_release_machine(MmPlacement *placement, const MmMachine *machine);
