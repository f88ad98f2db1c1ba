/* Reads TOML files into JSON values. The implementation is in C++ because Debian packages no TOML
 * library for C. */
#pragma once

#include <glib.h>
#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the contents of the file as a new JSON object, or NULL with an error in the
 * MM_CONFIG_ERROR domain. Dates and times become null. */
MmJson *mm_toml_read(const char *path, GError **error);

#ifdef __cplusplus
}
#endif
