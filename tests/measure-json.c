/* Measures time and heap of reading JSON texts with this program's reader, and with jansson, which
 * it replaced: measure-json [REPEATS]. docs/capacity.md gives the figures. */
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/json.h"

#define DEFAULT_REPEATS 200
#define BODY_MAX_BYTES (64 * 1024)
#define HEARTBEAT_TASKS 500

static const char submission[]
    = "{\"nameId\":\"run-000412\",\"guild\":\"train\",\"flock\":\"vision\",\"gait\":\"group\","
      "\"rank\":\"urgent\",\"kits\":16,\"cores\":8.0,\"accelerators\":1.0,\"memGb\":64.0,"
      "\"pelt\":\"img-07\",\"sizeGb\":6.2,\"breeds\":[\"g8\"],\"den\":null,\"together\":true,"
      "\"spread\":false,\"strays\":true,\"runGuessS\":240.0,\"cacheEveryS\":30.0,"
      "\"cacheTakeS\":4.0,\"dueS\":900.0}";

static char *
heartbeat_text(void) {
  GString *text
      = g_string_new("{\"burrow\":\"m-000231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\","
                     "\"den\":\"a\",\"strays\":true,\"tenure\":1,\"tick\":88,"
                     "\"warrant\":41,\"warningS\":null,\"kits\":[");

  for (guint i = 0; i < HEARTBEAT_TASKS; i++)
    g_string_append_printf(text, "%s{\"kit\":\"run-%06u/%u\",\"try\":%u,\"mood\":\"running\"}",
                           i > 0 ? "," : "", i * 7919 % 1000000, i, 33554613 + i);
  g_string_append(text, "]}");
  return g_string_free(text, FALSE);
}

static char *
filled(const char *before, const char *unit, const char *after) {
  GString *text = g_string_new(before);

  while (text->len + strlen(unit) + strlen(after) <= BODY_MAX_BYTES)
    g_string_append(text, unit);
  g_string_append(text, after);
  return g_string_free(text, FALSE);
}

static char *
brackets(void) {
  g_autofree char *opening = g_strnfill(BODY_MAX_BYTES / 2, '[');
  g_autofree char *closing = g_strnfill(BODY_MAX_BYTES / 2, ']');

  return g_strconcat(opening, closing, NULL);
}

static gsize
heap_bytes(void) {
  return mallinfo2().uordblks;
}

/* Reads the text and frees the result. Returns the heap that the result takes, or 0 if the text was
 * refused. */
typedef gsize (*Reader)(const char *text, gsize length);

static gsize
read_with_this_program(const char *text, gsize length) {
  gsize before = heap_bytes(), held;
  MmJson *json = mm_json_parse(text, length, NULL);

  held = json != NULL ? heap_bytes() - before : 0;
  mm_json_unref(json);
  return held;
}

static gsize
read_with_jansson(const char *text, gsize length) {
  gsize before = heap_bytes(), held;
  json_t *json = json_loadb(text, length, JSON_DECODE_ANY, NULL);

  held = json != NULL ? heap_bytes() - before : 0;
  json_decref(json);
  return held;
}

static void
print_measurement(const char *name, const char *reader_name, Reader reader, const char *text,
                  guint repeats) {
  gsize length = strlen(text), held = 0;
  gint64 began_at_us = g_get_monotonic_time();

  for (guint i = 0; i < repeats; i++)
    held = reader(text, length);
  printf("%-12s %-12s %7" G_GSIZE_FORMAT " bytes %9.1f us %8" G_GSIZE_FORMAT " bytes held%s\n",
         name, reader_name, length, (double)(g_get_monotonic_time() - began_at_us) / repeats, held,
         held == 0 ? ", refused" : "");
}

int
main(int argc, char **argv) {
  guint repeats = argc > 1 ? (guint)strtoul(argv[1], NULL, 10) : DEFAULT_REPEATS;
  g_autofree char *heartbeat = heartbeat_text();
  g_autofree char *digits = filled("{\"x\":", "9", "}");
  g_autofree char *escapes = filled("{\"x\":\"", "\\u00e9", "\"}");
  g_autofree char *deep = brackets();
  const struct {
    const char *name, *text;
  } cases[] = { { "submission", submission },
                { "heartbeat", heartbeat },
                { "digits", digits },
                { "brackets", deep },
                { "escapes", escapes } };

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    print_measurement(cases[i].name, "jansson", read_with_jansson, cases[i].text, repeats);
    print_measurement(cases[i].name, "martenmount", read_with_this_program, cases[i].text, repeats);
  }
  return 0;
}
