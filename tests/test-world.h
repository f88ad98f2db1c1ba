/* Random days of the simulated world. */
#pragma once

/* Adds days 1 to 16 and rough days from 1001 on, or MM_WORLD_DAYS of each. */
void add_random_days(void);
