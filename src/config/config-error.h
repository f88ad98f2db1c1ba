/* Errors of the configuration files. The message is one line that names the file, the field or
 * line, and what is wrong; it is printed as it is. */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum {
  MM_CONFIG_ERROR_UNREADABLE, /* the file cannot be read */
  MM_CONFIG_ERROR_SYNTAX,     /* the file is no TOML, or no XML */
  MM_CONFIG_ERROR_INVALID     /* a setting is missing, unknown, or has no valid value */
} MmConfigError;

#define MM_CONFIG_ERROR (mm_config_error_quark())
GQuark mm_config_error_quark(void);

G_END_DECLS
