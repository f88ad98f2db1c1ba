/* Steady time for the running program. */
#pragma once

#include "base/types.h"

MmTime mm_clock_now(void);
gint64 mm_clock_wall_ms(void);
