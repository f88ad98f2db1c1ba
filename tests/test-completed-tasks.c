#include "jobs/completed-tasks.h"

static void
test_text_round_trips(void) {
  GRand *rand = g_rand_new_with_seed(3);

  for (guint round = 0; round < 100; round++) {
    guint size = (guint)g_rand_int_range(rand, 1, 400);
    MmCompletedTasks set, decoded;
    g_autofree char *text = NULL;
    mm_completed_tasks_init(&set, size);
    mm_completed_tasks_init(&decoded, size);
    for (guint i = 0; i < size; i++)
      if (g_rand_boolean(rand))
        mm_completed_tasks_add(&set, i);
    text = mm_completed_tasks_to_text(&set, 1 << 20);
    g_assert_true(mm_completed_tasks_add_text(&decoded, text));
    g_assert_cmpuint(decoded.n_completed, ==, set.n_completed);
    for (guint i = 0; i < size; i++)
      g_assert_cmpint(mm_completed_tasks_contains(&set, i), ==,
                      mm_completed_tasks_contains(&decoded, i));
    mm_completed_tasks_clear(&set);
    mm_completed_tasks_clear(&decoded);
  }
  g_rand_free(rand);
}

/* Tasks and ranges that are added in any order are joined where they meet. */
static void
test_ranges_are_joined(void) {
  GRand *rand = g_rand_new_with_seed(7);

  for (guint round = 0; round < 200; round++) {
    guint size = (guint)g_rand_int_range(rand, 1, 120);
    gboolean is_added[120] = { FALSE };
    MmCompletedTasks set;
    mm_completed_tasks_init(&set, size);
    for (guint i = 0; i < 40; i++) {
      guint first = (guint)g_rand_int_range(rand, 0, (gint32)size);
      guint length = (guint)g_rand_int_range(rand, 1, 7);
      guint last = MIN(first + length, size) - 1;
      g_autofree char *text = g_strdup_printf("%u-%u", first, last);
      guint n_added = 0, next = size;
      g_assert_true(mm_completed_tasks_add_text(&set, text));
      for (guint k = first; k <= last; k++)
        is_added[k] = TRUE;
      for (guint k = size; k > 0; k--) {
        n_added += is_added[k - 1];
        next = is_added[k - 1] ? k - 1 : next;
        g_assert_cmpint(mm_completed_tasks_contains(&set, k - 1), ==, is_added[k - 1]);
        g_assert_cmpuint(mm_completed_tasks_next(&set, k - 1), ==, next);
        if (is_added[k - 1])
          g_assert_cmpuint(mm_completed_tasks_end_of_range(&set, k - 1), >=, k - 1);
        if (is_added[k - 1] && k < size && !is_added[k])
          g_assert_cmpuint(mm_completed_tasks_end_of_range(&set, k - 1), ==, k - 1);
      }
      g_assert_cmpuint(set.n_completed, ==, n_added);
    }
    mm_completed_tasks_clear(&set);
  }
  g_rand_free(rand);
}

static void
test_runs_are_written_as_ranges(void) {
  MmCompletedTasks set;
  g_autofree char *text = NULL;

  mm_completed_tasks_init(&set, 100000);
  for (guint i = 0; i < 99999; i++)
    g_assert_true(mm_completed_tasks_add(&set, i));
  g_assert_false(mm_completed_tasks_add(&set, 5));
  g_assert_false(mm_completed_tasks_add(&set, 100000));
  text = mm_completed_tasks_to_text(&set, 4096);
  g_assert_cmpstr(text, ==, "0-99998");
  mm_completed_tasks_clear(&set);
}

/* When the text form of the completed tasks would exceed its maximum size, tasks are omitted from
 * the text, the shortest ranges first. The text never contains a task that is not completed. */
static void
test_too_long_text_leaves_tasks_out(void) {
  MmCompletedTasks set, decoded;
  g_autofree char *text = NULL;

  mm_completed_tasks_init(&set, 20000);
  mm_completed_tasks_init(&decoded, 20000);
  for (guint i = 0; i < 20000; i += 2)
    mm_completed_tasks_add(&set, i);
  for (guint i = 5000; i < 6000; i++)
    mm_completed_tasks_add(&set, i);
  text = mm_completed_tasks_to_text(&set, 1000);
  g_assert_cmpuint(strlen(text), <=, 1000);
  g_assert_true(mm_completed_tasks_add_text(&decoded, text));
  g_assert_true(mm_completed_tasks_contains(&decoded, 5500));
  for (guint i = 0; i < 20000; i++)
    g_assert_true(!mm_completed_tasks_contains(&decoded, i)
                  || mm_completed_tasks_contains(&set, i));
  mm_completed_tasks_clear(&set);
  mm_completed_tasks_clear(&decoded);
}

static void
test_malformed_text_is_refused(void) {
  const char *const malformed_texts[]
      = { "x", "1-", "3-2", "1,,2", "1,", "-1", "200", "1 2", "0-100" };
  MmCompletedTasks set;

  mm_completed_tasks_init(&set, 100);
  for (guint i = 0; i < G_N_ELEMENTS(malformed_texts); i++)
    g_assert_false(mm_completed_tasks_add_text(&set, malformed_texts[i]));
  g_assert_true(mm_completed_tasks_add_text(&set, NULL));
  g_assert_true(mm_completed_tasks_add_text(&set, ""));
  mm_completed_tasks_clear(&set);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/completed-tasks/text-round-trips", test_text_round_trips);
  g_test_add_func("/completed-tasks/ranges-are-joined", test_ranges_are_joined);
  g_test_add_func("/completed-tasks/runs-are-written-as-ranges", test_runs_are_written_as_ranges);
  g_test_add_func("/completed-tasks/too-long-text-leaves-tasks-out",
                  test_too_long_text_leaves_tasks_out);
  g_test_add_func("/completed-tasks/malformed-text-is-refused", test_malformed_text_is_refused);
  return g_test_run();
}
