/* Random days of the simulated world. */
#pragma once

/* Adds the random days 1 to 16, and days with all faults from day 1001 on. The environment variable
 * MM_WORLD_DAYS sets the number of days of both kinds. */
void add_random_days(void);
