/* Clocks of the running program. The simulation in the tests provides its own clocks through
 * platform/platform.h. */
#pragma once

#include "base/types.h"

/* Returns monotonic time, which never goes backwards. Values of different processes or machines
 * cannot be compared. */
MmTime mm_clock_now(void);
/* Returns wall-clock time in milliseconds since 1970, as the machine's clock is set. */
gint64 mm_clock_wall_ms(void);
