/* Status of a job for its user.
 *
 * A status that may still change is read through the key-value store, so that no response is older
 * than one that any node has given before. A terminal state never changes and may come from memory.
 */
#pragma once

#include "job-api/job-api.h"
#include "job-api/user-request.h"

/* The body of a status response; `state` is one of the WIRE_ words. */
json_t *mm_job_state_to_json(const char *job_id, const char *state, guint n_completed,
                             guint n_running);
/* Goes on with a status request or a cancellation by reading the job's record; responds in the
 * end. */
void mm_job_status_answer_from_record(MmUserRequest *request);
/* Responds with the status as the replica shows it, once that is as new as the request. */
void mm_job_status_answer_from_replica(MmUserRequest *request);
/* Responds to the requests that wait for dependencies, where these are known or time is up. */
void mm_job_status_tick(MmJobApi *job_api);
