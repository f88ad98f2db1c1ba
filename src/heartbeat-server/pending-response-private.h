/* What the sources of pending responses share: pending-response.c (start requests, the response)
 * and pending-response-grants.c. */
#pragma once

#include "heartbeat-server/pending-response.h"

/* Answers the exchange with the queued commands and the approved starts that are still valid, or
 * 503 when this node may not answer any more. Frees the response. */
void mm_pending_response_send(MmPendingResponse *response);
/* Has the approved starts granted, here or by a peer, and sends the response after that. */
void mm_pending_response_obtain_grants(MmPendingResponse *response);
