/* Writing what is done, and jobs' ends, into their records. */
#include "owner/owner.h"

#include "base/wire.h"
#include "dependencies/dependencies.h"
#include "store/store.h"

#define WRITE_EVERY_MS 1000
#define WRITE_DELAY_MS 300

typedef struct {
  MmName id;
  char *text;
  json_t *final; /* the final record; NULL: it goes on */
} Written;

typedef struct {
  MmOwner *owner;
  GArray *jobs; /* Written */
} Write;

static void
written_clear(gpointer data) {
  g_free(((Written *)data)->text);
  json_decref(((Written *)data)->final);
}

static void
jobs_written(gpointer data, int status, json_t *body) {
  Write *write = data;
  MmOwner *owner = write->owner;
  MmNode *node = owner->node;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);

  owner->writing = FALSE;
  if (status == 409)
    owner->solo = write->jobs->len;
  for (guint i = 0; i < write->jobs->len; i++) {
    const Written *w = &g_array_index(write->jobs, Written, i);
    MmJob *job = mm_job_table_find(node->job_table, w->id.s);

    if (status == 200 && w->final != NULL)
      mm_job_table_keep_final(node->job_table, w->id.s, w->final);
    if (job == NULL)
      continue;
    job->writing = FALSE;
    if (status != 200) {
      job->dirty = mm_node_now(node);
      continue;
    }
    if (w->final == NULL) {
      mm_done_set_parse(&job->recorded, w->text);
      job->version.v = MAX(job->version.v, revision);
    }
  }
  g_array_unref(write->jobs);
  g_free(write);
}

static gboolean
wants_final(MmOwner *owner, const MmJob *job) {
  if (job->cancelled)
    return job->live == 0 && (mm_job_needs_cancelled(job) || mm_owner_knows(owner, job));
  return job->spec.kind != MM_KIND_SERVICE && job->done.count == job->spec.tasks;
}

/* The longest done set's text that fits beside the rest of the record. */
static char *
record_text(const MmOwner *owner, const MmJob *job) {
  g_autoptr(json_t) bare = mm_job_record(&job->spec, job->submitted_ms, FALSE, NULL);
  gsize base = json_dumpb(bare, NULL, 0, JSON_COMPACT) + 64;
  gsize most = mm_store_value_bytes(owner->node->store);

  return mm_done_set_text(&job->done, most > base ? most - base : 0);
}

static void
add_to_write(MmOwner *owner, MmTxn *txn, Write *write, MmOwnedShard *held, MmJob *job,
             gboolean final) {
  Written w = { .id = job->spec.id };

  mm_txn_guard(txn, MM_KEY_JOB, job->spec.id.s, job->version);
  mm_txn_guard(txn, MM_KEY_SHARD, held->name, held->version);
  if (final) {
    mm_info("%s (%s, %u tasks, guess %.0f s) is %s after %.1f s, due %.0f s, runs seen %.0f s",
            job->spec.id.s, job->spec.job_class.s, job->spec.tasks, job->spec.estimate_s,
            job->cancelled ? WIRE_CANCELLED : WIRE_DONE, mm_job_waited_s(owner->node, job),
            job->spec.deadline_s, job->seen_n > 0 ? job->seen_s / job->seen_n : 0);
    w.final = mm_final_record(
        &(MmFinalState){ job->cancelled, job->done.count, mm_node_wall_ms(owner->node) });
    mm_txn_put(txn, MM_KEY_FINAL, job->spec.id.s, json_incref(w.final), 0);
    mm_txn_delete(txn, MM_KEY_JOB, job->spec.id.s);
  } else {
    w.text = record_text(owner, job);
    mm_txn_put(txn, MM_KEY_JOB, job->spec.id.s,
               mm_job_record(&job->spec, job->submitted_ms, job->cancelled, w.text), 0);
  }
  job->writing = TRUE;
  job->dirty.us = 0;
  job->wrote = mm_node_now(owner->node);
  g_array_append_val(write->jobs, w);
}

void
mm_owner_write_jobs(MmOwner *owner) {
  MmNode *node = owner->node;
  MmTime now = mm_node_now(node);
  guint ops = mm_store_txn_ops(node->store);
  guint guards = 4 * ops;
  MmTxn txn;
  Write *write;

  if (owner->writing || mm_store_in_trouble(node->store))
    return;
  txn = mm_txn();
  write = g_new(Write, 1);
  *write = (Write){ owner, g_array_new(FALSE, TRUE, sizeof(Written)) };
  g_array_set_clear_func(write->jobs, written_clear);
  for (guint i = 0; i < node->job_table->order->len; i++) {
    MmJob *job = g_ptr_array_index(node->job_table->order, i);
    MmOwnedShard *held = job->tasks != NULL ? mm_owner_held(owner, job) : NULL;
    gboolean final;

    if (held == NULL || job->writing)
      continue;
    final = wants_final(owner, job);
    if (txn.puts + 2 > ops || json_array_size(txn.guards) + 2 > guards
        || (owner->solo > 0 && txn.puts > 0))
      break;
    /* Dependents of a cancelled job show as cancelled without a record that says so: there may be
     * thousands, and their records can wait. */
    if (final && mm_job_needs_cancelled(job) && !mm_store_may_write(node->store, 2))
      continue;
    if (final && mm_time_ms_since(now, job->wrote) > 100) {
      add_to_write(owner, &txn, write, held, job, TRUE);
    } else if (!final && !job->cancelled && job->dirty.us != 0
               && mm_time_ms_since(now, job->dirty) >= WRITE_DELAY_MS
               && mm_time_ms_since(now, job->wrote) >= WRITE_EVERY_MS
               && mm_store_may_write(node->store, 1)) {
      add_to_write(owner, &txn, write, held, job, FALSE);
    }
  }
  if (txn.puts > 0) {
    owner->writing = TRUE;
    owner->solo -= owner->solo > 0;
    mm_store_commit(node->store, &txn, jobs_written, write);
    return;
  }
  json_decref(txn.guards);
  json_decref(txn.apply);
  g_array_unref(write->jobs);
  g_free(write);
}
