#include "scheduler/gang.h"

#include "placement/candidates.h"
#include "scheduler/led-shards.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "scheduler/start-rules.h"
#include "scheduler/stop-commands.h"
#include "scheduler/task-state.h"
#include "scheduler/urgency.h"

/* How long a place stays reserved, in heartbeat intervals. Every machine requests work at least
 * once in this time. */
#define RESERVATION_HEARTBEAT_INTERVALS 3
/* How long a machine gets no starts after it has failed to request a reserved place in time. */
#define UNUSED_RESERVATION_PAUSE_MS 10000
/* Maximum age of the latest heartbeat of a machine on which places are reserved, in milliseconds
 * per second of the heartbeat interval. */
#define RECENT_MS_PER_INTERVAL_S 2500
/* Limits on yielding to a gang. Other work yields to a gang only until the gang has waited for
 * YIELD_TO_GANG_MAX_MS. If the gang is not starving, other work yields only while at most
 * YIELD_TO_GANG_JOBS_MAX jobs with accelerators are waiting. */
#define YIELD_TO_GANG_MAX_MS 240000
#define YIELD_TO_GANG_JOBS_MAX 3

/* A machine, and the resources on this machine that are not chosen for a task of the gang yet. */
typedef struct {
  MmMachine *machine;
  MmResources free_resources;
} CandidatePlace;

/* The machines chosen for the tasks of a gang. */
typedef struct {
  GPtrArray *machines;        /* MmMachine, one element for each task */
  GHashTable *tasks_in_zones; /* zone -> number of tasks, with GUINT_TO_POINTER */
} ChosenPlaces;

/* Cancels the reservations of the gang, and stops the tasks of the gang that are or may be on
 * machines. */
static void
release_gang(MmScheduler *scheduler, MmJob *job) {
  for (guint i = 0; i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    if (task->state == MM_TASK_PLACE_RESERVED) {
      /* The machine did not request work in time. Whatever the reason is, the same place must not
       * be chosen again immediately. */
      task->machine->no_starts_until
          = mm_time_add_ms(mm_node_now(scheduler->node), UNUSED_RESERVATION_PAUSE_MS);
      mm_scheduler_unplace_task(scheduler, job, task->number);
    } else if (task->machine != NULL && !task->is_stopping) {
      mm_scheduler_stop_task(scheduler, job, task->number);
    }
  }
}

/* Makes all tasks of a gang pending again when some tasks are done and the other tasks were lost.
 * The machines of the lost tasks failed before they could report the tasks as done.
 *
 * The whole gang is started again, because a task of a gang cannot run alone. Results are kept: a
 * task whose result exists ends as done immediately. */
static void
restart_gang(MmScheduler *scheduler, MmJob *job) {
  for (guint i = 0; i < job->spec.n_tasks; i++)
    if (mm_job_task(job, i)->state == MM_TASK_DONE)
      mm_scheduler_unplace_task(scheduler, job, i);
}

/* Returns the machines with free resources for a task of the gang, as an array of CandidatePlace
 * that the caller owns. If `zone` is not NULL, returns only machines of this zone. */
static GArray *
free_places(MmScheduler *scheduler, const MmJob *job, const MmName *zone) {
  MmMachineTable *machine_table = scheduler->node->machine_table;
  GArray *places = g_array_new(FALSE, FALSE, sizeof(CandidatePlace));
  MmTime now = mm_node_now(scheduler->node);
  gint64 recent_ms
      = (gint64)(scheduler->node->settings->heartbeat_interval_s * RECENT_MS_PER_INTERVAL_S);

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    CandidatePlace place = { g_ptr_array_index(machine_table->sorted_machines, i), { 0 } };
    if (!mm_machine_is_usable(machine_table, place.machine)
        || !mm_placement_job_allows_machine(job, place.machine)
        || mm_time_ms_since(now, place.machine->last_heartbeat_at) > recent_ms
        || mm_time_before(now, place.machine->no_starts_until)
        || (zone != NULL && !mm_name_equal(&place.machine->zone, zone)))
      continue;
    place.free_resources = mm_machine_available_resources(machine_table, place.machine);
    if (mm_resources_fits(job->spec.task_resources, place.free_resources))
      g_array_append_val(places, place);
  }
  return places;
}

static guint
count_in_zone(const ChosenPlaces *chosen, const MmName *zone) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(chosen->tasks_in_zones, zone->s));
}

/* Returns whether one more task of the gang may be placed, given the places that are already
 * chosen. */
static gboolean
place_allows_task(const MmJob *job, const CandidatePlace *place, const ChosenPlaces *chosen) {
  return mm_resources_fits(job->spec.task_resources, place->free_resources)
         && (!job->spec.spreads_over_zones
             || count_in_zone(chosen, &place->machine->zone)
                    < mm_job_spec_max_tasks_per_zone(&job->spec));
}

static void
choose_place(const MmJob *job, CandidatePlace *place, ChosenPlaces *chosen) {
  MmName *zone = &place->machine->zone;

  place->free_resources = mm_resources_sub(place->free_resources, job->spec.task_resources);
  g_ptr_array_add(chosen->machines, place->machine);
  g_hash_table_insert(chosen->tasks_in_zones, zone->s,
                      GUINT_TO_POINTER(count_in_zone(chosen, zone) + 1));
}

/* Chooses a place for each task, until every task has one or no place is left. */
static void
choose_places(const MmJob *job, GArray *places, gboolean needs_cached_image, ChosenPlaces *chosen) {
  for (guint i = 0; i < places->len; i++) {
    CandidatePlace *place = &g_array_index(places, CandidatePlace, i);
    if (needs_cached_image && !mm_machine_has_cached_image(place->machine, &job->spec.image))
      continue;
    while (chosen->machines->len < job->spec.n_tasks && place_allows_task(job, place, chosen))
      choose_place(job, place, chosen);
  }
}

/* Reserves places for all tasks of the gang. If `zone` is not NULL, all places are in this zone.
 * Returns FALSE and reserves nothing when there are too few places. */
static gboolean
reserve_gang(MmScheduler *scheduler, MmLedShard *shard, MmJob *job, const MmName *zone) {
  g_autoptr(GArray) places = free_places(scheduler, job, zone);
  g_autoptr(GPtrArray) machines = g_ptr_array_new();
  g_autoptr(GHashTable) tasks_in_zones = g_hash_table_new(g_str_hash, g_str_equal);
  ChosenPlaces chosen = { machines, tasks_in_zones };
  MmAttempt attempt;

  choose_places(job, places, TRUE, &chosen);
  choose_places(job, places, FALSE, &chosen);
  if (machines->len < job->spec.n_tasks)
    return FALSE;
  attempt = mm_scheduler_next_attempt(scheduler, shard);
  for (guint i = 0; i < job->spec.n_tasks; i++)
    mm_scheduler_place_task(scheduler, job, i, g_ptr_array_index(machines, i),
                            MM_TASK_PLACE_RESERVED, attempt);
  return TRUE;
}

static void
plan_gang(MmScheduler *scheduler, MmLedShard *shard, MmJob *job) {
  MmNode *node = scheduler->node;

  if (mm_scheduler_must_yield_to_gang(scheduler, job)
      || !mm_scheduler_limit_allows(scheduler, shard, job, job->spec.n_tasks))
    return;
  if (!job->spec.requires_one_zone) {
    /* Preempts only for gangs with accelerators. For a gang without accelerators, the places become
     * free one by one, and other work would take them. Machines with accelerators are not lent to
     * other work while a gang with accelerators waits. */
    if (!reserve_gang(scheduler, shard, job, NULL) && job->spec.task_resources.accelerators > 0)
      mm_scheduler_preempt_for_gang(scheduler, job, job->spec.n_tasks);
    return;
  }
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    if (machine->type != NULL && reserve_gang(scheduler, shard, job, &machine->zone))
      return;
  }
}

static GPtrArray *
list_schedulable_gangs(MmScheduler *scheduler) {
  const GPtrArray *by_submission = scheduler->node->job_table->by_submission;
  GPtrArray *jobs = g_ptr_array_new();

  for (guint i = 0; i < by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(by_submission, i);
    if (job->tasks != NULL && mm_job_is_gang(job)
        && mm_scheduler_job_is_schedulable(scheduler, job))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_scheduler_compare_urgency);
  return jobs;
}

/* Reserves places for a gang that has none, and stops a gang that is incomplete. Restarts a gang
 * when some of its tasks are done and its other tasks are lost. */
static void
advance_gang(MmScheduler *scheduler, MmJob *job) {
  MmTime now = mm_node_now(scheduler->node);
  gint64 reservation_ms = (gint64)(scheduler->node->settings->heartbeat_interval_s * 1000
                                   * RESERVATION_HEARTBEAT_INTERVALS);
  MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);
  guint n_started = 0;
  gboolean is_reservation_expired = FALSE, is_paused = FALSE;

  for (guint i = 0; i < job->tasks->entries->len; i++) {
    const MmTask *task = mm_task_table_at(job->tasks, i);
    is_paused = is_paused || mm_time_before(now, task->retry_not_before);
    n_started += task->machine != NULL && task->state != MM_TASK_PLACE_RESERVED;
    is_reservation_expired = is_reservation_expired
                             || (task->state == MM_TASK_PLACE_RESERVED
                                 && mm_time_ms_since(now, task->state_since) > reservation_ms);
  }
  /* A gang runs either completely or not at all. The gang is stopped in two cases: some of its
   * tasks are pending while others are on machines, or a machine did not request a reserved place
   * in time. */
  if (is_reservation_expired || (n_started > 0 && job->n_pending > 0))
    release_gang(scheduler, job);
  else if (!is_paused && job->n_maybe_on_machines == 0 && job->n_pending < job->spec.n_tasks)
    restart_gang(scheduler, job);
  else if (!is_paused && job->n_pending == job->spec.n_tasks)
    plan_gang(scheduler, shard, job);
}

void
mm_scheduler_plan_gangs(MmScheduler *scheduler) {
  g_autoptr(GPtrArray) jobs = list_schedulable_gangs(scheduler);

  for (guint i = 0; i < jobs->len; i++)
    advance_gang(scheduler, g_ptr_array_index(jobs, i));
}

/* Counts the reservations of the job's other places on the machine from now on. The machine gets a
 * few starts in an answer, and asks for the next ones with its next heartbeats. */
static void
renew_reservations(MmScheduler *scheduler, const MmMachine *machine, MmJob *job) {
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->job == job && placed->task->state == MM_TASK_PLACE_RESERVED)
      mm_job_edit_task(job, placed->number)->state_since = mm_node_now(scheduler->node);
  }
}

gboolean
mm_scheduler_approve_reserved_start(MmScheduler *scheduler, const MmStartRequest *request,
                                    MmApproval *approval) {
  for (guint i = 0; i < request->machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(request->machine->placed_tasks, i);
    MmTask *task = mm_job_edit_task(placed->job, placed->number);
    MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, placed->job);
    MmResources need = placed->job->spec.task_resources;
    /* For a local request, the reserved resources have already been subtracted from the free ones,
     * and are added back here. Otherwise, no gang would start on a machine whose heartbeats are
     * answered by the leader of the gang's shard. */
    MmResources free_resources = request->is_local ? mm_resources_add(request->free_resources, need)
                                                   : request->free_resources;

    if (task->state != MM_TASK_PLACE_RESERVED || shard == NULL || placed->job->is_cancelled
        || !mm_resources_fits(need, free_resources))
      continue;
    mm_scheduler_place_task(scheduler, placed->job, placed->number, request->machine,
                            MM_TASK_START_SENT, task->attempt);
    task->start_heartbeat_id = request->heartbeat_id;
    renew_reservations(scheduler, request->machine, placed->job);
    *approval = (MmApproval){ .job = placed->job->spec.id,
                              .number = placed->number,
                              .attempt = task->attempt,
                              .shard = mm_name(shard->name),
                              .term = shard->term,
                              .was_reserved = TRUE };
    return TRUE;
  }
  return FALSE;
}

/* Returns the job of these pending tasks if the job uses accelerators and is still waiting, else
 * NULL. */
static const MmJob *
find_waiting_accelerated_job(const MmScheduler *scheduler, const MmPendingTasks *pending) {
  const MmJob *job = mm_job_table_find(scheduler->node->job_table, pending->job.s);

  return job != NULL && !job->is_cancelled && job->spec.task_resources.accelerators > 0
                 && (job->tasks == NULL || job->n_pending > 0)
             ? job
             : NULL;
}

/* Returns whether other work may have to yield to the job. This is the case if the job is a gang
 * that has waited for at least the operators' bound and at most YIELD_TO_GANG_MAX_MS. */
static gboolean
is_yield_candidate(const MmScheduler *scheduler, const MmJob *job) {
  gint64 waited_ms = mm_node_wall_ms(scheduler->node) - job->waiting_since_ms;
  gint64 wait_bound_ms = (gint64)(scheduler->node->operators->wait_bound_s * 1000);

  return mm_job_is_gang(job) && waited_ms >= wait_bound_ms && waited_ms <= YIELD_TO_GANG_MAX_MS;
}

/* A gang needs several places at once. Less urgent work yields to a waiting gang, because it would
 * otherwise take these places one by one.
 *
 * The places stay idle until the gang has all of them. For this reason, other work yields only to
 * a starving gang while many jobs wait. After some time, other work stops yielding to a gang,
 * because the gang may find no places for another reason. */
void
mm_scheduler_choose_gang_to_yield_to(MmScheduler *scheduler) {
  const MmPlacement *placement = scheduler->node->placement;
  const MmJob *starving_gang = NULL, *waiting_gang = NULL;
  guint n_waiting_jobs = 0;

  for (guint v = 0; v < placement->n_views; v++)
    for (guint i = 0; i < placement->views[v].pending->len; i++) {
      const MmPendingTasks *pending = g_ptr_array_index(placement->views[v].pending, i);
      const MmJob *job = find_waiting_accelerated_job(scheduler, pending);
      const MmJob **best;
      if (job == NULL)
        continue;
      n_waiting_jobs++;
      if (!is_yield_candidate(scheduler, job))
        continue;
      best = job->is_starving ? &starving_gang : &waiting_gang;
      if (*best == NULL || mm_scheduler_compare_urgency(&job, best) < 0)
        *best = job;
    }
  scheduler->yield_to_gang = starving_gang;
  if (starving_gang == NULL && n_waiting_jobs <= YIELD_TO_GANG_JOBS_MAX)
    scheduler->yield_to_gang = waiting_gang;
}
