/* The jobs that this node knows, as the replica of the key-value store shows them.
 *
 * The table owns the unfinished jobs, one MmJob for each job record, and remembers how the jobs
 * that ended lately did. The replica feeds it (put, remove, terminal records); modules above it
 * observe it. A MmJob is valid until its record goes; whoever keeps one over a callback looks it up
 * again by its id. */
#pragma once

#include "config/settings.h"
#include "jobs/job-record.h"
#include "jobs/job.h"

typedef struct MmJobTable MmJobTable;

/* Whom the table notifies of its changes. Members may be NULL. Observers are called in the order in
 * which they were added, from within the call that changes the table. */
typedef struct {
  /* The job was added; `changed` follows. */
  void (*added)(gpointer context, MmJob *job);
  /* A version of the job record was taken over. */
  void (*changed)(gpointer context, MmJob *job);
  /* A version of the job record says that the job is cancelled; `changed` follows. */
  void (*cancelled)(gpointer context, const char *job_id);
  /* The job is about to be removed and freed. */
  void (*removing)(gpointer context, MmJob *job);
  /* The job has been removed. */
  void (*removed)(gpointer context, const char *job_id);
  /* A terminal record was read, of a job that the table may or may not have. */
  void (*ended)(gpointer context, const char *job_id, const MmTerminalState *terminal);
  gpointer context; /* the observer's own */
} MmJobObserver;

struct MmJobTable {
  const MmSettings *settings;
  GArray *observers;           /* MmJobObserver */
  GHashTable *jobs;            /* id -> MmJob, owned */
  GPtrArray *by_submission;    /* MmJob, oldest submission first */
  guint64 generation;          /* rises when a job is added or removed */
  GHashTable *terminal_states; /* id -> MmTerminalState; bounded, oldest forgotten first */
  GQueue *terminal_states_order;
  GHashTable *removed_ids; /* ids of jobs whose records were removed; bounded likewise */
  GQueue *removed_ids_order;
};

/* The settings must outlive the table. */
MmJobTable *mm_job_table_new(const MmSettings *settings);
void mm_job_table_free(MmJobTable *job_table);
/* Copies the observer. */
void mm_job_table_add_observer(MmJobTable *job_table, const MmJobObserver *observer);

/* The unfinished job, lent, or NULL. */
MmJob *mm_job_table_find(const MmJobTable *job_table, const char *id);
/* The job record has this content at this version. An older version than the one known is ignored;
 * a new record that is malformed is logged and ignored. */
void mm_job_table_put(MmJobTable *job_table, const char *id, const json_t *record,
                      MmKeyVersion version);
/* The job record is gone. Frees the job, if it is known. */
void mm_job_table_remove(MmJobTable *job_table, const char *id);
/* Appends `prefix` and the id of each job, oldest submission first; the strings are the caller's.
 */
void mm_job_table_list_keys(const MmJobTable *job_table, const char *prefix, GPtrArray *keys);

/* Whether the job is known to have ended: its record is gone, or its terminal record was read. */
gboolean mm_job_table_is_over(const MmJobTable *job_table, const char *id);
/* Takes over a terminal record that was read from the key-value store. Ignores what is none. */
void mm_job_table_add_terminal_record(MmJobTable *job_table, const char *id, const json_t *record);
/* FALSE, and `terminal` untouched, when the terminal record has not been read, or long ago. */
gboolean mm_job_table_get_terminal_state(const MmJobTable *job_table, const char *id,
                                         MmTerminalState *terminal);
/* The response to a user about a job that ended, or NULL when its terminal state is not known. */
json_t *mm_job_table_terminal_response(const MmJobTable *job_table, const char *id);
