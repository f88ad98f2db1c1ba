/* Random JSON texts from the grammar of RFC 8259. */
#pragma once

#include <glib.h>

/* A known field and its value, as JSON text. */
typedef struct {
  const char *name;
  const char *value;
} JsonTextField;

/* Returns an object with the fields, in random order and spelling, among unknown fields with random
 * names and values; at most `max_bytes` long if the fields alone are much shorter. `n_fields` may
 * be 0. Free with g_free. */
char *json_texts_object(GRand *random, const JsonTextField *fields, guint n_fields,
                        gsize max_bytes);
