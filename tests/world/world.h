/* A simulated world: state service, cloud, workers, users and the network between them and the
 * nodes under test, on one queue of events. Everything is drawn from one seed. After every event
 * that changes what runs, the rules are checked. */
#pragma once

#include "machines/machine-table.h"
#include "node/node.h"

#define WORLD_NODES 3

typedef struct World World;

typedef struct {
  World *world;
  guint index;
  MmSettings *settings;
  MmOperators operators;
  MmNode *node; /* NULL while it is down */
  guint generation;
  gint64 down_until_us;
  gint64 kv_refuses_until_us;   /* the state service refuses this node alone */
  gint64 workers_cut_until_us;  /* it reaches no worker, and none reaches it */
  gint64 watches_lost_until_us; /* its watches get no answer, its other requests do */
  gint64 cut_until_us; /* neither the state service, the cloud nor the other nodes are reached */
  gboolean
      cut_delays_messages; /* what is sent meanwhile is held and delivered late, else it is lost */
  gint64 frozen_until_us;  /* it stands still, while its clocks run on and its sockets fill */
  gboolean half_open[WORLD_NODES]; /* its link to that node leads nowhere and looks open */
  double clock_rate;
  guint64 highest_format;  /* that it knows; 0: as the program does */
  gboolean is_old_version; /* it speaks and stores as the version before dependencies and smaller
                              limits did */
} WorldNode;

typedef enum {
  USER_SEES_NOTHING,
  USER_SEES_ACCEPTED,
  USER_SEES_CANCELLED,
  USER_SEES_DONE
} WorldUserView;

typedef struct WorldJob WorldJob;
struct WorldJob {
  World *world;
  char id[32];
  json_t *body;
  MmJobSpec spec;
  GPtrArray *dependencies; /* WorldJob: the jobs that it depends on */
  gint64 ready_us;         /* when the last of them was done; 0: not yet */
  WorldUserView user_view;
  gboolean was_accepted;
  gint64 cancel_seen_us; /* when it was told cancelled */
  gboolean is_cancel_requested;
  gboolean *is_task_done; /* by task, in truth */
  guint n_done;
  double run_s;
  double stagger_s;     /* so much longer runs each next task */
  guint n_starts;       /* of its tasks, ever */
  gint64 last_start_us; /* when one of them was last given to a machine */
  gint64
      waiting_since_us;  /* since when it waits though it need not, see the rules; 0: it does not */
  gint64 last_answer_us; /* when a question about it was last answered */
  gint64 submitted_us;
  gint64 first_start_us; /* when its first task was on a machine */
};

typedef struct {
  WorldJob *job;
  guint number;
  guint64 attempt;
  guint8 state; /* MmReportedState */
  guint8 cause;
  gint64 next_change_us; /* when the next change of state is due */
  double remaining_s;
  guint64 generation; /* tells an event for this task from one for an earlier one */
} WorldTask;

typedef struct {
  World *world;
  char id[32];
  char addr[64];
  char type[16];
  char zone[16];
  gboolean spot;
  gboolean is_up; /* the machine runs */
  gboolean is_gone;
  gboolean has_failed;
  gint64 hung_until_us;
  gint64 cut_until_us;           /* its network is interrupted; what is sent is held */
  gint64 inbound_lost_until_us;  /* its reports arrive, but no answer or command reaches it */
  gint64 outbound_lost_until_us; /* it reaches no node, but direct commands reach it */
  guint n_direct_while_mute;     /* direct commands that reached it then */
  gint64 duplicate_at_us;        /* of its next report a copy comes then; 0: of none */
  guint duplicate_to;            /* and to this node */
  guint64 incarnation, sequence, fencing_token;
  gint64 lease_renewed_us;
  guint node; /* the node it reports to */
  gboolean is_heartbeat_in_flight;
  guint64 heartbeat_number;
  gint64 next_heartbeat_us;
  gint64 last_heartbeat_us;
  gboolean has_changed;
  gint64 launched_us;
  gint64 boots_at_us;
  GPtrArray *tasks;    /* WorldTask */
  double failure_rate; /* share of tasks that fail on it */
  gint64 notice_us;    /* 0: none */
  gint64 reclaimed_at_us;
} WorldMachine;

typedef struct {
  json_t *value;
  guint64 version;
  guint64 lease_id;
} WorldKey;

typedef struct {
  guint64 id;
  gint64 ttl_us;
  gint64 expires_us;
} WorldLease;

/* What befalls a task on a machine. */
typedef enum {
  WORLD_TASK_STARTS, /* it is on the machine from now on */
  WORLD_TASK_ENDS,   /* by itself, by command, or with its machine: no cause is set then */
  WORLD_TASK_REFUSED /* it was not taken, see the cause */
} WorldTaskEvent;

typedef void (*WorldTaskObserver)(gpointer data, const WorldMachine *machine, const WorldTask *task,
                                  WorldTaskEvent event);
/* A request to a node, as world_ask_node has it. Takes the body. */
typedef void (*WorldRequestHandler)(World *world, guint index, const char *method, const char *path,
                                    json_t *body, gint64 timeout_us, MmResponseCallback answered,
                                    gpointer data);

struct World {
  WorldRequestHandler
      request_handler; /* nodes are processes that are reached otherwise; NULL: they live here */
  gpointer request_handler_data;
  WorldTaskObserver observe_task; /* is told of each task; may be NULL */
  gpointer observer_data;
  GRand *rand;
  gint64 now_us;
  GSequence *events;
  guint64 n_events;
  WorldNode nodes[WORLD_NODES];
  GPtrArray *ended_nodes; /* MmNode whose answers have not all come in */
  GPtrArray *retired_settings;

  /* state service */
  GTree *keys; /* path -> WorldKey */
  guint64 revision;
  GPtrArray *changes; /* json_t events with their version */
  GHashTable *leases;
  guint64 next_lease;
  GPtrArray *watches;
  gint64 outage_until_us;
  gint64 outage_from_us;
  guint64 n_writes;
  guint64 n_conflicts;       /* transactions whose conditions failed */
  guint n_stops;             /* commands to stop that workers carried out, */
  double last_stop_grace_s;  /* and the time to save that the last of them gave */
  guint64 n_direct_commands; /* direct commands sent to workers */
  guint64 n_frames;          /* between nodes, */
  guint64 n_frame_bytes;     /* and what they took */
  guint64 n_heartbeats;      /* that nodes were sent */

  /* its limits; a request beyond them is a fault of the node, which knows them */
  guint value_bytes;
  guint txn_ops;
  double write_rps; /* 0: no limit; beyond it 429 */
  double write_tokens;
  gint64 write_tokens_at_us;
  guint n_rate_limited;            /* requests that got 429 */
  gboolean has_unannounced_limits; /* nodes don't know of the limits: what is too large gets 400 */
  guint n_too_large;               /* such transactions */
  gboolean announces_next_limits;  /* new nodes' settings name the smaller limits */

  /* cloud */
  GPtrArray *machines; /* WorldMachine */
  guint next_machine;
  GHashTable *launches;
  gint64 cloud_down_until_us;

  /* users */
  GPtrArray *jobs;
  guint next_job;

  gint64 links_refused_until_us; /* nodes refuse each other's connections */
  gboolean ends_leave_half_open; /* machines of nodes that end leave their links half-open */
  guint n_reconnects;            /* links that nodes opened anew of themselves */
  gint avoided_node;             /* the node that no user asks; -1: none */
  double stall_rate;             /* share of answers that a node stands still before sending */

  guint cut_zone; /* of the node with this index */
  gint64 zone_cut_until_us;
  double duplicate_rate;      /* share of requests of which a late copy comes */
  guint n_stale_incarnations; /* copies of reports that came when a newer session had begun */
  double late_write_rate; /* share of transactions with no answer, carried out 2 to 12 s later */
  gboolean delays_acquisitions; /* the same befalls all that move parts */
  guint n_late_applied;         /* such that were applied, */
  guint n_late_rejected;        /* and such that were not */
  guint n_delayed_commands;     /* direct commands that were held up and carried out in the end */
  gint64 kv_slow_until_us;      /* the state service answers up to slow_s late, */
  double kv_slow_s;
  double slow_links_s;       /* and workers' reports and their answers take up to so much longer */
  double cancel_at_end_rate; /* share of jobs that are called off as their last task ends */
  guint n_odd_correct;       /* odd requests with the right answer */
  gint64 faults_ended_us;    /* when the last trouble ended; 0: not yet */
  gint64 waiting_checked_us; /* when waiting was last looked at */

  /* switches for the tests that break something on purpose */
  gboolean ignore_acknowledgements;     /* owners take every machine for heard */
  gboolean accept_duplicates;           /* nodes forget how new a machine's last report was */
  gboolean respond_to_unacknowledging;  /* nodes answer machines on that show no sign of hearing */
  gboolean lease_never_expires;         /* a node goes on as if its claim could not end */
  gboolean view_never_stale;            /* nodes answer on however old what they have read is */
  gboolean ignore_dependencies;         /* nodes take every dependency for done */
  gboolean ignore_ancestors;            /* nodes don't cancel what depends on a cancelled job */
  gboolean only_leader_knows_cancelled; /* only who holds a job's part knows that it is cancelled */
  gboolean forget_grants;               /* owners of groups forget what they have granted */
  gboolean ignore_group_acknowledgements; /* they take every machine for heard */
  double configured_lease_s;              /* what the nodes' settings say; 0: the truth */

  guint64 format; /* the active one, as it truly is; 0: the key is not readable */
  gint64 format_set_us;

  /* machines shared out among the nodes */
  guint groups;              /* as the operators of new lives say; 0: they are not */
  double group_hold_s;       /* likewise */
  GHashTable *cores_granted; /* "machine/session/seq" -> double: cores started in answers to it */
  guint n_moves_started;     /* by hand, as nodes answered */
  guint n_double_owners;     /* times that two nodes took themselves for a machine's owner */
  guint n_no_resources;      /* starts that a machine had no resources for */
  gint64 unowned_since_us;   /* since when, as far as some node knows, a group has no owner */
  gint64 worst_unowned_us;   /* the longest such time after troubles */

  double lease_s, heartbeat_interval_s, cancel_s;
  guint capacity;    /* machines of each type, zone and kind that the cloud has */
  double team_cores; /* each team's limit */
  guint n_starts;
  gboolean is_closing;   /* users have gone home */
  gboolean skips_checks; /* nothing is checked: where time is measured */
  GPtrArray *violations; /* broken rules, as text */
};

typedef void (*WorldCallback)(gpointer data);

World *world_new(guint32 seed);
MmSettings *world_node_settings(World *world, guint index);
void world_start(World *world);
void world_free(World *world);
void world_run(World *world, double seconds);
void world_schedule(World *world, gint64 us, WorldCallback callback, gpointer data);
gint64 world_network_delay(World *world);
double world_uniform(World *world, double from, double to);

/* A node loses the state service, the cloud and the other nodes, but not its workers. */
void world_cut_node(World *world, guint index, double seconds, gboolean delays_messages);
/* The node's zone is cut off from everything; inside, the node and the zone's workers go on. */
void world_cut_zone(World *world, guint index, double seconds, gboolean delays_messages);
/* Whether a cut lies between the node and the machine. */
gboolean world_is_partitioned(const World *world, guint index, const WorldMachine *machine);
/* The links between all nodes end, and new ones are refused. */
void world_refuse_links(World *world, double seconds);
/* The node stands still; what reaches it meanwhile waits, in order. */
void world_freeze_node(World *world, guint index, double seconds);
void world_kill_node(World *world, guint index, double down_s);
void world_report_violation(World *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* A request to a node as workers and users make it; `answered` gets status 0 when none came. */
void world_send_request(World *world, guint index, WorldMachine *sender, const char *method,
                        const char *path, json_t *body, gint64 timeout_us,
                        MmResponseCallback callback, gpointer data);

/* For requests of which only the status matters: `data` is an int. */
void world_record_status(gpointer data, int status, json_t *body);

/* kv-store.c */
void world_kv_init(World *world);
void world_kv_free(World *world);
int world_kv_handle(World *world, const char *method, const char *path, const json_t *body,
                    json_t **response);
void world_kv_outage(World *world, double seconds);
void world_kv_add_watch(World *world, guint node, const char *path, MmResponseCallback callback,
                        gpointer data);

/* faulty-nodes.c */
/* Does to the node, before each of its ticks, what the world's switches say. */
void world_make_node_faulty(const World *world, MmNode *node, MmTime now);

/* fault-injection.c */
WorldJob *world_any_job(World *world);
/* Something befalls a node, a machine, the state service or the links, for seconds. */
void world_inject_random_fault(World *world);
/* The node that holds most parts, of those that are up. */
guint world_node_leading_most_shards(World *world);
/* Users send a job that fits no machine, one without each of its fields, and a repetition of each
 * that is accepted; they cancel what is done and ask for what never was. Wrong answers break rules,
 * right ones are counted; 503 is neither. */
void world_send_odd_requests(World *world);
/* Tasks on machines whose jobs' users were told of the cancellation. */
guint world_count_cancelled_tasks(const World *world);
/* Troubles over, no job waits 90 s while a machine that fits has room and its team is under its
 * limit. Gangs, and jobs bound to one zone or spread over several, are not judged: what fits them
 * hangs on all their places. */
void world_check_waiting(World *world);
/* What users are served, those apart who called their job off: at least half of all jobs, of each
 * team and of the largest; the largest begun within four minutes. */
void world_check_served(World *world);

/* Nine machines, some big, in three zones. */
void world_add_nine_machines(World *world);
/* Troubles are over: services are called off, all work gets done, the rules have held to the end.
 * Frees the world. */
void world_finish_day(World *world);

/* pipelines.c */
/* Submits a job that depends on others, each accepted before. */
WorldJob *world_submit_dependent(World *world, json_t *overrides, double run_s,
                                 WorldJob *const *needs, guint n_dependencies);
/* Whether all that it depends on is done, in truth. */
gboolean world_job_is_ready(const WorldJob *job);
/* Whether its user, or that of a job that it depends on, directly or not, asked for its end. */
gboolean world_job_may_be_cancelled(const WorldJob *job);
/* When the first user was told of a cancellation that this job's follows from; 0: none was. */
gint64 world_job_ancestor_cancelled_us(const WorldJob *job);
/* Notes which jobs have become ready. */
void world_note_ready_jobs(World *world);

/* upgrade.c */
/* What a node of the old version would have sent: changes the request. */
void world_downgrade_request(const World *world, guint node, json_t *request);
/* Ends the node; it comes back with the new version. */
void world_upgrade_node(World *world, guint index, double down_s);
/* The state service has the limits that were announced. */
void world_lower_limits(World *world);
#define WORLD_NEXT_VALUE_BYTES 2048
#define WORLD_NEXT_TXN_OPS 4
#define WORLD_NEXT_WRITE_RPS 15.0

/* sharing.c */
/* No machine has two nodes that grant its resources, and, troubles over, no group is long without
 * an owner. */
void world_check_sharing(World *world);
/* A node answers a report with these commands: all starts in answers to one report, copies of it
 * included, fit what the machine had free when it reported. */
void world_check_heartbeat_response(World *world, guint node, const json_t *heartbeat,
                                    const json_t *response);
/* An administrator asks some node to give a group to some node. */
void world_random_move(World *world);
void world_move_group(World *world, guint via_node, guint group, guint target);
/* The index of the node that owns the group, as the node knows; WORLD_NODES: nobody does. */
guint world_group_owner(const World *world, guint node, guint group);
/* The group of a machine. */
guint world_group_of_machine(const World *world, const WorldMachine *machine);

/* formats.c */
/* Somebody sets the active format; NULL removes the key. Takes the value. */
void world_set_format(World *world, json_t *value);
/* Notes what a node writes: one that does not know the active format, and has had time to see it,
 * breaks a rule. */
void world_check_write(const World *world, guint node);

/* cloud.c */
int world_cloud_handle(World *world, const char *method, const char *path, const json_t *body,
                       json_t **response);
WorldMachine *world_add_machine(World *world, const char *type, const char *zone, gboolean spot,
                                double boot_s);
/* Its worker ends and is back shortly, under the same name, with a new session and nothing on it.
 */
void world_restart_machine(World *world, WorldMachine *machine, double down_s);
void world_kill_machine(World *world, WorldMachine *machine);

/* worker.c */
void world_machine_boot(gpointer data);
json_t *world_machine_heartbeat(WorldMachine *machine);
int world_machine_handle_direct(WorldMachine *machine, const json_t *body, json_t **response);
WorldMachine *world_find_machine_by_address(World *world, const char *addr);
void world_machine_clear_tasks(WorldMachine *machine);

/* users.c */
/* A job of any kind, priority, team, image and place. */
json_t *world_random_job(World *world);
WorldJob *world_submit(World *world, json_t *overrides, double run_s);
void world_cancel(WorldJob *job);
WorldJob *world_find_job(World *world, const char *id);

/* invariants.c */
void world_check_start(World *world, const WorldMachine *machine, const WorldTask *task);
void world_check_invariants(World *world);
/* Fails the test, and says which, when a rule was broken. */
void world_assert_invariants(const World *world);
/* Fails the test, and says which, when some job's user was not told that it is done or cancelled.
 */
void world_assert_all_jobs_over(const World *world);
/* How many tasks of the job run, on other machines than `except` (may be NULL). */
guint world_count_running(const World *world, const WorldJob *job, const WorldMachine *except);
static inline gboolean
world_task_is_on_machine(const WorldTask *task) {
  return task->state == MM_REPORTED_WAITING_FOR_GANG || task->state == MM_REPORTED_RUNNING
         || task->state == MM_REPORTED_CHECKPOINTING;
}
