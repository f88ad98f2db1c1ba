/* Log lines on standard error, at the level that the environment variable LOG_LEVEL sets.
 *
 * A line names subject and event, then key=value. Lines longer than 1 KiB are cut. */
#pragma once

#include <glib.h>

typedef enum { MM_LOG_ERROR, MM_LOG_INFO, MM_LOG_DEBUG } MmLogLevel;

/* Lines above it are not written. */
extern MmLogLevel mm_log_level;

/* Sets the level by LOG_LEVEL, `info` without it; FALSE when it names no level (then `info`, too).
 */
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
