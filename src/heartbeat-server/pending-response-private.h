/* Functions shared by pending-response.c (start requests, sending the response) and
 * pending-response-grants.c. */
#pragma once

#include "heartbeat-server/pending-response.h"

/* Answers the exchange with the queued commands and the approved starts that are still valid, or
 * with status 503 if this node may no longer answer workers. Frees the response. */
void mm_pending_response_send(MmPendingResponse *response);
/* Obtains the grants for the approved starts, from this node or from a peer, then sends the
 * response. Frees the response, possibly during the call. */
void mm_pending_response_obtain_grants(MmPendingResponse *response);
