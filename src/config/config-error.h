/* Errors in the configuration files. The message is a single line that gives the file, the field or
 * line number, and the problem. The message is printed to the user unchanged. */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum {
  MM_CONFIG_ERROR_UNREADABLE, /* the file could not be read */
  MM_CONFIG_ERROR_SYNTAX,     /* the file is not well-formed TOML or XML */
  MM_CONFIG_ERROR_INVALID     /* a setting is missing or unknown, or its value is invalid */
} MmConfigError;

#define MM_CONFIG_ERROR (mm_config_error_quark())
GQuark mm_config_error_quark(void);

G_END_DECLS
