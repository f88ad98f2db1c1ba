/* The active format of the stored state, and whether this node supports it.
 *
 * A single durable key names the active format. All stored state is in that format or in an older
 * one that the nodes can still read. A node that does not support the active format might misread
 * what other nodes write, and write what they would misread. It is therefore fenced: it acquires
 * nothing, writes nothing and answers users and workers with 503. The process keeps running and
 * resumes work by itself once the key names a format that it supports. If the key is absent, the
 * active format is MM_FORMAT_LOWEST. */
#pragma once

#include <jansson.h>

#include "base/types.h"

/* The range of formats that this program reads and writes. */
#define MM_FORMAT_LOWEST 1
#define MM_FORMAT_HIGHEST 1

/* Value of `active` if the key is not readable, as returned by mm_record_decode_format. */
#define MM_FORMAT_UNREADABLE 0

typedef struct MmFormat {
  guint64 lowest_supported;  /* MM_FORMAT_LOWEST, unless a test sets another */
  guint64 highest_supported; /* MM_FORMAT_HIGHEST, likewise */
  guint64 active;
  gboolean is_known; /* the key has been read or found absent */
} MmFormat;

/* Creates the state; the active format is not known yet. Free it with mm_format_free. */
MmFormat *mm_format_new(void);
void mm_format_free(MmFormat *format);
/* Sets the active format from the value of the key in the replica; NULL means that the key is
 * absent. */
void mm_format_key_changed(MmFormat *format, const json_t *value);
/* Marks the active format as known. Must be called once all keys up to and including the format's
 * have been read. */
void mm_format_key_loaded(MmFormat *format);
/* Returns whether this node knows and supports the active format. If not, the node is fenced. */
gboolean mm_format_is_supported(const MmFormat *format);
