/* The jobs known to this node, as shown by its replica of the key-value store.
 *
 * The table owns the unfinished jobs, one MmJob per job record, and remembers the terminal states
 * of recently ended jobs. The replica calls mm_job_table_put and mm_job_table_remove; terminal
 * records are added by the modules that read or write them. Modules of higher layers observe the
 * table. A MmJob is valid until its job record is removed. Code that refers to a job across
 * asynchronous callbacks must therefore look up the job again by its id. */
#pragma once

#include "config/settings.h"
#include "jobs/job-record.h"
#include "jobs/job.h"

typedef struct MmJobTable MmJobTable;

/* Callbacks for changes of the table. Callbacks that are NULL are skipped. Observers are called in
 * the order in which they were added, from within the call that changes the table. */
typedef struct {
  /* The job was added. A call of `changed` follows. */
  void (*added)(gpointer context, MmJob *job);
  /* A version of the job record was applied. */
  void (*changed)(gpointer context, MmJob *job);
  /* A version of the job record marks the job as cancelled. A call of `changed` follows. */
  void (*cancelled)(gpointer context, const char *job_id);
  /* The job is about to be removed and freed. */
  void (*removing)(gpointer context, MmJob *job);
  /* The job was removed and freed. */
  void (*removed)(gpointer context, const char *job_id);
  /* A terminal record was added. The job may or may not be in the table. */
  void (*ended)(gpointer context, const char *job_id, const MmTerminalState *terminal);
  gpointer context; /* passed to the callbacks */
} MmJobObserver;

struct MmJobTable {
  const MmSettings *settings;
  GArray *observers;             /* MmJobObserver */
  GHashTable *jobs;              /* id -> MmJob, owned */
  GPtrArray *by_submission;      /* MmJob, oldest submission first */
  guint64 generation;            /* incremented when a job is added or removed */
  GHashTable *terminal_states;   /* id -> MmTerminalState; bounded, the oldest are evicted first */
  GQueue *terminal_states_order; /* ids, oldest first */
  GHashTable *removed_ids;       /* ids of jobs whose records were removed; bounded, the oldest are
                                    evicted first */
  GQueue *removed_ids_order;     /* ids, oldest first */
};

/* The settings must outlive the table. */
MmJobTable *mm_job_table_new(const MmSettings *settings);
void mm_job_table_free(MmJobTable *job_table);
/* Copies the observer. */
void mm_job_table_add_observer(MmJobTable *job_table, const MmJobObserver *observer);

/* Returns the unfinished job, owned by the table, or NULL if the job is not in the table. */
MmJob *mm_job_table_find(const MmJobTable *job_table, const char *id);
/* Applies a version of a job record; adds the job if it is not in the table. Ignores a version that
 * is older than the version applied last. Logs and ignores a malformed record of a job that is not
 * in the table. */
void mm_job_table_put(MmJobTable *job_table, const char *id, const MmJson *record,
                      MmKeyVersion version);
/* Records that the job record was deleted. Removes and frees the job if it is in the table. */
void mm_job_table_remove(MmJobTable *job_table, const char *id);
/* Appends one string per job to `keys`: `prefix` followed by the id, oldest submission first. The
 * caller frees the strings. */
void mm_job_table_list_keys(const MmJobTable *job_table, const char *prefix, GPtrArray *keys);

/* Returns the memory of the remembered terminal states and ids of ended jobs, in bytes. */
gsize mm_job_table_ended_memory_bytes(const MmJobTable *job_table);
/* Returns whether the job is known to have ended: its job record was deleted, or its terminal
 * record was added. */
gboolean mm_job_table_has_ended(const MmJobTable *job_table, const char *id);
/* Adds a terminal record that was read from or written to the key-value store. Ignores a value that
 * is not a terminal record. */
void mm_job_table_add_terminal_record(MmJobTable *job_table, const char *id, const MmJson *record);
/* Copies the terminal state of the job to `terminal`. Returns FALSE and leaves `terminal` unchanged
 * if no terminal record of the job was added, or if its terminal state has been evicted since. */
gboolean mm_job_table_get_terminal_state(const MmJobTable *job_table, const char *id,
                                         MmTerminalState *terminal);
/* Returns the body of the status response for an ended job as a new reference, or NULL if its
 * terminal state is not known. */
MmJson *mm_job_table_terminal_response(const MmJobTable *job_table, const char *id);
