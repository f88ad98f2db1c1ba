/* Fixtures for the tests of jobs with dependencies (pipelines) in the simulated world. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* Returns a started world with nine small machines on which no task fails; all nodes are up. Free
 * with world_free() or check_and_free_world(). */
World *new_pipeline_world(guint32 seed);
/* Returns overrides for world_submit() that describe an array with `tasks` tasks. N in the name of
 * its team, `team-N`, is `team`. The caller owns the overrides. */
MmJson *team_job_body(guint team, guint tasks);
WorldJob *submit_array(World *world, guint team, guint tasks, double run_s);
/* Submits an array that depends on one job. */
WorldJob *submit_dependent_array(World *world, guint team, guint tasks, double run_s,
                                 WorldJob *dependency);
/* Runs the world until the job is accepted; fails the test if that takes more than 30 s. */
void run_until_accepted(World *world, const WorldJob *job);
/* Runs the world until the latest answer to the job's user is `view`. Fails the test if that takes
 * more than `timeout_s`. */
void run_until_user_sees(World *world, const WorldJob *job, WorldUserView view, double timeout_s);
/* Checks the invariants and frees the world. */
void check_and_free_world(World *world);

/* Defined in test-pipelines-faults.c. */

void test_leader_ends_after_done_is_written(void);
void test_cancellation_survives_outage_and_restart(void);
void test_dependent_is_submitted_during_cancellation(void);
void test_finished_dependencies_are_looked_up(void);
void test_stale_replica_decides_nothing(void);
void test_cancellation_races_the_last_task(void);
void test_pipeline_survives_restarts(void);

/* Defined in test-pipelines-days.c. */

/* Adds the random days: six, or the number in the environment variable MM_PIPELINE_DAYS. */
void add_random_days(void);
void test_ignored_dependencies_are_found(void);
void test_uncancelled_dependents_are_found(void);
