#include "heartbeat/pending-response.h"

#include "base/wire.h"
#include "placement/backlog.h"
#include "scheduler/admission.h"
#include "leases/node-lease.h"
#include "peers/peer-links.h"
#include "kv/replica.h"
#include "kv/kv-client.h"

#define FAILED_REQUESTS_MAX 4
#define CONFIRMATIONS_MAX 16

static void
pending_response_free(MmPendingResponse *response) {
  g_array_unref(response->approved_starts);
  g_array_unref(response->tried_tasks);
  g_free(response);
}

/* ---- jobs that the replica does not know ---- */

typedef struct {
  MmHeartbeatServer *server;
  MmName job_id;
} TerminalConfirmation;

static void
terminal_state_received(gpointer data, int status, json_t *body) {
  TerminalConfirmation *confirmation = data;

  if (status == 200)
    mm_job_table_add_terminal_record(confirmation->server->node->job_table, confirmation->job_id.s,
                                     mm_json_get(body, WIRE_VALUE));
  g_hash_table_remove(confirmation->server->jobs_being_confirmed, confirmation->job_id.s);
  g_free(confirmation);
}

static void
confirm_job_is_terminal(MmHeartbeatServer *server, const MmName *job_id) {
  TerminalConfirmation *confirmation;

  if (g_hash_table_size(server->jobs_being_confirmed) >= CONFIRMATIONS_MAX
      || g_hash_table_contains(server->jobs_being_confirmed, job_id->s)
      || mm_kv_client_is_refused(server->node->kv))
    return;
  g_hash_table_add(server->jobs_being_confirmed, g_strdup(job_id->s));
  confirmation = g_new(TerminalConfirmation, 1);
  *confirmation = (TerminalConfirmation){ server, *job_id };
  mm_kv_client_get(server->node->kv, MM_KEY_TERMINAL_RECORD, job_id->s, terminal_state_received,
                   confirmation);
}

/* What of these tasks has to go, whoever holds their parts. That a job is cancelled needs no judge:
 * an answer that leaves its tasks alone renews their lease, and with the holder refused by the
 * state service alone, and then nobody able to take its parts, they once ran on for as long. A job
 * without a record is over, unless the replica lags: only a final state that has been seen allows
 * its tasks to be cleared away. */
void
mm_heartbeat_server_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                         json_t *commands) {
  MmJobTable *job_table = server->node->job_table;

  for (guint i = 0; i < tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(tasks, MmReportedTask, i);
    const MmJob *job = mm_job_table_find(job_table, reported->job.s);
    MmCommand command = { reported->state == MM_REPORTED_ENDED ? MM_OP_FORGET : MM_OP_STOP,
                          reported->job, reported->number, reported->attempt, 0 };
    if (job != NULL ? job->is_cancelled && reported->state != MM_REPORTED_ENDED
                    : mm_job_table_is_over(job_table, reported->job.s))
      json_array_append_new(commands, mm_command_to_json(&command));
    else if (job == NULL)
      confirm_job_is_terminal(server, &reported->job);
  }
}

/* ---- answers ---- */

static gboolean
start_is_still_valid(const MmPendingResponse *response, const MmApprovedStart *start) {
  const MmHeartbeatServer *server = response->server;
  const MmShard *shard = mm_replica_shard(server->node->replica, start->shard.s);
  const MmJob *job = mm_job_table_find(server->node->job_table, start->command.job.s);

  /* Adopting a term drops the approvals and the grants of superseded owners. */
  return mm_sharing_grant_is_current(server->node->sharing, response->machine_id.s,
                                     response->grant_term)
         && shard != NULL && shard->term.v == start->shard_term.v
         && (job != NULL ? !job->is_cancelled
                         : !mm_job_table_is_over(server->node->job_table, start->command.job.s));
}

void
mm_heartbeat_server_send_commands(const MmNode *node, MmHttpExchange *exchange, json_t *commands) {
  mm_http_exchange_respond(exchange, 200,
                           json_pack("{s:I, s:o}", WIRE_TOKEN, (json_int_t)node->replica->term.v,
                                     WIRE_COMMANDS, commands),
                           0);
}

static void
send_response(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  MmNode *node = server->node;
  MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine_id.s);
  json_t *commands;

  /* Without the machine's entry nothing is known of what must stop there. */
  if (!mm_node_lease_may_answer_workers(node->node_lease) || machine == NULL) {
    mm_http_exchange_respond(response->exchange, 503, mm_json_error("not entitled to answer"), 0);
    pending_response_free(response);
    return;
  }
  commands = json_array();
  if (machine->queued_incarnation == response->heartbeat_id.incarnation)
    for (guint i = 0; i < machine->queued_commands->len; i++)
      json_array_append_new(
          commands, mm_command_to_json(&g_array_index(machine->queued_commands, MmCommand, i)));
  g_array_set_size(machine->queued_commands, 0);
  mm_heartbeat_server_add_cleanup_commands(server, machine->reported_tasks, commands);
  for (guint i = 0; i < response->approved_starts->len; i++) {
    const MmApprovedStart *start = &g_array_index(response->approved_starts, MmApprovedStart, i);
    if (start_is_still_valid(response, start))
      json_array_append_new(commands, mm_command_to_json(&start->command));
  }
  mm_heartbeat_server_send_commands(node, response->exchange, commands);
  pending_response_free(response);
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
  mm_peer_links_send(server->node->peer_links, (guint)response->choice.view - 1, &frame);
}

/* ---- grants of the machine's resources ---- */

static void
request_grants(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  guint n_starts = response->approved_starts->len;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__GrantRequest request = MM__GRANT_REQUEST__INIT;
  g_autofree Mm__GrantStart *items = g_new(Mm__GrantStart, n_starts);
  g_autofree Mm__GrantStart **list = g_new(Mm__GrantStart *, n_starts);

  response->awaits_grants = TRUE;
  response->request_id = ++server->last_request_id;
  response->deadline
      = mm_time_add_ms(mm_node_now(server->node), (gint64)server->node->operators->ask_timeout_ms);
  g_hash_table_insert(server->pending_responses, &response->request_id, response);
  for (guint i = 0; i < n_starts; i++) {
    MmApprovedStart *start = &g_array_index(response->approved_starts, MmApprovedStart, i);
    mm__grant_start__init(&items[i]);
    items[i].job = start->command.job.s;
    items[i].number = start->command.number;
    items[i].attempt = start->command.attempt.v;
    list[i] = &items[i];
  }
  request.id = response->request_id;
  request.machine = response->machine_id.s;
  request.incarnation = response->heartbeat_id.incarnation;
  request.sequence = response->heartbeat_id.sequence;
  request.term = response->grant_term.v;
  request.starts = list;
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

/* The approved starts need their resources granted by whoever owns the machine's group. */
static void
obtain_grants(MmPendingResponse *response) {
  if (response->approved_starts->len > 0 && response->grant_source == MM_GRANTS_AT_PEER) {
    request_grants(response);
    return;
  }
  if (response->grant_source == MM_GRANTS_HERE)
    grant_locally(response);
  send_response(response);
}

void
mm_pending_response_grants_answered(MmHeartbeatServer *server, guint peer,
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
  send_response(response);
}

/* One request after another until the room is used, nothing fits or time is up. */
static void
request_next_start(MmPendingResponse *response) {
  MmHeartbeatServer *server = response->server;
  MmNode *node = server->node;
  guint limit = (guint)node->operators->starts_per_answer;

  while (response->approved_starts->len < limit && response->failed_requests < FAILED_REQUESTS_MAX
         && mm_time_before(mm_node_now(node), response->deadline)) {
    MmMachine *machine = mm_machine_table_find(node->machine_table, response->machine_id.s);
    MmApproval approval;
    MmStartRequest request;

    if (machine == NULL
        || mm_heartbeat_id_is_newer(machine->latest_message_id, response->heartbeat_id)
        || !mm_machine_is_usable(node->machine_table, machine))
      break;
    response->choice = mm_placement_choose(node->placement, machine, response->available,
                                           response->tried_tasks, response->exhausted_views);
    if (response->choice.view < 0)
      break;
    if (response->choice.view > 0) {
      if (!node->peer_links->peers[response->choice.view - 1].is_up) {
        record_refusal(response);
        response->exhausted_views |= 1u << response->choice.view;
        continue;
      }
      send_start_request(response);
      return;
    }
    request = (MmStartRequest){ .machine = machine,
                                .heartbeat_id = response->heartbeat_id,
                                .free_resources = response->available,
                                .is_local = TRUE,
                                .is_pull = response->choice.is_pull,
                                .n_tasks = response->choice.n_tasks };
    memcpy(request.tasks, response->choice.tasks, sizeof request.tasks);
    if (mm_scheduler_approve_start(node->scheduler, &request, &approval))
      add_approved_start(response, &approval);
    else
      record_refusal(response);
  }
  obtain_grants(response);
}

void
mm_pending_response_start_answered(MmHeartbeatServer *server, guint peer,
                                   const Mm__StartResponse *reply) {
  guint64 request_id = reply->id;
  MmPendingResponse *response = g_hash_table_lookup(server->pending_responses, &request_id);

  /* Too late: its answer has gone out without it, and the machine's next report denies it. */
  if (response == NULL || response->awaits_grants || response->choice.view != (gint)peer + 1)
    return;
  g_hash_table_remove(server->pending_responses, &request_id);
  server->node->placement->views[peer + 1].n_pending_tasks = reply->unfinished;
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
  response->deadline = mm_time_add_ms(mm_node_now(node), (gint64)node->operators->ask_timeout_ms);
  return response;
}

void
mm_pending_response_begin(MmHeartbeatServer *server, const MmHeartbeat *heartbeat,
                          MmMachine *machine, MmHttpExchange *exchange) {
  MmPendingResponse *response = pending_response_new(server, heartbeat, machine, exchange);

  /* Where nobody can grant resources, nothing is asked for: it would only be denied later. */
  if (response->grant_source == MM_GRANTS_NOWHERE)
    send_response(response);
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
      send_response(response);
    else
      obtain_grants(response);
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
