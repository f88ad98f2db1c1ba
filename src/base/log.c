#include "base/log.h"

#include <stdio.h>
#include <string.h>

MmLogLevel mm_log_level = MM_LOG_ERROR;

gboolean
mm_log_read_level(void) {
  const char *level_name = g_getenv("LOG_LEVEL");

  mm_log_level = MM_LOG_INFO;
  if (level_name == NULL || strcmp(level_name, "info") == 0)
    return TRUE;
  if (strcmp(level_name, "error") == 0)
    mm_log_level = MM_LOG_ERROR;
  else if (strcmp(level_name, "debug") == 0)
    mm_log_level = MM_LOG_DEBUG;
  else
    return FALSE;
  return TRUE;
}

void
mm_log_write(MmLogLevel level, const char *format, ...) {
  static const char *const level_names[] = { "error", "info", "debug" };
  char line[1024];
  va_list args;

  va_start(args, format);
  g_vsnprintf(line, sizeof line, format, args);
  va_end(args);
  fprintf(stderr, "%s: %s\n", level_names[level], line);
}
