/* The one judge of a team's tasks: where each may be, what may start, what must stop.
 *
 * A part is a team. Whoever holds it rebuilds its view from the machines' reports: a machine counts
 * as heard once it acknowledgements the part's term, for then every start given out under an older
 * term has either shown in that report or will be refused. Nothing is approved that an
 * unacknowledged machine might hold. */
#pragma once

#include "machines/machine-table.h"
#include "jobs/job-table.h"
#include "node/node.h"
#include "peers.pb-c.h"
#include "placement/placement.h"

struct MmLedShard {
  char *name;
  MmTerm term;
  MmKeyVersion version;
  MmTime acquired_at;
  const MmTeamSettings *team;
  MmResources used;                     /* by tasks that are or may be on machines */
  const MmJob *quota_reserved_for;      /* the most pressing job that waits and is in a hurry, */
  MmResources reserved_quota;           /* and what it needs of the team's limit */
  MmResources unacknowledged_resources; /* what unacknowledged machines might hold beside them */
  gboolean has_unacknowledged_of_unknown_type; /* one of them is of an unknown type: that may be
                                                  anything */
  gboolean unacknowledged_changed;
  GArray *unacknowledged_kinds; /* MmMachineKind: each kind of machine that some of them are of */
  GHashTable
      *unacknowledged_machines; /* ids of machines that may hold tasks that are not known of */
  gboolean is_ready;
};

typedef struct {
  MmName type;
  MmName zone;
  gboolean is_spot;
} MmMachineKind;

typedef struct {
  double actual_s;
  double estimated_s;
} MmEstimateError;

struct MmScheduler {
  MmNode *node;
  GHashTable *led_shards;      /* part name -> MmLedShard */
  GHashTable *estimate_errors; /* class -> MmEstimateError: how far users' guesses are off */
  guint64 attempt_sequence;    /* of attempts */
  gboolean is_writing;
  guint single_job_writes;    /* so many of the next writes carry one job only */
  GPtrArray *jobs_by_urgency; /* MmJob of the parts held here, most pressing first */
  gboolean is_urgency_order_stale;
  MmResources *team_used; /* by the settings' teams, on all machines, as seen a moment ago */
  MmTime next_quota_update_at;
  const MmJob *yield_to_gang; /* the most pressing gang that waits for accelerators, anywhere */
  guint64 n_machines_scanned; /* machines looked at for some job, ever */
  guint machine_scans_left;   /* at all machines, that are left until the next slow tick */
  guint next_preemption_job;  /* where the next round of clearing room goes on */
  MmTime next_slow_tick_at;
  MmTime next_replica_move_at;
};

typedef struct {
  MmMachine *machine;
  MmHeartbeatId heartbeat_id;
  MmResources free_resources; /* free for this request; */
  gboolean
      is_local; /* asked by the owner's node itself, which has taken off what it keeps for gangs */
  gboolean is_pull;
  guint n_tasks;
  MmTaskRef tasks[MM_PLACEMENT_CANDIDATES_MAX];
} MmStartRequest;

typedef struct {
  MmName job;
  guint number;
  MmAttempt attempt;
  MmName shard;
  MmTerm term;
  gboolean was_reserved; /* its room had been kept for it */
} MmApproval;

MmScheduler *mm_scheduler_new(MmNode *node);
void mm_scheduler_free(MmScheduler *scheduler);
void mm_scheduler_tick(MmScheduler *scheduler);

void mm_scheduler_replica_changed(MmScheduler *scheduler);
void mm_scheduler_job_changed(MmScheduler *scheduler, MmJob *job);
void mm_scheduler_job_removed(MmScheduler *scheduler, MmJob *job);
/* The job's cancellation is in the state service, which needs no judge: whoever holds its part,
 * this node stops its tasks wherever it can from now on, and lets none start. FALSE when it knows
 * nothing of the job yet. */
gboolean mm_scheduler_job_cancelled(MmScheduler *scheduler, const char *job_id);
/* `changed`: the report shows other tasks than the one before. */
void mm_scheduler_heartbeat_received(MmScheduler *scheduler, MmMachine *machine,
                                     const MmHeartbeat *heartbeat, gboolean tasks_changed);
void mm_scheduler_machine_gone(MmScheduler *scheduler, MmMachine *machine);
/* Adds MmPendingTasks for what is unassigned in the parts held here, most pressing first, and the
 * names of machines with reserved places. */
void mm_scheduler_list_backlog(MmScheduler *scheduler, GPtrArray *pending,
                               GArray *reserved_machines);
guint mm_scheduler_count_pending_tasks(const MmScheduler *scheduler);

/* admission.c */
/* Lowers the request's room to what is free as seen here. */
gboolean mm_scheduler_approve_start(MmScheduler *scheduler, MmStartRequest *request,
                                    MmApproval *approval);
void mm_scheduler_peer_start_request(MmScheduler *scheduler, guint peer,
                                     const Mm__StartRequest *message);
MmLedShard *mm_scheduler_shard_of_job(const MmScheduler *scheduler, const MmJob *job);
/* Whether all is known that earlier holders of its part may have started of the job: every machine
 * has been heard that it was ever allowed on. */
gboolean mm_scheduler_knows_all_starts(MmScheduler *scheduler, const MmJob *job);
/* Takes up which machines are still to be heard, if that has changed. */
void mm_scheduler_update_unacknowledged(MmScheduler *scheduler, MmLedShard *shard);
/* Whether the job's tasks may be given out at all at the moment. */
gboolean mm_scheduler_job_is_schedulable(MmScheduler *scheduler, const MmJob *job);
/* The last of the jobs that it depends on is done: its waiting times count from then. */
void mm_scheduler_job_ready(MmScheduler *scheduler, MmJob *job);
/* Whether the job leaves its places to a gang that presses more. */
gboolean mm_scheduler_must_yield_to_gang(const MmScheduler *scheduler, const MmJob *job);
/* The rules that bind a task to places: type, zone, kind of machine, the job's other tasks. */
gboolean mm_scheduler_constraints_allow(const MmJob *job, const MmMachine *machine);
/* The same, counting also places that are being cleared for the job's waiting tasks. */
gboolean mm_scheduler_constraints_will_allow(const MmScheduler *scheduler, const MmJob *job,
                                             const MmMachine *machine);
gboolean mm_scheduler_quota_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                                   guint tasks);
MmAttempt mm_scheduler_next_attempt(MmScheduler *scheduler, const MmLedShard *shard);

/* scheduler.c */
static inline gboolean
mm_task_is_live(guint8 state) {
  return state != MM_TASK_PENDING && state != MM_TASK_DONE;
}
void mm_scheduler_set_task_state(MmScheduler *scheduler, MmJob *job, guint number, guint8 state);
void mm_scheduler_place_task(MmScheduler *scheduler, MmJob *job, guint number, MmMachine *machine,
                             MmTaskState state, MmAttempt attempt);
void mm_scheduler_unplace_task(MmScheduler *scheduler, MmJob *job, guint number);
/* Notes when nothing is left to hear for the part. */
void mm_scheduler_check_shard_ready(MmScheduler *scheduler, MmLedShard *shard);

/* heartbeats.c */
/* Places what the machine's newest report shows, of one part only unless that is NULL. */
void mm_scheduler_apply_reported_tasks(MmScheduler *scheduler, MmMachine *machine,
                                       const char *only_shard);

/* job-writer.c */
void mm_scheduler_write_jobs(MmScheduler *scheduler);

/* stop-commands.c */
/* Tells a task's machine to stop it, at once and with every answer until it is gone. */
void mm_scheduler_send_stop(MmScheduler *scheduler, MmMachine *machine, const MmName *job,
                            guint number, MmAttempt attempt, double grace_s);
/* Tells a placed task to stop, and again with later reports. */
void mm_scheduler_stop_task(MmScheduler *scheduler, MmJob *job, guint number);
/* The smallest grace that lets the job save. */
double mm_scheduler_stop_grace_s(const MmJob *job);
void mm_scheduler_request_acknowledgements(MmScheduler *scheduler);
/* Tasks that were told to stop are told again, should the command have got lost. */
void mm_scheduler_resend_stops(MmScheduler *scheduler);

const GPtrArray *mm_scheduler_jobs_by_urgency(MmScheduler *scheduler);

/* gang.c */
void mm_scheduler_plan_gangs(MmScheduler *scheduler);
gboolean mm_scheduler_approve_reserved_start(MmScheduler *scheduler, const MmStartRequest *request,
                                             MmApproval *approval);
static inline gboolean
mm_job_is_gang(const MmJob *job) {
  return job->spec.kind == MM_JOB_KIND_GANG && job->spec.n_tasks > 1;
}

/* quota.c */
void mm_scheduler_update_quotas(MmScheduler *scheduler);
/* Whether a task of `from` may be stopped to give the job, of another team, what that is
 * guaranteed. */
gboolean mm_scheduler_may_reclaim_quota(const MmScheduler *scheduler, const MmJob *job,
                                        const MmJob *victim);

/* urgency.c */
gboolean mm_scheduler_has_precedence(const MmScheduler *scheduler, const MmJob *job);
/* Sets the job's priority, and by when it must be given machines for the first of the aims that it
 * can still meet: its own, and those of the jobs that depend on it. */
void mm_scheduler_update_urgency(MmScheduler *scheduler, MmJob *job);
/* The order of pressing: jobs that starve, the oldest first; then priority, then what is due first.
 * Jobs past all their aims come last, until they starve. */
gint mm_scheduler_compare_urgency(gconstpointer a, gconstpointer b);

/* preemption.c */
void mm_scheduler_preempt(MmScheduler *scheduler);
/* Stops work of lower priority on as many machines, each of which could then take a task of the
 * gang. Not again within a report period. */
void mm_scheduler_preempt_for_gang(MmScheduler *scheduler, MmJob *job, guint machines);
/* Seconds until the machine could run a task of the job that is given to it now, its image and what
 * must be stopped for it included; below 0 when that can't be. */
double mm_scheduler_start_delay_s(MmScheduler *scheduler, const MmJob *job, MmMachine *machine);
double mm_scheduler_image_fetch_s(const MmJob *job, const MmMachine *machine);
/* Tasks on the machine that outrank or equal the job: they cannot be stopped for it. */
guint mm_scheduler_count_colocated_tasks(const MmScheduler *scheduler, const MmJob *job,
                                         const MmMachine *machine);
