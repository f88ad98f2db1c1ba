/* The dependency graph of the unfinished jobs: which jobs each of them waits for, and what follows
 * from the end or the cancellation of a job.
 *
 * The graph is pure: it asks nobody and is told everything. A vertex stands for a job that is
 * unfinished, or that an unfinished job depends on. Job ids are chosen once and a job names only
 * jobs accepted before it, so the graph has no cycle. No function recurses, however long the
 * chains are. */
#pragma once

#include "base/types.h"

typedef enum {
  MM_VERTEX_UNKNOWN,    /* neither its record nor its final state has been seen */
  MM_VERTEX_UNFINISHED, /* its record is there, and nothing says that it is cancelled */
  MM_VERTEX_DONE,       /* its final state has been seen in the state service */
  MM_VERTEX_CANCELLED   /* it, or a job that it depends on, directly or not, is cancelled */
} MmVertexState;

typedef struct MmVertex MmVertex;
struct MmVertex {
  MmName job_id;
  MmVertexState state;
  gint64 done_at_ms;           /* time of day of its end, where it is done; 0: not known */
  gboolean is_in_job_table;    /* its record is in the job table */
  gboolean is_being_looked_up; /* its final state is being read */
  MmTime lookup_not_before;    /* not before this */
  GPtrArray *dependencies;     /* MmVertex: the jobs that it depends on */
  GPtrArray *dependents;       /* MmVertex: the unfinished jobs that depend on it */
  guint n_unmet;               /* those of its needs that are not known to be done */
  guint64 last_walk;           /* by the walk with this number */
};

typedef struct {
  GHashTable *vertices; /* job id -> MmVertex */
  GPtrArray *unknown;   /* MmVertex in MM_VERTEX_UNKNOWN */
  guint64 n_walks;
} MmDependencyGraph;

MmDependencyGraph *mm_dependency_graph_new(void);
void mm_dependency_graph_free(MmDependencyGraph *graph);

/* The job's vertex, or NULL: it depends on nothing and nothing unfinished depends on it. */
MmVertex *mm_dependency_graph_find(const MmDependencyGraph *graph, const char *job_id);

/* What a change brought about: vertices, lent until the next change of the graph. */
typedef struct {
  GPtrArray *cancelled; /* MmVertex that are cancelled now and were not before */
  GPtrArray *ready;     /* MmVertex whose last need is done now */
} MmDependencyChange;

void mm_dependency_change_init(MmDependencyChange *change);
void mm_dependency_change_clear(MmDependencyChange *change);

/* The job's record is there, and it depends on `needs`. Later calls for the same job change
 * nothing. Returns its vertex, or NULL when it needs none. */
MmVertex *mm_dependency_graph_add_job(MmDependencyGraph *graph, const char *job_id,
                                      const MmName *dependencies, guint n_dependencies,
                                      MmDependencyChange *change);
/* The job's record says that it is cancelled. Its dependents are cancelled with it. */
void mm_dependency_graph_cancel_job(MmDependencyGraph *graph, const char *job_id,
                                    MmDependencyChange *change);
/* The job's final state was seen. `done_ms` 0: when it was done is not known. */
void mm_dependency_graph_end_job(MmDependencyGraph *graph, const char *job_id,
                                 gboolean is_cancelled, gint64 done_at_ms,
                                 MmDependencyChange *change);
/* The job's record is gone. */
void mm_dependency_graph_remove_job(MmDependencyGraph *graph, const char *job_id);

/* Whether each of the job's needs is known to be done. */
gboolean mm_vertex_dependencies_are_done(const MmVertex *vertex);
/* Whether a job that it depends on is cancelled. */
gboolean mm_vertex_has_cancelled_dependency(const MmVertex *vertex);
/* Time of day at which the last of its needs was done; 0: none, or not known. */
gint64 mm_vertex_dependencies_done_at_ms(const MmVertex *vertex);
/* Whether nothing is known of some job that this one depends on, directly or not: it may be
 * cancelled without showing so here. */
gboolean mm_dependency_graph_is_undecided(MmDependencyGraph *graph, MmVertex *vertex);
