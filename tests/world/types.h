/* Types of the simulated cluster ("world"): controller nodes, machines, jobs and the world itself.
 * world.h describes the simulation.
 *
 * Units: `_us` marks simulated time in microseconds; `_at_us`, `_since_us` and `_until_us` mark
 * instants of simulated time; `_s` marks seconds. Unless stated otherwise, an instant of 0 means
 * "none" or "not yet". */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

#define WORLD_NODES 3

typedef struct World World;

/* A controller node, running or not. The struct outlives the processes that run as this node. */
typedef struct {
  World *world;
  guint index; /* index in World.nodes */
  MmSettings *settings;
  MmOperators operators;
  MmNode *node;      /* NULL while no process runs */
  guint generation;  /* number of the process; incremented when a process ends */
  double clock_rate; /* rate of the node's steady clock relative to simulated time */

  /* Supported formats and protocol version */
  guint64 highest_format; /* highest supported format of the stored state; 0: the format
                             MM_FORMAT_HIGHEST */
  /* The node sends messages and stores records as the old release does. The old release has neither
   * job dependencies nor announced limits. */
  gboolean is_old_version;

  /* Injected faults */
  gint64 kv_refuses_until_us; /* the key-value store responds with 503 to this node only */
  /* The network between the node and all workers drops messages in both directions. */
  gint64 workers_partitioned_until_us;
  /* Responses to the node's watches are lost; its other requests are answered. */
  gint64 watches_lost_until_us;
  /* The node is partitioned from the key-value store, the cloud and the other nodes. */
  gint64 partitioned_until_us;
  /* TRUE: requests sent to the key-value store during the partition arrive after the partition.
   * FALSE: such requests are lost. */
  gboolean partition_delays_messages;
  /* The process is suspended until this time. Its clocks continue, and messages to the process are
   * queued in its sockets. */
  gint64 suspended_until_us;
  /* By index of the other node: frames to the other node are lost although the link appears open.
   */
  gboolean is_link_half_open[WORLD_NODES];
} WorldNode;

/* The most advanced state of a job that responses have reported to the job's user. */
typedef enum {
  USER_SEES_NOTHING,
  USER_SEES_ACCEPTED,
  USER_SEES_CANCELLED,
  USER_SEES_DONE
} WorldUserView;

typedef struct WorldJob WorldJob;
/* A job of a user: the submission, what the responses reported to the user, and what happened in
 * the simulation. */
struct WorldJob {
  World *world;
  char id[32];
  MmJson *body; /* body of the submission request */
  MmJobSpec spec;
  GPtrArray *dependencies; /* WorldJob, not owned */
  double run_s;            /* run time of each task, varied randomly by up to a fifth */
  double stagger_s;        /* additional run time for each increment of the task number */

  /* Known to its user */
  WorldUserView user_view;
  gboolean was_accepted;
  gboolean is_cancel_requested;
  gint64 submitted_at_us;
  gint64 cancelled_at_us;   /* when the cancellation was confirmed */
  gint64 last_answer_at_us; /* when a request about the job was last answered */

  /* Actual state in the simulation */
  gboolean *is_task_done; /* by task number */
  guint n_done;
  guint n_starts;     /* start commands that reached a machine, over all tasks of the job */
  gint64 ready_at_us; /* when the last dependency of the job was done; submission time if none */
  gint64 first_start_at_us; /* when the first task of the job started on a machine */
  gint64 last_start_at_us;  /* when a start command for the job last reached a machine */
  gint64 waiting_since_us; /* since when the job has waited needlessly, see world_check_waiting() */
};

/* An attempt of a task on a machine. */
typedef struct {
  WorldJob *job;
  guint number; /* number of the task in its job */
  guint64 attempt;
  guint8 state; /* MmReportedState */
  guint8 cause; /* MmEndCause: why the task ended */
  gint64 next_change_at_us;
  double remaining_s;
} WorldTask;

/* A machine and the worker process that runs on it. */
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
  gboolean is_terminated;          /* released or reclaimed; the cloud no longer lists it */
  GPtrArray *tasks;                /* WorldTask, owned */
  double failure_rate;             /* share of the tasks on this machine that fail */
  gint64 termination_notice_at_us; /* when the cloud gave the termination notice */
  gint64 reclaimed_at_us;          /* when the notice period ends */

  /* Heartbeats */
  guint64 incarnation, sequence, fencing_token;
  gint64 lease_renewed_at_us;
  guint serving_node; /* index of the node that receives the machine's heartbeats */
  gboolean is_heartbeat_in_flight;
  /* Number of the latest heartbeat. Responses to earlier heartbeats are dropped. */
  guint64 heartbeat_number;
  gint64 next_heartbeat_at_us;
  gint64 last_heartbeat_at_us;
  gboolean has_changed; /* the status changed since the last heartbeat; the next heartbeat may be
                           sent early */

  /* Injected faults */
  gint64 suspended_until_us;     /* the worker is suspended */
  gint64 partitioned_until_us;   /* messages to and from the worker are delivered after this time */
  gint64 inbound_lost_until_us;  /* heartbeats arrive; responses and direct commands are lost */
  gint64 outbound_lost_until_us; /* heartbeats are lost; direct commands arrive */
  guint n_direct_while_outbound_lost; /* direct commands received while heartbeats were lost */
  gint64 duplicate_at_us; /* when a copy of the next heartbeat arrives; 0: no copy is made */
  guint duplicate_node;   /* index of the node that receives the copy */
} WorldMachine;

/* A key of the simulated key-value store. */
typedef struct {
  MmJson *value;
  guint64 version;
  guint64 lease_id; /* 0: the key is not attached to a lease */
} WorldKey;

/* A lease of the simulated key-value store. */
typedef struct {
  guint64 id;
  gint64 ttl_us;
  gint64 expires_at_us;
} WorldLease;

/* Events of a task on a machine. */
typedef enum {
  WORLD_TASK_STARTS, /* the task occupies the machine from now on */
  WORLD_TASK_ENDS,   /* the task ended by itself, by a command or because its machine ended;
                        `cause` is unset if the machine ended */
  WORLD_TASK_REFUSED /* the task did not start; `cause` says why */
} WorldTaskEvent;

typedef void (*WorldTaskObserver)(gpointer data, const WorldMachine *machine, const WorldTask *task,
                                  WorldTaskEvent event);
/* Replaces world_send_request() and has the same contract. Takes ownership of the body. */
typedef void (*WorldRequestHandler)(World *world, guint index, const char *method, const char *path,
                                    MmJson *body, gint64 timeout_us, MmResponseCallback answered,
                                    gpointer data);

struct World {
  /* Time and random numbers */
  GRand *rand;
  gint64 now_us;
  GSequence *events; /* ordered by time; events of the same time in the order of scheduling */
  guint64 n_events;
  gboolean is_shutting_down; /* no node is started any more */

  /* Nodes */
  WorldNode nodes[WORLD_NODES];
  /* The MmNode of each ended process, kept because response callbacks of its requests can still be
   * invoked. */
  GPtrArray *ended_nodes;
  GPtrArray *retired_settings; /* MmSettings used by ended processes */
  /* Sends requests to nodes that run outside this process. NULL means that the nodes run in this
   * process. */
  WorldRequestHandler request_handler;
  gpointer request_handler_data;

  /* Parameters of the workload and of the nodes' settings */
  double worker_lease_s; /* lease of a worker */
  double heartbeat_interval_s;
  double cancel_s;           /* maximum time until the tasks of a cancelled job have ended */
  double configured_lease_s; /* lease_s in the nodes' settings; 0: same as `worker_lease_s` */
  /* Maximum number of machines in the cloud, for each type, zone and purchase option (spot or
   * not). */
  guint capacity;
  double team_cores;   /* limit of each team, in cores */
  double memory_mb;    /* ram_mb in the nodes' settings */
  guint group_count;   /* number of machine groups in the operators' file; 0: no groups */
  double group_hold_s; /* group-hold-s in the operators' file */

  /* Key-value store */
  GTree *keys; /* path -> WorldKey */
  guint64 revision;
  GPtrArray *changes;    /* elements: KeyChange (kv-watches.c), in order of revision */
  GHashTable *leases;    /* id -> WorldLease */
  guint64 last_lease_id; /* id of the most recent lease */
  GPtrArray *watches;    /* pending watches */
  guint64 format;        /* active format as stored; 0: the format key is missing or malformed */
  gint64 format_set_at_us;
  guint64 n_writes;
  guint64 n_conflicts;        /* transactions whose conditions failed */
  guint most_changes_at_once; /* in a response to a watch that a node still waited for */

  /* Limits of the key-value store. Unless `has_unannounced_limits` is set, a transaction that
   * exceeds a limit fails an assertion, because the nodes know the limits. */
  guint value_bytes;
  guint txn_ops;
  double write_rps; /* writes per second, above which the store responds with 429; 0: unlimited */
  double write_tokens;
  gint64 write_tokens_at_us;
  /* The nodes do not know the limits. The store responds with 400 to transactions that exceed a
   * limit. */
  gboolean has_unannounced_limits;
  /* The settings of nodes that start announce the next, lower limits. */
  gboolean announces_next_limits;
  guint n_rate_limited; /* requests answered with 429 */
  guint n_too_large;    /* transactions answered with 400 because of their size */

  /* Faults of the key-value store */
  gint64 outage_until_us; /* the store responds with 503 to all nodes */
  gint64 kv_slow_until_us;
  double kv_slow_s; /* maximum additional delay of a response until `kv_slow_until_us` */
  /* Share of transactions that are applied 2 to 12 s late and not answered. */
  double late_write_rate;
  /* All transactions that write shard leaders or group owners are applied 2 to 12 s late. */
  gboolean delays_acquisitions;
  /* Shares of commands to machines, and of launch and release requests to the cloud, that are
   * carried out 2 to `late_max_s` s late and not answered. */
  double late_command_rate, late_cloud_rate;
  double late_max_s;
  guint n_late_commands, n_late_cloud_requests; /* that were carried out late */
  guint n_late_applied;                         /* late transactions that were applied */
  guint n_late_rejected; /* late transactions that the store rejected with 400 or 409 */

  /* Cloud */
  GPtrArray *machines;       /* WorldMachine */
  guint last_machine_number; /* number in the name of the most recent machine */
  /* Id of a launch request -> MmJson response. A repeated request gets the same response again. */
  GHashTable *launch_responses;
  gint64 cloud_down_until_us;

  /* Users */
  GPtrArray *jobs;           /* WorldJob */
  guint last_job_number;     /* number from which the most recent job id was derived */
  gint avoided_node;         /* index of the node to which no user sends requests; -1: none */
  double cancel_at_end_rate; /* share of jobs that are cancelled when their last task ends */
  guint n_unusual_requests_correct; /* requests of world_send_unusual_requests() answered as
                                       expected */
  gint64 waiting_checked_at_us;     /* time of the last check by world_check_waiting() */
  gint64 faults_ended_at_us;        /* when the last injected fault ended */

  /* Network faults */
  gint64 links_refused_until_us;            /* nodes refuse connections from each other */
  gboolean node_ends_leave_half_open_links; /* when a node ends, links to it still appear open to
                                               the other nodes */
  guint partitioned_zone;                   /* index of the node whose zone is partitioned */
  gint64 zone_partitioned_until_us;
  double delayed_response_rate; /* share of responses that are sent 0.1 to 3.9 s after the node
                                   created them */
  double duplicate_rate;        /* share of requests of which a copy arrives late */
  double max_request_delay_s;   /* maximum additional delay of a request from a worker */

  /* Counters */
  guint n_starts;               /* tasks that started on a machine */
  guint n_stops;                /* stop commands executed by workers */
  double last_stop_grace_s;     /* time for a checkpoint that the latest stop command allowed */
  guint n_refused_no_resources; /* starts refused because the machine lacked resources */
  guint64 n_heartbeats;         /* sent by workers */
  guint n_stale_incarnations;   /* heartbeat copies that arrived after a newer incarnation began */
  guint64 n_direct_commands;    /* sent by nodes */
  guint n_delayed_commands; /* direct commands delivered after a partition or suspension ended */
  guint64 n_frames;         /* sent between nodes */
  guint64 n_frame_bytes;
  guint n_reconnects; /* links that nodes reopened */

  /* Machine groups */
  /* "machine/incarnation/sequence" of a heartbeat -> double: total cores of the tasks that the
   * responses to the heartbeat started. */
  GHashTable *cores_granted;
  guint n_moves_started;   /* group moves requested by an administrator that a node accepted */
  guint n_double_owners;   /* checks in which two nodes believed that they own a machine's group */
  gint64 unowned_since_us; /* since when some group has had no owner according to a node */
  gint64 longest_unowned_us; /* longest time without an owner after the faults ended */

  /* Defects of the nodes; tests enable the defects to show that the invariant checks detect
   * them */
  gboolean ignore_acknowledgements;    /* shard leaders count every machine as acknowledged */
  gboolean accept_duplicates;          /* nodes forget the id of each machine's latest heartbeat */
  gboolean respond_to_unacknowledging; /* nodes keep responding to machines that ignore responses */
  gboolean lease_never_expires;        /* nodes treat their node lease as valid */
  gboolean replica_never_stale;        /* nodes respond no matter how stale their replica is */
  gboolean ignore_dependencies;        /* nodes treat every dependency as done */
  gboolean ignore_ancestors;           /* nodes do not cancel dependents of a cancelled job */
  gboolean only_leader_knows_cancelled;   /* only the shard leader knows that a job is cancelled */
  gboolean forget_grants;                 /* group owners forget which resources they granted */
  gboolean ignore_group_acknowledgements; /* group owners count every machine as acknowledged */

  /* Invariant checks */
  gboolean skips_checks;          /* disables the periodic checks, for performance measurements */
  GPtrArray *violations;          /* descriptions of violated invariants */
  WorldTaskObserver observe_task; /* called for each event of a task; may be NULL */
  gpointer observer_data;
};
