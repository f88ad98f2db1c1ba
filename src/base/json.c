#include "base/json.h"

json_t *
mm_json_get(const json_t *object, const char *key) {
  json_t *value = json_object_get(object, key);

  return value == NULL || json_is_null(value) ? NULL : value;
}

const char *
mm_json_string(const json_t *object, const char *key) {
  return json_string_value(mm_json_get(object, key));
}

double
mm_json_number(const json_t *object, const char *key, double fallback) {
  const json_t *value = mm_json_get(object, key);

  return json_is_number(value) ? json_number_value(value) : fallback;
}

guint64
mm_json_count(const json_t *object, const char *key, guint64 fallback) {
  const json_t *value = mm_json_get(object, key);

  if (json_is_integer(value) && json_integer_value(value) >= 0)
    return (guint64)json_integer_value(value);
  if (json_is_real(value) && json_real_value(value) >= 0)
    return (guint64)json_real_value(value);
  return fallback;
}

gboolean
mm_json_flag(const json_t *object, const char *key) {
  return json_is_true(mm_json_get(object, key));
}

json_t *
mm_json_error(const char *reason) {
  return json_pack("{s:s}", "error", reason);
}
