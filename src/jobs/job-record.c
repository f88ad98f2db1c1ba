#include "jobs/job-record.h"

#include "base/wire.h"

/* Keys of the job record. */
#define KEY_SPEC "s"
#define KEY_SUBMITTED_AT_MS "at"
#define KEY_DEPENDENCIES "w" /* text, see mm_job_spec_dependencies_to_text; absent: none */
#define KEY_COMPLETED "d"    /* text, see mm_completed_tasks_to_text; absent: none */
#define KEY_CANCELLED "c"    /* 1; absent: not cancelled */

/* Keys of the terminal record. */
#define KEY_OUTCOME "m" /* WIRE_DONE or WIRE_CANCELLED */
#define KEY_N_COMPLETED "n"
#define KEY_COMPLETED_AT_MS "t"

MmJson *
mm_job_record_to_json(const MmJobSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                      const char *completed_text) {
  g_autofree char *dependencies = mm_job_spec_dependencies_to_text(spec);
  MmJson *record = mm_json_pack("{s:o, s:I}", KEY_SPEC, mm_job_spec_to_json(spec),
                                KEY_SUBMITTED_AT_MS, (guint64)submitted_at_ms);

  if (dependencies != NULL)
    mm_json_object_set(record, KEY_DEPENDENCIES, mm_json_new_string(dependencies));
  if (completed_text != NULL && completed_text[0] != '\0')
    mm_json_object_set(record, KEY_COMPLETED, mm_json_new_string(completed_text));
  if (is_cancelled)
    mm_job_record_set_cancelled(record);
  return record;
}

gboolean
mm_job_record_parse_spec(const MmJson *record, MmJobSpec *spec, const char **reason) {
  if (!mm_job_spec_parse(spec, mm_json_get(record, KEY_SPEC), reason))
    return FALSE;
  if (mm_job_spec_parse_dependencies(spec, mm_json_string(record, KEY_DEPENDENCIES)))
    return TRUE;
  *reason = "malformed dependencies";
  mm_job_spec_clear(spec);
  return FALSE;
}

gint64
mm_job_record_submitted_at_ms(const MmJson *record) {
  return (gint64)mm_json_count(record, KEY_SUBMITTED_AT_MS, 0);
}

const char *
mm_job_record_completed_text(const MmJson *record) {
  return mm_json_string(record, KEY_COMPLETED);
}

gboolean
mm_job_record_is_cancelled(const MmJson *record) {
  return mm_json_count(record, KEY_CANCELLED, 0) != 0;
}

gboolean
mm_job_record_has_dependencies(const MmJson *record) {
  return mm_json_get(record, KEY_DEPENDENCIES) != NULL;
}

void
mm_job_record_set_cancelled(MmJson *record) {
  mm_json_object_set(record, KEY_CANCELLED, mm_json_new_count(1));
}

void
mm_job_record_clear_completed(MmJson *record) {
  mm_json_object_remove(record, KEY_COMPLETED);
}

MmJson *
mm_terminal_record_to_json(const MmTerminalState *terminal) {
  return mm_json_pack("{s:s, s:I, s:I}", KEY_OUTCOME,
                      terminal->is_cancelled ? WIRE_CANCELLED : WIRE_DONE, KEY_N_COMPLETED,
                      (guint64)terminal->n_completed, KEY_COMPLETED_AT_MS,
                      (guint64)terminal->completed_at_ms);
}

gboolean
mm_terminal_record_parse(const MmJson *record, MmTerminalState *terminal) {
  const char *outcome = mm_json_string(record, KEY_OUTCOME);

  if (g_strcmp0(outcome, WIRE_CANCELLED) != 0 && g_strcmp0(outcome, WIRE_DONE) != 0)
    return FALSE;
  *terminal = (MmTerminalState){
    strcmp(outcome, WIRE_CANCELLED) == 0, (guint)mm_json_count(record, KEY_N_COMPLETED, 0),
    (gint64)mm_json_count(record, KEY_COMPLETED_AT_MS, MM_TIME_OF_DAY_UNKNOWN)
  };
  return TRUE;
}
