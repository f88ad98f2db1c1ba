/* Helpers over jansson. Absent members, null and members of another type than asked for are alike.
 */
#pragma once

#include <jansson.h>

#include "base/types.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

/* Lent; NULL: absent or null, or `object` is no object. */
json_t *mm_json_get(const json_t *object, const char *key);
/* Lent; NULL: no string. */
const char *mm_json_string(const json_t *object, const char *key);
double mm_json_number(const json_t *object, const char *key, double fallback);
/* A number that is not negative, fractions cut off. */
guint64 mm_json_count(const json_t *object, const char *key, guint64 fallback);
/* TRUE for `true` alone. */
gboolean mm_json_flag(const json_t *object, const char *key);
/* The body of an error response, as a new reference. */
json_t *mm_json_error(const char *reason);
