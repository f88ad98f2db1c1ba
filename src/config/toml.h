/* TOML read into JSON values. Debian has no TOML library for C, hence one small C++ file. */
#pragma once

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Reads the file as a JSON object; NULL with a reason (to be freed with free) when it can't. */
json_t *mm_toml_read(const char *path, char **reason);

#ifdef __cplusplus
}
#endif
