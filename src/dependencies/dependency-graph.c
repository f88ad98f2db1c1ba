#include "dependencies/dependency-graph.h"

static void
vertex_free(gpointer data) {
  MmVertex *vertex = data;

  g_ptr_array_unref(vertex->dependencies);
  g_ptr_array_unref(vertex->dependents);
  g_free(vertex);
}

MmDependencyGraph *
mm_dependency_graph_new(void) {
  MmDependencyGraph *graph = g_new0(MmDependencyGraph, 1);

  graph->vertices = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vertex_free);
  graph->unknown = g_ptr_array_new();
  return graph;
}

void
mm_dependency_graph_free(MmDependencyGraph *graph) {
  g_ptr_array_unref(graph->unknown);
  g_hash_table_unref(graph->vertices);
  g_free(graph);
}

gsize
mm_dependency_graph_memory_bytes(const MmDependencyGraph *graph) {
  GHashTableIter iter;
  gpointer value;
  gsize bytes = graph->unknown->len * sizeof(gpointer);

  g_hash_table_iter_init(&iter, graph->vertices);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmVertex *vertex = value;
    bytes += sizeof *vertex
             + (vertex->dependencies->len + vertex->dependents->len) * sizeof(gpointer);
  }
  return bytes;
}

MmVertex *
mm_dependency_graph_find(const MmDependencyGraph *graph, const char *job_id) {
  return g_hash_table_lookup(graph->vertices, job_id);
}

void
mm_dependency_change_init(MmDependencyChange *change) {
  change->cancelled = g_ptr_array_new();
  change->ready = g_ptr_array_new();
}

void
mm_dependency_change_clear(MmDependencyChange *change) {
  g_ptr_array_unref(change->cancelled);
  g_ptr_array_unref(change->ready);
}

static void
set_state(MmDependencyGraph *graph, MmVertex *vertex, MmVertexState state) {
  if (vertex->state == state)
    return;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    g_ptr_array_remove_fast(graph->unknown, vertex);
  if (state == MM_VERTEX_UNKNOWN)
    g_ptr_array_add(graph->unknown, vertex);
  vertex->state = state;
}

static MmVertex *
find_or_create(MmDependencyGraph *graph, const char *job_id) {
  MmVertex *vertex = mm_dependency_graph_find(graph, job_id);

  if (vertex != NULL)
    return vertex;
  vertex = g_new0(MmVertex, 1);
  vertex->job_id = mm_name(job_id);
  vertex->dependencies = g_ptr_array_new();
  vertex->dependents = g_ptr_array_new();
  vertex->state = MM_VERTEX_UNKNOWN;
  g_ptr_array_add(graph->unknown, vertex);
  g_hash_table_insert(graph->vertices, vertex->job_id.s, vertex);
  return vertex;
}

/* Frees the vertex if the record of the vertex's job was deleted and no unfinished job depends on
 * that job. */
static void
free_if_unused(MmDependencyGraph *graph, MmVertex *vertex) {
  if (vertex->is_in_job_table || vertex->dependents->len > 0 || vertex->dependencies->len > 0)
    return;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    g_ptr_array_remove_fast(graph->unknown, vertex);
  g_hash_table_remove(graph->vertices, vertex->job_id.s);
}

static gboolean
has_ended(const MmVertex *vertex) {
  return vertex->state == MM_VERTEX_DONE || vertex->state == MM_VERTEX_CANCELLED;
}

/* Marks the vertex and its direct and transitive dependents as cancelled. The elements that this
 * call appends to change->cancelled also serve as the queue of the breadth-first traversal. */
static void
cancel_with_dependents(MmDependencyGraph *graph, MmVertex *start, MmDependencyChange *change) {
  guint next = change->cancelled->len;

  if (has_ended(start))
    return;
  set_state(graph, start, MM_VERTEX_CANCELLED);
  g_ptr_array_add(change->cancelled, start);
  for (; next < change->cancelled->len; next++) {
    const MmVertex *vertex = g_ptr_array_index(change->cancelled, next);
    for (guint i = 0; i < vertex->dependents->len; i++) {
      MmVertex *dependent = g_ptr_array_index(vertex->dependents, i);
      if (has_ended(dependent))
        continue;
      set_state(graph, dependent, MM_VERTEX_CANCELLED);
      g_ptr_array_add(change->cancelled, dependent);
    }
  }
}

/* Returns whether `vertex` was the last to be connected to `dependency`. As all dependencies of a
 * job are connected in one go, this tells whether they have been connected to each other already.
 */
static gboolean
is_newest_dependent(const MmVertex *dependency, const MmVertex *vertex) {
  guint n_dependents = dependency->dependents->len;

  return n_dependents > 0 && g_ptr_array_index(dependency->dependents, n_dependents - 1) == vertex;
}

static void
connect_dependency(MmDependencyGraph *graph, MmVertex *vertex, const MmName *dependency_id) {
  MmVertex *dependency = find_or_create(graph, dependency_id->s);

  if (dependency == vertex || is_newest_dependent(dependency, vertex))
    return;
  g_ptr_array_add(vertex->dependencies, dependency);
  g_ptr_array_add(dependency->dependents, vertex);
  vertex->n_unmet += dependency->state != MM_VERTEX_DONE;
}

gboolean
mm_vertex_has_cancelled_dependency(const MmVertex *vertex) {
  for (guint i = 0; i < vertex->dependencies->len; i++)
    if (((const MmVertex *)g_ptr_array_index(vertex->dependencies, i))->state
        == MM_VERTEX_CANCELLED)
      return TRUE;
  return FALSE;
}

MmVertex *
mm_dependency_graph_add_job(MmDependencyGraph *graph, const char *job_id,
                            const MmName *dependencies, guint n_dependencies,
                            MmDependencyChange *change) {
  MmVertex *vertex = n_dependencies > 0 ? find_or_create(graph, job_id)
                                        : mm_dependency_graph_find(graph, job_id);

  if (vertex == NULL || vertex->is_in_job_table)
    return vertex;
  vertex->is_in_job_table = TRUE;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    set_state(graph, vertex, MM_VERTEX_UNFINISHED);
  for (guint i = 0; i < n_dependencies; i++)
    connect_dependency(graph, vertex, &dependencies[i]);
  if (mm_vertex_has_cancelled_dependency(vertex))
    cancel_with_dependents(graph, vertex, change);
  return vertex;
}

void
mm_dependency_graph_cancel_job(MmDependencyGraph *graph, const char *job_id,
                               MmDependencyChange *change) {
  MmVertex *vertex = mm_dependency_graph_find(graph, job_id);

  if (vertex != NULL)
    cancel_with_dependents(graph, vertex, change);
}

void
mm_dependency_graph_end_job(MmDependencyGraph *graph, const char *job_id, gboolean is_cancelled,
                            gint64 done_at_ms, MmDependencyChange *change) {
  MmVertex *vertex = mm_dependency_graph_find(graph, job_id);

  if (vertex == NULL || has_ended(vertex))
    return;
  if (is_cancelled) {
    cancel_with_dependents(graph, vertex, change);
    return;
  }
  set_state(graph, vertex, MM_VERTEX_DONE);
  vertex->done_at_ms = done_at_ms;
  for (guint i = 0; i < vertex->dependents->len; i++) {
    MmVertex *dependent = g_ptr_array_index(vertex->dependents, i);
    dependent->n_unmet--;
    if (dependent->n_unmet == 0 && dependent->state == MM_VERTEX_UNFINISHED)
      g_ptr_array_add(change->ready, dependent);
  }
}

void
mm_dependency_graph_remove_job(MmDependencyGraph *graph, const char *job_id) {
  MmVertex *vertex = mm_dependency_graph_find(graph, job_id);

  if (vertex == NULL)
    return;
  vertex->is_in_job_table = FALSE;
  for (guint i = 0; i < vertex->dependencies->len; i++) {
    MmVertex *dependency = g_ptr_array_index(vertex->dependencies, i);
    g_ptr_array_remove_fast(dependency->dependents, vertex);
    free_if_unused(graph, dependency);
  }
  g_ptr_array_set_size(vertex->dependencies, 0);
  vertex->n_unmet = 0;
  /* A known outcome is final. The outcome of a job that was last seen unfinished is unknown until
   * its terminal record has been read. */
  if (vertex->state == MM_VERTEX_UNFINISHED)
    set_state(graph, vertex, MM_VERTEX_UNKNOWN);
  free_if_unused(graph, vertex);
}

gboolean
mm_vertex_dependencies_are_done(const MmVertex *vertex) {
  return vertex->n_unmet == 0;
}

gint64
mm_vertex_dependencies_done_at_ms(const MmVertex *vertex) {
  gint64 latest_ms = 0;

  for (guint i = 0; i < vertex->dependencies->len; i++)
    latest_ms = MAX(latest_ms,
                    ((const MmVertex *)g_ptr_array_index(vertex->dependencies, i))->done_at_ms);
  return latest_ms;
}

gboolean
mm_dependency_graph_has_unknown_dependency(MmDependencyGraph *graph, MmVertex *vertex) {
  g_autoptr(GPtrArray) queue = NULL;
  guint64 traversal_number;

  if (graph->unknown->len == 0 || has_ended(vertex))
    return FALSE;
  traversal_number = ++graph->n_traversals;
  queue = g_ptr_array_new();
  g_ptr_array_add(queue, vertex);
  vertex->last_traversal = traversal_number;
  for (guint next = 0; next < queue->len; next++) {
    const MmVertex *current = g_ptr_array_index(queue, next);
    for (guint i = 0; i < current->dependencies->len; i++) {
      MmVertex *dependency = g_ptr_array_index(current->dependencies, i);
      if (dependency->state == MM_VERTEX_UNKNOWN)
        return TRUE;
      if (dependency->state != MM_VERTEX_UNFINISHED
          || dependency->last_traversal == traversal_number)
        continue;
      dependency->last_traversal = traversal_number;
      g_ptr_array_add(queue, dependency);
    }
  }
  return FALSE;
}
