#include "json-texts.h"

#include <string.h>

#define UNKNOWN_FIELDS_MAX 6
#define ITEMS_MAX 4
#define DIGITS_MAX 60
#define DEPTH_MAX 6
/* One in so many values is a long chain of brackets. */
#define BRACKETS_ODDS 50

static guint
below(GRand *random, guint end) {
  return (guint)g_rand_int_range(random, 0, (gint32)end);
}

static void
add_white_space(GRand *random, GString *text) {
  static const char characters[] = " \t\r\n";

  while (below(random, 4) == 0)
    g_string_append_c(text, characters[below(random, 4)]);
}

static void
add_digits(GRand *random, GString *text) {
  guint n = 1 + below(random, below(random, 4) == 0 ? DIGITS_MAX : 3);

  while (n-- > 0)
    g_string_append_c(text, (char)('0' + below(random, 10)));
}

static void
add_number(GRand *random, GString *text) {
  static const char *const edges[] = { "9223372036854775807",
                                       "9223372036854775808",
                                       "18446744073709551615",
                                       "18446744073709551616",
                                       "-9223372036854775809",
                                       "1e308",
                                       "1e309",
                                       "1.7976931348623159e308",
                                       "5e-324" };

  if (below(random, 6) == 0) {
    g_string_append(text, edges[below(random, G_N_ELEMENTS(edges))]);
    return;
  }
  if (below(random, 3) == 0)
    g_string_append_c(text, '-');
  if (below(random, 4) == 0) {
    g_string_append_c(text, '0');
  } else {
    g_string_append_c(text, (char)('1' + below(random, 9)));
    add_digits(random, text);
  }
  if (below(random, 3) == 0) {
    g_string_append_c(text, '.');
    add_digits(random, text);
  }
  if (below(random, 3) == 0) {
    static const char *const exponents[] = { "e", "E", "e+", "E-" };
    g_string_append(text, exponents[below(random, 4)]);
    add_digits(random, text);
  }
}

static void
add_string(GRand *random, GString *text) {
  static const char *const pieces[] = { "\\\"",
                                        "\\\\",
                                        "\\/",
                                        "\\b",
                                        "\\f",
                                        "\\n",
                                        "\\r",
                                        "\\t",
                                        "größe",
                                        "✓",
                                        " ",
                                        "}",
                                        "\xf4\x8f\xbf\xbf",
                                        "x" };

  g_string_append_c(text, '"');
  for (guint n = below(random, 8); n > 0; n--) {
    if (below(random, 3) == 0)
      g_string_append_printf(text, "\\u%04x", below(random, 0x10000));
    else if (below(random, 6) == 0)
      g_string_append_printf(text, "\\u%04X", 0xd800 + below(random, 0x800));
    else
      g_string_append(text, pieces[below(random, G_N_ELEMENTS(pieces))]);
  }
  g_string_append_c(text, '"');
}

static void add_value(GRand *random, GString *text, guint depth);

static void
add_container(GRand *random, GString *text, guint depth, gboolean is_object) {
  g_string_append_c(text, is_object ? '{' : '[');
  add_white_space(random, text);
  for (guint i = 0, n = below(random, ITEMS_MAX); i < n; i++) {
    if (i > 0)
      g_string_append_c(text, ',');
    add_white_space(random, text);
    if (is_object) {
      add_string(random, text);
      add_white_space(random, text);
      g_string_append_c(text, ':');
    }
    add_value(random, text, depth + 1);
  }
  g_string_append_c(text, is_object ? '}' : ']');
}

static void
add_brackets(GRand *random, GString *text) {
  guint depth = 1 + below(random, 3000);
  g_autofree char *opening = g_strnfill(depth, '[');
  g_autofree char *closing = g_strnfill(depth, ']');

  g_string_append(text, opening);
  g_string_append(text, closing);
}

static void
add_value(GRand *random, GString *text, guint depth) {
  static const char *const words[] = { "null", "true", "false" };
  guint kind = below(random, depth < DEPTH_MAX ? 6 : 4);

  add_white_space(random, text);
  if (below(random, BRACKETS_ODDS) == 0)
    add_brackets(random, text);
  else if (kind == 0)
    g_string_append(text, words[below(random, 3)]);
  else if (kind <= 2)
    add_number(random, text);
  else if (kind == 3)
    add_string(random, text);
  else
    add_container(random, text, depth, kind == 4);
  add_white_space(random, text);
}

/* Adds the text of a string, with some of its characters as escapes. */
static void
add_spelled_string(GRand *random, GString *text, const char *characters) {
  for (; *characters != '\0'; characters++) {
    if (g_ascii_isalnum(*characters) && below(random, 8) == 0)
      g_string_append_printf(text, below(random, 2) == 0 ? "\\u%04x" : "\\u%04X",
                             (guint)*characters);
    else
      g_string_append_c(text, *characters);
  }
}

/* Adds a whole number below 10^9 or a decimal number in a random spelling. */
static void
add_spelled_number(GRand *random, GString *text, const char *number) {
  gboolean is_whole = strpbrk(number, ".eE") == NULL;

  switch (below(random, 4)) {
  case 0:
    g_string_append_printf(text, "%s%se0", number, is_whole ? ".0" : "0");
    break;
  case 1:
    g_string_append_printf(text, "%s%sE+00", number, is_whole ? "" : "00");
    break;
  case 2:
    if (is_whole && number[0] != '0') {
      g_string_append_printf(text, "%s000e-3", number);
      break;
    }
    G_GNUC_FALLTHROUGH;
  default:
    g_string_append(text, number);
  }
}

static void
add_field(GRand *random, GString *text, const JsonTextField *field) {
  g_string_append_c(text, '"');
  add_spelled_string(random, text, field->name);
  g_string_append_c(text, '"');
  add_white_space(random, text);
  g_string_append_c(text, ':');
  add_white_space(random, text);
  if (g_ascii_isdigit(field->value[0]))
    add_spelled_number(random, text, field->value);
  else if (field->value[0] == '"')
    add_spelled_string(random, text, field->value);
  else
    g_string_append(text, field->value);
  add_white_space(random, text);
}

static void
add_unknown_fields(GRand *random, GString *text, gsize max_bytes) {
  for (guint n = below(random, UNKNOWN_FIELDS_MAX); n > 0; n--) {
    gsize length = text->len;
    g_string_append_printf(text, "\"x_%u\":", below(random, 3));
    add_value(random, text, 0);
    g_string_append_c(text, ',');
    if (text->len > max_bytes)
      g_string_truncate(text, length);
  }
}

char *
json_texts_object(GRand *random, const JsonTextField *fields, guint n_fields, gsize max_bytes) {
  GString *text = g_string_new(NULL);
  g_autofree guint *order = g_new(guint, n_fields + 1);

  for (guint i = 0; i < n_fields; i++) {
    guint other = below(random, i + 1);
    order[i] = order[other];
    order[other] = i;
  }
  add_white_space(random, text);
  g_string_append_c(text, '{');
  add_white_space(random, text);
  for (guint i = 0; i < n_fields; i++) {
    if (below(random, 4) == 0)
      add_unknown_fields(random, text, max_bytes);
    add_white_space(random, text);
    /* The last member of a name counts, so one before it may have any value. */
    if (below(random, 12) == 0) {
      g_string_append_printf(text, "\"%s\":", fields[order[i]].name);
      add_value(random, text, 0);
      g_string_append_c(text, ',');
    }
    add_field(random, text, &fields[order[i]]);
    g_string_append_c(text, ',');
  }
  g_string_append(text, "\"x_last\":");
  add_value(random, text, DEPTH_MAX);
  g_string_append_c(text, '}');
  add_white_space(random, text);
  return g_string_free(text, FALSE);
}
