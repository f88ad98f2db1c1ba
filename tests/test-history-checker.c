/* Tests that the history checker reports each kind of violation, and no violation in a correct
 * history. */
#include "checker.h"

#include <string.h>

#define SECOND ((gint64)G_USEC_PER_SEC)

static const HistoryRules rules = { 25 };

/* Parses a text with one event per line: time in seconds, kind and the arguments of the kind.
 * Returns an array of HistoryEvent. Free with g_array_unref().
 *   accepted JOB TASKS | done JOB | cancelled JOB
 *   start JOB TASK MACHINE CORES | end JOB TASK MACHINE yes/no | refused JOB TASK MACHINE 0
 * Machines have 4 cores. */
static GArray *
parse_history(const char *text) {
  static const char *const kinds[] = { "accepted", "done", "cancelled", "start", "end", "refused" };
  GArray *events = g_array_new(FALSE, FALSE, sizeof(HistoryEvent));
  g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

  for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
    g_auto(GStrv) words = g_strsplit(lines[i], " ", -1);
    guint n = g_strv_length(words);
    HistoryEvent event
        = { .time_us = (gint64)(g_ascii_strtod(words[0], NULL) * (double)SECOND), .capacity = 4 };

    for (guint k = 0; k < G_N_ELEMENTS(kinds); k++)
      if (strcmp(words[1], kinds[k]) == 0)
        event.kind = (HistoryKind)k;
    g_strlcpy(event.job, words[2], sizeof event.job);
    if (event.kind == HISTORY_ACCEPTED)
      event.tasks = (guint)g_ascii_strtoull(words[3], NULL, 10);
    if (n > 4) {
      event.task = (guint)g_ascii_strtoull(words[3], NULL, 10);
      g_strlcpy(event.machine, words[4], sizeof event.machine);
      event.cores = event.kind == HISTORY_START ? g_ascii_strtod(words[5], NULL) : 0;
      event.completed = event.kind == HISTORY_END && strcmp(words[5], "yes") == 0;
    }
    g_array_append_val(events, event);
  }
  return events;
}

/* Checks that the history in `text` has exactly one violation and that the description of the
 * violation contains `expected`. If `expected` is NULL, checks that the history has no
 * violation. */
static void
check_history(const char *text, const char *expected) {
  g_autoptr(GArray) events = parse_history(text);
  g_autoptr(GPtrArray) violations = history_check(events, &rules);

  for (guint i = 0; i < violations->len; i++)
    g_test_message("%s", (char *)g_ptr_array_index(violations, i));
  if (expected == NULL) {
    g_assert_cmpuint(violations->len, ==, 0);
    return;
  }
  g_assert_cmpuint(violations->len, ==, 1);
  g_assert_nonnull(strstr(g_ptr_array_index(violations, 0), expected));
}

static void
test_correct_histories_pass(void) {
  check_history(
      "1 accepted a 2\n2 start a 0 m1 2\n2 start a 1 m1 2\n3 end a 0 m1 yes\n4 end a 1 m1 yes\n"
      "5 done a\n",
      NULL);
  /* A task is stopped or lost and runs again on another machine. A finished task is started again,
   * and the machine reports the kept result a second time. */
  check_history(
      "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m1 no\n4 start a 0 m2 2\n5 end a 0 m2 yes\n"
      "6 start a 0 m2 2\n6 end a 0 m2 yes\n7 done a\n",
      NULL);
  /* A job is cancelled while a start is in flight. */
  check_history("1 accepted a 1\n2 cancelled a\n5 start a 0 m1 2\n9 end a 0 m1 no\n", NULL);
  /* A service runs until it is cancelled. */
  check_history("1 accepted s 0\n2 start s 0 m1 2\n50 cancelled s\n51 end s 0 m1 no\n", NULL);
}

static void
test_wrong_histories_are_found(void) {
  const struct {
    const char *text, *expected;
  } histories[] = {
    { "1 accepted a 1\n2 start a 0 m1 2\n3 start a 0 m2 2\n4 end a 0 m2 yes\n5 done a\n",
      "while it is running on m1" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m1 yes\n4 start a 0 m1 2\n5 end a 0 m1 yes\n"
      "6 done a\n",
      "ran again after it had completed" },
    { "1 accepted a 2\n2 start a 0 m1 2\n3 end a 0 m1 yes\n4 accepted b 0\n5 cancelled b\n",
      "was lost: 1 of 2" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m1 yes\n", "its user was not told" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 done a\n4 end a 0 m1 yes\n",
      "reported as done with 0 of 1" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m1 yes\n4 cancelled a\n5 done a\n",
      "done after it was reported as cancelled" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m1 yes\n4 done a\n5 cancelled a\n",
      "cancelled after it was reported as done" },
    { "1 accepted a 1\n2 cancelled a\n9 start a 0 m1 2\n10 end a 0 m1 no\n",
      "after its job's cancellation" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 cancelled a\n29 accepted b 0\n30 cancelled b\n",
      "too long after its cancellation" },
    { "1 start a 0 m1 2\n2 end a 0 m1 yes\n", "never accepted" },
    { "1 accepted a 1\n2 start a 0 m1 2\n3 end a 0 m2 yes\n4 cancelled a\n",
      "where it was not running" },
    { "1 accepted a 2\n2 start a 0 m1 3\n3 start a 1 m1 3\n4 end a 0 m1 yes\n5 end a 1 m1 yes\n"
      "6 done a\n",
      "its tasks use 6" },
    { "1 accepted a 0\n2 refused a 0 m1 0\n3 cancelled a\n", "without resources" },
  };

  for (guint i = 0; i < G_N_ELEMENTS(histories); i++)
    check_history(histories[i].text, histories[i].expected);
}

static void
test_events_round_trip_as_lines(void) {
  g_autoptr(GArray) events
      = parse_history("1.5 accepted a 2\n2 start a 1 m1 2.5\n3 end a 1 m1 yes\n"
                      "4 refused a 0 m2 0\n5 done a\n6 cancelled a\n");
  HistoryEvent again;

  for (guint i = 0; i < events->len; i++) {
    g_autofree char *line = history_event_to_line(&g_array_index(events, HistoryEvent, i));
    g_autofree char *second = NULL;
    g_assert_true(history_event_from_line(&again, line));
    second = history_event_to_line(&again);
    g_assert_cmpstr(line, ==, second);
    g_assert_cmpint(again.kind, ==, g_array_index(events, HistoryEvent, i).kind);
  }
  g_assert_false(history_event_from_line(&again, "{}"));
  g_assert_false(history_event_from_line(&again, "nothing"));
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/history-checker/correct-histories-pass", test_correct_histories_pass);
  g_test_add_func("/history-checker/wrong-histories-are-found", test_wrong_histories_are_found);
  g_test_add_func("/history-checker/events-round-trip-as-lines", test_events_round_trip_as_lines);
  return g_test_run();
}
