#include "dependencies/dependencies.h"

#include "base/wire.h"
#include "owner/owner.h"
#include "rank/rank.h"
#include "store/store.h"

/* Reads of final states at once, and the share of the state service's requests that they take. */
#define LOOKUPS_MAX 4
#define LOOKUP_SHARE 0.1
#define LOOKUP_RETRY_MS 500

MmDependencies *
mm_dependencies_new(MmNode *node) {
  MmDependencies *dependencies = g_new0(MmDependencies, 1);

  dependencies->node = node;
  dependencies->graph = mm_graph_new();
  return dependencies;
}

void
mm_dependencies_free(MmDependencies *dependencies) {
  mm_graph_free(dependencies->graph);
  g_free(dependencies);
}

/* ---- what follows from a change of the graph ---- */

static void
apply(MmDependencies *dependencies, const MmGraphChange *change) {
  MmNode *node = dependencies->node;

  for (guint i = 0; i < change->cancelled->len; i++) {
    const MmVertex *vertex = g_ptr_array_index(change->cancelled, i);
    mm_scheduler_job_cancelled(node->owner, vertex->job.s);
  }
  for (guint i = 0; i < change->ready->len; i++) {
    const MmVertex *vertex = g_ptr_array_index(change->ready, i);
    MmJob *job = mm_job_table_find(node->job_table, vertex->job.s);
    if (job != NULL)
      mm_scheduler_job_ready(node->owner, job);
  }
}

static void
add_vertex(MmDependencies *dependencies, MmJob *job, MmGraphChange *change) {
  job->vertex = mm_graph_add(dependencies->graph, job->spec.id.s, job->spec.needs,
                             job->spec.n_needs, change);
  if (job->vertex != NULL && job->cancelled)
    mm_graph_cancel(dependencies->graph, job->spec.id.s, change);
}

/* What this node knows already of the jobs that the new one depends on. */
static void
add_known_needs(MmDependencies *dependencies, const MmJob *job, MmGraphChange *change) {
  MmJobTable *job_table = dependencies->node->job_table;

  for (guint i = 0; i < job->spec.n_needs; i++) {
    const char *dependency_id = job->spec.needs[i].s;
    MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmFinalState terminal;
    if (mm_job_table_final_state(job_table, dependency_id, &terminal))
      mm_graph_finish(dependencies->graph, dependency_id, terminal.cancelled, terminal.done_ms,
                      change);
    if (dependency != NULL)
      add_vertex(dependencies, dependency, change);
  }
}

void
mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job) {
  MmGraphChange change;

  mm_graph_change_init(&change);
  add_vertex(dependencies, job, &change);
  add_known_needs(dependencies, job, &change);
  apply(dependencies, &change);
  mm_graph_change_clear(&change);
  if (job->spec.n_needs > 0 && mm_job_is_ready(job))
    mm_scheduler_job_ready(dependencies->node->owner, job);
}

void
mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id) {
  MmGraphChange change;

  mm_graph_change_init(&change);
  mm_graph_cancel(dependencies->graph, job_id, &change);
  apply(dependencies, &change);
  mm_graph_change_clear(&change);
}

void
mm_dependencies_job_over(MmDependencies *dependencies, const char *job_id, gboolean is_cancelled,
                         gint64 done_at_ms) {
  MmGraphChange change;

  mm_graph_change_init(&change);
  mm_graph_finish(dependencies->graph, job_id, is_cancelled, done_at_ms, &change);
  apply(dependencies, &change);
  mm_graph_change_clear(&change);
}

void
mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id) {
  mm_graph_remove(dependencies->graph, job_id);
}

gboolean
mm_dependencies_undecided(MmDependencies *dependencies, const MmJob *job) {
  return job->vertex != NULL && mm_graph_is_undecided(dependencies->graph, job->vertex);
}

gboolean
mm_job_needs_cancelled(const MmJob *job) {
  return job->vertex != NULL && mm_vertex_needs_cancelled(job->vertex);
}

/* ---- final states that nobody has told ---- */

typedef struct {
  MmDependencies *dependencies;
  MmName job;
} Lookup;

static void
looked_up(gpointer data, int status, json_t *body) {
  Lookup *lookup = data;
  MmDependencies *dependencies = lookup->dependencies;
  MmNode *node = dependencies->node;
  MmVertex *vertex = mm_graph_find(dependencies->graph, lookup->job.s);

  dependencies->lookups--;
  if (vertex != NULL) {
    vertex->looking_up = FALSE;
    /* 404: its record is about to show here, or has just been moved. */
    vertex->look_up_after = mm_time_add_ms(mm_node_now(node), LOOKUP_RETRY_MS);
  }
  if (status == 200)
    mm_job_table_keep_final(node->job_table, lookup->job.s, mm_json_get(body, WIRE_VALUE));
  g_free(lookup);
}

static void
look_up(MmDependencies *dependencies, MmVertex *vertex) {
  Lookup *lookup = g_new(Lookup, 1);

  *lookup = (Lookup){ dependencies, vertex->job };
  vertex->looking_up = TRUE;
  dependencies->lookups++;
  mm_kv_client_get(dependencies->node->store, MM_KEY_TERMINAL_RECORD, vertex->job.s, looked_up,
                   lookup);
}

void
mm_dependencies_tick(MmDependencies *dependencies) {
  MmNode *node = dependencies->node;
  const GPtrArray *unknown = dependencies->graph->unknown;
  MmTime now = mm_node_now(node);
  gint64 lookup_interval_ms = (gint64)(1000 / (node->settings->kv_requests_per_s * LOOKUP_SHARE));

  if (unknown->len == 0 || mm_kv_client_is_refused(node->store)
      || mm_time_before(now, dependencies->next_lookup))
    return;
  for (guint i = 0; i < unknown->len && dependencies->lookups < LOOKUPS_MAX; i++) {
    MmVertex *vertex = g_ptr_array_index(unknown, i);
    if (vertex->looking_up || mm_time_before(now, vertex->look_up_after))
      continue;
    look_up(dependencies, vertex);
    dependencies->next_lookup = mm_time_add_ms(now, lookup_interval_ms);
    return;
  }
}
