#include "jobs/job-table.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "scheduler/led-shards.h"
#include "scheduler/stop-commands.h"
#include "leases/shard-ownership.h"
#include "placement/accelerator-reserve.h"

#define TERMINAL_STATES_KEPT 4096
#define REMOVED_IDS_KEPT 8192

static void
job_free(gpointer data) {
  MmJob *job = data;

  mm_job_spec_clear(&job->spec);
  mm_completed_tasks_clear(&job->recorded_completed);
  mm_completed_tasks_clear(&job->completed);
  g_free(job->tasks);
  g_free(job->shard);
  g_free(job);
}

MmJobTable *
mm_job_table_new(MmNode *node) {
  MmJobTable *job_table = g_new0(MmJobTable, 1);

  job_table->node = node;
  job_table->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
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
  g_ptr_array_unref(job_table->by_submission);
  g_hash_table_unref(job_table->jobs);
  g_queue_free(job_table->terminal_states_order);
  g_hash_table_unref(job_table->terminal_states);
  g_queue_free(job_table->removed_ids_order);
  g_hash_table_unref(job_table->removed_ids);
  g_free(job_table);
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

void
mm_job_table_put(MmJobTable *job_table, const char *id, const json_t *json, MmKeyVersion version) {
  MmJob *job = mm_job_table_find(job_table, id);

  if (job != NULL && version.v < job->record_version.v)
    return;
  if (job == NULL) {
    const char *reason = NULL;
    job = g_new0(MmJob, 1);
    if (!mm_job_spec_parse(&job->spec, mm_json_get(json, "s"), &reason)) {
      mm_error("job record %s is not readable: %s", id, reason);
      g_free(job);
      return;
    }
    if (!mm_job_spec_parse_dependencies(&job->spec, mm_json_string(json, "w"))) {
      mm_error("job record %s is not readable: what it depends on", id);
      mm_job_spec_clear(&job->spec);
      g_free(job);
      return;
    }
    job->submitted_at_ms = (gint64)mm_json_count(json, "at", 0);
    job->waiting_since_ms = job->submitted_at_ms;
    job->effective_priority = job->spec.priority;
    job->shard = mm_shard_ownership_shard_of_team(&job->spec.team);
    job->team_index = mm_settings_team_index(job_table->node->settings, &job->spec.team);
    mm_completed_tasks_init(&job->recorded_completed, job->spec.n_tasks);
    g_hash_table_insert(job_table->jobs, job->spec.id.s, job);
    g_ptr_array_add(job_table->by_submission, job);
    job_table->generation++;
    g_ptr_array_sort(job_table->by_submission, compare_by_submission);
    mm_placement_note_accelerated_job(job_table->node->placement, &job->spec);
    mm_dependencies_job_added(job_table->node->dependencies, job);
  }
  job->record_version = version;
  if (!mm_completed_tasks_add_text(&job->recorded_completed, mm_json_string(json, "d")))
    mm_error("job record %s: done set is not readable", id);
  if (mm_json_count(json, "c", 0) != 0) {
    if (job->cancel_record_version.v == 0)
      job->cancel_record_version = version;
    mm_scheduler_job_cancelled(job_table->node->scheduler, id);
  }
  mm_scheduler_job_changed(job_table->node->scheduler, job);
}

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

  add_bounded(job_table->removed_ids, job_table->removed_ids_order, REMOVED_IDS_KEPT, id, NULL);
  if (job == NULL)
    return;
  mm_scheduler_job_removed(job_table->node->scheduler, job);
  g_ptr_array_remove(job_table->by_submission, job);
  job_table->generation++;
  g_hash_table_remove(job_table->jobs, id);
  mm_dependencies_job_removed(job_table->node->dependencies, id);
}

void
mm_job_table_list_keys(const MmJobTable *job_table, const char *prefix, GPtrArray *keys) {
  for (guint i = 0; i < job_table->by_submission->len; i++)
    g_ptr_array_add(
        keys,
        g_strconcat(prefix, ((MmJob *)g_ptr_array_index(job_table->by_submission, i))->spec.id.s,
                    NULL));
}

gboolean
mm_job_table_is_over(const MmJobTable *job_table, const char *id) {
  return g_hash_table_contains(job_table->terminal_states, id)
         || g_hash_table_contains(job_table->removed_ids, id);
}

json_t *
mm_terminal_record_to_json(const MmTerminalState *terminal) {
  return json_pack("{s:s, s:I, s:I}", "m", terminal->is_cancelled ? WIRE_CANCELLED : WIRE_DONE, "n",
                   (json_int_t)terminal->n_completed, "t", (json_int_t)terminal->completed_at_ms);
}

gboolean
mm_terminal_record_parse(const json_t *json, MmTerminalState *terminal) {
  const char *outcome = mm_json_string(json, "m");

  if (g_strcmp0(outcome, WIRE_CANCELLED) != 0 && g_strcmp0(outcome, WIRE_DONE) != 0)
    return FALSE;
  *terminal
      = (MmTerminalState){ strcmp(outcome, WIRE_CANCELLED) == 0, (guint)mm_json_count(json, "n", 0),
                           (gint64)mm_json_count(json, "t", 0) };
  return TRUE;
}

void
mm_job_table_add_terminal_record(MmJobTable *job_table, const char *id, const json_t *json) {
  MmTerminalState terminal;

  if (!mm_terminal_record_parse(json, &terminal))
    return;
  add_bounded(job_table->terminal_states, job_table->terminal_states_order, TERMINAL_STATES_KEPT,
              id, g_memdup2(&terminal, sizeof terminal));
  mm_dependencies_job_ended(job_table->node->dependencies, id, terminal.is_cancelled,
                            terminal.completed_at_ms);
}

gboolean
mm_job_table_get_terminal_state(const MmJobTable *job_table, const char *id,
                                MmTerminalState *terminal) {
  const MmTerminalState *known = g_hash_table_lookup(job_table->terminal_states, id);

  if (known != NULL)
    *terminal = *known;
  return known != NULL;
}

json_t *
mm_job_table_terminal_response(const MmJobTable *job_table, const char *id) {
  MmTerminalState terminal;

  if (!mm_job_table_get_terminal_state(job_table, id, &terminal))
    return NULL;
  return json_pack("{s:s, s:s, s:I, s:i}", WIRE_JOB_ID, id, WIRE_STATE,
                   terminal.is_cancelled ? WIRE_CANCELLED : WIRE_DONE, WIRE_DONE,
                   (json_int_t)terminal.n_completed, WIRE_RUNNING, 0);
}

json_t *
mm_job_record_to_json(const MmJobSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                      const char *completed_text) {
  g_autofree char *dependencies = mm_job_spec_dependencies_to_text(spec);
  json_t *record
      = json_pack("{s:o, s:I}", "s", mm_job_spec_to_json(spec), "at", (json_int_t)submitted_at_ms);

  if (dependencies != NULL)
    json_object_set_new(record, "w", json_string(dependencies));
  if (completed_text != NULL && completed_text[0] != '\0')
    json_object_set_new(record, "d", json_string(completed_text));
  if (is_cancelled)
    json_object_set_new(record, "c", json_integer(1));
  return record;
}

void
mm_job_add_failed_machine(MmJob *job, const MmName *machine) {
  for (guint i = 0; i < job->n_failed_machines; i++)
    if (mm_name_equal(&job->failed_machines[i], machine))
      return;
  if (job->n_failed_machines < MM_JOB_MAX_FAILED_MACHINES)
    job->failed_machines[job->n_failed_machines++] = *machine;
}

gboolean
mm_job_fails_everywhere(const MmJob *job) {
  return job->n_failed_machines == MM_JOB_MAX_FAILED_MACHINES && !job->has_succeeded;
}

double
mm_job_waiting_time_s(const MmNode *node, const MmJob *job) {
  return MAX(0.0, (double)(mm_node_wall_ms(node) - job->waiting_since_ms) / 1000.0);
}
