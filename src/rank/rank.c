#include "rank/rank.h"

#include "owner/owner.h"
#include "peers/links.h"
#include "rank/modulo.h"

#define TELL_EVERY_MS 50
#define GIVE_UP_EVERY_MS 100
#define TELL_AGAIN_MS 1000
#define RANKED_MAX 512
#define UNKNOWN_MS 20000
/* Idle accelerated machines are lent to other work while no accelerated work waits, but for a sixth
 * of all, four at least, which stay free for what comes. */
#define LENT_EVERY_MS 200
#define KEPT_IDLE_SHARE 6
#define KEPT_IDLE_LEAST 4

static void
waiting_free(gpointer data) {
  MmWaiting *pending = data;

  g_array_unref(pending->ranges);
  g_free(pending);
}

MmRank *
mm_rank_new(MmNode *node) {
  MmRank *rank = g_new0(MmRank, 1);

  rank->node = node;
  rank->n_views = 1 + node->settings->peers->len;
  rank->lent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  rank->views = g_new0(MmBacklogView, rank->n_views);
  for (guint i = 0; i < rank->n_views; i++) {
    rank->views[i].waiting = g_ptr_array_new_with_free_func(waiting_free);
    rank->views[i].reserved = g_array_new(FALSE, TRUE, sizeof(MmName));
  }
  return rank;
}

void
mm_rank_free(MmRank *rank) {
  for (guint i = 0; i < rank->n_views; i++) {
    g_ptr_array_unref(rank->views[i].waiting);
    g_array_unref(rank->views[i].reserved);
  }
  g_hash_table_unref(rank->lent);
  g_free(rank->views);
  g_free(rank);
}

void
mm_rank_changed(MmRank *rank) {
  rank->dirty = TRUE;
}

static void
refresh(MmRank *rank) {
  MmBacklogView *own_view = &rank->views[0];

  g_ptr_array_set_size(own_view->waiting, 0);
  g_array_set_size(own_view->reserved, 0);
  mm_owner_backlog(rank->node->owner, own_view->waiting, own_view->reserved);
  own_view->unfinished = mm_owner_unfinished(rank->node->owner);
}

void
mm_rank_tell(MmRank *rank, gint peer) {
  const MmBacklogView *own_view = &rank->views[0];
  guint n_pending = own_view->waiting->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Backlog backlog = MM__BACKLOG__INIT;
  g_autofree Mm__Waiting *items = g_new(Mm__Waiting, MAX(n_pending, 1));
  g_autofree Mm__Waiting **list = g_new(Mm__Waiting *, MAX(n_pending, 1));
  g_autofree char **reserved = g_new(char *, MAX(own_view->reserved->len, 1));

  for (guint i = 0; i < n_pending; i++) {
    MmWaiting *pending = g_ptr_array_index(own_view->waiting, i);
    mm__waiting__init(&items[i]);
    items[i].job = pending->job.s;
    items[i].ranges = (guint32 *)pending->ranges->data;
    items[i].n_ranges = pending->ranges->len;
    items[i].first = pending->first;
    items[i].aged = pending->aged;
    list[i] = &items[i];
  }
  for (guint i = 0; i < own_view->reserved->len; i++)
    reserved[i] = g_array_index(own_view->reserved, MmName, i).s;
  backlog.reserved = reserved;
  backlog.n_reserved = own_view->reserved->len;
  backlog.waiting = list;
  backlog.n_waiting = n_pending;
  backlog.unfinished = own_view->unfinished;
  frame.body_case = MM__FRAME__BODY_BACKLOG;
  frame.backlog = &backlog;
  mm_links_send(rank->node->links, (guint)peer, &frame);
}

void
mm_rank_tick(MmRank *rank) {
  MmTime now = mm_node_now(rank->node);
  gint64 announced_ms_ago = mm_time_ms_since(now, rank->told);

  /* Waits grow without anything changing, so the backlog is also told again now and then. */
  if (!(rank->dirty && announced_ms_ago >= TELL_EVERY_MS) && announced_ms_ago < TELL_AGAIN_MS)
    return;
  rank->dirty = FALSE;
  rank->told = now;
  refresh(rank);
  for (guint i = 1; i < rank->n_views; i++)
    mm_rank_tell(rank, (gint)i - 1);
}

void
mm_rank_heard(MmRank *rank, gint peer, const Mm__Backlog *backlog) {
  MmBacklogView *view = &rank->views[peer + 1];

  g_ptr_array_set_size(view->waiting, 0);
  g_array_set_size(view->reserved, 0);
  view->unfinished = backlog->unfinished;
  for (size_t i = 0; i < backlog->n_reserved; i++) {
    MmName machine = mm_name(backlog->reserved[i]);
    g_array_append_val(view->reserved, machine);
  }
  for (size_t i = 0; i < backlog->n_waiting; i++) {
    const Mm__Waiting *item = backlog->waiting[i];
    MmWaiting *pending = g_new0(MmWaiting, 1);
    MmJob *job = mm_job_table_find(rank->node->job_table, item->job);
    pending->job = mm_name(item->job);
    pending->first = item->first;
    pending->aged = item->aged;
    if (job != NULL && job->tasks == NULL)
      job->aged = item->aged;
    pending->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
    g_array_append_vals(pending->ranges, item->ranges, (guint)(item->n_ranges & ~(size_t)1));
    g_ptr_array_add(view->waiting, pending);
  }
}

void
mm_rank_strike(MmRank *rank, guint view, const char *job, guint number) {
  GPtrArray *pending_list = rank->views[view].waiting;

  for (guint i = 0; i < pending_list->len; i++) {
    MmWaiting *pending = g_ptr_array_index(pending_list, i);
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
mm_rank_allows(const MmJob *job, const MmMachine *machine) {
  return mm_spec_allows(&job->spec, &machine->type_name, &machine->zone, machine->is_spot);
}

void
mm_rank_note(MmRank *rank, const MmSpec *spec) {
  if (spec->need.accelerators <= 0)
    return;
  rank->accelerated = TRUE;
  rank->accelerated_priority = MAX(rank->accelerated_priority, spec->priority);
  rank->accelerated_spot = rank->accelerated_spot || spec->spot;
  rank->largest.cores = MAX(rank->largest.cores, spec->need.cores);
  rank->largest.memory_gb = MAX(rank->largest.memory_gb, spec->need.memory_gb);
}

/* What work without accelerators takes of the machine: all that is taken, less the accelerated
 * tasks. Counting reported tasks alone once let one answer fill such a machine with services for
 * good. */
static MmResources
others_take(const MmRank *rank, const MmMachine *machine, MmResources free_resources) {
  MmResources taken = mm_resources_sub(machine->type->room, free_resources);

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *task_job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && task_job != NULL
        && task_job->spec.need.accelerators > 0)
      taken = mm_resources_sub(taken, task_job->spec.need);
  }
  return taken;
}

static gboolean
lasts(const MmRank *rank, const MmJob *job) {
  MmPriority outranked_priority = rank->accelerated ? rank->accelerated_priority : MM_URGENT;

  return job->spec.need.accelerators <= 0 && job->priority > outranked_priority;
}

/* What accelerated work could not stop. Counting arrays as well once gave up every such machine at
 * the start of a day, and services joined them for good. */
static MmResources
lasting_take(const MmRank *rank, const MmMachine *machine) {
  MmResources taken = { 0 };

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *task_job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && task_job != NULL && lasts(rank, task_job))
      taken = mm_resources_add(taken, task_job->spec.need);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job->tasks[placed->number].state == MM_TASK_ISSUED && lasts(rank, placed->job))
      taken = mm_resources_add(taken, placed->job->spec.need);
  }
  return taken;
}

/* Accelerated work may come any moment at the start of a day: nothing is taken for its absence yet.
 */
static gboolean
still_unknown(const MmRank *rank) {
  return !rank->accelerated
         && mm_time_ms_since(mm_node_now(rank->node), rank->node->started) < UNKNOWN_MS;
}

/* Until this life of the node has seen accelerated work, a machine with any other work on it counts
 * as taken: after a restart of all nodes a second one was given up, since nothing was known of the
 * first. */
static gboolean
holds_largest(const MmRank *rank, const MmMachine *machine, MmResources taken) {
  MmResources capacity = machine->type->room;

  if (!rank->accelerated)
    return taken.cores <= MM_RESOURCES_SLACK;
  return taken.cores + rank->largest.cores <= capacity.cores + MM_RESOURCES_SLACK
         && taken.memory_gb + rank->largest.memory_gb <= capacity.memory_gb + MM_RESOURCES_SLACK;
}

static gboolean
accelerated_work_waits(const MmRank *rank) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].waiting->len; i++) {
      const MmWaiting *pending = g_ptr_array_index(rank->views[v].waiting, i);
      const MmJob *job = mm_job_table_find(rank->node->job_table, pending->job.s);
      if (job != NULL && !job->cancelled && job->spec.need.accelerators > 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
runs_accelerated_work(const MmRank *rank, const MmMachine *machine) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job = mm_job_table_find(rank->node->job_table, reported->job.s);
    if (reported->state != MM_REPORTED_ENDED && job != NULL && job->spec.need.accelerators > 0)
      return TRUE;
  }
  return FALSE;
}

static gboolean
is_reserved(const MmRank *rank, const MmMachine *machine) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].reserved->len; i++)
      if (mm_name_equal(&g_array_index(rank->views[v].reserved, MmName, i), &machine->id))
        return TRUE;
  return FALSE;
}

/* Machines that accelerated work could have at once, or after stopping what they are lent to. */
static GPtrArray *
idle_accelerated(const MmRank *rank, guint *n_all) {
  const GPtrArray *order = rank->node->machine_table->sorted_machines;
  GPtrArray *idle = g_ptr_array_new();

  *n_all = 0;
  for (guint i = 0; i < order->len; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (!mm_machine_is_usable(rank->node->machine_table, machine)
        || machine->type->room.accelerators <= 0 || (machine->is_spot && !rank->accelerated_spot))
      continue;
    ++*n_all;
    if (!runs_accelerated_work(rank, machine) && !is_reserved(rank, machine)
        && holds_largest(rank, machine, lasting_take(rank, machine)))
      g_ptr_array_add(idle, machine);
  }
  return idle;
}

/* The first of them by name are kept, so that all nodes lend the same ones. */
static void
choose_lent(MmRank *rank) {
  MmTime now = mm_node_now(rank->node);
  g_autoptr(GPtrArray) idle = NULL;
  guint n_all;

  if (mm_time_ms_since(now, rank->lent_at) < LENT_EVERY_MS)
    return;
  rank->lent_at = now;
  g_hash_table_remove_all(rank->lent);
  if (!rank->accelerated || accelerated_work_waits(rank))
    return;
  idle = idle_accelerated(rank, &n_all);
  for (guint i = MAX(KEPT_IDLE_LEAST, n_all / KEPT_IDLE_SHARE); i < idle->len; i++)
    g_hash_table_add(rank->lent, g_strdup(((MmMachine *)g_ptr_array_index(idle, i))->id.s));
}

MmLeaves
mm_rank_leaves(MmRank *rank, const MmJob *job, const MmMachine *machine,
               MmResources free_resources) {
  gboolean is_released;
  MmResources taken;

  if (machine->type == NULL || machine->type->room.accelerators <= 0
      || job->spec.need.accelerators > 0)
    return MM_LEAVES;
  if (!rank->accelerated && job->spec.kind != MM_KIND_SERVICE)
    return MM_LEAVES;
  if (rank->accelerated && machine->is_spot && !rank->accelerated_spot)
    return MM_LEAVES;
  if (still_unknown(rank))
    return MM_WOULD_TAKE;
  taken = others_take(rank, machine, free_resources);
  if (holds_largest(rank, machine, mm_resources_add(taken, job->spec.need)))
    return MM_LEAVES;
  is_released = !holds_largest(rank, machine, lasting_take(rank, machine));
  /* Beside services that keep accelerated work away, other work takes nothing from it, and can be
   * stopped for it. A quarter of all room once lay idle there while arrays waited for minutes. */
  if (job->priority <= rank->accelerated_priority) {
    if (job->priority == rank->accelerated_priority)
      return MM_MAY_NOT;
    choose_lent(rank);
    return is_released || g_hash_table_contains(rank->lent, machine->id.s) ? MM_GIVEN_UP
                                                                           : MM_MAY_NOT;
  }
  return is_released ? MM_GIVEN_UP : MM_WOULD_TAKE;
}

gboolean
mm_rank_may_give_up(MmRank *rank, const MmMachine *machine) {
  const MmMachineTable *machine_table = rank->node->machine_table;
  const MmMachine *next = NULL;
  guint n_accelerated = 0, n_released = 0;
  MmTime now = mm_node_now(rank->node);

  if (mm_time_ms_since(now, rank->given_up_at) < GIVE_UP_EVERY_MS)
    return machine == rank->next_given_up;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    const MmMachine *other = g_ptr_array_index(machine_table->sorted_machines, i);
    if (!mm_machine_is_usable(machine_table, other) || other->type->room.accelerators <= 0
        || (other->is_spot && !rank->accelerated_spot))
      continue;
    n_accelerated++;
    if (!holds_largest(rank, other, lasting_take(rank, other)))
      n_released++;
    else if (next == NULL)
      next = other;
  }
  rank->given_up_at = now;
  rank->next_given_up
      = !still_unknown(rank) && n_accelerated >= 2 && n_released < MAX(n_accelerated / 3, 1) ? next
                                                                                             : NULL;
  return next != NULL && machine == rank->next_given_up;
}

typedef struct {
  gint64 priority;
  guint view;
  MmTaskRef task;
} Ranked;

static gint
highest_first(gconstpointer a, gconstpointer b) {
  const Ranked *x = a, *y = b;

  return x->priority > y->priority ? -1 : x->priority < y->priority;
}

static gboolean
was_tried(const GArray *requested, const MmName *job, guint number) {
  for (guint i = 0; i < requested->len; i++) {
    const MmTaskRef *task = &g_array_index(requested, MmTaskRef, i);
    if (task->number == number && mm_name_equal(&task->job, job))
      return TRUE;
  }
  return FALSE;
}

/* Gangs are listed for the fleet; their places are the owner's to pick. */
static const MmJob *
fitting(MmRank *rank, const MmWaiting *pending, const MmMachine *machine,
        MmResources free_resources) {
  const MmJob *job = mm_job_table_find(rank->node->job_table, pending->job.s);

  return job != NULL && !job->cancelled && !mm_job_is_gang(job) && pending->ranges->len > 0
                 && mm_resources_fits(job->spec.need, free_resources)
                 && mm_rank_allows(job, machine)
                 && mm_rank_leaves(rank, job, machine, free_resources) != MM_MAY_NOT
             ? job
             : NULL;
}

static gboolean
choose_first(MmRank *rank, const MmMachine *machine, MmResources free_resources,
             const GArray *requested, guint exhausted_views, MmChoice *choice) {
  const MmJob *best = NULL;

  for (guint v = 0; v < rank->n_views; v++) {
    for (guint i = 0; i < rank->views[v].waiting->len && !(exhausted_views >> v & 1); i++) {
      const MmWaiting *pending = g_ptr_array_index(rank->views[v].waiting, i);
      const MmJob *job = pending->first ? fitting(rank, pending, machine, free_resources) : NULL;
      guint number;
      if (job == NULL)
        continue;
      number = g_array_index(pending->ranges, guint, 0);
      if (was_tried(requested, &pending->job, number)
          || (best != NULL && mm_owner_compare_pressing(&job, &best) >= 0))
        continue;
      best = job;
      choice->view = (gint)v;
      choice->n = 1;
      choice->tasks[0] = (MmTaskRef){ pending->job, number };
    }
  }
  return best != NULL;
}

/* The ordinary path: the machine's own order of the tasks whose image it caches. */
static gboolean
choose_cached(MmRank *rank, const MmMachine *machine, MmResources free_resources,
              const GArray *requested, MmChoice *choice) {
  g_autoptr(GArray) ranked = g_array_new(FALSE, FALSE, sizeof(Ranked));
  guint n_machines = rank->node->machine_table->sorted_machines->len, n_controllers = rank->n_views,
        n_tasks = 0, task_offset = 0;
  guint max_tasks = MIN((guint)rank->node->operators->candidates, MM_RANK_CANDIDATES_MAX);

  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].waiting->len; i++) {
      const MmWaiting *pending = g_ptr_array_index(rank->views[v].waiting, i);
      for (guint k = 0; k + 1 < pending->ranges->len; k += 2)
        n_tasks += g_array_index(pending->ranges, guint, k + 1);
    }
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].waiting->len; i++) {
      const MmWaiting *pending = g_ptr_array_index(rank->views[v].waiting, i);
      const MmJob *job = fitting(rank, pending, machine, free_resources);
      gboolean cached = job != NULL && mm_machine_has_cached_image(machine, &job->spec.image);
      for (guint k = 0; k + 1 < pending->ranges->len; k += 2) {
        guint first = g_array_index(pending->ranges, guint, k);
        guint length = g_array_index(pending->ranges, guint, k + 1);
        for (guint t = 0; t < length && cached && ranked->len < RANKED_MAX; t++) {
          Ranked item = { mm_modulo_priority(task_offset + t + 1, n_tasks,
                                             machine->sorted_index + 1, n_machines, n_controllers),
                          v,
                          { pending->job, first + t } };
          if (!was_tried(requested, &pending->job, first + t))
            g_array_append_val(ranked, item);
        }
        task_offset += length;
      }
    }
  if (ranked->len == 0)
    return FALSE;
  g_array_sort(ranked, highest_first);
  choice->view = (gint)g_array_index(ranked, Ranked, 0).view;
  for (guint i = 0; i < ranked->len && choice->n < max_tasks; i++) {
    const Ranked *item = &g_array_index(ranked, Ranked, i);
    if ((gint)item->view == choice->view)
      choice->tasks[choice->n++] = item->task;
  }
  return TRUE;
}

/* A pull: an owner drawn in proportion to what it has unfinished. */
static gboolean
choose_pull(MmRank *rank, const MmMachine *machine, MmResources free_resources,
            guint exhausted_views, MmChoice *choice) {
  g_autofree guint *weights = g_new0(guint, rank->n_views);
  guint total = 0, drawn;

  for (guint v = 0; v < rank->n_views; v++) {
    gboolean has_fitting_job = FALSE;
    for (guint i = 0;
         i < rank->views[v].waiting->len && !has_fitting_job && !(exhausted_views >> v & 1); i++)
      has_fitting_job
          = fitting(rank, g_ptr_array_index(rank->views[v].waiting, i), machine, free_resources)
            != NULL;
    weights[v] = has_fitting_job ? MAX(rank->views[v].unfinished, 1) : 0;
    total += weights[v];
  }
  if (total == 0)
    return FALSE;
  drawn = (guint)g_rand_int_range(rank->node->rand, 0, (gint32)MIN(total, G_MAXINT32));
  choice->view = 0;
  while (drawn >= weights[choice->view])
    drawn -= weights[choice->view++];
  choice->pull = TRUE;
  return TRUE;
}

/* A gang's place is given out whatever else there is: without this, a machine with nothing else to
 * ask for would never fetch the start that is reserved for it. */
static gboolean
choose_reserved(MmRank *rank, const MmMachine *machine, guint exhausted_views, MmChoice *choice) {
  for (guint v = 0; v < rank->n_views; v++)
    for (guint i = 0; i < rank->views[v].reserved->len && !(exhausted_views >> v & 1); i++)
      if (mm_name_equal(&g_array_index(rank->views[v].reserved, MmName, i), &machine->id)) {
        choice->view = (gint)v;
        return TRUE;
      }
  return FALSE;
}

MmChoice
mm_rank_choose(MmRank *rank, const MmMachine *machine, MmResources free_resources,
               const GArray *requested, guint exhausted_views) {
  MmChoice choice = { .view = -1 };

  if (rank->dirty && rank->views[0].waiting->len == 0)
    refresh(rank);
  if (!choose_reserved(rank, machine, exhausted_views, &choice)
      && !choose_first(rank, machine, free_resources, requested, exhausted_views, &choice)
      && !choose_cached(rank, machine, free_resources, requested, &choice))
    choose_pull(rank, machine, free_resources, exhausted_views, &choice);
  return choice;
}
