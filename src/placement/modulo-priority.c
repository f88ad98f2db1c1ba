#include "placement/modulo-priority.h"

/* prio(z) = b * ((y + n - i) % n) + (x + b - i % m) % b, with x = ceil(z / n),
 * y = (z - 1) % n + 1 and b = ceil(f / n). As z runs over n consecutive tasks, y takes each
 * value once, so machines start at different places of the order; x and i % m shift the start
 * within a block, which spreads the requests over controllers. i % m may exceed x + b when m > b:
 * the remainder is taken as non-negative, where C would give a negative one. */
gint64
mm_modulo_priority(guint task, guint n_tasks, guint machine, guint n_machines,
                   guint n_controllers) {
  gint64 round_number, slot, n_rounds, rotated_round;

  n_machines = MAX(n_machines, 1);
  n_controllers = MAX(n_controllers, 1);
  n_tasks = MAX(n_tasks, 1);
  round_number = ((gint64)task + n_machines - 1) / n_machines;
  slot = ((gint64)task - 1) % n_machines + 1;
  n_rounds = ((gint64)n_tasks + n_machines - 1) / n_machines;
  rotated_round = (round_number + n_rounds - (gint64)(machine % n_controllers)) % n_rounds;
  if (rotated_round < 0)
    rotated_round += n_rounds;
  return n_rounds * ((slot + n_machines - (gint64)(machine % n_machines)) % n_machines)
         + rotated_round;
}
