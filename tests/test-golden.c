/* Compatibility with the production version, whose recorded data is in tests/golden. The current
 * code must read the records and frames of that version, and must write the same records for the
 * same jobs. */
#include "base/wire.h"
#include "machines/registry.h"
#include "jobs/job-table.h"
#include "peers.pb-c.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/versions.h"
#include "world/world.h"

static char *
golden_text(const char *name) {
  g_autofree char *path
      = g_build_filename(g_getenv("MM_SOURCE_ROOT"), "tests", "golden", name, NULL);
  char *text = NULL;

  g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
  return text;
}

static MmJson *
load_recorded_state(void) {
  g_autofree char *text = golden_text("production.json");
  MmJson *golden = mm_json_parse(text, strlen(text), NULL);

  g_assert_nonnull(golden);
  return golden;
}

/* Returns the text of the value as a node reads it. */
static char *
canonical_text(const MmJson *json) {
  g_autofree char *text = mm_json_to_text(json);
  g_autoptr(MmJson) read = mm_json_parse(text, strlen(text), NULL);

  return mm_json_to_sorted_text(read);
}

static gboolean
is_equal(const MmJson *a, const MmJson *b) {
  g_autofree char *a_text = canonical_text(a);
  g_autofree char *b_text = canonical_text(b);

  return strcmp(a_text, b_text) == 0;
}

static gboolean
strip_prefix(const char *path, const char *prefix, const char **rest) {
  *rest = g_str_has_prefix(path, prefix) ? path + strlen(prefix) : NULL;
  return *rest != NULL;
}

/* Returns a world whose key-value store holds `keys`. Nodes of the current code have been started
 * on these keys. Free with world_free(). */
static World *
world_with_keys(MmJson *keys) {
  World *world = world_new(1);
  const char *path;
  MmJson *value;

  MM_JSON_OBJECT_FOREACH (keys, path, value) {
    WorldKey *key = g_new(WorldKey, 1);
    *key = (WorldKey){ mm_json_ref(value), ++world->revision, 0 };
    g_tree_insert(world->keys, g_strdup(path), key);
  }
  world_start(world);
  world_run(world, 3);
  return world;
}

static void
check_job(const MmNode *node, const char *id, const MmJson *value) {
  const MmJob *job = mm_job_table_find(node->job_table, id);
  g_autofree char *done = NULL;
  g_autoptr(MmJson) written = NULL;

  g_assert_nonnull(job);
  g_assert_cmpint(job->is_cancelled, ==, mm_json_count(value, "c", 0) != 0);
  g_assert_cmpuint(job->spec.n_dependencies, ==, 0);
  done = mm_completed_tasks_to_text(&job->recorded_completed, 1000);
  written = mm_job_record_to_json(&job->spec, job->submitted_at_ms, job->is_cancelled, done);
  g_assert_true(is_equal(written, (MmJson *)value));
}

static void
check_pack(const MmNode *node, const MmJson *value) {
  size_t i;
  MmJson *entry;

  MM_JSON_ARRAY_FOREACH (mm_json_get(value, "v"), i, entry) {
    const MmMachine *machine = mm_machine_table_find(
        node->machine_table, mm_json_string_value(mm_json_array_get(entry, 0)));
    g_assert_nonnull(machine);
    g_assert_true(machine->is_in_registry);
    g_assert_cmpuint(machine->registered_incarnation, ==,
                     (guint64)mm_json_count_value(mm_json_array_get(entry, 5)));
    g_assert_cmpstr(machine->type_name.s, ==, mm_json_string_value(mm_json_array_get(entry, 2)));
  }
}

/* Checks that the current code writes each field that the production version wrote, with the same
 * value. Additional fields are allowed. */
static void
check_terminal_record(const MmJson *value) {
  MmTerminalState state;
  g_autoptr(MmJson) written = NULL;
  const char *field;
  MmJson *old;

  g_assert_true(mm_terminal_record_parse(value, &state));
  g_assert_cmpint(state.completed_at_ms, ==, 0);
  written = mm_terminal_record_to_json(&state);
  MM_JSON_OBJECT_FOREACH ((MmJson *)value, field, old)
    g_assert_true(is_equal(mm_json_get(written, field), old));
}

/* Nodes of the current code start on the state of the production version. The term that each node
 * then has is the recorded term or a later term. */
static void
test_nodes_start_on_production_state(void) {
  g_autoptr(MmJson) golden = load_recorded_state();
  MmJson *keys = mm_json_get(golden, "keys");
  guint64 term = mm_json_count(mm_json_get(keys, MM_KEY_TERM), "t", G_MAXUINT64);
  World *world = world_with_keys(keys);

  for (guint i = 0; i < WORLD_NODES; i++) {
    g_assert_true(world->nodes[i].node->replica->is_loaded);
    g_assert_cmpuint(world->nodes[i].node->replica->term.v, >=, term);
  }
  world_free(world);
}

typedef struct {
  guint jobs, cancelled, partly_done, packs, terminal_records;
} Counts;

static void
check_key(MmNode *node, const char *path, MmJson *value, Counts *counts) {
  const MmKeyVersion version = { 1000 };
  const char *rest;

  if (strip_prefix(path, MM_KEY_JOB, &rest)) {
    mm_job_table_put(node->job_table, rest, value, version);
    check_job(node, rest, value);
    counts->jobs++;
    counts->cancelled += mm_json_get(value, "c") != NULL;
    counts->partly_done += mm_json_get(value, "d") != NULL;
  } else if (strip_prefix(path, MM_KEY_REGISTRY_PACK, &rest)) {
    mm_registry_apply_pack(node->registry, rest, value, version);
    check_pack(node, value);
    counts->packs++;
  } else if (strip_prefix(path, MM_KEY_TERMINAL_RECORD, &rest)) {
    check_terminal_record(value);
    counts->terminal_records++;
  }
  /* The production version has no keys that announce the nodes' versions. */
  g_assert_false(strip_prefix(path, MM_KEY_NODE_VERSION, &rest));
}

/* Jobs, machines and terminal states of the production version are parsed correctly, and jobs and
 * terminal states are written as that version wrote them. */
static void
test_production_records_round_trip(void) {
  g_autoptr(MmJson) golden = load_recorded_state();
  World *world = world_new(2);
  Counts counts = { 0 };
  const char *path;
  MmJson *value;

  world_start(world);
  world_run(world, 3);
  MM_JSON_OBJECT_FOREACH (mm_json_get(golden, "keys"), path, value)
    check_key(world->nodes[0].node, path, value, &counts);
  g_assert_cmpuint(counts.jobs, >=, 3);
  g_assert_cmpuint(counts.cancelled, >=, 1);
  g_assert_cmpuint(counts.partly_done, >=, 1);
  g_assert_cmpuint(counts.terminal_records, >=, 3);
  g_assert_cmpuint(counts.packs, >=, 3);
  world_free(world);
}

static guint8 *
decode_hex(const char *text, gsize *length) {
  guint8 *bytes;

  *length = strlen(text) / 2;
  bytes = g_malloc(*length + 1);
  for (gsize i = 0; i < *length; i++)
    bytes[i]
        = (guint8)(g_ascii_xdigit_value(text[2 * i]) << 4 | g_ascii_xdigit_value(text[2 * i + 1]));
  return bytes;
}

/* Frames of the production version unpack without unknown fields and pack to identical bytes again.
 * This shows that no field is lost. */
static void
test_production_frames_round_trip(void) {
  g_autoptr(MmJson) golden = load_recorded_state();
  guint kinds = 0;
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (mm_json_get(golden, "frames"), i, item) {
    gsize length;
    g_autofree guint8 *bytes = decode_hex(mm_json_string(item, "bytes"), &length);
    g_autofree guint8 *again = g_malloc(length + 1);
    Mm__Frame *frame = mm__frame__unpack(NULL, length, bytes);
    g_assert_nonnull(frame);
    g_assert_cmpuint(frame->body_case, ==, mm_json_count(item, "kind", 0));
    g_assert_cmpuint(frame->base.n_unknown_fields, ==, 0);
    g_assert_cmpuint(mm__frame__get_packed_size(frame), ==, length);
    mm__frame__pack(frame, again);
    g_assert_cmpmem(again, length, bytes, length);
    kinds |= 1u << frame->body_case;
    mm__frame__free_unpacked(frame, NULL);
  }
  /* All kinds except `gone` (machine_gone), because no machine was lost in the recorded run. */
  g_assert_cmpuint(kinds, ==, 0x1ffe & ~(1u << MM__FRAME__BODY_MACHINE_GONE));
}

/* Message definitions */

static const struct {
  const char *name;
  ProtobufCType type;
} scalar_types[] = {
  { "bool", PROTOBUF_C_TYPE_BOOL },     { "double", PROTOBUF_C_TYPE_DOUBLE },
  { "string", PROTOBUF_C_TYPE_STRING }, { "uint32", PROTOBUF_C_TYPE_UINT32 },
  { "uint64", PROTOBUF_C_TYPE_UINT64 },
};

/* Parses the .proto text of the production version. Returns message name -> GPtrArray of lines,
 * each a field or `reserved N;`. Free with g_hash_table_unref(). */
static GHashTable *
parse_messages(const char *text) {
  GHashTable *messages
      = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
  GPtrArray *fields = NULL;

  for (guint i = 0; lines[i] != NULL; i++) {
    char *line = g_strstrip(lines[i]);
    if (g_str_has_prefix(line, "//"))
      continue;
    if (g_str_has_prefix(line, "message ")) {
      g_auto(GStrv) words = g_strsplit(line, " ", -1);
      fields = g_ptr_array_new_with_free_func(g_free);
      g_hash_table_insert(messages, g_strdup(words[1]), fields);
    } else if (fields != NULL && g_str_has_suffix(line, ";")) {
      g_ptr_array_add(fields, g_strdup(line));
    }
  }
  return messages;
}

static guint check_message(GHashTable *messages, const char *name,
                           const ProtobufCMessageDescriptor *descriptor);

/* Checks the type of a field; a message type is checked recursively. Returns the number of fields
 * checked. */
static guint
check_type(GHashTable *messages, const char *type, const ProtobufCFieldDescriptor *field) {
  for (guint i = 0; i < G_N_ELEMENTS(scalar_types); i++) {
    if (strcmp(type, scalar_types[i].name) != 0)
      continue;
    g_assert_cmpint(field->type, ==, scalar_types[i].type);
    /* proto3 packs repeated numeric fields. */
    if (field->label == PROTOBUF_C_LABEL_REPEATED && field->type != PROTOBUF_C_TYPE_STRING)
      g_assert_true(field->flags & PROTOBUF_C_FIELD_FLAG_PACKED);
    return 1;
  }
  g_assert_cmpint(field->type, ==, PROTOBUF_C_TYPE_MESSAGE);
  return 1 + check_message(messages, type, field->descriptor);
}

/* Checks one line of a production message: the descriptor has a field with this number, label and
 * type. The name may differ, since it is not sent. Returns the number of fields checked, including
 * those of the field's message type. */
static guint
check_field(GHashTable *messages, const char *line, const ProtobufCMessageDescriptor *descriptor) {
  g_auto(GStrv) words = g_strsplit(line, " ", -1);
  gboolean is_repeated = strcmp(words[0], "repeated") == 0;
  const char *equals = strstr(line, "= ");
  const ProtobufCFieldDescriptor *field;

  if (strcmp(words[0], "reserved") == 0) {
    guint number = (guint)g_ascii_strtoull(words[1], NULL, 10);
    g_assert_cmpuint(number, >, 0);
    g_assert_null(protobuf_c_message_descriptor_get_field(descriptor, number));
    return 1;
  }
  g_test_message("%s: %s", descriptor->name, line);
  g_assert_nonnull(equals);
  field = protobuf_c_message_descriptor_get_field(
      descriptor, (guint)g_ascii_strtoull(equals + strlen("= "), NULL, 10));
  g_assert_nonnull(field);
  g_assert_cmpint(field->label == PROTOBUF_C_LABEL_REPEATED, ==, is_repeated);
  return check_type(messages, words[is_repeated ? 1 : 0], field);
}

/* Checks a message at its first occurrence and removes it from the table. Returns the number of
 * fields checked; 0 when the message has been checked before. */
static guint
check_message(GHashTable *messages, const char *name,
              const ProtobufCMessageDescriptor *descriptor) {
  g_autoptr(GPtrArray) fields = NULL;
  g_autofree char *key = NULL;
  guint checked = 0;

  if (!g_hash_table_steal_extended(messages, name, (gpointer *)&key, (gpointer *)&fields))
    return 0;
  for (guint i = 0; i < fields->len; i++)
    checked += check_field(messages, g_ptr_array_index(fields, i), descriptor);
  return checked;
}

/* Each field of the production version's messages still exists with its number, label and type, and
 * no reserved number is used again. Therefore the production version can read current frames. */
static void
test_production_message_fields_are_kept(void) {
  g_autofree char *production_text = golden_text("production.proto");
  g_autoptr(GHashTable) messages = parse_messages(production_text);

  g_assert_nonnull(strstr(production_text, "syntax = \"proto3\";"));
  g_assert_cmpuint(check_message(messages, "Frame", &mm__frame__descriptor), >, 60);
  /* Every message is reachable from Frame, so all have been checked. */
  g_assert_cmpuint(g_hash_table_size(messages), ==, 0);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/golden/nodes-start-on-production-state", test_nodes_start_on_production_state);
  g_test_add_func("/golden/production-records-round-trip", test_production_records_round_trip);
  g_test_add_func("/golden/production-frames-round-trip", test_production_frames_round_trip);
  g_test_add_func("/golden/production-message-fields-are-kept",
                  test_production_message_fields_are_kept);
  return g_test_run();
}
