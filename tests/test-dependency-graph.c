/* Tests of the dependency graph: single operations, large graphs, and seeded random histories that
 * are compared with a reference model. */
#include "dependencies/dependency-graph.h"

typedef struct {
  MmDependencyGraph *graph;
  MmDependencyChange change;
} Fixture;

static Fixture
fixture_new(void) {
  Fixture f = { mm_dependency_graph_new(), { 0 } };

  mm_dependency_change_init(&f.change);
  return f;
}

static void
fixture_free(Fixture *f) {
  mm_dependency_change_clear(&f->change);
  mm_dependency_graph_free(f->graph);
}

static void
clear_changes(Fixture *f) {
  g_ptr_array_set_size(f->change.cancelled, 0);
  g_ptr_array_set_size(f->change.ready, 0);
}

static MmName
job_name(guint number) {
  g_autofree char *text = g_strdup_printf("run-%06u", number);

  return mm_name(text);
}

static MmVertex *
add_job(Fixture *f, guint job, const guint *dependencies, guint n) {
  MmName id = job_name(job);
  g_autofree MmName *names = g_new0(MmName, MAX(n, 1));

  for (guint i = 0; i < n; i++)
    names[i] = job_name(dependencies[i]);
  return mm_dependency_graph_add_job(f->graph, id.s, names, n, &f->change);
}

static void
end_job(Fixture *f, guint job, gboolean cancelled, gint64 done_ms) {
  MmName id = job_name(job);

  mm_dependency_graph_end_job(f->graph, id.s, cancelled, done_ms, &f->change);
}

/* The last job of a diamond is ready when both jobs that it depends on are done. Its time of
 * readiness is the time at which the later of these two jobs ended. */
static void
test_diamond_is_ready_when_both_arms_are_done(void) {
  Fixture f = fixture_new();
  MmVertex *end;

  add_job(&f, 1, NULL, 0);
  add_job(&f, 2, (guint[]){ 1 }, 1);
  add_job(&f, 3, (guint[]){ 1 }, 1);
  end = add_job(&f, 4, (guint[]){ 2, 3, 2 }, 3);
  g_assert_cmpuint(end->dependencies->len, ==, 2);
  g_assert_false(mm_vertex_dependencies_are_done(end));
  end_job(&f, 1, FALSE, 50);
  g_assert_cmpuint(f.change.ready->len, ==, 2);
  clear_changes(&f);
  end_job(&f, 3, FALSE, 90);
  g_assert_false(mm_vertex_dependencies_are_done(end));
  end_job(&f, 2, FALSE, 70);
  g_assert_true(mm_vertex_dependencies_are_done(end));
  g_assert_true(g_ptr_array_index(f.change.ready, 0) == end);
  g_assert_cmpint(mm_vertex_dependencies_done_at_ms(end), ==, 90);
  fixture_free(&f);
}

/* The cancellation of a job cancels its direct and indirect dependents, including those added
 * later, but none of the jobs that it depends on. */
static void
test_cancellation_reaches_dependents_only(void) {
  Fixture f = fixture_new();
  MmName middle = job_name(2);
  MmVertex *late;

  add_job(&f, 1, NULL, 0);
  add_job(&f, 2, (guint[]){ 1 }, 1);
  add_job(&f, 3, (guint[]){ 2 }, 1);
  add_job(&f, 4, (guint[]){ 3 }, 1);
  add_job(&f, 5, (guint[]){ 1 }, 1);
  mm_dependency_graph_cancel_job(f.graph, middle.s, &f.change);
  g_assert_cmpuint(f.change.cancelled->len, ==, 3);
  g_assert_cmpint(mm_dependency_graph_find(f.graph, "run-000005")->state, ==, MM_VERTEX_UNFINISHED);
  g_assert_cmpint(mm_dependency_graph_find(f.graph, "run-000001")->state, ==, MM_VERTEX_UNKNOWN);
  late = add_job(&f, 6, (guint[]){ 4 }, 1);
  g_assert_cmpint(late->state, ==, MM_VERTEX_CANCELLED);
  g_assert_true(mm_vertex_has_cancelled_dependency(late));
  fixture_free(&f);
}

/* A deleted job record does not show how the job ended; therefore the job does not count as
 * done. */
static void
test_deleted_record_does_not_count_as_done(void) {
  Fixture f = fixture_new();
  MmVertex *after, *last;

  after = add_job(&f, 2, (guint[]){ 1 }, 1);
  last = add_job(&f, 3, (guint[]){ 2 }, 1);
  add_job(&f, 1, NULL, 0);
  g_assert_false(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  mm_dependency_graph_remove_job(f.graph, "run-000001");
  g_assert_false(mm_vertex_dependencies_are_done(after));
  g_assert_true(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  end_job(&f, 1, FALSE, 5);
  g_assert_true(mm_vertex_dependencies_are_done(after));
  g_assert_false(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  /* Vertices of removed jobs are freed once no unfinished job depends on them. */
  mm_dependency_graph_remove_job(f.graph, "run-000003");
  mm_dependency_graph_remove_job(f.graph, "run-000002");
  g_assert_cmpuint(g_hash_table_size(f.graph->vertices), ==, 0);
  g_assert_cmpuint(f.graph->unknown->len, ==, 0);
  fixture_free(&f);
}

#define LONG_CHAIN 20000
#define MANY_DEPENDENTS 5000

/* The call depth does not depend on the length of a chain, and each vertex is reported as cancelled
 * once. */
static void
test_long_chain_needs_no_recursion(void) {
  Fixture f = fixture_new();

  add_job(&f, 0, NULL, 0);
  for (guint i = 1; i < LONG_CHAIN; i++)
    add_job(&f, i, (guint[]){ i - 1 }, 1);
  g_assert_true(mm_dependency_graph_has_unknown_dependency(
      f.graph, mm_dependency_graph_find(f.graph, job_name(LONG_CHAIN - 1).s)));
  mm_dependency_graph_cancel_job(f.graph, "run-000000", &f.change);
  g_assert_cmpuint(f.change.cancelled->len, ==, LONG_CHAIN);
  fixture_free(&f);
}

static void
test_many_dependents_are_each_marked_once(void) {
  Fixture f = fixture_new();

  add_job(&f, 0, NULL, 0);
  for (guint i = 1; i <= MANY_DEPENDENTS; i++)
    add_job(&f, i, (guint[]){ 0 }, 1);
  end_job(&f, 0, FALSE, 9);
  g_assert_cmpuint(f.change.ready->len, ==, MANY_DEPENDENTS);
  for (guint i = 1; i <= MANY_DEPENDENTS; i++)
    mm_dependency_graph_remove_job(f.graph, job_name(i).s);
  g_assert_cmpuint(g_hash_table_size(f.graph->vertices), ==, 0);
  fixture_free(&f);
}

#define JOBS 60
#define MAX_DEPENDENCIES 4

/* Reference model: the jobs, their dependencies, and the events that were reported to the graph. */
typedef struct {
  guint dependencies[JOBS][MAX_DEPENDENCIES];
  guint n_dependencies[JOBS];
  gboolean added[JOBS], removed[JOBS];
  gboolean done[JOBS], cancelled[JOBS]; /* reported by a job record or a terminal record */
} Model;

static gboolean
model_is_cancelled(const Model *m, guint job) {
  if (m->cancelled[job])
    return TRUE;
  for (guint i = 0; i < m->n_dependencies[job]; i++)
    if (model_is_cancelled(m, m->dependencies[job][i]))
      return TRUE;
  return FALSE;
}

static gboolean
model_is_ready(const Model *m, guint job) {
  for (guint i = 0; i < m->n_dependencies[job]; i++)
    if (!m->done[m->dependencies[job][i]])
      return FALSE;
  return TRUE;
}

static void
compare_with_model(const Fixture *f, const Model *m) {
  for (guint job = 0; job < JOBS; job++) {
    const MmVertex *vertex = mm_dependency_graph_find(f->graph, job_name(job).s);
    if (!m->added[job] || m->removed[job] || m->n_dependencies[job] == 0)
      continue;
    g_assert_nonnull(vertex);
    g_assert_cmpint(vertex->state == MM_VERTEX_CANCELLED, ==, model_is_cancelled(m, job));
    if (!model_is_cancelled(m, job))
      g_assert_cmpint(mm_vertex_dependencies_are_done(vertex), ==, model_is_ready(m, job));
  }
}

static void
apply_random_event(Fixture *f, Model *m, GRand *rand, guint *next_job) {
  guint job = *next_job > 0 ? (guint)g_rand_int_range(rand, 0, (gint32)*next_job) : 0;
  MmName id = job_name(job);

  if (*next_job < JOBS && g_rand_boolean(rand)) {
    guint n = *next_job > 0 ? (guint)g_rand_int_range(rand, 0, MAX_DEPENDENCIES) : 0;
    for (guint i = 0; i < n; i++) {
      guint dependency = (guint)g_rand_int_range(rand, 0, (gint32)*next_job);
      gboolean is_removed = m->removed[dependency];
      /* A new job never names a dependency whose record has been removed, because the graph may
       * have forgotten how that dependency ended. Until the removal, the job table reports the end
       * of the dependency to the graph again. */
      if (!is_removed)
        m->dependencies[*next_job][m->n_dependencies[*next_job]++] = dependency;
    }
    /* The job table adds the dependencies of a job before the job, or together with it. */
    for (guint i = 0; i < m->n_dependencies[*next_job]; i++)
      add_job(f, m->dependencies[*next_job][i], m->dependencies[m->dependencies[*next_job][i]],
              m->n_dependencies[m->dependencies[*next_job][i]]);
    add_job(f, *next_job, m->dependencies[*next_job], m->n_dependencies[*next_job]);
    for (guint i = 0; i < m->n_dependencies[*next_job]; i++) {
      if (m->done[m->dependencies[*next_job][i]])
        end_job(f, m->dependencies[*next_job][i], FALSE, 1);
      else if (m->cancelled[m->dependencies[*next_job][i]])
        mm_dependency_graph_cancel_job(f->graph, job_name(m->dependencies[*next_job][i]).s,
                                       &f->change);
    }
    m->added[(*next_job)++] = TRUE;
  } else if (*next_job > 0 && m->added[job] && !m->removed[job]) {
    if (g_rand_int_range(rand, 0, 4) == 0 && !m->done[job]) {
      m->cancelled[job] = TRUE;
      mm_dependency_graph_cancel_job(f->graph, id.s, &f->change);
    } else if (!m->done[job] && !model_is_cancelled(m, job) && model_is_ready(m, job)) {
      m->done[job] = TRUE;
      end_job(f, job, FALSE, 1);
    } else if (m->done[job]) {
      m->removed[job] = TRUE;
      mm_dependency_graph_remove_job(f->graph, id.s);
    }
  }
}

static void
test_random_graph(gconstpointer data) {
  GRand *rand = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
  Fixture f = fixture_new();
  Model m = { 0 };
  guint next_job = 0;

  for (guint step = 0; step < 400; step++) {
    clear_changes(&f);
    apply_random_event(&f, &m, rand, &next_job);
    compare_with_model(&f, &m);
  }
  g_assert_cmpuint(next_job, ==, JOBS);
  fixture_free(&f);
  g_rand_free(rand);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/dependency-graph/diamond-is-ready-when-both-arms-are-done",
                  test_diamond_is_ready_when_both_arms_are_done);
  g_test_add_func("/dependency-graph/cancellation-reaches-dependents-only",
                  test_cancellation_reaches_dependents_only);
  g_test_add_func("/dependency-graph/deleted-record-does-not-count-as-done",
                  test_deleted_record_does_not_count_as_done);
  g_test_add_func("/dependency-graph/long-chain-needs-no-recursion",
                  test_long_chain_needs_no_recursion);
  g_test_add_func("/dependency-graph/many-dependents-are-each-marked-once",
                  test_many_dependents_are_each_marked_once);
  for (guint seed = 1; seed <= 20; seed++) {
    g_autofree char *name = g_strdup_printf("/dependency-graph/random-graph-%u", seed);
    g_test_add_data_func(name, GUINT_TO_POINTER(seed), test_random_graph);
  }
  return g_test_run();
}
