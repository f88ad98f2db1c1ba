/* Cancellation of a job by its user.
 *
 * It is confirmed only when it is durable and every node that may still answer a worker knows it.
 * From then on no response starts one of the job's tasks or lets one go on. */
#pragma once

#include "job-api/job-api.h"
#include "job-api/user-request.h"

/* Writes the cancellation into the job record that was read at this version, then goes on. */
void mm_job_cancellation_write(MmUserRequest *request, MmKeyVersion version);
/* The cancellation is durable: responds as soon as every node knows it, or 503 after a while. */
void mm_job_cancellation_answer(MmUserRequest *request);
/* Announces the cancellations that wait for acknowledgements again, and gives up overdue ones. */
void mm_job_cancellation_tick(MmJobApi *job_api);
