#include "placement/placement.h"

MmPendingTasks *
mm_pending_tasks_new(const char *job, gboolean has_precedence, gboolean is_starving) {
  MmPendingTasks *pending = g_new0(MmPendingTasks, 1);

  pending->job = mm_name(job);
  pending->has_precedence = has_precedence;
  pending->is_starving = is_starving;
  pending->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
  return pending;
}

void
mm_pending_tasks_free(MmPendingTasks *pending) {
  g_array_unref(pending->ranges);
  g_free(pending);
}

MmPlacement *
mm_placement_new(MmNode *node) {
  MmPlacement *placement = g_new0(MmPlacement, 1);

  placement->node = node;
  placement->n_views = 1 + node->settings->peers->len;
  placement->lent_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  placement->views = g_new0(MmBacklogView, placement->n_views);
  for (guint i = 0; i < placement->n_views; i++) {
    placement->views[i].pending
        = g_ptr_array_new_with_free_func((GDestroyNotify)mm_pending_tasks_free);
    placement->views[i].reserved_machines = g_array_new(FALSE, TRUE, sizeof(MmName));
  }
  return placement;
}

void
mm_placement_free(MmPlacement *placement) {
  for (guint i = 0; i < placement->n_views; i++) {
    g_ptr_array_unref(placement->views[i].pending);
    g_array_unref(placement->views[i].reserved_machines);
  }
  g_hash_table_unref(placement->lent_machines);
  g_free(placement->views);
  g_free(placement);
}
