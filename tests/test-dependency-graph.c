/* The dependency graph by itself: seeded random histories against a plain model, and sizes. */
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
forget_changes(Fixture *f) {
  g_ptr_array_set_size(f->change.cancelled, 0);
  g_ptr_array_set_size(f->change.ready, 0);
}

static MmName
job_name(guint number) {
  g_autofree char *text = g_strdup_printf("run-%06u", number);

  return mm_name(text);
}

static MmVertex *
add(Fixture *f, guint job, const guint *needs, guint n) {
  MmName id = job_name(job);
  g_autofree MmName *names = g_new0(MmName, MAX(n, 1));

  for (guint i = 0; i < n; i++)
    names[i] = job_name(needs[i]);
  return mm_dependency_graph_add_job(f->graph, id.s, names, n, &f->change);
}

static void
finish(Fixture *f, guint job, gboolean cancelled, gint64 done_ms) {
  MmName id = job_name(job);

  mm_dependency_graph_end_job(f->graph, id.s, cancelled, done_ms, &f->change);
}

/* A diamond: ready when the last of both arms is done, and counted from then. */
static void
test_diamond_is_ready_when_both_arms_are_done(void) {
  Fixture f = fixture_new();
  MmVertex *end;

  add(&f, 1, NULL, 0);
  add(&f, 2, (guint[]){ 1 }, 1);
  add(&f, 3, (guint[]){ 1 }, 1);
  end = add(&f, 4, (guint[]){ 2, 3, 2 }, 3);
  g_assert_cmpuint(end->dependencies->len, ==, 2);
  g_assert_false(mm_vertex_dependencies_are_done(end));
  finish(&f, 1, FALSE, 50);
  g_assert_cmpuint(f.change.ready->len, ==, 2);
  forget_changes(&f);
  finish(&f, 3, FALSE, 90);
  g_assert_false(mm_vertex_dependencies_are_done(end));
  finish(&f, 2, FALSE, 70);
  g_assert_true(mm_vertex_dependencies_are_done(end));
  g_assert_true(g_ptr_array_index(f.change.ready, 0) == end);
  g_assert_cmpint(mm_vertex_dependencies_done_at_ms(end), ==, 90);
  fixture_free(&f);
}

/* Cancelled with all that depends on it, and with nothing that it depends on; also what comes after
 * it. */
static void
test_cancellation_reaches_dependents_only(void) {
  Fixture f = fixture_new();
  MmName middle = job_name(2);
  MmVertex *late;

  add(&f, 1, NULL, 0);
  add(&f, 2, (guint[]){ 1 }, 1);
  add(&f, 3, (guint[]){ 2 }, 1);
  add(&f, 4, (guint[]){ 3 }, 1);
  add(&f, 5, (guint[]){ 1 }, 1);
  mm_dependency_graph_cancel_job(f.graph, middle.s, &f.change);
  g_assert_cmpuint(f.change.cancelled->len, ==, 3);
  g_assert_cmpint(mm_dependency_graph_find(f.graph, "run-000005")->state, ==, MM_VERTEX_UNFINISHED);
  g_assert_cmpint(mm_dependency_graph_find(f.graph, "run-000001")->state, ==, MM_VERTEX_UNKNOWN);
  late = add(&f, 6, (guint[]){ 4 }, 1);
  g_assert_cmpint(late->state, ==, MM_VERTEX_CANCELLED);
  g_assert_true(mm_vertex_has_cancelled_dependency(late));
  fixture_free(&f);
}

/* A record that is gone says nothing of how the job ended. */
static void
test_deleted_record_does_not_count_as_done(void) {
  Fixture f = fixture_new();
  MmVertex *after, *last;

  after = add(&f, 2, (guint[]){ 1 }, 1);
  last = add(&f, 3, (guint[]){ 2 }, 1);
  add(&f, 1, NULL, 0);
  g_assert_false(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  mm_dependency_graph_remove_job(f.graph, "run-000001");
  g_assert_false(mm_vertex_dependencies_are_done(after));
  g_assert_true(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  finish(&f, 1, FALSE, 5);
  g_assert_true(mm_vertex_dependencies_are_done(after));
  g_assert_false(mm_dependency_graph_has_unknown_dependency(f.graph, last));
  /* Nothing is kept for jobs that nobody needs any more. */
  mm_dependency_graph_remove_job(f.graph, "run-000003");
  mm_dependency_graph_remove_job(f.graph, "run-000002");
  g_assert_cmpuint(g_hash_table_size(f.graph->vertices), ==, 0);
  g_assert_cmpuint(f.graph->unknown->len, ==, 0);
  fixture_free(&f);
}

#define LONG_CHAIN 20000
#define MANY_DEPENDENTS 5000

/* No call depth hangs on the length of a chain, and each vertex is marked once. */
static void
test_long_chain_needs_no_recursion(void) {
  Fixture f = fixture_new();

  add(&f, 0, NULL, 0);
  for (guint i = 1; i < LONG_CHAIN; i++)
    add(&f, i, (guint[]){ i - 1 }, 1);
  g_assert_true(mm_dependency_graph_has_unknown_dependency(
      f.graph, mm_dependency_graph_find(f.graph, job_name(LONG_CHAIN - 1).s)));
  mm_dependency_graph_cancel_job(f.graph, "run-000000", &f.change);
  g_assert_cmpuint(f.change.cancelled->len, ==, LONG_CHAIN);
  fixture_free(&f);
}

static void
test_many_dependents_are_each_marked_once(void) {
  Fixture f = fixture_new();

  add(&f, 0, NULL, 0);
  for (guint i = 1; i <= MANY_DEPENDENTS; i++)
    add(&f, i, (guint[]){ 0 }, 1);
  finish(&f, 0, FALSE, 9);
  g_assert_cmpuint(f.change.ready->len, ==, MANY_DEPENDENTS);
  for (guint i = 1; i <= MANY_DEPENDENTS; i++)
    mm_dependency_graph_remove_job(f.graph, job_name(i).s);
  g_assert_cmpuint(g_hash_table_size(f.graph->vertices), ==, 0);
  fixture_free(&f);
}

#define JOBS 60
#define NEEDS_MOST 4

/* What has truly happened, and what the graph knows of it. */
typedef struct {
  guint needs[JOBS][NEEDS_MOST];
  guint n_needs[JOBS];
  gboolean added[JOBS], removed[JOBS];
  gboolean done[JOBS], cancelled[JOBS]; /* as the graph knows, by record or terminal state */
} Model;

static gboolean
model_cancelled(const Model *m, guint job) {
  if (m->cancelled[job])
    return TRUE;
  for (guint i = 0; i < m->n_needs[job]; i++)
    if (model_cancelled(m, m->needs[job][i]))
      return TRUE;
  return FALSE;
}

static gboolean
model_ready(const Model *m, guint job) {
  for (guint i = 0; i < m->n_needs[job]; i++)
    if (!m->done[m->needs[job][i]])
      return FALSE;
  return TRUE;
}

static void
compare(const Fixture *f, const Model *m) {
  for (guint job = 0; job < JOBS; job++) {
    const MmVertex *vertex = mm_dependency_graph_find(f->graph, job_name(job).s);
    if (!m->added[job] || m->removed[job] || m->n_needs[job] == 0)
      continue;
    g_assert_nonnull(vertex);
    g_assert_cmpint(vertex->state == MM_VERTEX_CANCELLED, ==, model_cancelled(m, job));
    if (!model_cancelled(m, job))
      g_assert_cmpint(mm_vertex_dependencies_are_done(vertex), ==, model_ready(m, job));
  }
}

static void
random_event(Fixture *f, Model *m, GRand *rand, guint *next) {
  guint job = *next > 0 ? (guint)g_rand_int_range(rand, 0, (gint32)*next) : 0;
  MmName id = job_name(job);

  if (*next < JOBS && g_rand_boolean(rand)) {
    guint n = *next > 0 ? (guint)g_rand_int_range(rand, 0, NEEDS_MOST) : 0;
    for (guint i = 0; i < n; i++) {
      guint need = (guint)g_rand_int_range(rand, 0, (gint32)*next);
      gboolean gone = m->removed[need];
      /* What is over is named again only while the graph remembers it: the job table tells it. */
      if (!gone)
        m->needs[*next][m->n_needs[*next]++] = need;
    }
    /* The job table adds what a job needs before it, or with it. */
    for (guint i = 0; i < m->n_needs[*next]; i++)
      add(f, m->needs[*next][i], m->needs[m->needs[*next][i]], m->n_needs[m->needs[*next][i]]);
    add(f, *next, m->needs[*next], m->n_needs[*next]);
    for (guint i = 0; i < m->n_needs[*next]; i++) {
      if (m->done[m->needs[*next][i]])
        finish(f, m->needs[*next][i], FALSE, 1);
      else if (m->cancelled[m->needs[*next][i]])
        mm_dependency_graph_cancel_job(f->graph, job_name(m->needs[*next][i]).s, &f->change);
    }
    m->added[(*next)++] = TRUE;
  } else if (*next > 0 && m->added[job] && !m->removed[job]) {
    if (g_rand_int_range(rand, 0, 4) == 0 && !m->done[job]) {
      m->cancelled[job] = TRUE;
      mm_dependency_graph_cancel_job(f->graph, id.s, &f->change);
    } else if (!m->done[job] && !model_cancelled(m, job) && model_ready(m, job)) {
      m->done[job] = TRUE;
      finish(f, job, FALSE, 1);
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
  guint next = 0;

  for (guint step = 0; step < 400; step++) {
    forget_changes(&f);
    random_event(&f, &m, rand, &next);
    compare(&f, &m);
  }
  g_assert_cmpuint(next, ==, JOBS);
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
