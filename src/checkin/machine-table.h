/* The machines as their newest reports show them, whichever node heard these, and until when each
 * may still have been answered. */
#pragma once

#include "checkin/report.h"
#include "fleet/types.h"
#include "jobs/job-table.h"
#include "node/node.h"

typedef struct {
  MmName name;
  double gb;
  MmTime used;
} MmCachedImage;

typedef struct {
  MmName job;
  guint number;
} MmTaskRef;

#define MM_HOST_SELF -1
#define MM_HOST_NONE -2 /* no report to any node is known, at most direct answers */

struct MmMachine {
  MmName id;
  char addr[64];
  MmName type_name;
  const MmType *type; /* NULL while the cloud's types are not known */
  MmName zone;
  gboolean spot;
  gboolean heard; /* a report has been seen; otherwise known from the register only */
  MmHeartbeatId stamp;
  MmHeartbeatId report_stamp; /* newest report made to a node; `stamp` may be of a direct answer */
  MmTerm token;
  /* Answers that carried a term which no later report has shown: */
  MmTime unacknowledged_since; /* the first of them; 0: none */
  guint unacknowledged;        /* how many */
  guint refused_starts;        /* in a row that were not carried out */
  guint lost_leases;           /* in a row, each while its reports were being answered steadily */
  guint answers;               /* in this session */
  gboolean warned;
  MmTime taken;       /* when the cloud may take it */
  GArray *tasks;      /* MmSeenTask of the newest report */
  gboolean unsettled; /* the owner must look at the same tasks again */
  gboolean live;      /* that shows a task which has not ended */
  gboolean untold;    /* something here is new to the peers */
  gint host;          /* the node that heard it last: a peer's index or MM_HOST_... */
  MmTime answered;    /* it may have been answered up to here, as far as this node knows */
  MmTime answered_steadily_since; /* since then there was an answer in each half of a lease */
  MmTime answered_here;           /* when this node itself answered it last */
  MmTime seen;                    /* newest report of any kind */
  MmTime reported;                /* newest report made to a node */
  gboolean registered;            /* in the state service, as the replica shows */
  guint64 registered_session;     /* starts need a registration of the session itself */
  gboolean lost;
  gboolean gone; /* returned: the cloud has said so */
  gboolean releasing;
  MmTime probed;    /* when it was last asked directly for a sign of life, */
  guint unanswered; /* and how often since it last gave one */
  GArray *images;   /* MmCachedImage */
  MmResources free; /* as last worked out, */
  guint64 free_as;  /* with the job table's jobs of that time; 0: to be worked out anew */
  MmTime idle_since;
  guint index; /* place in the order of names */
  guint group; /* of machines, that it belongs to for good */

  /* the owner's */
  GPtrArray *placed;    /* MmPlaced: tasks of parts held here that are or may be on it */
  GArray *kept;         /* MmTaskRef: the kept-list of this machine */
  MmTime clearing;      /* until when `promised` holds */
  MmResources promised; /* room, free or being cleared, that is spoken for by work in a hurry */
  MmTime acknowledgement_asked; /* when it was last asked to acknowledgement the term */
  guint failed_jobs;            /* that had errors here, with no success of any job between */
  MmName last_failed_job;
  MmTime quarantined_until; /* it gets no work before */
  MmTime full_until;        /* it refused a start for lack of room */

  /* the check-in's */
  MmTime redirected; /* when its worker was last sent to the owner of its group */
  GArray *queued;    /* MmCommand for the next answer */
  guint64 queued_session;
};

typedef struct {
  MmJob *job;
  guint number;
} MmPlaced;

struct MmMachineTable {
  MmNode *node;
  GHashTable *running;  /* job id -> how many of its tasks are seen running */
  GHashTable *machines; /* id -> MmMachine */
  GPtrArray *order;     /* MmMachine by id */
  GHashTable *past;     /* id -> newest session that is over for certain; bounded */
  GQueue *past_order;
  MmTime next;
  MmTime heard_here; /* when any worker last reached this node, or answered it */
};

MmMachineTable *mm_machine_table_new(MmNode *node);
void mm_machine_table_free(MmMachineTable *machine_table);
MmMachine *mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id);

/* Whether the report is certainly a late copy, or of a session that is over: no worker waits for
 * its answer, since a worker has one report under way and it is not this one. */
gboolean mm_machine_table_is_late(const MmMachineTable *machine_table, const MmReport *heartbeat);
/* Whether the report alone is no proof that its machine still is: its session is not on the
 * register and it shows no term of this life of the node. It may be a late copy from a machine that
 * this node never knew. It is answered, so that the machine can show the term, and believed in
 * nothing. */
gboolean mm_machine_table_is_unproved(const MmMachineTable *machine_table,
                                      const MmReport *heartbeat);
/* The entry of such a machine. */
MmMachine *mm_machine_table_note_unproved(MmMachineTable *machine_table, const MmReport *heartbeat);

/* Takes a report in; NULL when it is older than what is known. `heard_at`: when it was made at the
 * latest; `host`: the node that heard it. */
MmMachine *mm_machine_table_take(MmMachineTable *machine_table, const MmReport *heartbeat,
                                 MmTime received_at, gint serving_node);
/* A peer answered a report that showed nothing new since the last one it told of. */
void mm_machine_table_beat(MmMachineTable *machine_table, const char *machine_id,
                           MmHeartbeatId heartbeat_id, MmTime received_at, gint serving_node);
/* Somebody answered the machine, and nothing else is known of it. */
void mm_machine_table_answered(MmMachineTable *machine_table, const char *machine_id,
                               MmTime responded_at);
typedef struct MmEntry MmEntry;
void mm_machine_table_registered(MmMachineTable *machine_table, const MmEntry *entry);
void mm_machine_table_unregistered(MmMachineTable *machine_table, const char *machine_id);
void mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine);
/* The cloud has proved it gone. Late reports of it may still come; they change nothing. */
void mm_machine_table_gone(MmMachineTable *machine_table, const char *machine_id);
void mm_machine_table_tick(MmMachineTable *machine_table);

/* Room left beside everything reported and everything placed by this node's parts. Not more than
 * nothing when a task on it belongs to a job that is not known here. */
MmResources mm_machine_free(const MmMachineTable *machine_table, MmMachine *machine);
/* The task as the newest report shows it, or NULL. */
const MmSeenTask *mm_machine_seen(const MmMachine *machine, const MmName *job_id, guint number,
                                  MmAttempt attempt);
/* machine.c */
/* The machine has this image now; the least recently used ones make room for it. */
void mm_machine_note_image(MmMachine *machine, MmTime now, const MmName *image, double image_gb);
gboolean mm_machine_caches(const MmMachine *machine, const MmName *image);
/* Whether its session is in the register: only then it may be given starts. */
gboolean mm_machine_is_registered(const MmMachine *machine);
/* A machine that may be given work at all. */
gboolean mm_machine_usable(const MmMachineTable *machine_table, const MmMachine *machine);
/* Whether every registered machine has been heard lately. */
gboolean mm_machine_table_all_heard(const MmMachineTable *machine_table);
guint mm_machine_table_running(const MmMachineTable *machine_table, const char *job_id);
void mm_machine_queue(MmMachine *machine, guint64 incarnation, const MmCommand *command);
