#include "owner/owner.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "store/replica.h"

#define KEPT_MAX 64
#define AVOID_MS 60000
#define GIVE_UP_AFTER_MS 800
#define SPREAD_PERIODS 0.7
#define OUTLOOK_MS 400
#define OUTLOOK_OLD_MS 2000

MmAttempt
mm_owner_next_attempt(MmOwner *owner, const MmOwnedShard *held) {
  /* Terms never come twice and the sequence starts anew with the process, which takes a new term
   * before it approves anything: so no attempt is ever given out twice, with no write per start. */
  return (MmAttempt){ held->term.v << 24 | (++owner->sequence & 0xffffff) };
}

/* Earlier holders kept to the same rules of place, and what a machine is never changes: on a
 * machine that the job may not use, there is none of its tasks, heard or not. So services need not
 * wait for a spot machine that was taken, nor gangs for one without accelerators. */
static gboolean
may_be_on_unacknowledged(const MmOwnedShard *held, const MmJob *job) {
  for (guint i = 0; i < held->unacknowledged_kinds->len; i++) {
    const MmMachineKind *kind = &g_array_index(held->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_is_empty(&kind->type)
        || mm_spec_allows(&job->spec, &kind->type, &kind->zone, kind->spot))
      return TRUE;
  }
  return FALSE;
}

gboolean
mm_owner_knows(MmOwner *owner, const MmJob *job) {
  MmOwnedShard *held = mm_owner_held(owner, job);

  if (held->ready || job->known_after_claim)
    return TRUE;
  mm_owner_sum_unacknowledged(owner, held);
  return !may_be_on_unacknowledged(held, job);
}

gboolean
mm_owner_open(MmOwner *owner, const MmJob *job) {
  return mm_owner_held(owner, job) != NULL && job->tasks != NULL && !job->cancelled
         && mm_job_is_ready(job) && mm_owner_knows(owner, job)
         && !mm_time_before(mm_node_now(owner->node), job->paused_until);
}

gboolean
mm_owner_yields(const MmOwner *owner, const MmJob *job) {
  const MmJob *gang = owner->yield;

  return gang != NULL && gang != job && job->spec.need.accelerators > 0
         && mm_owner_compare_pressing(&gang, &job) < 0;
}

/* `claims_at` zero: only tasks that are or may be on machines count. */
static gboolean
place_allowed(const MmMachineTable *machine_table, const MmJob *job, const MmMachine *machine,
              MmTime reservations_at) {
  guint n_in_zone = 0;

  if (!mm_rank_allows(job, machine))
    return FALSE;
  if (!job->spec.one_zone && !job->spec.spread)
    return TRUE;
  for (guint i = 0; i < job->spec.tasks; i++) {
    const MmTask *task = &job->tasks[i];
    const MmMachine *task_machine = task->machine;
    gboolean same_zone;
    if (task_machine == NULL && reservations_at.us != 0
        && mm_time_before(reservations_at, task->claimed))
      task_machine = mm_machine_table_find(machine_table, task->claimed_on.s);
    if (task_machine == NULL)
      continue;
    same_zone = mm_name_equal(&task_machine->zone, &machine->zone);
    n_in_zone += same_zone;
    if (job->spec.one_zone && !same_zone)
      return FALSE;
  }
  return !job->spec.spread || n_in_zone < mm_spec_zone_limit(&job->spec);
}

gboolean
mm_owner_place_allowed(const MmJob *job, const MmMachine *machine) {
  return place_allowed(NULL, job, machine, (MmTime){ 0 });
}

gboolean
mm_owner_place_hoped(const MmOwner *owner, const MmJob *job, const MmMachine *machine) {
  return place_allowed(owner->node->machine_table, job, machine, mm_node_now(owner->node));
}

static void
add_kind(MmOwnedShard *held, const MmMachine *machine) {
  /* Of one that is not known, everything may be true. */
  MmMachineKind kind = machine != NULL
                           ? (MmMachineKind){ machine->type_name, machine->zone, machine->is_spot }
                           : (MmMachineKind){ 0 };

  for (guint i = 0; i < held->unacknowledged_kinds->len; i++) {
    const MmMachineKind *known = &g_array_index(held->unacknowledged_kinds, MmMachineKind, i);
    if (mm_name_equal(&known->type, &kind.type) && mm_name_equal(&known->zone, &kind.zone)
        && known->spot == kind.spot)
      return;
  }
  g_array_append_val(held->unacknowledged_kinds, kind);
}

void
mm_owner_sum_unacknowledged(MmOwner *owner, MmOwnedShard *held) {
  GHashTableIter iter;
  gpointer machine_id;
  guint n_kinds_before = held->unacknowledged_kinds->len;

  if (!held->unacknowledged_changed)
    return;
  held->unacknowledged_changed = FALSE;
  g_array_set_size(held->unacknowledged_kinds, 0);
  held->unacknowledged_of_unknown_type = FALSE;
  held->unacknowledged_resources = (MmResources){ 0 };
  g_hash_table_iter_init(&iter, held->unacknowledged);
  while (g_hash_table_iter_next(&iter, &machine_id, NULL)) {
    const MmMachine *machine = mm_machine_table_find(owner->node->machine_table, machine_id);
    add_kind(held, machine);
    if (machine == NULL || machine->type == NULL)
      held->unacknowledged_of_unknown_type = held->unacknowledged_changed
          = TRUE; /* its type may become known */
    else
      held->unacknowledged_resources
          = mm_resources_add(held->unacknowledged_resources, machine->type->room);
  }
  if (held->unacknowledged_kinds->len < n_kinds_before)
    mm_rank_changed(owner->node->rank);
}

/* Who needs nothing of what is limited takes nothing of it, however much is used or owed: a team
 * that owed a waiting gang accelerators once started none of its arrays either, for minutes, beside
 * machines that lay idle. */
static gboolean
within(double limit, double used, double need) {
  return limit <= 0 || need <= 0 || used + need <= limit + MM_RESOURCES_SLACK;
}

/* What the team's tasks take or might take: all that may be on a machine, stops under way included,
 * and on a machine that has not been heard whatever fits there. */
gboolean
mm_owner_quota_allows(MmOwner *owner, MmOwnedShard *held, const MmJob *job, guint tasks) {
  MmResources limit = held->team->limit;
  MmResources used;

  if (limit.cores <= 0 && limit.accelerators <= 0)
    return TRUE;
  mm_owner_sum_unacknowledged(owner, held);
  if (held->unacknowledged_of_unknown_type)
    return FALSE;
  used = mm_resources_add(held->used, held->unacknowledged_resources);
  /* Else small jobs take what is left of the limit one by one: a large one never begins, and work
   * of higher priority waits for lower. */
  if (held->owed_to != NULL && held->owed_to != job
      && mm_owner_compare_pressing(&held->owed_to, &job) < 0)
    used = mm_resources_add(used, held->owed);
  return within(limit.cores, used.cores, tasks * job->spec.need.cores)
         && within(limit.accelerators, used.accelerators, tasks * job->spec.need.accelerators);
}

guint
mm_owner_crowd(const MmOwner *owner, const MmJob *job, const MmMachine *machine) {
  guint n_tasks = 0;

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *other = mm_job_table_find(owner->node->job_table, reported->job.s);
    n_tasks += reported->state != MM_REPORTED_ENDED && other != NULL
               && other->priority >= job->priority;
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    n_tasks += placed->job->tasks[placed->number].state == MM_TASK_ISSUED
               && placed->job->priority >= job->priority;
  }
  return n_tasks;
}

/* The outlook, not older than a moment; of a job that could not be looked at in time, as it was. */
static const MmOutlook *
outlook_for(MmOwner *owner, MmJob *job) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  MmOutlook *estimate = &job->outlook;

  if (estimate->at.us != 0 && mm_time_ms_since(now, estimate->at) < OUTLOOK_MS)
    return estimate;
  if (owner->looks == 0)
    return estimate->at.us != 0 && mm_time_ms_since(now, estimate->at) < OUTLOOK_OLD_MS ? estimate
                                                                                        : NULL;
  owner->looks--;
  *estimate = (MmOutlook){ .at = now, .best_s = -1, .next_s = -1, .least_crowd = G_MAXUINT };
  for (guint i = 0; i < node->machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->machine_table->sorted_machines, i);
    double delay_s = mm_owner_delay_on(owner, job, machine);

    if (delay_s < 0)
      continue;
    if (estimate->best_s < 0 || delay_s < estimate->best_s) {
      estimate->next_s = estimate->best_s;
      estimate->best_s = delay_s;
      estimate->best = machine->id;
    } else if (estimate->next_s < 0 || delay_s < estimate->next_s) {
      estimate->next_s = delay_s;
    }
    if (job->spec.kind == MM_KIND_SERVICE
        && delay_s <= job->spec.image_gb / machine->type->fetch_gb_per_s
                          + node->settings->heartbeat_interval_s)
      estimate->least_crowd = MIN(estimate->least_crowd, mm_owner_crowd(owner, job, machine));
  }
  return estimate;
}

/* Work in a hurry does not fetch its image where another machine could run it sooner, be it by
 * stopping something there; it does not wait for that for longer than the fetch itself would take.
 * Where a service must fetch anyway it goes to the least crowded machine: that spreads its image
 * for the next ones, leaves beside it work that can be stopped for them, and bounds what a
 * machine's end takes. */
static gboolean
better_elsewhere(MmOwner *owner, MmJob *job, const MmTask *task, const MmMachine *here) {
  MmNode *node = owner->node;
  double period_s = node->settings->heartbeat_interval_s;
  double fetch_s = mm_owner_fetch_s(job, here);
  double waited_s = (double)mm_time_ms_since(mm_node_now(node), task->since) / 1000.0;
  gboolean spread_out = job->spec.kind == MM_KIND_SERVICE && waited_s < period_s * SPREAD_PERIODS;
  const MmOutlook *estimate;
  double elsewhere_s;

  if (fetch_s < 0.5 || waited_s > MIN(fetch_s, period_s * 1.5))
    return FALSE;
  /* What was stopped here to make room was stopped for it: choosing again would only lose time. */
  if (mm_time_before(mm_node_now(node), task->claimed)
      && mm_name_equal(&task->claimed_on, &here->id))
    return FALSE;
  estimate = outlook_for(owner, job);
  if (estimate == NULL)
    return FALSE;
  elsewhere_s = mm_name_equal(&estimate->best, &here->id) ? estimate->next_s : estimate->best_s;
  if ((elsewhere_s < 0 || elsewhere_s >= fetch_s)
      && !(spread_out && estimate->least_crowd < mm_owner_crowd(owner, job, here)))
    return FALSE;
  mm_debug("%s waits %.1f s: another would run it in %.1f s, %s in %.1f s", job->spec.id.s,
           waited_s, elsewhere_s, here->id.s, fetch_s);
  return TRUE;
}

/* A machine with accelerators is given up only to a task that has waited a little and that nothing
 * else could run, be it by stopping something. */
static gboolean
leaves_enough(MmOwner *owner, MmJob *job, const MmTask *task, const MmAsk *request) {
  MmNode *node = owner->node;
  MmLeaves verdict = mm_rank_leaves(node->rank, job, request->machine, request->room);
  const MmOutlook *estimate;

  if (verdict < MM_WOULD_TAKE)
    return TRUE;
  if (verdict == MM_MAY_NOT || mm_time_ms_since(mm_node_now(node), task->since) < GIVE_UP_AFTER_MS
      || !mm_rank_may_give_up(node->rank, request->machine))
    return FALSE;
  estimate = outlook_for(owner, job);
  return estimate != NULL && estimate->best_s < 0;
}

/* What holds for all tasks of the job alike. */
static gboolean
job_may_start(MmOwner *owner, const MmJob *job, const MmAsk *request) {
  return mm_resources_fits(job->spec.need, request->room) && !mm_owner_yields(owner, job)
         && mm_owner_place_allowed(job, request->machine)
         && mm_owner_quota_allows(owner, job->held, job, 1);
}

static gboolean
task_may_start(MmOwner *owner, MmJob *job, guint number, const MmAsk *request) {
  const MmTask *task = &job->tasks[number];
  MmTime now = mm_node_now(owner->node);

  return task->state == MM_TASK_IDLE && !mm_time_before(now, task->not_before)
         && !(mm_name_equal(&task->avoid, &request->machine->id)
              && mm_time_ms_since(now, task->since) < AVOID_MS)
         && leaves_enough(owner, job, task, request)
         && !(mm_owner_goes_first(owner, job)
              && better_elsewhere(owner, job, task, request->machine));
}

static void
approve(MmOwner *owner, MmOwnedShard *held, MmJob *job, guint number, const MmAsk *request,
        MmApproval *approval) {
  MmAttempt attempt = mm_owner_next_attempt(owner, held);

  mm_owner_place(owner, job, number, request->machine, MM_TASK_ISSUED, attempt);
  job->tasks[number].issued = request->stamp;
  *approval = (MmApproval){ job->spec.id, number, attempt, mm_name(held->name), held->term, FALSE };
  mm_debug("%s/%u may start on %s (%s%s) after %.1f s", job->spec.id.s, number,
           request->machine->id.s, request->machine->type_name.s,
           mm_machine_has_cached_image(request->machine, &job->spec.image) ? ", cached" : "",
           mm_job_waited_s(owner->node, job));
}

static gboolean
try_task(MmOwner *owner, MmJob *job, guint number, const MmAsk *request, MmApproval *approval) {
  if (job == NULL || !mm_owner_open(owner, job) || number >= job->spec.tasks || mm_job_is_gang(job)
      || !job_may_start(owner, job, request) || !task_may_start(owner, job, number, request))
    return FALSE;
  approve(owner, job->held, job, number, request, approval);
  return TRUE;
}

/* The job's lowest unassigned task, if it may start there. */
static gboolean
try_job(MmOwner *owner, MmJob *job, const MmAsk *request, MmApproval *approval) {
  guint tries = 8;

  if (!job_may_start(owner, job, request))
    return FALSE;
  for (guint i = job->first_idle; i < job->spec.tasks && tries > 0; i++) {
    if (job->tasks[i].state != MM_TASK_IDLE)
      continue;
    if (task_may_start(owner, job, i, request)) {
      approve(owner, job->held, job, i, request, approval);
      return TRUE;
    }
    tries--;
  }
  return FALSE;
}

/* Work that goes first to any fitting machine, most pressing first. */
static gboolean
try_first(MmOwner *owner, const MmAsk *request, GPtrArray *jobs, MmApproval *approval) {
  for (guint i = 0; i < jobs->len; i++) {
    MmJob *job = g_ptr_array_index(jobs, i);
    if (mm_owner_goes_first(owner, job) && try_job(owner, job, request, approval))
      return TRUE;
  }
  return FALSE;
}

static void
keep(MmMachine *machine, const MmTaskRef *task) {
  for (guint i = 0; i < machine->kept_list->len; i++) {
    const MmTaskRef *kept = &g_array_index(machine->kept_list, MmTaskRef, i);
    if (kept->number == task->number && mm_name_equal(&kept->job, &task->job))
      return;
  }
  if (machine->kept_list->len < KEPT_MAX)
    g_array_append_val(machine->kept_list, *task);
}

/* The kept-list answers the machine's next request first. */
static gboolean
try_kept(MmOwner *owner, const MmAsk *request, MmMachine *list_machine, guint position,
         MmApproval *approval) {
  MmTaskRef task = g_array_index(list_machine->kept_list, MmTaskRef, position);

  g_array_remove_index(list_machine->kept_list, position);
  return try_task(owner, mm_job_table_find(owner->node->job_table, task.job.s), task.number,
                  request, approval);
}

/* A random task from the longest kept-list; without any, the oldest unassigned task that fits. */
static gboolean
try_pull(MmOwner *owner, const MmAsk *request, GPtrArray *jobs, MmApproval *approval) {
  MmMachineTable *machine_table = owner->node->machine_table;
  MmMachine *longest = NULL;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    if (machine->kept_list->len > (longest != NULL ? longest->kept_list->len : 0))
      longest = machine;
  }
  if (longest != NULL
      && try_kept(owner, request, longest,
                  (guint)g_rand_int_range(owner->node->rand, 0, (gint32)longest->kept_list->len),
                  approval))
    return TRUE;
  for (guint i = 0; i < jobs->len; i++)
    if (try_job(owner, g_ptr_array_index(jobs, i), request, approval))
      return TRUE;
  return FALSE;
}

/* In an order as old as the last slow tick at most. */
const GPtrArray *
mm_owner_pressing(MmOwner *owner) {
  MmJobTable *job_table = owner->node->job_table;

  if (!owner->pressing_stale)
    return owner->pressing;
  owner->pressing_stale = FALSE;
  g_ptr_array_set_size(owner->pressing, 0);
  for (guint i = 0; i < job_table->order->len; i++) {
    MmJob *job = g_ptr_array_index(job_table->order, i);
    if (job->tasks != NULL && !mm_job_is_gang(job) && !job->cancelled)
      g_ptr_array_add(owner->pressing, job);
  }
  g_ptr_array_sort(owner->pressing, mm_owner_compare_pressing);
  return owner->pressing;
}

gboolean
mm_owner_ask(MmOwner *owner, MmAsk *request, MmApproval *approval) {
  MmJobTable *job_table = owner->node->job_table;
  g_autoptr(GPtrArray) jobs = NULL;
  const GPtrArray *by_urgency;

  if (!mm_node_lease_is_valid(owner->node->node_lease)
      || !mm_machine_is_usable(owner->node->machine_table, request->machine)
      || mm_heartbeat_id_is_newer(request->machine->latest_message_id, request->stamp)
      || mm_time_before(mm_node_now(owner->node), request->machine->full_until))
    return FALSE;
  if (mm_owner_reserved(owner, request, approval))
    return TRUE;
  request->room = mm_resources_least(
      request->room, mm_machine_available_resources(owner->node->machine_table, request->machine));
  by_urgency = mm_owner_pressing(owner);
  jobs = g_ptr_array_sized_new(by_urgency->len);
  for (guint i = 0; i < by_urgency->len; i++) {
    MmJob *job = g_ptr_array_index(by_urgency, i);
    if (job->idle > 0 && mm_resources_fits(job->spec.need, request->room)
        && mm_owner_open(owner, job) && mm_owner_quota_allows(owner, job->held, job, 1))
      g_ptr_array_add(jobs, job);
  }
  if (jobs->len == 0)
    return FALSE;
  if (try_first(owner, request, jobs, approval))
    return TRUE;
  while (request->machine->kept_list->len > 0)
    if (try_kept(owner, request, request->machine, 0, approval))
      return TRUE;
  for (guint i = 0; i < request->n; i++) {
    if (!try_task(owner, mm_job_table_find(job_table, request->tasks[i].job.s),
                  request->tasks[i].number, request, approval))
      continue;
    for (guint k = i + 1; k < request->n; k++) {
      const MmJob *job = mm_job_table_find(job_table, request->tasks[k].job.s);
      if (job != NULL && job->tasks != NULL && request->tasks[k].number < job->spec.tasks
          && job->tasks[request->tasks[k].number].state == MM_TASK_IDLE)
        keep(request->machine, &request->tasks[k]);
    }
    return TRUE;
  }
  return request->pull && try_pull(owner, request, jobs, approval);
}

void
mm_owner_peer_ask(MmOwner *owner, guint peer, const Mm__Ask *message) {
  MmMachine *machine = mm_machine_table_find(owner->node->machine_table, message->machine);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Answer answer = MM__ANSWER__INIT;
  Mm__Approval approval_message = MM__APPROVAL__INIT;
  MmApproval approval;
  MmAsk request = { .machine = machine,
                    .stamp = { message->session, message->seq },
                    .room = { message->cores, message->accelerators, message->memory_gb },
                    .pull = message->pull };

  for (size_t i = 0; i < message->n_candidates && request.n < MM_RANK_CANDIDATES_MAX; i++)
    request.tasks[request.n++]
        = (MmTaskRef){ mm_name(message->candidates[i]->job), message->candidates[i]->number };
  answer.id = message->id;
  if (machine != NULL && mm_owner_ask(owner, &request, &approval)) {
    approval_message.job = approval.job.s;
    approval_message.number = approval.number;
    approval_message.attempt = approval.attempt.v;
    approval_message.team = approval.part.s;
    approval_message.term = approval.term.v;
    answer.approval = &approval_message;
  }
  answer.unfinished = mm_owner_unfinished(owner);
  frame.body_case = MM__FRAME__BODY_ANSWER;
  frame.answer = &answer;
  mm_links_send(owner->node->links, peer, &frame);
}
