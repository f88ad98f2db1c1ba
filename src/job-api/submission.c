/* Submission of a job (mm_job_api_submit): validates the spec, looks up the dependencies, writes
 * the job record, and only then responds. */
#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "autoscaler/instance-types.h"
#include "job-api/job-api.h"
#include "job-api/job-capacity.h"
#include "job-api/job-status.h"
#include "job-api/user-request.h"
#include "kv/replica.h"
#include "kv/kv-client.h"
#include "upgrade/versions.h"

/* Space in a new job record that is reserved for the completed tasks and a cancellation, because
 * both are added later. The space is RECORD_RESERVE_BYTES, but at most the maximum size of a value
 * divided by RECORD_RESERVE_DIVISOR. */
#define RECORD_RESERVE_BYTES 512
#define RECORD_RESERVE_DIVISOR 4
/* Maximum time that a submission may take to look up its dependencies. */
#define DEPENDENCY_LOOKUP_TIMEOUT_MS 3500
/* Retry-After, in seconds, of the 503 response while the machine types are not known yet. */
#define TYPES_UNKNOWN_RETRY_S 1
/* Retry-After, in seconds, of the 503 response while a node does not support dependencies. A node
 * that is being upgraded is expected to be back after this time. */
#define UPGRADE_RETRY_S 2

/* Retry-After, in seconds, of the 503 response while unfinished jobs take all the memory that they
 * may take. Room comes with the end of a job. */
#define NO_ROOM_RETRY_S 5
/* Retry-After, in seconds, of the 503 response while too many submissions are in progress. */
#define SUBMISSIONS_RETRY_S 1

static void write_job_record(MmUserRequest *request);

/* Refuses the submission for good and frees the request. */
static void
refuse(MmUserRequest *request, MmRefusal refusal, const char *reason) {
  MmNode *node = request->node;

  mm_refusals_record(&node->job_api->refusals, mm_node_now(node), refusal,
                     mm_name_is_empty(&request->job_id) ? NULL : request->job_id.s, reason);
  mm_user_request_respond(request, mm_refusal_status(refusal), mm_json_error(reason), 0);
}

static void
refuse_malformed_text(MmUserRequest *request, const MmJsonError *error) {
  g_autofree char *reason = g_strdup_printf("the body is not JSON: %s at byte %" G_GSIZE_FORMAT,
                                            error->reason, error->position);

  refuse(request, MM_REFUSAL_NOT_JSON, reason);
}

/* Returns whether the job is cancelled from the start, because one of its dependencies is
 * cancelled. */
static gboolean
has_cancelled_dependency(const MmUserRequest *request) {
  const MmJobTable *job_table = request->node->job_table;

  for (guint i = 0; i < request->spec.n_dependencies; i++) {
    const char *dependency_id = request->spec.dependencies[i].s;
    const MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmTerminalState terminal;
    if (dependency != NULL && dependency->is_cancelled)
      return TRUE;
    if (mm_job_table_get_terminal_state(job_table, dependency_id, &terminal)
        && terminal.is_cancelled)
      return TRUE;
  }
  return FALSE;
}

static void
on_job_record_written(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;

  if (status == 200) {
    mm_info("job accepted job=%s class=%s team=%s tasks=%u", request->job_id.s,
            request->spec.job_class.s, request->spec.team.s, request->spec.n_tasks);
    mm_user_request_respond(
        request, 201,
        mm_json_pack("{s:s, s:s}", WIRE_JOB_ID, request->job_id.s, WIRE_STATE,
                     has_cancelled_dependency(request) ? WIRE_CANCELLED : WIRE_PENDING),
        0);
  } else if (status == 409) {
    mm_job_status_read_record(request); /* the job exists: respond with its status */
  } else if (status == 429) {
    mm_user_request_retry_after_rate_limit(request, write_job_record);
  } else {
    mm_user_request_respond_unavailable(request);
  }
}

static void
write_job_record(MmUserRequest *request) {
  MmNode *node = request->node;
  MmJson *record = mm_job_record_to_json(&request->spec, mm_node_wall_ms(node), FALSE, NULL);
  guint value_max_bytes = node->settings->kv_max_value_bytes;
  guint reserved_bytes = MIN(RECORD_RESERVE_BYTES, value_max_bytes / RECORD_RESERVE_DIVISOR);
  MmTransaction transaction;

  if (mm_json_text_length(record) + reserved_bytes > value_max_bytes) {
    mm_json_unref(record);
    refuse(request, MM_REFUSAL_TOO_LONG, "the job's description is too long");
    return;
  }
  transaction = mm_transaction_begin();
  mm_transaction_require_version(&transaction, MM_KEY_JOB, request->job_id.s, (MmKeyVersion){ 0 });
  mm_transaction_require_version(&transaction, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                                 (MmKeyVersion){ 0 });
  mm_transaction_put(&transaction, MM_KEY_JOB, request->job_id.s, record, 0);
  mm_kv_client_commit(node->kv, &transaction, on_job_record_written, request);
}

/* Dependencies of the submitted job */

static void look_up_dependencies(MmUserRequest *request);

/* Advances next_dependency to the first dependency that this node does not know. Returns FALSE if
 * the request was rejected and freed. */
static gboolean
skip_known_dependencies(MmUserRequest *request) {
  const MmJobTable *job_table = request->node->job_table;

  for (; request->next_dependency < request->spec.n_dependencies; request->next_dependency++) {
    const char *dependency_id = request->spec.dependencies[request->next_dependency].s;
    const MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmTerminalState terminal;

    if (dependency != NULL && dependency->spec.kind == MM_JOB_KIND_SERVICE) {
      refuse(request, MM_REFUSAL_NEVER_RUNS, "a job cannot depend on a service");
      return FALSE;
    }
    if (dependency == NULL && !mm_job_table_get_terminal_state(job_table, dependency_id, &terminal))
      return TRUE;
  }
  return TRUE;
}

static void
on_dependency_read(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;

  if (status == 404) {
    /* The replica contains everything that was written before the request arrived, but no job
     * record of the dependency. Every job record that is deleted leaves a terminal record, so the
     * dependency has never existed. */
    refuse(request, MM_REFUSAL_NEVER_RUNS, "a job that it depends on was never accepted");
    return;
  }
  if (status != 200 || !mm_time_before(mm_node_now(request->node), request->deadline)) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  mm_job_table_add_terminal_record(request->node->job_table,
                                   request->spec.dependencies[request->next_dependency].s,
                                   mm_json_get(body, WIRE_VALUE));
  request->next_dependency++;
  look_up_dependencies(request);
}

/* Reads the terminal records of the dependencies that this node does not know, one after another,
 * then writes the job record. The replica must contain everything that was written before the
 * request arrived. */
static void
look_up_dependencies(MmUserRequest *request) {
  if (!skip_known_dependencies(request))
    return;
  if (request->next_dependency == request->spec.n_dependencies)
    write_job_record(request);
  else
    mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD,
                     request->spec.dependencies[request->next_dependency].s, on_dependency_read,
                     request);
}

static void
on_replica_current(gpointer data, gboolean is_current) {
  MmUserRequest *request = data;

  if (is_current)
    look_up_dependencies(request);
  else
    mm_user_request_respond_unavailable(request);
}

/* Rejects invalid dependencies, looks up the dependencies that this node does not know, then writes
 * the job record. */
static void
check_dependencies(MmUserRequest *request) {
  for (guint i = 0; i < request->spec.n_dependencies; i++) {
    if (mm_name_equal(&request->spec.dependencies[i], &request->job_id)) {
      refuse(request, MM_REFUSAL_NEVER_RUNS, "a job cannot depend on itself");
      return;
    }
    if (!mm_job_id_is_valid(request->spec.dependencies[i].s)) {
      refuse(request, MM_REFUSAL_NEVER_RUNS, "a job that it depends on was never accepted");
      return;
    }
  }
  if (!mm_versions_all_support(request->node->versions, MM_VERSION_DEPENDENCIES)) {
    mm_user_request_respond(request, 503,
                            mm_json_error("not every node understands dependencies yet"),
                            UPGRADE_RETRY_S);
    return;
  }
  request->deadline = mm_time_add_ms(mm_node_now(request->node), DEPENDENCY_LOOKUP_TIMEOUT_MS);
  if (!skip_known_dependencies(request))
    return;
  if (request->next_dependency == request->spec.n_dependencies)
    write_job_record(request);
  else
    mm_replica_when_current(request->node->replica, on_replica_current, request);
}

/* Returns NULL if the job could run with the allowed machine types and within the limit of its
 * team. Otherwise returns the reason why the job could never run, as static text for the user. */
static const char *
infeasibility_reason(const MmNode *node, const MmJobSpec *spec) {
  const MmTeamSettings *team = mm_settings_team(node->settings, &spec->team);
  double n_concurrent_tasks = spec->kind == MM_JOB_KIND_ARRAY ? 1 : spec->n_tasks;

  if (team == NULL)
    return "unknown team";
  if ((team->limit.cores > 0
       && spec->task_resources.cores * n_concurrent_tasks > team->limit.cores + MM_RESOURCES_SLACK)
      || (team->limit.accelerators > 0
          && spec->task_resources.accelerators * n_concurrent_tasks
                 > team->limit.accelerators + MM_RESOURCES_SLACK))
    return "the job needs more than the team's limit";
  if (!mm_instance_types_any_fits(node->instance_types, spec))
    return "a task fits no allowed machine type";
  return NULL;
}

static void
on_known_terminal_record_read(gpointer data, int status, MmJson *body) {
  MmUserRequest *request = data;
  MmJobTable *job_table = request->node->job_table;

  if (status == 200)
    mm_job_table_add_terminal_record(job_table, request->job_id.s, mm_json_get(body, WIRE_VALUE));
  if (status == 200 && mm_job_table_has_ended(job_table, request->job_id.s))
    mm_job_status_read_record(request);
  else if (status == 404)
    mm_user_request_respond(request, 503, mm_json_error("too many unfinished jobs"),
                            NO_ROOM_RETRY_S);
  else
    mm_user_request_respond_unavailable(request);
}

/* Responds 503 because there is no room for one more unfinished job. A repeated submission of a job
 * that ended long ago is answered with its state all the same. */
static void
reject_for_lack_of_room(MmUserRequest *request) {
  mm_info("job not accepted: no room for unfinished jobs job=%s bytes=%" G_GSIZE_FORMAT
          " max_bytes=%" G_GSIZE_FORMAT,
          request->job_id.s, request->node->job_api->unfinished_jobs_bytes,
          mm_job_capacity_max_bytes(request->node->settings));
  mm_kv_client_get(request->node->kv, MM_KEY_TERMINAL_RECORD, request->job_id.s,
                   on_known_terminal_record_read, request);
}

/* Counts the submission as in progress. Returns FALSE if the request was rejected and freed. */
static gboolean
count_submission(MmUserRequest *request) {
  gsize bytes = (request->spec.n_allowed_types + request->spec.n_dependencies) * sizeof(MmName);

  if (!mm_job_capacity_try_add_submission(request->node->job_api, bytes)) {
    mm_user_request_respond(request, 503, mm_json_error("too many submissions in progress"),
                            SUBMISSIONS_RETRY_S);
    return FALSE;
  }
  request->submission_bytes = bytes;
  return TRUE;
}

static gboolean
is_known_job(const MmNode *node, const char *job_id) {
  return mm_job_table_find(node->job_table, job_id) != NULL
         || mm_job_table_has_ended(node->job_table, job_id);
}

/* Sets the request's spec and job id. Returns FALSE if the request was refused and freed. */
static gboolean
parse_submission(MmUserRequest *request, const MmJson *json) {
  const MmJsonError *body_error = &request->exchange->body_error;
  const char *job_id = mm_json_string(json, WIRE_JOB_ID);
  const char *reason = NULL;

  if (body_error->reason != NULL) {
    refuse_malformed_text(request, body_error);
    return FALSE;
  }
  if (mm_job_id_is_valid(job_id))
    request->job_id = mm_name(job_id);
  if (!mm_job_spec_parse(&request->spec, json, &reason)) {
    refuse(request, MM_REFUSAL_INVALID_FIELD, reason);
    return FALSE;
  }
  return TRUE;
}

void
mm_job_api_submit(MmNode *node, const MmJson *json, MmHttpExchange *exchange) {
  MmUserRequest *request = mm_user_request_new(node, exchange, "");
  const char *reason = NULL;
  gboolean is_known;

  if (!parse_submission(request, json))
    return;
  if (!mm_instance_types_are_known(node->instance_types)) {
    mm_user_request_respond(request, 503, mm_json_error("the machine types are not known yet"),
                            TYPES_UNKNOWN_RETRY_S);
    return;
  }
  reason = infeasibility_reason(node, &request->spec);
  if (reason != NULL) {
    refuse(request, MM_REFUSAL_NEVER_RUNS, reason);
    return;
  }
  if (mm_user_request_kv_is_unavailable(node)) {
    mm_user_request_respond_unavailable(request);
    return;
  }
  if (!count_submission(request))
    return;
  /* A repeated submission needs no check of its dependencies. The write conflicts with the existing
   * job record, and the response is then the status of the job. */
  is_known = is_known_job(node, request->job_id.s);
  if (!is_known && !mm_job_capacity_has_room(node->job_api, &request->spec))
    reject_for_lack_of_room(request);
  else if (request->spec.n_dependencies == 0 || is_known)
    write_job_record(request);
  else
    check_dependencies(request);
}
