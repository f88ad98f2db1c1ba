#include "placement/backlog.h"

#include "peers/peer-links.h"
#include "scheduler/pending-tasks.h"

/* Shortest interval between two announcements, and interval of announcements while nothing
 * changes. */
#define BACKLOG_SEND_INTERVAL_MS 50
#define BACKLOG_RESEND_INTERVAL_MS 1000

void
mm_placement_backlog_changed(MmPlacement *placement) {
  placement->is_backlog_changed = TRUE;
}

void
mm_placement_refresh_own_backlog(MmPlacement *placement) {
  MmBacklogView *own_view = &placement->views[MM_PLACEMENT_VIEW_OWN];

  g_ptr_array_set_size(own_view->pending, 0);
  g_array_set_size(own_view->reserved_machines, 0);
  mm_scheduler_list_backlog(placement->node->scheduler, own_view->pending,
                            own_view->reserved_machines);
  own_view->n_pending_tasks = mm_scheduler_count_pending_tasks(placement->node->scheduler);
}

void
mm_placement_send_backlog(MmPlacement *placement, gint peer) {
  const MmBacklogView *own_view = &placement->views[MM_PLACEMENT_VIEW_OWN];
  guint n_pending = own_view->pending->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Backlog backlog = MM__BACKLOG__INIT;
  g_autofree Mm__PendingTasks *items = g_new(Mm__PendingTasks, MAX(n_pending, 1));
  g_autofree Mm__PendingTasks **list = g_new(Mm__PendingTasks *, MAX(n_pending, 1));
  g_autofree char **reserved = g_new(char *, MAX(own_view->reserved_machines->len, 1));

  for (guint i = 0; i < n_pending; i++) {
    MmPendingTasks *pending = g_ptr_array_index(own_view->pending, i);
    mm__pending_tasks__init(&items[i]);
    items[i].job = pending->job.s;
    items[i].ranges = (guint32 *)pending->ranges->data;
    items[i].n_ranges = pending->ranges->len;
    items[i].has_precedence = pending->has_precedence;
    items[i].is_starving = pending->is_starving;
    list[i] = &items[i];
  }
  for (guint i = 0; i < own_view->reserved_machines->len; i++)
    reserved[i] = g_array_index(own_view->reserved_machines, MmName, i).s;
  backlog.reserved = reserved;
  backlog.n_reserved = own_view->reserved_machines->len;
  backlog.pending = list;
  backlog.n_pending = n_pending;
  backlog.n_pending_tasks = own_view->n_pending_tasks;
  frame.body_case = MM__FRAME__BODY_BACKLOG;
  frame.backlog = &backlog;
  mm_peer_links_send(placement->node->peer_links, (guint)peer, &frame);
}

void
mm_placement_tick(MmPlacement *placement) {
  MmTime now = mm_node_now(placement->node);
  gint64 announced_ms_ago = mm_time_ms_since(now, placement->announced_at);

  /* The backlog is announced at intervals even if it is not marked as changed. The precedence of
   * jobs depends on how long they have waited, and may have changed. */
  if (!(placement->is_backlog_changed && announced_ms_ago >= BACKLOG_SEND_INTERVAL_MS)
      && announced_ms_ago < BACKLOG_RESEND_INTERVAL_MS)
    return;
  placement->is_backlog_changed = FALSE;
  placement->announced_at = now;
  mm_placement_refresh_own_backlog(placement);
  for (guint i = 1; i < placement->n_views; i++)
    mm_placement_send_backlog(placement, (gint)i - 1);
}

void
mm_placement_backlog_received(MmPlacement *placement, gint peer, const Mm__Backlog *backlog) {
  MmBacklogView *view = &placement->views[MM_PLACEMENT_VIEW_OF_PEER(peer)];

  g_ptr_array_set_size(view->pending, 0);
  g_array_set_size(view->reserved_machines, 0);
  view->n_pending_tasks = backlog->n_pending_tasks;
  for (size_t i = 0; i < backlog->n_reserved; i++) {
    MmName machine = mm_name(backlog->reserved[i]);
    g_array_append_val(view->reserved_machines, machine);
  }
  for (size_t i = 0; i < backlog->n_pending; i++) {
    const Mm__PendingTasks *item = backlog->pending[i];
    MmPendingTasks *pending
        = mm_pending_tasks_new(item->job, item->has_precedence, item->is_starving);
    MmJob *job = mm_job_table_find(placement->node->job_table, item->job);
    if (job != NULL && job->tasks == NULL)
      job->is_starving = item->is_starving;
    g_array_append_vals(pending->ranges, item->ranges, (guint)(item->n_ranges & ~(size_t)1));
    g_ptr_array_add(view->pending, pending);
  }
}

gboolean
mm_placement_is_reserved(const MmPlacement *placement, const MmMachine *machine) {
  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].reserved_machines->len; i++)
      if (mm_name_equal(&g_array_index(placement->views[v].reserved_machines, MmName, i),
                        &machine->id))
        return TRUE;
  return FALSE;
}
