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

static void write_job(MmCall *call);

/* Whether the job is cancelled from the start: so is one that it names. */
static gboolean
names_a_cancelled_job(const MmCall *call) {
  const MmJobTable *job_table = call->node->job_table;

  for (guint i = 0; i < call->spec.n_needs; i++) {
    const char *id = call->spec.needs[i].s;
    const MmJob *needed = mm_job_table_find(job_table, id);
    MmFinalState final;
    if (needed != NULL && needed->cancelled)
      return TRUE;
    if (mm_job_table_final_state(job_table, id, &final) && final.cancelled)
      return TRUE;
  }
  return FALSE;
}

static void
submit_written(gpointer data, int status, json_t *body) {
  MmCall *call = data;

  if (status == 200) {
    mm_info("%s (%s of %s, %u tasks) is accepted", call->id.s, call->spec.job_class.s,
            call->spec.team.s, call->spec.tasks);
    mm_call_finish(call, 201,
                   json_pack("{s:s, s:s}", WIRE_JOB_ID, call->id.s, WIRE_STATE,
                             names_a_cancelled_job(call) ? WIRE_CANCELLED : WIRE_PENDING),
                   0);
  } else if (status == 409) {
    mm_call_look_up(call); /* known already: its state now */
  } else if (status == 429) {
    mm_call_wait_out_limit(call, write_job);
  } else {
    mm_call_give_up(call);
  }
}

static void
write_job(MmCall *call) {
  MmNode *node = call->node;
  json_t *record = mm_job_record(&call->spec, mm_node_wall_ms(node), FALSE, NULL);
  guint most = node->settings->state_value_bytes;
  guint reserve = MIN(RECORD_RESERVE_BYTES, most / RECORD_RESERVE_SHARE);
  MmTxn txn;

  if (json_dumpb(record, NULL, 0, JSON_COMPACT) + reserve > most) {
    json_decref(record);
    mm_call_finish(call, 400, mm_json_error("the job's description is too long"), 0);
    return;
  }
  txn = mm_txn();
  mm_txn_guard(&txn, MM_KEY_JOB, call->id.s, (MmKeyVersion){ 0 });
  mm_txn_guard(&txn, MM_KEY_FINAL, call->id.s, (MmKeyVersion){ 0 });
  mm_txn_put(&txn, MM_KEY_JOB, call->id.s, record, 0);
  mm_store_commit(node->store, &txn, submit_written, call);
}

/* ---- the jobs that it depends on ---- */

static void look_up_needs(MmCall *call);

static void
refuse_needs(MmCall *call, const char *reason) {
  mm_call_finish(call, 422, mm_json_error(reason), 0);
}

/* Goes on to the first job that is not known here. FALSE when the call is over. */
static gboolean
pass_known_needs(MmCall *call) {
  const MmJobTable *job_table = call->node->job_table;

  for (; call->next_need < call->spec.n_needs; call->next_need++) {
    const char *id = call->spec.needs[call->next_need].s;
    const MmJob *needed = mm_job_table_find(job_table, id);
    MmFinalState final;

    if (needed != NULL && needed->spec.kind == MM_KIND_SERVICE) {
      refuse_needs(call, "a job cannot depend on a service");
      return FALSE;
    }
    if (needed == NULL && !mm_job_table_final_state(job_table, id, &final))
      return TRUE;
  }
  return TRUE;
}

static void
need_read(gpointer data, int status, json_t *body) {
  MmCall *call = data;

  if (status == 404) {
    /* The replica that did not show its record is as new as the question, and a record that goes
     * leaves a final state: it was never accepted. */
    refuse_needs(call, "a job that it depends on was never accepted");
    return;
  }
  if (status != 200 || !mm_time_before(mm_node_now(call->node), call->deadline)) {
    mm_call_give_up(call);
    return;
  }
  mm_job_table_keep_final(call->node->job_table, call->spec.needs[call->next_need].s,
                          mm_json_get(body, WIRE_VALUE));
  call->next_need++;
  look_up_needs(call);
}

/* Reads the final states of those that the replica, which is current, does not show. */
static void
look_up_needs(MmCall *call) {
  if (!pass_known_needs(call))
    return;
  if (call->next_need == call->spec.n_needs)
    write_job(call);
  else
    mm_store_get(call->node->store, MM_KEY_FINAL, call->spec.needs[call->next_need].s, need_read,
                 call);
}

static void
needs_current(gpointer data, gboolean current) {
  MmCall *call = data;

  if (current)
    look_up_needs(call);
  else
    mm_call_give_up(call);
}

static void
find_needs(MmCall *call) {
  for (guint i = 0; i < call->spec.n_needs; i++) {
    if (mm_name_equal(&call->spec.needs[i], &call->id)) {
      refuse_needs(call, "a job cannot depend on itself");
      return;
    }
    if (!mm_spec_id_is_valid(call->spec.needs[i].s)) {
      refuse_needs(call, "a job that it depends on was never accepted");
      return;
    }
  }
  if (!mm_versions_all(call->node->versions, MM_VERSION_DEPENDENCIES)) {
    mm_call_finish(call, 503, mm_json_error("not every node understands dependencies yet"),
                   UPGRADE_RETRY_S);
    return;
  }
  call->deadline = mm_time_add_ms(mm_node_now(call->node), FIND_NEEDS_MS);
  if (!pass_known_needs(call))
    return;
  if (call->next_need == call->spec.n_needs)
    write_job(call);
  else
    mm_replica_when_current(call->node->replica, needs_current, call);
}

static const char *
never_runs(const MmNode *node, const MmSpec *spec) {
  const MmTeamSettings *team = mm_settings_team(node->settings, &spec->team);
  double times = spec->kind == MM_KIND_ARRAY ? 1 : spec->tasks;

  if (team == NULL)
    return "unknown team";
  if ((team->limit.cores > 0 && spec->need.cores * times > team->limit.cores + MM_RESOURCES_SLACK)
      || (team->limit.accelerators > 0
          && spec->need.accelerators * times > team->limit.accelerators + MM_RESOURCES_SLACK))
    return "the job needs more than the team's limit";
  if (!mm_types_any_fits(node->types, spec))
    return "a task fits no allowed machine type";
  return NULL;
}

static gboolean
is_known(const MmNode *node, const char *id) {
  return mm_job_table_find(node->job_table, id) != NULL
         || mm_job_table_is_over(node->job_table, id);
}

void
mm_api_submit(MmNode *node, const json_t *body, MmExchange *exchange) {
  MmCall *call = mm_call_new(node, exchange, "");
  const char *reason = NULL;

  if (!mm_spec_parse(&call->spec, body, &reason)) {
    mm_call_finish(call, 400, mm_json_error(reason), 0);
    return;
  }
  call->id = call->spec.id;
  if (!mm_types_known(node->types)) {
    mm_call_finish(call, 503, mm_json_error("the machine types are not known yet"), RETRY_S);
    return;
  }
  reason = never_runs(node, &call->spec);
  if (reason != NULL) {
    mm_call_finish(call, 422, mm_json_error(reason), 0);
    return;
  }
  if (mm_call_is_refused_now(node)) {
    mm_call_give_up(call);
    return;
  }
  /* A repetition is answered with the job's state, whatever it depends on. */
  if (call->spec.n_needs == 0 || is_known(node, call->id.s))
    write_job(call);
  else
    find_needs(call);
}
