/* Fixture for the tests of the shard leader. */
#pragma once

#include "scheduler/scheduler.h"
#include "world/world.h"

/* A world with one job of team-0 and two big machines. The workers of the machines are suspended as
 * soon as the nodes know them; therefore only the test requests starts for them. Free with
 * world_free(f.world). */
typedef struct {
  World *world;
  MmScheduler *scheduler; /* of the node that leads the job's shard */
  MmJob *job;
  MmMachine *machines[2]; /* entries of that node's machine table */
} SchedulerFixture;

SchedulerFixture scheduler_fixture(guint tasks);

/* Defined in test-scheduler-heartbeats.c. */

void test_newer_attempt_wins(void);
void test_job_waits_where_it_may_have_started(void);
void test_silent_idle_machine_is_returned(void);
void test_late_copies_prove_nothing(void);
void test_unregistered_machine_is_verified_by_term(void);

/* Defined in test-scheduler-preemption.c. */

void test_quota_is_reclaimed_from_surplus_only(void);
void test_only_critical_work_gives_no_time_to_save(void);
void test_normal_work_preempts_low_work(void);
void test_gang_starts_on_machines_of_its_leader(void);
void test_idle_accelerators_are_lent_and_reclaimed(void);
