/* Fixtures for the tests of machine groups in the simulated world. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)
#define GROUPS 16

/* Returns a world with nine machines in 16 groups. The world is not started yet, so that the
 * caller can set the world's parameters. Free with world_free() or world_finish_run(). */
World *new_sharing_world(guint32 seed);
/* Submits an array of six short tasks with one core each, of a random team. */
void submit_small_job(World *world);
/* Runs the world for `seconds`; each second, submits a job with submit_small_job() and checks the
 * invariants. */
void run_under_load(World *world, guint seconds);
/* Checks that all nodes agree on the owner of each group, and that the owner itself holds the group
 * under a valid lease. */
void assert_groups_are_owned(const World *world);

/* Defined in test-sharing-world-moves.c. */

/* Adds the tests of a single move, without a fault and with each of the faults. */
void add_move_cases(void);

/* Defined in test-sharing-world-settings.c. */

void test_sharing_turns_on_and_off(void);
void test_other_group_count_is_inactive(void);
void test_limits_fall_while_groups_move(void);
void test_gang_runs_while_groups_move(void);
void test_weights_decide_shares(void);
