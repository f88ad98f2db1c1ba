/* Fixtures and scenarios of the tests with concurrent faults. Each scenario injects its faults into
 * a simulated world of nine small machines and returns how often the faults overlapped. A result of
 * 0 means that the scenario has tested nothing. test-concurrent-faults.c checks what must hold
 * after every scenario. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* Submits `n` jobs of the kind in total; four teams submit them in turn. Each job has `tasks`
 * tasks, which run for about `run_s` seconds. */
void submit_jobs(World *world, guint n, const char *kind, guint tasks, double run_s);
/* Requests the cancellation of each job whose cancellation has not been requested before. */
void cancel_all_jobs(World *world);
/* Returns the number of jobs whose user last saw them in this state. */
guint count_jobs_seen_as(const World *world, WorldUserView view);
/* Returns the number of machines in the zone that have lost a lease. If `zone` is NULL, machines of
 * all zones count. */
guint count_machines_with_lost_lease(const World *world, const char *zone);
/* Returns the highest term that any running node knows. */
guint64 highest_known_term(const World *world);

/* Injects into the machine a fault that lasts until `until_us`. */
typedef void (*MachineFault)(WorldMachine *machine, gint64 until_us);
/* Injects a fault of the given duration into at most `max_machines` machines that have tasks.
 * Returns the number of machines that it was injected into. */
guint inject_into_machines_with_tasks(World *world, guint max_machines, MachineFault inject,
                                      double seconds);
/* Partitions the machine from the nodes; messages are delivered when the partition ends. */
void partition_machine(WorldMachine *machine, gint64 until_us);
void suspend_worker(WorldMachine *machine, gint64 until_us);
/* Drops the responses and direct commands that are sent to the machine. */
void lose_inbound(WorldMachine *machine, gint64 until_us);
/* Drops the machine's heartbeats; direct commands still arrive. */
void lose_outbound(WorldMachine *machine, gint64 until_us);
/* Makes the key-value store answer 503 to this node only, for `seconds`. */
void refuse_kv_requests(World *world, guint node, double seconds);

/* Scenarios in test-concurrent-faults-network.c. */

guint commands_are_delayed(World *world);
guint zone_is_partitioned_with_its_node(World *world);
guint node_restarts_while_zone_is_partitioned(World *world);
guint stale_heartbeats_arrive(World *world);
guint heartbeats_are_lost_commands_arrive(World *world);
guint delayed_heartbeat_reaches_new_leader(World *world);
guint autoscaler_is_partitioned_from_workers(World *world);

/* Scenarios in test-concurrent-faults-failover.c. */

guint all_nodes_end_and_one_returns(World *world);
guint transactions_are_applied_late(World *world);
guint lease_announcements_are_applied_late(World *world);
guint tasks_end_far_apart_between_failovers(World *world);
guint zone_bound_jobs_lose_machines(World *world);
guint more_work_than_resources(World *world);
guint leader_ends_while_machines_are_unreached(World *world);
guint ten_failovers_in_two_minutes(World *world);
guint all_nodes_are_down_beyond_a_lease(World *world);
guint team_is_at_its_limit_during_failover(World *world);

/* Scenarios in test-concurrent-faults-cancellation.c. */

guint jobs_are_cancelled_as_they_end(World *world);
guint outage_follows_cancellation(World *world);
guint outage_follows_cancellation_without_leader(World *world);
guint leader_is_partitioned_during_cancellation(World *world);
guint store_is_slow_then_refuses(World *world);
guint workers_are_suspended_as_jobs_are_cancelled(World *world);
guint stale_node_misses_cancellation(World *world);
