/* Fixtures of the tests of jobs with dependencies in the simulated world. */
#pragma once

#include "world/world.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

/* Nine small machines on which no task fails; the nodes are up. */
World *new_pipeline_world(guint32 seed);
/* Overrides for world_submit(): an array of that team. */
json_t *team_job_body(guint team, guint tasks);
WorldJob *submit_first(World *world, guint team, guint tasks, double run_s);
/* Submits an array that depends on one job. */
WorldJob *submit_after(World *world, guint team, guint tasks, double run_s, WorldJob *dependency);
/* Fails the test if the job is not accepted within 30 s. */
void run_until_accepted(World *world, const WorldJob *job);
/* Fails the test if the user is not answered so within `most_s`. */
void run_until_seen(World *world, const WorldJob *job, WorldUserView view, double most_s);
/* Checks the invariants and frees the world. */
void finish_world(World *world);

/* ---- test-pipelines-faults.c ---- */

void test_leader_ends_after_done_is_written(void);
void test_cancellation_survives_outage_and_restart(void);
void test_dependent_is_submitted_during_cancellation(void);
void test_finished_dependencies_are_looked_up(void);
void test_stale_replica_decides_nothing(void);
void test_cancellation_races_the_last_task(void);
void test_pipeline_survives_restarts(void);

/* ---- test-pipelines-days.c ---- */

/* Adds random days: six, or MM_PIPELINE_DAYS. */
void add_random_days(void);
void test_ignored_dependencies_are_found(void);
void test_uncancelled_dependents_are_found(void);
