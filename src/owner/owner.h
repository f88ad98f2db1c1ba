/* The one judge of a team's tasks: where each may be, what may start, what must stop.
 *
 * A part is a team. Whoever holds it rebuilds its view from the machines' reports: a machine counts
 * as heard once it acknowledgements the part's term, for then every start given out under an older
 * term has either shown in that report or will be refused. Nothing is approved that an
 * unacknowledged machine might hold. */
#pragma once

#include "checkin/machine-table.h"
#include "jobs/job-table.h"
#include "node/node.h"
#include "peers.pb-c.h"
#include "rank/rank.h"

struct MmOwnedShard {
  char *name;
  MmTerm term;
  MmKeyVersion version;
  MmTime taken;
  const MmTeamSettings *team;
  MmResources used;                     /* by tasks that are or may be on machines */
  const MmJob *owed_to;                 /* the most pressing job that waits and is in a hurry, */
  MmResources owed;                     /* and what it needs of the team's limit */
  MmResources unacknowledged_resources; /* what unacknowledged machines might hold beside them */
  gboolean
      unacknowledged_of_unknown_type; /* one of them is of an unknown type: that may be anything */
  gboolean unacknowledged_changed;
  GArray *unacknowledged_kinds; /* MmMachineKind: each kind of machine that some of them are of */
  GHashTable *unacknowledged;   /* ids of machines that may hold tasks that are not known of */
  gboolean ready;
};

typedef struct {
  MmName type;
  MmName zone;
  gboolean spot;
} MmMachineKind;

typedef struct {
  double seen_s;
  double guessed_s;
} MmGuesses;

struct MmOwner {
  MmNode *node;
  GHashTable *held;    /* part name -> MmOwnedShard */
  GHashTable *guesses; /* class -> MmGuesses: how far users' guesses are off */
  guint64 sequence;    /* of attempts */
  gboolean writing;
  guint solo;          /* so many of the next writes carry one job only */
  GPtrArray *pressing; /* MmJob of the parts held here, most pressing first */
  gboolean pressing_stale;
  MmResources *team_used; /* by the settings' teams, on all machines, as seen a moment ago */
  MmTime next_guarantees;
  const MmJob *yield; /* the most pressing gang that waits for accelerators, anywhere */
  guint64 looked;     /* machines looked at for some job, ever */
  guint looks;        /* at all machines, that are left until the next slow tick */
  guint next_clear;   /* where the next round of clearing room goes on */
  MmTime next_slow;
  MmTime next_move;
};

typedef struct {
  MmMachine *machine;
  MmHeartbeatId stamp;
  MmResources room; /* free for this request; */
  gboolean own; /* asked by the owner's node itself, which has taken off what it keeps for gangs */
  gboolean pull;
  guint n;
  MmTaskRef tasks[MM_RANK_CANDIDATES_MAX];
} MmAsk;

typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmName part;
  MmTerm term;
  gboolean reserved; /* its room had been kept for it */
} MmApproval;

MmOwner *mm_owner_new(MmNode *node);
void mm_owner_free(MmOwner *owner);
void mm_owner_tick(MmOwner *owner);

void mm_owner_replica_changed(MmOwner *owner);
void mm_owner_job_changed(MmOwner *owner, MmJob *job);
void mm_owner_job_removed(MmOwner *owner, MmJob *job);
/* The job's cancellation is in the state service, which needs no judge: whoever holds its part,
 * this node stops its tasks wherever it can from now on, and lets none start. FALSE when it knows
 * nothing of the job yet. */
gboolean mm_owner_cancelled(MmOwner *owner, const char *job_id);
/* `changed`: the report shows other tasks than the one before. */
void mm_owner_report(MmOwner *owner, MmMachine *machine, const MmHeartbeat *heartbeat,
                     gboolean changed);
void mm_owner_machine_gone(MmOwner *owner, MmMachine *machine);
/* Adds MmWaiting for what is unassigned in the parts held here, most pressing first, and the names
 * of machines with reserved places. */
void mm_owner_backlog(MmOwner *owner, GPtrArray *pending, GArray *reserved_machines);
guint mm_owner_unfinished(const MmOwner *owner);

/* approve.c */
/* Lowers the request's room to what is free as seen here. */
gboolean mm_owner_ask(MmOwner *owner, MmAsk *request, MmApproval *approval);
void mm_owner_peer_ask(MmOwner *owner, guint peer, const Mm__Ask *message);
MmOwnedShard *mm_owner_held(const MmOwner *owner, const MmJob *job);
/* Whether all is known that earlier holders of its part may have started of the job: every machine
 * has been heard that it was ever allowed on. */
gboolean mm_owner_knows(MmOwner *owner, const MmJob *job);
/* Takes up which machines are still to be heard, if that has changed. */
void mm_owner_sum_unacknowledged(MmOwner *owner, MmOwnedShard *held);
/* Whether the job's tasks may be given out at all at the moment. */
gboolean mm_owner_open(MmOwner *owner, const MmJob *job);
/* The last of the jobs that it depends on is done: its waiting times count from then. */
void mm_owner_job_ready(MmOwner *owner, MmJob *job);
/* Whether the job leaves its places to a gang that presses more. */
gboolean mm_owner_yields(const MmOwner *owner, const MmJob *job);
/* The rules that bind a task to places: type, zone, kind of machine, the job's other tasks. */
gboolean mm_owner_place_allowed(const MmJob *job, const MmMachine *machine);
/* The same, counting also places that are being cleared for the job's waiting tasks. */
gboolean mm_owner_place_hoped(const MmOwner *owner, const MmJob *job, const MmMachine *machine);
gboolean mm_owner_quota_allows(MmOwner *owner, MmOwnedShard *held, const MmJob *job, guint tasks);
MmAttempt mm_owner_next_attempt(MmOwner *owner, const MmOwnedShard *held);

/* owner.c */
static inline gboolean
mm_task_is_live(guint8 state) {
  return state != MM_TASK_IDLE && state != MM_TASK_DONE;
}
void mm_owner_set_state(MmOwner *owner, MmJob *job, guint number, guint8 state);
void mm_owner_place(MmOwner *owner, MmJob *job, guint number, MmMachine *machine, MmTaskState state,
                    MmAttempt attempt);
void mm_owner_unplace(MmOwner *owner, MmJob *job, guint number);
/* Notes when nothing is left to hear for the part. */
void mm_owner_check_ready(MmOwner *owner, MmOwnedShard *held);

/* reports.c */
/* Places what the machine's newest report shows, of one part only unless that is NULL. */
void mm_owner_take_tasks(MmOwner *owner, MmMachine *machine, const char *only_shard);

/* record.c */
void mm_owner_write_jobs(MmOwner *owner);

/* command.c */
/* Tells a task's machine to stop it, at once and with every answer until it is gone. */
void mm_owner_stop(MmOwner *owner, MmMachine *machine, const MmName *job, guint number,
                   MmAttempt attempt, double grace_s);
/* Tells a placed task to stop, and again with later reports. */
void mm_owner_stop_task(MmOwner *owner, MmJob *job, guint number);
/* The smallest grace that lets the job save. */
double mm_owner_grace_s(const MmJob *job);
void mm_owner_ask_acknowledgements(MmOwner *owner);
/* Tasks that were told to stop are told again, should the command have got lost. */
void mm_owner_repeat_stops(MmOwner *owner);

const GPtrArray *mm_owner_pressing(MmOwner *owner);

/* gang.c */
void mm_owner_plan_gangs(MmOwner *owner);
gboolean mm_owner_reserved(MmOwner *owner, const MmAsk *request, MmApproval *approval);
static inline gboolean
mm_job_is_gang(const MmJob *job) {
  return job->spec.kind == MM_KIND_GANG && job->spec.tasks > 1;
}

/* guarantee.c */
void mm_owner_count_guarantees(MmOwner *owner);
/* Whether a task of `from` may be stopped to give the job, of another team, what that is
 * guaranteed. */
gboolean mm_owner_may_reclaim(const MmOwner *owner, const MmJob *job, const MmJob *victim);

/* urgency.c */
gboolean mm_owner_goes_first(const MmOwner *owner, const MmJob *job);
/* Sets the job's priority, and by when it must be given machines for the first of the aims that it
 * can still meet: its own, and those of the jobs that depend on it. */
void mm_owner_set_due(MmOwner *owner, MmJob *job);
/* The order of pressing: jobs that starve, the oldest first; then priority, then what is due first.
 * Jobs past all their aims come last, until they starve. */
gint mm_owner_compare_pressing(gconstpointer a, gconstpointer b);

/* preempt.c */
void mm_owner_preempt(MmOwner *owner);
/* Stops work of lower priority on as many machines, each of which could then take a task of the
 * gang. Not again within a report period. */
void mm_owner_clear_for_gang(MmOwner *owner, MmJob *job, guint machines);
/* Seconds until the machine could run a task of the job that is given to it now, its image and what
 * must be stopped for it included; below 0 when that can't be. */
double mm_owner_delay_on(MmOwner *owner, const MmJob *job, MmMachine *machine);
double mm_owner_fetch_s(const MmJob *job, const MmMachine *machine);
/* Tasks on the machine that outrank or equal the job: they cannot be stopped for it. */
guint mm_owner_crowd(const MmOwner *owner, const MmJob *job, const MmMachine *machine);
