/* Counts and logs the submissions that are refused for good (400 and 422). */
#pragma once

#include "base/json.h"

typedef enum {
  MM_REFUSAL_NOT_JSON,      /* 400: the body is not a JSON text */
  MM_REFUSAL_INVALID_FIELD, /* 400: a field is missing or invalid */
  MM_REFUSAL_TOO_LONG,      /* 400: the job's record would not fit into the key-value store */
  MM_REFUSAL_NEVER_RUNS,    /* 422: the job can never run */
  MM_N_REFUSALS
} MmRefusal;

/* Returns the HTTP status of the response. */
int mm_refusal_status(MmRefusal refusal);

/* Counters of one node. Initialized with zeros. */
typedef struct {
  guint64 counts[MM_N_REFUSALS];
  guint64 n_not_logged; /* refusals since the last line that was logged */
  MmTime interval_began_at;
  guint n_logged_in_interval;
} MmRefusals;

/* Counts a refusal, and logs it unless many were logged within the last second. `job_id` may be
 * NULL if it is unknown. `reason` must not quote the content of the request. */
void mm_refusals_record(MmRefusals *refusals, MmTime now, MmRefusal refusal, const char *job_id,
                        const char *reason);
