/* Obtains the grants for the approved starts of a response. A grant permits the start to use the
 * machine's resources and comes from the owner of the machine's group. */
#include "heartbeat-server/pending-response-private.h"

#include "peers/peer-links.h"

static void
request_grants(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  guint n_starts = response->approved_starts->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__GrantRequest request = MM__GRANT_REQUEST__INIT;
  g_autofree Mm__GrantStart *grant_starts = g_new(Mm__GrantStart, n_starts);
  g_autofree Mm__GrantStart **start_pointers = g_new(Mm__GrantStart *, n_starts);

  response->awaits_grants = TRUE;
  response->request_id = ++server->last_request_id;
  response->deadline = mm_time_add_ms(mm_node_now(server->node),
                                      (gint64)server->node->operators->start_request_timeout_ms);
  g_hash_table_insert(server->pending_responses, &response->request_id, response);
  for (guint i = 0; i < n_starts; i++) {
    MmApprovedStart *start = &g_array_index(response->approved_starts, MmApprovedStart, i);
    mm__grant_start__init(&grant_starts[i]);
    grant_starts[i].job = start->command.job.s;
    grant_starts[i].number = start->command.number;
    grant_starts[i].attempt = start->command.attempt.v;
    start_pointers[i] = &grant_starts[i];
  }
  request.id = response->request_id;
  request.machine = response->machine_id.s;
  request.incarnation = response->heartbeat_id.incarnation;
  request.sequence = response->heartbeat_id.sequence;
  request.term = response->grant_term.v;
  request.starts = start_pointers;
  request.n_starts = n_starts;
  frame.body_case = MM__FRAME__BODY_GRANT_REQUEST;
  frame.grant_request = &request;
  mm_peer_links_send(server->node->peer_links, response->grant_peer, &frame);
}

static void
grant_locally(MmPendingResponse *response) {
  MmSharing *sharing = response->server->node->sharing;
  MmMachine *machine
      = mm_machine_table_find(response->server->node->machine_table, response->machine_id.s);

  for (guint i = response->approved_starts->len; i > 0; i--) {
    const MmCommand *start
        = &g_array_index(response->approved_starts, MmApprovedStart, i - 1).command;
    MmGrant grant = { start->job, start->number, start->attempt, response->heartbeat_id };
    if (machine == NULL || !mm_sharing_may_grant(sharing, machine)
        || !mm_grants_try_grant(sharing->grants, machine, &grant))
      g_array_remove_index(response->approved_starts, i - 1);
  }
}

/* While sharing is active, an approved start is sent to the machine only if the owner of the
 * machine's group grants the resources for this start. */
void
mm_pending_response_obtain_grants(MmPendingResponse *response) {
  if (response->approved_starts->len > 0 && response->grant_source == MM_GRANTS_AT_PEER) {
    request_grants(response);
    return;
  }
  if (response->grant_source == MM_GRANTS_LOCAL)
    grant_locally(response);
  mm_pending_response_send(response);
}

void
mm_pending_response_handle_grant_response(MmHeartbeatServer *server, guint peer,
                                          const Mm__GrantResponse *reply) {
  guint64 request_id = reply->id;
  MmPendingResponse *response = g_hash_table_lookup(server->pending_responses, &request_id);

  if (response == NULL || !response->awaits_grants || response->grant_peer != peer
      || reply->n_granted != response->approved_starts->len)
    return;
  g_hash_table_remove(server->pending_responses, &request_id);
  for (guint i = response->approved_starts->len; i > 0; i--)
    if (!reply->granted[i - 1])
      g_array_remove_index(response->approved_starts, i - 1);
  mm_pending_response_send(response);
}
