/* Submissions: checked, then written before they are answered. */
#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "fleet/types.h"
#include "jobs/api.h"
#include "jobs/call.h"
#include "store/replica.h"
#include "store/store.h"
#include "upgrade/versions.h"

/* Of a record, what the set of done tasks and a cancellation may take: so much, and at most this
 * share of a value. */
#define RECORD_RESERVE_BYTES 512
#define RECORD_RESERVE_SHARE 4
/* How long a submission may look for the jobs that it depends on. */
#define FIND_NEEDS_MS 3500
#define RETRY_S 1
/* Until a node that is being upgraded has come back. */
#define UPGRADE_RETRY_S 2

static void write_job(MmCall *request);

/* Whether the job is cancelled from the start: so is one that it names. */
static gboolean
names_a_cancelled_job(const MmCall *request) {
  const MmJobTable *job_table = request->node->job_table;

  for (guint i = 0; i < request->spec.n_needs; i++) {
    const char *dependency_id = request->spec.needs[i].s;
    const MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmFinalState terminal;
    if (dependency != NULL && dependency->cancelled)
      return TRUE;
    if (mm_job_table_final_state(job_table, dependency_id, &terminal) && terminal.cancelled)
      return TRUE;
  }
  return FALSE;
}

static void
submit_written(gpointer data, int status, json_t *body) {
  MmCall *request = data;

  if (status == 200) {
    mm_info("%s (%s of %s, %u tasks) is accepted", request->id.s, request->spec.job_class.s,
            request->spec.team.s, request->spec.tasks);
    mm_call_finish(request, 201,
                   json_pack("{s:s, s:s}", WIRE_JOB_ID, request->id.s, WIRE_STATE,
                             names_a_cancelled_job(request) ? WIRE_CANCELLED : WIRE_PENDING),
                   0);
  } else if (status == 409) {
    mm_call_look_up(request); /* known already: its state now */
  } else if (status == 429) {
    mm_call_wait_out_limit(request, write_job);
  } else {
    mm_call_give_up(request);
  }
}

static void
write_job(MmCall *request) {
  MmNode *node = request->node;
  json_t *record = mm_job_record(&request->spec, mm_node_wall_ms(node), FALSE, NULL);
  guint value_max_bytes = node->settings->kv_max_value_bytes;
  guint reserved_bytes = MIN(RECORD_RESERVE_BYTES, value_max_bytes / RECORD_RESERVE_SHARE);
  MmTransaction transaction;

  if (json_dumpb(record, NULL, 0, JSON_COMPACT) + reserved_bytes > value_max_bytes) {
    json_decref(record);
    mm_call_finish(request, 400, mm_json_error("the job's description is too long"), 0);
    return;
  }
  transaction = mm_transaction_begin();
  mm_transaction_require_version(&transaction, MM_KEY_JOB, request->id.s, (MmKeyVersion){ 0 });
  mm_transaction_require_version(&transaction, MM_KEY_TERMINAL_RECORD, request->id.s,
                                 (MmKeyVersion){ 0 });
  mm_transaction_put(&transaction, MM_KEY_JOB, request->id.s, record, 0);
  mm_kv_client_commit(node->store, &transaction, submit_written, request);
}

/* ---- the jobs that it depends on ---- */

static void look_up_needs(MmCall *request);

static void
refuse_needs(MmCall *request, const char *reason) {
  mm_call_finish(request, 422, mm_json_error(reason), 0);
}

/* Goes on to the first job that is not known here. FALSE when the call is over. */
static gboolean
pass_known_needs(MmCall *request) {
  const MmJobTable *job_table = request->node->job_table;

  for (; request->next_need < request->spec.n_needs; request->next_need++) {
    const char *dependency_id = request->spec.needs[request->next_need].s;
    const MmJob *dependency = mm_job_table_find(job_table, dependency_id);
    MmFinalState terminal;

    if (dependency != NULL && dependency->spec.kind == MM_KIND_SERVICE) {
      refuse_needs(request, "a job cannot depend on a service");
      return FALSE;
    }
    if (dependency == NULL && !mm_job_table_final_state(job_table, dependency_id, &terminal))
      return TRUE;
  }
  return TRUE;
}

static void
need_read(gpointer data, int status, json_t *body) {
  MmCall *request = data;

  if (status == 404) {
    /* The replica that did not show its record is as new as the question, and a record that goes
     * leaves a final state: it was never accepted. */
    refuse_needs(request, "a job that it depends on was never accepted");
    return;
  }
  if (status != 200 || !mm_time_before(mm_node_now(request->node), request->deadline)) {
    mm_call_give_up(request);
    return;
  }
  mm_job_table_keep_final(request->node->job_table, request->spec.needs[request->next_need].s,
                          mm_json_get(body, WIRE_VALUE));
  request->next_need++;
  look_up_needs(request);
}

/* Reads the final states of those that the replica, which is current, does not show. */
static void
look_up_needs(MmCall *request) {
  if (!pass_known_needs(request))
    return;
  if (request->next_need == request->spec.n_needs)
    write_job(request);
  else
    mm_kv_client_get(request->node->store, MM_KEY_TERMINAL_RECORD,
                     request->spec.needs[request->next_need].s, need_read, request);
}

static void
needs_current(gpointer data, gboolean is_current) {
  MmCall *request = data;

  if (is_current)
    look_up_needs(request);
  else
    mm_call_give_up(request);
}

static void
find_needs(MmCall *request) {
  for (guint i = 0; i < request->spec.n_needs; i++) {
    if (mm_name_equal(&request->spec.needs[i], &request->id)) {
      refuse_needs(request, "a job cannot depend on itself");
      return;
    }
    if (!mm_spec_id_is_valid(request->spec.needs[i].s)) {
      refuse_needs(request, "a job that it depends on was never accepted");
      return;
    }
  }
  if (!mm_versions_all_support(request->node->versions, MM_VERSION_DEPENDENCIES)) {
    mm_call_finish(request, 503, mm_json_error("not every node understands dependencies yet"),
                   UPGRADE_RETRY_S);
    return;
  }
  request->deadline = mm_time_add_ms(mm_node_now(request->node), FIND_NEEDS_MS);
  if (!pass_known_needs(request))
    return;
  if (request->next_need == request->spec.n_needs)
    write_job(request);
  else
    mm_replica_when_current(request->node->replica, needs_current, request);
}

static const char *
never_runs(const MmNode *node, const MmSpec *spec) {
  const MmTeamSettings *team = mm_settings_team(node->settings, &spec->team);
  double tasks_at_once = spec->kind == MM_KIND_ARRAY ? 1 : spec->tasks;

  if (team == NULL)
    return "unknown team";
  if ((team->limit.cores > 0
       && spec->need.cores * tasks_at_once > team->limit.cores + MM_RESOURCES_SLACK)
      || (team->limit.accelerators > 0
          && spec->need.accelerators * tasks_at_once
                 > team->limit.accelerators + MM_RESOURCES_SLACK))
    return "the job needs more than the team's limit";
  if (!mm_types_any_fits(node->types, spec))
    return "a task fits no allowed machine type";
  return NULL;
}

static gboolean
is_known(const MmNode *node, const char *job_id) {
  return mm_job_table_find(node->job_table, job_id) != NULL
         || mm_job_table_is_over(node->job_table, job_id);
}

void
mm_api_submit(MmNode *node, const json_t *json, MmExchange *exchange) {
  MmCall *request = mm_call_new(node, exchange, "");
  const char *reason = NULL;

  if (!mm_spec_parse(&request->spec, json, &reason)) {
    mm_call_finish(request, 400, mm_json_error(reason), 0);
    return;
  }
  request->id = request->spec.id;
  if (!mm_types_known(node->types)) {
    mm_call_finish(request, 503, mm_json_error("the machine types are not known yet"), RETRY_S);
    return;
  }
  reason = never_runs(node, &request->spec);
  if (reason != NULL) {
    mm_call_finish(request, 422, mm_json_error(reason), 0);
    return;
  }
  if (mm_call_is_refused_now(node)) {
    mm_call_give_up(request);
    return;
  }
  /* A repetition is answered with the job's state, whatever it depends on. */
  if (request->spec.n_needs == 0 || is_known(node, request->id.s))
    write_job(request);
  else
    find_needs(request);
}
