/* The types of the simulated world: nodes, machines, jobs and the world itself. See world.h.
 *
 * Units: `_us` is simulated time in microseconds, `_at_us`, `_since_us` and `_until_us` are
 * instants of it, `_s` is seconds. 0 means "none" or "not yet" for an instant, unless said
 * otherwise. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

#define WORLD_NODES 3

typedef struct World World;

/* One controller node, up or down. The struct outlives the processes that run as this node. */
typedef struct {
  World *world;
  guint index; /* in World.nodes */
  MmSettings *settings;
  MmOperators operators;
  MmNode *node;      /* NULL while it is down */
  guint generation;  /* of the process: rises when it ends */
  double clock_rate; /* its steady clock advances this many times as fast as simulated time */

  /* what it understands */
  guint64 highest_format;  /* the highest format that it supports; 0: the program's own */
  gboolean is_old_version; /* it speaks and stores as the release before dependencies and announced
                              limits did */

  /* injected faults */
  gint64 kv_refuses_until_us;   /* the key-value store answers 503 to this node only */
  gint64 workers_cut_until_us;  /* neither it nor any worker reaches the other */
  gint64 watches_lost_until_us; /* its watches get no answer, its other requests do */
  gint64 cut_until_us; /* it reaches neither the key-value store, the cloud nor the other nodes */
  gboolean cut_delays_messages; /* its requests to the key-value store arrive after the cut, else
                                   they are lost */
  gint64 frozen_until_us;       /* the process is suspended; its clocks run on, its sockets fill */
  gboolean is_link_half_open[WORLD_NODES]; /* frames to that node are lost, the link looks open */
} WorldNode;

/* The latest state of a job that its user was answered. */
typedef enum {
  USER_SEES_NOTHING,
  USER_SEES_ACCEPTED,
  USER_SEES_CANCELLED,
  USER_SEES_DONE
} WorldUserView;

typedef struct WorldJob WorldJob;
/* A job of a user: the request, what the user was answered, and what truly happened. */
struct WorldJob {
  World *world;
  char id[32];
  json_t *body; /* of the submission */
  MmJobSpec spec;
  GPtrArray *dependencies; /* WorldJob, not owned */
  double run_s;            /* of each task, give or take a fifth */
  double stagger_s;        /* each next task runs so much longer */

  /* what its user knows */
  WorldUserView user_view;
  gboolean was_accepted;
  gboolean is_cancel_requested;
  gint64 submitted_at_us;
  gint64 cancelled_at_us;   /* when the cancellation was confirmed */
  gint64 last_answer_at_us; /* when a request about it was last answered */

  /* what happened */
  gboolean *is_task_done; /* by task number */
  guint n_done;
  guint n_starts;           /* starts that reached a machine, of all its tasks */
  gint64 ready_at_us;       /* when the last of its dependencies was done */
  gint64 first_start_at_us; /* when its first task was on a machine */
  gint64 last_start_at_us;  /* when a start of it last reached a machine */
  gint64 waiting_since_us;  /* since when it waits needlessly, see world_check_waiting() */
};

/* An attempt of a task on a machine. */
typedef struct {
  WorldJob *job;
  guint number; /* of the task in its job */
  guint64 attempt;
  guint8 state; /* MmReportedState */
  guint8 cause; /* MmEndCause of its end */
  gint64 next_change_at_us;
  double remaining_s;
} WorldTask;

/* A machine and the worker on it. */
typedef struct {
  World *world;
  char id[32];
  char address[64];
  char type[16];
  char zone[16];
  gboolean is_spot;
  gint64 launched_at_us;
  gint64 boots_at_us;
  gboolean is_up; /* the worker runs */
  gboolean has_failed;
  gboolean is_terminated; /* returned or reclaimed: the cloud lists it no more */
  GPtrArray *tasks;       /* WorldTask */
  double failure_rate;    /* share of tasks that fail on it */
  gint64 notice_at_us;    /* of its termination notice */
  gint64 reclaimed_at_us; /* when the notice is over */

  /* heartbeats */
  guint64 incarnation, sequence, fencing_token;
  gint64 lease_renewed_at_us;
  guint serving_node; /* index of the node to which it sends heartbeats */
  gboolean is_heartbeat_in_flight;
  guint64 heartbeat_number; /* of requests; an answer to an earlier one is dropped */
  gint64 next_heartbeat_at_us;
  gint64 last_heartbeat_at_us;
  gboolean has_changed; /* since the last heartbeat: the next one may be sent early */

  /* injected faults */
  gint64 hung_until_us;          /* the worker is suspended */
  gint64 cut_until_us;           /* its network is interrupted; messages are delivered afterwards */
  gint64 inbound_lost_until_us;  /* heartbeats arrive, answers and direct commands are lost */
  gint64 outbound_lost_until_us; /* heartbeats are lost, direct commands arrive */
  guint n_direct_while_outbound_lost; /* direct commands that arrived then */
  gint64 duplicate_at_us; /* when a copy of the next heartbeat arrives; 0: no copy is made */
  guint duplicate_node;   /* index of the node at which it arrives */
} WorldMachine;

/* A key of the simulated key-value store. */
typedef struct {
  json_t *value;
  guint64 version;
  guint64 lease_id; /* 0: on no lease */
} WorldKey;

typedef struct {
  guint64 id;
  gint64 ttl_us;
  gint64 expires_at_us;
} WorldLease;

/* What happens to a task on a machine. */
typedef enum {
  WORLD_TASK_STARTS, /* it is on the machine from now on */
  WORLD_TASK_ENDS,   /* by itself, by command, or with its machine: no cause is set then */
  WORLD_TASK_REFUSED /* it did not start, see the cause */
} WorldTaskEvent;

typedef void (*WorldTaskObserver)(gpointer data, const WorldMachine *machine, const WorldTask *task,
                                  WorldTaskEvent event);
/* Sends a request to a node, as world_send_request() does. Takes the body. */
typedef void (*WorldRequestHandler)(World *world, guint index, const char *method, const char *path,
                                    json_t *body, gint64 timeout_us, MmResponseCallback answered,
                                    gpointer data);

struct World {
  /* time and chance */
  GRand *rand;
  gint64 now_us;
  GSequence *events; /* ordered by time, then by when they were scheduled */
  guint64 n_events;
  gboolean is_shutting_down; /* nodes do not start any more */

  /* nodes */
  WorldNode nodes[WORLD_NODES];
  GPtrArray *ended_nodes; /* MmNode of ended processes: answers to their requests still come in */
  GPtrArray *retired_settings; /* MmSettings that ended processes used */
  WorldRequestHandler
      request_handler; /* sends requests to nodes elsewhere; NULL: nodes live here */
  gpointer request_handler_data;

  /* parameters of the workload and of the nodes' settings */
  double lease_s; /* of workers */
  double heartbeat_interval_s;
  double cancel_s;           /* within which a cancelled task ends */
  double configured_lease_s; /* lease_s in the nodes' settings; 0: the true one */
  guint capacity;            /* machines that the cloud has, for each type, zone and spot or not */
  double team_cores;         /* each team's limit */
  guint group_count;         /* machine groups in the operators' file; 0: machines are not shared */
  double group_hold_s;       /* likewise, in the operators' file */

  /* the key-value store */
  GTree *keys; /* path -> WorldKey */
  guint64 revision;
  GPtrArray *changes; /* KeyChange of kv-watches.c, in order */
  GHashTable *leases; /* id -> WorldLease */
  guint64 next_lease; /* id */
  GPtrArray *watches; /* that wait for a change */
  guint64 format;     /* the active format in truth; 0: its key is missing or malformed */
  gint64 format_set_at_us;
  guint64 n_writes;
  guint64 n_conflicts; /* transactions whose conditions failed */

  /* limits of the key-value store; a larger transaction breaks an invariant, as nodes know them */
  guint value_bytes;
  guint txn_ops;
  double write_rps; /* writes a second, beyond which it answers 429; 0: no limit */
  double write_tokens;
  gint64 write_tokens_at_us;
  gboolean has_unannounced_limits; /* nodes do not know the limits: what is too large gets 400 */
  gboolean announces_next_limits;  /* settings of nodes that start name the next, smaller limits */
  guint n_rate_limited;            /* requests that got 429 */
  guint n_too_large;               /* transactions that got 400 */

  /* faults of the key-value store */
  gint64 outage_until_us; /* it answers 503 to all nodes */
  gint64 kv_slow_until_us;
  double kv_slow_s;       /* until then, answers take up to this much longer */
  double late_write_rate; /* share of transactions applied 2 to 12 s late, without an answer */
  gboolean
      delays_acquisitions; /* all transactions that write leaders or group owners are so late */
  guint n_late_applied;    /* late transactions that were applied */
  guint n_late_rejected;   /* late transactions whose conditions failed */

  /* the cloud */
  GPtrArray *machines;  /* WorldMachine */
  guint next_machine;   /* number of the latest machine's name */
  GHashTable *launches; /* request id -> json_t answer, for repetitions */
  gint64 cloud_down_until_us;

  /* users */
  GPtrArray *jobs;              /* WorldJob */
  guint next_job;               /* number of the latest job's name */
  gint avoided_node;            /* index of the node that no user asks; -1: none */
  double cancel_at_end_rate;    /* share of jobs that are cancelled as their last task ends */
  guint n_odd_requests_correct; /* requests of world_send_odd_requests() answered as they should */
  gint64 waiting_checked_at_us; /* of world_check_waiting() */
  gint64 faults_ended_at_us;    /* when the last injected fault ended */

  /* faults of the network */
  gint64 links_refused_until_us; /* nodes refuse each other's connections */
  gboolean ends_leave_half_open; /* links to a node that ends look open to the others */
  guint cut_zone;                /* index of the node whose zone is cut off */
  gint64 zone_cut_until_us;
  double stall_rate;     /* share of answers that leave 0.1 to 3.9 s after the node gave them */
  double duplicate_rate; /* share of requests of which a copy arrives late */
  double slow_links_s;   /* heartbeats and their answers take up to this much longer */

  /* counts */
  guint n_starts;             /* tasks that were on a machine */
  guint n_stops;              /* stop commands that workers executed */
  double last_stop_grace_s;   /* time to save that the latest of them gave */
  guint n_no_resources;       /* starts refused for want of resources on the machine */
  guint64 n_heartbeats;       /* sent by workers */
  guint n_stale_incarnations; /* copies of heartbeats that came after a newer incarnation began */
  guint64 n_direct_commands;  /* sent by nodes */
  guint n_delayed_commands;   /* direct commands that arrived after a cut or a hang was over */
  guint64 n_frames;           /* sent between nodes */
  guint64 n_frame_bytes;
  guint n_reconnects; /* links that nodes opened anew */

  /* machine groups */
  GHashTable
      *cores_granted;      /* "machine/incarnation/sequence" -> double: cores started in answers */
  guint n_moves_started;   /* on an administrator's request, as nodes answered */
  guint n_double_owners;   /* times that two nodes believed they own a machine's group */
  gint64 unowned_since_us; /* since when some node sees a group without an owner */
  gint64 longest_unowned_us; /* longest such duration after faults ended */

  /* faults of the nodes themselves, with which tests show that the invariants find them */
  gboolean ignore_acknowledgements;    /* shard leaders count every machine as acknowledged */
  gboolean accept_duplicates;          /* nodes forget the heartbeat id of a machine's latest one */
  gboolean respond_to_unacknowledging; /* nodes go on answering machines that ignore answers */
  gboolean lease_never_expires;        /* nodes count their node lease as valid */
  gboolean replica_never_stale;        /* nodes answer however stale their replica is */
  gboolean ignore_dependencies;        /* nodes count every dependency as done */
  gboolean ignore_ancestors;           /* nodes do not cancel dependents of a cancelled job */
  gboolean only_leader_knows_cancelled;   /* only the shard leader knows that a job is cancelled */
  gboolean forget_grants;                 /* group owners forget what they have granted */
  gboolean ignore_group_acknowledgements; /* group owners count every machine as acknowledged */

  /* checks */
  gboolean skips_checks;          /* invariants are not checked: for measurements of time */
  GPtrArray *violations;          /* broken invariants, as text */
  WorldTaskObserver observe_task; /* called for each event of a task; may be NULL */
  gpointer observer_data;
};
