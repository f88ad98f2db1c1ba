#include "config/operators.h"

#include <string.h>

static gboolean
parse(MmOperators *operators, const char *xml, GError **error) {
  *operators = mm_operators_defaults();
  return mm_operators_parse(operators, "ops.xml", xml, -1, error);
}

static void
test_settings_are_read(void) {
  g_autoptr(GError) error = NULL;
  MmOperators operators;

  g_assert_true(parse(&operators,
                      "<martenmount>\n <!-- why -->\n <claim-ttl-s>5</claim-ttl-s>\n"
                      " <candidates> 4 </candidates>\n</martenmount>",
                      &error));
  g_assert_cmpfloat(operators.lease_ttl_s, ==, 5);
  g_assert_cmpfloat(operators.candidates_per_request, ==, 4);
  g_assert_cmpfloat(operators.wait_bound_s, ==, mm_operators_defaults().wait_bound_s);
}

static void
test_errors_name_line_and_element(void) {
  const struct {
    const char *xml, *line, *expected_text;
  } cases[] = {
    { "<martenmount>\n<colour>3</colour>\n</martenmount>", "line 2", "colour" },
    { "<martenmount>\n\n<candidates>99</candidates></martenmount>", "line 3", "candidates" },
    { "<martenmount><candidates>two</candidates></martenmount>", "line 1", "candidates" },
    { "<martenmount><candidates></candidates></martenmount>", "line 1", "candidates" },
    { "<other/>", "line 1", "martenmount" },
    { "<martenmount>3</martenmount>", "line 1", "stray" },
    { "<martenmount>", "line 1", "" },
    { "<martenmount><groups>-1</groups></martenmount>", "line 1", "groups" },
    { "<martenmount><groups>513</groups></martenmount>", "line 1", "groups" },
    { "<martenmount><group-moves>0</group-moves></martenmount>", "line 1", "group-moves" },
    { "<martenmount><group-weight>1</group-weight></martenmount>", "line 1",
      "node attribute is missing" },
    { "<martenmount><group-weight node=\"a\">-1</group-weight></martenmount>", "line 1", "-1" },
    { "<martenmount><group-weight node=\"a\"></group-weight></martenmount>", "line 1", "no value" },
    { "<martenmount><group-weight node=\"a\">1</group-weight>\n"
      "<group-weight node=\"a\">2</group-weight></martenmount>",
      "line 2", "twice" },
    { "<martenmount><claim-ttl-s>1</claim-ttl-s></martenmount>", "", "claim-renew-s" },
  };

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(GError) error = NULL;
    MmOperators operators;
    g_assert_false(parse(&operators, cases[i].xml, &error));
    g_assert_nonnull(strstr(error->message, "ops.xml"));
    g_assert_nonnull(strstr(error->message, cases[i].line));
    g_assert_nonnull(strstr(error->message, cases[i].expected_text));
  }
}

/* Settings for nodes and groups must be consistent with the platform's settings. */
static void
test_node_names_are_checked_against_settings(void) {
  const struct {
    const char *xml, *expected_text;
  } cases[] = {
    { "<martenmount><group-weight node=\"nobody\">1</group-weight></martenmount>", "nobody" },
    { "<martenmount><group-weight node=\"node-0\">0</group-weight></martenmount>", "all nodes" },
    { "<martenmount><groups>2.5</groups></martenmount>", "whole number" },
  };
  g_autofree char *path = g_build_filename(g_getenv("MM_SOURCE_ROOT"), "docs", "sample.toml", NULL);
  g_autoptr(GError) ignored = NULL;
  g_autoptr(GError) error = NULL;
  g_autoptr(MmSettings) settings = mm_settings_read(path, &ignored);
  MmOperators operators;

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(GError) check_error = NULL;
    g_assert_true(parse(&operators, cases[i].xml, &check_error));
    g_assert_false(
        mm_operators_check_against_settings(&operators, settings, "ops.xml", &check_error));
    g_assert_nonnull(strstr(check_error->message, "ops.xml"));
    g_assert_nonnull(strstr(check_error->message, cases[i].expected_text));
  }
  g_assert_true(parse(&operators,
                      "<martenmount><groups>256</groups>"
                      "<group-weight node=\"node-0\">2.5</group-weight></martenmount>",
                      &error));
  g_assert_true(mm_operators_check_against_settings(&operators, settings, "ops.xml", &error));
  g_assert_cmpfloat(mm_operators_group_weight(&operators, "node-0"), ==, 2.5);
  g_assert_cmpfloat(mm_operators_group_weight(&operators, "node-9"), ==, 1);
}

/* docs/operators.md lists the unit, default, range and meaning of each setting as the program
 * defines them. */
static void
test_page_documents_each_setting(void) {
  g_autofree char *path
      = g_build_filename(g_getenv("MM_SOURCE_ROOT"), "docs", "operators.md", NULL);
  g_autofree char *page = NULL;

  g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
  for (const MmOperatorSetting *s = mm_operator_settings; s->name != NULL; s++) {
    g_autofree char *element = g_strdelimit(g_strdup(s->name), "_", '-');
    g_autofree char *row = g_strdup_printf("| `%s` | %s | %g | %g to %g | %s |", element, s->unit,
                                           s->default_value, s->min, s->max, s->meaning);
    if (strstr(page, row) == NULL)
      g_test_message("docs/operators.md lacks the row: %s", row);
    g_assert_nonnull(strstr(page, row));
  }
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/operators/settings-are-read", test_settings_are_read);
  g_test_add_func("/operators/errors-name-line-and-element", test_errors_name_line_and_element);
  g_test_add_func("/operators/node-names-are-checked-against-settings",
                  test_node_names_are_checked_against_settings);
  g_test_add_func("/operators/page-documents-each-setting", test_page_documents_each_setting);
  return g_test_run();
}
