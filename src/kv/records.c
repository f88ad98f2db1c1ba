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

json_t *
mm_record_encode_shard(const MmShard *shard) {
  return json_pack("{s:s, s:I, s:I}", FIELD_LEADER, shard->leader.s, FIELD_LEASE,
                   (json_int_t)shard->lease_id, FIELD_TERM, (json_int_t)shard->term.v);
}

MmShard
mm_record_decode_shard(const json_t *value) {
  return (MmShard){
    .leader = mm_name(mm_json_string(value, FIELD_LEADER)),
    .lease_id = mm_json_count(value, FIELD_LEASE, 0),
    .term = mm_record_decode_term(value),
  };
}

json_t *
mm_record_encode_term(MmTerm term) {
  return json_pack("{s:I}", FIELD_TERM, (json_int_t)term.v);
}

MmTerm
mm_record_decode_term(const json_t *value) {
  return (MmTerm){ mm_json_count(value, FIELD_TERM, 0) };
}

json_t *
mm_record_encode_live_node(guint64 lease_id) {
  return json_pack("{s:I}", FIELD_LEASE, (json_int_t)lease_id);
}

guint64
mm_record_decode_live_node(const json_t *value) {
  return mm_json_count(value, FIELD_LEASE, 0);
}

json_t *
mm_record_encode_node_version(const MmNodeVersionRecord *record) {
  json_t *value = json_pack("{s:i}", FIELD_VERSION, (int)record->version);

  if (record->group_count > 0)
    json_object_set_new(value, FIELD_GROUPS, json_integer(record->group_count));
  return value;
}

MmNodeVersionRecord
mm_record_decode_node_version(const json_t *value) {
  return (MmNodeVersionRecord){
    .version = (guint)MIN(mm_json_count(value, FIELD_VERSION, 0), G_MAXUINT),
    .group_count = (guint)MIN(mm_json_count(value, FIELD_GROUPS, 0), G_MAXUINT),
  };
}

guint64
mm_record_decode_format(const json_t *value) {
  const json_t *format = mm_json_get(value, FIELD_FORMAT);

  return json_is_integer(format) && json_integer_value(format) > 0
             ? (guint64)json_integer_value(format)
             : 0;
}
