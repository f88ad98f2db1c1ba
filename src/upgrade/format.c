#include "upgrade/format.h"

#include "base/log.h"
#include "kv/records.h"

MmFormat *
mm_format_new(void) {
  MmFormat *format = g_new0(MmFormat, 1);

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
    mm_info("active format changed active=%" G_GUINT64_FORMAT, format->active);
  else if (format->active == MM_FORMAT_UNREADABLE)
    mm_error("node fenced: format key unreadable");
  else
    mm_error("node fenced: active format not supported active=%" G_GUINT64_FORMAT
             " lowest=%" G_GUINT64_FORMAT " highest=%" G_GUINT64_FORMAT,
             format->active, format->lowest_supported, format->highest_supported);
}

void
mm_format_key_changed(MmFormat *format, const MmJson *value) {
  guint64 previous = format->active;

  format->active = value != NULL ? mm_record_decode_format(value) : MM_FORMAT_LOWEST;
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
