/* The active format of the stored state, and whether this node supports it.
 *
 * A single durable key names the active format. All stored state is in the active format or in an
 * older format that the nodes can still read. If the key is absent, the active format is
 * MM_FORMAT_LOWEST.
 *
 * A node that does not support the active format might misread what other nodes write, and might
 * write what other nodes would misread. Such a node is therefore fenced: it acquires nothing,
 * writes nothing, and answers users and workers with 503. The process of a fenced node keeps
 * running. The node resumes work by itself once the key names a format that the node supports. */
#pragma once

#include "base/json.h"

#include "base/types.h"

/* The range of formats that this version of the software reads and writes. */
#define MM_FORMAT_LOWEST 1
#define MM_FORMAT_HIGHEST 1

/* Value of MmFormat.active if the key's value is not readable; also returned by
 * mm_record_decode_format in that case. */
#define MM_FORMAT_UNREADABLE 0

typedef struct MmFormat {
  guint64 lowest_supported;  /* MM_FORMAT_LOWEST, unless a test sets another value */
  guint64 highest_supported; /* MM_FORMAT_HIGHEST, unless a test sets another value */
  guint64 active;
  gboolean is_known; /* the key has been read or found absent */
} MmFormat;

/* Creates the state. The active format counts as unknown until mm_format_key_loaded is called. Free
 * the state with mm_format_free. */
MmFormat *mm_format_new(void);
void mm_format_free(MmFormat *format);
/* Sets the active format from the value of the format's key in the replica. If `value` is NULL, the
 * key is absent. */
void mm_format_key_changed(MmFormat *format, const MmJson *value);
/* Marks the active format as known. Must be called once the format's key and all keys before it in
 * key order have been read. */
void mm_format_key_loaded(MmFormat *format);
/* Returns whether this node knows and supports the active format. If the result is FALSE, the node
 * is fenced. */
gboolean mm_format_is_supported(const MmFormat *format);
