/* Fixtures of the tests with hundreds of machines, and more. */
#pragma once

#include "world/world.h"

/* The zones of the simulated world. */
extern const char *const zones[3];

/* Services on half of the machines, then arrays that more than fill the rest; checks the
 * invariants each second. */
void run_under_load(World *world, guint machines, guint seconds);

/* ---- test-large-capacity.c ---- */

void test_large_jobs_do_not_starve(void);
void test_accelerated_machines_with_services_are_filled(void);
void test_oversized_fleet_survives_faults(void);
