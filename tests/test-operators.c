#include "config/operators.h"

#include <string.h>

static gboolean
parse(MmOperators *operators, const char *xml, char **reason) {
  *operators = mm_operators_defaults();
  return mm_operators_parse(operators, "ops.xml", xml, -1, reason);
}

static void
test_good(void) {
  g_autofree char *reason = NULL;
  MmOperators operators;

  g_assert_true(parse(&operators,
                      "<martenmount>\n <!-- why -->\n <claim-ttl-s>5</claim-ttl-s>\n"
                      " <candidates> 4 </candidates>\n</martenmount>",
                      &reason));
  g_assert_cmpfloat(operators.claim_ttl_s, ==, 5);
  g_assert_cmpfloat(operators.candidates, ==, 4);
  g_assert_cmpfloat(operators.wait_bound_s, ==, mm_operators_defaults().wait_bound_s);
}

static void
test_faults(void) {
  const struct {
    const char *xml, *line, *about;
  } faults[] = {
    { "<martenmount>\n<colour>3</colour>\n</martenmount>", "line 2", "colour" },
    { "<martenmount>\n\n<candidates>99</candidates></martenmount>", "line 3", "candidates" },
    { "<martenmount><candidates>two</candidates></martenmount>", "line 1", "candidates" },
    { "<martenmount><candidates></candidates></martenmount>", "line 1", "candidates" },
    { "<other/>", "line 1", "martenmount" },
    { "<martenmount>3</martenmount>", "line 1", "stray" },
    { "<martenmount>", "line 1", "" },
    { "<martenmount><claim-ttl-s>1</claim-ttl-s></martenmount>", "", "claim-renew-s" },
  };

  for (guint i = 0; i < G_N_ELEMENTS(faults); i++) {
    g_autofree char *reason = NULL;
    MmOperators operators;
    g_assert_false(parse(&operators, faults[i].xml, &reason));
    g_assert_nonnull(strstr(reason, "ops.xml"));
    g_assert_nonnull(strstr(reason, faults[i].line));
    g_assert_nonnull(strstr(reason, faults[i].about));
  }
}

/* docs/operators.md says of each setting what the program does. */
static void
test_documented(void) {
  g_autofree char *path
      = g_build_filename(g_getenv("MM_SOURCE_ROOT"), "docs", "operators.md", NULL);
  g_autofree char *page = NULL;

  g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
  for (const MmOperatorSetting *s = mm_operator_settings; s->name != NULL; s++) {
    g_autofree char *element = g_strdelimit(g_strdup(s->name), "_", '-');
    g_autofree char *row = g_strdup_printf("| `%s` | %s | %g | %g to %g | %s |", element, s->unit,
                                           s->fallback, s->least, s->most, s->meaning);
    if (strstr(page, row) == NULL)
      g_test_message("docs/operators.md lacks: %s", row);
    g_assert_nonnull(strstr(page, row));
  }
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/operators/good", test_good);
  g_test_add_func("/operators/faults", test_faults);
  g_test_add_func("/operators/documented", test_documented);
  return g_test_run();
}
