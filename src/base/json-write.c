/* Writes JSON text. */
#include "base/json-private.h"

/* Enough digits for each double to be read back as the same double. */
#define REAL_FORMAT "%.17g"

static void
write_string(GString *text, const MmJson *json) {
  g_string_append_c(text, '"');
  for (gsize i = 0; i < json->length; i++) {
    char c = json->text[i];
    if (c == '"' || c == '\\')
      g_string_append_printf(text, "\\%c", c);
    else if ((guchar)c < ' ')
      g_string_append_printf(text, "\\u%04x", (guint)c);
    else
      g_string_append_c(text, c);
  }
  g_string_append_c(text, '"');
}

static void
write_number(GString *text, const MmJson *json) {
  char buffer[G_ASCII_DTOSTR_BUF_SIZE];

  if (json->length > 0) {
    g_string_append_len(text, json->text, (gssize)json->length);
    return;
  }
  g_ascii_formatd(buffer, sizeof buffer, REAL_FORMAT, json->number);
  g_string_append(text, buffer);
  /* Keeps the number apart from a count. */
  if (strpbrk(buffer, ".e") == NULL)
    g_string_append(text, ".0");
}

static int
compare_members(gconstpointer a, gconstpointer b) {
  return strcmp(((const MmJsonMember *)a)->name->text, ((const MmJsonMember *)b)->name->text);
}

static void write_value(GString *text, const MmJson *json, gboolean is_sorted);

static void
write_object(GString *text, const MmJson *json, gboolean is_sorted) {
  g_autofree MmJsonMember *sorted = NULL;
  const MmJsonMember *members = json->object.members;

  if (is_sorted && json->length > 0) {
    sorted = g_memdup2(members, json->length * sizeof *members);
    qsort(sorted, json->length, sizeof *sorted, compare_members);
    members = sorted;
  }
  g_string_append_c(text, '{');
  for (gsize i = 0; i < json->length; i++) {
    if (i > 0)
      g_string_append_c(text, ',');
    write_string(text, members[i].name);
    g_string_append_c(text, ':');
    write_value(text, members[i].value, is_sorted);
  }
  g_string_append_c(text, '}');
}

static void
write_array(GString *text, const MmJson *json, gboolean is_sorted) {
  g_string_append_c(text, '[');
  for (gsize i = 0; i < json->length; i++) {
    if (i > 0)
      g_string_append_c(text, ',');
    write_value(text, json->array.items[i], is_sorted);
  }
  g_string_append_c(text, ']');
}

static void
write_value(GString *text, const MmJson *json, gboolean is_sorted) {
  switch (json->kind) {
  case MM_JSON_NULL:
    g_string_append(text, "null");
    break;
  case MM_JSON_BOOLEAN:
    g_string_append(text, json->boolean ? "true" : "false");
    break;
  case MM_JSON_COUNT:
    g_string_append_printf(text, "%" G_GUINT64_FORMAT, json->count);
    break;
  case MM_JSON_NUMBER:
    write_number(text, json);
    break;
  case MM_JSON_STRING:
    write_string(text, json);
    break;
  case MM_JSON_ARRAY:
    write_array(text, json, is_sorted);
    break;
  case MM_JSON_OBJECT:
    write_object(text, json, is_sorted);
    break;
  }
}

static char *
to_text(const MmJson *json, gboolean is_sorted, gsize *length) {
  GString *text = g_string_new(NULL);

  if (json != NULL)
    write_value(text, json, is_sorted);
  if (length != NULL)
    *length = text->len;
  return g_string_free(text, FALSE);
}

char *
mm_json_to_text(const MmJson *json) {
  return to_text(json, FALSE, NULL);
}

char *
mm_json_to_sorted_text(const MmJson *json) {
  return to_text(json, TRUE, NULL);
}

gsize
mm_json_text_length(const MmJson *json) {
  gsize length;

  g_free(to_text(json, FALSE, &length));
  return length;
}
