#include "scheduler/admission.h"

#include "base/wire.h"
#include "leases/node-lease.h"
#include "machines/task-slots.h"
#include "peers/peer-links.h"
#include "placement/accelerator-reserve.h"
#include "scheduler/gang.h"
#include "scheduler/led-shards.h"
#include "scheduler/pending-tasks.h"
#include "scheduler/placement-estimate.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "scheduler/start-rules.h"
#include "scheduler/task-state.h"
#include "scheduler/urgency.h"

/* Maximum number of retained candidates of a machine. These candidates are tried first at the
 * machine's next start requests. */
#define RETAINED_CANDIDATES_MAX 64
/* Maximum number of tasks of one job that are tried for one request. */
#define JOB_TASKS_TRIED_MAX 8
/* How long a pending task is not started again on the machine on which it last failed, or from
 * which it was moved. */
#define AVOID_FAILED_MACHINE_MS 60000
/* How long a task must have waited before a machine with accelerators is unreserved for this
 * task. */
#define UNRESERVE_MACHINE_AFTER_MS 800
/* An attempt number has the term in its high bits and a sequence number in these low bits. */
#define ATTEMPT_SEQUENCE_BITS 24
#define ATTEMPT_SEQUENCE_MASK 0xffffff

MmAttempt
mm_scheduler_next_attempt(MmScheduler *scheduler, const MmLedShard *shard) {
  /* No attempt number is ever used twice, because terms are never reused. The sequence restarts
   * with the process, but a new process acquires a new term before it approves any start. Starts
   * therefore need not be recorded in the key-value store to make attempt numbers unique. */
  return (MmAttempt){ shard->term.v << ATTEMPT_SEQUENCE_BITS
                      | (++scheduler->attempt_sequence & ATTEMPT_SEQUENCE_MASK) };
}

/* Returns whether the reserve of machines with accelerators permits the start. A machine of the
 * reserve is unreserved only for a task that has waited for UNRESERVE_MACHINE_AFTER_MS and that no
 * machine could run otherwise, not even after a preemption. */
static gboolean
reserve_allows(MmScheduler *scheduler, MmJob *job, const MmTask *task,
               const MmStartRequest *request) {
  MmNode *node = scheduler->node;
  MmReserveEffect effect
      = mm_placement_check_reserve(node->placement, job, request->machine, request->free_resources);
  const MmPlacementEstimate *estimate;

  if (effect < MM_RESERVE_WOULD_SHRINK)
    return TRUE;
  if (effect == MM_RESERVE_FORBIDDEN
      || mm_time_ms_since(mm_node_now(node), task->state_since) < UNRESERVE_MACHINE_AFTER_MS
      || !mm_placement_may_unreserve_machine(node->placement, request->machine))
    return FALSE;
  estimate = mm_scheduler_estimate_placement(scheduler, job);
  return estimate != NULL && !mm_scheduler_can_start(estimate->soonest_delay_s);
}

/* Returns whether the request meets the start conditions that are the same for all tasks of the
 * job. */
static gboolean
job_may_start(MmScheduler *scheduler, const MmJob *job, const MmStartRequest *request) {
  return mm_resources_fits(job->spec.task_resources, request->free_resources)
         && !mm_scheduler_must_yield_to_gang(scheduler, job)
         && mm_scheduler_constraints_allow(job, request->machine)
         && mm_scheduler_limit_allows(scheduler, job->led_shard, job, 1);
}

static gboolean
task_may_start(MmScheduler *scheduler, MmJob *job, guint number, const MmStartRequest *request) {
  const MmTask *task = mm_job_task(job, number);
  MmTime now = mm_node_now(scheduler->node);

  return task->state == MM_TASK_PENDING && !mm_time_before(now, task->retry_not_before)
         && !(mm_name_equal(&task->last_failed_on, &request->machine->id)
              && mm_time_ms_since(now, task->state_since) < AVOID_FAILED_MACHINE_MS)
         && reserve_allows(scheduler, job, task, request)
         && !(mm_scheduler_has_precedence(scheduler, job)
              && mm_scheduler_starts_sooner_elsewhere(scheduler, job, task, request->machine));
}

static void
approve_task(MmScheduler *scheduler, MmLedShard *shard, MmJob *job, guint number,
             const MmStartRequest *request, MmApproval *approval) {
  MmAttempt attempt = mm_scheduler_next_attempt(scheduler, shard);

  mm_scheduler_place_task(scheduler, job, number, request->machine, MM_TASK_START_SENT, attempt);
  mm_job_edit_task(job, number)->start_heartbeat_id = request->heartbeat_id;
  *approval = (MmApproval){ .job = job->spec.id,
                            .number = number,
                            .attempt = attempt,
                            .shard = mm_name(shard->name),
                            .term = shard->term,
                            .was_reserved = FALSE };
  mm_debug("task %s/%u start approved machine=%s type=%s cached=%d waited_s=%.1f", job->spec.id.s,
           number, request->machine->id.s, request->machine->type_name.s,
           mm_machine_has_cached_image(request->machine, &job->spec.image),
           mm_job_waiting_time_s(job, mm_node_wall_ms(scheduler->node)));
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

/* Approves the first pending task of the job that may start on the machine, in the order of task
 * numbers. Returns FALSE when none of the first JOB_TASKS_TRIED_MAX pending tasks may start
 * there. */
static gboolean
try_start_any_task(MmScheduler *scheduler, MmJob *job, const MmStartRequest *request,
                   MmApproval *approval) {
  guint tries_left = JOB_TASKS_TRIED_MAX;
  MmPendingRun run;

  if (!job_may_start(scheduler, job, request))
    return FALSE;
  for (guint i = job->first_pending; tries_left > 0 && mm_job_next_pending_run(job, i, &run);
       i = run.first + run.length) {
    /* What is decided for one task of the run holds for all of them. */
    if (task_may_start(scheduler, job, run.first, request)) {
      approve_task(scheduler, job->led_shard, job, run.first, request, approval);
      return TRUE;
    }
    tries_left -= MIN(run.length, tries_left);
  }
  return FALSE;
}

/* Tries the jobs that have precedence, most urgent first. Such a job is preferred on every machine
 * that it fits on. */
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
add_to_retained_candidates(MmMachine *machine, const MmTaskRef *task) {
  for (guint i = 0; i < machine->retained_candidates->len; i++) {
    const MmTaskRef *retained = &g_array_index(machine->retained_candidates, MmTaskRef, i);
    if (retained->number == task->number && mm_name_equal(&retained->job, &task->job))
      return;
  }
  if (machine->retained_candidates->len < RETAINED_CANDIDATES_MAX)
    g_array_append_val(machine->retained_candidates, *task);
}

/* Removes the task at `position` from the retained candidates of `retaining_machine`. Approves this
 * task for the request's machine if the task may start there. */
static gboolean
try_retained_candidate(MmScheduler *scheduler, const MmStartRequest *request,
                       MmMachine *retaining_machine, guint position, MmApproval *approval) {
  MmTaskRef task = g_array_index(retaining_machine->retained_candidates, MmTaskRef, position);

  g_array_remove_index(retaining_machine->retained_candidates, position);
  return try_start_task(scheduler, mm_job_table_find(scheduler->node->job_table, task.job.s),
                        task.number, request, approval);
}

/* Finds the machine with the most retained candidates and tries a random one of these candidates.
 * If there is no candidate or the candidate may not start, tries the most urgent pending tasks that
 * fit. */
static gboolean
try_pull(MmScheduler *scheduler, const MmStartRequest *request, GPtrArray *jobs,
         MmApproval *approval) {
  MmMachineTable *machine_table = scheduler->node->machine_table;
  MmMachine *longest = NULL;

  for (guint i = 0; i < machine_table->sorted_machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->sorted_machines, i);
    if (machine->retained_candidates->len
        > (longest != NULL ? longest->retained_candidates->len : 0))
      longest = machine;
  }
  if (longest != NULL
      && try_retained_candidate(scheduler, request, longest,
                                (guint)g_rand_int_range(scheduler->node->rand, 0,
                                                        (gint32)longest->retained_candidates->len),
                                approval))
    return TRUE;
  for (guint i = 0; i < jobs->len; i++)
    if (try_start_any_task(scheduler, g_ptr_array_index(jobs, i), request, approval))
      return TRUE;
  return FALSE;
}

/* Returns whether the request may be granted at all. This node's lease must be valid. The machine
 * must be usable. The machine must have sent no message that is newer than the heartbeat of the
 * request. The time MmMachine.no_starts_until must have passed. This time is set when the machine
 * refuses a start for lack of resources, and when the machine does not request a reserved place in
 * time. */
static gboolean
is_admissible(const MmScheduler *scheduler, const MmStartRequest *request) {
  const MmNode *node = scheduler->node;
  const MmMachine *machine = request->machine;

  return mm_node_lease_is_valid(node->node_lease)
         && mm_machine_is_usable(node->machine_table, machine)
         && !mm_heartbeat_id_is_newer(machine->latest_message_id, request->heartbeat_id)
         && !mm_time_before(mm_node_now(node), machine->no_starts_until);
}

/* Returns the jobs of which a task fits into the request's free resources and into the team's
 * limit, most urgent first. The caller owns the array. */
static GPtrArray *
list_fitting_jobs(MmScheduler *scheduler, const MmStartRequest *request) {
  const GPtrArray *by_urgency = mm_scheduler_jobs_by_urgency(scheduler);
  GPtrArray *jobs = g_ptr_array_sized_new(by_urgency->len);

  for (guint i = 0; i < by_urgency->len; i++) {
    MmJob *job = g_ptr_array_index(by_urgency, i);
    if (job->n_pending > 0 && mm_resources_fits(job->spec.task_resources, request->free_resources)
        && mm_scheduler_job_is_schedulable(scheduler, job)
        && mm_scheduler_limit_allows(scheduler, job->led_shard, job, 1))
      g_ptr_array_add(jobs, job);
  }
  return jobs;
}

/* Adds candidates of the request to the machine's retained candidates, which are tried first at
 * the machine's next requests. Starts at index `first` of the candidates, and leaves out tasks that
 * are no longer pending. */
static void
retain_candidates(const MmScheduler *scheduler, const MmStartRequest *request, guint first) {
  for (guint i = first; i < request->n_tasks; i++) {
    const MmTaskRef *candidate = &request->tasks[i];
    const MmJob *job = mm_job_table_find(scheduler->node->job_table, candidate->job.s);
    if (job != NULL && job->tasks != NULL && candidate->number < job->spec.n_tasks
        && mm_job_task(job, candidate->number)->state == MM_TASK_PENDING)
      add_to_retained_candidates(request->machine, candidate);
  }
}

/* Approves the first candidate that may start, and retains the candidates after this one. */
static gboolean
try_candidates(MmScheduler *scheduler, const MmStartRequest *request, MmApproval *approval) {
  for (guint i = 0; i < request->n_tasks; i++) {
    const MmTaskRef *candidate = &request->tasks[i];
    MmJob *job = mm_job_table_find(scheduler->node->job_table, candidate->job.s);
    if (!try_start_task(scheduler, job, candidate->number, request, approval))
      continue;
    retain_candidates(scheduler, request, i + 1);
    return TRUE;
  }
  return FALSE;
}

gboolean
mm_scheduler_approve_start(MmScheduler *scheduler, MmStartRequest *request, MmApproval *approval) {
  MmMachine *machine = request->machine;
  g_autoptr(GPtrArray) jobs = NULL;

  if (!is_admissible(scheduler, request))
    return FALSE;
  if (mm_scheduler_approve_reserved_start(scheduler, request, approval))
    return TRUE;
  request->free_resources
      = mm_resources_min(request->free_resources,
                         mm_machine_available_resources(scheduler->node->machine_table, machine));
  jobs = list_fitting_jobs(scheduler, request);
  if (jobs->len == 0)
    return FALSE;
  if (try_precedence_jobs(scheduler, request, jobs, approval))
    return TRUE;
  while (machine->retained_candidates->len > 0)
    if (try_retained_candidate(scheduler, request, machine, 0, approval))
      return TRUE;
  if (try_candidates(scheduler, request, approval))
    return TRUE;
  return request->is_pull && try_pull(scheduler, request, jobs, approval);
}

static MmStartRequest
start_request_from_message(MmMachine *machine, const Mm__StartRequest *message) {
  MmStartRequest request = { .machine = machine,
                             .heartbeat_id = { message->incarnation, message->sequence },
                             .free_resources = { message->cores, message->accelerators,
                                                 message->memory_gb, MM_TASK_SLOTS_MAX },
                             .is_pull = message->pull };

  for (size_t i = 0; i < message->n_candidates && request.n_tasks < MM_PLACEMENT_CANDIDATES_MAX;
       i++)
    request.tasks[request.n_tasks++]
        = (MmTaskRef){ mm_name(message->candidates[i]->job), message->candidates[i]->number };
  return request;
}

/* Fills in the message. The strings of the message point into the approval, which must outlive the
 * message. */
static void
approval_to_message(MmApproval *approval, Mm__Approval *message) {
  message->job = approval->job.s;
  message->number = approval->number;
  message->attempt = approval->attempt.v;
  message->team = approval->shard.s;
  message->term = approval->term.v;
}

void
mm_scheduler_peer_start_request(MmScheduler *scheduler, guint peer,
                                const Mm__StartRequest *message) {
  MmMachine *machine = mm_machine_table_find(scheduler->node->machine_table, message->machine);
  MmStartRequest request = start_request_from_message(machine, message);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__StartResponse response = MM__START_RESPONSE__INIT;
  Mm__Approval approval_message = MM__APPROVAL__INIT;
  MmApproval approval;

  response.id = message->id;
  if (machine != NULL && mm_scheduler_approve_start(scheduler, &request, &approval)) {
    approval_to_message(&approval, &approval_message);
    response.approval = &approval_message;
  }
  response.n_pending_tasks = mm_scheduler_count_pending_tasks(scheduler);
  frame.body_case = MM__FRAME__BODY_START_RESPONSE;
  frame.start_response = &response;
  mm_peer_links_send(scheduler->node->peer_links, peer, &frame);
}
