/* Dependencies between jobs, as this node knows them: the graph, fed by the job table and by final
 * states, and what follows for the jobs. Final states that nobody has told are read from the state
 * service, a few at a time. */
#pragma once

#include "dependencies/dependency-graph.h"
#include "jobs/job-table.h"
#include "node/node.h"

struct MmDependencies {
  MmNode *node;
  MmDependencyGraph *graph;
  guint n_lookups; /* reads of final states under way */
  MmTime next_lookup_at;
};

MmDependencies *mm_dependencies_new(MmNode *node);
void mm_dependencies_free(MmDependencies *dependencies);
void mm_dependencies_tick(MmDependencies *dependencies);

/* The job has come into the job table. */
void mm_dependencies_job_added(MmDependencies *dependencies, MmJob *job);
/* The job's cancellation is in the state service. */
void mm_dependencies_job_cancelled(MmDependencies *dependencies, const char *job_id);
/* The job's final state is in the state service. `done_ms` 0: when it was done is not known. */
void mm_dependencies_job_ended(MmDependencies *dependencies, const char *job_id,
                               gboolean is_cancelled, gint64 done_at_ms);
/* The job's record has gone. To be told after its final state, where that is known. */
void mm_dependencies_job_removed(MmDependencies *dependencies, const char *job_id);

/* Whether nothing is known yet of a job that this one depends on, directly or not. Until it is, no
 * user can be told whether this job is cancelled. */
gboolean mm_dependencies_is_undecided(MmDependencies *dependencies, const MmJob *job);

/* Whether the job's tasks may start as far as its dependencies go: the final state `done` of each
 * has been seen in the state service. */
static inline gboolean
mm_job_dependencies_are_done(const MmJob *job) {
  return job->vertex == NULL || mm_vertex_dependencies_are_done(job->vertex);
}

/* Whether a job that it depends on is cancelled. No task of such a job has ever been started: it
 * was never ready. */
gboolean mm_job_has_cancelled_dependency(const MmJob *job);
