/* One machine as its newest heartbeats show it. */
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

#define MM_SERVING_NODE_SELF -1
#define MM_SERVING_NODE_NONE -2 /* no report to any node is known, at most direct answers */

struct MmMachine {
  MmName id;
  char addr[64];
  MmName type_name;
  const MmInstanceType *type; /* NULL while the cloud's types are not known */
  MmName zone;
  gboolean is_spot;
  gboolean has_reported; /* a report has been seen; otherwise known from the register only */
  MmHeartbeatId latest_message_id;
  MmHeartbeatId
      latest_heartbeat_id; /* newest report made to a node; `stamp` may be of a direct answer */
  MmTerm acknowledged_term;
  /* Answers that carried a term which no later report has shown: */
  MmTime unacknowledged_since;      /* the first of them; 0: none */
  guint unacknowledged_responses;   /* how many */
  guint consecutive_refused_starts; /* in a row that were not carried out */
  guint consecutive_lost_leases; /* in a row, each while its reports were being answered steadily */
  guint responses_in_incarnation; /* in this session */
  gboolean has_termination_notice;
  MmTime termination_at;            /* when the cloud may take it */
  GArray *reported_tasks;           /* MmReportedTask of the newest report */
  gboolean needs_task_review;       /* the owner must look at the same tasks again */
  gboolean has_live_task;           /* that shows a task which has not ended */
  gboolean has_unsent_changes;      /* something here is new to the peers */
  gint serving_node;                /* the node that heard it last: a peer's index or MM_HOST_... */
  MmTime last_possible_response_at; /* it may have been answered up to here, as far as this node
                                       knows */
  MmTime steady_responses_since;    /* since then there was an answer in each half of a lease */
  MmTime last_own_response_at;      /* when this node itself answered it last */
  MmTime last_seen_at;              /* newest report of any kind */
  MmTime last_heartbeat_at;         /* newest report made to a node */
  gboolean is_in_registry;          /* in the state service, as the replica shows */
  guint64 registered_incarnation;   /* starts need a registration of the session itself */
  gboolean lease_has_expired;
  gboolean is_terminated; /* returned: the cloud has said so */
  gboolean is_being_terminated;
  MmTime last_probed_at;           /* when it was last asked directly for a sign of life, */
  guint unanswered_probes;         /* and how often since it last gave one */
  GArray *cached_images;           /* MmCachedImage */
  MmResources available_resources; /* as last worked out, */
  guint64
      available_generation; /* with the job table's jobs of that time; 0: to be worked out anew */
  MmTime idle_since;
  guint sorted_index; /* place in the order of names */
  guint group;        /* of machines, that it belongs to for good */

  /* the owner's */
  GPtrArray *placed_tasks; /* MmPlacedTask: tasks of parts held here that are or may be on it */
  GArray *kept_list;       /* MmTaskRef: the kept-list of this machine */
  MmTime reserved_until;   /* until when `promised` holds */
  MmResources
      reserved_resources; /* room, free or being cleared, that is spoken for by work in a hurry */
  MmTime acknowledgement_requested_at; /* when it was last asked to acknowledgement the term */
  guint consecutive_failed_jobs; /* that had errors here, with no success of any job between */
  MmName last_failed_job;
  MmTime quarantined_until; /* it gets no work before */
  MmTime full_until;        /* it refused a start for lack of room */

  /* the check-in's */
  MmTime last_redirected_at; /* when its worker was last sent to the owner of its group */
  GArray *queued_commands;   /* MmCommand for the next answer */
  guint64 queued_incarnation;
};

typedef struct {
  MmJob *job;
  guint number;
} MmPlacedTask;

/* Room left beside everything reported and everything placed by this node's parts. Not more than
 * nothing when a task on it belongs to a job that is not known here. */
MmResources mm_machine_available_resources(const MmMachineTable *machine_table, MmMachine *machine);
/* The task as the newest report shows it, or NULL. */
const MmReportedTask *mm_machine_find_reported_task(const MmMachine *machine, const MmName *job_id,
                                                    guint number, MmAttempt attempt);
/* The machine has this image now; the least recently used ones make room for it. */
void mm_machine_record_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb);
gboolean mm_machine_has_cached_image(const MmMachine *machine, const MmName *image);
/* Whether its session is in the register: only then it may be given starts. */
gboolean mm_machine_has_registered_incarnation(const MmMachine *machine);
/* A machine that may be given work at all. */
gboolean mm_machine_is_usable(const MmMachineTable *machine_table, const MmMachine *machine);
void mm_machine_queue_command(MmMachine *machine, guint64 incarnation, const MmCommand *command);
