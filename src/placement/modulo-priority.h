/* The modulo-based priority of ScalScheduling (equation 1 of the paper). It orders the pending
 * tasks differently for each machine, so that machines rarely request the same task. */
#pragma once

#include <glib.h>

/* Returns the priority of a task for a machine; the task with the highest priority is requested
 * first. `task` and `machine` are numbered from 1. A number of tasks, machines or controllers that
 * is 0 counts as 1. */
gint64 mm_modulo_priority(guint task, guint n_tasks, guint machine, guint n_machines,
                          guint n_controllers);
