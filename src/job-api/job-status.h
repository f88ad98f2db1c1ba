/* Status of a job, as reported to its user.
 *
 * A status that may still change is checked against the key-value store, so that no response shows
 * an older state than an earlier response of any node. A terminal state may come from memory,
 * because it never changes. */
#pragma once

#include "job-api/job-api.h"
#include "job-api/user-request.h"

/* Returns the body of a status response as a new reference. `state` is WIRE_PENDING, WIRE_RUNNING
 * or WIRE_CANCELLED. */
MmJson *mm_job_state_to_json(const char *job_id, const char *state, guint n_completed,
                             guint n_running);
/* Reads the job record from the key-value store, then responds with the status of the job or, for a
 * cancellation, writes the cancellation. */
void mm_job_status_read_record(MmUserRequest *request);
/* Waits until the replica contains everything that was written before the request arrived, then
 * responds with the status that the replica shows. */
void mm_job_status_respond_from_replica(MmUserRequest *request);
/* Responds to the requests that wait for the states of dependencies: with the status if the states
 * are known, with 503 if the timeout has expired. */
void mm_job_status_tick(MmJobApi *job_api);
