/* Discrete-event simulation of a cluster: the key-value store, the cloud, workers, users and the
 * network that connects these to each other and to the nodes under test. One event queue drives the
 * whole simulation.
 *
 * A world with the same seed and the same calls always runs the same way, because all random
 * numbers come from the seed. The invariants are checked periodically and at certain events. A
 * violation is stored as text in World.violations. The test fails when it calls
 * world_assert_invariants() after a violation. */
#pragma once

#include "world/types.h"

typedef void (*WorldCallback)(gpointer data);

/* Life cycle (world.c) */

/* Creates a world. The caller may set parameters before world_start(). Free with world_free(). */
World *world_new(guint32 seed);
/* Starts the nodes one after the other, and the periodic invariant checks. */
void world_start(World *world);
/* Ends all nodes and machines, runs the simulation until the pending requests have finished, and
 * frees the world. */
void world_free(World *world);
/* Appends the description of a violated invariant to World.violations. */
void world_report_violation(World *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Calls g_test_init() and applies the log level in the environment variable LOG_LEVEL, if set. */
void world_test_init(int *argc, char ***argv);

/* Event queue (event-queue.c) */

/* Runs the events of the next `seconds` of simulated time. */
void world_run(World *world, double seconds);
/* Schedules a callback for `at_us`, or for the current time if `at_us` is in the past. Events of
 * the same time run in the order in which they were scheduled. */
void world_schedule(World *world, gint64 at_us, WorldCallback callback, gpointer data);
/* Draws a random number, uniformly distributed in [from, to). */
double world_uniform(World *world, double from, double to);
/* Draws the transit time of a message, in microseconds. */
gint64 world_network_delay(World *world);

/* Node processes (nodes.c) */

/* Returns the settings of the node for the world's parameters. Free with mm_settings_free(). */
MmSettings *world_node_settings(World *world, guint index);
/* Kills the node's process and starts a new one `down_s` seconds later. */
void world_kill_node(World *world, guint index, double down_s);
/* Suspends the node's process. Messages to the process are delivered in order when the
 * process resumes. */
void world_suspend_node(World *world, guint index, double seconds);

/* Network partitions (network.c) */

/* Partitions the node from the key-value store, the cloud and the other nodes, but not from its
 * workers. `delays_messages`: see WorldNode.partition_delays_messages. */
void world_partition_node(World *world, guint index, double seconds, gboolean delays_messages);
/* Partitions the node's zone from everything else. The node and the workers in the zone still reach
 * each other. */
void world_partition_zone(World *world, guint index, double seconds, gboolean delays_messages);
/* Returns whether a partition separates the node from the machine. */
gboolean world_is_partitioned(const World *world, guint index, const WorldMachine *machine);
/* Closes the links between all nodes and refuses new links for `seconds`. */
void world_refuse_links(World *world, double seconds);

/* Requests to nodes (requests-to-nodes.c) */

/* Sends a request to a node, from a worker (`sender`) or a user (`sender` is NULL). Takes ownership
 * of the body. `callback` is called once, with status 0 if no response arrived within
 * `timeout_us`. */
void world_send_request(World *world, guint index, WorldMachine *sender, const char *method,
                        const char *path, MmJson *body, gint64 timeout_us,
                        MmResponseCallback callback, gpointer data);
/* MmResponseCallback that stores the status in the int to which `data` points. */
void world_record_status(gpointer data, int status, MmJson *body);

/* Key-value store (kv-store.c) */

void world_kv_init(World *world);
void world_kv_free(World *world);
/* Executes a request other than a watch immediately and returns the status. The caller owns
 * `response`. */
int world_kv_handle(World *world, const char *method, const char *path, const MmJson *body,
                    MmJson **response);
/* Makes the store respond with 503 to all nodes for `seconds`. No lease expires during the outage.
 * When the outage ends, each lease has its full time to live. */
void world_kv_outage(World *world, double seconds);
/* Adds a watch (kv-watches.c). Calls `callback` once, with the changes after the revision that
 * the query part of `path` gives. If the watch times out, the callback gets no changes. */
void world_kv_add_watch(World *world, guint node, const char *path, MmResponseCallback callback,
                        gpointer data);

/* Defective nodes (faulty-nodes.c) */

/* Applies the defects enabled in the world to the node. Called before each of the node's ticks. */
void world_make_node_faulty(const World *world, MmNode *node, MmTime now);

/* Random load and faults (fault-injection.c) */

/* Returns a randomly selected job. */
WorldJob *world_any_job(World *world);
/* Injects a random fault of a node, a machine, the key-value store or the links. Most faults last
 * for several seconds. */
void world_inject_random_fault(World *world);
/* Generates the random load at the start of the given second of a test run: a job every third
 * second, occasionally a cancellation, and after the first ten seconds a fault in about one second
 * of seven. */
void world_add_random_activity(World *world, guint second);
/* Returns the index of the running node that leads the most shards. */
guint world_node_leading_most_shards(World *world);
/* Sends unusual user requests: the submission of a job that fits no machine, submissions that each
 * lack one field, the repeated submission of each accepted job, the cancellation of each finished
 * job, and requests about a job that does not exist. An unexpected response violates an invariant.
 * An expected response is counted. Status 503 or a missing response is neither a violation nor
 * counted. */
void world_send_unusual_requests(World *world);
/* Returns the number of tasks that are still on machines although the cancellation of their job was
 * confirmed to its user. */
guint world_count_cancelled_tasks(const World *world);

/* Adds nine machines, some of them of type "big", in three zones. */
void world_add_nine_machines(World *world);
/* Ends a test run: turns off late transactions, cancels all services, runs for 200 s, asserts that
 * all jobs have finished and no invariant was violated, and frees the world. */
void world_finish_run(World *world);

/* Checks of the service that users get (service-checks.c) */

/* Checks jobs that wait after the faults have ended. Reports a violation if a job has been waiting
 * for 90 s although a suitable machine has free resources and the job's team is below its limit.
 * Gangs and jobs that must run in one zone or in several zones are not checked, because they can
 * start only if all the machines that they need are free at once. */
void world_check_waiting(World *world);
/* Checks the jobs of each team, the jobs of each kind and the largest jobs. Counts only jobs that
 * were accepted, were not cancelled and have no unfinished dependencies. Reports a violation if
 * less than half of the counted jobs of a team, of a kind or of the largest size have started. Also
 * reports a violation if one of the largest jobs started more than four minutes after it became
 * ready. */
void world_check_served(World *world);

/* Jobs with dependencies (pipelines.c) */

/* Submits a job that depends on the jobs in `dependencies`. Each dependency must have been accepted
 * before. Takes ownership of `overrides`. */
WorldJob *world_submit_dependent(World *world, MmJson *overrides, double run_s,
                                 WorldJob *const *dependencies, guint n_dependencies);
/* Returns whether all dependencies of the job are actually done. */
gboolean world_job_is_ready(const WorldJob *job);
/* Returns whether a user has requested the cancellation of the job or of one of its direct or
 * indirect dependencies. */
gboolean world_job_may_be_cancelled(const WorldJob *job);
/* Returns the earliest time at which a cancellation of a direct or indirect dependency of the job
 * was confirmed. If the job was submitted later than that, returns the time of the submission.
 * Returns 0 if no cancellation was confirmed. */
gint64 world_job_ancestor_cancelled_us(const WorldJob *job);
/* Sets `ready_at_us` of jobs that have become ready. */
void world_record_ready_jobs(World *world);

/* Upgrades (upgrade.c) */

/* Changes the request to the request that a node of the old release would have sent. */
void world_downgrade_request(const World *world, guint node, MmJson *request);
/* Kills the node and restarts it with the new release `down_s` seconds later. */
void world_upgrade_node(World *world, guint index, double down_s);
/* Puts the announced, lower limits of the key-value store into effect. */
void world_lower_limits(World *world);
#define WORLD_NEXT_VALUE_BYTES 2048
#define WORLD_NEXT_TXN_OPS 4
#define WORLD_NEXT_WRITE_RPS 15.0

/* Machine groups (sharing.c) */

/* Reports a violation if two nodes grant resources of the same machine. After the faults have
 * ended, also reports a violation if a group has had no owner for too long. */
void world_check_sharing(World *world);
/* Checks the start commands in a node's response to a heartbeat. All tasks that are started by
 * responses to the same heartbeat must fit the resources that were free on the machine when the
 * heartbeat was sent. Responses to copies of the heartbeat count too. */
void world_check_heartbeat_response(World *world, guint node, const MmJson *heartbeat,
                                    const MmJson *response);
/* Sends an administrator's request to move a group. The node that receives the request, the group
 * and the target node are random. */
void world_random_move(World *world);
void world_move_group(World *world, guint via_node, guint group, guint target);
/* Returns the index of the node that owns the group according to `node`, or WORLD_NODES if the
 * group has no owner. */
guint world_group_owner(const World *world, guint node, guint group);
/* Returns the group of the machine. */
guint world_group_of_machine(const World *world, const WorldMachine *machine);

/* Format of the stored state (formats.c) */

/* Writes the active format to the key-value store; NULL deletes the key. Takes ownership of the
 * value. */
void world_set_format(World *world, MmJson *value);
/* Checks a write by a node. Reports a violation if the node does not support the active format
 * although it has had enough time to learn the active format. */
void world_check_write(const World *world, guint node);

/* Cloud (cloud.c) */

/* Executes a request to the cloud and returns the status. The caller owns `response`. */
int world_cloud_handle(World *world, const char *method, const char *path, const MmJson *body,
                       MmJson **response);
/* Adds a machine whose worker starts after `boot_s` seconds. A few machines never start. */
WorldMachine *world_add_machine(World *world, const char *type, const char *zone, gboolean spot,
                                double boot_s);
/* Adds `n` machines that are not spot machines and start after 0.1 s, distributed evenly over the
 * first `n_zones` zones. */
void world_add_machines(World *world, guint n, const char *type, guint n_zones);
/* Ends the machine's worker and starts it again `down_s` seconds later, with the same machine id, a
 * new incarnation and no tasks. */
void world_restart_machine(World *world, WorldMachine *machine, double down_s);
/* Ends the machine permanently; the cloud lists it as failed. */
void world_kill_machine(World *world, WorldMachine *machine);

/* Workers (worker.c) */

/* Starts the worker; `data` is the WorldMachine. */
void world_machine_boot(gpointer data);
/* Returns the machine's status as a heartbeat with the next sequence number. The caller owns the
 * heartbeat. */
MmJson *world_machine_heartbeat(WorldMachine *machine);
/* Executes a direct command and returns the status. The caller owns `response`. */
int world_machine_handle_direct(WorldMachine *machine, const MmJson *body, MmJson **response);
WorldMachine *world_find_machine_by_address(World *world, const char *address);
/* Ends all tasks on the machine. */
void world_machine_clear_tasks(WorldMachine *machine);

/* Users (users.c) */

/* Returns overrides for world_submit() with a random kind, priority, team, image, number of tasks
 * and placement. */
MmJson *world_random_job_body(World *world);
/* Submits a job. Repeats the submission until a node confirms the job, and polls the job's state
 * from then on. Takes ownership of `overrides`, the fields of the request that replace the
 * defaults. */
WorldJob *world_submit(World *world, MmJson *overrides, double run_s);
/* Requests the cancellation of the job. Repeats the request until the cancellation is confirmed. */
void world_cancel(WorldJob *job);
WorldJob *world_find_job(World *world, const char *id);

/* Invariants (invariants.c) */

/* Checks a task that starts on a machine: no other attempt of the task runs, the dependencies of
 * its job are done, and the machine meets the placement constraints of its job. */
void world_check_start(World *world, const WorldMachine *machine, const WorldTask *task);
/* Checks what must hold at any time: team limits, cancellations, owners of groups, and responses to
 * users. */
void world_check_invariants(World *world);
/* Fails the test if an invariant was violated, and prints each violation. */
void world_assert_invariants(const World *world);
/* Fails the test if there is an unfinished job, and prints each such job. A job is finished when a
 * response has reported it to its user as done or cancelled. */
void world_assert_all_jobs_finished(const World *world);
/* Returns the number of running tasks of the job on machines other than `except`, which may be
 * NULL. */
guint world_count_running(const World *world, const WorldJob *job, const WorldMachine *except);
static inline WorldMachine *
world_machine_at(const World *world, guint index) {
  return g_ptr_array_index(world->machines, index);
}
static inline WorldJob *
world_job_at(const World *world, guint index) {
  return g_ptr_array_index(world->jobs, index);
}
/* Returns whether the task has started on its machine and not ended. */
static inline gboolean
world_task_is_on_machine(const WorldTask *task) {
  return task->state == MM_REPORTED_WAITING_FOR_GANG || task->state == MM_REPORTED_RUNNING
         || task->state == MM_REPORTED_CHECKPOINTING;
}
