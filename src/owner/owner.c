#include "owner/owner.h"

#include "base/wire.h"
#include "checkin/checkin.h"
#include "parts/claims.h"
#include "peers/links.h"
#include "store/replica.h"
#include "store/store.h"

#define WRITE_EVERY_MS 1000
#define WRITE_DELAY_MS 300
#define SLOW_TICK_MS 100
/* At all machines, in a slow tick. */
#define LOOKS_A_ROUND 8
#define OWED_TASKS 4
#define YIELD_MOST_MS 240000
#define YIELD_JOBS 3
#define ECHO_EVERY_MS 3000
/* In a slow tick: each takes about half a millisecond. */
#define ECHOES_A_CORE 40
#define ECHOES_LEAST 2
#define ECHOES_MOST 16
/* A worker shows a higher term half a second after it was told, if it does so before its next
 * report. */
#define TAKEN_IN_MS 1200
#define SOON_PERIODS 0.6
#define STOP_EVERY_MS 2000
#define BACKLOG_JOBS 64
#define BACKLOG_TASKS 512
#define BACKLOG_RANGES 16

static void
held_free(gpointer data) {
  MmHeld *held = data;

  g_hash_table_unref(held->unheard);
  g_array_unref(held->unheard_kinds);
  g_free(held->name);
  g_free(held);
}

MmOwner *
mm_owner_new(MmNode *node) {
  MmOwner *owner = g_new0(MmOwner, 1);

  owner->node = node;
  owner->pressing = g_ptr_array_new();
  owner->team_used = g_new0(MmRoom, node->settings->teams->len);
  owner->held = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, held_free);
  owner->guesses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return owner;
}

void
mm_owner_free(MmOwner *owner) {
  g_ptr_array_unref(owner->pressing);
  g_free(owner->team_used);
  g_hash_table_unref(owner->held);
  g_hash_table_unref(owner->guesses);
  g_free(owner);
}

MmHeld *
mm_owner_held(const MmOwner *owner, const MmJob *job) {
  return job->held != NULL ? job->held : g_hash_table_lookup(owner->held, job->part);
}

/* ---- where tasks are ---- */

static gboolean
is_live(guint8 state) {
  return state != MM_TASK_IDLE && state != MM_TASK_DONE;
}

static void
unlist(MmMachine *machine, const MmJob *job, guint number) {
  if (machine != NULL)
    machine->free_as = 0;
  for (guint i = 0; machine != NULL && i < machine->placed->len; i++) {
    const MmPlaced *placed = g_ptr_array_index(machine->placed, i);
    if (placed->job == job && placed->number == number) {
      g_ptr_array_remove_index_fast(machine->placed, i);
      return;
    }
  }
}

static void
set_state(MmOwner *owner, MmJob *job, guint number, guint8 state) {
  MmTask *task = &job->tasks[number];

  if (task->state == state)
    return;
  job->idle -= task->state == MM_TASK_IDLE;
  job->live -= is_live(task->state);
  job->idle += state == MM_TASK_IDLE;
  job->live += is_live(state);
  if (is_live(state) != is_live(task->state)) {
    MmHeld *held = mm_owner_held(owner, job);
    if (held != NULL)
      held->used = is_live(state) ? mm_room_add(held->used, job->spec.need)
                                  : mm_room_sub(held->used, job->spec.need);
  }
  task->state = state;
  task->since = mm_node_now(owner->node);
  if (state == MM_TASK_IDLE)
    job->first_idle = MIN(job->first_idle, number);
  mm_rank_changed(owner->node->rank);
}

void
mm_owner_place(MmOwner *owner, MmJob *job, guint number, MmMachine *machine, MmTaskState state,
               MmAttempt attempt) {
  MmTask *task = &job->tasks[number];

  if (task->machine != machine) {
    MmPlaced *placed = g_new(MmPlaced, 1);
    unlist(task->machine, job, number);
    *placed = (MmPlaced){ job, number };
    g_ptr_array_add(machine->placed, placed);
    task->machine = machine;
    if (state == MM_TASK_ISSUED) {
      machine->promised = mm_room_sub(machine->promised, job->spec.need);
      if (machine->promised.cores < 0)
        machine->promised = (MmRoom){ 0 };
    }
  }
  if (task->attempt.v != attempt.v)
    task->stopping = FALSE;
  task->attempt = attempt;
  machine->free_as = 0;
  set_state(owner, job, number, (guint8)state);
}

void
mm_owner_unplace(MmOwner *owner, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];

  unlist(task->machine, job, number);
  task->machine = NULL;
  task->stopping = FALSE;
  set_state(owner, job, number, MM_TASK_IDLE);
}

/* ---- taking and dropping parts ---- */

static void
drop_job(MmOwner *owner, MmJob *job) {
  MmHeld *held = mm_owner_held(owner, job);

  if (held != NULL && held->owed_to == job)
    held->owed_to = NULL;
  if (held != NULL && job->live > 0) {
    held->used.cores -= job->live * job->spec.need.cores;
    held->used.accelerators -= job->live * job->spec.need.accelerators;
  }
  for (guint i = 0; job->tasks != NULL && i < job->spec.tasks; i++)
    unlist(job->tasks[i].machine, job, i);
  g_clear_pointer(&job->tasks, g_free);
  mm_done_set_clear(&job->done);
  job->idle = job->live = 0;
  job->writing = FALSE;
  job->held = NULL;
  owner->pressing_stale = TRUE;
  mm_rank_changed(owner->node->rank);
}

static void
adopt_job(MmOwner *owner, MmHeld *held, MmJob *job) {
  MmTime now = mm_node_now(owner->node);

  job->held = held;
  owner->pressing_stale = TRUE;
  job->tasks = g_new0(MmTask, job->spec.tasks);
  mm_done_set_init(&job->done, job->spec.tasks);
  job->first_idle = 0;
  job->idle = job->live = 0;
  job->known_after_claim = FALSE;
  for (guint i = 0; i < job->spec.tasks; i++) {
    job->tasks[i].since = now;
    if (mm_done_set_has(&job->recorded, i)) {
      job->tasks[i].state = MM_TASK_DONE;
      mm_done_set_add(&job->done, i);
    } else {
      job->idle++;
    }
  }
  if (job->done.count == job->spec.tasks)
    job->dirty = now;
  mm_rank_changed(owner->node->rank);
}

static void
drop_part(MmOwner *owner, const char *name) {
  MmBook *book = owner->node->book;

  for (guint i = 0; i < book->order->len; i++) {
    MmJob *job = g_ptr_array_index(book->order, i);
    if (strcmp(job->part, name) == 0)
      drop_job(owner, job);
  }
  mm_info("part %s is no longer held here", name);
  g_hash_table_remove(owner->held, name);
}

static void
check_ready(MmOwner *owner, MmHeld *held) {
  if (held->ready || g_hash_table_size(held->unheard) > 0)
    return;
  held->ready = TRUE;
  mm_info("part %s is ready %" G_GINT64_FORMAT " ms after it was taken", held->name,
          mm_time_ms_since(mm_node_now(owner->node), held->taken));
  mm_rank_changed(owner->node->rank);
}

static void take_tasks(MmOwner *owner, MmMachine *machine, const char *only_part);

static void
adopt_part(MmOwner *owner, const char *name, const MmTeamSettings *team, const MmPart *part) {
  MmNode *node = owner->node;
  MmHeld *held = g_new0(MmHeld, 1);

  held->name = g_strdup(name);
  held->term = part->term;
  held->mark = part->mark;
  held->team = team;
  held->taken = mm_node_now(node);
  held->unheard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  held->unheard_kinds = g_array_new(FALSE, TRUE, sizeof(MmMachineKind));
  g_hash_table_insert(owner->held, held->name, held);
  for (guint i = 0; i < node->book->order->len; i++) {
    MmJob *job = g_ptr_array_index(node->book->order, i);
    if (strcmp(job->part, name) == 0)
      adopt_job(owner, held, job);
  }
  /* Machines registered later than this term only ever get starts of this term or a later one:
   * whoever answers them has seen their registration, and so the term, in the replica. */
  for (guint i = 0; i < node->roster->order->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->roster->order, i);
    if (!machine->registered || machine->lost)
      continue;
    if (machine->heard && machine->token.v >= held->term.v)
      take_tasks(owner, machine, name);
    else
      g_hash_table_insert(held->unheard, g_strdup(machine->id.s),
                          GSIZE_TO_POINTER(machine->registered_session));
    machine->echo_asked.us = 0;
  }
  held->unheard_changed = TRUE;
  mm_info("part %s is held here with term %" G_GUINT64_FORMAT ", %u machines to hear", name,
          held->term.v, g_hash_table_size(held->unheard));
  check_ready(owner, held);
}

void
mm_owner_replica_changed(MmOwner *owner) {
  MmNode *node = owner->node;

  for (guint i = 0; i < node->settings->teams->len; i++) {
    const MmTeamSettings *team = &g_array_index(node->settings->teams, MmTeamSettings, i);
    g_autofree char *name = mm_claims_part_of_team(&team->name);
    MmHeld *held = g_hash_table_lookup(owner->held, name);
    gboolean holds = mm_claims_holds(node->claims, name);
    const MmPart *part = mm_replica_part(node->replica, name);

    if (held != NULL && (!holds || part->term.v != held->term.v)) {
      drop_part(owner, name);
      held = NULL;
    }
    if (held == NULL && holds)
      adopt_part(owner, name, team, part);
  }
}

void
mm_owner_job_changed(MmOwner *owner, MmJob *job) {
  MmHeld *held = mm_owner_held(owner, job);

  mm_owner_set_due(owner, job);

  if (held != NULL && job->tasks == NULL) {
    adopt_job(owner, held, job);
    /* The watch shows changes in order: this job came after the part was taken, so no earlier
     * holder can have started any of it. */
    job->known_after_claim = job->mark.v > held->mark.v && owner->node->replica->loaded;
  }
  if (job->tasks != NULL && job->cancelled)
    mm_rank_changed(owner->node->rank);
}

void
mm_owner_job_removed(MmOwner *owner, MmJob *job) {
  if (owner->yield == job)
    owner->yield = NULL;
  drop_job(owner, job);
}

double
mm_owner_grace_s(const MmJob *job) {
  return job->spec.checkpoint_s > 0 && !job->cancelled ? job->spec.save_s + 1 : 0;
}

void
mm_owner_stop_task(MmOwner *owner, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];

  if (task->machine == NULL || task->state == MM_TASK_RESERVED)
    return;
  task->stopping = TRUE;
  task->told = mm_node_now(owner->node);
  mm_owner_stop(owner, task->machine, &job->spec.id, number, task->attempt, mm_owner_grace_s(job));
}

/* Those of its tasks that show on machines which this node answers, and that no part held here has
 * placed there: perhaps no part's holder can be reached, or none is left. */
static void
stop_seen(MmOwner *owner, const MmJob *job) {
  const GPtrArray *machines = owner->node->roster->order;

  for (guint i = 0; i < machines->len; i++) {
    MmMachine *machine = g_ptr_array_index(machines, i);
    for (guint k = 0; machine->host == MM_HOST_SELF && k < machine->tasks->len; k++) {
      const MmSeenTask *seen = &g_array_index(machine->tasks, MmSeenTask, k);
      if (seen->state != MM_SEEN_ENDED && mm_name_equal(&seen->job, &job->spec.id)
          && (job->tasks == NULL || seen->number >= job->spec.tasks
              || job->tasks[seen->number].machine != machine))
        mm_owner_stop(owner, machine, &seen->job, seen->number, seen->attempt, 0);
    }
  }
}

gboolean
mm_owner_cancelled(MmOwner *owner, const char *id) {
  MmJob *job = mm_book_find(owner->node->book, id);

  if (job == NULL)
    return mm_book_is_over(owner->node->book, id);
  if (job->cancelled)
    return TRUE;
  job->cancelled = TRUE;
  job->cancel_served_us = owner->node->store->served_us;
  for (guint i = 0; job->tasks != NULL && i < job->spec.tasks; i++) {
    if (job->tasks[i].state == MM_TASK_RESERVED)
      mm_owner_unplace(owner, job, i);
    else if (is_live(job->tasks[i].state))
      mm_owner_stop_task(owner, job, i);
  }
  stop_seen(owner, job);
  mm_rank_changed(owner->node->rank);
  return TRUE;
}

/* ---- commands ---- */

static void
direct_answered(gpointer data, int status, json_t *body) {
  MmOwner *owner = data;
  MmReport report;
  const char *reason = NULL;

  if (status != 200 && status != 409)
    return;
  if (mm_report_parse(&report, body, &reason)) {
    MmMachine *machine = mm_roster_find(owner->node->roster, report.machine.s);
    gboolean echo = machine != NULL && report.token.v > machine->token.v;
    report.direct = TRUE;
    if (machine != NULL)
      machine
          = mm_roster_take(owner->node->roster, &report, mm_node_now(owner->node), MM_HOST_NONE);
    /* Other nodes may wait for the same echo. */
    if (echo && machine != NULL)
      mm_links_tell_direct(owner->node->links, machine);
  }
  mm_report_clear(&report);
}

static void
send_direct(MmOwner *owner, MmMachine *machine, json_t *commands) {
  MmNode *node = owner->node;
  g_autoptr(json_t) body
      = json_pack("{s:I, s:I, s:o}", W_TOKEN, (json_int_t)node->replica->term.v, W_SESSION,
                  (json_int_t)MAX(machine->stamp.session, 1), W_COMMANDS, commands);

  if (machine->addr[0] == '\0' || !mm_claims_may_answer(node->claims))
    return;
  node->port.request(node->port.self, MM_TARGET_WORKER, machine->addr, "POST", W_DIRECT_PATH, body,
                     2000, direct_answered, owner);
}

void
mm_owner_stop(MmOwner *owner, MmMachine *machine, const MmName *job, guint number,
              MmAttempt attempt, double grace_s) {
  MmCommand command = { MM_OP_STOP, *job, number, attempt, grace_s };
  json_t *commands = json_array();

  json_array_append_new(commands, mm_command_to_json(&command));
  send_direct(owner, machine, commands);
}

/* ---- reports ---- */

/* Old days weigh less and less: guesses may be too high on one day and too low on the next. */
static void
learn(MmOwner *owner, const MmJob *job, double ran_s) {
  MmGuesses *guesses = g_hash_table_lookup(owner->guesses, job->spec.job_class.s);

  if (job->spec.estimate_s <= 0)
    return;
  if (guesses == NULL) {
    guesses = g_new0(MmGuesses, 1);
    g_hash_table_insert(owner->guesses, g_strdup(job->spec.job_class.s), guesses);
  }
  guesses->seen_s = guesses->seen_s * 0.98 + ran_s;
  guesses->guessed_s = guesses->guessed_s * 0.98 + job->spec.estimate_s;
}

static void
task_done(MmOwner *owner, MmJob *job, guint number) {
  MmTask *task = &job->tasks[number];
  MmTime now = mm_node_now(owner->node);

  if (task->state == MM_TASK_DONE || job->spec.kind == MM_KIND_SERVICE)
    return;
  if (task->state == MM_TASK_RUNNING) {
    double ran_s = (double)mm_time_ms_since(now, task->since) / 1000.0;
    job->seen_s += ran_s;
    job->seen_n++;
    learn(owner, job, ran_s);
  }
  if (task->machine != NULL)
    mm_owner_unplace(owner, job, number);
  set_state(owner, job, number, MM_TASK_DONE);
  mm_done_set_add(&job->done, number);
  job->failed_tasks = 0;
  if (job->dirty.us == 0)
    job->dirty = now;
}

/* What each cause of ending asks for. The task has left the machine in every case. */
static void
task_ended(MmOwner *owner, MmJob *job, guint number, MmMachine *machine, MmCause cause) {
  MmTask *task = &job->tasks[number];
  MmTime now = mm_node_now(owner->node);

  mm_owner_unplace(owner, job, number);
  switch (cause) {
  case MM_CAUSE_ERROR:
    task->errors = MIN(task->errors + 1, 10);
    task->avoid = machine->id;
    task->not_before = mm_time_add_ms(now, MIN(500 << task->errors, 30000));
    /* A job that fails everywhere may not hog the fleet. */
    if (++job->failed_tasks >= 4)
      job->paused_until = mm_time_add_ms(now, MIN(2000 << MIN(job->failed_tasks - 4, 5), 60000));
    break;
  case MM_CAUSE_NO_ROOM:
    /* Our idea of its room was wrong; the next report but one shows better. */
    machine->full_until = mm_time_add_ms(now, (gint64)(owner->node->settings->report_s * 1000));
    break;
  case MM_CAUSE_UNKNOWN:
    /* The user has not uploaded it yet, or never does. */
    task->not_before = mm_time_add_ms(now, 2000);
    break;
  case MM_CAUSE_BUSY: /* the other attempt shows in the same report */
  case MM_CAUSE_ALONE:
  case MM_CAUSE_PEERS:
  case MM_CAUSE_STOPPED:
  default:
    break;
  }
}

static MmTaskState
state_of_seen(guint8 seen) {
  static const MmTaskState map[]
      = { MM_TASK_FETCHING, MM_TASK_WAITING, MM_TASK_RUNNING, MM_TASK_SAVING };
  return map[MIN(seen, MM_SEEN_SAVING)];
}

static void
take_task(MmOwner *owner, MmMachine *machine, MmJob *job, const MmSeenTask *seen) {
  MmTask *task = &job->tasks[seen->number];
  gboolean same = task->machine == machine && task->attempt.v == seen->attempt.v;

  if (seen->state == MM_SEEN_ENDED) {
    if (seen->cause == MM_CAUSE_DONE && (same || !is_live(task->state)))
      task_done(owner, job, seen->number);
    else if (same && is_live(task->state))
      task_ended(owner, job, seen->number, machine, seen->cause);
    return;
  }
  if (same || !is_live(task->state) || task->state == MM_TASK_RESERVED
      || task->machine == machine) {
    if (task->state == MM_TASK_DONE)
      return; /* to be stopped, see commands_for */
    if (same && task->state == MM_TASK_ISSUED)
      machine->denied = 0;
    mm_owner_place(owner, job, seen->number, machine, state_of_seen(seen->state), seen->attempt);
    return;
  }
  /* A newer attempt is only ever approved when the older is gone for certain: of two that show, the
   * older is what a late report brought back. */
  if (seen->attempt.v > task->attempt.v) {
    mm_info("task %s/%u is on %s: what %s showed is over", job->spec.id.s, seen->number,
            machine->id.s, task->machine->id.s);
    mm_owner_place(owner, job, seen->number, machine, state_of_seen(seen->state), seen->attempt);
    return;
  }
  mm_info("task %s/%u shows on %s while it is placed on %s", job->spec.id.s, seen->number,
          machine->id.s, task->machine->id.s);
}

static void
take_tasks(MmOwner *owner, MmMachine *machine, const char *only_part) {
  gboolean unsettled = FALSE;

  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *seen = &g_array_index(machine->tasks, MmSeenTask, i);
    MmJob *job = mm_book_find(owner->node->book, seen->job.s);
    unsettled = unsettled || job == NULL || seen->state == MM_SEEN_ENDED;
    if (job == NULL || job->tasks == NULL || seen->number >= job->spec.tasks)
      continue;
    if (only_part == NULL || strcmp(only_part, job->part) == 0)
      take_task(owner, machine, job, seen);
    unsettled = unsettled || job->tasks[seen->number].machine != machine;
  }
  /* A record may come after the report that shows its tasks, and a result may be taken only once
   * another attempt has left its machine: the same report must then be looked at again. */
  machine->unsettled = unsettled;
}

/* Tasks placed on the machine that this report does not show have left it; a start is denied only
 * by a report that was sent after the one whose answer carried it. */
static void
miss_tasks(MmOwner *owner, MmMachine *machine, const MmReport *report) {
  for (guint i = machine->placed->len; i > 0; i--) {
    const MmPlaced *placed = g_ptr_array_index(machine->placed, i - 1);
    MmJob *job = placed->job;
    guint number = placed->number;
    MmTask *task = &job->tasks[number];

    if (task->state == MM_TASK_RESERVED
        || mm_machine_seen(machine, &job->spec.id, number, task->attempt) != NULL)
      continue;
    if (task->state == MM_TASK_ISSUED) {
      gboolean denied = report->stamp.session > task->issued.session
                        || (!report->direct && mm_stamp_newer(report->stamp, task->issued));
      if (!denied)
        continue;
      mm_debug("start of %s/%u on %s was not carried out", job->spec.id.s, number, machine->id.s);
      if (report->stamp.session == task->issued.session)
        mm_machine_denied(owner->node->roster, machine);
    }
    mm_owner_unplace(owner, job, number);
  }
}

/* Stops and clears that follow from the report. */
static void
commands_for(MmOwner *owner, MmMachine *machine, const MmReport *report) {
  g_autoptr(GArray) commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  MmTime now = mm_node_now(owner->node);

  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *seen = &g_array_index(machine->tasks, MmSeenTask, i);
    MmJob *job = mm_book_find(owner->node->book, seen->job.s);
    MmCommand command = { MM_OP_FORGET, seen->job, seen->number, seen->attempt, 0 };
    MmTask *task;

    if (job == NULL || job->tasks == NULL || seen->number >= job->spec.tasks)
      continue;
    task = &job->tasks[seen->number];
    if (seen->state == MM_SEEN_ENDED) {
      /* The result is forgotten here only once the state service holds it. */
      if (seen->cause == MM_CAUSE_DONE && job->spec.kind != MM_KIND_SERVICE
          && !mm_done_set_has(&job->recorded, seen->number) && !job->cancelled)
        continue;
      g_array_append_val(commands, command);
      continue;
    }
    command.op = MM_OP_STOP;
    command.grace_s = mm_owner_grace_s(job);
    if (job->cancelled || task->state == MM_TASK_DONE
        || (task->stopping && task->machine == machine && mm_time_ms_since(now, task->told) > 500
            && seen->state != MM_SEEN_SAVING)) {
      g_array_append_val(commands, command);
    } else if (machine->warned && !task->stopping && task->machine == machine) {
      /* The machine is about to be taken: save, or at least start again elsewhere sooner. */
      task->stopping = TRUE;
      task->told = now;
      g_array_append_val(commands, command);
    }
  }
  if (commands->len == 0)
    return;
  if (machine->host == MM_HOST_SELF)
    for (guint i = 0; i < commands->len; i++)
      mm_machine_queue(machine, machine->stamp.session, &g_array_index(commands, MmCommand, i));
  else if (machine->host >= 0)
    mm_links_tell_commands(owner->node->links, (guint)machine->host, machine, commands);
}

/* Its report echoes the part's term; or it shows a newer session than any that was on the register
 * when the part was taken: the old session's tasks are gone, and starts for the new one need an
 * entry that only who has seen the part's term can believe. */
static gboolean
is_heard(const MmHeld *held, const MmMachine *machine) {
  gpointer session;

  return machine->token.v >= held->term.v
         || (g_hash_table_lookup_extended(held->unheard, machine->id.s, NULL, &session)
             && machine->stamp.session > GPOINTER_TO_SIZE(session));
}

void
mm_owner_report(MmOwner *owner, MmMachine *machine, const MmReport *report, gboolean changed) {
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size(owner->held) == 0)
    return;
  if (changed || machine->unsettled)
    take_tasks(owner, machine, NULL);
  miss_tasks(owner, machine, report);
  g_hash_table_iter_init(&iter, owner->held);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmHeld *held = value;
    if (!held->ready && is_heard(held, machine)
        && g_hash_table_remove(held->unheard, machine->id.s)) {
      held->unheard_changed = TRUE;
      check_ready(owner, held);
    }
  }
  commands_for(owner, machine, report);
}

/* Lost or returned: nothing is on it any more and no start can reach it. */
void
mm_owner_machine_gone(MmOwner *owner, MmMachine *machine) {
  GHashTableIter iter;
  gpointer value;

  while (machine->placed->len > 0) {
    const MmPlaced *placed = g_ptr_array_index(machine->placed, machine->placed->len - 1);
    mm_owner_unplace(owner, placed->job, placed->number);
  }
  g_hash_table_iter_init(&iter, owner->held);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmHeld *held = value;
    if (g_hash_table_remove(held->unheard, machine->id.s)) {
      held->unheard_changed = TRUE;
      check_ready(owner, held);
    }
  }
}

/* ---- writing what is done ---- */

typedef struct {
  MmName id;
  char *text;
  gboolean final;
  gboolean cancelled;
} Written;

typedef struct {
  MmOwner *owner;
  GArray *jobs; /* Written */
} Write;

static void
written_clear(gpointer data) {
  g_free(((Written *)data)->text);
}

static void
jobs_written(gpointer data, int status, json_t *body) {
  Write *write = data;
  MmOwner *owner = write->owner;
  MmNode *node = owner->node;
  guint64 epoch = mm_json_count(body, W_REVISION, 0);

  owner->writing = FALSE;
  if (status == 409)
    owner->solo = write->jobs->len;
  for (guint i = 0; i < write->jobs->len; i++) {
    const Written *w = &g_array_index(write->jobs, Written, i);
    MmJob *job = mm_book_find(node->book, w->id.s);

    if (status == 200 && w->final)
      mm_book_keep_final(node->book, w->id.s, w->cancelled ? W_CANCELLED : W_DONE,
                         job != NULL && job->tasks != NULL ? job->done.count : 0);
    if (job == NULL)
      continue;
    job->writing = FALSE;
    if (status != 200) {
      job->dirty = mm_node_now(node);
      continue;
    }
    if (!w->final) {
      mm_done_set_parse(&job->recorded, w->text);
      job->mark.v = MAX(job->mark.v, epoch);
    }
  }
  g_array_unref(write->jobs);
  g_free(write);
}

static gboolean
wants_final(MmOwner *owner, const MmJob *job) {
  if (job->cancelled)
    return mm_owner_knows(owner, job) && job->live == 0;
  return job->spec.kind != MM_KIND_SERVICE && job->done.count == job->spec.tasks;
}

/* The longest done set's text that fits beside the rest of the record. */
static char *
record_text(const MmOwner *owner, const MmJob *job) {
  g_autoptr(json_t) bare = mm_job_record(&job->spec, job->submitted_ms, FALSE, NULL);
  gsize base = json_dumpb(bare, NULL, 0, JSON_COMPACT) + 64;
  gsize most = owner->node->settings->state_value_bytes;

  return mm_done_set_text(&job->done, most > base ? most - base : 0);
}

static void
add_to_write(MmOwner *owner, MmTxn *txn, Write *write, MmHeld *held, MmJob *job, gboolean final) {
  Written w = { .id = job->spec.id, .final = final, .cancelled = job->cancelled };

  mm_txn_guard(txn, MM_KEY_JOB, job->spec.id.s, job->mark);
  mm_txn_guard(txn, MM_KEY_PART, held->name, held->mark);
  if (final) {
    mm_info("%s (%s, %u tasks, guess %.0f s) is %s after %.1f s, due %.0f s, runs seen %.0f s",
            job->spec.id.s, job->spec.job_class.s, job->spec.tasks, job->spec.estimate_s,
            job->cancelled ? W_CANCELLED : W_DONE, mm_job_waited_s(owner->node, job),
            job->spec.deadline_s, job->seen_n > 0 ? job->seen_s / job->seen_n : 0);
    mm_txn_put(txn, MM_KEY_FINAL, job->spec.id.s,
               json_pack("{s:s, s:I}", "m", job->cancelled ? W_CANCELLED : W_DONE, "n",
                         (json_int_t)job->done.count),
               0);
    mm_txn_delete(txn, MM_KEY_JOB, job->spec.id.s);
  } else {
    w.text = record_text(owner, job);
    mm_txn_put(txn, MM_KEY_JOB, job->spec.id.s,
               mm_job_record(&job->spec, job->submitted_ms, job->cancelled, w.text), 0);
  }
  job->writing = TRUE;
  job->dirty.us = 0;
  job->wrote = mm_node_now(owner->node);
  g_array_append_val(write->jobs, w);
}

static void
write_jobs(MmOwner *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  guint ops = node->settings->state_txn_ops;
  guint guards = 4 * ops;
  MmTxn txn;
  Write *write;

  if (owner->writing || mm_store_in_trouble(node->store))
    return;
  txn = mm_txn();
  write = g_new(Write, 1);
  *write = (Write){ owner, g_array_new(FALSE, TRUE, sizeof(Written)) };
  g_array_set_clear_func(write->jobs, written_clear);
  for (guint i = 0; i < node->book->order->len; i++) {
    MmJob *job = g_ptr_array_index(node->book->order, i);
    MmHeld *held = job->tasks != NULL ? mm_owner_held(owner, job) : NULL;
    gboolean final;

    if (held == NULL || job->writing)
      continue;
    final = wants_final(owner, job);
    if (txn.puts + 2 > ops || json_array_size(txn.guards) + 2 > guards
        || (owner->solo > 0 && txn.puts > 0))
      break;
    if (final && mm_time_ms_since(now, job->wrote) > 100) {
      add_to_write(owner, &txn, write, held, job, TRUE);
    } else if (!final && !job->cancelled && job->dirty.us != 0
               && mm_time_ms_since(now, job->dirty) >= WRITE_DELAY_MS
               && mm_time_ms_since(now, job->wrote) >= WRITE_EVERY_MS
               && mm_store_may_write(node->store, 1)) {
      add_to_write(owner, &txn, write, held, job, FALSE);
    }
  }
  if (txn.puts > 0) {
    owner->writing = TRUE;
    owner->solo -= owner->solo > 0;
    mm_store_commit(node->store, &txn, jobs_written, write);
    return;
  }
  json_decref(txn.guards);
  json_decref(txn.apply);
  g_array_unref(write->jobs);
  g_free(write);
}

/* ---- backlog ---- */

static void
add_waiting(MmOwner *owner, MmJob *job, GPtrArray *list, guint *budget) {
  MmTime now = mm_node_now(owner->node);
  MmWaiting *waiting = g_new0(MmWaiting, 1);

  waiting->job = job->spec.id;
  waiting->first = mm_owner_goes_first(owner, job);
  waiting->aged = job->aged;
  waiting->ranges = g_array_new(FALSE, FALSE, sizeof(guint));
  while (job->first_idle < job->spec.tasks && job->tasks[job->first_idle].state != MM_TASK_IDLE)
    job->first_idle++;
  for (guint i = job->first_idle; i<job->spec.tasks && * budget> 0; i++) {
    const MmTask *task = &job->tasks[i];
    guint *last;
    if (task->state != MM_TASK_IDLE || mm_time_before(now, task->not_before))
      continue;
    (*budget)--;
    last = waiting->ranges->len > 0
               ? &g_array_index(waiting->ranges, guint, waiting->ranges->len - 2)
               : NULL;
    if (last != NULL && last[0] + last[1] == i) {
      last[1]++;
    } else {
      guint range[2] = { i, 1 };
      if (waiting->ranges->len >= 2 * BACKLOG_RANGES)
        break;
      g_array_append_vals(waiting->ranges, range, 2);
    }
  }
  if (waiting->ranges->len == 0) {
    g_array_unref(waiting->ranges);
    g_free(waiting);
    return;
  }
  g_ptr_array_add(list, waiting);
}

static gboolean
has_reserved(const MmMachine *machine) {
  for (guint i = 0; i < machine->placed->len; i++) {
    const MmPlaced *placed = g_ptr_array_index(machine->placed, i);
    if (placed->job->tasks[placed->number].state == MM_TASK_RESERVED)
      return TRUE;
  }
  return FALSE;
}

void
mm_owner_backlog(MmOwner *owner, GPtrArray *waiting, GArray *reserved) {
  MmBook *book = owner->node->book;
  const GPtrArray *machines = owner->node->roster->order;
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  guint budget = BACKLOG_TASKS;

  for (guint i = 0; i < machines->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machines, i);
    if (has_reserved(machine))
      g_array_append_val(reserved, machine->id);
  }
  for (guint i = 0; i < book->order->len; i++) {
    MmJob *job = g_ptr_array_index(book->order, i);
    /* What its team's limit keeps from starting need not be asked for, nor machines rented. */
    if (job->tasks != NULL && job->idle > 0 && mm_owner_open(owner, job)
        && mm_owner_quota_allows(owner, job->held, job, mm_job_is_gang(job) ? job->spec.tasks : 1))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, mm_owner_compare_pressing);
  for (guint i = 0; i < jobs->len && i < BACKLOG_JOBS && budget > 0; i++)
    add_waiting(owner, g_ptr_array_index(jobs, i), waiting, &budget);
}

guint
mm_owner_unfinished(const MmOwner *owner) {
  MmBook *book = owner->node->book;
  guint unfinished = 0;

  for (guint i = 0; i < book->order->len; i++) {
    const MmJob *job = g_ptr_array_index(book->order, i);
    if (job->tasks != NULL && !job->cancelled)
      unfinished += job->idle;
  }
  return unfinished;
}

/* ---- the loop ---- */

/* Sums that are kept as tasks come and go are taken anew now and then: amounts are fractions. */
static void
sum_up(MmOwner *owner) {
  MmBook *book = owner->node->book;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, owner->held);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmHeld *held = value;
    held->used = held->owed = (MmRoom){ 0 };
    held->owed_to = NULL;
    mm_owner_sum_unheard(owner, held);
  }
  for (guint i = 0; i < book->order->len; i++) {
    const MmJob *job = g_ptr_array_index(book->order, i);
    MmHeld *held = job->tasks != NULL ? job->held : NULL;
    if (held != NULL && job->idle > 0 && (job->aged || job->spec.priority >= MM_URGENT)
        && mm_owner_open(owner, job)
        && (held->owed_to == NULL || mm_owner_compare_pressing(&job, &held->owed_to) < 0)) {
      guint tasks = mm_job_is_gang(job) ? job->spec.tasks : MIN(job->idle, OWED_TASKS);
      held->owed_to = job;
      held->owed = (MmRoom){ tasks * job->spec.need.cores, tasks * job->spec.need.accelerators, 0 };
    }
    if (held == NULL || job->live == 0)
      continue;
    held->used.cores += job->live * job->spec.need.cores;
    held->used.accelerators += job->live * job->spec.need.accelerators;
    held->used.memory_gb += job->live * job->spec.need.memory_gb;
  }
}

/* The newest term that a team's holder waits for, wherever it is. */
static MmTerm
newest_taking(const MmNode *node) {
  MmTerm newest = { 0 };

  for (guint i = 0; i < node->claims->names->len; i++) {
    const char *name = g_ptr_array_index(node->claims->names, i);
    const MmPart *part = mm_replica_part(node->replica, name);
    if (part != NULL && strcmp(name, MM_PART_FLEET) != 0)
      newest.v = MAX(newest.v, part->term.v);
  }
  return newest;
}

static gboolean
is_unheard(const MmOwner *owner, const MmMachine *machine) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, owner->held);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (g_hash_table_contains(((MmHeld *)value)->unheard, machine->id.s))
      return TRUE;
  return FALSE;
}

/* Of a machine that reports, the node that it reports to asks for all: one that will not report for
 * long yet, or that has been told of the term and may not show it before its next report is due. */
static gboolean
echo_would_be_late(const MmNode *node, const MmMachine *machine, MmTerm term) {
  MmTime now = mm_node_now(node);
  gint64 reported_ms = mm_time_ms_since(now, machine->reported);

  if (machine->host != MM_HOST_SELF || !machine->heard || !machine->registered
      || machine->token.v >= term.v)
    return FALSE;
  if (machine->untaken_since.us != 0)
    return mm_time_ms_since(now, machine->untaken_since) > TAKEN_IN_MS;
  return reported_ms < (gint64)(node->settings->report_s * 1000 * SOON_PERIODS);
}

/* An empty command spreads the term, and its answer is an echo. A few are asked at a time, for a
 * share of the processor: asking four hundred at once took all the time there was, and claims ended
 * over it. */
static void
ask_echoes(MmOwner *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  gint64 quiet_ms = (gint64)(node->settings->report_s * 1500);
  MmTerm newest = newest_taking(node);
  guint left = (guint)CLAMP(node->settings->cpu_share * ECHOES_A_CORE, ECHOES_LEAST, ECHOES_MOST);

  if (mm_checkin_is_settling(node->checkin))
    return;
  for (guint i = 0; i < node->roster->order->len && left > 0; i++) {
    MmMachine *machine = g_ptr_array_index(node->roster->order, i);
    gboolean deaf;

    if (machine->lost || mm_time_ms_since(now, machine->echo_asked) < ECHO_EVERY_MS)
      continue;
    deaf = mm_machine_is_deaf(node->roster, machine);
    if (!deaf && !echo_would_be_late(node, machine, newest)
        && (mm_time_ms_since(now, machine->reported) < quiet_ms || !is_unheard(owner, machine)))
      continue;
    machine->echo_asked = now;
    left--;
    send_direct(owner, machine, json_array());
  }
}

/* Tasks that were told to stop are told again, should the command have got lost. */
static void
repeat_stops(MmOwner *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);

  for (guint i = 0; i < node->roster->order->len; i++) {
    MmMachine *machine = g_ptr_array_index(node->roster->order, i);
    for (guint k = 0; k < machine->placed->len; k++) {
      const MmPlaced *placed = g_ptr_array_index(machine->placed, k);
      const MmTask *task = &placed->job->tasks[placed->number];
      if ((placed->job->cancelled || task->stopping) && task->state != MM_TASK_SAVING
          && mm_time_ms_since(now, task->told) > STOP_EVERY_MS)
        mm_owner_stop_task(owner, placed->job, placed->number);
    }
  }
}

/* A gang needs several places at once: while one waits, work that presses less does not take them
 * singly. Two-task gangs once waited eight minutes beside single tasks. Places kept for a gang lie
 * idle until it has all of them, so where much waits, only a gang that starves is given that; and
 * not for ever, should it find no place for another reason. */
static void
find_yield(MmOwner *owner) {
  MmNode *node = owner->node;
  MmBook *book = node->book;
  gint64 now_ms = mm_node_wall_ms(node);
  gint64 bound_ms = (gint64)(node->operators->wait_bound_s * 1000);
  const MmJob *aged = NULL, *waits = NULL;
  guint n = 0;

  for (guint v = 0; v < node->rank->n_views; v++) {
    const GPtrArray *list = node->rank->views[v].waiting;
    for (guint i = 0; i < list->len; i++) {
      const MmWaiting *waiting = g_ptr_array_index(list, i);
      const MmJob *job = mm_book_find(book, waiting->job.s);
      const MmJob **best;
      gint64 waited_ms;
      if (job == NULL || job->cancelled || job->spec.need.accelerators <= 0
          || (job->tasks != NULL && job->idle == 0))
        continue;
      n++;
      waited_ms = now_ms - job->submitted_ms;
      if (!mm_job_is_gang(job) || waited_ms < bound_ms || waited_ms > YIELD_MOST_MS)
        continue;
      best = job->aged ? &aged : &waits;
      if (*best == NULL || mm_owner_compare_pressing(&job, best) < 0)
        *best = job;
    }
  }
  owner->yield = aged != NULL ? aged : n <= YIELD_JOBS ? waits : NULL;
}

void
mm_owner_tick(MmOwner *owner) {
  MmTime now = mm_node_now(owner->node);

  if (!mm_claims_valid(owner->node->claims))
    return;
  write_jobs(owner);
  if (mm_time_before(now, owner->next_slow))
    return;
  owner->next_slow = mm_time_add_ms(now, SLOW_TICK_MS);
  for (guint i = 0; i < owner->node->book->order->len; i++) {
    MmJob *job = g_ptr_array_index(owner->node->book->order, i);
    mm_owner_set_due(owner, job);
    if (job->tasks != NULL)
      job->aged = job->live == 0 && job->done.count == 0 && !job->cancelled
                  && mm_job_waited_s(owner->node, job) > owner->node->operators->starve_s;
  }
  find_yield(owner);
  mm_owner_count_guarantees(owner);
  sum_up(owner);
  owner->pressing_stale = TRUE;
  owner->looks = LOOKS_A_ROUND;
  ask_echoes(owner);
  repeat_stops(owner);
  mm_owner_plan_gangs(owner);
  mm_owner_preempt(owner);
}
