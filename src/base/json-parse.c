/* Reads JSON text with yajl, which keeps numbers as text and does not recurse. yajl leaves three
 * things unchecked, which check_text does beforehand: the encoding, control characters that it
 * takes for white space, and escapes of half a surrogate pair. */
#include <yajl/yajl_parse.h>

#include "base/json-private.h"

#define HEX_DIGITS 4

/* Returns the code unit of an escape such as \ud83d that begins at `escape`, or -1 if there is
 * none. */
static gint
escaped_code_unit(const char *escape, const char *end) {
  gint code_unit = 0;

  if (end - escape < 2 + HEX_DIGITS || escape[0] != '\\' || escape[1] != 'u')
    return -1;
  for (guint i = 0; i < HEX_DIGITS; i++) {
    gint digit = g_ascii_xdigit_value(escape[2 + i]);
    if (digit < 0)
      return -1;
    code_unit = code_unit * 16 + digit;
  }
  return code_unit;
}

static gboolean
is_high_surrogate(gint code_unit) {
  return code_unit >= 0xd800 && code_unit <= 0xdbff;
}

static gboolean
is_low_surrogate(gint code_unit) {
  return code_unit >= 0xdc00 && code_unit <= 0xdfff;
}

/* Finds the first escape of a surrogate that is not one of a pair, at or after `text`. Returns NULL
 * if there is none. A backslash outside a string is left to yajl, which refuses it. */
static const char *
find_unpaired_surrogate(const char *text, const char *end) {
  const gsize escape_length = 2 + HEX_DIGITS;

  while ((text = memchr(text, '\\', (gsize)(end - text))) != NULL) {
    gint code_unit = escaped_code_unit(text, end);
    if (is_low_surrogate(code_unit))
      return text;
    if (!is_high_surrogate(code_unit)) {
      text += MIN(2, end - text);
      continue;
    }
    if (!is_low_surrogate(escaped_code_unit(text + escape_length, end)))
      return text;
    text += 2 * escape_length;
  }
  return NULL;
}

/* Replaces each escape of an unpaired surrogate by \u0000, which no name may contain either.
 * Returns NULL if there is none, else a copy of the text. */
static char *
replace_unpaired_surrogates(const char *text, gsize length) {
  const char *found = find_unpaired_surrogate(text, text + length);
  char *copy;

  if (found == NULL)
    return NULL;
  copy = g_memdup2(text, length);
  while (found != NULL) {
    char *digits = copy + (found - text) + 2;
    memset(digits, '0', HEX_DIGITS);
    found = find_unpaired_surrogate(found + 2 + HEX_DIGITS, text + length);
  }
  return copy;
}

static gboolean
check_text(const char *text, gsize length, MmJsonError *error) {
  const char *valid_end;

  for (gsize i = 0; i < length; i++) {
    if ((guchar)text[i] < ' ' && text[i] != '\t' && text[i] != '\n' && text[i] != '\r') {
      *error = (MmJsonError){ "control character", i };
      return FALSE;
    }
  }
  if (!g_utf8_validate_len(text, length, &valid_end)) {
    *error = (MmJsonError){ "not UTF-8", (gsize)(valid_end - text) };
    return FALSE;
  }
  return TRUE;
}

/* Callbacks of yajl. Their result tells yajl to go on. */
#define CONTINUE 1

static int
on_null(void *builder) {
  mm_json_builder_add(builder, mm_json_new_null());
  return CONTINUE;
}

static int
on_boolean(void *builder, int value) {
  mm_json_builder_add(builder, mm_json_new_boolean(value));
  return CONTINUE;
}

static int
on_number(void *builder, const char *text, size_t length) {
  mm_json_builder_add(builder, mm_json_new_number(text, length));
  return CONTINUE;
}

static int
on_string(void *builder, const unsigned char *text, size_t length) {
  mm_json_builder_add(builder, mm_json_new_string_of_length((const char *)text, length));
  return CONTINUE;
}

static int
on_name(void *builder, const unsigned char *text, size_t length) {
  mm_json_builder_set_name(builder, mm_json_new_string_of_length((const char *)text, length));
  return CONTINUE;
}

static int
on_object_start(void *builder) {
  mm_json_builder_open(builder, mm_json_new_object());
  return CONTINUE;
}

static int
on_array_start(void *builder) {
  mm_json_builder_open(builder, mm_json_new_array());
  return CONTINUE;
}

static int
on_container_end(void *builder) {
  mm_json_builder_close(builder);
  return CONTINUE;
}

static const yajl_callbacks callbacks = {
  .yajl_null = on_null,
  .yajl_boolean = on_boolean,
  .yajl_number = on_number,
  .yajl_string = on_string,
  .yajl_start_map = on_object_start,
  .yajl_map_key = on_name,
  .yajl_end_map = on_container_end,
  .yajl_start_array = on_array_start,
  .yajl_end_array = on_container_end,
};

/* Reads a text that check_text has accepted. */
static gboolean
read_text(MmJsonBuilder *builder, const char *text, gsize length, MmJsonError *error) {
  yajl_handle handle = yajl_alloc(&callbacks, NULL, builder);
  yajl_status status;

  yajl_config(handle, yajl_dont_validate_strings, 1);
  status = yajl_parse(handle, (const unsigned char *)text, length);
  if (status != yajl_status_ok)
    *error = (MmJsonError){ "unexpected token", yajl_get_bytes_consumed(handle) };
  else if ((status = yajl_complete_parse(handle)) != yajl_status_ok)
    *error = (MmJsonError){ "unexpected end", length };
  yajl_free(handle);
  return status == yajl_status_ok;
}

MmJson *
mm_json_parse(const char *text, gsize length, MmJsonError *error) {
  g_autofree char *replaced_text = NULL;
  MmJsonError ignored_error;
  MmJsonBuilder builder = { 0 };

  if (error == NULL)
    error = &ignored_error;
  if (!check_text(text, length, error))
    return NULL;
  replaced_text = replace_unpaired_surrogates(text, length);
  if (read_text(&builder, replaced_text != NULL ? replaced_text : text, length, error))
    return builder.root;
  mm_json_unref(builder.root);
  mm_json_unref(builder.name);
  return NULL;
}
