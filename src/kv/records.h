/* Keys of the key-value store, and the codecs of its small records.
 *
 * All keys under MM_KEY_ROOT are watched and held in the replica (kv/replica.h). The codecs of job,
 * machine and machine group records are in the folders of those modules. Decoders don't take
 * ownership of the value. Decoders read a field that is missing or has the wrong type as empty or
 * 0. Encoders return a new reference. */
#pragma once

#include "base/json.h"

#include "base/types.h"

#define MM_KEY_ROOT "mm/r/"
/* The first watched key in key order. A node therefore reads the format before it reads any record
 * in that format. */
#define MM_KEY_FORMAT MM_KEY_ROOT "a-format"
/* The second watched key in key order. A node therefore knows the machine types when it reads
 * machines. */
#define MM_KEY_INSTANCE_TYPES MM_KEY_ROOT "a-types"
#define MM_KEY_TERM MM_KEY_ROOT "term"
#define MM_KEY_LIVE_NODE MM_KEY_ROOT "n/"
#define MM_KEY_SHARD MM_KEY_ROOT "p/"
#define MM_KEY_REGISTRY_PACK MM_KEY_ROOT "m/"
#define MM_KEY_JOB MM_KEY_ROOT "j/"
#define MM_KEY_NODE_VERSION MM_KEY_ROOT "v/"   /* per node: the version that the node supports */
#define MM_KEY_MACHINE_GROUPS MM_KEY_ROOT "g/" /* per node: machine groups that the node owns */
#define MM_KEY_NEVER_WRITTEN "mm/none"         /* read to learn the store's revision */
#define MM_KEY_TERMINAL_RECORD "mm/f/"         /* per ended job; not watched */

/* The lease id that stands for no lease. */
#define MM_NO_LEASE 0

/* A shard's record: the node that leads the shard, and the term in which that node acquired the
 * shard. The shard's key is bound to the leader's lease. */
typedef struct {
  MmName leader;
  guint64 lease_id;
  MmTerm term;
  MmKeyVersion version; /* version of the shard's key; not part of the encoded value */
} MmShard;

MmJson *mm_record_encode_shard(const MmShard *shard);
/* Decodes all fields except `version`, which is set to 0. */
MmShard mm_record_decode_shard(const MmJson *value);

/* Codec of the global term, the value of MM_KEY_TERM. */
MmJson *mm_record_encode_term(MmTerm term);
MmTerm mm_record_decode_term(const MmJson *value);

/* Codec of a live node's record, which contains the id of the node's lease. The record's key is
 * bound to that lease. */
MmJson *mm_record_encode_live_node(guint64 lease_id);
guint64 mm_record_decode_live_node(const MmJson *value);

/* What a node announces about itself, see upgrade/versions.h. */
typedef struct {
  guint version;
  guint group_count; /* machine groups in the node's settings; 0: none */
} MmNodeVersionRecord;

/* Encodes the record. A group count of 0 is left out. The value is then identical, byte for byte,
 * to the value that older nodes write. */
MmJson *mm_record_encode_node_version(const MmNodeVersionRecord *record);
MmNodeVersionRecord mm_record_decode_node_version(const MmJson *value);

/* Returns the active format (see upgrade/format.h), or 0 (MM_FORMAT_UNREADABLE) if the value is not
 * readable. */
guint64 mm_record_decode_format(const MmJson *value);
