#include "checkin/machine-table.h"

#include <math.h>
#include <stdlib.h>

#include "base/wire.h"
#include "checkin/health.h"
#include "checkin/registry.h"
#include "owner/owner.h"
#include "peers/links.h"
#include "sharing/sharing.h"
#include "store/replica.h"

/* It looks at every machine. */
#define TICK_EVERY_MS 150
#define DRIFT 0.002
#define LOST_MARGIN_MS 250
/* Sessions that are over are remembered, for each machine that is known so many, and so many in any
 * case. */
#define PAST_A_MACHINE 2
#define PAST_LEAST 4096

static void
machine_free(gpointer data) {
  MmMachine *machine = data;

  g_array_unref(machine->tasks);
  g_array_unref(machine->images);
  g_array_unref(machine->kept);
  g_array_unref(machine->queued);
  g_ptr_array_unref(machine->placed);
  g_free(machine);
}

MmMachineTable *
mm_machine_table_new(MmNode *node) {
  MmMachineTable *machine_table = g_new0(MmMachineTable, 1);

  machine_table->node = node;
  machine_table->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  machine_table->order = g_ptr_array_new();
  machine_table->past = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  machine_table->past_order = g_queue_new();
  machine_table->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return machine_table;
}

void
mm_machine_table_free(MmMachineTable *machine_table) {
  g_ptr_array_unref(machine_table->order);
  g_hash_table_unref(machine_table->machines);
  g_hash_table_unref(machine_table->running);
  g_hash_table_unref(machine_table->past);
  g_queue_free_full(machine_table->past_order, g_free);
  g_free(machine_table);
}

MmMachine *
mm_machine_table_find(const MmMachineTable *machine_table, const char *machine_id) {
  return g_hash_table_lookup(machine_table->machines, machine_id);
}

static void
renumber(MmMachineTable *machine_table, guint first_position) {
  for (guint i = first_position; i < machine_table->order->len; i++)
    ((MmMachine *)g_ptr_array_index(machine_table->order, i))->index = i;
}

/* The order is by id, which is the order of renting: new ones mostly come last. */
static void
insert(MmMachineTable *machine_table, MmMachine *machine) {
  guint position = machine_table->order->len;

  while (position > 0
         && strcmp(((MmMachine *)g_ptr_array_index(machine_table->order, position - 1))->id.s,
                   machine->id.s)
                > 0)
    position--;
  g_ptr_array_insert(machine_table->order, (gint)position, machine);
  renumber(machine_table, position);
}

/* ---- how many tasks of a job are seen running ---- */

static void
count_running(MmMachineTable *machine_table, const MmMachine *machine, gint delta) {
  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *task = &g_array_index(machine->tasks, MmSeenTask, i);
    gint n;
    if (task->state != MM_SEEN_RUNNING)
      continue;
    n = GPOINTER_TO_INT(g_hash_table_lookup(machine_table->running, task->job.s)) + delta;
    if (n > 0)
      g_hash_table_insert(machine_table->running, g_strdup(task->job.s), GINT_TO_POINTER(n));
    else
      g_hash_table_remove(machine_table->running, task->job.s);
  }
}

static void
set_tasks(MmMachineTable *machine_table, MmMachine *machine, const GArray *tasks) {
  machine->free_as = 0;
  count_running(machine_table, machine, -1);
  g_array_set_size(machine->tasks, 0);
  if (tasks != NULL)
    g_array_append_vals(machine->tasks, tasks->data, tasks->len);
  count_running(machine_table, machine, 1);
}

static MmMachine *
find_or_add(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine != NULL)
    return machine;
  machine = g_new0(MmMachine, 1);
  machine->id = mm_name(machine_id);
  machine->tasks = g_array_new(FALSE, TRUE, sizeof(MmSeenTask));
  machine->images = g_array_new(FALSE, TRUE, sizeof(MmCachedImage));
  machine->kept = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  machine->queued = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  machine->placed = g_ptr_array_new_with_free_func(g_free);
  machine->host = MM_HOST_NONE;
  machine->group = mm_group_of_machine(machine_id, machine_table->node->sharing->groups);
  /* Nothing is known of its past: it may have been answered a moment ago. */
  machine->answered = mm_node_now(machine_table->node);
  machine->idle_since = machine->seen = machine->answered;
  machine->answered_steadily_since = machine->answered;
  g_hash_table_insert(machine_table->machines, machine->id.s, machine);
  insert(machine_table, machine);
  return machine;
}

static void remember(MmMachineTable *machine_table, const MmMachine *machine);

/* What a report says goes to whoever decides on the machine's tasks and resources. */
static void
note_report(const MmMachineTable *machine_table, MmMachine *machine, const MmReport *heartbeat,
            gboolean changed) {
  mm_owner_report(machine_table->node->owner, machine, heartbeat, changed);
  mm_sharing_reported(machine_table->node->sharing, machine, heartbeat->stamp, heartbeat->direct);
}

static void
note_gone(const MmMachineTable *machine_table, MmMachine *machine) {
  mm_owner_machine_gone(machine_table->node->owner, machine);
  mm_sharing_machine_gone(machine_table->node->sharing, machine);
}

void
mm_machine_table_remove(MmMachineTable *machine_table, MmMachine *machine) {
  guint position = machine->index;

  if (machine->lost)
    remember(machine_table, machine);
  note_gone(machine_table, machine);
  set_tasks(machine_table, machine, NULL);
  g_ptr_array_remove_index(machine_table->order, position);
  renumber(machine_table, position);
  g_hash_table_remove(machine_table->machines, machine->id.s);
}

/* ---- taking reports in ---- */

/* Whether the report shows what is known already. */
static gboolean
shows_the_same(const MmMachine *machine, const MmReport *heartbeat, gint serving_node) {
  if (!machine->heard || machine->lost || (!heartbeat->direct && machine->host != serving_node)
      || heartbeat->stamp.incarnation != machine->stamp.incarnation
      || heartbeat->token.v != machine->token.v || heartbeat->warned != machine->warned
      || heartbeat->tasks->len != machine->tasks->len
      || (heartbeat->addr[0] != '\0' && strcmp(heartbeat->addr, machine->addr) != 0))
    return FALSE;
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const MmSeenTask *reported = &g_array_index(heartbeat->tasks, MmSeenTask, i);
    const MmSeenTask *known = &g_array_index(machine->tasks, MmSeenTask, i);
    if (reported->number != known->number || reported->attempt.v != known->attempt.v
        || reported->state != known->state || reported->cause != known->cause
        || reported->saved != known->saved || !mm_name_equal(&reported->job, &known->job))
      return FALSE;
  }
  return TRUE;
}

static gboolean
is_past(const MmMachineTable *machine_table, const char *machine_id, guint64 incarnation) {
  const guint64 *newest_ended = g_hash_table_lookup(machine_table->past, machine_id);

  return newest_ended != NULL && incarnation <= *newest_ended;
}

/* Of those heard of or registered. */
static guint64
newest_session(const MmMachine *machine) {
  return MAX(machine->heard ? machine->stamp.incarnation : 0, machine->registered_session);
}

/* So that a late copy does not bring it back once its entry here is gone. */
static void
remember(MmMachineTable *machine_table, const MmMachine *machine) {
  guint64 *incarnation = g_new(guint64, 1);

  *incarnation = machine->gone ? G_MAXUINT64 : newest_session(machine);
  if (!g_hash_table_contains(machine_table->past, machine->id.s))
    g_queue_push_tail(machine_table->past_order, g_strdup(machine->id.s));
  g_hash_table_insert(machine_table->past, g_strdup(machine->id.s), incarnation);
  while (g_queue_get_length(machine_table->past_order)
         > MAX(PAST_LEAST, PAST_A_MACHINE * machine_table->order->len)) {
    g_autofree char *oldest = g_queue_pop_head(machine_table->past_order);
    g_hash_table_remove(machine_table->past, oldest);
  }
}

gboolean
mm_machine_table_is_late(const MmMachineTable *machine_table, const MmReport *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine.s);

  if (is_past(machine_table, heartbeat->machine.s, heartbeat->stamp.incarnation))
    return TRUE;
  if (machine == NULL)
    return FALSE;
  return machine->gone || !mm_heartbeat_id_is_newer(heartbeat->stamp, machine->report_stamp)
         || (machine->registered && heartbeat->stamp.incarnation < machine->registered_session)
         || (machine->heard && heartbeat->stamp.incarnation < machine->stamp.incarnation)
         || (machine->heard && machine->lost
             && heartbeat->stamp.incarnation == machine->stamp.incarnation);
}

gboolean
mm_machine_table_is_unproved(const MmMachineTable *machine_table, const MmReport *heartbeat) {
  const MmMachine *machine = mm_machine_table_find(machine_table, heartbeat->machine.s);

  return !heartbeat->direct && (machine == NULL || !machine->heard)
         && !(machine != NULL && machine->registered
              && machine->registered_session >= heartbeat->stamp.incarnation)
         && heartbeat->token.v < machine_table->node->replica->term_at_start.v;
}

MmMachine *
mm_machine_table_note_unproved(MmMachineTable *machine_table, const MmReport *heartbeat) {
  MmMachine *machine = find_or_add(machine_table, heartbeat->machine.s);

  machine->report_stamp = heartbeat->stamp;
  return machine;
}

/* A session that is seen for the first time began no later than that, and lives for a lease if
 * nobody answers it. It once was counted from the last answer to the session before: machines of a
 * zone that came back, seen by a direct answer in a session of a moment ago, were given up at once,
 * taken off the register, and their tasks run elsewhere as well; and who had given them up took
 * their reports for late ones for good. */
static void
note_new_session(MmMachine *machine, MmTime first_seen_at) {
  machine->answered = mm_time_max(machine->answered, first_seen_at);
  machine->answered_steadily_since = first_seen_at;
}

/* What the machine is, as the report says. */
static void
take_identity(MmMachineTable *machine_table, MmMachine *machine, const MmReport *heartbeat) {
  if (heartbeat->addr[0] != '\0')
    memcpy(machine->addr, heartbeat->addr, sizeof machine->addr);
  if (!mm_name_is_empty(&heartbeat->type))
    machine->type_name = heartbeat->type;
  if (!mm_name_is_empty(&heartbeat->zone))
    machine->zone = heartbeat->zone;
  machine->type = mm_types_find(machine_table->node->types, &machine->type_name);
  machine->spot = heartbeat->spot;
}

static void
take_session(MmMachineTable *machine_table, MmMachine *machine, const MmReport *heartbeat,
             MmTime received_at) {
  if (machine->heard && heartbeat->stamp.incarnation != machine->stamp.incarnation) {
    g_array_set_size(machine->images, 0);
    mm_health_note_session(machine_table, machine);
  }
  if (heartbeat->stamp.incarnation > newest_session(machine))
    note_new_session(machine, received_at);
  if (machine->lost)
    mm_info("machine %s reports again, session %" G_GUINT64_FORMAT, machine->id.s,
            heartbeat->stamp.incarnation);
  machine->heard = TRUE;
  machine->lost = FALSE;
}

static void
take_stamps(MmMachine *machine, const MmReport *heartbeat, MmTime received_at, gint serving_node) {
  /* A direct answer shows that commands reach it; a higher term, that an answer did. */
  if (heartbeat->direct || heartbeat->token.v > machine->token.v) {
    machine->unacknowledged_since.us = 0;
    machine->unacknowledged = 0;
  }
  machine->stamp = heartbeat->stamp;
  machine->token = heartbeat->token;
  machine->seen = mm_time_max(machine->seen, received_at);
  if (!heartbeat->direct) {
    machine->host = serving_node;
    machine->reported = mm_time_max(machine->reported, received_at);
  }
  if (heartbeat->warned && !machine->warned)
    machine->taken = mm_time_add_ms(received_at, (gint64)(heartbeat->notice_s * 1000));
  machine->warned = heartbeat->warned;
}

static gboolean
caches_its_image(const MmSeenTask *task) {
  return task->state == MM_SEEN_RUNNING || task->state == MM_SEEN_WAITING
         || (task->state == MM_SEEN_ENDED && task->cause == MM_CAUSE_DONE);
}

static void
take_tasks(MmMachineTable *machine_table, MmMachine *machine, const MmReport *heartbeat) {
  mm_health_count_errors(machine_table, machine, heartbeat);
  set_tasks(machine_table, machine, heartbeat->tasks);
  machine->live = FALSE;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *task = &g_array_index(machine->tasks, MmSeenTask, i);
    const MmJob *job = mm_job_table_find(machine_table->node->job_table, task->job.s);
    machine->live = machine->live || task->state != MM_SEEN_ENDED;
    if (job != NULL && caches_its_image(task))
      mm_machine_note_image(machine, mm_node_now(machine_table->node), &job->spec.image,
                            job->spec.image_gb);
  }
}

/* A session whose lease has certainly run out is over: such a report was held back on its way, and
 * what it shows is gone. */
static gboolean
is_over(const MmMachine *machine, MmHeartbeatId heartbeat_id) {
  return machine->gone
         || (machine->heard && machine->lost
             && heartbeat_id.incarnation <= machine->stamp.incarnation);
}

/* A direct answer has overtaken the report, whose answer may still be waited for. */
static void
take_overtaken(MmMachine *machine, MmTime received_at, gint serving_node) {
  machine->untold = machine->untold || machine->host != serving_node;
  machine->host = serving_node;
  machine->reported = mm_time_max(machine->reported, received_at);
}

MmMachine *
mm_machine_table_take(MmMachineTable *machine_table, const MmReport *heartbeat, MmTime received_at,
                      gint serving_node) {
  MmMachine *machine;
  gboolean unchanged, is_newest_heartbeat;

  if (serving_node == MM_HOST_SELF || serving_node == MM_HOST_NONE)
    machine_table->heard_here = mm_node_now(machine_table->node);
  if (is_past(machine_table, heartbeat->machine.s, heartbeat->stamp.incarnation))
    return NULL;
  machine = find_or_add(machine_table, heartbeat->machine.s);
  if (is_over(machine, heartbeat->stamp))
    return NULL;
  /* One that is not newer than the newest report is a copy: an answer to it reaches nobody, and the
   * lease of that report counts from when it was first sent. */
  is_newest_heartbeat
      = !heartbeat->direct && mm_heartbeat_id_is_newer(heartbeat->stamp, machine->report_stamp);
  if (is_newest_heartbeat) {
    machine->report_stamp = heartbeat->stamp;
    if (!heartbeat->unanswered)
      mm_health_note_answer(machine_table, machine, received_at);
  }
  if (machine->heard && !mm_heartbeat_id_is_newer(heartbeat->stamp, machine->stamp)) {
    if (is_newest_heartbeat)
      take_overtaken(machine, received_at, serving_node);
    return NULL;
  }
  unchanged = shows_the_same(machine, heartbeat, serving_node);
  machine->untold = machine->untold || !unchanged;
  take_session(machine_table, machine, heartbeat, received_at);
  take_identity(machine_table, machine, heartbeat);
  take_stamps(machine, heartbeat, received_at, serving_node);
  if (!unchanged)
    take_tasks(machine_table, machine, heartbeat);
  if (machine->live)
    machine->idle_since = received_at;
  note_report(machine_table, machine, heartbeat, !unchanged);
  return machine;
}

void
mm_machine_table_answered(MmMachineTable *machine_table, const char *machine_id,
                          MmTime responded_at) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  /* Unknown here: should it come back, it starts as just answered. */
  if (machine != NULL)
    mm_health_note_answer(machine_table, machine, responded_at);
}

void
mm_machine_table_beat(MmMachineTable *machine_table, const char *machine_id,
                      MmHeartbeatId heartbeat_id, MmTime received_at, gint serving_node) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);
  MmReport heartbeat = { .stamp = heartbeat_id };

  if (machine == NULL || is_over(machine, heartbeat_id)
      || !mm_heartbeat_id_is_newer(heartbeat_id, machine->report_stamp))
    return;
  machine->report_stamp = heartbeat_id;
  mm_health_note_answer(machine_table, machine, received_at);
  if (!machine->heard || machine->lost || machine->host != serving_node
      || heartbeat_id.incarnation != machine->stamp.incarnation
      || !mm_heartbeat_id_is_newer(heartbeat_id, machine->stamp))
    return;
  machine->stamp = heartbeat_id;
  machine->seen = mm_time_max(machine->seen, received_at);
  machine->reported = mm_time_max(machine->reported, received_at);
  if (machine->live)
    machine->idle_since = received_at;
  note_report(machine_table, machine, &heartbeat, FALSE);
}

void
mm_machine_table_registered(MmMachineTable *machine_table, const MmEntry *entry) {
  MmMachine *machine = find_or_add(machine_table, entry->machine.s);

  /* Somebody has heard a newer session than is known here: it may hold tasks, also if the one
   * before is lost. */
  if (!machine->gone && entry->session > newest_session(machine)) {
    machine->lost = FALSE;
    note_new_session(machine, mm_node_now(machine_table->node));
  }
  machine->registered = TRUE;
  machine->registered_session = entry->session;
  if (machine->heard)
    return;
  machine->type_name = entry->type;
  machine->type = mm_types_find(machine_table->node->types, &machine->type_name);
  machine->zone = entry->zone;
  machine->spot = entry->spot;
  memcpy(machine->addr, entry->addr, sizeof machine->addr);
}

/* Only lost and returned machines are taken off the register. */
void
mm_machine_table_unregistered(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->registered = FALSE;
  if (machine->heard && !machine->gone && machine->stamp.incarnation > machine->registered_session)
    /* It is back with a new session, which nothing has been started in: that needs a registration
     * of its own. What was placed on it belongs to the old one. */
    note_gone(machine_table, machine);
  else
    mm_machine_table_remove(machine_table, machine);
}

/* ---- lost machines ---- */

static void
clear_away(MmMachineTable *machine_table, MmMachine *machine) {
  machine->lost = TRUE;
  note_gone(machine_table, machine);
  set_tasks(machine_table, machine, NULL);
  machine->live = FALSE;
  g_array_set_size(machine->images, 0);
}

void
mm_machine_table_gone(MmMachineTable *machine_table, const char *machine_id) {
  MmMachine *machine = mm_machine_table_find(machine_table, machine_id);

  if (machine == NULL)
    return;
  machine->gone = TRUE;
  clear_away(machine_table, machine);
}

/* A machine is lost when its lease has certainly run out: no node can have answered it 200 for a
 * whole lease. `settled` is the instant up to which this node knows of all answers by all nodes. */
static void
find_lost(MmMachineTable *machine_table) {
  MmNode *node = machine_table->node;
  MmTime responses_known_until = mm_links_settled(node->links);
  gint64 lease_ms = (gint64)(node->settings->worker_lease_s * 1000 * (1 + DRIFT)) + LOST_MARGIN_MS;

  for (guint i = 0; i < machine_table->order->len; i++) {
    MmMachine *machine = g_ptr_array_index(machine_table->order, i);
    MmTime last_possible_response_at
        = mm_time_max(machine->answered, node->replica->node_last_gone_at);
    if (machine->lost
        || mm_time_ms_since(responses_known_until, last_possible_response_at) < lease_ms)
      continue;
    mm_info("machine %s is lost: its lease has run out", machine->id.s);
    clear_away(machine_table, machine);
  }
}

void
mm_machine_table_tick(MmMachineTable *machine_table) {
  MmTime now = mm_node_now(machine_table->node);

  if (mm_time_before(now, machine_table->next))
    return;
  machine_table->next = mm_time_add_ms(now, TICK_EVERY_MS);
  find_lost(machine_table);
}

/* ---- rooms ---- */

gboolean
mm_machine_table_all_heard(const MmMachineTable *machine_table) {
  MmTime now = mm_node_now(machine_table->node);
  gint64 recent_ms = (gint64)(machine_table->node->settings->heartbeat_interval_s * 2000);

  for (guint i = 0; i < machine_table->order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(machine_table->order, i);
    if (machine->registered && mm_time_ms_since(now, machine->seen) > recent_ms)
      return FALSE;
  }
  return TRUE;
}

guint
mm_machine_table_running(const MmMachineTable *machine_table, const char *job_id) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(machine_table->running, job_id));
}

/* ---- commands ---- */
