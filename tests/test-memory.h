/* Fixtures of the tests of what the nodes hold in memory. */
#pragma once

#include "world/world.h"

/* The most tasks that the protocol allows in a job. */
#define LARGEST_ARRAY 100000

/* Returns a started world with small machines and a limit of 48 cores a team. */
World *memory_world(guint32 seed);

/* Tests in test-memory-bounds.c. */

void test_results_that_are_not_stored_take_slots(void);
void test_images_without_size_are_bounded(void);
void test_job_classes_are_bounded(void);
void test_missed_changes_are_read_in_pages(void);
void test_jobs_without_room_are_retried(void);
void test_estimate_covers_the_heap(void);
