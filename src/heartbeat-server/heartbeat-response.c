#include "heartbeat-server/heartbeat-response.h"

#include "base/wire.h"
#include "heartbeat/heartbeat.h"
#include "jobs/job-table.h"
#include "kv/kv-client.h"

/* Maximum number of terminal records that this node reads from the key-value store at the same
 * time. */
#define CONFIRMATIONS_MAX 16

typedef struct {
  MmHeartbeatServer *server;
  MmName job_id;
} TerminalConfirmation;

static void
terminal_state_received(gpointer data, int status, MmJson *body) {
  g_autofree TerminalConfirmation *confirmation = data;

  if (status == 200)
    mm_job_table_add_terminal_record(confirmation->server->node->job_table, confirmation->job_id.s,
                                     mm_json_get(body, WIRE_VALUE));
  g_hash_table_remove(confirmation->server->jobs_being_confirmed, confirmation->job_id.s);
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

/* Tasks of cancelled jobs are stopped without involving the leader of the tasks' shard, because the
 * key-value store may refuse only the requests of that leader. No other node can then acquire the
 * leader's shards. Responses without stop commands would let these tasks run on, because every
 * heartbeat response renews the worker's lease.
 *
 * A job that is missing from the job table has normally ended, but the replica may be out of date.
 * The tasks of such a job are therefore removed only after the job's terminal record has been
 * read. */
void
mm_heartbeat_response_add_cleanup_commands(MmHeartbeatServer *server, const GArray *tasks,
                                           GArray *commands) {
  MmJobTable *job_table = server->node->job_table;

  for (guint i = 0; i < tasks->len; i++) {
    const MmReportedTask *reported = &g_array_index(tasks, MmReportedTask, i);
    const MmJob *job = mm_job_table_find(job_table, reported->job.s);
    MmCommand command = { reported->state == MM_REPORTED_ENDED ? MM_OP_FORGET : MM_OP_STOP,
                          reported->job, reported->number, reported->attempt, 0 };
    if (job != NULL ? job->is_cancelled && reported->state != MM_REPORTED_ENDED
                    : mm_job_table_has_ended(job_table, reported->job.s))
      g_array_append_val(commands, command);
    else if (job == NULL)
      confirm_job_is_terminal(server, &reported->job);
  }
}

void
mm_heartbeat_response_send(MmHttpExchange *exchange, MmTerm term, const GArray *commands) {
  mm_http_exchange_respond(exchange, 200, mm_heartbeat_response_to_json(term, commands), 0);
}
