/* Log lines on standard error. The environment variable LOG_LEVEL selects the level.
 *
 * A line consists of the subject, the event and key=value pairs. A message longer than 1 KiB is
 * truncated. */
#pragma once

#include <glib.h>

typedef enum { MM_LOG_ERROR, MM_LOG_INFO, MM_LOG_DEBUG } MmLogLevel;

/* The most verbose level that is written. */
extern MmLogLevel mm_log_level;

/* Sets mm_log_level from LOG_LEVEL. If LOG_LEVEL is unset, the level is `info`. If the value of
 * LOG_LEVEL is not the name of a level, sets `info` and returns FALSE. */
gboolean mm_log_read_level(void);
/* Writes the line regardless of mm_log_level. Callers use mm_error, mm_info or mm_debug instead. */
void mm_log_write(MmLogLevel level, const char *format, ...) G_GNUC_PRINTF(2, 3);

#define mm_error(...) mm_log_write(MM_LOG_ERROR, __VA_ARGS__)
#define mm_info(...)                                                                               \
  do {                                                                                             \
    if (mm_log_level >= MM_LOG_INFO)                                                               \
      mm_log_write(MM_LOG_INFO, __VA_ARGS__);                                                      \
  } while (0)
#define mm_debug(...)                                                                              \
  do {                                                                                             \
    if (mm_log_level >= MM_LOG_DEBUG)                                                              \
      mm_log_write(MM_LOG_DEBUG, __VA_ARGS__);                                                     \
  } while (0)
