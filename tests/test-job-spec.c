#include <math.h>

#include "base/wire.h"
#include "machines/machine-table.h"
#include "jobs/job-spec.h"

static const char complete_spec[]
    = "{\"nameId\":\"run-000412\",\"guild\":\"train\",\"flock\":\"vision\",\"gait\":\"group\","
      "\"rank\":\"urgent\",\"kits\":16,\"cores\":8.0,\"accelerators\":1.0,\"memGb\":64.0,"
      "\"pelt\":\"img-07\",\"sizeGb\":6.2,\"breeds\":[\"g8\"],\"den\":null,\"together\":true,"
      "\"spread\":false,\"strays\":true,\"runGuessS\":240.0,\"cacheEveryS\":30.0,"
      "\"cacheTakeS\":4.0,\"dueS\":900.0,\"later\":[1]}";

static MmJson *
parse_complete_spec(void) {
  MmJson *body = mm_json_parse(complete_spec, strlen(complete_spec), NULL);

  g_assert_nonnull(body);
  return body;
}

static void
test_complete_spec_is_parsed(void) {
  g_autoptr(MmJson) body = parse_complete_spec();
  g_autoptr(MmJson) stored = NULL;
  const char *reason = NULL;
  MmJobSpec spec, reparsed;

  g_assert_true(mm_job_spec_parse(&spec, body, &reason));
  g_assert_cmpuint(spec.n_tasks, ==, 16);
  g_assert_cmpint(spec.kind, ==, MM_JOB_KIND_GANG);
  g_assert_cmpint(spec.priority, ==, MM_PRIORITY_URGENT);
  g_assert_true(spec.requires_one_zone && spec.allows_spot && !spec.spreads_over_zones);
  g_assert_true(mm_name_is_empty(&spec.zone));
  stored = mm_job_spec_to_json(&spec);
  g_assert_true(mm_job_spec_parse(&reparsed, stored, &reason));
  g_assert_cmpfloat(reparsed.deadline_s, ==, 900);
  g_assert_cmpuint(reparsed.n_allowed_types, ==, 1);
  mm_job_spec_clear(&spec);
  mm_job_spec_clear(&reparsed);
}

/* Asserts that a specification in which the field has this value is refused, with an error that
 * names the field. If `value` is NULL, the field is missing. Takes ownership of `value`. */
static void
assert_field_is_refused(const char *field, MmJson *value) {
  g_autoptr(MmJson) body = parse_complete_spec();
  const char *reason = NULL;
  MmJobSpec spec;

  if (value == NULL)
    mm_json_object_remove(body, field);
  else
    mm_json_object_set(body, field, value);
  g_assert_false(mm_job_spec_parse(&spec, body, &reason));
  g_assert_nonnull(strstr(reason, field));
}

/* Every field that must not be null has to be present and of the right type. Otherwise the error
 * names the field. */
static void
test_malformed_fields_are_refused(void) {
  const struct {
    const char *field;
    MmJson *value;
  } cases[] = {
    { WIRE_JOB_ID, mm_json_new_string("job-1") },
    { WIRE_JOB_ID, mm_json_new_string("run-") },
    { WIRE_JOB_ID, mm_json_new_count(4) },
    { WIRE_CLASS, NULL },
    { WIRE_TEAM, mm_json_new_null() },
    { WIRE_KIND, mm_json_new_string("gang") },
    { WIRE_PRIORITY, mm_json_new_string("top") },
    { WIRE_TASKS, mm_json_new_count(0) },
    { WIRE_TASKS, mm_json_new_count(100001) },
    { WIRE_TASKS, mm_json_new_real(2.5) },
    { WIRE_CORES, mm_json_new_real(-1) },
    { WIRE_CORES, mm_json_new_string("2") },
    { WIRE_MEMORY, NULL },
    { WIRE_ACCELERATORS, NULL },
    { WIRE_IMAGE, mm_json_new_string("") },
    { WIRE_IMAGE_GB, mm_json_new_boolean(TRUE) },
    { WIRE_TYPES, mm_json_new_string("g8") },
    { WIRE_TYPES, mm_json_pack("[i]", 1) },
    { WIRE_ZONE, mm_json_new_count(1) },
    { WIRE_ONE_ZONE, mm_json_new_string("yes") },
    { WIRE_SPREAD, NULL },
    { WIRE_SPOT, mm_json_new_count(1) },
    { WIRE_ESTIMATE, NULL },
    { WIRE_CHECKPOINT_INTERVAL, mm_json_new_real(-2) },
    { WIRE_CHECKPOINT_DURATION, mm_json_new_real(1e13) },
    { WIRE_DEADLINE, mm_json_new_string("soon") },
  };

  for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
    assert_field_is_refused(cases[i].field, cases[i].value);
}

static void
test_non_objects_are_refused(void) {
  const char *const texts[] = { "3", "[]", "\"run-1\"", "null" };
  const char *reason = NULL;
  MmJobSpec spec;

  g_assert_false(mm_job_spec_parse(&spec, NULL, &reason));
  for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
    g_autoptr(MmJson) body = mm_json_parse(texts[i], strlen(texts[i]), NULL);
    g_assert_false(mm_job_spec_parse(&spec, body, &reason));
  }
}

/* Guards against the refusal of a sound job for a number above 2^63 - 1 in a field that is unknown.
 */
static void
test_large_integer_in_unknown_field_is_taken(void) {
  static const char unknown_field[] = "{\"x_labels\":{\"größe\":\"日本語 ✓\","
                                      "\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,"
                                      "\"none\":null,\"l\":[[],{},true],\"deep\":[[[[[]]]]]},";
  g_autofree char *text = g_strconcat(unknown_field, complete_spec + 1, NULL);
  g_autoptr(MmJson) body = mm_json_parse(text, strlen(text), NULL);
  const char *reason = NULL;
  MmJobSpec spec;

  g_assert_true(mm_job_spec_parse(&spec, body, &reason));
  g_assert_cmpuint(spec.n_tasks, ==, 16);
  mm_job_spec_clear(&spec);
}

/* A task's number that does not fit must not become that of another task. */
static void
test_heartbeat_with_large_task_number_is_refused(void) {
  static const char text[] = "{\"burrow\":\"m-1\",\"tenure\":1,\"tick\":1,\"kits\":[{\"kit\":"
                             "\"run-1/4294967299\",\"try\":2,\"mood\":\"running\"}]}";
  g_autoptr(MmJson) body = mm_json_parse(text, strlen(text), NULL);
  const char *reason = NULL;
  MmHeartbeat heartbeat;

  g_assert_nonnull(body);
  g_assert_false(mm_heartbeat_parse(&heartbeat, body, &reason));
  mm_heartbeat_clear(&heartbeat);
}

static void
test_heartbeat_message_is_parsed(void) {
  static const char text[]
      = "{\"burrow\":\"m-000231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\",\"den\":\"a\","
        "\"strays\":true,\"tenure\":1,\"tick\":88,\"warrant\":41,\"warningS\":12.5,\"kits\":["
        "{\"kit\":\"run-000412/3\",\"try\":2,\"mood\":\"running\"},"
        "{\"kit\":\"run-000398/0\",\"try\":1,\"mood\":\"ended\",\"cause\":\"no_room\"}]}";
  g_autoptr(MmJson) body = mm_json_parse(text, strlen(text), NULL);
  const char *reason = NULL;
  MmHeartbeat heartbeat;
  const MmReportedTask *tasks;

  g_assert_true(mm_heartbeat_parse(&heartbeat, body, &reason));
  g_assert_true(heartbeat.has_termination_notice && heartbeat.is_spot);
  g_assert_cmpuint(heartbeat.fencing_token.v, ==, 41);
  tasks = (const MmReportedTask *)heartbeat.tasks->data;
  g_assert_cmpstr(tasks[0].job.s, ==, "run-000412");
  g_assert_cmpuint(tasks[0].number, ==, 3);
  g_assert_cmpint(tasks[1].state, ==, MM_REPORTED_ENDED);
  g_assert_cmpint(tasks[1].cause, ==, MM_CAUSE_NO_RESOURCES);
  mm_heartbeat_clear(&heartbeat);
  mm_json_object_set(mm_json_array_get(mm_json_get(body, "kits"), 0), "kit",
                     mm_json_new_string("x"));
  g_assert_false(mm_heartbeat_parse(&heartbeat, body, &reason));
  mm_heartbeat_clear(&heartbeat);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/job-spec/complete-spec-is-parsed", test_complete_spec_is_parsed);
  g_test_add_func("/job-spec/malformed-fields-are-refused", test_malformed_fields_are_refused);
  g_test_add_func("/job-spec/non-objects-are-refused", test_non_objects_are_refused);
  g_test_add_func("/job-spec/large-integer-in-unknown-field-is-taken",
                  test_large_integer_in_unknown_field_is_taken);
  g_test_add_func("/heartbeat/message-is-parsed", test_heartbeat_message_is_parsed);
  g_test_add_func("/heartbeat/large-task-number-is-refused",
                  test_heartbeat_with_large_task_number_is_refused);
  return g_test_run();
}
