/* Cancellation of a job by its user.
 *
 * A cancellation is confirmed only once it is durable and every node that may still respond to a
 * worker knows it. From then on no response starts a task of the job or lets one continue. */
#pragma once

#include "job-api/job-api.h"
#include "job-api/user-request.h"

/* Writes the cancellation to the job record, which was read at this version into request->record,
 * then continues with mm_job_cancellation_respond. */
void mm_job_cancellation_write(MmUserRequest *request, MmKeyVersion version);
/* Responds to a request whose cancellation is durable: 200 as soon as every node that may respond
 * to workers knows it, or 503 after a timeout. */
void mm_job_cancellation_respond(MmUserRequest *request);
/* Broadcasts the cancellations that await acknowledgements again, and responds 503 to the requests
 * whose timeout has expired. */
void mm_job_cancellation_tick(MmJobApi *job_api);
