/* The format in which the service's state is written, and whether this node may take part in it.
 *
 * One durable key names the active format. Everything in the state service is in that format or an
 * older one that the nodes still read. A node that does not know the active format could misread
 * what the others write and write what they would misread: it is fenced. It grants nothing,
 * acquires nothing, writes nothing, answers users and workers 503, and stays up, so that it goes on
 * by itself should the key be set right. Without the key the format is the first. */
#pragma once

#include "node/node.h"

/* What this program reads and writes. */
#define MM_FORMAT_LOWEST 1
#define MM_FORMAT_HIGHEST 1

/* `active` when the key is not readable. */
#define MM_FORMAT_UNREADABLE 0

struct MmFormat {
  MmNode *node;
  guint64 lowest_supported; /* as above; tests set others */
  guint64 highest_supported;
  guint64 active;
  gboolean is_known; /* the state service has been read as far as the key */
};

MmFormat *mm_format_new(MmNode *node);
void mm_format_free(MmFormat *format);
/* The key, as the replica shows it; NULL: it is gone. */
void mm_format_key_changed(MmFormat *format, const json_t *value);
/* All keys up to the format's have been read once. */
void mm_format_key_loaded(MmFormat *format);
/* Whether the node may do anything at all: it knows the active format, and can handle it. */
gboolean mm_format_is_supported(const MmFormat *format);
