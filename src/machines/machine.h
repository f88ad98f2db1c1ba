/* State of one machine. The state is derived from the machine's newest heartbeats, the registry and
 * the decisions of this node.
 *
 * Every node keeps an MmMachine for every machine, regardless of which node receives the machine's
 * heartbeats. The machine table (machine-table.h) owns every MmMachine. Other modules must drop
 * their pointers to a machine in mm_scheduler_machine_gone() and mm_sharing_machine_gone().
 *
 * Invariants: `latest_heartbeat_id` and `latest_message_id` never decrease. While
 * `lease_has_expired` or `is_terminated` is set, the machine has no reported tasks. */
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

/* A task placed on a machine where it runs or may run. This node leads the shard of the task's
 * job. */
typedef struct {
  MmJob *job;         /* borrowed */
  const MmTask *task; /* borrowed: the entry of the task, which exists while the task is placed */
  guint number;
} MmPlacedTask;

/* Value of MmMachine.available_generation that forces the available resources to be recomputed. */
#define MM_GENERATION_NONE 0

/* Values of MmMachine.serving_node other than the index of a peer. */
enum {
  MM_SERVING_NODE_NONE = -2, /* no node is known to have received a heartbeat of the machine */
  MM_SERVING_NODE_SELF = -1,
};

struct MmMachine {
  /* Identity; written by the machine table */
  MmName id;
  char addr[64];
  MmName type_name;
  const MmInstanceType *type; /* borrowed; NULL while the cloud's instance types are unknown */
  MmName zone;
  gboolean is_spot;
  guint sorted_index; /* index in MmMachineTable.sorted_machines */
  guint group;        /* the machine group, which never changes */

  /* Heartbeats and registration; written by the machine table. The autoscaler also writes
   * `last_seen_at` when the machine replies to a probe. */
  gboolean has_reported; /* FALSE: known only from the registry or an unverified heartbeat */
  MmHeartbeatId latest_message_id;   /* of the newest heartbeat or direct reply */
  MmHeartbeatId latest_heartbeat_id; /* of the newest heartbeat that reached any node */
  MmTerm acknowledged_term;          /* fencing token of the newest message */
  gint serving_node;                 /* node that received the newest heartbeat */
  MmTime last_seen_at;               /* time of the newest message of any kind */
  MmTime last_heartbeat_at;          /* time of the newest heartbeat that reached any node */
  gboolean has_termination_notice;   /* the cloud has announced that it will reclaim the machine */
  MmTime termination_at;   /* earliest time of the reclaim; valid with has_termination_notice */
  gboolean is_in_registry; /* according to the replica */
  guint64 registered_incarnation; /* starts require that the current incarnation is registered */
  gboolean lease_has_expired;  /* the lease has certainly expired; tasks may be started elsewhere */
  gboolean is_terminated;      /* reported by the cloud; final */
  GArray *reported_tasks;      /* elements: MmReportedTask of the newest message */
  gboolean has_live_task;      /* some reported task has not ended */
  MmTime idle_since;           /* time when the machine last had a live task or was first known */
  gboolean has_unsent_changes; /* changes not yet sent to peers; cleared by peer-broadcast */

  /* Derived by machine.c. The scheduler resets `available_generation` when it moves tasks. */
  GArray *cached_images;           /* elements: MmCachedImage; inferred from tasks, only a hint */
  MmResources available_resources; /* cached result of mm_machine_available_resources() */
  guint64 available_generation;    /* generation of available_resources, or MM_GENERATION_NONE */

  /* Health; written by machine-health. The machine table sets `last_possible_response_at` and
   * `steady_responses_since` of a new entry. The scheduler resets `consecutive_refused_starts` when
   * a start is executed. */
  MmTime unacknowledged_since; /* time of the first response with an unacknowledged term; 0: none */
  guint unacknowledged_responses; /* number of responses with an unacknowledged term */
  /* Latest time at which a node may have answered the machine with status 200, as far as this node
   * knows. The machine's lease is counted from this time. */
  MmTime last_possible_response_at;
  /* Since this time, the machine has been answered at least once every half lease period. */
  MmTime steady_responses_since;
  MmTime last_own_response_at;      /* time of the newest response by this node */
  guint responses_in_incarnation;   /* number of responses since the incarnation began */
  guint consecutive_refused_starts; /* starts sent to the machine but not executed */
  guint consecutive_lost_leases;    /* leases lost although heartbeats were being answered */
  guint consecutive_failed_jobs;    /* jobs with errors here, without a success between them */
  MmName last_failed_job;
  MmTime quarantined_until; /* the machine gets no work before this time */

  /* Written by the scheduler; about jobs of the shards that this node leads */
  gboolean must_reapply_tasks; /* apply the reported tasks again even if unchanged */
  GPtrArray *placed_tasks;     /* elements: MmPlacedTask, owned; tasks that run or may run on it */
  GArray *retained_candidates; /* elements: MmTaskRef; tried first at the next start request */
  MmResources reserved_resources;      /* reserved for urgent work; free or being freed */
  MmTime reserved_until;               /* end of the reservation */
  MmTime acknowledgement_requested_at; /* last direct command asking for an acknowledgement */
  MmTime no_starts_until; /* no starts before this time; set when a start lacked resources */

  /* Written by the autoscaler */
  gboolean is_being_terminated;
  MmTime last_probed_at;   /* time of the last direct request that asked the machine for a reply */
  guint unanswered_probes; /* number of such direct requests since the machine's last reply */

  /* Written by sharing */
  MmTime last_redirected_at; /* when the worker was last redirected to the owner of its group */

  /* Filled by mm_machine_queue_command(), emptied by pending-response */
  GArray *queued_commands;    /* elements: MmCommand for the next heartbeat response */
  guint64 queued_incarnation; /* incarnation for which the commands are valid */
};

/* Returns the machine's free resources: those used neither by reported tasks nor by tasks that this
 * node has placed as shard leader. Returns zero while the machine's type is unknown or a reported
 * task belongs to an unknown job. The result is cached for the current generation of the job
 * table. */
MmResources mm_machine_available_resources(const MmMachineTable *machine_table, MmMachine *machine);
/* Returns the memory of the machine, in bytes. */
gsize mm_machine_memory_bytes(const MmMachine *machine);
/* Returns the task as reported in the newest message, or NULL if the message does not contain it.
 * The result is borrowed and valid until the next message is applied. */
const MmReportedTask *mm_machine_find_reported_task(const MmMachine *machine, const MmName *job_id,
                                                    guint number, MmAttempt attempt);
/* Records that the machine has this image in its cache now. If the images exceed the cache size of
 * the machine's type, the least recently used images are removed from the record. */
void mm_machine_record_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb);
gboolean mm_machine_has_cached_image(const MmMachine *machine, const MmName *image);
/* Returns whether the machine's current incarnation is in the registry. Starts may be sent to the
 * machine only if it is. */
gboolean mm_machine_has_registered_incarnation(const MmMachine *machine);
/* Returns the newest incarnation of the machine that is known from a message or the registry. */
guint64 mm_machine_newest_incarnation(const MmMachine *machine);
/* Returns whether the message belongs to an incarnation whose lease has certainly expired, or to a
 * terminated machine. */
gboolean mm_machine_lease_has_ended(const MmMachine *machine, MmHeartbeatId heartbeat_id);
/* Returns whether the machine may be given work at all. */
gboolean mm_machine_is_usable(const MmMachineTable *machine_table, const MmMachine *machine);
/* Queues a command for the next response to a heartbeat of this incarnation. Replaces a queued
 * command of the same kind for the same attempt. Drops queued commands of other incarnations. */
void mm_machine_queue_command(MmMachine *machine, guint64 incarnation, const MmCommand *command);
