#include "kv/records.h"

#include "base/json.h"

/* Fields of the shard, live node and term records. */
#define FIELD_LEADER "n"
#define FIELD_LEASE "c"
#define FIELD_TERM "t"
/* Fields of a node's version record. */
#define FIELD_VERSION "v"
#define FIELD_GROUPS "g"
/* Field of the format record. */
#define FIELD_FORMAT "f"

MmJson *
mm_record_encode_shard(const MmShard *shard) {
  return mm_json_pack("{s:s, s:I, s:I}", FIELD_LEADER, shard->leader.s, FIELD_LEASE,
                      shard->lease_id, FIELD_TERM, shard->term.v);
}

MmShard
mm_record_decode_shard(const MmJson *value) {
  return (MmShard){
    .leader = mm_name(mm_json_string(value, FIELD_LEADER)),
    .lease_id = mm_json_count(value, FIELD_LEASE, 0),
    .term = mm_record_decode_term(value),
  };
}

MmJson *
mm_record_encode_term(MmTerm term) {
  return mm_json_pack("{s:I}", FIELD_TERM, term.v);
}

MmTerm
mm_record_decode_term(const MmJson *value) {
  return (MmTerm){ mm_json_count(value, FIELD_TERM, 0) };
}

MmJson *
mm_record_encode_live_node(guint64 lease_id) {
  return mm_json_pack("{s:I}", FIELD_LEASE, lease_id);
}

guint64
mm_record_decode_live_node(const MmJson *value) {
  return mm_json_count(value, FIELD_LEASE, 0);
}

MmJson *
mm_record_encode_node_version(const MmNodeVersionRecord *record) {
  MmJson *value = mm_json_pack("{s:i}", FIELD_VERSION, (int)record->version);

  if (record->group_count > 0)
    mm_json_object_set(value, FIELD_GROUPS, mm_json_new_count(record->group_count));
  return value;
}

MmNodeVersionRecord
mm_record_decode_node_version(const MmJson *value) {
  return (MmNodeVersionRecord){
    .version = (guint)MIN(mm_json_count(value, FIELD_VERSION, 0), G_MAXUINT),
    .group_count = (guint)MIN(mm_json_count(value, FIELD_GROUPS, 0), G_MAXUINT),
  };
}

guint64
mm_record_decode_format(const MmJson *value) {
  const MmJson *format = mm_json_get(value, FIELD_FORMAT);

  return mm_json_is_count(format) && mm_json_count_value(format) > 0
             ? (guint64)mm_json_count_value(format)
             : 0;
}
