/* Functions shared by pending-response.c (start requests, sending the response) and
 * pending-response-grants.c. */
#pragma once

#include "heartbeat-server/pending-response.h"

/* Answers the exchange with the queued commands, the cleanup commands and the approved starts that
 * are still valid. If this node may no longer answer workers, answers with status 503 instead.
 * Frees the response. */
void mm_pending_response_send(MmPendingResponse *response);
/* Obtains the grants for the approved starts, from this node or from a peer, and then sends the
 * response. The response is freed once it has been sent, which may happen during the call. */
void mm_pending_response_obtain_grants(MmPendingResponse *response);
