#include "rank/modulo.h"

/* prio(z) = b * ((y + n - i) % n) + (x + b - i % m) % b, with x = ceil(z / n),
 * y = (z - 1) % n + 1 and b = ceil(f / n). As z runs over n consecutive tasks, y takes each
 * value once, so machines start at different places of the order; x and i % m shift the start
 * within a block, which spreads the requests over controllers. i % m may exceed x + b when m > b:
 * the remainder is taken as non-negative, where C would give a negative one. */
gint64
mm_modulo_priority(guint z, guint f, guint i, guint n, guint m) {
  gint64 x, y, b, inner;

  n = MAX(n, 1);
  m = MAX(m, 1);
  f = MAX(f, 1);
  x = ((gint64)z + n - 1) / n;
  y = ((gint64)z - 1) % n + 1;
  b = ((gint64)f + n - 1) / n;
  inner = (x + b - (gint64)(i % m)) % b;
  if (inner < 0)
    inner += b;
  return b * ((y + n - (gint64)(i % n)) % n) + inner;
}
