/* Builds values from a sequence of steps, and from a format (mm_json_pack). */
#include <stdarg.h>

#include "base/json-private.h"

static gboolean
is_too_deep(const MmJsonBuilder *builder) {
  return builder->depth > MM_JSON_DEPTH_MAX;
}

static MmJson *
innermost_container(const MmJsonBuilder *builder) {
  return builder->depth > 0 ? builder->open[builder->depth - 1] : NULL;
}

void
mm_json_builder_add(MmJsonBuilder *builder, MmJson *value) {
  MmJson *container;

  if (is_too_deep(builder)) {
    mm_json_unref(value);
    return;
  }
  container = innermost_container(builder);
  if (container == NULL)
    builder->root = value;
  else if (mm_json_is_array(container))
    mm_json_array_append(container, value);
  else
    mm_json_object_append(container, g_steal_pointer(&builder->name), value);
}

void
mm_json_builder_set_name(MmJsonBuilder *builder, MmJson *name) {
  if (is_too_deep(builder))
    mm_json_unref(name);
  else
    builder->name = name;
}

void
mm_json_builder_open(MmJsonBuilder *builder, MmJson *container) {
  mm_json_builder_add(builder, container);
  if (builder->depth < MM_JSON_DEPTH_MAX)
    builder->open[builder->depth] = container;
  builder->depth++;
}

void
mm_json_builder_close(MmJsonBuilder *builder) {
  builder->depth--;
}

/* Adds a string as the name of a member where a name is expected, or else as a value. */
static void
add_string(MmJsonBuilder *builder, MmJson *string) {
  if (builder->name == NULL && mm_json_is_object(innermost_container(builder)))
    mm_json_builder_set_name(builder, string);
  else
    mm_json_builder_add(builder, string);
}

/* Handles a token that takes no argument. Returns FALSE for any other token. */
static gboolean
handle_punctuation(MmJsonBuilder *builder, char token) {
  if (token == '{')
    mm_json_builder_open(builder, mm_json_new_object());
  else if (token == '[')
    mm_json_builder_open(builder, mm_json_new_array());
  else if (token == '}' || token == ']')
    mm_json_builder_close(builder);
  else
    return strchr(" ,:", token) != NULL;
  return TRUE;
}

MmJson *
mm_json_pack(const char *format, ...) {
  MmJsonBuilder builder = { 0 };
  va_list arguments;

  va_start(arguments, format);
  /* clang 14 does not see that va_start initializes a va_list on arm64.
   * NOLINTBEGIN(clang-analyzer-valist.Uninitialized) */
  for (; *format != '\0'; format++) {
    if (handle_punctuation(&builder, *format))
      continue;
    switch (*format) {
    case 's':
      add_string(&builder, mm_json_new_string(va_arg(arguments, const char *)));
      break;
    case 'i':
      mm_json_builder_add(&builder, mm_json_new_integer(va_arg(arguments, int)));
      break;
    case 'I':
      mm_json_builder_add(&builder, mm_json_new_count(va_arg(arguments, guint64)));
      break;
    case 'f':
      mm_json_builder_add(&builder, mm_json_new_real(va_arg(arguments, double)));
      break;
    case 'b':
      mm_json_builder_add(&builder, mm_json_new_boolean(va_arg(arguments, gboolean)));
      break;
    case 'o':
      mm_json_builder_add(&builder, va_arg(arguments, MmJson *));
      break;
    case 'O':
      mm_json_builder_add(&builder, mm_json_ref(va_arg(arguments, MmJson *)));
      break;
    default:
      g_assert_not_reached();
    }
  }
  /* NOLINTEND(clang-analyzer-valist.Uninitialized) */
  va_end(arguments);
  return builder.root;
}
