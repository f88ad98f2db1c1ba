/* Short helpers over jansson: absent and null are the same everywhere in the protocol. */
#pragma once

#include <jansson.h>

#include "base/types.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

json_t *mm_json_get(const json_t *object, const char *key);
const char *mm_json_string(const json_t *object, const char *key);
double mm_json_number(const json_t *object, const char *key, double fallback);
guint64 mm_json_count(const json_t *object, const char *key, guint64 fallback);
gboolean mm_json_flag(const json_t *object, const char *key);
json_t *mm_json_error(const char *reason);
