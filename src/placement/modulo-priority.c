#include "placement/modulo-priority.h"

/* Equation 1: prio(z) = b * ((y + n - i) % n) + (x + b - i % m) % b, with x = ceil(z / n),
 * y = (z - 1) % n + 1 and b = ceil(f / n). Here z is the task, f the number of tasks, i the
 * machine, n the number of machines and m the number of controllers; x is `round_number`, y is
 * `slot` and b is `n_rounds`.
 *
 * Over n consecutive tasks z, y takes each of its values once, so that machines start at different
 * positions of the order. x and i % m shift the start within a block, which spreads the requests
 * over the controllers. If m > b, i % m may exceed x + b. The remainder is then taken as
 * non-negative, where C would yield a negative one. */
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
