/* The dependency graph of the unfinished jobs: which jobs each of them waits for, and what follows
 * from the end or the cancellation of a job.
 *
 * The graph is a data structure without input or output. It owns its vertices. A vertex stands for
 * a job that is unfinished, or that an unfinished job depends on; it is freed when neither holds
 * any more. A job names only jobs accepted before it and no id is used twice, so the graph has no
 * cycle. No function recurses, however long a chain is. */
#pragma once

#include "base/types.h"

typedef enum {
  MM_VERTEX_UNKNOWN,    /* neither its job record nor its terminal record has been seen */
  MM_VERTEX_UNFINISHED, /* its job record was seen, and nothing says that it is cancelled */
  MM_VERTEX_DONE,       /* its terminal record was seen, with the outcome done */
  MM_VERTEX_CANCELLED   /* it, or a job that it depends on, directly or not, is cancelled */
} MmVertexState;

typedef struct MmVertex MmVertex;
struct MmVertex {
  MmName job_id;
  MmVertexState state;
  gint64 done_at_ms; /* time of day of its end, where it is done; 0: unknown */
  gboolean is_in_job_table;
  gboolean is_being_looked_up; /* its terminal record is being read */
  MmTime lookup_not_before;
  GPtrArray *dependencies; /* MmVertex: the jobs that it depends on */
  GPtrArray *dependents;   /* MmVertex: the unfinished jobs that depend on it */
  guint n_unmet;           /* dependencies that are not known to be done */
  guint64 last_walk;       /* number of the last walk that visited it, see n_walks */
};

typedef struct {
  GHashTable *vertices; /* job id -> MmVertex */
  GPtrArray *unknown;   /* MmVertex in MM_VERTEX_UNKNOWN */
  guint64 n_walks;      /* walks through the graph so far */
} MmDependencyGraph;

MmDependencyGraph *mm_dependency_graph_new(void);
void mm_dependency_graph_free(MmDependencyGraph *graph);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmDependencyGraph, mm_dependency_graph_free)

/* The job's vertex, lent, or NULL: it depends on nothing and nothing unfinished depends on it. */
MmVertex *mm_dependency_graph_find(const MmDependencyGraph *graph, const char *job_id);

/* What a change of the graph brought about: vertices, lent until the next change. */
typedef struct {
  GPtrArray *cancelled; /* MmVertex that are cancelled now and were not before */
  GPtrArray *ready;     /* MmVertex whose last dependency is done now */
} MmDependencyChange;

void mm_dependency_change_init(MmDependencyChange *change);
void mm_dependency_change_clear(MmDependencyChange *change);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmDependencyChange, mm_dependency_change_clear)

/* The job's record was seen, with these dependencies. Later calls for the same job change nothing.
 * Returns its vertex, or NULL when it needs none. */
MmVertex *mm_dependency_graph_add_job(MmDependencyGraph *graph, const char *job_id,
                                      const MmName *dependencies, guint n_dependencies,
                                      MmDependencyChange *change);
/* The job is cancelled, and with it all that depend on it. */
void mm_dependency_graph_cancel_job(MmDependencyGraph *graph, const char *job_id,
                                    MmDependencyChange *change);
/* The job's terminal record was seen. `done_at_ms` 0: unknown. */
void mm_dependency_graph_end_job(MmDependencyGraph *graph, const char *job_id,
                                 gboolean is_cancelled, gint64 done_at_ms,
                                 MmDependencyChange *change);
/* The job's record is gone. Its vertex stays while an unfinished job depends on it. */
void mm_dependency_graph_remove_job(MmDependencyGraph *graph, const char *job_id);

/* Whether each of the job's dependencies is known to be done. */
gboolean mm_vertex_dependencies_are_done(const MmVertex *vertex);
/* Whether a job that it depends on is cancelled. */
gboolean mm_vertex_has_cancelled_dependency(const MmVertex *vertex);
/* Time of day at which the last of its dependencies was done; 0: it has none, or unknown. */
gint64 mm_vertex_dependencies_done_at_ms(const MmVertex *vertex);
/* Whether the state of a job that this one depends on, directly or not, is unknown: it may be
 * cancelled without showing so here. */
gboolean mm_dependency_graph_is_undecided(MmDependencyGraph *graph, MmVertex *vertex);
