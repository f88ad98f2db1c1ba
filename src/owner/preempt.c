/* Making room for urgent work where no fitting machine is free: work of lower priority is stopped.
 */
#include "owner/owner.h"

#include "parts/claims.h"

#define TASKS_A_ROUND 16

typedef struct {
  const MmSeenTask *seen;
  const MmJob *job;
  gint64 ran_ms;
} Victim;

static gint
cheapest_first(gconstpointer a, gconstpointer b) {
  const Victim *x = a, *y = b;

  if (x->job->spec.priority != y->job->spec.priority)
    return x->job->spec.priority < y->job->spec.priority ? -1 : 1;
  return (gint)y->seen->number - (gint)x->seen->number;
}

/* The tasks to stop on the machine so that the job's task fits; NULL when that is not to be had. */
static GArray *
victims_on(MmOwner *owner, const MmJob *job, const MmMachine *machine) {
  MmRoom room = mm_machine_free(owner->node->roster, machine);
  g_autoptr(GArray) able = g_array_new(FALSE, FALSE, sizeof(Victim));
  GArray *chosen;

  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *seen = &g_array_index(machine->tasks, MmSeenTask, i);
    const MmJob *other = mm_book_find(owner->node->book, seen->job.s);
    Victim victim = { seen, other, 0 };
    if (other != NULL && seen->state != MM_SEEN_ENDED && seen->state != MM_SEEN_SAVING
        && other->spec.priority < job->spec.priority)
      g_array_append_val(able, victim);
  }
  g_array_sort(able, cheapest_first);
  chosen = g_array_new(FALSE, FALSE, sizeof(Victim));
  for (guint i = 0; i < able->len && !mm_room_fits(job->spec.need, room); i++) {
    const Victim *victim = &g_array_index(able, Victim, i);
    room = mm_room_add(room, victim->job->spec.need);
    g_array_append_val(chosen, *victim);
  }
  if (mm_room_fits(job->spec.need, room))
    return chosen;
  g_array_unref(chosen);
  return NULL;
}

/* TRUE when a machine has free room for it anyway: then its next report settles the matter. */
static gboolean
clear_room(MmOwner *owner, const MmJob *job) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  gint64 period_ms = (gint64)(node->settings->report_s * 1000);
  MmMachine *best = NULL;
  GArray *best_victims = NULL;
  double best_cost = 0;

  for (guint i = 0; i < node->roster->order->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->roster->order, i);
    GArray *victims;
    double cost;

    if (!mm_machine_usable(node->roster, machine) || !mm_owner_place_allowed(job, machine)
        || !mm_rank_leaves_accelerators(node->rank, job, machine)
        || mm_time_before(now, machine->clearing) || machine->addr[0] == '\0'
        || mm_time_ms_since(now, machine->reported) > 2 * period_ms)
      continue;
    victims = victims_on(owner, job, machine);
    if (victims == NULL)
      continue;
    cost = victims->len + (mm_machine_caches(machine, &job->spec.image) ? 0 : 2.5);
    if (victims->len == 0)
      cost = -1;
    if (best == NULL || cost < best_cost) {
      g_clear_pointer(&best_victims, g_array_unref);
      best = machine;
      best_victims = victims;
      best_cost = cost;
    } else {
      g_array_unref(victims);
    }
  }
  if (best == NULL)
    return FALSE;
  for (guint i = 0; i < best_victims->len; i++) {
    const Victim *victim = &g_array_index(best_victims, Victim, i);
    mm_info("stopping %s/%u on %s for %s", victim->job->spec.id.s, victim->seen->number, best->id.s,
            job->spec.id.s);
    mm_owner_stop(owner, best, &victim->job->spec.id, victim->seen->number, victim->seen->attempt,
                  mm_owner_grace_s(victim->job));
  }
  if (best_victims->len > 0)
    best->clearing = mm_time_add_ms(now, 2 * period_ms);
  g_array_unref(best_victims);
  return TRUE;
}

void
mm_owner_preempt(MmOwner *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  gint64 bound_ms = (gint64)(node->operators->preempt_after_s * 1000);
  guint left = TASKS_A_ROUND;

  for (guint i = 0; i < node->book->order->len && left > 0; i++) {
    MmJob *job = g_ptr_array_index(node->book->order, i);
    guint clearing = 0;

    if (job->tasks == NULL || job->idle == 0 || job->spec.priority < MM_URGENT
        || mm_job_is_gang(job) || !mm_owner_open(owner, job)
        || mm_time_before(now, job->claimed_room))
      continue;
    if (!mm_owner_quota_allows(owner, mm_owner_held(owner, job), job, 1))
      continue;
    for (guint k = job->first_idle; k < job->spec.tasks && left > 0; k++) {
      const MmTask *task = &job->tasks[k];
      if (task->state != MM_TASK_IDLE || mm_time_before(now, task->not_before)
          || mm_time_ms_since(now, task->since) < bound_ms)
        continue;
      left--;
      if (!clear_room(owner, job))
        break;
      clearing++;
    }
    if (clearing > 0)
      job->claimed_room = mm_time_add_ms(now, (gint64)(node->settings->report_s * 1000));
  }
}
