/* Fixtures and scenarios of the tests in which two faults meet. Each scenario injects the faults
 * into a world of nine small machines and returns how often they met: 0 means that the scenario has
 * shown nothing. What all scenarios must keep is checked by test-concurrent-faults.c. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* Submits `n` jobs of that kind and number of tasks, of each team in turn. */
void submit_jobs(World *world, guint n, const char *kind, guint tasks, double run_s);
/* Users of all jobs request their cancellation, of those that were not before. */
void cancel_all_jobs(World *world);
/* How many jobs have this as their latest answer. */
guint count_jobs_seen_as(const World *world, WorldUserView view);
/* How many machines (of the zone, NULL: of any) have lost a lease. */
guint count_lost_leases(const World *world, const char *zone);
/* The highest term that a node knows. */
guint64 newest_term(const World *world);

/* Injects a fault into the machine until then. */
typedef void (*MachineFault)(WorldMachine *machine, gint64 until_us);
/* Injects it into at most `n_most` machines that have tasks, for so long; returns into how many. */
guint on_machines_with_tasks(World *world, guint n_most, MachineFault inject, double seconds);
/* Its network is interrupted; messages are delivered afterwards. */
void interrupt_network(WorldMachine *machine, gint64 until_us);
void suspend_worker(WorldMachine *machine, gint64 until_us);
/* Answers and direct commands to it are lost. */
void lose_inbound(WorldMachine *machine, gint64 until_us);
/* Its heartbeats are lost. */
void lose_outbound(WorldMachine *machine, gint64 until_us);
/* The key-value store refuses this node only. */
void refuse_kv_requests(World *world, guint node, double seconds);

/* ---- test-concurrent-faults-network.c ---- */

guint commands_are_delayed(World *world);
guint zone_is_cut_with_its_node(World *world);
guint node_restarts_while_zone_is_cut(World *world);
guint stale_heartbeats_arrive(World *world);
guint heartbeats_are_lost_commands_arrive(World *world);
guint delayed_heartbeat_reaches_new_leader(World *world);
guint autoscaler_is_cut_from_workers(World *world);

/* ---- test-concurrent-faults-failover.c ---- */

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

/* ---- test-concurrent-faults-cancellation.c ---- */

guint jobs_are_cancelled_as_they_end(World *world);
guint outage_follows_cancellation(World *world);
guint outage_follows_cancellation_without_leader(World *world);
guint leader_is_cut_off_from_cancellation(World *world);
guint store_is_slow_then_refuses(World *world);
guint machines_hang_as_jobs_are_cancelled(World *world);
guint stale_node_misses_cancellation(World *world);
