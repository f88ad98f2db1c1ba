/* Gangs of several tasks: the owner picks all places at once or none, then gives the starts out as
 * the machines report. A gang that is not complete in time is stopped and planned anew. */
#include "scheduler/scheduler.h"

/* Several report periods: within them every machine asks for work. */
#define RESERVATION_PERIODS 3
#define UNUSED_RESERVATION_PAUSE_MS 10000

typedef struct {
  MmMachine *machine;
  MmResources free_resources;
} Place;

static void
release_gang(MmScheduler *owner, MmJob *job) {
  for (guint i = 0; i < job->spec.n_tasks; i++) {
    MmTask *task = &job->tasks[i];
    if (task->state == MM_TASK_PLACE_RESERVED) {
      /* It did not ask in time, whatever the reason: not the same place again at once. */
      task->machine->full_until
          = mm_time_add_ms(mm_node_now(owner->node), UNUSED_RESERVATION_PAUSE_MS);
      mm_scheduler_unplace_task(owner, job, i);
    } else if (task->machine != NULL && !task->is_stopping) {
      mm_scheduler_stop_task(owner, job, i);
    }
  }
}

/* Some members were seen to be done, the others were lost with their machines before they could say
 * so. A member can't run alone, so the whole gang is started again: results are kept, and a member
 * whose result is there ends as done at once. Its being done is not assumed. */
static void
restart_gang(MmScheduler *owner, MmJob *job) {
  for (guint i = 0; i < job->spec.n_tasks; i++)
    if (job->tasks[i].state == MM_TASK_DONE)
      mm_scheduler_unplace_task(owner, job, i);
}

static GArray *
free_places(MmScheduler *owner, const MmJob *job, const MmName *zone) {
  MmMachineTable *machine_table = owner->node->machine_table;
  GArray *places = g_array_new(FALSE, FALSE, sizeof(Place));
  MmTime now = mm_node_now(owner->node);
  gint64 recent_ms = (gint64)(owner->node->settings->heartbeat_interval_s * 2500);

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    Place place = { g_ptr_array_index(machine_table->sorted_machines, i), { 0 } };
    if (!mm_machine_is_usable(machine_table, place.machine)
        || !mm_placement_allows(job, place.machine)
        || mm_time_ms_since(now, place.machine->last_heartbeat_at) > recent_ms
        || mm_time_before(now, place.machine->full_until)
        || (zone != NULL && !mm_name_equal(&place.machine->zone, zone)))
      continue;
    place.free_resources = mm_machine_available_resources(machine_table, place.machine);
    if (mm_resources_fits(job->spec.task_resources, place.free_resources))
      g_array_append_val(places, place);
  }
  return places;
}

/* Reserves places for the whole gang; FALSE, with nothing reserved, when they do not suffice. */
static gboolean
reserve_gang(MmScheduler *owner, MmLedShard *held, MmJob *job, const MmName *zone) {
  g_autoptr(GArray) places = free_places(owner, job, zone);
  g_autoptr(GPtrArray) chosen = g_ptr_array_new();
  MmAttempt attempt;

  for (guint pass = 0; pass < 2; pass++) {
    for (guint i = 0; i < places->len; i++) {
      Place *place = &g_array_index(places, Place, i);
      /* First where the image is, then anywhere. */
      if (pass == 0 && !mm_machine_has_cached_image(place->machine, &job->spec.image))
        continue;
      while (chosen->len < job->spec.n_tasks
             && mm_resources_fits(job->spec.task_resources, place->free_resources)) {
        if (job->spec.spreads_over_zones) {
          guint n_in_zone = 0;
          for (guint k = 0; k < chosen->len; k++)
            n_in_zone += mm_name_equal(&((MmMachine *)g_ptr_array_index(chosen, k))->zone,
                                       &place->machine->zone);
          if (n_in_zone >= mm_job_spec_max_tasks_per_zone(&job->spec))
            break;
        }
        place->free_resources = mm_resources_sub(place->free_resources, job->spec.task_resources);
        g_ptr_array_add(chosen, place->machine);
      }
    }
  }
  if (chosen->len < job->spec.n_tasks)
    return FALSE;
  attempt = mm_scheduler_next_attempt(owner, held);
  for (guint i = 0; i < job->spec.n_tasks; i++)
    mm_scheduler_place_task(owner, job, i, g_ptr_array_index(chosen, i), MM_TASK_PLACE_RESERVED,
                            attempt);
  return TRUE;
}

static void
plan_gang(MmScheduler *owner, MmLedShard *held, MmJob *job) {
  MmNode *node = owner->node;

  if (mm_scheduler_must_yield_to_gang(owner, job)
      || !mm_scheduler_quota_allows(owner, held, job, job->spec.n_tasks))
    return;
  if (!job->spec.requires_one_zone) {
    /* Only where nothing else takes the places as they get free, one after another: machines with
     * accelerators are lent no more while such a gang waits. */
    if (!reserve_gang(owner, held, job, NULL) && job->spec.task_resources.accelerators > 0)
      mm_scheduler_preempt_for_gang(owner, job, job->spec.n_tasks);
    return;
  }
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    if (machine->type != NULL && reserve_gang(owner, held, job, &machine->zone))
      return;
  }
}

void
mm_scheduler_plan_gangs(MmScheduler *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  gint64 reservation_ms
      = (gint64)(node->settings->heartbeat_interval_s * 1000 * RESERVATION_PERIODS);

  for (guint i = 0; i < node->job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->by_submission, i);
    if (job->tasks != NULL && mm_job_is_gang(job) && mm_scheduler_job_is_schedulable(owner, job))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_scheduler_compare_urgency);
  for (guint i = 0; i < jobs->len; i++) {
    MmJob *job = g_ptr_array_index(jobs, i);
    MmLedShard *held = mm_scheduler_shard_of_job(owner, job);
    guint n_started = 0;
    gboolean is_reservation_expired = FALSE, is_paused = FALSE;

    for (guint k = 0; k < job->spec.n_tasks; k++) {
      const MmTask *task = &job->tasks[k];
      is_paused = is_paused || mm_time_before(now, task->retry_not_before);
      n_started += task->machine != NULL && task->state != MM_TASK_PLACE_RESERVED;
      is_reservation_expired = is_reservation_expired
                               || (task->state == MM_TASK_PLACE_RESERVED
                                   && mm_time_ms_since(now, task->state_since) > reservation_ms);
    }
    /* Some members are gone while others live, or a place did not ask in time: all or none. */
    if (is_reservation_expired || (n_started > 0 && job->n_pending > 0))
      release_gang(owner, job);
    else if (!is_paused && job->n_maybe_on_machines == 0 && job->n_pending < job->spec.n_tasks)
      restart_gang(owner, job);
    else if (!is_paused && job->n_pending == job->spec.n_tasks)
      plan_gang(owner, held, job);
  }
}

gboolean
mm_scheduler_approve_reserved_start(MmScheduler *owner, const MmStartRequest *request,
                                    MmApproval *approval) {
  for (guint i = 0; i < request->machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(request->machine->placed_tasks, i);
    MmTask *task = &placed->job->tasks[placed->number];
    MmLedShard *held = mm_scheduler_shard_of_job(owner, placed->job);
    MmResources need = placed->job->spec.task_resources;
    /* Own requests have its room taken off already. Compared without it, no gang ever began that
     * had a place on a machine which reports to its owner. */
    MmResources free_resources = request->is_local ? mm_resources_add(request->free_resources, need)
                                                   : request->free_resources;

    if (task->state != MM_TASK_PLACE_RESERVED || held == NULL || placed->job->is_cancelled
        || !mm_resources_fits(need, free_resources))
      continue;
    mm_scheduler_place_task(owner, placed->job, placed->number, request->machine,
                            MM_TASK_START_SENT, task->attempt);
    task->start_heartbeat_id = request->heartbeat_id;
    *approval = (MmApproval){ placed->job->spec.id, placed->number, task->attempt,
                              mm_name(held->name),  held->term,     TRUE };
    return TRUE;
  }
  return FALSE;
}
