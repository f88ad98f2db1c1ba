/* Encoding and decoding of the two records that the key-value store holds for a job.
 *
 * The job record (MM_KEY_JOB) exists while the job is unfinished. It contains the spec, the time of
 * submission, and only the state that must survive a failover: the completed tasks and a
 * cancellation. When the job ends, one transaction replaces it by the terminal record
 * (MM_KEY_TERMINAL_RECORD). Only job-record.c depends on the keys within the records. Unknown keys
 * are ignored, because other versions of the controller may write additional keys. */
#pragma once

#include "jobs/job-spec.h"

/* Returns a new job record. `completed_text` (see mm_completed_tasks_to_text) may be NULL. */
MmJson *mm_job_record_to_json(const MmJobSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                              const char *completed_text);
/* Parses the spec including its dependencies; clear it with mm_job_spec_clear. Returns FALSE if the
 * record is malformed; `*reason` is then static text, and there is nothing to clear. */
gboolean mm_job_record_parse_spec(const MmJson *record, MmJobSpec *spec, const char **reason);
/* Returns the time of day of the submission, in milliseconds. */
gint64 mm_job_record_submitted_at_ms(const MmJson *record);
/* Returns the completed tasks as text, owned by the record, or NULL if the record contains none. */
const char *mm_job_record_completed_text(const MmJson *record);
gboolean mm_job_record_is_cancelled(const MmJson *record);
gboolean mm_job_record_has_dependencies(const MmJson *record);
void mm_job_record_set_cancelled(MmJson *record);
/* Removes the completed tasks, which shortens the record of a cancelled job. */
void mm_job_record_clear_completed(MmJson *record);

/* How a job ended. */
typedef struct {
  gboolean is_cancelled;
  guint n_completed;      /* number of completed tasks */
  gint64 completed_at_ms; /* time of day, or MM_TIME_OF_DAY_UNKNOWN */
} MmTerminalState;

/* Value of completed_at_ms if the terminal record was written by a version of the controller that
 * did not store the time. */
#define MM_TIME_OF_DAY_UNKNOWN 0

MmJson *mm_terminal_record_to_json(const MmTerminalState *terminal);
/* Returns FALSE and leaves `terminal` unchanged if `record` is not a terminal record. */
gboolean mm_terminal_record_parse(const MmJson *record, MmTerminalState *terminal);
