/* One machine as its newest heartbeats, the registry and this node's own decisions show it.
 *
 * Every node keeps an MmMachine for every machine, whichever node its heartbeats reach. The machine
 * table (machine-table.h) owns them; the pointers that others keep end with
 * mm_scheduler_machine_gone() and mm_sharing_machine_gone().
 *
 * Invariants: `latest_heartbeat_id` and `latest_message_id` never go back; while
 * `lease_has_expired` or `is_terminated` is set, the machine shows no task. */
#pragma once

#include "heartbeat/heartbeat.h"
#include "autoscaler/instance-types.h"
#include "jobs/job-table.h"
#include "node/node.h"

typedef struct {
  MmName name;
  double size_gb;
  MmTime last_used_at;
} MmCachedImage;

typedef struct {
  MmName job;
  guint number;
} MmTaskRef;

/* A task of a job whose shard this node leads, on a machine where it runs or may run. */
typedef struct {
  MmJob *job; /* lent */
  guint number;
} MmPlacedTask;

/* As MmMachine.available_generation: the available resources are to be computed anew. */
#define MM_GENERATION_NONE 0

/* The node that serves a machine: the index of a peer, or one of these. */
enum {
  MM_SERVING_NODE_NONE = -2, /* no heartbeat to any node is known, at most direct replies */
  MM_SERVING_NODE_SELF = -1,
};

struct MmMachine {
  /* Identity. Written by the machine table. */
  MmName id;
  char addr[64];
  MmName type_name;
  const MmInstanceType *type; /* lent; NULL while the cloud's types are not known */
  MmName zone;
  gboolean is_spot;
  guint sorted_index; /* position in MmMachineTable.sorted_machines */
  guint group;        /* the machine group that it belongs to for good */

  /* Its heartbeats and the registry. Written by the machine table; the autoscaler also writes
   * `last_seen_at`, at a reply to its probe. */
  gboolean has_reported;             /* else it is known from the registry only, or unverified */
  MmHeartbeatId latest_message_id;   /* of the newest heartbeat or direct reply */
  MmHeartbeatId latest_heartbeat_id; /* of the newest heartbeat that reached a node */
  MmTerm acknowledged_term;          /* the fencing token in the newest message */
  gint serving_node;                 /* that received the newest heartbeat: see above */
  MmTime last_seen_at;               /* newest message of any kind */
  MmTime last_heartbeat_at;          /* newest heartbeat that reached a node */
  gboolean has_termination_notice;   /* the cloud has announced that it takes the machine back */
  MmTime termination_at;             /* when it may do so; set with the notice */
  gboolean is_in_registry;           /* as the replica shows */
  guint64 registered_incarnation;    /* starts need a registration of the incarnation itself */
  gboolean lease_has_expired;        /* for certain: its tasks may run elsewhere */
  gboolean is_terminated;            /* the cloud has said so; final */
  GArray *reported_tasks;            /* MmReportedTask of the newest message */
  gboolean has_live_task;            /* a reported task has not ended */
  MmTime idle_since;           /* when it last showed a live task, else when it was first known */
  gboolean has_unsent_changes; /* not yet sent to the peers; cleared by peer-broadcast */

  /* Derived by machine.c. The scheduler resets `available_generation` as it moves tasks. */
  GArray *cached_images;           /* MmCachedImage; inferred from tasks, a hint only */
  MmResources available_resources; /* as last computed, */
  guint64 available_generation;    /* at this generation of the job table, or MM_GENERATION_NONE */

  /* Health. Written by machine-health; the machine table sets both response times of a new entry,
   * the scheduler resets `consecutive_refused_starts` as a start is carried out. */
  MmTime unacknowledged_since;      /* first response whose term is unacknowledged; 0: none */
  guint unacknowledged_responses;   /* how many such responses */
  MmTime last_possible_response_at; /* latest instant at which a node may have answered it 200, as
                                       far as this node knows: its lease counts from here */
  MmTime steady_responses_since;    /* since then a response at least every half lease */
  MmTime last_own_response_at;      /* newest response by this node */
  guint responses_in_incarnation;   /* how many since the incarnation began */
  guint consecutive_refused_starts; /* starts sent to it and not carried out */
  guint consecutive_lost_leases;    /* each lost while its heartbeats were being answered */
  guint consecutive_failed_jobs;    /* jobs with errors here, with no success between them */
  MmName last_failed_job;
  MmTime quarantined_until; /* it gets no work before */

  /* Written by the scheduler, about jobs of the shards this node leads. */
  gboolean needs_task_review;          /* the same reported tasks must be applied again */
  GPtrArray *placed_tasks;             /* MmPlacedTask, owned: tasks that are or may be on it */
  GArray *kept_list;                   /* MmTaskRef: tasks to try first at its next start request */
  MmResources reserved_resources;      /* free or being freed, reserved for urgent work */
  MmTime reserved_until;               /* when the reservation ends */
  MmTime acknowledgement_requested_at; /* newest direct command that asks for the term */
  MmTime full_until;                   /* it refused a start for lack of resources */

  /* Written by the autoscaler. */
  gboolean is_being_terminated;
  MmTime last_probed_at;   /* newest direct request for a sign of life, */
  guint unanswered_probes; /* and how many since the last reply */

  /* Written by sharing. */
  MmTime last_redirected_at; /* when its worker was last sent to its group's owner */

  /* Appended to by mm_machine_queue_command(), emptied by pending-response. */
  GArray *queued_commands;    /* MmCommand for the next response, */
  guint64 queued_incarnation; /* for this incarnation only */
};

/* Resources free beside everything reported and everything placed by the shards led here. Zero
 * while the type is unknown, or a task on it belongs to a job that is unknown here. Cached by the
 * job table's generation. */
MmResources mm_machine_available_resources(const MmMachineTable *machine_table, MmMachine *machine);
/* The task as the newest message shows it, or NULL. Lent until the next message. */
const MmReportedTask *mm_machine_find_reported_task(const MmMachine *machine, const MmName *job_id,
                                                    guint number, MmAttempt attempt);
/* The machine has this image now; the least recently used ones make space for it. */
void mm_machine_record_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb);
gboolean mm_machine_has_cached_image(const MmMachine *machine, const MmName *image);
/* Whether its incarnation is in the registry: only then it may be given starts. */
gboolean mm_machine_has_registered_incarnation(const MmMachine *machine);
/* The newest incarnation that is known from a message or the registry. */
guint64 mm_machine_newest_incarnation(const MmMachine *machine);
/* Whether the message is of an incarnation whose lease has certainly expired, or of a terminated
 * machine. */
gboolean mm_machine_lease_has_ended(const MmMachine *machine, MmHeartbeatId heartbeat_id);
/* Whether the machine may be given work at all. */
gboolean mm_machine_is_usable(const MmMachineTable *machine_table, const MmMachine *machine);
/* Adds a command to the next response to a heartbeat of this incarnation, in place of an earlier
 * one of the same kind for the same attempt. Commands of other incarnations are dropped. */
void mm_machine_queue_command(MmMachine *machine, guint64 incarnation, const MmCommand *command);
