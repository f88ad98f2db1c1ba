#include "config/operators.h"

#include <math.h>
#include <string.h>

#include "config/config-error.h"

#define WEIGHT_ELEMENT "group-weight"
#define MAX_GROUP_WEIGHT 1000.0

#define SETTING(name, field, unit, fallback, minimum, maximum, meaning)                            \
  { name, unit, meaning, G_STRUCT_OFFSET(MmOperators, field), fallback, minimum, maximum }

/* The XML element of a setting has the setting's name with dashes in place of underscores.
 * tests/test-operators.c compares docs/operators.md with this table. */
const MmOperatorSetting mm_operator_settings[] = {
  SETTING("claim_ttl_s", lease_ttl_s, "s", 3, 0.5, 600,
          "how long a node's lease lasts without renewal"),
  SETTING("claim_renew_s", lease_renew_interval_s, "s", 0.7, 0.1, 300,
          "how often a node renews its lease"),
  SETTING("peer_ping_s", peer_ping_interval_s, "s", 0.5, 0.05, 60,
          "how often nodes ping each other"),
  SETTING("wait_bound_s", wait_bound_s, "s", 8, 0, 86400,
          "a task that waited longer has precedence on any fitting machine, cached image or not"),
  SETTING("ask_timeout_ms", start_request_timeout_ms, "ms", 400, 10, 3000,
          "how long a response to a worker waits for shard leaders"),
  SETTING("starts_per_answer", max_starts_per_response, "tasks", 8, 1, 1000,
          "most starts in one response to a worker"),
  SETTING("candidates", candidates_per_request, "tasks", 2, 1, 16,
          "candidates sent to a shard leader in one request"),
  SETTING("idle_return_s", idle_release_s, "s", 40, 1, 1e7,
          "a machine without tasks this long is released"),
  SETTING(
      "silent_release_s", silent_release_s, "s", 0, 0, 86400,
      "a machine silent this long is released; 0: when a heartbeat is overdue and status requests "
      "get no response"),
  SETTING("boot_patience", boot_timeout_factor, "times", 3, 1, 100,
          "a machine booting this many times the nominal boot time is released"),
  SETTING("preempt_after_s", preempt_after_s, "s", 0.1, 0, 86400,
          "how long urgent tasks wait for free resources before they may preempt"),
  SETTING("starve_s", starved_after_s, "s", 90, 1, 86400,
          "a job that waited longer with none of its tasks started has precedence over all others"),
  SETTING("rent", may_scale_out, "0 or 1", 1, 0, 1,
          "whether machines are requested when tasks are pending"),
  SETTING("groups", group_count, "groups", 0, 0, MM_GROUPS_MAX,
          "machine groups that are divided among the nodes, the same on all nodes; 0: none"),
  SETTING("group_hold_s", group_min_stay_s, "s", 30, 0, 86400,
          "a machine group that has moved stays where it is for this long"),
  SETTING("group_moves", max_group_moves, "moves", 4, 1, MM_GROUPS_MAX,
          "moves of machine groups under way at once"),
  { NULL },
};

typedef struct {
  MmOperators *operators;
  const MmOperatorSetting *open_setting; /* the setting whose element is being read, or NULL */
  MmNodeWeight *open_weight;             /* the node weight whose element is being read, or NULL */
  gboolean is_inside_root;
  gboolean has_value;
} ParseState;

MmOperators
mm_operators_defaults(void) {
  MmOperators operators;

  memset(&operators, 0, sizeof operators);
  for (const MmOperatorSetting *setting = mm_operator_settings; setting->name != NULL; setting++)
    G_STRUCT_MEMBER(double, &operators, setting->offset) = setting->default_value;
  return operators;
}

/* Handles the start of <group-weight node="NAME">. */
static void
start_weight_element(ParseState *parse, const char **attributes, const char **values,
                     GError **error) {
  MmOperators *operators = parse->operators;
  const char *node = NULL;

  for (guint i = 0; attributes[i] != NULL; i++)
    if (strcmp(attributes[i], "node") == 0)
      node = values[i];
  if (node == NULL || node[0] == '\0') {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "<" WEIGHT_ELEMENT ">: the node attribute is missing or empty");
    return;
  }
  for (guint i = 0; i < operators->n_group_weights; i++)
    if (strcmp(operators->group_weights[i].node.s, node) == 0) {
      g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                  "<" WEIGHT_ELEMENT ">: node %s is listed twice", node);
      return;
    }
  if (operators->n_group_weights == MM_NODE_WEIGHTS_MAX) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "<" WEIGHT_ELEMENT ">: occurs more than %d times", MM_NODE_WEIGHTS_MAX);
    return;
  }
  parse->open_weight = &operators->group_weights[operators->n_group_weights++];
  *parse->open_weight = (MmNodeWeight){ mm_name(node), 1 };
}

static void
start_element(GMarkupParseContext *context, const char *name, const char **attributes,
              const char **values, gpointer data, GError **error) {
  ParseState *parse = data;
  g_autofree char *field = g_strdelimit(g_strdup(name), "-", '_');

  if (!parse->is_inside_root) {
    if (strcmp(name, "martenmount") != 0)
      g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                  "the root element must be <martenmount>, not <%s>", name);
    parse->is_inside_root = TRUE;
    return;
  }
  if (parse->open_setting != NULL || parse->open_weight != NULL) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "<%s> is nested in another setting", name);
    return;
  }
  for (const MmOperatorSetting *setting = mm_operator_settings; setting->name != NULL; setting++)
    if (strcmp(field, setting->name) == 0)
      parse->open_setting = setting;
  parse->has_value = FALSE;
  if (strcmp(name, WEIGHT_ELEMENT) == 0)
    start_weight_element(parse, attributes, values, error);
  else if (parse->open_setting == NULL)
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID, "<%s>: unknown setting", name);
}

static void
end_element(GMarkupParseContext *context, const char *name, gpointer data, GError **error) {
  ParseState *parse = data;

  if ((parse->open_setting != NULL || parse->open_weight != NULL) && !parse->has_value)
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID, "<%s>: has no value", name);
  parse->open_setting = NULL;
  parse->open_weight = NULL;
}

/* Parses a finite number. Returns FALSE if `text` is not a finite number, or if the number is less
 * than `min` or greater than `max`. */
static gboolean
read_number(const char *text, double min, double max, double *number) {
  char *end = NULL;

  *number = g_ascii_strtod(text, &end);
  return *end == '\0' && isfinite(*number) && *number >= min && *number <= max;
}

static void
element_text(GMarkupParseContext *context, const char *text, gsize length, gpointer data,
             GError **error) {
  ParseState *parse = data;
  g_autofree char *value = g_strstrip(g_strndup(text, length));
  const char *unit
      = parse->open_setting != NULL ? parse->open_setting->unit : "times the share of others";
  double min = parse->open_setting != NULL ? parse->open_setting->min : 0;
  double max = parse->open_setting != NULL ? parse->open_setting->max : MAX_GROUP_WEIGHT;
  double number;

  if (value[0] == '\0')
    return;
  if (parse->open_setting == NULL && parse->open_weight == NULL) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID, "stray text \"%s\"", value);
    return;
  }
  if (!read_number(value, min, max, &number)) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "<%s>: \"%s\" must be a number from %g to %g (%s)",
                g_markup_parse_context_get_element(context), value, min, max, unit);
    return;
  }
  if (parse->open_weight != NULL)
    parse->open_weight->weight = number;
  else
    G_STRUCT_MEMBER(double, parse->operators, parse->open_setting->offset) = number;
  parse->has_value = TRUE;
}

/* Reads the document into `operators`. Error messages give the file and the line. */
static gboolean
parse_document(MmOperators *operators, const char *path, const char *xml, gssize length,
               GError **error) {
  static const GMarkupParser parser
      = { .start_element = start_element, .end_element = end_element, .text = element_text };
  ParseState parse = { .operators = operators };
  g_autoptr(GMarkupParseContext) context = g_markup_parse_context_new(&parser, 0, &parse, NULL);
  g_autoptr(GError) parse_error = NULL;
  int line = 0;

  if (g_markup_parse_context_parse(context, xml, length, &parse_error)
      && g_markup_parse_context_end_parse(context, &parse_error))
    return TRUE;
  g_markup_parse_context_get_position(context, &line, NULL);
  g_set_error(error, MM_CONFIG_ERROR,
              parse_error->domain == MM_CONFIG_ERROR ? parse_error->code : MM_CONFIG_ERROR_SYNTAX,
              "%s: line %d: %s", path, line, parse_error->message);
  return FALSE;
}

gboolean
mm_operators_parse(MmOperators *operators, const char *path, const char *xml, gssize length,
                   GError **error) {
  if (!parse_document(operators, path, xml, length, error))
    return FALSE;
  if (operators->lease_renew_interval_s * 2 > operators->lease_ttl_s) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "%s: <claim-renew-s>: must be at most half of <claim-ttl-s>", path);
    return FALSE;
  }
  return TRUE;
}

gboolean
mm_operators_read(MmOperators *operators, const char *path, GError **error) {
  g_autofree char *xml = NULL;
  g_autoptr(GError) read_error = NULL;
  gsize length;

  if (!g_file_get_contents(path, &xml, &length, &read_error)) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_UNREADABLE, "%s: %s", path,
                read_error->message);
    return FALSE;
  }
  return mm_operators_parse(operators, path, xml, (gssize)length, error);
}

gboolean
mm_operators_check_against_settings(const MmOperators *operators, const MmSettings *settings,
                                    const char *path, GError **error) {
  double total_weight = mm_operators_group_weight(operators, settings->label.s);

  if (operators->group_count != floor(operators->group_count)) {
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "%s: <groups>: must be a whole number", path);
    return FALSE;
  }
  for (guint i = 0; i < operators->n_group_weights; i++)
    if (!mm_settings_has_node(settings, operators->group_weights[i].node.s)) {
      g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                  "%s: <" WEIGHT_ELEMENT ">: %s is not a node listed in the settings", path,
                  operators->group_weights[i].node.s);
      return FALSE;
    }
  for (guint i = 0; i < settings->peers->len; i++)
    total_weight += mm_operators_group_weight(
        operators, g_array_index(settings->peers, MmPeerSettings, i).label.s);
  if (total_weight <= 0)
    g_set_error(error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID,
                "%s: <" WEIGHT_ELEMENT ">: is 0 for all nodes", path);
  return total_weight > 0;
}

double
mm_operators_group_weight(const MmOperators *operators, const char *node) {
  for (guint i = 0; i < operators->n_group_weights; i++)
    if (strcmp(operators->group_weights[i].node.s, node) == 0)
      return operators->group_weights[i].weight;
  return 1;
}
