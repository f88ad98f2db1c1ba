/* Reads TOML files into JSON values. Debian has no TOML library for C, hence one small C++ file. */
#pragma once

#include <glib.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The file's tables as a new JSON object; NULL with an error of MM_CONFIG_ERROR. Dates become null.
 */
json_t *mm_toml_read(const char *path, GError **error);

#ifdef __cplusplus
}
#endif
