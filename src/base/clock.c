#include "base/clock.h"

MmTime
mm_clock_now(void) {
  return (MmTime){ g_get_monotonic_time() };
}

gint64
mm_clock_wall_ms(void) {
  return g_get_real_time() / 1000;
}
