/* Cancellation of a job by its user.
 *
 * A cancellation is confirmed only once it is durable and every node that may still respond to a
 * worker knows it. From then on no response to a worker starts a task of the job or lets a task of
 * the job continue. */
#pragma once

#include "job-api/job-api.h"
#include "job-api/user-request.h"

/* Writes the cancellation to the job record, then continues with mm_job_cancellation_respond.
 * `version` is the version at which the job record was read into request->record. */
void mm_job_cancellation_write(MmUserRequest *request, MmKeyVersion version);
/* Responds to a request whose cancellation is durable: 200 as soon as every node that may respond
 * to workers knows the cancellation, or 503 after a timeout. */
void mm_job_cancellation_respond(MmUserRequest *request);
/* Broadcasts the cancellations that await acknowledgements again, and responds 503 to the requests
 * whose timeout has expired. */
void mm_job_cancellation_tick(MmJobApi *job_api);
