#include "scheduler/scheduler.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "leases/node-lease.h"
#include "peers/peer-links.h"
#include "kv/replica.h"

#define KEPT_TASKS_MAX 64
#define AVOID_FAILED_MACHINE_MS 60000
#define RELEASE_MACHINE_AFTER_MS 800
#define SPREAD_SERVICE_PERIODS 0.7
#define ESTIMATE_FRESH_MS 400
#define ESTIMATE_AGE_MAX_MS 2000

MmAttempt
mm_scheduler_next_attempt(MmScheduler *scheduler, const MmLedShard *shard) {
  /* Terms never come twice and the sequence starts anew with the process, which takes a new term
   * before it approves anything: so no attempt is ever given out twice, with no write per start. */
  return (MmAttempt){ shard->term.v << 24 | (++scheduler->attempt_sequence & 0xffffff) };
}

/* Earlier holders kept to the same rules of place, and what a machine is never changes: on a
 * machine that the job may not use, there is none of its tasks, heard or not. So services need not
 * wait for a spot machine that was taken, nor gangs for one without accelerators. */
static gboolean
may_be_on_unacknowledged(const MmLedShard *shard, const MmJob *job) {
  for (guint i = 0; i < shard->unacknowledged_kinds->len; i++) {
    const MmMachineKind *kind = &g_array_index(shard->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_is_empty(&kind->type)
        || mm_job_spec_allows_machine(&job->spec, &kind->type, &kind->zone, kind->is_spot))
      return TRUE;
  }
  return FALSE;
}

gboolean
mm_scheduler_knows_all_starts(MmScheduler *scheduler, const MmJob *job) {
  MmLedShard *shard = mm_scheduler_shard_of_job(scheduler, job);

  if (shard->is_ready || job->submitted_after_acquire)
    return TRUE;
  mm_scheduler_update_unacknowledged(scheduler, shard);
  return !may_be_on_unacknowledged(shard, job);
}

gboolean
mm_scheduler_job_is_schedulable(MmScheduler *scheduler, const MmJob *job) {
  return mm_scheduler_shard_of_job(scheduler, job) != NULL && job->tasks != NULL
         && !job->is_cancelled && mm_job_dependencies_are_done(job)
         && mm_scheduler_knows_all_starts(scheduler, job)
         && !mm_time_before(mm_node_now(scheduler->node), job->paused_until);
}

gboolean
mm_scheduler_must_yield_to_gang(const MmScheduler *scheduler, const MmJob *job) {
  const MmJob *gang = scheduler->yield_to_gang;

  return gang != NULL && gang != job && job->spec.task_resources.accelerators > 0
         && mm_scheduler_compare_urgency(&gang, &job) < 0;
}

/* `claims_at` zero: only tasks that are or may be on machines count. */
static gboolean
constraints_allow(const MmMachineTable *machine_table, const MmJob *job, const MmMachine *machine,
                  MmTime reservations_at) {
  guint n_in_zone = 0;

  if (!mm_placement_allows(job, machine))
    return FALSE;
  if (!job->spec.requires_one_zone && !job->spec.spreads_over_zones)
    return TRUE;
  for (guint i = 0; i < job->spec.n_tasks; i++) {
    const MmTask *task = &job->tasks[i];
    const MmMachine *task_machine = task->machine;
    gboolean same_zone;
    if (task_machine == NULL && reservations_at.us != 0
        && mm_time_before(reservations_at, task->preempting_until))
      task_machine = mm_machine_table_find(machine_table, task->preempting_on.s);
    if (task_machine == NULL)
      continue;
    same_zone = mm_name_equal(&task_machine->zone, &machine->zone);
    n_in_zone += same_zone;
    if (job->spec.requires_one_zone && !same_zone)
      return FALSE;
  }
  return !job->spec.spreads_over_zones || n_in_zone < mm_job_spec_max_tasks_per_zone(&job->spec);
}

gboolean
mm_scheduler_constraints_allow(const MmJob *job, const MmMachine *machine) {
  return constraints_allow(NULL, job, machine, (MmTime){ 0 });
}

gboolean
mm_scheduler_constraints_will_allow(const MmScheduler *scheduler, const MmJob *job,
                                    const MmMachine *machine) {
  return constraints_allow(scheduler->node->machine_table, job, machine,
                           mm_node_now(scheduler->node));
}

static void
add_unacknowledged_kind(MmLedShard *shard, const MmMachine *machine) {
  /* Of one that is not known, everything may be true. */
  MmMachineKind kind = machine != NULL
                           ? (MmMachineKind){ machine->type_name, machine->zone, machine->is_spot }
                           : (MmMachineKind){ 0 };

  for (guint i = 0; i < shard->unacknowledged_kinds->len; i++) {
    const MmMachineKind *known = &g_array_index(shard->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_equal(&known->type, &kind.type) && mm_name_equal(&known->zone, &kind.zone)
        && known->is_spot == kind.is_spot)
      return;
  }
  g_array_append_val(shard->unacknowledged_kinds, kind);
}

void
mm_scheduler_update_unacknowledged(MmScheduler *scheduler, MmLedShard *shard) {
  GHashTableIter iter;
  gpointer machine_id;
  guint n_kinds_before = shard->unacknowledged_kinds->len;

  if (!shard->unacknowledged_changed)
    return;
  shard->unacknowledged_changed = FALSE;
  g_array_set_size(shard->unacknowledged_kinds, 0);
  shard->has_unacknowledged_of_unknown_type = FALSE;
  shard->unacknowledged_resources = (MmResources){ 0 };
  g_hash_table_iter_init(&iter, shard->unacknowledged_machines);
  while (g_hash_table_iter_next(&iter, &machine_id, NULL)) {
    const MmMachine *machine = mm_machine_table_find(scheduler->node->machine_table, machine_id);
    add_unacknowledged_kind(shard, machine);
    if (machine == NULL || machine->type == NULL)
      shard->has_unacknowledged_of_unknown_type = shard->unacknowledged_changed
          = TRUE; /* its type may become known */
    else
      shard->unacknowledged_resources
          = mm_resources_add(shard->unacknowledged_resources, machine->type->resources);
  }
  if (shard->unacknowledged_kinds->len < n_kinds_before)
    mm_placement_backlog_changed(scheduler->node->placement);
}

/* Who needs nothing of what is limited takes nothing of it, however much is used or owed: a team
 * that owed a waiting gang accelerators once started none of its arrays either, for minutes, beside
 * machines that lay idle. */
static gboolean
within_quota(double limit, double used, double need) {
  return limit <= 0 || need <= 0 || used + need <= limit + MM_RESOURCES_SLACK;
}

/* What the team's tasks take or might take: all that may be on a machine, stops under way included,
 * and on a machine that has not been heard whatever fits there. */
gboolean
mm_scheduler_quota_allows(MmScheduler *scheduler, MmLedShard *shard, const MmJob *job,
                          guint tasks) {
  MmResources limit = shard->team->limit;
  MmResources used;

  if (limit.cores <= 0 && limit.accelerators <= 0)
    return TRUE;
  mm_scheduler_update_unacknowledged(scheduler, shard);
  if (shard->has_unacknowledged_of_unknown_type)
    return FALSE;
  used = mm_resources_add(shard->used, shard->unacknowledged_resources);
  /* Else small jobs take what is left of the limit one by one: a large one never begins, and work
   * of higher priority waits for lower. */
  if (shard->quota_reserved_for != NULL && shard->quota_reserved_for != job
      && mm_scheduler_compare_urgency(&shard->quota_reserved_for, &job) < 0)
    used = mm_resources_add(used, shard->reserved_quota);
  return within_quota(limit.cores, used.cores, tasks * job->spec.task_resources.cores)
         && within_quota(limit.accelerators, used.accelerators,
                         tasks * job->spec.task_resources.accelerators);
}

guint
mm_scheduler_count_colocated_tasks(const MmScheduler *scheduler, const MmJob *job,
                                   const MmMachine *machine) {
  guint n_tasks = 0;

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *other = mm_job_table_find(scheduler->node->job_table, reported->job.s);
    n_tasks += reported->state != MM_REPORTED_ENDED && other != NULL
               && other->effective_priority >= job->effective_priority;
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    n_tasks += placed->job->tasks[placed->number].state == MM_TASK_START_SENT
               && placed->job->effective_priority >= job->effective_priority;
  }
  return n_tasks;
}

/* The outlook, not older than a moment; of a job that could not be looked at in time, as it was. */
static const MmPlacementEstimate *
estimate_placement(MmScheduler *scheduler, MmJob *job) {
  MmNode *node = scheduler->node;
  MmTime now = mm_node_now(node);
  MmPlacementEstimate *estimate = &job->placement_estimate;

  if (estimate->estimated_at.us != 0
      && mm_time_ms_since(now, estimate->estimated_at) < ESTIMATE_FRESH_MS)
    return estimate;
  if (scheduler->machine_scans_left == 0)
    return estimate->estimated_at.us != 0
                   && mm_time_ms_since(now, estimate->estimated_at) < ESTIMATE_AGE_MAX_MS
               ? estimate
               : NULL;
  scheduler->machine_scans_left--;
  *estimate = (MmPlacementEstimate){ .estimated_at = now,
                                     .soonest_delay_s = -1,
                                     .next_soonest_delay_s = -1,
                                     .fewest_colocated_tasks = G_MAXUINT };
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    double delay_s = mm_scheduler_start_delay_s(scheduler, job, machine);

    if (delay_s < 0)
      continue;
    if (estimate->soonest_delay_s < 0 || delay_s < estimate->soonest_delay_s) {
      estimate->next_soonest_delay_s = estimate->soonest_delay_s;
      estimate->soonest_delay_s = delay_s;
      estimate->soonest_machine = machine->id;
    } else if (estimate->next_soonest_delay_s < 0 || delay_s < estimate->next_soonest_delay_s) {
      estimate->next_soonest_delay_s = delay_s;
    }
    if (job->spec.kind == MM_JOB_KIND_SERVICE
        && delay_s <= job->spec.image_gb / machine->type->image_fetch_gb_per_s
                          + node->settings->heartbeat_interval_s)
      estimate->fewest_colocated_tasks
          = MIN(estimate->fewest_colocated_tasks,
                mm_scheduler_count_colocated_tasks(scheduler, job, machine));
  }
  return estimate;
}

/* Work in a hurry does not fetch its image where another machine could run it sooner, be it by
 * stopping something there; it does not wait for that for longer than the fetch itself would take.
 * Where a service must fetch anyway it goes to the least crowded machine: that spreads its image
 * for the next ones, leaves beside it work that can be stopped for them, and bounds what a
 * machine's end takes. */
static gboolean
starts_sooner_elsewhere(MmScheduler *scheduler, MmJob *job, const MmTask *task,
                        const MmMachine *here) {
  MmNode *node = scheduler->node;
  double period_s = node->settings->heartbeat_interval_s;
  double fetch_s = mm_scheduler_image_fetch_s(job, here);
  double waited_s = (double)mm_time_ms_since(mm_node_now(node), task->state_since) / 1000.0;
  gboolean spread_out
      = job->spec.kind == MM_JOB_KIND_SERVICE && waited_s < period_s * SPREAD_SERVICE_PERIODS;
  const MmPlacementEstimate *estimate;
  double elsewhere_s;

  if (fetch_s < 0.5 || waited_s > MIN(fetch_s, period_s * 1.5))
    return FALSE;
  /* What was stopped here to make room was stopped for it: choosing again would only lose time. */
  if (mm_time_before(mm_node_now(node), task->preempting_until)
      && mm_name_equal(&task->preempting_on, &here->id))
    return FALSE;
  estimate = estimate_placement(scheduler, job);
  if (estimate == NULL)
    return FALSE;
  elsewhere_s = mm_name_equal(&estimate->soonest_machine, &here->id)
                    ? estimate->next_soonest_delay_s
                    : estimate->soonest_delay_s;
  if ((elsewhere_s < 0 || elsewhere_s >= fetch_s)
      && !(spread_out
           && estimate->fewest_colocated_tasks
                  < mm_scheduler_count_colocated_tasks(scheduler, job, here)))
    return FALSE;
  mm_debug("%s waits %.1f s: another would run it in %.1f s, %s in %.1f s", job->spec.id.s,
           waited_s, elsewhere_s, here->id.s, fetch_s);
  return TRUE;
}

/* A machine with accelerators is given up only to a task that has waited a little and that nothing
 * else could run, be it by stopping something. */
static gboolean
reserve_allows(MmScheduler *scheduler, MmJob *job, const MmTask *task,
               const MmStartRequest *request) {
  MmNode *node = scheduler->node;
  MmReserveVerdict verdict
      = mm_placement_check_reserve(node->placement, job, request->machine, request->free_resources);
  const MmPlacementEstimate *estimate;

  if (verdict < MM_RESERVE_WOULD_SHRINK)
    return TRUE;
  if (verdict == MM_RESERVE_FORBIDDEN
      || mm_time_ms_since(mm_node_now(node), task->state_since) < RELEASE_MACHINE_AFTER_MS
      || !mm_placement_may_release_machine(node->placement, request->machine))
    return FALSE;
  estimate = estimate_placement(scheduler, job);
  return estimate != NULL && estimate->soonest_delay_s < 0;
}

/* What holds for all tasks of the job alike. */
static gboolean
job_may_start(MmScheduler *scheduler, const MmJob *job, const MmStartRequest *request) {
  return mm_resources_fits(job->spec.task_resources, request->free_resources)
         && !mm_scheduler_must_yield_to_gang(scheduler, job)
         && mm_scheduler_constraints_allow(job, request->machine)
         && mm_scheduler_quota_allows(scheduler, job->led_shard, job, 1);
}

static gboolean
task_may_start(MmScheduler *scheduler, MmJob *job, guint number, const MmStartRequest *request) {
  const MmTask *task = &job->tasks[number];
  MmTime now = mm_node_now(scheduler->node);

  return task->state == MM_TASK_PENDING && !mm_time_before(now, task->retry_not_before)
         && !(mm_name_equal(&task->last_failed_on, &request->machine->id)
              && mm_time_ms_since(now, task->state_since) < AVOID_FAILED_MACHINE_MS)
         && reserve_allows(scheduler, job, task, request)
         && !(mm_scheduler_has_precedence(scheduler, job)
              && starts_sooner_elsewhere(scheduler, job, task, request->machine));
}

static void
approve_task(MmScheduler *scheduler, MmLedShard *shard, MmJob *job, guint number,
             const MmStartRequest *request, MmApproval *approval) {
  MmAttempt attempt = mm_scheduler_next_attempt(scheduler, shard);

  mm_scheduler_place_task(scheduler, job, number, request->machine, MM_TASK_START_SENT, attempt);
  job->tasks[number].start_heartbeat_id = request->heartbeat_id;
  *approval
      = (MmApproval){ job->spec.id, number, attempt, mm_name(shard->name), shard->term, FALSE };
  mm_debug("%s/%u may start on %s (%s%s) after %.1f s", job->spec.id.s, number,
           request->machine->id.s, request->machine->type_name.s,
           mm_machine_has_cached_image(request->machine, &job->spec.image) ? ", cached" : "",
           mm_job_waiting_time_s(scheduler->node, job));
}

static gboolean
try_start_task(MmScheduler *scheduler, MmJob *job, guint number, const MmStartRequest *request,
               MmApproval *approval) {
  if (job == NULL || !mm_scheduler_job_is_schedulable(scheduler, job) || number >= job->spec.n_tasks
      || mm_job_is_gang(job) || !job_may_start(scheduler, job, request)
      || !task_may_start(scheduler, job, number, request))
    return FALSE;
  approve_task(scheduler, job->led_shard, job, number, request, approval);
  return TRUE;
}

/* The job's lowest unassigned task, if it may start there. */
static gboolean
try_start_any_task(MmScheduler *scheduler, MmJob *job, const MmStartRequest *request,
                   MmApproval *approval) {
  guint tries = 8;

  if (!job_may_start(scheduler, job, request))
    return FALSE;
  for (guint i = job->first_pending; i < job->spec.n_tasks && tries > 0; i++) {
    if (job->tasks[i].state != MM_TASK_PENDING)
      continue;
    if (task_may_start(scheduler, job, i, request)) {
      approve_task(scheduler, job->led_shard, job, i, request, approval);
      return TRUE;
    }
    tries--;
  }
  return FALSE;
}

/* Work that goes first to any fitting machine, most pressing first. */
static gboolean
try_precedence_jobs(MmScheduler *scheduler, const MmStartRequest *request, GPtrArray *jobs,
                    MmApproval *approval) {
  for (guint i = 0; i < jobs->len; i++) {
    MmJob *job = g_ptr_array_index(jobs, i);
    if (mm_scheduler_has_precedence(scheduler, job)
        && try_start_any_task(scheduler, job, request, approval))
      return TRUE;
  }
  return FALSE;
}

static void
add_to_kept_list(MmMachine *machine, const MmTaskRef *task) {
  for (guint i = 0; i < machine->kept_list->len; i++) {
    const MmTaskRef *kept = &g_array_index(machine->kept_list, MmTaskRef, i);
    if (kept->number == task->number && mm_name_equal(&kept->job, &task->job))
      return;
  }
  if (machine->kept_list->len < KEPT_TASKS_MAX)
    g_array_append_val(machine->kept_list, *task);
}

/* The kept-list answers the machine's next request first. */
static gboolean
try_kept_task(MmScheduler *scheduler, const MmStartRequest *request, MmMachine *list_machine,
              guint position, MmApproval *approval) {
  MmTaskRef task = g_array_index(list_machine->kept_list, MmTaskRef, position);

  g_array_remove_index(list_machine->kept_list, position);
  return try_start_task(scheduler, mm_job_table_find(scheduler->node->job_table, task.job.s),
                        task.number, request, approval);
}

/* A random task from the longest kept-list; without any, the oldest unassigned task that fits. */
static gboolean
try_pull(MmScheduler *scheduler, const MmStartRequest *request, GPtrArray *jobs,
         MmApproval *approval) {
  MmMachineTable *machine_table = scheduler->node->machine_table;
  MmMachine *longest = NULL;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    if (machine->kept_list->len > (longest != NULL ? longest->kept_list->len : 0))
      longest = machine;
  }
  if (longest != NULL
      && try_kept_task(
          scheduler, request, longest,
          (guint)g_rand_int_range(scheduler->node->rand, 0, (gint32)longest->kept_list->len),
          approval))
    return TRUE;
  for (guint i = 0; i < jobs->len; i++)
    if (try_start_any_task(scheduler, g_ptr_array_index(jobs, i), request, approval))
      return TRUE;
  return FALSE;
}

/* In an order as old as the last slow tick at most. */
const GPtrArray *
mm_scheduler_jobs_by_urgency(MmScheduler *scheduler) {
  MmJobTable *job_table = scheduler->node->job_table;

  if (!scheduler->is_urgency_order_stale)
    return scheduler->jobs_by_urgency;
  scheduler->is_urgency_order_stale = FALSE;
  g_ptr_array_set_size(scheduler->jobs_by_urgency, 0);
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    if (job->tasks != NULL && !mm_job_is_gang(job) && !job->is_cancelled)
      g_ptr_array_add(scheduler->jobs_by_urgency, job);
  }
  g_ptr_array_sort(scheduler->jobs_by_urgency, mm_scheduler_compare_urgency);
  return scheduler->jobs_by_urgency;
}

gboolean
mm_scheduler_approve_start(MmScheduler *scheduler, MmStartRequest *request, MmApproval *approval) {
  MmJobTable *job_table = scheduler->node->job_table;
  g_autoptr(GPtrArray) jobs = NULL;
  const GPtrArray *by_urgency;

  if (!mm_node_lease_is_valid(scheduler->node->node_lease)
      || !mm_machine_is_usable(scheduler->node->machine_table, request->machine)
      || mm_heartbeat_id_is_newer(request->machine->latest_message_id, request->heartbeat_id)
      || mm_time_before(mm_node_now(scheduler->node), request->machine->full_until))
    return FALSE;
  if (mm_scheduler_approve_reserved_start(scheduler, request, approval))
    return TRUE;
  request->free_resources = mm_resources_least(
      request->free_resources,
      mm_machine_available_resources(scheduler->node->machine_table, request->machine));
  by_urgency = mm_scheduler_jobs_by_urgency(scheduler);
  jobs = g_ptr_array_sized_new(by_urgency->len);
  for (guint i = 0; i < by_urgency->len; i++) {
    MmJob *job = g_ptr_array_index(by_urgency, i);
    if (job->n_pending > 0 && mm_resources_fits(job->spec.task_resources, request->free_resources)
        && mm_scheduler_job_is_schedulable(scheduler, job)
        && mm_scheduler_quota_allows(scheduler, job->led_shard, job, 1))
      g_ptr_array_add(jobs, job);
  }
  if (jobs->len == 0)
    return FALSE;
  if (try_precedence_jobs(scheduler, request, jobs, approval))
    return TRUE;
  while (request->machine->kept_list->len > 0)
    if (try_kept_task(scheduler, request, request->machine, 0, approval))
      return TRUE;
  for (guint i = 0; i < request->n_tasks; i++) {
    if (!try_start_task(scheduler, mm_job_table_find(job_table, request->tasks[i].job.s),
                        request->tasks[i].number, request, approval))
      continue;
    for (guint k = i + 1; k < request->n_tasks; k++) {
      const MmJob *job = mm_job_table_find(job_table, request->tasks[k].job.s);
      if (job != NULL && job->tasks != NULL && request->tasks[k].number < job->spec.n_tasks
          && job->tasks[request->tasks[k].number].state == MM_TASK_PENDING)
        add_to_kept_list(request->machine, &request->tasks[k]);
    }
    return TRUE;
  }
  return request->is_pull && try_pull(scheduler, request, jobs, approval);
}

void
mm_scheduler_peer_start_request(MmScheduler *scheduler, guint peer,
                                const Mm__StartRequest *message) {
  MmMachine *machine = mm_machine_table_find(scheduler->node->machine_table, message->machine);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__StartResponse answer = MM__START_RESPONSE__INIT;
  Mm__Approval approval_message = MM__APPROVAL__INIT;
  MmApproval approval;
  MmStartRequest request
      = { .machine = machine,
          .heartbeat_id = { message->incarnation, message->sequence },
          .free_resources = { message->cores, message->accelerators, message->memory_gb },
          .is_pull = message->pull };

  for (size_t i = 0; i < message->n_candidates && request.n_tasks < MM_PLACEMENT_CANDIDATES_MAX;
       i++)
    request.tasks[request.n_tasks++]
        = (MmTaskRef){ mm_name(message->candidates[i]->job), message->candidates[i]->number };
  answer.id = message->id;
  if (machine != NULL && mm_scheduler_approve_start(scheduler, &request, &approval)) {
    approval_message.job = approval.job.s;
    approval_message.number = approval.number;
    approval_message.attempt = approval.attempt.v;
    approval_message.team = approval.shard.s;
    approval_message.term = approval.term.v;
    answer.approval = &approval_message;
  }
  answer.unfinished = mm_scheduler_count_pending_tasks(scheduler);
  frame.body_case = MM__FRAME__BODY_START_RESPONSE;
  frame.start_response = &answer;
  mm_peer_links_send(scheduler->node->peer_links, peer, &frame);
}
