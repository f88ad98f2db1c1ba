#include "placement/placement.h"

#include "scheduler/scheduler.h"
#include "peers/peer-links.h"
#include "placement/modulo-priority.h"

#define BACKLOG_SEND_INTERVAL_MS 50
#define RELEASE_CHECK_INTERVAL_MS 100
#define BACKLOG_RESEND_INTERVAL_MS 1000
#define RANKED_TASKS_MAX 512
#define ACCELERATED_DEMAND_UNKNOWN_MS 20000
/* Idle accelerated machines are lent to other work while no accelerated work waits, but for a sixth
 * of all, four at least, which stay free for what comes. */
#define LENDING_UPDATE_INTERVAL_MS 200
#define IDLE_RESERVE_DIVISOR 6
#define IDLE_RESERVE_MIN 4

static void
pending_tasks_free(gpointer data) {
  MmPendingTasks *pending = data;

  g_array_unref(pending->ranges);
  g_free(pending);
}

MmPlacement *
mm_placement_new(MmNode *node) {
  MmPlacement *rank = g_new0(MmPlacement, 1);

  rank->node = node;
  rank->n_views = 1 + node->settings->peers->len;
  rank->lent_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  rank->views = g_new0(MmBacklogView, rank->n_views);
  for (guint i = 0; i < rank->n_views; i++) {
    rank->views[i].pending = g_ptr_array_new_with_free_func(pending_tasks_free);
    rank->views[i].reserved_machines = g_array_new(FALSE, TRUE, sizeof(MmName));
  }
  return rank;
}

void
mm_placement_free(MmPlacement *rank) {
  for (guint i = 0; i < rank->n_views; i++) {
    g_ptr_array_unref(rank->views[i].pending);
    g_array_unref(rank->views[i].reserved_machines);
  }
  g_hash_table_unref(rank->lent_machines);
  g_free(rank->views);
  g_free(rank);
}

void
mm_placement_backlog_changed(MmPlacement *rank) {
  rank->is_backlog_changed = TRUE;
}

static void
refresh_own_backlog(MmPlacement *rank) {
  MmBacklogView *own_view = &rank->views[0];

  g_ptr_array_set_size(own_view->pending, 0);
  g_array_set_size(own_view->reserved_machines, 0);
  mm_scheduler_list_backlog(rank->node->scheduler, own_view->pending, own_view->reserved_machines);
  own_view->n_pending_tasks = mm_scheduler_count_pending_tasks(rank->node->scheduler);
}

void
mm_placement_send_backlog(MmPlacement *rank, gint peer) {
  const MmBacklogView *own_view = &rank->views[0];
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
    items[i].is_first = pending->has_precedence;
    items[i].is_aged = pending->is_starving;
    list[i] = &items[i];
  }
  for (guint i = 0; i < own_view->reserved_machines->len; i++)
    reserved[i] = g_array_index(own_view->reserved_machines, MmName, i).s;
  backlog.reserved = reserved;
  backlog.n_reserved = own_view->reserved_machines->len;
  backlog.pending = list;
  backlog.n_pending = n_pending;
  backlog.unfinished = own_view->n_pending_tasks;
  frame.body_case = MM__FRAME__BODY_BACKLOG;
  frame.backlog = &backlog;
  mm_peer_links_send(rank->node->peer_links, (guint)peer, &frame);
}

void
mm_placement_tick(MmPlacement *rank) {
  MmTime now = mm_node_now(rank->node);
  gint64 announced_ms_ago = mm_time_ms_since(now, rank->announced_at);

  /* Waits grow without anything changing, so the backlog is also told again now and then. */
  if (!(rank->is_backlog_changed && announced_ms_ago >= BACKLOG_SEND_INTERVAL_MS)
      && announced_ms_ago < BACKLOG_RESEND_INTERVAL_MS)
    return;
  rank->is_backlog_changed = FALSE;
  rank->announced_at = now;
  refresh_own_backlog(rank);
  for (guint i = 1; i < rank->n_views; i++)
    mm_placement_send_backlog(rank, (gint)i - 1);
}

void
mm_placement_backlog_received(MmPlacement *rank, gint peer, const Mm__Backlog *backlog) {
  MmBacklogView *view = &rank->views[peer + 1];

  g_ptr_array_set_size(view->pending, 0);
  g_array_set_size(view->reserved_machines, 0);
  view->n_pending_tasks = backlog->unfinished;
  for (size_t i = 0; i < backlog->n_reserved; i++) {
    MmName machine = mm_name(backlog->reserved[i]);
    g_array_append_val(view->reserved_machines, machine);
  }
  for (size_t i = 0; i < backlog->n_pending; i++) {
    const Mm__PendingTasks *item = backlog->pending[i];
    MmPendingTasks *pending = g_new0(MmPendingTasks, 1);
    MmJob *job = mm_job_table_find(rank->node->job_table, item->job);
    pending->job = mm_name(item->job);
    pending->has_precedence = item->is_first;
    pending->is_starving = item->is_aged;
    if (job != NULL && job->tasks == NULL)
      job->is_starving = item->is_aged;
    pending->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
    g_array_append_vals(pending->ranges, item->ranges, (guint)(item->n_ranges & ~(size_t)1));
    g_ptr_array_add(view->pending, pending);
  }
}

void
mm_placement_remove_candidate(MmPlacement *rank, guint view, const char *job, guint number) {
  GPtrArray *pending_list = rank->views[view].pending;

  for (guint i = 0; i < pending_list->len; i++) {
    MmPendingTasks *pending = g_ptr_array_index(pending_list, i);
    if (strcmp(pending->job.s, job) != 0)
      continue;
    for (guint k = 0; k + 1 < pending->ranges->len; k += 2) {
      guint first = g_array_index(pending->ranges, guint, k);
      guint length = g_array_index(pending->ranges, guint, k + 1);
      guint rest[2] = { number + 1, first + length - number - 1 };
      if (number < first || number >= first + length)
        continue;
      g_array_index(pending->ranges, guint, k + 1) = number - first;
      if (rest[1] > 0)
        g_array_insert_vals(pending->ranges, k + 2, rest, 2);
      if (number == first)
        g_array_remove_range(pending->ranges, k, 2);
      break;
    }
    if (pending->ranges->len == 0)
      g_ptr_array_remove_index(pending_list, i);
    return;
  }
}

/* Where the job's own words allow it at all. */
gboolean
mm_placement_allows(const MmJob *job, const MmMachine *machine) {
  return mm_job_spec_allows_machine(&job->spec, &machine->type_name, &machine->zone,
                                    machine->is_spot);
}

void
mm_placement_note_accelerated_job(MmPlacement *rank, const MmJobSpec *spec) {
  if (spec->task_resources.accelerators <= 0)
    return;
  rank->has_seen_accelerated_work = TRUE;
  rank->max_accelerated_priority = MAX(rank->max_accelerated_priority, spec->priority);
  rank->accelerated_may_use_spot = rank->accelerated_may_use_spot || spec->allows_spot;
  rank->largest_accelerated_need.cores
      = MAX(rank->largest_accelerated_need.cores, spec->task_resources.cores);
  rank->largest_accelerated_need.memory_gb
      = MAX(rank->largest_accelerated_need.memory_gb, spec->task_resources.memory_gb);
}

/* What work without accelerators takes of the machine: all that is taken, less the accelerated
 * tasks. Counting reported tasks alone once let one answer fill such a machine with services for
 * good. */
static MmResources
taken_by_other_work(const MmPlacement *rank, const MmMachine *machine, MmResources free_resources) {
  MmResources taken = mm_resources_sub(machine->type->resources, free_resources);

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *task_job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && task_job != NULL
        && task_job->spec.task_resources.accelerators > 0)
      taken = mm_resources_sub(taken, task_job->spec.task_resources);
  }
  return taken;
}

static gboolean
is_unpreemptible(const MmPlacement *rank, const MmJob *job) {
  MmPriority outranked_priority
      = rank->has_seen_accelerated_work ? rank->max_accelerated_priority : MM_PRIORITY_URGENT;

  return job->spec.task_resources.accelerators <= 0 && job->effective_priority > outranked_priority;
}

/* What accelerated work could not stop. Counting arrays as well once gave up every such machine at
 * the start of a day, and services joined them for good. */
static MmResources
taken_by_unpreemptible_work(const MmPlacement *rank, const MmMachine *machine) {
  MmResources taken = { 0 };

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *task_job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && task_job != NULL
        && is_unpreemptible(rank, task_job))
      taken = mm_resources_add(taken, task_job->spec.task_resources);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job->tasks[placed->number].state == MM_TASK_START_SENT
        && is_unpreemptible(rank, placed->job))
      taken = mm_resources_add(taken, placed->job->spec.task_resources);
  }
  return taken;
}

/* Accelerated work may come any moment at the start of a day: nothing is taken for its absence yet.
 */
static gboolean
is_demand_unknown(const MmPlacement *rank) {
  return !rank->has_seen_accelerated_work
         && mm_time_ms_since(mm_node_now(rank->node), rank->node->started_at)
                < ACCELERATED_DEMAND_UNKNOWN_MS;
}

/* Until this life of the node has seen accelerated work, a machine with any other work on it counts
 * as taken: after a restart of all nodes a second one was given up, since nothing was known of the
 * first. */
static gboolean
fits_largest_task(const MmPlacement *rank, const MmMachine *machine, MmResources taken) {
  MmResources capacity = machine->type->resources;

  if (!rank->has_seen_accelerated_work)
    return taken.cores <= MM_RESOURCES_SLACK;
  return taken.cores + rank->largest_accelerated_need.cores <= capacity.cores + MM_RESOURCES_SLACK
         && taken.memory_gb + rank->largest_accelerated_need.memory_gb
                <= capacity.memory_gb + MM_RESOURCES_SLACK;
}

static gboolean
accelerated_work_waits(const MmPlacement *rank) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(rank->views[v].pending, i);
      const MmJob *job = mm_job_table_find(rank->node->job_table, pending->job.s);
      if (job != NULL && !job->is_cancelled && job->spec.task_resources.accelerators > 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
runs_accelerated_work(const MmPlacement *rank, const MmMachine *machine) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && job != NULL
        && job->spec.task_resources.accelerators > 0)
      return TRUE;
  }
  return FALSE;
}

static gboolean
is_reserved(const MmPlacement *rank, const MmMachine *machine) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].reserved_machines->len; i++)
      if (mm_name_equal(&g_array_index(rank->views[v].reserved_machines, MmName, i), &machine->id))
        return TRUE;
  return FALSE;
}

/* Machines that accelerated work could have at once, or after stopping what they are lent to. */
static GPtrArray *
list_idle_accelerated(const MmPlacement *rank, guint *n_all) {
  const GPtrArray *order = rank->node->machine_table->sorted_machines;
  GPtrArray *idle = g_ptr_array_new();

  *n_all = 0;
  for (guint i = 0; i < order->len; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (!mm_machine_is_usable(rank->node->machine_table, machine)
        || machine->type->resources.accelerators <= 0
        || (machine->is_spot && !rank->accelerated_may_use_spot))
      continue;
    ++*n_all;
    if (!runs_accelerated_work(rank, machine) && !is_reserved(rank, machine)
        && fits_largest_task(rank, machine, taken_by_unpreemptible_work(rank, machine)))
      g_ptr_array_add(idle, machine);
  }
  return idle;
}

/* The first of them by name are kept, so that all nodes lend the same ones. */
static void
choose_lent_machines(MmPlacement *rank) {
  MmTime now = mm_node_now(rank->node);
  g_autoptr(GPtrArray) idle = NULL;
  guint n_all;

  if (mm_time_ms_since(now, rank->lent_chosen_at) < LENDING_UPDATE_INTERVAL_MS)
    return;
  rank->lent_chosen_at = now;
  g_hash_table_remove_all(rank->lent_machines);
  if (!rank->has_seen_accelerated_work || accelerated_work_waits(rank))
    return;
  idle = list_idle_accelerated(rank, &n_all);
  for (guint i = MAX(IDLE_RESERVE_MIN, n_all / IDLE_RESERVE_DIVISOR); i < idle->len; i++)
    g_hash_table_add(rank->lent_machines,
                     g_strdup(((MmMachine *)g_ptr_array_index(idle, i))->id.s));
}

MmReserveVerdict
mm_placement_check_reserve(MmPlacement *rank, const MmJob *job, const MmMachine *machine,
                           MmResources free_resources) {
  gboolean is_released;
  MmResources taken;

  if (machine->type == NULL || machine->type->resources.accelerators <= 0
      || job->spec.task_resources.accelerators > 0)
    return MM_RESERVE_KEPT;
  if (!rank->has_seen_accelerated_work && job->spec.kind != MM_JOB_KIND_SERVICE)
    return MM_RESERVE_KEPT;
  if (rank->has_seen_accelerated_work && machine->is_spot && !rank->accelerated_may_use_spot)
    return MM_RESERVE_KEPT;
  if (is_demand_unknown(rank))
    return MM_RESERVE_WOULD_SHRINK;
  taken = taken_by_other_work(rank, machine, free_resources);
  if (fits_largest_task(rank, machine, mm_resources_add(taken, job->spec.task_resources)))
    return MM_RESERVE_KEPT;
  is_released = !fits_largest_task(rank, machine, taken_by_unpreemptible_work(rank, machine));
  /* Beside services that keep accelerated work away, other work takes nothing from it, and can be
   * stopped for it. A quarter of all room once lay idle there while arrays waited for minutes. */
  if (job->effective_priority <= rank->max_accelerated_priority) {
    if (job->effective_priority == rank->max_accelerated_priority)
      return MM_RESERVE_FORBIDDEN;
    choose_lent_machines(rank);
    return is_released || g_hash_table_contains(rank->lent_machines, machine->id.s)
               ? MM_RESERVE_RELEASED
               : MM_RESERVE_FORBIDDEN;
  }
  return is_released ? MM_RESERVE_RELEASED : MM_RESERVE_WOULD_SHRINK;
}

gboolean
mm_placement_may_release_machine(MmPlacement *rank, const MmMachine *machine) {
  const MmMachineTable *machine_table = rank->node->machine_table;
  const MmMachine *next = NULL;
  guint n_accelerated = 0, n_released = 0;
  MmTime now = mm_node_now(rank->node);

  if (mm_time_ms_since(now, rank->release_checked_at) < RELEASE_CHECK_INTERVAL_MS)
    return machine == rank->next_released_machine;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    const MmMachine *other = g_ptr_array_index(machine_table->sorted_machines, i);
    if (!mm_machine_is_usable(machine_table, other) || other->type->resources.accelerators <= 0
        || (other->is_spot && !rank->accelerated_may_use_spot))
      continue;
    n_accelerated++;
    if (!fits_largest_task(rank, other, taken_by_unpreemptible_work(rank, other)))
      n_released++;
    else if (next == NULL)
      next = other;
  }
  rank->release_checked_at = now;
  rank->next_released_machine
      = !is_demand_unknown(rank) && n_accelerated >= 2 && n_released < MAX(n_accelerated / 3, 1)
            ? next
            : NULL;
  return next != NULL && machine == rank->next_released_machine;
}

typedef struct {
  gint64 priority;
  guint view;
  MmTaskRef task;
} RankedTask;

static gint
highest_first(gconstpointer a, gconstpointer b) {
  const RankedTask *x = a, *y = b;

  return x->priority > y->priority ? -1 : x->priority < y->priority;
}

static gboolean
was_requested(const GArray *requested, const MmName *job, guint number) {
  for (guint i = 0; i < requested->len; i++) {
    const MmTaskRef *task = &g_array_index(requested, MmTaskRef, i);
    if (task->number == number && mm_name_equal(&task->job, job))
      return TRUE;
  }
  return FALSE;
}

/* Gangs are listed for the fleet; their places are the owner's to pick. */
static const MmJob *
fitting_job(MmPlacement *rank, const MmPendingTasks *pending, const MmMachine *machine,
            MmResources free_resources) {
  const MmJob *job = mm_job_table_find(rank->node->job_table, pending->job.s);

  return job != NULL && !job->is_cancelled && !mm_job_is_gang(job) && pending->ranges->len > 0
                 && mm_resources_fits(job->spec.task_resources, free_resources)
                 && mm_placement_allows(job, machine)
                 && mm_placement_check_reserve(rank, job, machine, free_resources)
                        != MM_RESERVE_FORBIDDEN
             ? job
             : NULL;
}

static gboolean
choose_precedence(MmPlacement *rank, const MmMachine *machine, MmResources free_resources,
                  const GArray *requested, guint exhausted_views, MmPlacementChoice *choice) {
  const MmJob *best = NULL;

  for (guint v = 0; v < rank->n_views; v++) {
    for (guint i = 0; i < rank->views[v].pending->len && !(exhausted_views >> v & 1); i++) {
      const MmPendingTasks *pending = g_ptr_array_index(rank->views[v].pending, i);
      const MmJob *job
          = pending->has_precedence ? fitting_job(rank, pending, machine, free_resources) : NULL;
      guint number;
      if (job == NULL)
        continue;
      number = g_array_index(pending->ranges, guint, 0);
      if (was_requested(requested, &pending->job, number)
          || (best != NULL && mm_scheduler_compare_urgency(&job, &best) >= 0))
        continue;
      best = job;
      choice->view = (gint)v;
      choice->n_tasks = 1;
      choice->tasks[0] = (MmTaskRef){ pending->job, number };
    }
  }
  return best != NULL;
}

/* The ordinary path: the machine's own order of the tasks whose image it caches. */
static gboolean
choose_cached(MmPlacement *rank, const MmMachine *machine, MmResources free_resources,
              const GArray *requested, MmPlacementChoice *choice) {
  g_autoptr(GArray) ranked = g_array_new(FALSE, FALSE, sizeof(RankedTask));
  guint n_machines = rank->node->machine_table->sorted_machines->len, n_controllers = rank->n_views,
        n_tasks = 0, task_offset = 0;
  guint max_tasks
      = MIN((guint)rank->node->operators->candidates_per_request, MM_PLACEMENT_CANDIDATES_MAX);

  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(rank->views[v].pending, i);
      for (guint k = 0; k + 1 < pending->ranges->len; k += 2)
        n_tasks += g_array_index(pending->ranges, guint, k + 1);
    }
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(rank->views[v].pending, i);
      const MmJob *job = fitting_job(rank, pending, machine, free_resources);
      gboolean cached = job != NULL && mm_machine_has_cached_image(machine, &job->spec.image);
      for (guint k = 0; k + 1 < pending->ranges->len; k += 2) {
        guint first = g_array_index(pending->ranges, guint, k);
        guint length = g_array_index(pending->ranges, guint, k + 1);
        for (guint t = 0; t < length && cached && ranked->len < RANKED_TASKS_MAX; t++) {
          RankedTask item
              = { mm_modulo_priority(task_offset + t + 1, n_tasks, machine->sorted_index + 1,
                                     n_machines, n_controllers),
                  v,
                  { pending->job, first + t } };
          if (!was_requested(requested, &pending->job, first + t))
            g_array_append_val(ranked, item);
        }
        task_offset += length;
      }
    }
  if (ranked->len == 0)
    return FALSE;
  g_array_sort(ranked, highest_first);
  choice->view = (gint)g_array_index(ranked, RankedTask, 0).view;
  for (guint i = 0; i < ranked->len && choice->n_tasks < max_tasks; i++) {
    const RankedTask *item = &g_array_index(ranked, RankedTask, i);
    if ((gint)item->view == choice->view)
      choice->tasks[choice->n_tasks++] = item->task;
  }
  return TRUE;
}

/* A pull: an owner drawn in proportion to what it has unfinished. */
static gboolean
choose_pull(MmPlacement *rank, const MmMachine *machine, MmResources free_resources,
            guint exhausted_views, MmPlacementChoice *choice) {
  g_autofree guint *weights = g_new0(guint, rank->n_views);
  guint total = 0, drawn;

  for (guint v = 0; v < rank->n_views; v++) {
    gboolean has_fitting_job = FALSE;
    for (guint i = 0;
         i < rank->views[v].pending->len && !has_fitting_job && !(exhausted_views >> v & 1); i++)
      has_fitting_job
          = fitting_job(rank, g_ptr_array_index(rank->views[v].pending, i), machine, free_resources)
            != NULL;
    weights[v] = has_fitting_job ? MAX(rank->views[v].n_pending_tasks, 1) : 0;
    total += weights[v];
  }
  if (total == 0)
    return FALSE;
  drawn = (guint)g_rand_int_range(rank->node->rand, 0, (gint32)MIN(total, G_MAXINT32));
  choice->view = 0;
  while (drawn >= weights[choice->view])
    drawn -= weights[choice->view++];
  choice->is_pull = TRUE;
  return TRUE;
}

/* A gang's place is given out whatever else there is: without this, a machine with nothing else to
 * ask for would never fetch the start that is reserved for it. */
static gboolean
choose_reserved(MmPlacement *rank, const MmMachine *machine, guint exhausted_views,
                MmPlacementChoice *choice) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].reserved_machines->len && !(exhausted_views >> v & 1); i++)
      if (mm_name_equal(&g_array_index(rank->views[v].reserved_machines, MmName, i),
                        &machine->id)) {
        choice->view = (gint)v;
        return TRUE;
      }
  return FALSE;
}

MmPlacementChoice
mm_placement_choose(MmPlacement *rank, const MmMachine *machine, MmResources free_resources,
                    const GArray *requested, guint exhausted_views) {
  MmPlacementChoice choice = { .view = -1 };

  if (rank->is_backlog_changed && rank->views[0].pending->len == 0)
    refresh_own_backlog(rank);
  if (!choose_reserved(rank, machine, exhausted_views, &choice)
      && !choose_precedence(rank, machine, free_resources, requested, exhausted_views, &choice)
      && !choose_cached(rank, machine, free_resources, requested, &choice))
    choose_pull(rank, machine, free_resources, exhausted_views, &choice);
  return choice;
}
