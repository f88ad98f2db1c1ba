/* The clocks of the running program; the simulated world has its own, see platform/platform.h. */
#pragma once

#include "base/types.h"

/* Steady time: never set back, of no use across processes or machines. */
MmTime mm_clock_now(void);
/* Milliseconds since 1970, as the machine's clock is set. */
gint64 mm_clock_wall_ms(void);
