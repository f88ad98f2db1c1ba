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
  MmName job;
  MmVertexState state;
  gint64 done_ms;        /* time of day of its end, where it is done; 0: not known */
  gboolean in_table;     /* its record is in the job table */
  gboolean looking_up;   /* its final state is being read */
  MmTime look_up_after;  /* not before this */
  GPtrArray *needs;      /* MmVertex: the jobs that it depends on */
  GPtrArray *dependents; /* MmVertex: the unfinished jobs that depend on it */
  guint unmet;           /* those of its needs that are not known to be done */
  guint64 visited;       /* by the walk with this number */
};

typedef struct {
  GHashTable *vertices; /* job id -> MmVertex */
  GPtrArray *unknown;   /* MmVertex in MM_VERTEX_UNKNOWN */
  guint64 walks;
} MmGraph;

MmGraph *mm_graph_new(void);
void mm_graph_free(MmGraph *graph);

/* The job's vertex, or NULL: it depends on nothing and nothing unfinished depends on it. */
MmVertex *mm_graph_find(const MmGraph *graph, const char *job_id);

/* What a change brought about: vertices, lent until the next change of the graph. */
typedef struct {
  GPtrArray *cancelled; /* MmVertex that are cancelled now and were not before */
  GPtrArray *ready;     /* MmVertex whose last need is done now */
} MmGraphChange;

void mm_graph_change_init(MmGraphChange *change);
void mm_graph_change_clear(MmGraphChange *change);

/* The job's record is there, and it depends on `needs`. Later calls for the same job change
 * nothing. Returns its vertex, or NULL when it needs none. */
MmVertex *mm_graph_add(MmGraph *graph, const char *job_id, const MmName *dependencies,
                       guint n_dependencies, MmGraphChange *change);
/* The job's record says that it is cancelled. Its dependents are cancelled with it. */
void mm_graph_cancel(MmGraph *graph, const char *job_id, MmGraphChange *change);
/* The job's final state was seen. `done_ms` 0: when it was done is not known. */
void mm_graph_finish(MmGraph *graph, const char *job_id, gboolean is_cancelled, gint64 done_at_ms,
                     MmGraphChange *change);
/* The job's record is gone. */
void mm_graph_remove(MmGraph *graph, const char *job_id);

/* Whether each of the job's needs is known to be done. */
gboolean mm_vertex_is_ready(const MmVertex *vertex);
/* Whether a job that it depends on is cancelled. */
gboolean mm_vertex_needs_cancelled(const MmVertex *vertex);
/* Time of day at which the last of its needs was done; 0: none, or not known. */
gint64 mm_vertex_ready_ms(const MmVertex *vertex);
/* Whether nothing is known of some job that this one depends on, directly or not: it may be
 * cancelled without showing so here. */
gboolean mm_graph_is_undecided(MmGraph *graph, MmVertex *vertex);
