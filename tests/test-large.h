/* Fixtures of the tests with hundreds of machines or more. */
#pragma once

#include "world/world.h"

/* The zones of the simulated world. */
extern const char *const zones[3];

/* Submits services that occupy half of `machines` machines, then arrays that need more than the
 * remaining resources. Runs the world for `seconds` and checks the invariants every second. */
void run_under_load(World *world, guint machines, guint seconds);

/* Tests in test-large-capacity.c. */

void test_large_jobs_do_not_starve(void);
void test_array_without_machines_hides_no_job(void);
void test_accelerated_machines_with_services_are_filled(void);
void test_oversized_fleet_survives_faults(void);
