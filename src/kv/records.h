/* Keys and small records of the key-value store, and their codecs.
 *
 * All keys under MM_KEY_ROOT are watched and stand in the replica (kv/replica.h). Records of jobs,
 * machines and machine groups have their codecs in the folders of these. Decoders take what is
 * missing or of another type as empty or 0; values are lent, encoders return a new reference. */
#pragma once

#include <jansson.h>

#include "base/types.h"

#define MM_KEY_ROOT "mm/r/"
/* First in order, so that nothing is read in a format that is not known. */
#define MM_KEY_FORMAT MM_KEY_ROOT "a-format"
/* Second in order, so that machines which are read later find their types. */
#define MM_KEY_INSTANCE_TYPES MM_KEY_ROOT "a-types"
#define MM_KEY_TERM MM_KEY_ROOT "term"
#define MM_KEY_LIVE_NODE MM_KEY_ROOT "n/"
#define MM_KEY_SHARD MM_KEY_ROOT "p/"
#define MM_KEY_REGISTRY_PACK MM_KEY_ROOT "m/"
#define MM_KEY_JOB MM_KEY_ROOT "j/"
#define MM_KEY_NODE_VERSION MM_KEY_ROOT "v/"   /* which version each node supports */
#define MM_KEY_MACHINE_GROUPS MM_KEY_ROOT "g/" /* which machine groups each node owns */
#define MM_KEY_NEVER_WRITTEN "mm/none"
#define MM_KEY_TERMINAL_RECORD "mm/f/" /* of jobs; not watched */

/* A lease id that stands for no lease. */
#define MM_NO_LEASE 0

/* A shard's record: who leads it, since which term. Its key is bound to the leader's lease. */
typedef struct {
  MmName leader;
  guint64 lease_id;
  MmTerm term;
  MmKeyVersion version; /* of the key; not part of the value */
} MmShard;

json_t *mm_record_encode_shard(const MmShard *shard);
/* Leaves the version 0. */
MmShard mm_record_decode_shard(const json_t *value);

/* The global term. */
json_t *mm_record_encode_term(MmTerm term);
MmTerm mm_record_decode_term(const json_t *value);

/* A live node's key: the node's lease, to which the key is bound. */
json_t *mm_record_encode_live_node(guint64 lease_id);
guint64 mm_record_decode_live_node(const json_t *value);

/* What a node announces of itself, see upgrade/versions.h. */
typedef struct {
  guint version;
  guint group_count; /* machine groups; 0: none */
} MmNodeVersionRecord;

/* A group count of 0 is left out: the value is the same, to the byte, as that of older nodes. */
json_t *mm_record_encode_node_version(const MmNodeVersionRecord *record);
MmNodeVersionRecord mm_record_decode_node_version(const json_t *value);

/* The active format, see upgrade/format.h; 0: not readable. */
guint64 mm_record_decode_format(const json_t *value);
