#include "base/json.h"

#include <math.h>

#include "base/json-private.h"

#define FIRST_CAPACITY 4

static MmJson *
new_value(MmJsonKind kind, const char *text, gsize length) {
  gsize text_bytes = text != NULL ? length + 1 : 0;
  MmJson *json = g_malloc(sizeof *json + text_bytes);

  *json = (MmJson){ .ref_count = 1, .kind = kind, .length = length };
  if (text != NULL) {
    memcpy(json->text, text, length);
    json->text[length] = '\0';
  }
  return json;
}

MmJson *
mm_json_new_null(void) {
  return new_value(MM_JSON_NULL, NULL, 0);
}

MmJson *
mm_json_new_boolean(gboolean value) {
  MmJson *json = new_value(MM_JSON_BOOLEAN, NULL, 0);

  json->boolean = value != FALSE;
  return json;
}

MmJson *
mm_json_new_count(guint64 value) {
  MmJson *json = new_value(MM_JSON_COUNT, NULL, 0);

  json->count = value;
  return json;
}

MmJson *
mm_json_new_integer(gint64 value) {
  g_autofree char *digits = NULL;

  if (value >= 0)
    return mm_json_new_count((guint64)value);
  digits = g_strdup_printf("%" G_GINT64_FORMAT, value);
  return mm_json_new_number(digits, strlen(digits));
}

MmJson *
mm_json_new_real(double value) {
  MmJson *json;

  if (!isfinite(value))
    return mm_json_new_null();
  json = new_value(MM_JSON_NUMBER, NULL, 0);
  json->number = value;
  return json;
}

/* The digits of a number without leading and trailing zeros. The number is their value, read as a
 * whole number, times 10 to the power of `exponent`. */
typedef struct {
  const char *first, *end; /* may contain the decimal point; `first` is NULL for the number 0 */
  gint64 n_digits;
  gint64 exponent;
} Decimal;

/* Number of digits of 2^64 - 1. */
#define COUNT_DIGITS_MAX 20
/* Bound of the exponents that are told apart; the digits of a text can't make up for it. */
#define EXPONENT_MAX (G_GINT64_CONSTANT(1) << 40)

static gint64
read_exponent(const char *text, const char *end) {
  gboolean is_negative = *text == '-';
  gint64 exponent = 0;

  if (*text == '-' || *text == '+')
    text++;
  for (; text < end && exponent < EXPONENT_MAX; text++)
    exponent = exponent * 10 + (*text - '0');
  exponent = MIN(exponent, EXPONENT_MAX);
  return is_negative ? -exponent : exponent;
}

static Decimal
read_decimal(const char *text, const char *end) {
  Decimal decimal = { 0 };
  const char *point = NULL, *last;

  for (; text < end && *text != 'e' && *text != 'E'; text++) {
    if (*text == '.')
      point = text;
    if (*text == '.' || *text == '0')
      continue;
    if (decimal.first == NULL)
      decimal.first = text;
    decimal.end = text + 1;
  }
  if (decimal.first == NULL)
    return decimal;
  last = decimal.end - 1;
  if (point == NULL || last < point)
    decimal.exponent = (point != NULL ? point : text) - decimal.end;
  else
    decimal.exponent = point - last;
  decimal.n_digits = decimal.end - decimal.first;
  if (point != NULL && point > decimal.first && point < last)
    decimal.n_digits--;
  if (text < end)
    decimal.exponent += read_exponent(text + 1, end);
  return decimal;
}

/* Sets `count` to the exact value of a number without sign. Returns FALSE if the number is not
 * whole or exceeds 2^64 - 1. */
static gboolean
read_count(const char *text, const char *end, guint64 *count) {
  Decimal decimal = read_decimal(text, end);

  *count = 0;
  if (decimal.first == NULL)
    return TRUE;
  if (decimal.exponent < 0 || decimal.n_digits + decimal.exponent > COUNT_DIGITS_MAX)
    return FALSE;
  for (const char *digit = decimal.first; digit < decimal.end; digit++) {
    if (*digit == '.')
      continue;
    if (!g_uint64_checked_mul(count, *count, 10)
        || !g_uint64_checked_add(count, *count, (guint64)(*digit - '0')))
      return FALSE;
  }
  for (gint64 i = 0; i < decimal.exponent; i++)
    if (!g_uint64_checked_mul(count, *count, 10))
      return FALSE;
  return TRUE;
}

MmJson *
mm_json_new_number(const char *text, gsize length) {
  gboolean is_negative = text[0] == '-';
  guint64 count;
  MmJson *json;

  if (read_count(text + (is_negative ? 1 : 0), text + length, &count)
      && (!is_negative || count == 0))
    return mm_json_new_count(count);
  json = new_value(MM_JSON_NUMBER, text, length);
  json->number = g_ascii_strtod(json->text, NULL);
  return json;
}

MmJson *
mm_json_new_string(const char *text) {
  return text != NULL ? mm_json_new_string_of_length(text, strlen(text)) : mm_json_new_null();
}

MmJson *
mm_json_new_string_of_length(const char *text, gsize length) {
  return new_value(MM_JSON_STRING, text, length);
}

MmJson *
mm_json_new_array(void) {
  return new_value(MM_JSON_ARRAY, NULL, 0);
}

MmJson *
mm_json_new_object(void) {
  return new_value(MM_JSON_OBJECT, NULL, 0);
}

MmJson *
mm_json_error(const char *reason) {
  return mm_json_pack("{s:s}", "error", reason);
}

MmJson *
mm_json_ref(const MmJson *json) {
  MmJson *shared = (MmJson *)json;

  if (shared != NULL)
    shared->ref_count++;
  return shared;
}

static void
clear_container(MmJson *json) {
  if (json->kind == MM_JSON_ARRAY) {
    for (gsize i = 0; i < json->length; i++)
      mm_json_unref(json->array.items[i]);
    g_free(json->array.items);
  } else if (json->kind == MM_JSON_OBJECT) {
    for (gsize i = 0; i < json->length; i++) {
      mm_json_unref(json->object.members[i].name);
      mm_json_unref(json->object.members[i].value);
    }
    g_free(json->object.members);
  }
}

void
mm_json_unref(MmJson *json) {
  if (json == NULL || --json->ref_count > 0)
    return;
  clear_container(json);
  g_free(json);
}

MmJson *
mm_json_copy(const MmJson *json) {
  MmJson *copy;

  if (mm_json_is_array(json)) {
    copy = mm_json_new_array();
    for (gsize i = 0; i < json->length; i++)
      mm_json_array_append(copy, mm_json_copy(json->array.items[i]));
  } else if (mm_json_is_object(json)) {
    copy = mm_json_new_object();
    for (gsize i = 0; i < json->length; i++)
      mm_json_object_append(copy, mm_json_ref(json->object.members[i].name),
                            mm_json_copy(json->object.members[i].value));
  } else {
    copy = mm_json_ref(json);
  }
  return copy;
}

/* Values. */

static gboolean
has_kind(const MmJson *json, MmJsonKind kind) {
  return json != NULL && json->kind == kind;
}

gboolean
mm_json_is_null(const MmJson *json) {
  return has_kind(json, MM_JSON_NULL);
}

gboolean
mm_json_is_boolean(const MmJson *json) {
  return has_kind(json, MM_JSON_BOOLEAN);
}

gboolean
mm_json_is_true(const MmJson *json) {
  return has_kind(json, MM_JSON_BOOLEAN) && json->boolean;
}

gboolean
mm_json_is_number(const MmJson *json) {
  return has_kind(json, MM_JSON_COUNT) || has_kind(json, MM_JSON_NUMBER);
}

gboolean
mm_json_is_count(const MmJson *json) {
  return has_kind(json, MM_JSON_COUNT);
}

gboolean
mm_json_is_string(const MmJson *json) {
  return has_kind(json, MM_JSON_STRING);
}

gboolean
mm_json_is_array(const MmJson *json) {
  return has_kind(json, MM_JSON_ARRAY);
}

gboolean
mm_json_is_object(const MmJson *json) {
  return has_kind(json, MM_JSON_OBJECT);
}

double
mm_json_number_value(const MmJson *json) {
  if (has_kind(json, MM_JSON_COUNT))
    return (double)json->count;
  return has_kind(json, MM_JSON_NUMBER) ? json->number : 0;
}

guint64
mm_json_count_value(const MmJson *json) {
  return has_kind(json, MM_JSON_COUNT) ? json->count : 0;
}

const char *
mm_json_string_value(const MmJson *json) {
  return has_kind(json, MM_JSON_STRING) && strlen(json->text) == json->length ? json->text : NULL;
}

/* Objects. */

static MmJson *
find_member(const MmJson *object, const char *name) {
  gsize name_length = strlen(name);

  if (!mm_json_is_object(object))
    return NULL;
  for (gsize i = object->length; i > 0; i--) {
    const MmJsonMember *member = &object->object.members[i - 1];
    if (member->name->length == name_length && memcmp(member->name->text, name, name_length) == 0)
      return member->value;
  }
  return NULL;
}

MmJson *
mm_json_get(const MmJson *object, const char *name) {
  MmJson *value = find_member(object, name);

  return mm_json_is_null(value) ? NULL : value;
}

const char *
mm_json_string(const MmJson *object, const char *name) {
  return mm_json_string_value(mm_json_get(object, name));
}

double
mm_json_number(const MmJson *object, const char *name, double fallback) {
  const MmJson *value = mm_json_get(object, name);
  double number = mm_json_number_value(value);

  return mm_json_is_number(value) && isfinite(number) ? number : fallback;
}

guint64
mm_json_count(const MmJson *object, const char *name, guint64 fallback) {
  const MmJson *value = mm_json_get(object, name);

  return mm_json_is_count(value) ? mm_json_count_value(value) : fallback;
}

gboolean
mm_json_flag(const MmJson *object, const char *name) {
  return mm_json_is_true(mm_json_get(object, name));
}

gsize
mm_json_object_size(const MmJson *object) {
  return mm_json_is_object(object) ? object->length : 0;
}

gboolean
mm_json_object_entry(const MmJson *object, gsize i, const char **name, MmJson **value) {
  if (i >= mm_json_object_size(object))
    return FALSE;
  *name = object->object.members[i].name->text;
  *value = object->object.members[i].value;
  return TRUE;
}

void
mm_json_object_append(MmJson *object, MmJson *name, MmJson *value) {
  if (object->length == object->object.capacity) {
    object->object.capacity = MAX(FIRST_CAPACITY, object->object.capacity * 2);
    object->object.members = g_renew(MmJsonMember, object->object.members, object->object.capacity);
  }
  object->object.members[object->length++] = (MmJsonMember){ name, value };
}

void
mm_json_object_set(MmJson *object, const char *name, MmJson *value) {
  g_assert(mm_json_is_object(object));
  mm_json_object_remove(object, name);
  mm_json_object_append(object, mm_json_new_string(name), value);
}

void
mm_json_object_remove(MmJson *object, const char *name) {
  gsize name_length = strlen(name), n_kept = 0;

  for (gsize i = 0; i < mm_json_object_size(object); i++) {
    MmJsonMember member = object->object.members[i];
    if (member.name->length == name_length && memcmp(member.name->text, name, name_length) == 0) {
      mm_json_unref(member.name);
      mm_json_unref(member.value);
    } else {
      object->object.members[n_kept++] = member;
    }
  }
  if (mm_json_is_object(object))
    object->length = n_kept;
}

/* Arrays. */

gsize
mm_json_array_size(const MmJson *array) {
  return mm_json_is_array(array) ? array->length : 0;
}

MmJson *
mm_json_array_get(const MmJson *array, gsize i) {
  return i < mm_json_array_size(array) ? array->array.items[i] : NULL;
}

void
mm_json_array_append(MmJson *array, MmJson *value) {
  mm_json_array_insert(array, mm_json_array_size(array), value);
}

void
mm_json_array_insert(MmJson *array, gsize i, MmJson *value) {
  g_assert(mm_json_is_array(array) && i <= array->length);
  if (array->length == array->array.capacity) {
    array->array.capacity = MAX(FIRST_CAPACITY, array->array.capacity * 2);
    array->array.items = g_renew(MmJson *, array->array.items, array->array.capacity);
  }
  memmove(&array->array.items[i + 1], &array->array.items[i],
          (array->length - i) * sizeof array->array.items[0]);
  array->array.items[i] = value;
  array->length++;
}

void
mm_json_array_remove(MmJson *array, gsize i) {
  g_assert(i < mm_json_array_size(array));
  mm_json_unref(array->array.items[i]);
  array->length--;
  memmove(&array->array.items[i], &array->array.items[i + 1],
          (array->length - i) * sizeof array->array.items[0]);
}

void
mm_json_array_extend(MmJson *array, const MmJson *more) {
  for (gsize i = 0; i < mm_json_array_size(more); i++)
    mm_json_array_append(array, mm_json_ref(mm_json_array_get(more, i)));
}
