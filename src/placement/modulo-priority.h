/* The modulo-based priority of ScalScheduling (equation 1 of the paper). It gives each machine an
 * order of the pending tasks of its own, so that machines rarely request the same one. */
#pragma once

#include <glib.h>

/* The priority of a task for a machine; the task with the highest is requested first. Tasks and
 * machines count from 1; a total of 0 counts as 1. */
gint64 mm_modulo_priority(guint task, guint n_tasks, guint machine, guint n_machines,
                          guint n_controllers);
