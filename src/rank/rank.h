/* Which task a machine should get next, as the node that hears the machine sees it: from what the
 * owners last said of their unassigned tasks, the machine's room and its cached images. */
#pragma once

#include "checkin/machine-table.h"
#include "node/node.h"
#include "peers.pb-c.h"

#define MM_RANK_CANDIDATES_MAX 16

typedef struct {
  MmName job;
  GArray *ranges; /* guint pairs: first number, length */
  gboolean first; /* goes first to any fitting machine */
  gboolean aged;  /* goes before all others */
} MmWaiting;

typedef struct {
  GPtrArray *waiting; /* MmWaiting */
  GArray *reserved;   /* MmName: machines with places reserved for gangs */
  guint unfinished;
} MmBacklogView;

struct MmRank {
  MmNode *node;
  MmBacklogView *views; /* this node's own first, then the peers' */
  guint n_views;
  const MmMachine *next_given_up; /* as of `given_up_at`; looking at all machines each time */
  MmTime given_up_at;             /* took a fifth of an owner's time */
  GHashTable *lent; /* ids of idle accelerated machines that other work may use, as of */
  MmTime lent_at;   /* this time */
  gboolean dirty;   /* our own backlog has changed since it was told */
  MmTime told;
  /* The largest need of work with accelerators seen so far. */
  gboolean accelerated;
  gboolean accelerated_spot;
  MmResources largest;
  MmPriority accelerated_priority;
};

/* What to ask of whom. `view` 0 is this node itself, k + 1 peer k; -1: nothing to ask. */
typedef struct {
  gint view;
  gboolean pull;
  guint n;
  MmTaskRef tasks[MM_RANK_CANDIDATES_MAX];
} MmChoice;

MmRank *mm_rank_new(MmNode *node);
void mm_rank_free(MmRank *rank);
void mm_rank_tick(MmRank *rank);
void mm_rank_changed(MmRank *rank);
/* Sends our backlog to a peer. */
void mm_rank_tell(MmRank *rank, gint peer);
void mm_rank_heard(MmRank *rank, gint peer, const Mm__Backlog *backlog);
/* `tried`: MmTaskRef already asked for in this answer; `dry`: views that had nothing, by bit. */
MmChoice mm_rank_choose(MmRank *rank, const MmMachine *machine, MmResources free_resources,
                        const GArray *requested, guint exhausted_views);
/* Takes a task out of a view: it has been given out or refused. */
void mm_rank_strike(MmRank *rank, guint view, const char *job, guint number);
/* A job has come: what accelerated work needs is remembered. */
void mm_rank_note(MmRank *rank, const MmSpec *spec);
gboolean mm_rank_allows(const MmJob *job, const MmMachine *machine);
/* Machines with accelerators are left to the work that needs them: other work takes only what stays
 * beside the largest such task seen, unless that work may not run there anyway. Such a machine may
 * be given up to work of higher priority that has no other place, one at a time and a third of them
 * at most; once it is, more such work joins there, and work that accelerated work may stop. */
typedef enum {
  MM_LEAVES,     /* leaves enough, or there is nothing to leave */
  MM_GIVEN_UP,   /* would not, but the machine is given up already, or is lent */
  MM_WOULD_TAKE, /* would make the machine useless for accelerated work */
  MM_MAY_NOT     /* of too low a priority for that */
} MmLeaves;
/* `room` is what is left, starts that no report shows yet already taken off. */
MmLeaves mm_rank_leaves(MmRank *rank, const MmJob *job, const MmMachine *machine,
                        MmResources free_resources);
/* Whether one more such machine may be given up, and this is the one: owners that decide at the
 * same time must not each choose another. */
gboolean mm_rank_may_give_up(MmRank *rank, const MmMachine *machine);
