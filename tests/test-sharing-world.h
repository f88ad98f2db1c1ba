/* Fixtures of the tests of machine groups in the simulated world. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)
#define GROUPS 16

/* Nine machines in 16 groups; not started yet. */
World *new_sharing_world(guint32 seed);
/* Submits an array of six short tasks with one core each, of any team. */
void submit_small_job(World *world);
/* Submits such a job each second, and checks the invariants. */
void run_under_load(World *world, guint seconds);
/* All nodes agree on an owner of each group, and it grants. */
void assert_groups_are_owned(const World *world);

/* ---- test-sharing-world-moves.c ---- */

/* Adds the tests of one move, undisturbed and with each fault. */
void add_move_cases(void);

/* ---- test-sharing-world-settings.c ---- */

void test_sharing_turns_on_and_off(void);
void test_other_group_count_is_inactive(void);
void test_limits_fall_while_groups_move(void);
void test_gang_runs_while_groups_move(void);
void test_weights_decide_shares(void);
