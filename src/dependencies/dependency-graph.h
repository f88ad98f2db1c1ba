/* Dependency graph of the unfinished jobs. It records which jobs each job depends on, and
 * determines which jobs become ready or cancelled when a job ends or is cancelled.
 *
 * The graph is a pure data structure that performs no I/O. It owns its vertices. A vertex
 * represents an unfinished job that has dependencies, or a job that an unfinished job depends on. A
 * vertex is freed once the record of its job was deleted and no unfinished job depends on that job.
 * The graph has no cycles, because a job can depend only on jobs that were accepted before it, and
 * ids are never reused. No function is recursive, so the length of a chain of dependencies does not
 * affect the stack depth. */
#pragma once

#include "base/types.h"

typedef enum {
  MM_VERTEX_UNKNOWN,    /* no job record is present, and no terminal record has been seen */
  MM_VERTEX_UNFINISHED, /* the job record is present, and the job is not known to be cancelled */
  MM_VERTEX_DONE,       /* the terminal record has been seen, with the outcome done */
  MM_VERTEX_CANCELLED   /* the job or a direct or transitive dependency is cancelled */
} MmVertexState;

typedef struct MmVertex MmVertex;
struct MmVertex {
  MmName job_id;
  MmVertexState state;
  gint64 done_at_ms; /* time of day at which the job was done; 0: the job is not done, or the time
                        is unknown */
  gboolean is_in_job_table;
  gboolean is_lookup_pending; /* a read of the job's terminal record is pending */
  MmTime lookup_not_before;   /* earliest time of the next read of the job's terminal record */
  GPtrArray *dependencies;    /* MmVertex: the jobs that this job depends on */
  GPtrArray *dependents;      /* MmVertex: the unfinished jobs that depend on this job */
  guint n_unmet;              /* number of dependencies that are not known to be done */
  guint64 last_traversal;     /* value of n_traversals at the last visit to this vertex */
};

typedef struct {
  GHashTable *vertices; /* job id -> MmVertex, owned */
  GPtrArray *unknown;   /* MmVertex in state MM_VERTEX_UNKNOWN */
  guint64 n_traversals; /* number of traversals so far; also the number of the latest traversal */
} MmDependencyGraph;

MmDependencyGraph *mm_dependency_graph_new(void);
void mm_dependency_graph_free(MmDependencyGraph *graph);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmDependencyGraph, mm_dependency_graph_free)

/* Returns the memory of the graph, in bytes. */
gsize mm_dependency_graph_memory_bytes(const MmDependencyGraph *graph);
/* Returns the vertex of the job, owned by the graph. Returns NULL if the job has no vertex: the job
 * has no dependencies and no unfinished job depends on it. */
MmVertex *mm_dependency_graph_find(const MmDependencyGraph *graph, const char *job_id);

/* The jobs that one or more changes of the graph have cancelled or made ready. The functions below
 * that take a `change` append to its lists. The vertices are owned by the graph;
 * mm_dependency_graph_remove_job may free them. */
typedef struct {
  GPtrArray *cancelled; /* MmVertex that became cancelled */
  GPtrArray *ready;     /* MmVertex whose last outstanding dependency became done */
} MmDependencyChange;

void mm_dependency_change_init(MmDependencyChange *change);
void mm_dependency_change_clear(MmDependencyChange *change);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmDependencyChange, mm_dependency_change_clear)

/* Records that the job record was seen, with these dependencies. Repeated calls for the same job
 * have no effect. Returns the vertex of the job, owned by the graph, or NULL if the job needs no
 * vertex, see mm_dependency_graph_find. */
MmVertex *mm_dependency_graph_add_job(MmDependencyGraph *graph, const char *job_id,
                                      const MmName *dependencies, guint n_dependencies,
                                      MmDependencyChange *change);
/* Marks the job and its direct and transitive dependents as cancelled. */
void mm_dependency_graph_cancel_job(MmDependencyGraph *graph, const char *job_id,
                                    MmDependencyChange *change);
/* Records the outcome of the job, as its terminal record states it. `done_at_ms` is the time of day
 * at which the job was done; 0: unknown. */
void mm_dependency_graph_end_job(MmDependencyGraph *graph, const char *job_id,
                                 gboolean is_cancelled, gint64 done_at_ms,
                                 MmDependencyChange *change);
/* Records that the job record was deleted. The vertex is kept while an unfinished job depends on
 * this job. */
void mm_dependency_graph_remove_job(MmDependencyGraph *graph, const char *job_id);

/* Returns whether all dependencies of the job are known to be done. */
gboolean mm_vertex_dependencies_are_done(const MmVertex *vertex);
/* Returns whether a dependency of the job is cancelled. */
gboolean mm_vertex_has_cancelled_dependency(const MmVertex *vertex);
/* Returns the time of day, in milliseconds, at which the last of the job's dependencies was done.
 * Dependencies for which this time is unknown are ignored. Returns 0 if the time is known for none
 * of the dependencies. */
gint64 mm_vertex_dependencies_done_at_ms(const MmVertex *vertex);
/* Returns whether the state of a direct or transitive dependency of the vertex's job is unknown. In
 * that case, the job may be cancelled although its vertex is not in state MM_VERTEX_CANCELLED. */
gboolean mm_dependency_graph_has_unknown_dependency(MmDependencyGraph *graph, MmVertex *vertex);
