#include "dependencies/dependencies.h"

#include "base/wire.h"
#include "kv/kv-client.h"

/* Limits on reads of terminal records: how many may be pending at a time, and which fraction of the
 * node's request rate to the key-value store (kv_requests_per_s) they may use. */
#define MAX_CONCURRENT_LOOKUPS 4
#define LOOKUP_REQUEST_SHARE 0.1
/* Delay between the response to a read of a terminal record and the next read of that record. */
#define LOOKUP_RETRY_DELAY_MS 500

MmDependencies *
mm_dependencies_new(MmNode *node) {
  MmDependencies *dependencies = g_new0(MmDependencies, 1);

  dependencies->node = node;
  dependencies->graph = mm_dependency_graph_new();
  return dependencies;
}

void
mm_dependencies_free(MmDependencies *dependencies) {
  mm_dependency_graph_free(dependencies->graph);
  g_free(dependencies);
}

void
mm_dependencies_set_callbacks(MmDependencies *dependencies,
                              const MmDependenciesCallbacks *callbacks) {
  dependencies->callbacks = *callbacks;
}

/* Graph updates and callbacks */

/* Invokes the callbacks for the jobs that the change cancelled or made ready. */
static void
notify(MmDependencies *dependencies, const MmDependencyChange *change) {
  const MmDependenciesCallbacks *callbacks = &dependencies->callbacks;

  for (guint i = 0; i < change->cancelled->len; i++) {
    const MmVertex *vertex = g_ptr_array_index(change->cancelled, i);
    callbacks->job_cancelled(callbacks->context, vertex->job_id.s);
  }
  for (guint i = 0; i < change->ready->len; i++) {
    const MmVertex *vertex = g_ptr_array_index(change->ready, i);
    MmJob *job = mm_job_table_find(dependencies->node->job_table, vertex->job_id.s);
    if (job != NULL)
      callbacks->job_ready(callbacks->context, job);
  }
}

static void
add_vertex(MmDependencies *dependencies, MmJob *job, MmDependencyChange *change) {
  job->vertex
      = mm_dependency_graph_add_job(dependencies->graph, job->spec.id.s, job->spec.dependencies,
                                    job->spec.n_dependencies, change);
  if (job->vertex != NULL && job->is_cancelled)
    mm_dependency_graph_cancel_job(dependencies->graph, job->spec.id.s, change);
}

/* Updates the graph with what this node already knows about the dependencies of a new job: the
 * terminal states of dependencies that have ended, and which dependencies are in the job table. */
static void
add_known_dependencies(MmDependencies *dependencies, const MmJob *job, MmDependencyChange *change) {
  MmJobTable *job_table = dependencies->node->job_table;

  for (guint i = 0; i < job->spec.n_dependencies; i++) {
    const char *dependency_id = job->spec.dependencies[i].s;
    MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmTerminalState terminal;
    if (mm_job_table_get_terminal_state(job_table, dependency_id, &terminal))
      mm_dependency_graph_end_job(dependencies->graph, dependency_id, terminal.is_cancelled,
                                  terminal.completed_at_ms, change);
    if (dependency != NULL)
      add_vertex(dependencies, dependency, change);
  }
}

void
mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job) {
  g_auto(MmDependencyChange) change = { 0 };

  mm_dependency_change_init(&change);
  add_vertex(dependencies, job, &change);
  add_known_dependencies(dependencies, job, &change);
  notify(dependencies, &change);
  if (job->spec.n_dependencies > 0 && mm_job_dependencies_are_done(job))
    dependencies->callbacks.job_ready(dependencies->callbacks.context, job);
}

void
mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id) {
  g_auto(MmDependencyChange) change = { 0 };

  mm_dependency_change_init(&change);
  mm_dependency_graph_cancel_job(dependencies->graph, job_id, &change);
  notify(dependencies, &change);
}

void
mm_dependencies_job_ended(MmDependencies *dependencies, const char *job_id, gboolean is_cancelled,
                          gint64 done_at_ms) {
  g_auto(MmDependencyChange) change = { 0 };

  mm_dependency_change_init(&change);
  mm_dependency_graph_end_job(dependencies->graph, job_id, is_cancelled, done_at_ms, &change);
  notify(dependencies, &change);
}

void
mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id) {
  mm_dependency_graph_remove_job(dependencies->graph, job_id);
}

gboolean
mm_dependencies_has_unknown_dependency(MmDependencies *dependencies, const MmJob *job) {
  return job->vertex != NULL
         && mm_dependency_graph_has_unknown_dependency(dependencies->graph, job->vertex);
}

gboolean
mm_job_has_cancelled_dependency(const MmJob *job) {
  return job->vertex != NULL && mm_vertex_has_cancelled_dependency(job->vertex);
}

/* Lookup of terminal records in the key-value store */

/* Context of a pending read; freed by its callback. */
typedef struct {
  MmDependencies *dependencies;
  MmName job;
} TerminalLookup;

static void
on_terminal_record_read(gpointer data, int status, MmJson *body) {
  TerminalLookup *lookup = data;
  MmDependencies *dependencies = lookup->dependencies;
  MmNode *node = dependencies->node;
  MmVertex *vertex = mm_dependency_graph_find(dependencies->graph, lookup->job.s);

  dependencies->n_pending_lookups--;
  if (vertex != NULL) {
    vertex->is_lookup_pending = FALSE;
    /* The read is repeated after this delay, because a 404 is temporary: either the job record
     * exists but has not reached the replica yet, or the job ended after this read. */
    vertex->lookup_not_before = mm_time_add_ms(mm_node_now(node), LOOKUP_RETRY_DELAY_MS);
  }
  if (status == 200)
    mm_job_table_add_terminal_record(node->job_table, lookup->job.s, mm_json_get(body, WIRE_VALUE));
  g_free(lookup);
}

static void
look_up_terminal_record(MmDependencies *dependencies, MmVertex *vertex) {
  TerminalLookup *lookup = g_new(TerminalLookup, 1);

  *lookup = (TerminalLookup){ dependencies, vertex->job_id };
  vertex->is_lookup_pending = TRUE;
  dependencies->n_pending_lookups++;
  mm_kv_client_get(dependencies->node->kv, MM_KEY_TERMINAL_RECORD, vertex->job_id.s,
                   on_terminal_record_read, lookup);
}

void
mm_dependencies_tick(MmDependencies *dependencies) {
  MmNode *node = dependencies->node;
  const GPtrArray *unknown = dependencies->graph->unknown;
  MmTime now = mm_node_now(node);
  gint64 lookup_interval_ms
      = (gint64)(1000 / (node->settings->kv_requests_per_s * LOOKUP_REQUEST_SHARE));

  if (unknown->len == 0 || mm_kv_client_is_refused(node->kv)
      || mm_time_before(now, dependencies->next_lookup_at))
    return;
  for (guint i = 0; i < unknown->len && dependencies->n_pending_lookups < MAX_CONCURRENT_LOOKUPS;
       i++) {
    MmVertex *vertex = g_ptr_array_index(unknown, i);
    if (vertex->is_lookup_pending || mm_time_before(now, vertex->lookup_not_before))
      continue;
    look_up_terminal_record(dependencies, vertex);
    dependencies->next_lookup_at = mm_time_add_ms(now, lookup_interval_ms);
    return;
  }
}
