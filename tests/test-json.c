/* Tests of reading and writing JSON text (RFC 8259), the one place through which messages come in.
 */
#include <math.h>

#include "base/json.h"

#define BODY_MAX_BYTES (64 * 1024)

static MmJson *
parse(const char *text) {
  return mm_json_parse(text, strlen(text), NULL);
}

/* Each text is one that the grammar of RFC 8259 allows. */
static void
test_grammar_is_taken(void) {
  static const char *const texts[] = {
    "null", "true", " \t\r\n false \n", "\"\"", "[]", "{}", "[[],{},[{}]]", "{\"\":{\"\":\"\"}}",
    /* numbers of any size, sign and exponent */
    "0", "-0", "-0.0", "18446744073709551615", "18446744073709551616", "-9223372036854775809",
    "99999999999999999999999999999999999999", "1e999", "-1E+999", "1e-999",
    "0e99999999999999999999", "1e99999999999999999999999", "1e-99999999999999999999999", "1E5",
    "1e+05", "0.1e-0", "123456789012345678901234567890.123456789012345678901234567890e-123456789",
    /* escapes */
    "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"", "\"\\u0000\"", "\"\\uD83D\\uDE00\"", "\"\\ud800\"",
    "\"\\udc00\"", "\"\\ud800x\"", "\"\\ud800\\\\u12\"", "\"\\udc00\\ud800\"", "\"\\ud800\\ud800\"",
    "{\"\\ud800\":1,\"\\u0000\":2}", "\"\\uFFFF\"", "\"\x7f\"", "\"\xf4\x8f\xbf\xbf\"",
    /* repeated names */
    "{\"a\":1,\"a\":2,\"a\":null}"
  };

  for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
    g_autoptr(MmJson) json = parse(texts[i]);
    g_test_message("%s", texts[i]);
    g_assert_nonnull(json);
  }
}

static void
test_malformed_text_is_refused_with_its_position(void) {
  static const struct {
    const char *text;
    gsize position;
  } cases[] = {
    { "", 0 },
    { " ", 1 },
    { "[1,]", 4 },
    { "{\"a\":1,}", 8 },
    { "[1", 2 },
    { "01", 2 },
    { "1.", 2 },
    { "[.5]", 1 },
    { "+1", 0 },
    { "1e", 2 },
    { "[-]", 2 },
    { "nul", 3 },
    { "[nullx]", 6 },
    { "NaN", 0 },
    { "[1 2]", 4 },
    { "[1]]", 4 },
    { "{1:2}", 2 },
    { "{\"a\" 1}", 6 },
    { "\"\x01\"", 1 },
    { "[\"a\n\"]", 4 },
    { "\f[]", 0 },
    { "[]\v", 2 },
    { "/**/[]", 0 },
    { "\"\\x\"", 3 },
    { "\"\\u12\"", 6 },
    { "'a'", 0 },
    { "\"a", 2 },
    { "\xef\xbb\xbf[]", 0 },
    { "\"\xff\"", 1 },
    { "\"\xc0\x80\"", 1 },
    { "\"\xed\xa0\x80\"", 1 },
    { "[1]\\", 4 },
  };

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    MmJsonError error = { 0 };
    g_test_message("%s", cases[i].text);
    g_assert_null(mm_json_parse(cases[i].text, strlen(cases[i].text), &error));
    g_assert_nonnull(error.reason);
    /* The position is that of the malformed token or of its end. */
    g_assert_cmpuint(error.position, <=, strlen(cases[i].text));
    g_assert_cmpuint(error.position, <=, cases[i].position + 1);
    g_assert_cmpuint(error.position + 1, >=, cases[i].position);
  }
}

/* A whole number has the same value in each spelling; what is not whole or out of range is none. */
static void
test_counts_are_exact_in_each_spelling(void) {
  static const struct {
    const char *text;
    gboolean is_count;
    guint64 count;
  } cases[] = {
    { "16", TRUE, 16 },
    { "16.0", TRUE, 16 },
    { "1.6e1", TRUE, 16 },
    { "160E-1", TRUE, 16 },
    { "0.00016e+5", TRUE, 16 },
    { "1600000000000000000000000000000e-29", TRUE, 16 },
    { "-0", TRUE, 0 },
    { "0.000e99999999999999999999", TRUE, 0 },
    { "100.000", TRUE, 100 },
    { "1e19", TRUE, G_GUINT64_CONSTANT(10000000000000000000) },
    { "9007199254740993", TRUE, G_GUINT64_CONSTANT(9007199254740993) },
    { "18446744073709551615", TRUE, G_MAXUINT64 },
    { "18446744073709551615.000", TRUE, G_MAXUINT64 },
    { "1.8446744073709551615e19", TRUE, G_MAXUINT64 },
    { "18446744073709551616", FALSE, 0 },
    { "1844674407370955161.6e1", FALSE, 0 },
    { "99999999999999999999", FALSE, 0 },
    { "1e20", FALSE, 0 },
    { "1e999", FALSE, 0 },
    { "1e18446744073709551616", FALSE, 0 },
    { "16.00000000000000000000000001", FALSE, 0 },
    { "1e-999", FALSE, 0 },
    { "1e-18446744073709551616", FALSE, 0 },
    { "-1", FALSE, 0 },
    { "-18446744073709551615", FALSE, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autoptr(MmJson) json = parse(cases[i].text);
    g_test_message("%s", cases[i].text);
    g_assert_true(mm_json_is_number(json));
    g_assert_cmpint(mm_json_is_count(json), ==, cases[i].is_count);
    g_assert_cmpuint(mm_json_count_value(json), ==, cases[i].count);
  }
}

static void
test_last_of_repeated_members_counts(void) {
  g_autoptr(MmJson) json = parse("{\"a\":1,\"b\":2,\"\\u0061\":3,\"b\":null}");

  g_assert_cmpuint(mm_json_count(json, "a", 0), ==, 3);
  g_assert_null(mm_json_get(json, "b"));
}

static void
test_names_with_unusual_characters_are_not_names(void) {
  g_autoptr(MmJson) json
      = parse("{\"nul\":\"run-1\\u0000\",\"half\":\"a\\ud800\",\"pair\":\"\\ud83d\\ude00\","
              "\"nul\\u0000\":\"x\",\"escaped\":\"\\u0072un-1\"}");

  g_assert_null(mm_json_string(json, "nul"));
  g_assert_null(mm_json_string(json, "half"));
  g_assert_cmpstr(mm_json_string(json, "pair"), ==, "\xf0\x9f\x98\x80");
  g_assert_cmpstr(mm_json_string(json, "escaped"), ==, "run-1");
}

/* A value is written as it was read, apart from white space and the spelling of counts. */
static void
test_values_are_written_as_they_were_read(void) {
  static const char text[] = "{\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"big\":1e999,"
                             "\"digits\":123456789012345678901234567890,\"none\":null,"
                             "\"l\":[[],{},true,\"\\u0001\\\"\\\\\"],\"größe\":\"日本語 ✓\"}";
  g_autoptr(MmJson) json = parse(text);
  g_autofree char *written = mm_json_to_text(json);

  g_assert_cmpstr(written, ==, text);
  g_assert_cmpuint(mm_json_text_length(json), ==, strlen(text));
}

/* Fills a body of the largest size with `unit`, as the value of an unknown field. */
static char *
largest_body(const char *unit, const char *before, const char *after) {
  GString *text = g_string_new("{\"kits\":16,\"x\":");

  g_string_append(text, before);
  while (text->len + strlen(unit) + strlen(after) + 1 <= BODY_MAX_BYTES)
    g_string_append(text, unit);
  g_string_append(text, after);
  g_string_append_c(text, '}');
  return g_string_free(text, FALSE);
}

static void
test_largest_bodies_are_taken(void) {
  g_autofree char *digits = largest_body("9", "", "");
  g_autofree char *fraction = largest_body("9", "0.", "");
  g_autofree char *exponent = largest_body("9", "1e", "");
  g_autofree char *escapes = largest_body("\\u00e9", "\"", "\"");
  g_autofree char *halves = largest_body("\\ud800", "\"", "\"");
  g_autofree char *numbers = largest_body("1,", "[", "1]");
  g_autofree char *members = largest_body("\"a\":1,", "{", "\"a\":1}");
  const char *const texts[] = { digits, fraction, exponent, escapes, halves, numbers, members };

  for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
    g_autoptr(MmJson) json = parse(texts[i]);
    g_assert_cmpuint(mm_json_count(json, "kits", 0), ==, 16);
  }
}

/* Brackets to any depth are taken, and nothing recurses as deep as the sender chooses. */
static void
test_deep_nesting_is_taken(void) {
  const gsize depth = BODY_MAX_BYTES / 2 - 16;
  g_autofree char *opening = g_strnfill(depth, '[');
  g_autofree char *closing = g_strnfill(depth, ']');
  g_autofree char *text = g_strconcat("{\"x\":", opening, closing, ",\"kits\":16}", NULL);
  g_autofree char *unclosed = g_strconcat("{\"x\":", opening, closing + 1, ",\"kits\":16}", NULL);
  g_autoptr(MmJson) json = parse(text);
  g_autoptr(MmJson) copy = mm_json_copy(json);
  g_autofree char *written = mm_json_to_text(copy);

  g_assert_cmpuint(mm_json_count(json, "kits", 0), ==, 16);
  g_assert_cmpuint(strlen(written), <, 4 * MM_JSON_DEPTH_MAX);
  g_assert_null(parse(unclosed));
}

static void
test_numbers_out_of_range_are_no_amounts(void) {
  g_autoptr(MmJson) json = parse("{\"big\":1e999,\"small\":1e-999,\"plain\":6.2}");

  g_assert_cmpfloat(mm_json_number(json, "big", -1), ==, -1);
  g_assert_cmpfloat(mm_json_number(json, "small", -1), ==, 0);
  g_assert_cmpfloat(mm_json_number(json, "plain", -1), ==, 6.2);
  g_assert_true(isinf(mm_json_number_value(mm_json_get(json, "big"))));
}

static void
test_formats_build_values(void) {
  g_autoptr(MmJson) json = mm_json_pack("{s:s, s:i, s:I, s:f, s:b, s:[s, {s:[]}], s:o, s:s}", "s",
                                        "t\"", "i", -3, "I", G_MAXUINT64, "f", 0.5, "b", TRUE, "l",
                                        "x", "y", "o", mm_json_new_array(), "none", NULL);
  g_autofree char *text = mm_json_to_text(json);

  g_assert_cmpstr(text, ==,
                  "{\"s\":\"t\\\"\",\"i\":-3,\"I\":18446744073709551615,\"f\":0.5,\"b\":true,"
                  "\"l\":[\"x\",{\"y\":[]}],\"o\":[],\"none\":null}");
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/json/grammar-is-taken", test_grammar_is_taken);
  g_test_add_func("/json/malformed-text-is-refused-with-its-position",
                  test_malformed_text_is_refused_with_its_position);
  g_test_add_func("/json/counts-are-exact-in-each-spelling",
                  test_counts_are_exact_in_each_spelling);
  g_test_add_func("/json/last-of-repeated-members-counts", test_last_of_repeated_members_counts);
  g_test_add_func("/json/names-with-unusual-characters-are-not-names",
                  test_names_with_unusual_characters_are_not_names);
  g_test_add_func("/json/values-are-written-as-they-were-read",
                  test_values_are_written_as_they_were_read);
  g_test_add_func("/json/largest-bodies-are-taken", test_largest_bodies_are_taken);
  g_test_add_func("/json/deep-nesting-is-taken", test_deep_nesting_is_taken);
  g_test_add_func("/json/numbers-out-of-range-are-no-amounts",
                  test_numbers_out_of_range_are_no_amounts);
  g_test_add_func("/json/formats-build-values", test_formats_build_values);
  return g_test_run();
}
