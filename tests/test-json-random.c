/* Random JSON texts: each sound one is taken by all nodes alike, and a broken byte ends or blocks
 * none. Longer by hand: test-json-random -m slow. */
#include "base/wire.h"
#include "heartbeat/heartbeat.h"
#include "jobs/job-spec.h"
#include "json-texts.h"
#include "world/world.h"

#define SEED 43
#define TEXTS 3000
#define TEXTS_OF_LONG_RUN 300000
#define TEXTS_TO_NODES 40
#define BODY_MAX_BYTES (64 * 1024)
#define UNKNOWN_FIELDS_MAX_BYTES (32 * 1024)
#define ANSWER_WITHIN_S 6

static const JsonTextField job_fields[] = {
  { "guild", "\"work\"" },     { "flock", "\"team-0\"" }, { "gait", "\"array\"" },
  { "rank", "\"normal\"" },    { "kits", "3" },           { "cores", "2.0" },
  { "accelerators", "0.0" },   { "memGb", "4" },          { "pelt", "\"img-1\"" },
  { "sizeGb", "0.5" },         { "together", "false" },   { "spread", "false" },
  { "strays", "true" },        { "runGuessS", "240.25" }, { "cacheEveryS", "0.0" },
  { "cacheTakeS", "0" },       { "dueS", "900" },         { "den", "null" },
  { "breeds", "[\"small\"]" }, { "awaits", "[]" },        { "nameId", "\"run-000412\"" },
};

static const JsonTextField heartbeat_fields[] = {
  { "burrow", "\"m-000231\"" },
  { "addr", "\"10.1.0.232:9000\"" },
  { "breed", "\"small\"" },
  { "den", "\"a\"" },
  { "strays", "true" },
  { "tenure", "1" },
  { "tick", "88" },
  { "warrant", "41" },
  { "warningS", "null" },
  { "kits", "[{\"x\":[1e999,\"\\ud800\"],\"kit\":\"run-000412/3\",\"try\":18446744073709551615,"
            "\"mood\":\"running\"}]" },
};

/* The specification that job_fields describe, as the program stores it. */
static const char expected_spec[]
    = "{\"nameId\":\"run-000412\",\"guild\":\"work\",\"flock\":\"team-0\",\"gait\":\"array\","
      "\"rank\":\"normal\",\"kits\":3,\"cores\":2.0,\"accelerators\":0.0,\"memGb\":4.0,"
      "\"pelt\":\"img-1\",\"sizeGb\":0.5,\"breeds\":[\"small\"],\"together\":false,"
      "\"spread\":false,\"strays\":true,\"runGuessS\":240.25,\"cacheEveryS\":0.0,"
      "\"cacheTakeS\":0.0,\"dueS\":900.0}";

static guint
number_of_texts(void) {
  return g_test_slow() ? TEXTS_OF_LONG_RUN : TEXTS;
}

static void
assert_text_is_sound_job(const char *text, const char *expected) {
  MmJsonError error = { 0 };
  g_autoptr(MmJson) json = mm_json_parse(text, strlen(text), &error);
  g_autoptr(MmJson) stored = NULL;
  g_autofree char *stored_text = NULL;
  const char *reason = NULL;
  MmJobSpec spec;

  if (!mm_job_spec_parse(&spec, json, &reason))
    g_error("refused: %s: %s at byte %" G_GSIZE_FORMAT ": %s", reason, error.reason, error.position,
            text);
  stored = mm_job_spec_to_json(&spec);
  stored_text = mm_json_to_text(stored);
  g_assert_cmpstr(stored_text, ==, expected);
  mm_job_spec_clear(&spec);
}

/* Guards against sound submissions that are refused, or read differently, for their spelling. */
static void
test_sound_submissions_are_taken(void) {
  GRand *random = g_rand_new_with_seed(SEED);

  for (guint i = 0; i < number_of_texts(); i++) {
    g_autofree char *text
        = json_texts_object(random, job_fields, G_N_ELEMENTS(job_fields), UNKNOWN_FIELDS_MAX_BYTES);
    g_assert_cmpuint(strlen(text), <=, BODY_MAX_BYTES);
    assert_text_is_sound_job(text, expected_spec);
  }
  g_rand_free(random);
}

/* Guards against machines that fall silent for an unknown field in their reports. */
static void
test_sound_heartbeats_are_taken(void) {
  GRand *random = g_rand_new_with_seed(SEED);

  for (guint i = 0; i < number_of_texts(); i++) {
    g_autofree char *text = json_texts_object(
        random, heartbeat_fields, G_N_ELEMENTS(heartbeat_fields), UNKNOWN_FIELDS_MAX_BYTES);
    g_autoptr(MmJson) json = mm_json_parse(text, strlen(text), NULL);
    g_auto(MmHeartbeat) heartbeat = { 0 };
    const char *reason = NULL;
    if (!mm_heartbeat_parse(&heartbeat, json, &reason))
      g_error("refused: %s: %s", reason, text);
    g_assert_cmpstr(heartbeat.machine_id.s, ==, "m-000231");
    g_assert_cmpuint(heartbeat.heartbeat_id.sequence, ==, 88);
    g_assert_cmpuint(heartbeat.tasks->len, ==, 1);
    g_assert_cmpuint(g_array_index(heartbeat.tasks, MmReportedTask, 0).attempt.v, ==, G_MAXUINT64);
  }
  g_rand_free(random);
}

/* A text with a broken byte is taken or refused, and what is refused has a position in the text. */
static void
test_broken_bytes_are_handled(void) {
  GRand *random = g_rand_new_with_seed(SEED);

  for (guint i = 0; i < number_of_texts(); i++) {
    g_autofree char *text
        = json_texts_object(random, job_fields, G_N_ELEMENTS(job_fields), UNKNOWN_FIELDS_MAX_BYTES);
    gsize length = strlen(text), last_bracket = (gsize)(strrchr(text, '}') - text);
    MmJsonError error = { 0 };
    g_autoptr(MmJson) json = NULL;
    const char *reason = NULL;
    MmJobSpec spec;

    /* An object that ends before its closing bracket is never taken. */
    g_assert_null(
        mm_json_parse(text, (gsize)g_rand_int_range(random, 0, (gint32)last_bracket + 1), NULL));
    text[g_rand_int_range(random, 0, (gint32)length)] = (char)g_rand_int_range(random, 0, 256);
    json = mm_json_parse(text, length, &error);
    g_assert_cmpint(json == NULL, ==, error.reason != NULL);
    g_assert_cmpuint(error.position, <=, length);
    if (mm_job_spec_parse(&spec, json, &reason))
      mm_job_spec_clear(&spec);
  }
  g_rand_free(random);
}

typedef struct {
  int statuses[3]; /* by node */
} Answers;

static void
submit_to_node(World *world, guint node, const char *text, int *status) {
  g_autoptr(MmJson) body = mm_json_parse(text, strlen(text), NULL);

  *status = -1;
  world_send_request(world, node, NULL, "POST", WIRE_JOBS_PATH, mm_json_ref(body),
                     ANSWER_WITHIN_S * (gint64)G_USEC_PER_SEC, world_record_status, status);
}

/* Three nodes take the same job in three spellings as one job. */
static void
test_nodes_take_each_spelling_alike(void) {
  GRand *random = g_rand_new_with_seed(SEED);
  World *world = world_new(SEED);

  world_add_machines(world, 6, "small", 2);
  world_start(world);
  world_run(world, 8);
  for (guint i = 0; i < TEXTS_TO_NODES; i++) {
    JsonTextField fields[G_N_ELEMENTS(job_fields)];
    g_autofree char *id = g_strdup_printf("\"run-9%05u\"", i);
    Answers answers;

    memcpy(fields, job_fields, sizeof fields);
    fields[G_N_ELEMENTS(fields) - 1].value = id;
    for (guint node = 0; node < G_N_ELEMENTS(answers.statuses); node++) {
      g_autofree char *text
          = json_texts_object(random, fields, G_N_ELEMENTS(fields), UNKNOWN_FIELDS_MAX_BYTES);
      submit_to_node(world, node, text, &answers.statuses[node]);
      world_run(world, 1);
    }
    g_assert_cmpint(answers.statuses[0], ==, 201);
    g_assert_cmpint(answers.statuses[1], ==, 200);
    g_assert_cmpint(answers.statuses[2], ==, 200);
  }
  world_free(world);
  g_rand_free(random);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/json-random/sound-submissions-are-taken", test_sound_submissions_are_taken);
  g_test_add_func("/json-random/sound-heartbeats-are-taken", test_sound_heartbeats_are_taken);
  g_test_add_func("/json-random/broken-bytes-are-handled", test_broken_bytes_are_handled);
  g_test_add_func("/json-random/nodes-take-each-spelling-alike",
                  test_nodes_take_each_spelling_alike);
  return g_test_run();
}
