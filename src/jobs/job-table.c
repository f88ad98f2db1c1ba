#include "jobs/job-table.h"

#include "base/wire.h"
#include "base/log.h"
#include "leases/shard-ownership.h"

/* Maximum numbers of terminal states and of ids of removed jobs that are remembered. */
#define MAX_TERMINAL_STATES 4096
#define MAX_REMOVED_IDS 8192

/* Typical memory of a remembered id: the text, an element of the queue and of the hash table. */
#define ENDED_ID_BYTES 64

/* Calls the callback `member` of every observer for which this callback is not NULL. */
#define NOTIFY(job_table, member, ...)                                                             \
  for (guint n_notified = 0; n_notified < (job_table)->observers->len; n_notified++) {             \
    const MmJobObserver *observer                                                                  \
        = &g_array_index((job_table)->observers, MmJobObserver, n_notified);                       \
    if (observer->member != NULL)                                                                  \
      observer->member(observer->context, __VA_ARGS__);                                            \
  }

MmJobTable *
mm_job_table_new(const MmSettings *settings) {
  MmJobTable *job_table = g_new0(MmJobTable, 1);

  job_table->settings = settings;
  job_table->observers = g_array_new(FALSE, FALSE, sizeof(MmJobObserver));
  job_table->jobs
      = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)mm_job_free);
  job_table->by_submission = g_ptr_array_new();
  job_table->generation = 1;
  job_table->terminal_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  job_table->terminal_states_order = g_queue_new();
  job_table->removed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  job_table->removed_ids_order = g_queue_new();
  return job_table;
}

void
mm_job_table_free(MmJobTable *job_table) {
  g_array_unref(job_table->observers);
  g_ptr_array_unref(job_table->by_submission);
  g_hash_table_unref(job_table->jobs);
  g_queue_free(job_table->terminal_states_order);
  g_hash_table_unref(job_table->terminal_states);
  g_queue_free(job_table->removed_ids_order);
  g_hash_table_unref(job_table->removed_ids);
  g_free(job_table);
}

void
mm_job_table_add_observer(MmJobTable *job_table, const MmJobObserver *observer) {
  g_array_append_vals(job_table->observers, observer, 1);
}

MmJob *
mm_job_table_find(const MmJobTable *job_table, const char *id) {
  return g_hash_table_lookup(job_table->jobs, id);
}

static gint
compare_by_submission(gconstpointer a, gconstpointer b) {
  const MmJob *x = *(MmJob *const *)a, *y = *(MmJob *const *)b;

  if (x->submitted_at_ms != y->submitted_at_ms)
    return x->submitted_at_ms < y->submitted_at_ms ? -1 : 1;
  return strcmp(x->spec.id.s, y->spec.id.s);
}

/* Returns where the job belongs in `by_submission`, which does not contain it. */
static guint
find_position(const MmJobTable *job_table, MmJob *job) {
  guint low = 0, high = job_table->by_submission->len;

  while (low < high) {
    guint middle = low + (high - low) / 2;
    if (compare_by_submission(&g_ptr_array_index(job_table->by_submission, middle), &job) < 0)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

/* Adds a job that is not in the table yet. Returns the job, owned by the table, or NULL if the
 * record is malformed. */
static MmJob *
add_job(MmJobTable *job_table, const char *id, const MmJson *record) {
  MmJob *job = g_new0(MmJob, 1);
  const char *reason = NULL;

  if (!mm_job_record_parse_spec(record, &job->spec, &reason)) {
    mm_error("job record ignored because it is malformed job=%s: %s", id, reason);
    g_free(job);
    return NULL;
  }
  job->submitted_at_ms = mm_job_record_submitted_at_ms(record);
  job->waiting_since_ms = job->submitted_at_ms;
  job->effective_priority = job->spec.priority;
  job->shard = mm_shard_ownership_shard_of_team(&job->spec.team);
  job->team_index = mm_settings_team_index(job_table->settings, &job->spec.team);
  mm_completed_tasks_init(&job->recorded_completed, job->spec.n_tasks);
  g_hash_table_insert(job_table->jobs, job->spec.id.s, job);
  g_ptr_array_insert(job_table->by_submission, (gint)find_position(job_table, job), job);
  job_table->generation++;
  NOTIFY(job_table, added, job);
  return job;
}

void
mm_job_table_put(MmJobTable *job_table, const char *id, const MmJson *record,
                 MmKeyVersion version) {
  MmJob *job = mm_job_table_find(job_table, id);

  if (job != NULL && version.v < job->record_version.v)
    return;
  if (job == NULL)
    job = add_job(job_table, id, record);
  if (job == NULL)
    return;
  job->record_version = version;
  if (!mm_completed_tasks_add_text(&job->recorded_completed, mm_job_record_completed_text(record)))
    mm_error("job record contains malformed completed tasks job=%s", id);
  if (mm_job_record_is_cancelled(record)) {
    if (job->cancel_record_version.v == 0)
      job->cancel_record_version = version;
    NOTIFY(job_table, cancelled, id);
  }
  NOTIFY(job_table, changed, job);
}

/* Inserts an entry into a table whose ids are listed in `order`, oldest first, then removes the
 * oldest entries until at most `max_entries` are left. Takes ownership of `value`. */
static void
add_bounded(GHashTable *table, GQueue *order, guint max_entries, const char *id, gpointer value) {
  if (!g_hash_table_contains(table, id)) {
    char *key = g_strdup(id);
    g_queue_push_tail(order, key);
    g_hash_table_insert(table, key, value);
  } else {
    g_hash_table_insert(table, g_strdup(id), value);
  }
  while (g_queue_get_length(order) > max_entries)
    g_hash_table_remove(table, g_queue_pop_head(order));
}

void
mm_job_table_remove(MmJobTable *job_table, const char *id) {
  MmJob *job = mm_job_table_find(job_table, id);

  add_bounded(job_table->removed_ids, job_table->removed_ids_order, MAX_REMOVED_IDS, id, NULL);
  if (job == NULL)
    return;
  NOTIFY(job_table, removing, job);
  g_ptr_array_remove(job_table->by_submission, job);
  job_table->generation++;
  g_hash_table_remove(job_table->jobs, id);
  NOTIFY(job_table, removed, id);
}

void
mm_job_table_list_keys(const MmJobTable *job_table, const char *prefix, GPtrArray *keys) {
  for (guint i = 0; i < job_table->by_submission->len; i++) {
    const MmJob *job = g_ptr_array_index(job_table->by_submission, i);
    g_ptr_array_add(keys, g_strconcat(prefix, job->spec.id.s, NULL));
  }
}

gsize
mm_job_table_ended_memory_bytes(const MmJobTable *job_table) {
  guint n_ids
      = g_hash_table_size(job_table->terminal_states) + g_hash_table_size(job_table->removed_ids);

  return n_ids * ENDED_ID_BYTES
         + g_hash_table_size(job_table->terminal_states) * sizeof(MmTerminalState);
}

gboolean
mm_job_table_has_ended(const MmJobTable *job_table, const char *id) {
  return g_hash_table_contains(job_table->terminal_states, id)
         || g_hash_table_contains(job_table->removed_ids, id);
}

void
mm_job_table_add_terminal_record(MmJobTable *job_table, const char *id, const MmJson *record) {
  MmTerminalState terminal;

  if (!mm_terminal_record_parse(record, &terminal))
    return;
  add_bounded(job_table->terminal_states, job_table->terminal_states_order, MAX_TERMINAL_STATES, id,
              g_memdup2(&terminal, sizeof terminal));
  NOTIFY(job_table, ended, id, &terminal);
}

gboolean
mm_job_table_get_terminal_state(const MmJobTable *job_table, const char *id,
                                MmTerminalState *terminal) {
  const MmTerminalState *known = g_hash_table_lookup(job_table->terminal_states, id);

  if (known != NULL)
    *terminal = *known;
  return known != NULL;
}

MmJson *
mm_job_table_terminal_response(const MmJobTable *job_table, const char *id) {
  MmTerminalState terminal;

  if (!mm_job_table_get_terminal_state(job_table, id, &terminal))
    return NULL;
  return mm_json_pack("{s:s, s:s, s:I, s:i}", WIRE_JOB_ID, id, WIRE_STATE,
                      terminal.is_cancelled ? WIRE_CANCELLED : WIRE_DONE, WIRE_DONE,
                      (guint64)terminal.n_completed, WIRE_RUNNING, 0);
}
