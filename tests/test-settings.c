#include <glib/gstdio.h>

#include "config/settings.h"
#include "sample-settings.h"

static char *directory;

static MmSettings *
read_text(const char *text, GError **error) {
  g_autofree char *path = g_build_filename(directory, "settings.toml", NULL);

  g_assert_true(g_file_set_contents(path, text, -1, NULL));
  return mm_settings_read(path, error);
}

static void
test_settings_are_read(void) {
  g_autoptr(GError) error = NULL;
  g_autoptr(MmSettings) settings = read_text(sample_settings, &error);
  MmName red = mm_name("red");

  g_assert_nonnull(settings);
  g_assert_cmpuint(settings->peers->len, ==, 1);
  g_assert_cmpuint(settings->kv_max_value_bytes, ==, 4096);
  g_assert_cmpfloat(mm_settings_team(settings, &red)->limit.cores, ==, 8);
  g_assert_cmpfloat(settings->worker_lease_s, ==, 10);
}

/* Guards against a negative whole number that is read as one near 2^64. */
static void
test_negative_whole_numbers_keep_their_sign(void) {
  const char *field = "within_s = 2.0";
  const char *at = strstr(sample_settings, field);
  g_autofree char *text = g_strdup_printf("%.*swithin_s = -1%s", (int)(at - sample_settings),
                                          sample_settings, at + strlen(field));
  g_autoptr(GError) error = NULL;
  g_autoptr(MmSettings) settings = read_text(text, &error);

  g_assert_nonnull(settings);
  g_assert_cmpfloat(g_array_index(settings->objectives, MmObjective, 0).within_s, ==, -1);
}

/* An error message is a single line that names the file, the field and the mistake. */
static void
test_errors_name_file_and_field(void) {
  const struct {
    const char *from, *to, *field;
  } mistakes[] = {
    { "label = \"n-0\"", "", "label" },
    { "front = \"127.0.0.1:8080\"", "front = \"here\"", "front" },
    { "front = \"127.0.0.1:8080\"", "front = 8080", "front" },
    { "lease_s = 10.0", "lease_s = 0.5", "settings.workers.lease_s" },
    { "lease_s = 10.0", "lease_s = -1", "settings.workers.lease_s" },
    { "lease_s = 10.0", "lease_s = \"ten\"", "settings.workers.lease_s" },
    { "lease_s = 10.0", "lease_s = inf", "settings.workers.lease_s" },
    { "cpus = 4.0", "cpus = 40.0", "settings.teams.cpus" },
    { "count = 2", "count = 0", "settings.count" },
    { "[settings.state]\n", "[settings.other]\n", "settings.state" },
    { "label = \"n-1\"", "label = \"n-0\"", "others.label" },
    { "max_sockets = 500", "max_sockets = 2", "settings.resources.max_sockets" },
  };

  for (guint i = 0; i < G_N_ELEMENTS(mistakes); i++) {
    const char *at = strstr(sample_settings, mistakes[i].from);
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    g_assert_nonnull(at);
    text = g_strdup_printf("%.*s%s%s", (int)(at - sample_settings), sample_settings, mistakes[i].to,
                           at + strlen(mistakes[i].from));
    g_assert_null(read_text(text, &error));
    g_assert_nonnull(strstr(error->message, "settings.toml"));
    g_assert_nonnull(strstr(error->message, mistakes[i].field));
    g_assert_null(strchr(error->message, '\n'));
  }
}

static MmSettings *
read_with_next(const char *next, GError **error) {
  const char *at = strstr(sample_settings, "[settings.cloud]");
  g_autofree char *text
      = g_strdup_printf("%.*s%s\n%s", (int)(at - sample_settings), sample_settings, next, at);

  return read_text(text, error);
}

/* When the settings are read, each limit is set to the smaller of its current value and its
 * announced next value. */
static void
test_smaller_of_announced_limits_holds(void) {
  const struct {
    const char *next;
    double write_rps;
    guint value_bytes, txn_ops;
  } valid[] = {
    { "", 20, 4096, 12 },
    { "[settings.state.next]", 20, 4096, 12 },
    { "[settings.state.next]\nvalue_kb = 2.0", 20, 2048, 12 },
    { "[settings.state.next]\ntxn_ops = 4\nnot_known_yet = \"x\"", 20, 4096, 4 },
    { "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0", 15, 2048, 4 },
    { "[settings.state.next]\nvalue_kb = 64.0\ntxn_ops = 40\nwrite_rps = 500.0", 20, 4096, 12 },
  };
  const struct {
    const char *next, *field;
  } invalid[] = {
    { "[settings.state.next]\nvalue_kb = 0.0", "settings.state.next.value_kb" },
    { "[settings.state.next]\nwrite_rps = -15.0", "settings.state.next.write_rps" },
    { "[settings.state.next]\ntxn_ops = \"four\"", "settings.state.next.txn_ops" },
    { "next = 4", "settings.state.next" },
  };

  for (guint i = 0; i < G_N_ELEMENTS(valid); i++) {
    g_autoptr(GError) error = NULL;
    g_autoptr(MmSettings) settings = read_with_next(valid[i].next, &error);
    g_assert_no_error(error);
    g_assert_cmpfloat(settings->kv_writes_per_s, ==, valid[i].write_rps);
    g_assert_cmpuint(settings->kv_max_value_bytes, ==, valid[i].value_bytes);
    g_assert_cmpuint(settings->kv_max_operations, ==, valid[i].txn_ops);
  }
  for (guint i = 0; i < G_N_ELEMENTS(invalid); i++) {
    g_autoptr(GError) error = NULL;
    g_assert_null(read_with_next(invalid[i].next, &error));
    g_assert_nonnull(strstr(error->message, invalid[i].field));
    g_assert_null(strchr(error->message, '\n'));
  }
}

/* Sets of peers are stored as bit masks, which bounds the number of peers. */
static void
test_too_many_peers_are_refused(void) {
  g_autoptr(GString) text = g_string_new(sample_settings);
  g_autoptr(GError) error = NULL;

  for (guint i = 0; i < MM_PEERS_MAX; i++)
    g_string_append_printf(
        text, "\n[[others]]\nlabel = \"x-%u\"\nzone = \"a\"\nendpoint = \"127.0.0.1:9\"\n", i);
  g_assert_null(read_text(text->str, &error));
  g_assert_nonnull(strstr(error->message, "others: must not have more than 31 entries"));
}

static void
test_unreadable_file_is_an_error(void) {
  g_autoptr(GError) error = NULL;
  g_autoptr(GError) syntax_error = NULL;

  g_assert_null(mm_settings_read("/nonexistent/settings.toml", &error));
  g_assert_nonnull(strstr(error->message, "/nonexistent/settings.toml"));
  g_assert_null(read_text("label = \n", &syntax_error));
  g_assert_nonnull(strstr(syntax_error->message, "line 1"));
}

int
main(int argc, char **argv) {
  int result;

  g_test_init(&argc, &argv, NULL);
  directory = g_dir_make_tmp("mm-test-XXXXXX", NULL);
  g_test_add_func("/settings/negative-whole-numbers-keep-their-sign",
                  test_negative_whole_numbers_keep_their_sign);
  g_test_add_func("/settings/settings-are-read", test_settings_are_read);
  g_test_add_func("/settings/errors-name-file-and-field", test_errors_name_file_and_field);
  g_test_add_func("/settings/smaller-of-announced-limits-holds",
                  test_smaller_of_announced_limits_holds);
  g_test_add_func("/settings/too-many-peers-are-refused", test_too_many_peers_are_refused);
  g_test_add_func("/settings/unreadable-file-is-an-error", test_unreadable_file_is_an_error);
  result = g_test_run();
  {
    g_autofree char *path = g_build_filename(directory, "settings.toml", NULL);
    g_unlink(path);
    g_rmdir(directory);
    g_free(directory);
  }
  return result;
}
