/* Helper functions for jansson. A member that is null or of an unexpected type counts as absent. */
#pragma once

#include <jansson.h>

#include "base/types.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

/* Returns the member, borrowed from `object`. Returns NULL if the member is absent or null, or if
 * `object` is not a JSON object. */
json_t *mm_json_get(const json_t *object, const char *key);
/* Returns the member's string, borrowed from `object`, or NULL if the member is not a string. */
const char *mm_json_string(const json_t *object, const char *key);
/* Returns the member's number, or `fallback` if the member is not a number. */
double mm_json_number(const json_t *object, const char *key, double fallback);
/* Returns the member's number with its fraction truncated, or `fallback` if the member is not a
 * number or is negative. */
guint64 mm_json_count(const json_t *object, const char *key, guint64 fallback);
/* Returns TRUE only if the member is the JSON value `true`. */
gboolean mm_json_flag(const json_t *object, const char *key);
/* Returns the body of an error response as a new reference. */
json_t *mm_json_error(const char *reason);
