/* Levelled logs to standard error, at the level that LOG_LEVEL sets. */
#pragma once

#include <glib.h>

typedef enum { MM_LOG_ERROR, MM_LOG_INFO, MM_LOG_DEBUG } MmLogLevel;

extern MmLogLevel mm_log_level;

/* Reads LOG_LEVEL; FALSE when it names no level (then `info` holds). */
gboolean mm_log_read_level(void);
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
