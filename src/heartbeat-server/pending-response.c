#include "heartbeat-server/pending-response-private.h"

#include "base/wire.h"
#include "heartbeat-server/heartbeat-response.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "peers/peer-links.h"
#include "scheduler/admission.h"

/* Maximum number of refused or unsendable start requests for one response. After this many failed
 * requests, no further starts are requested for the response. */
#define FAILED_REQUESTS_MAX 4
/* Indexes of placement views. A negative index means that no view was chosen. The view of the peer
 * with index k has the index VIEW_OF_FIRST_PEER + k. */
#define VIEW_OF_THIS_NODE 0
#define VIEW_OF_FIRST_PEER 1

static void
pending_response_free(MmPendingResponse *response) {
  g_array_unref(response->approved_starts);
  g_array_unref(response->tried_tasks);
  g_free(response);
}

static gboolean
start_is_still_valid(const MmPendingResponse *response, const MmApprovedStart *start) {
  const MmHeartbeatServer *server = response->server;
  const MmShard *shard = mm_replica_shard(server->node->replica, start->shard.s);
  const MmJob *job = mm_job_table_find(server->node->job_table, start->command.job.s);

  /* A newer term invalidates the approvals of earlier shard leaders and the grants of earlier group
   * owners. */
  return mm_sharing_grant_is_current(server->node->sharing, response->machine_id.s,
                                     response->grant_term)
         && shard != NULL && shard->term.v == start->shard_term.v
         && (job != NULL ? !job->is_cancelled
                         : !mm_job_table_has_ended(server->node->job_table, start->command.job.s));
}

void
mm_pending_response_send(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine_id.s);
  g_autoptr(GArray) commands = NULL;

  /* Without an entry in the machine table, this node does not know which tasks must be stopped on
   * the machine. */
  if (!mm_node_lease_may_answer_workers(node->node_lease) || machine == NULL) {
    mm_http_exchange_respond(response->exchange, 503, mm_json_error("not entitled to answer"), 0);
    pending_response_free(response);
    return;
  }
  commands = g_array_new(FALSE, TRUE, sizeof(MmCommand));
  if (machine->queued_incarnation == response->heartbeat_id.incarnation)
    g_array_append_vals(commands, machine->queued_commands->data, machine->queued_commands->len);
  g_array_set_size(machine->queued_commands, 0);
  mm_heartbeat_response_add_cleanup_commands(server, machine->reported_tasks, commands);
  for (guint i = 0; i < response->approved_starts->len; i++) {
    const MmApprovedStart *start = &g_array_index(response->approved_starts, MmApprovedStart, i);
    if (start_is_still_valid(response, start))
      g_array_append_val(commands, start->command);
  }
  mm_heartbeat_response_send(response->exchange, node->replica->term, commands);
  pending_response_free(response);
}

/* Start requests */

static guint
chosen_peer(const MmPendingResponse *response) {
  return (guint)(response->choice.view - VIEW_OF_FIRST_PEER);
}

static void
add_approved_start(MmPendingResponse *response, const MmApproval *approval) {
  MmHeartbeatServer *server = response->server;
  const MmJob *job = mm_job_table_find(server->node->job_table, approval->job.s);
  MmApprovedStart start = { { MM_OP_START, approval->job, approval->number, approval->attempt, 0 },
                            approval->shard,
                            approval->term };

  g_array_append_val(response->approved_starts, start);
  if (job == NULL)
    response->available = (MmResources){ 0 };
  else if (!approval->was_reserved)
    response->available = mm_resources_sub(response->available, job->spec.task_resources);
  mm_placement_remove_candidate(server->node->placement, (guint)response->choice.view,
                                approval->job.s, approval->number);
}

static void
record_refusal(MmPendingResponse *response) {
  response->failed_requests++;
  if (response->choice.n_tasks == 0)
    response->exhausted_views |= 1u << response->choice.view;
  g_array_append_vals(response->tried_tasks, response->choice.tasks, response->choice.n_tasks);
}

static void
send_start_request(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__StartRequest request = MM__START_REQUEST__INIT;
  Mm__TaskRef task_refs[MM_PLACEMENT_CANDIDATES_MAX];
  Mm__TaskRef *ref_pointers[MM_PLACEMENT_CANDIDATES_MAX];

  response->request_id = ++server->last_request_id;
  g_hash_table_insert(server->pending_responses, &response->request_id, response);
  request.id = response->request_id;
  request.machine = response->machine_id.s;
  request.incarnation = response->heartbeat_id.incarnation;
  request.sequence = response->heartbeat_id.sequence;
  request.cores = response->available.cores;
  request.accelerators = response->available.accelerators;
  request.memory_gb = response->available.memory_gb;
  request.pull = response->choice.is_pull;
  for (guint i = 0; i < response->choice.n_tasks; i++) {
    mm__task_ref__init(&task_refs[i]);
    task_refs[i].job = response->choice.tasks[i].job.s;
    task_refs[i].number = response->choice.tasks[i].number;
    ref_pointers[i] = &task_refs[i];
  }
  request.candidates = ref_pointers;
  request.n_candidates = response->choice.n_tasks;
  frame.body_case = MM__FRAME__BODY_START_REQUEST;
  frame.start_request = &request;
  mm_peer_links_send(server->node->peer_links, chosen_peer(response), &frame);
}

/* Sends the chosen start request to the peer whose placement view was chosen. Returns FALSE if the
 * link to that peer is down. */
static gboolean
request_start_from_peer(MmPendingResponse *response) {
  const MmPeerLinks *links = response->server->node->peer_links;

  if (links->peers[chosen_peer(response)].is_up) {
    send_start_request(response);
    return TRUE;
  }
  record_refusal(response);
  response->exhausted_views |= 1u << response->choice.view;
  return FALSE;
}

static void
request_start_here(MmPendingResponse *response, MmMachine *machine) {
  MmApproval approval;
  MmStartRequest request = { .machine = machine,
                             .heartbeat_id = response->heartbeat_id,
                             .free_resources = response->available,
                             .is_local = TRUE,
                             .is_pull = response->choice.is_pull,
                             .n_tasks = response->choice.n_tasks };

  memcpy(request.tasks, response->choice.tasks, sizeof request.tasks);
  if (mm_scheduler_approve_start(response->server->node->scheduler, &request, &approval))
    add_approved_start(response, &approval);
  else
    record_refusal(response);
}

static gboolean
may_request_more(const MmPendingResponse *response) {
  const MmNode *node = response->server->node;

  return response->approved_starts->len < (guint)node->operators->max_starts_per_response
         && response->failed_requests < FAILED_REQUESTS_MAX
         && mm_time_before(mm_node_now(node), response->deadline);
}

/* Returns whether the machine may be given work and has sent no newer message than the heartbeat
 * that this response answers. */
static gboolean
machine_may_start_tasks(const MmPendingResponse *response, const MmMachine *machine) {
  return machine != NULL
         && !mm_heartbeat_id_is_newer(machine->latest_message_id, response->heartbeat_id)
         && mm_machine_is_usable(response->server->node->machine_table, machine);
}

/* Sends one start request after another until no task fits, a limit is reached or the deadline has
 * passed. After the last request, obtains the grants for the approved starts. */
static void
request_next_start(MmPendingResponse *response) {
  MmNode *node = response->server->node;

  while (may_request_more(response)) {
    MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine_id.s);

    if (!machine_may_start_tasks(response, machine))
      break;
    response->choice = mm_placement_choose(node->placement, machine, response->available,
                                           response->tried_tasks, response->exhausted_views);
    if (response->choice.view < VIEW_OF_THIS_NODE)
      break;
    if (response->choice.view == VIEW_OF_THIS_NODE)
      request_start_here(response, machine);
    else if (request_start_from_peer(response))
      return;
  }
  mm_pending_response_obtain_grants(response);
}

void
mm_pending_response_handle_start_response(MmHeartbeatServer *server, guint peer,
                                          const Mm__StartResponse *reply) {
  guint64 request_id = reply->id;
  MmPendingResponse *response = g_hash_table_lookup(server->pending_responses, &request_id);

  /* The peer's reply came too late and is ignored. The heartbeat response has been or will be sent
   * without the start, and the machine's next heartbeat will show that the task was not started. */
  if (response == NULL || response->awaits_grants || response->choice.view < VIEW_OF_FIRST_PEER
      || chosen_peer(response) != peer)
    return;
  g_hash_table_remove(server->pending_responses, &request_id);
  server->node->placement->views[VIEW_OF_FIRST_PEER + peer].n_pending_tasks
      = reply->n_pending_tasks;
  if (reply->approval != NULL) {
    MmApproval approval
        = { mm_name(reply->approval->job),  reply->approval->number,   { reply->approval->attempt },
            mm_name(reply->approval->team), { reply->approval->term }, FALSE };
    add_approved_start(response, &approval);
  } else {
    record_refusal(response);
  }
  request_next_start(response);
}

/* Creation, expiry and shutdown */

static MmPendingResponse *
pending_response_new(MmHeartbeatServer *server, const MmHeartbeat *heartbeat, MmMachine *machine,
                     MmHttpExchange *exchange) {
  MmNode *node = server->node;
  MmPendingResponse *response = g_new0(MmPendingResponse, 1);

  response->server = server;
  response->exchange = exchange;
  response->machine_id = heartbeat->machine_id;
  response->heartbeat_id = heartbeat->heartbeat_id;
  response->approved_starts = g_array_new(FALSE, TRUE, sizeof(MmApprovedStart));
  response->tried_tasks = g_array_new(FALSE, TRUE, sizeof(MmTaskRef));
  response->available = mm_machine_available_resources(node->machine_table, machine);
  response->grant_source = mm_sharing_grant_source(node->sharing, machine, &response->grant_peer,
                                                   &response->grant_term);
  response->deadline
      = mm_time_add_ms(mm_node_now(node), (gint64)node->operators->start_request_timeout_ms);
  return response;
}

void
mm_pending_response_begin(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                          MmMachine *machine, MmHttpExchange *exchange) {
  MmPendingResponse *response = pending_response_new(server, heartbeat, machine, exchange);

  /* Start requests are skipped while no node can grant resources, because no start would be
   * granted. */
  if (response->grant_source == MM_GRANTS_UNAVAILABLE)
    mm_pending_response_send(response);
  else
    request_next_start(response);
}

void
mm_pending_responses_expire(MmHeartbeatServer *server) {
  MmTime now = mm_node_now(server->node);
  g_autoptr(GPtrArray) expired = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, server->pending_responses);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (!mm_time_before(now, ((MmPendingResponse *)value)->deadline))
      g_ptr_array_add(expired, value);
  for (guint i = 0; i < expired->len; i++) {
    MmPendingResponse *response = g_ptr_array_index(expired, i);
    g_hash_table_remove(server->pending_responses, &response->request_id);
    if (response->awaits_grants)
      g_array_set_size(response->approved_starts, 0);
    if (response->awaits_grants || response->grant_source == MM_GRANTS_NOT_NEEDED)
      mm_pending_response_send(response);
    else
      mm_pending_response_obtain_grants(response);
  }
}

void
mm_pending_responses_refuse_all(MmHeartbeatServer *server) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, server->pending_responses);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    mm_http_exchange_respond(((MmPendingResponse *)value)->exchange, 503, NULL, 0);
    pending_response_free(value);
  }
}
