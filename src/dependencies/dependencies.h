/* Dependencies between jobs, as known to this node.
 *
 * Owns the dependency graph and keeps it up to date: the job table reports jobs and terminal
 * states, the scheduler reports cancellations. Callbacks tell the scheduler which jobs have become
 * cancelled and which have become ready. The replica does not contain terminal records. If this
 * node needs a terminal record and has not learned the record in another way, it reads the record
 * from the key-value store. Only a few such reads are pending at a time. */
#pragma once

#include "dependencies/dependency-graph.h"
#include "jobs/job-table.h"
#include "node/node.h"

/* Callbacks, invoked from within the call that changes the graph. */
typedef struct {
  /* The job has become cancelled: either the job itself or one of its direct or transitive
   * dependencies was cancelled. */
  void (*job_cancelled)(gpointer context, const char *job_id);
  /* All dependencies of the job are done. */
  void (*job_ready)(gpointer context, MmJob *job);
  gpointer context;
} MmDependenciesCallbacks;

struct MmDependencies {
  MmNode *node;
  MmDependenciesCallbacks callbacks;
  MmDependencyGraph *graph;
  guint n_pending_lookups; /* number of pending reads of terminal records */
  MmTime next_lookup_at;   /* earliest time of the next read */
};

MmDependencies *mm_dependencies_new(MmNode *node);
void mm_dependencies_free(MmDependencies *dependencies);
/* Copies the callbacks. Must be called before any job is added. */
void mm_dependencies_set_callbacks(MmDependencies *dependencies,
                                   const MmDependenciesCallbacks *callbacks);
/* Starts at most one read of a terminal record, if such a record is needed and the rate limit
 * allows the read. */
void mm_dependencies_tick(MmDependencies *dependencies);

/* Adds a job to the dependency graph. The job must already be in the job table. */
void mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job);
/* Records the cancellation of a job. Must be called once the cancellation is stored in the
 * key-value store. */
void mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id);
/* Records how a job ended. Must be called once its terminal record is stored in the key-value
 * store. `done_at_ms` is the time of day at which the job ended, as in
 * MmTerminalState.completed_at_ms. */
void mm_dependencies_job_ended(MmDependencies *dependencies, const char *job_id,
                               gboolean is_cancelled, gint64 done_at_ms);
/* Records that the job record was deleted. If the terminal state of the job is known,
 * mm_dependencies_job_ended must be called first. */
void mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id);

/* Returns whether this node does not know the state of some direct or transitive dependency of the
 * job. Until the state is known, responses to users cannot state whether the job is cancelled. */
gboolean mm_dependencies_has_unknown_dependency(MmDependencies *dependencies, const MmJob *job);

/* Returns whether all dependencies of the job are done. Only then may the job's tasks start. A
 * dependency is done once its terminal record was seen in the key-value store with the outcome
 * done. */
static inline gboolean
mm_job_dependencies_are_done(const MmJob *job) {
  return job->vertex == NULL || mm_vertex_dependencies_are_done(job->vertex);
}

/* Returns whether a dependency of the job is cancelled. No task of such a job has ever been
 * started, because the job's dependencies were never all done. */
gboolean mm_job_has_cancelled_dependency(const MmJob *job);
