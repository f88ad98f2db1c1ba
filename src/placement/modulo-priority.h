/* The modulo-based priority of ScalScheduling, equation 1. */
#pragma once

#include <glib.h>

/* Task z (from 1) of f on machine i of n with m controllers; the highest goes first. */
gint64 mm_modulo_priority(guint task, guint n_tasks, guint machine, guint n_machines,
                          guint n_controllers);
