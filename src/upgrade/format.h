/* The active format of the stored state, and whether this node supports it.
 *
 * One durable key names the active format. All stored state is in that format or an older one that
 * the nodes still read. A node that does not support the active format could misread what the
 * others write and write what they would misread, so it is fenced: it acquires nothing, writes
 * nothing, answers users and workers 503, and stays up, so that it resumes by itself once the key
 * names a format that it supports. Without the key the format is MM_FORMAT_LOWEST. */
#pragma once

#include <jansson.h>

#include "base/types.h"

/* The formats that this program reads and writes. */
#define MM_FORMAT_LOWEST 1
#define MM_FORMAT_HIGHEST 1

/* Value of `active` when the key is not readable, as mm_record_decode_format returns it. */
#define MM_FORMAT_UNREADABLE 0

typedef struct MmFormat {
  guint64 lowest_supported; /* MM_FORMAT_LOWEST and _HIGHEST; tests set others */
  guint64 highest_supported;
  guint64 active;
  gboolean is_known; /* the key, or its absence, has been read */
} MmFormat;

MmFormat *mm_format_new(void);
void mm_format_free(MmFormat *format);
/* Takes over the value of the key as the replica shows it; NULL: the key is absent. */
void mm_format_key_changed(MmFormat *format, const json_t *value);
/* To be called once all keys up to the format's have been read. */
void mm_format_key_loaded(MmFormat *format);
/* Whether this node knows the active format and supports it; it may do nothing otherwise. */
gboolean mm_format_is_supported(const MmFormat *format);
