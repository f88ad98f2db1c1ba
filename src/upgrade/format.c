#include "upgrade/format.h"

#include "base/json.h"

/* The field of the key's value. */
#define FIELD_FORMAT "f"

MmFormat *
mm_format_new(MmNode *node) {
  MmFormat *format = g_new0(MmFormat, 1);

  format->node = node;
  format->lowest_supported = MM_FORMAT_LOWEST;
  format->highest_supported = MM_FORMAT_HIGHEST;
  format->active = MM_FORMAT_LOWEST;
  return format;
}

void
mm_format_free(MmFormat *format) {
  g_free(format);
}

static gboolean
supports_active(const MmFormat *format) {
  return format->active >= format->lowest_supported && format->active <= format->highest_supported;
}

static void
log_active_format(const MmFormat *format) {
  if (supports_active(format))
    mm_info("format changed active=%" G_GUINT64_FORMAT, format->active);
  else if (format->active == MM_FORMAT_UNREADABLE)
    mm_error("format key unreadable, node fenced");
  else
    mm_error("format not supported, node fenced active=%" G_GUINT64_FORMAT
             " lowest=%" G_GUINT64_FORMAT " highest=%" G_GUINT64_FORMAT,
             format->active, format->lowest_supported, format->highest_supported);
}

void
mm_format_key_changed(MmFormat *format, const json_t *value) {
  const json_t *number = mm_json_get(value, FIELD_FORMAT);
  guint64 previous = format->active;

  if (value == NULL)
    format->active = MM_FORMAT_LOWEST;
  else if (json_is_integer(number) && json_integer_value(number) > 0)
    format->active = (guint64)json_integer_value(number);
  else
    format->active = MM_FORMAT_UNREADABLE;
  if (format->active != previous)
    log_active_format(format);
}

void
mm_format_key_loaded(MmFormat *format) {
  format->is_known = TRUE;
}

gboolean
mm_format_is_supported(const MmFormat *format) {
  return format->is_known && supports_active(format);
}
