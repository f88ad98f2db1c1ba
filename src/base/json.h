/* JSON values and their text (RFC 8259). All JSON that a node receives is read by mm_json_parse,
 * and all that it sends is written by the functions of this module.
 *
 * Values have a reference count. Functions that add a value to a container take ownership of the
 * value. Functions that read accept NULL and values of any kind: a member or element that is absent
 * or of another kind yields the function's neutral result. */
#pragma once

#include "base/types.h"

G_BEGIN_DECLS

typedef struct MmJson MmJson;

/* Text. */

/* Containers that are nested deeper than this are checked, but read as empty. It bounds the
 * recursion of the functions that walk over a value. No known field is nested so deep. */
#define MM_JSON_DEPTH_MAX 32

/* Why a text is not JSON. */
typedef struct {
  const char *reason; /* static text */
  gsize position;     /* offset in bytes at which the text was found to be malformed */
} MmJsonError;

/* Reads a JSON text of any kind. Returns a new reference, or NULL if the text is not JSON in UTF-8;
 * `error` may be NULL. Time and memory are linear in `length`. docs/questions.md states what is
 * done where the RFC leaves a choice to the receiver. */
MmJson *mm_json_parse(const char *text, gsize length, MmJsonError *error);
/* Returns the text without white space, to be freed with g_free. Members stand in the order in
 * which they were added, or sorted by name. */
char *mm_json_to_text(const MmJson *json);
char *mm_json_to_sorted_text(const MmJson *json);
/* Returns the length in bytes of mm_json_to_text, or 0 for NULL. */
gsize mm_json_text_length(const MmJson *json);

/* Construction. Each function returns a new reference. */

MmJson *mm_json_new_null(void);
MmJson *mm_json_new_boolean(gboolean value);
MmJson *mm_json_new_count(guint64 value);
/* A value of 0 or more is a count. */
MmJson *mm_json_new_integer(gint64 value);
/* Returns JSON null if `value` is infinite or not a number, which JSON can't represent. */
MmJson *mm_json_new_real(double value);
/* Reads a number in the syntax of JSON. `text` must be such a number. */
MmJson *mm_json_new_number(const char *text, gsize length);
MmJson *mm_json_new_string(const char *text);
MmJson *mm_json_new_string_of_length(const char *text, gsize length);
MmJson *mm_json_new_array(void);
MmJson *mm_json_new_object(void);
/* Builds a value from a format: `{s:V, ...}` and `[V, ...]` with V one of `s` (const char *), `i`
 * (int), `I` (guint64), `f` (double), `b` (gboolean), `o` (MmJson *, takes ownership), `O` (MmJson
 * *, adds a reference), or a nested object or array. */
MmJson *mm_json_pack(const char *format, ...);
/* Returns the body of an error response. */
MmJson *mm_json_error(const char *reason);

/* Adds a reference. Accepts NULL. */
MmJson *mm_json_ref(const MmJson *json);
/* Drops a reference and frees the value with the last one. Accepts NULL. */
void mm_json_unref(MmJson *json);
/* Returns a copy that shares no container with `json`. */
MmJson *mm_json_copy(const MmJson *json);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmJson, mm_json_unref)

/* Values. */

gboolean mm_json_is_null(const MmJson *json);
gboolean mm_json_is_boolean(const MmJson *json);
gboolean mm_json_is_true(const MmJson *json);
gboolean mm_json_is_number(const MmJson *json);
/* Whether the value is a whole number from 0 to 2^64 - 1, in any spelling, such as 16, 16.0 and
 * 1.6e1. */
gboolean mm_json_is_count(const MmJson *json);
gboolean mm_json_is_string(const MmJson *json);
gboolean mm_json_is_array(const MmJson *json);
gboolean mm_json_is_object(const MmJson *json);
/* Returns the number, or 0 for another kind; infinite if the number exceeds the range of double. */
double mm_json_number_value(const MmJson *json);
/* Returns the count, or 0 if the value is not a count. */
guint64 mm_json_count_value(const MmJson *json);
/* Returns the string, borrowed from `json`, or NULL if the value is not a string or contains
 * U+0000, which no name may contain. */
const char *mm_json_string_value(const MmJson *json);

/* Objects. If a name occurs several times in a text, its last member counts. */

/* Returns the member, borrowed from `object`, or NULL if it is absent or null. */
MmJson *mm_json_get(const MmJson *object, const char *name);
/* Returns the member's string as mm_json_string_value does. */
const char *mm_json_string(const MmJson *object, const char *name);
/* Returns the member's number, or `fallback` if the member is not a number or exceeds the range of
 * double. */
double mm_json_number(const MmJson *object, const char *name, double fallback);
/* Returns the member's count, or `fallback` if the member is not a count. */
guint64 mm_json_count(const MmJson *object, const char *name, guint64 fallback);
/* Returns TRUE only if the member is the JSON value `true`. */
gboolean mm_json_flag(const MmJson *object, const char *name);
gsize mm_json_object_size(const MmJson *object);
/* Sets `name` to the i-th member's name and `value` to its value, both borrowed. Returns FALSE if
 * there is no i-th member. */
gboolean mm_json_object_entry(const MmJson *object, gsize i, const char **name, MmJson **value);
/* Replaces the member of this name, or adds one. */
void mm_json_object_set(MmJson *object, const char *name, MmJson *value);
/* Removes all members of this name. */
void mm_json_object_remove(MmJson *object, const char *name);

/* Calls the following statement for each member. */
#define MM_JSON_OBJECT_FOREACH(object, name, value)                                                \
  for (gsize json_entry_ = 0; mm_json_object_entry(object, json_entry_, &(name), &(value));        \
       json_entry_++)

/* Arrays. */

gsize mm_json_array_size(const MmJson *array);
/* Returns the element, borrowed from `array`, or NULL if there is no such element. */
MmJson *mm_json_array_get(const MmJson *array, gsize i);
void mm_json_array_append(MmJson *array, MmJson *value);
/* Inserts before element `i`, at most the array's size. */
void mm_json_array_insert(MmJson *array, gsize i, MmJson *value);
void mm_json_array_remove(MmJson *array, gsize i);
/* Appends references to all elements of `more`. */
void mm_json_array_extend(MmJson *array, const MmJson *more);

/* Calls the following statement for each element. */
#define MM_JSON_ARRAY_FOREACH(array, i, item)                                                      \
  for ((i) = 0; (i) < mm_json_array_size(array) && ((item) = mm_json_array_get(array, i)) != NULL; \
       (i)++)

G_END_DECLS
