#include "placement/modulo-priority.h"

/* The expected values are calculated by hand from equation 1 of the ScalScheduling paper, with
 * n = 6 workers, f = 12 tasks and m = 2 controllers, so that b = 2. */
static void
test_values_match_the_equation(void) {
  /* z = 1: x = 1, y = 1; worker 1: 2 * ((1 + 6 - 1) % 6) + (1 + 2 - 1) % 2 = 0 + 0 */
  g_assert_cmpint(mm_modulo_priority(1, 12, 1, 6, 2), ==, 0);
  /* worker 2: 2 * ((1 + 6 - 2) % 6) + (1 + 2 - 0) % 2 = 10 + 1 */
  g_assert_cmpint(mm_modulo_priority(1, 12, 2, 6, 2), ==, 11);
  /* z = 12: x = 2, y = 6; worker 5: 2 * ((6 + 6 - 5) % 6) + (2 + 2 - 1) % 2 = 2 + 1 */
  g_assert_cmpint(mm_modulo_priority(12, 12, 5, 6, 2), ==, 3);
  g_assert_cmpint(mm_modulo_priority(7, 12, 6, 6, 2), ==, 2 * ((1 + 6 - 6) % 6) + (2 + 2 - 0) % 2);
}

/* Workers that hold the same tasks request different ones first, as the paper's Figure 3 explains.
 * If every worker holds every task, no two of the n workers have the same first choice. */
static void
test_first_choices_differ(void) {
  enum { N = 6, F = 12, M = 2 };
  gboolean taken[F + 1] = { FALSE };

  for (guint i = 1; i <= N; i++) {
    guint best = 1;
    for (guint z = 2; z <= F; z++)
      if (mm_modulo_priority(z, F, i, N, M) > mm_modulo_priority(best, F, i, N, M))
        best = z;
    g_assert_false(taken[best]);
    taken[best] = TRUE;
  }
}

static void
test_order_has_no_ties(void) {
  GRand *rand = g_rand_new_with_seed(7);

  for (guint round = 0; round < 200; round++) {
    guint n = (guint)g_rand_int_range(rand, 1, 40), m = (guint)g_rand_int_range(rand, 1, 6);
    guint f = (guint)g_rand_int_range(rand, 1, 120), i = (guint)g_rand_int_range(rand, 1, 41);
    gint64 b = (f + n - 1) / n;
    g_autofree gboolean *seen = g_new0(gboolean, (gsize)(b * n));
    for (guint z = 1; z <= f; z++) {
      gint64 p = mm_modulo_priority(z, f, i, n, m);
      /* Priorities are never negative, although i % m can exceed x + b, and always distinct. */
      g_assert_cmpint(p, >=, 0);
      g_assert_cmpint(p, <, b * n);
      g_assert_false(seen[p]);
      seen[p] = TRUE;
    }
  }
  g_rand_free(rand);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/modulo-priority/values-match-the-equation", test_values_match_the_equation);
  g_test_add_func("/modulo-priority/first-choices-differ", test_first_choices_differ);
  g_test_add_func("/modulo-priority/order-has-no-ties", test_order_has_no_ties);
  return g_test_run();
}
