/* The codec of the two records that the key-value store keeps of a job.
 *
 * The job record (MM_KEY_JOB) exists while the job is unfinished: its spec, and of its state only
 * what a failover must not lose, the completed tasks and a cancellation. The terminal record
 * (MM_KEY_TERMINAL_RECORD) takes its place in one transaction when the job ends. No other file
 * knows the records' keys. Functions never fail on unknown keys: another version may add some. */
#pragma once

#include "jobs/job-spec.h"

/* A new job record. `completed_text` (see mm_completed_tasks_to_text) may be NULL. */
json_t *mm_job_record_to_json(const MmJobSpec *spec, gint64 submitted_at_ms, gboolean is_cancelled,
                              const char *completed_text);
/* Reads the spec with its dependencies; to be cleared by mm_job_spec_clear. FALSE, with a static
 * reason and nothing to clear, when the record is malformed. */
gboolean mm_job_record_parse_spec(const json_t *record, MmJobSpec *spec, const char **reason);
/* Time of day. */
gint64 mm_job_record_submitted_at_ms(const json_t *record);
/* The completed tasks as text, lent; NULL: none. */
const char *mm_job_record_completed_text(const json_t *record);
gboolean mm_job_record_is_cancelled(const json_t *record);
gboolean mm_job_record_has_dependencies(const json_t *record);
void mm_job_record_set_cancelled(json_t *record);
/* Drops the completed tasks, to make a record of a cancelled job shorter. */
void mm_job_record_clear_completed(json_t *record);

/* How a job ended. */
typedef struct {
  gboolean is_cancelled;
  guint n_completed;      /* tasks */
  gint64 completed_at_ms; /* time of day, or MM_TIME_OF_DAY_UNKNOWN */
} MmTerminalState;

/* The record was written by a version that did not store the time. */
#define MM_TIME_OF_DAY_UNKNOWN 0

json_t *mm_terminal_record_to_json(const MmTerminalState *terminal);
/* FALSE, and `terminal` untouched, when it is no terminal record. */
gboolean mm_terminal_record_parse(const json_t *record, MmTerminalState *terminal);
