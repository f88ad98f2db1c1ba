#include "placement/candidates.h"

#include "placement/accelerator-reserve.h"
#include "placement/backlog.h"
#include "placement/modulo-priority.h"
#include "scheduler/urgency.h"

/* Limits the cost of a choice: at most this many tasks are ranked. The tasks are taken from one
 * view after the other, and most urgent first within a view. */
#define RANKED_TASKS_MAX 512

typedef struct {
  gint64 priority; /* see mm_modulo_priority */
  guint view;
  MmTaskRef task;
} RankedTask;

/* The state of ranking the announced tasks for one machine. */
typedef struct {
  const GArray *requested; /* MmTaskRef of tasks to leave out */
  guint n_tasks;           /* number of pending tasks in all views */
  guint n_tasks_before;    /* how many of these tasks have already been processed */
  guint machine_index;     /* MmMachine.sorted_index */
  guint n_machines;
  guint n_controllers;
  GArray *tasks; /* RankedTask; borrowed */
} Ranking;

gboolean
mm_placement_job_allows_machine(const MmJob *job, const MmMachine *machine) {
  return mm_job_spec_allows_machine(&job->spec, &machine->type_name, &machine->zone,
                                    machine->is_spot);
}

/* Sorts by priority, highest first. */
static gint
compare_ranked_tasks(gconstpointer a, gconstpointer b) {
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

/* Returns the job if its tasks may be requested for the machine, else NULL. Tasks of gangs are
 * never requested, because the leader of their shard chooses their machines. The backlog lists them
 * for the autoscaler only. */
static const MmJob *
find_startable_job(MmPlacement *placement, const MmPendingTasks *pending, const MmMachine *machine,
                   MmResources free_resources) {
  const MmJob *job = mm_job_table_find(placement->node->job_table, pending->job.s);

  return job != NULL && !job->is_cancelled && !mm_job_is_gang(job) && pending->ranges->len > 0
                 && mm_resources_fits(job->spec.task_resources, free_resources)
                 && mm_placement_job_allows_machine(job, machine)
                 && mm_placement_check_reserve(placement, job, machine, free_resources)
                        != MM_RESERVE_FORBIDDEN
             ? job
             : NULL;
}

/* Chooses a task of the most urgent job among the jobs that have precedence. Returns FALSE if there
 * is no such job. */
static gboolean
choose_precedence(MmPlacement *placement, const MmMachine *machine, MmResources free_resources,
                  const GArray *requested, guint exhausted_views, MmPlacementChoice *choice) {
  const MmJob *best = NULL;

  for (guint v = 0; v < placement->n_views; v++) {
    for (guint i = 0; i < placement->views[v].pending->len && !(exhausted_views >> v & 1); i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[v].pending, i);
      const MmJob *job = pending->has_precedence
                             ? find_startable_job(placement, pending, machine, free_resources)
                             : NULL;
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

static guint
count_announced_tasks(const MmPlacement *placement) {
  guint n_tasks = 0;

  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[v].pending, i);
      for (guint k = 0; k + 1 < pending->ranges->len; k += 2)
        n_tasks += g_array_index(pending->ranges, guint, k + 1);
    }
  return n_tasks;
}

/* If `is_cached` is TRUE, adds to the ranking those pending tasks of the job that were not
 * requested yet. `is_cached` means that the machine may run the job's tasks and has their image.
 * Whatever the value of `is_cached`, adds the number of the job's pending tasks to
 * `n_tasks_before`. */
static void
rank_pending_tasks(Ranking *ranking, guint view, const MmPendingTasks *pending,
                   gboolean is_cached) {
  for (guint k = 0; k + 1 < pending->ranges->len; k += 2) {
    guint first = g_array_index(pending->ranges, guint, k);
    guint length = g_array_index(pending->ranges, guint, k + 1);
    for (guint t = 0; t < length && is_cached && ranking->tasks->len < RANKED_TASKS_MAX; t++) {
      RankedTask item = { mm_modulo_priority(ranking->n_tasks_before + t + 1, ranking->n_tasks,
                                             ranking->machine_index + 1, ranking->n_machines,
                                             ranking->n_controllers),
                          view,
                          { pending->job, first + t } };
      if (!was_requested(ranking->requested, &pending->job, first + t))
        g_array_append_val(ranking->tasks, item);
    }
    ranking->n_tasks_before += length;
  }
}

/* Chooses the first ranked task and the next ranked tasks of the same view, up to `max_tasks` in
 * total. */
static void
take_candidates(const GArray *ranked, guint max_tasks, MmPlacementChoice *choice) {
  choice->view = (gint)g_array_index(ranked, RankedTask, 0).view;
  for (guint i = 0; i < ranked->len && choice->n_tasks < max_tasks; i++) {
    const RankedTask *item = &g_array_index(ranked, RankedTask, i);
    if ((gint)item->view == choice->view)
      choice->tasks[choice->n_tasks++] = item->task;
  }
}

/* Chooses tasks whose image is cached on the machine, in the order of mm_modulo_priority for this
 * machine. This is the common case. Returns FALSE if there are no such tasks. */
static gboolean
choose_cached(MmPlacement *placement, const MmMachine *machine, MmResources free_resources,
              const GArray *requested, MmPlacementChoice *choice) {
  const MmNode *node = placement->node;
  g_autoptr(GArray) ranked = g_array_new(FALSE, FALSE, sizeof(RankedTask));
  Ranking ranking = { .requested = requested,
                      .n_tasks = count_announced_tasks(placement),
                      .machine_index = machine->sorted_index,
                      .n_machines = node->machine_table->sorted_machines->len,
                      .n_controllers = placement->n_views,
                      .tasks = ranked };

  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[v].pending, i);
      const MmJob *job = find_startable_job(placement, pending, machine, free_resources);
      gboolean is_cached = job != NULL && mm_machine_has_cached_image(machine, &job->spec.image);
      rank_pending_tasks(&ranking, v, pending, is_cached);
    }
  if (ranked->len == 0)
    return FALSE;
  g_array_sort(ranked, compare_ranked_tasks);
  take_candidates(ranked,
                  MIN((guint)node->operators->candidates_per_request, MM_PLACEMENT_CANDIDATES_MAX),
                  choice);
  return TRUE;
}

/* Chooses a node at random, weighted by its number of pending tasks, to request any task from that
 * node (a pull). Returns FALSE if no node has a job that fits. */
static gboolean
choose_pull(MmPlacement *placement, const MmMachine *machine, MmResources free_resources,
            guint exhausted_views, MmPlacementChoice *choice) {
  g_autofree guint *weights = g_new0(guint, placement->n_views);
  guint total = 0, drawn;

  for (guint v = 0; v < placement->n_views; v++) {
    gboolean has_fitting_job = FALSE;
    for (guint i = 0;
         i < placement->views[v].pending->len && !has_fitting_job && !(exhausted_views >> v & 1);
         i++)
      has_fitting_job
          = find_startable_job(placement, g_ptr_array_index(placement->views[v].pending, i),
                               machine, free_resources)
            != NULL;
    weights[v] = has_fitting_job ? MAX(placement->views[v].n_pending_tasks, 1) : 0;
    total += weights[v];
  }
  if (total == 0)
    return FALSE;
  drawn = (guint)g_rand_int_range(placement->node->rand, 0, (gint32)MIN(total, G_MAXINT32));
  choice->view = MM_PLACEMENT_VIEW_OWN;
  while (drawn >= weights[choice->view])
    drawn -= weights[choice->view++];
  choice->is_pull = TRUE;
  return TRUE;
}

/* Chooses the node that has reserved resources of the machine for a task of a gang. This request
 * does not depend on other pending tasks. Otherwise, a machine for which no other task can be
 * requested would never get the start of the gang's task. */
static gboolean
choose_reserved(MmPlacement *placement, const MmMachine *machine, guint exhausted_views,
                MmPlacementChoice *choice) {
  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].reserved_machines->len && !(exhausted_views >> v & 1);
         i++)
      if (mm_name_equal(&g_array_index(placement->views[v].reserved_machines, MmName, i),
                        &machine->id)) {
        choice->view = (gint)v;
        return TRUE;
      }
  return FALSE;
}

MmPlacementChoice
mm_placement_choose(MmPlacement *placement, const MmMachine *machine, MmResources free_resources,
                    const GArray *requested, guint exhausted_views) {
  MmPlacementChoice choice = { .view = MM_PLACEMENT_VIEW_NONE };

  if (placement->is_backlog_changed && placement->views[MM_PLACEMENT_VIEW_OWN].pending->len == 0)
    mm_placement_refresh_own_backlog(placement);
  if (!choose_reserved(placement, machine, exhausted_views, &choice)
      && !choose_precedence(placement, machine, free_resources, requested, exhausted_views, &choice)
      && !choose_cached(placement, machine, free_resources, requested, &choice))
    choose_pull(placement, machine, free_resources, exhausted_views, &choice);
  return choice;
}

void
mm_placement_remove_candidate(MmPlacement *placement, guint view, const char *job, guint number) {
  GPtrArray *pending_list = placement->views[view].pending;

  for (guint i = 0; i < pending_list->len; i++) {
    MmPendingTasks *pending = g_ptr_array_index(pending_list, i);
    if (strcmp(pending->job.s, job) != 0)
      continue;
    for (guint k = 0; k + 1 < pending->ranges->len; k += 2) {
      guint first = g_array_index(pending->ranges, guint, k);
      guint length = g_array_index(pending->ranges, guint, k + 1);
      guint tail[2] = { number + 1, first + length - number - 1 };
      if (number < first || number >= first + length)
        continue;
      g_array_index(pending->ranges, guint, k + 1) = number - first;
      if (tail[1] > 0)
        g_array_insert_vals(pending->ranges, k + 2, tail, 2);
      if (number == first)
        g_array_remove_range(pending->ranges, k, 2);
      break;
    }
    if (pending->ranges->len == 0)
      g_ptr_array_remove_index(pending_list, i);
    return;
  }
}
