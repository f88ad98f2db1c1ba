/* A simulated world: the key-value store, the cloud, workers, users and the network between them
 * and the nodes under test, on one queue of events.
 *
 * All draws come from one seed, so a world with the same seed and the same calls runs the same way.
 * After each event that changes what runs, the invariants are checked; a broken one is kept as text
 * in `violations` and fails the test at its end. */
#pragma once

#include "world/types.h"

typedef void (*WorldCallback)(gpointer data);

/* ---- world.c: the life of a world ---- */

/* The caller may set parameters before world_start(). Free with world_free(). */
World *world_new(guint32 seed);
/* Boots the nodes one after the other. */
void world_start(World *world);
/* Ends all nodes and machines, lets the requests under way come to their end and frees everything.
 */
void world_free(World *world);
/* Adds a broken invariant to `violations`. */
void world_report_violation(World *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* g_test_init(), and the log level that LOG_LEVEL names, if it does. */
void world_test_init(int *argc, char ***argv);

/* ---- event-queue.c ---- */

/* Runs the events of this much simulated time. */
void world_run(World *world, double seconds);
/* Calls back at `at_us`, or now if that is in the past. Events of one instant keep their order. */
void world_schedule(World *world, gint64 at_us, WorldCallback callback, gpointer data);
/* One draw, uniform in [from, to). */
double world_uniform(World *world, double from, double to);
/* How long a message is under way, in microseconds; a draw. */
gint64 world_network_delay(World *world);

/* ---- nodes.c: processes and what befalls them ---- */

/* Settings of the node, as the world's parameters say. Free with mm_settings_free(). */
MmSettings *world_node_settings(World *world, guint index);
/* Ends the process; it is started again `down_s` later. */
void world_kill_node(World *world, guint index, double down_s);
/* Suspends the process; what reaches it meanwhile waits, in order. */
void world_freeze_node(World *world, guint index, double seconds);

/* ---- network.c: cuts ---- */

/* The node loses the key-value store, the cloud and the other nodes, but not its workers. */
void world_cut_node(World *world, guint index, double seconds, gboolean delays_messages);
/* The node's zone is cut off from everything; inside, the node and the zone's workers go on. */
void world_cut_zone(World *world, guint index, double seconds, gboolean delays_messages);
/* Whether a cut lies between the node and the machine. */
gboolean world_is_partitioned(const World *world, guint index, const WorldMachine *machine);
/* The links between all nodes end, and new ones are refused for that long. */
void world_refuse_links(World *world, double seconds);

/* ---- requests-to-nodes.c ---- */

/* Sends a request to a node as workers (`sender`) and users (NULL) do. Takes the body. `callback`
 * is called once, with status 0 if no answer came within `timeout_us`. */
void world_send_request(World *world, guint index, WorldMachine *sender, const char *method,
                        const char *path, json_t *body, gint64 timeout_us,
                        MmResponseCallback callback, gpointer data);
/* MmResponseCallback for requests of which only the status matters: `data` is an int. */
void world_record_status(gpointer data, int status, json_t *body);

/* ---- kv-store.c: the key-value store ---- */

void world_kv_init(World *world);
void world_kv_free(World *world);
/* Executes a request other than a watch at once; returns the status. `response` is the caller's. */
int world_kv_handle(World *world, const char *method, const char *path, const json_t *body,
                    json_t **response);
/* It answers 503 to all nodes; leases do not expire meanwhile and have their full time after it. */
void world_kv_outage(World *world, double seconds);
/* (kv-watches.c) Calls back once, with the changes after the revision in `path` or with none at its
 * time-out. */
void world_kv_add_watch(World *world, guint node, const char *path, MmResponseCallback callback,
                        gpointer data);

/* ---- faulty-nodes.c ---- */

/* Injects into the node, before each of its ticks, the faults that the world's switches name. */
void world_make_node_faulty(const World *world, MmNode *node, MmTime now);

/* ---- fault-injection.c ---- */

/* A job drawn at random. */
WorldJob *world_any_job(World *world);
/* A fault of a node, a machine, the key-value store or the links, drawn at random, for seconds. */
void world_inject_random_fault(World *world);
/* What a random day has at the start of this second: a job on each third, a cancellation now and
 * then, after ten seconds a fault on one of seven. */
void world_start_random_second(World *world, guint second);
/* Index of the node that leads most shards, of those that are up. */
guint world_node_leading_most_shards(World *world);
/* Users send a job that fits no machine, one without each of its fields, and a repetition of each
 * that is accepted; they cancel what is done and ask for what never was. Wrong answers break
 * invariants, right ones are counted; 503 is neither. */
void world_send_odd_requests(World *world);
/* Tasks on machines whose jobs' cancellation was confirmed to their users. */
guint world_count_cancelled_tasks(const World *world);

/* Nine machines, some big, in three zones. */
void world_add_nine_machines(World *world);
/* Faults have ended: services are cancelled, all work gets done, the invariants held to the end.
 * Frees the world. */
void world_finish_day(World *world);

/* ---- service-checks.c: who waits and who is served ---- */

/* After faults have ended, no job waits 90 s while a machine that fits has free resources and its
 * team is under its limit. Not checked for gangs and for jobs bound to one zone or spread over
 * several: whether they can start depends on all their places. */
void world_check_waiting(World *world);
/* Of the jobs that were not cancelled at least half are served: of each team, of each kind and of
 * the largest; the largest begin within four minutes. */
void world_check_served(World *world);

/* ---- pipelines.c: jobs with dependencies ---- */

/* Submits a job that depends on others, each accepted before. Takes `overrides`. */
WorldJob *world_submit_dependent(World *world, json_t *overrides, double run_s,
                                 WorldJob *const *dependencies, guint n_dependencies);
/* Whether all its dependencies are done, in truth. */
gboolean world_job_is_ready(const WorldJob *job);
/* Whether its user, or that of a job that it depends on, directly or not, requested its end. */
gboolean world_job_may_be_cancelled(const WorldJob *job);
/* When a cancellation that this job's follows from was first confirmed; 0: none was. */
gint64 world_job_ancestor_cancelled_us(const WorldJob *job);
/* Sets `ready_at_us` of jobs that have become ready. */
void world_record_ready_jobs(World *world);

/* ---- upgrade.c ---- */

/* Changes the request into what a node of the old release would have sent. */
void world_downgrade_request(const World *world, guint node, json_t *request);
/* Ends the node; it comes back with the new release. */
void world_upgrade_node(World *world, guint index, double down_s);
/* The limits of the key-value store that were announced for later hold from now on. */
void world_lower_limits(World *world);
#define WORLD_NEXT_VALUE_BYTES 2048
#define WORLD_NEXT_TXN_OPS 4
#define WORLD_NEXT_WRITE_RPS 15.0

/* ---- sharing.c: machine groups ---- */

/* No machine has two nodes that grant its resources, and, after faults have ended, no group is long
 * without an owner. */
void world_check_sharing(World *world);
/* A node answers a heartbeat with these commands: all starts in answers to one heartbeat, its
 * copies included, fit what the machine had free when it sent it. */
void world_check_heartbeat_response(World *world, guint node, const json_t *heartbeat,
                                    const json_t *response);
/* An administrator asks a node to move a group to a node; all three are drawn at random. */
void world_random_move(World *world);
void world_move_group(World *world, guint via_node, guint group, guint target);
/* Index of the node that owns the group, as `node` knows; WORLD_NODES: it has no owner. */
guint world_group_owner(const World *world, guint node, guint group);
/* The group of a machine. */
guint world_group_of_machine(const World *world, const WorldMachine *machine);

/* ---- formats.c ---- */

/* Somebody sets the active format; NULL removes the key. Takes the value. */
void world_set_format(World *world, json_t *value);
/* A node writes: one that does not support the active format, and has had time to see it, breaks an
 * invariant. */
void world_check_write(const World *world, guint node);

/* ---- cloud.c ---- */

/* Executes a request to the cloud; returns the status. `response` is the caller's. */
int world_cloud_handle(World *world, const char *method, const char *path, const json_t *body,
                       json_t **response);
WorldMachine *world_add_machine(World *world, const char *type, const char *zone, gboolean spot,
                                double boot_s);
/* `n` machines that boot at once, in the first `n_zones` zones in turn; none is a spot machine. */
void world_add_machines(World *world, guint n, const char *type, guint n_zones);
/* Its worker ends and is back shortly, under the same name, with a new incarnation and no tasks. */
void world_restart_machine(World *world, WorldMachine *machine, double down_s);
/* The machine ends for good; the cloud lists it as failed. */
void world_kill_machine(World *world, WorldMachine *machine);

/* ---- worker.c ---- */

/* The worker starts; `data` is the WorldMachine. */
void world_machine_boot(gpointer data);
/* The machine's status, as the next heartbeat in order. The caller's. */
json_t *world_machine_heartbeat(WorldMachine *machine);
/* Executes a direct command; returns the status. `response` is the caller's. */
int world_machine_handle_direct(WorldMachine *machine, const json_t *body, json_t **response);
WorldMachine *world_find_machine_by_address(World *world, const char *address);
/* All tasks on the machine end. */
void world_machine_clear_tasks(WorldMachine *machine);

/* ---- users.c ---- */

/* Overrides for world_submit(): any kind, priority, team, image and place. */
json_t *world_random_job_body(World *world);
/* A user submits a job until it is answered, and polls it from then on. Takes `overrides`, fields
 * of the request that replace the defaults. */
WorldJob *world_submit(World *world, json_t *overrides, double run_s);
/* Its user requests the cancellation until it is confirmed. */
void world_cancel(WorldJob *job);
WorldJob *world_find_job(World *world, const char *id);

/* ---- invariants.c ---- */

/* A task starts on a machine: no other attempt of it runs, and it is in a place that it may be. */
void world_check_start(World *world, const WorldMachine *machine, const WorldTask *task);
/* What must hold at any time: limits, cancellations, owners of groups, answers to users. */
void world_check_invariants(World *world);
/* Fails the test, and says which, when an invariant was broken. */
void world_assert_invariants(const World *world);
/* Fails the test, and says which, when some job's user was not answered that it is done or
 * cancelled. */
void world_assert_all_jobs_finished(const World *world);
/* How many tasks of the job run, on other machines than `except` (may be NULL). */
guint world_count_running(const World *world, const WorldJob *job, const WorldMachine *except);
static inline WorldMachine *
world_machine_at(const World *world, guint index) {
  return g_ptr_array_index(world->machines, index);
}
static inline WorldJob *
world_job_at(const World *world, guint index) {
  return g_ptr_array_index(world->jobs, index);
}
/* Whether it has begun and not ended. */
static inline gboolean
world_task_is_on_machine(const WorldTask *task) {
  return task->state == MM_REPORTED_WAITING_FOR_GANG || task->state == MM_REPORTED_RUNNING
         || task->state == MM_REPORTED_CHECKPOINTING;
}
