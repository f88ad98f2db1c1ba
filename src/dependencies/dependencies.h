/* Dependencies between jobs, as this node knows them.
 *
 * Owns the dependency graph and feeds it: the job table reports jobs and terminal states, the
 * scheduler cancellations. What follows from a change goes to the scheduler: jobs that are
 * cancelled with a dependency, jobs that became ready. Terminal states that neither the replica nor
 * a peer brought are read from the key-value store, a few at a time. */
#pragma once

#include "dependencies/dependency-graph.h"
#include "jobs/job-table.h"
#include "node/node.h"

/* Whom the dependencies notify, from within the call that changes the graph. */
typedef struct {
  /* A job that the job depends on, directly or not, is cancelled, and the job with it. */
  void (*job_cancelled)(gpointer context, const char *job_id);
  /* The last dependency of the job is done. */
  void (*job_ready)(gpointer context, MmJob *job);
  gpointer context;
} MmDependenciesCallbacks;

struct MmDependencies {
  MmNode *node;
  MmDependenciesCallbacks callbacks;
  MmDependencyGraph *graph;
  guint n_lookups; /* reads of terminal records under way */
  MmTime next_lookup_at;
};

MmDependencies *mm_dependencies_new(MmNode *node);
void mm_dependencies_free(MmDependencies *dependencies);
/* Copies the callbacks. To be called before any job is added. */
void mm_dependencies_set_callbacks(MmDependencies *dependencies,
                                   const MmDependenciesCallbacks *callbacks);
void mm_dependencies_tick(MmDependencies *dependencies);

/* The job was added to the job table. */
void mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job);
/* The job's cancellation is in the key-value store. */
void mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id);
/* The job's terminal record is in the key-value store. `done_at_ms` as in MmTerminalState. */
void mm_dependencies_job_ended(MmDependencies *dependencies, const char *job_id,
                               gboolean is_cancelled, gint64 done_at_ms);
/* The job's record is gone. To be called after mm_dependencies_job_ended, where that is known. */
void mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id);

/* Whether the state of a job that this one depends on, directly or not, is unknown here. Until it
 * is known, no user can learn whether this job is cancelled. */
gboolean mm_dependencies_is_undecided(MmDependencies *dependencies, const MmJob *job);

/* Whether the job's tasks may start as far as its dependencies go: the terminal record of each was
 * seen in the key-value store, with the outcome done. */
static inline gboolean
mm_job_dependencies_are_done(const MmJob *job) {
  return job->vertex == NULL || mm_vertex_dependencies_are_done(job->vertex);
}

/* Whether a job that it depends on is cancelled. No task of such a job has ever been started: it
 * was never ready. */
gboolean mm_job_has_cancelled_dependency(const MmJob *job);
