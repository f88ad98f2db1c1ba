/* Dependencies between jobs, as known to this node.
 *
 * Owns the dependency graph and keeps it up to date: the job table reports jobs and terminal
 * states, the scheduler reports cancellations. Callbacks tell the scheduler which jobs a change
 * cancels and which it makes ready. The replica does not contain terminal records, so those that
 * this node has not learned otherwise are read from the key-value store, a few at a time. */
#pragma once

#include "dependencies/dependency-graph.h"
#include "jobs/job-table.h"
#include "node/node.h"

/* Callbacks, invoked from within the call that changes the graph. */
typedef struct {
  /* The job has become cancelled, because it was cancelled itself or because a direct or transitive
   * dependency was. */
  void (*job_cancelled)(gpointer context, const char *job_id);
  /* All dependencies of the job are done. */
  void (*job_ready)(gpointer context, MmJob *job);
  gpointer context;
} MmDependenciesCallbacks;

struct MmDependencies {
  MmNode *node;
  MmDependenciesCallbacks callbacks;
  MmDependencyGraph *graph;
  guint n_pending_lookups; /* pending reads of terminal records */
  MmTime next_lookup_at;   /* earliest time of the next read */
};

MmDependencies *mm_dependencies_new(MmNode *node);
void mm_dependencies_free(MmDependencies *dependencies);
/* Copies the callbacks. Must be called before any job is added. */
void mm_dependencies_set_callbacks(MmDependencies *dependencies,
                                   const MmDependenciesCallbacks *callbacks);
/* Starts at most one read of a terminal record, if one is needed and the rate limit allows it. */
void mm_dependencies_tick(MmDependencies *dependencies);

/* Adds a job that was added to the job table. */
void mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job);
/* Records the cancellation of a job. Must be called once it is stored in the key-value store. */
void mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id);
/* Records how a job ended. Must be called once its terminal record is stored in the key-value
 * store. `done_at_ms` is the time of day of the end, as in MmTerminalState.completed_at_ms. */
void mm_dependencies_job_ended(MmDependencies *dependencies, const char *job_id,
                               gboolean is_cancelled, gint64 done_at_ms);
/* Records that the job record was deleted. If the terminal state of the job is known,
 * mm_dependencies_job_ended must be called first. */
void mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id);

/* Returns whether this node does not know the state of some direct or transitive dependency of the
 * job. Until the state is known, responses to users cannot state whether the job is cancelled. */
gboolean mm_dependencies_has_unknown_dependency(MmDependencies *dependencies, const MmJob *job);

/* Returns whether the dependencies of the job allow its tasks to start: the terminal record of each
 * dependency was seen in the key-value store, with the outcome done. */
static inline gboolean
mm_job_dependencies_are_done(const MmJob *job) {
  return job->vertex == NULL || mm_vertex_dependencies_are_done(job->vertex);
}

/* Returns whether a dependency of the job is cancelled. No task of such a job has ever been
 * started, because its dependencies were never all done. */
gboolean mm_job_has_cancelled_dependency(const MmJob *job);
