#include "dependencies/graph.h"

static void
vertex_free(gpointer data) {
  MmVertex *vertex = data;

  g_ptr_array_unref(vertex->needs);
  g_ptr_array_unref(vertex->dependents);
  g_free(vertex);
}

MmGraph *
mm_graph_new(void) {
  MmGraph *graph = g_new0(MmGraph, 1);

  graph->vertices = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vertex_free);
  graph->unknown = g_ptr_array_new();
  return graph;
}

void
mm_graph_free(MmGraph *graph) {
  g_ptr_array_unref(graph->unknown);
  g_hash_table_unref(graph->vertices);
  g_free(graph);
}

MmVertex *
mm_graph_find(const MmGraph *graph, const char *job_id) {
  return g_hash_table_lookup(graph->vertices, job_id);
}

void
mm_graph_change_init(MmGraphChange *change) {
  change->cancelled = g_ptr_array_new();
  change->ready = g_ptr_array_new();
}

void
mm_graph_change_clear(MmGraphChange *change) {
  g_ptr_array_unref(change->cancelled);
  g_ptr_array_unref(change->ready);
}

static void
set_state(MmGraph *graph, MmVertex *vertex, MmVertexState state) {
  if (vertex->state == state)
    return;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    g_ptr_array_remove_fast(graph->unknown, vertex);
  if (state == MM_VERTEX_UNKNOWN)
    g_ptr_array_add(graph->unknown, vertex);
  vertex->state = state;
}

static MmVertex *
find_or_create(MmGraph *graph, const char *job_id) {
  MmVertex *vertex = mm_graph_find(graph, job_id);

  if (vertex != NULL)
    return vertex;
  vertex = g_new0(MmVertex, 1);
  vertex->job = mm_name(job_id);
  vertex->needs = g_ptr_array_new();
  vertex->dependents = g_ptr_array_new();
  vertex->state = MM_VERTEX_UNKNOWN;
  g_ptr_array_add(graph->unknown, vertex);
  g_hash_table_insert(graph->vertices, vertex->job.s, vertex);
  return vertex;
}

/* Nobody depends on it, it depends on nobody, and its record is gone. */
static void
free_if_unused(MmGraph *graph, MmVertex *vertex) {
  if (vertex->in_table || vertex->dependents->len > 0 || vertex->needs->len > 0)
    return;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    g_ptr_array_remove_fast(graph->unknown, vertex);
  g_hash_table_remove(graph->vertices, vertex->job.s);
}

static gboolean
is_over(const MmVertex *vertex) {
  return vertex->state == MM_VERTEX_DONE || vertex->state == MM_VERTEX_CANCELLED;
}

/* Marks the vertex and all that depend on it, directly or not. */
static void
cancel_from(MmGraph *graph, MmVertex *start, MmGraphChange *change) {
  guint next = change->cancelled->len;

  if (is_over(start))
    return;
  set_state(graph, start, MM_VERTEX_CANCELLED);
  g_ptr_array_add(change->cancelled, start);
  for (; next < change->cancelled->len; next++) {
    const MmVertex *vertex = g_ptr_array_index(change->cancelled, next);
    for (guint i = 0; i < vertex->dependents->len; i++) {
      MmVertex *dependent = g_ptr_array_index(vertex->dependents, i);
      if (is_over(dependent))
        continue;
      set_state(graph, dependent, MM_VERTEX_CANCELLED);
      g_ptr_array_add(change->cancelled, dependent);
    }
  }
}

static void
connect_need(MmGraph *graph, MmVertex *vertex, const MmName *dependency_id) {
  MmVertex *dependency = find_or_create(graph, dependency_id->s);

  if (dependency == vertex || g_ptr_array_find(vertex->needs, dependency, NULL))
    return;
  g_ptr_array_add(vertex->needs, dependency);
  g_ptr_array_add(dependency->dependents, vertex);
  vertex->unmet += dependency->state != MM_VERTEX_DONE;
}

gboolean
mm_vertex_needs_cancelled(const MmVertex *vertex) {
  for (guint i = 0; i < vertex->needs->len; i++)
    if (((const MmVertex *)g_ptr_array_index(vertex->needs, i))->state == MM_VERTEX_CANCELLED)
      return TRUE;
  return FALSE;
}

MmVertex *
mm_graph_add(MmGraph *graph, const char *job_id, const MmName *dependencies, guint n_dependencies,
             MmGraphChange *change) {
  MmVertex *vertex
      = n_dependencies > 0 ? find_or_create(graph, job_id) : mm_graph_find(graph, job_id);

  if (vertex == NULL || vertex->in_table)
    return vertex;
  vertex->in_table = TRUE;
  if (vertex->state == MM_VERTEX_UNKNOWN)
    set_state(graph, vertex, MM_VERTEX_UNFINISHED);
  for (guint i = 0; i < n_dependencies; i++)
    connect_need(graph, vertex, &dependencies[i]);
  if (mm_vertex_needs_cancelled(vertex))
    cancel_from(graph, vertex, change);
  return vertex;
}

void
mm_graph_cancel(MmGraph *graph, const char *job_id, MmGraphChange *change) {
  MmVertex *vertex = mm_graph_find(graph, job_id);

  if (vertex != NULL)
    cancel_from(graph, vertex, change);
}

void
mm_graph_finish(MmGraph *graph, const char *job_id, gboolean is_cancelled, gint64 done_at_ms,
                MmGraphChange *change) {
  MmVertex *vertex = mm_graph_find(graph, job_id);

  if (vertex == NULL || is_over(vertex))
    return;
  if (is_cancelled) {
    cancel_from(graph, vertex, change);
    return;
  }
  set_state(graph, vertex, MM_VERTEX_DONE);
  vertex->done_ms = done_at_ms;
  for (guint i = 0; i < vertex->dependents->len; i++) {
    MmVertex *dependent = g_ptr_array_index(vertex->dependents, i);
    dependent->unmet--;
    if (dependent->unmet == 0 && dependent->state == MM_VERTEX_UNFINISHED)
      g_ptr_array_add(change->ready, dependent);
  }
}

void
mm_graph_remove(MmGraph *graph, const char *job_id) {
  MmVertex *vertex = mm_graph_find(graph, job_id);

  if (vertex == NULL)
    return;
  vertex->in_table = FALSE;
  for (guint i = 0; i < vertex->needs->len; i++) {
    MmVertex *dependency = g_ptr_array_index(vertex->needs, i);
    g_ptr_array_remove_fast(dependency->dependents, vertex);
    free_if_unused(graph, dependency);
  }
  g_ptr_array_set_size(vertex->needs, 0);
  vertex->unmet = 0;
  /* A cancellation that was seen stays true; how an unfinished job ended is still to be read. */
  if (vertex->state == MM_VERTEX_UNFINISHED)
    set_state(graph, vertex, MM_VERTEX_UNKNOWN);
  free_if_unused(graph, vertex);
}

gboolean
mm_vertex_is_ready(const MmVertex *vertex) {
  return vertex->unmet == 0;
}

gint64
mm_vertex_ready_ms(const MmVertex *vertex) {
  gint64 latest_ms = 0;

  for (guint i = 0; i < vertex->needs->len; i++)
    latest_ms = MAX(latest_ms, ((const MmVertex *)g_ptr_array_index(vertex->needs, i))->done_ms);
  return latest_ms;
}

gboolean
mm_graph_is_undecided(MmGraph *graph, MmVertex *vertex) {
  g_autoptr(GPtrArray) walk = NULL;
  guint64 walk_number;

  if (graph->unknown->len == 0 || is_over(vertex))
    return FALSE;
  walk_number = ++graph->walks;
  walk = g_ptr_array_new();
  g_ptr_array_add(walk, vertex);
  vertex->visited = walk_number;
  for (guint next = 0; next < walk->len; next++) {
    const MmVertex *current = g_ptr_array_index(walk, next);
    for (guint i = 0; i < current->needs->len; i++) {
      MmVertex *dependency = g_ptr_array_index(current->needs, i);
      if (dependency->state == MM_VERTEX_UNKNOWN)
        return TRUE;
      if (dependency->state != MM_VERTEX_UNFINISHED || dependency->visited == walk_number)
        continue;
      dependency->visited = walk_number;
      g_ptr_array_add(walk, dependency);
    }
  }
  return FALSE;
}
