/* The states of a job's tasks, at the leader of the job's shard.
 *
 * Only the tasks that differ from their job's other tasks have an entry: tasks that are or may be
 * on a machine, and tasks that were on a machine a short time ago. All other pending tasks are
 * alike, and so are all completed tasks. The memory of the table and the time to visit its entries
 * therefore depend on what runs, and not on the number of tasks that the job's user named.
 *
 * The table does not know which tasks are completed; job.h combines it with the set of completed
 * tasks. */
#pragma once

#include "base/types.h"

typedef struct MmMachine MmMachine;

/* State of a task. Only the leader of the team's shard tracks task states. */
typedef enum {
  MM_TASK_PENDING,          /* on no machine, and no start command is in flight */
  MM_TASK_PLACE_RESERVED,   /* gangs: a machine is reserved; the start has not been sent yet */
  MM_TASK_START_SENT,       /* a start command may be in flight */
  MM_TASK_FETCHING,         /* the machine is fetching the image */
  MM_TASK_WAITING_FOR_GANG, /* ready to run; waits for other tasks of its gang */
  MM_TASK_RUNNING,
  MM_TASK_CHECKPOINTING, /* saving a checkpoint before it stops */
  MM_TASK_DONE
} MmTaskState;

/* A task, as known to the shard leader. Only src/scheduler writes it. */
typedef struct {
  guint number;

  /* task-state.c, except that admission.c and gang.c write start_heartbeat_id: the state of the
   * task, and the machine where the task is or may be */
  guint8 state; /* MmTaskState */
  MmMachine *machine;
  MmAttempt attempt;
  MmHeartbeatId start_heartbeat_id; /* the heartbeat whose response contains the start command */
  MmTime state_since;               /* of a pending task: since when it has waited */

  /* heartbeats.c: errors */
  guint8 n_errors;
  MmTime retry_not_before;
  MmName last_failed_on; /* the machine on which the task last failed */

  /* preemption.c */
  MmTime preempting_until; /* until when resources are being freed for the task by preemption */
  MmName preempting_on;    /* the machine on which the resources are being freed */

  /* stop-commands.c and heartbeats.c */
  gboolean is_stopping; /* a stop was sent, or the machine's termination notice implies the stop */
  MmTime stop_sent_at;  /* when the latest stop was sent */
} MmTask;

typedef struct {
  GPtrArray *entries;       /* MmTask, owned, by ascending number */
  MmTask untouched_pending; /* stands for each pending task without an entry */
  MmTask untouched_done;    /* stands for each completed task without an entry */
} MmTaskTable;

/* Returns a table without entries, whose tasks have been pending since `pending_since`. */
MmTaskTable *mm_task_table_new(MmTime pending_since);
void mm_task_table_free(MmTaskTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmTaskTable, mm_task_table_free)
/* Returns the memory of the table, in bytes. */
gsize mm_task_table_memory_bytes(const MmTaskTable *table);

/* Returns the index of the first entry whose task has this number or a higher one, or the number of
 * entries if there is none. */
guint mm_task_table_find_index(const MmTaskTable *table, guint number);
static inline MmTask *
mm_task_table_at(const MmTaskTable *table, guint index) {
  return (MmTask *)g_ptr_array_index(table->entries, index);
}
/* Returns the entry of the task, or NULL if it has none. An entry stays where it is in memory until
 * it is removed. */
MmTask *mm_task_table_find(const MmTaskTable *table, guint number);
/* Adds an entry for a task that has none, as a copy of `task` with this number. */
MmTask *mm_task_table_add(MmTaskTable *table, guint number, const MmTask *task);
/* Removes the entry of the task if it has one. No machine may refer to the entry any more. */
void mm_task_table_remove(MmTaskTable *table, guint number);
/* Removes the entries for which `may_remove` returns TRUE. Returns how many pending tasks have an
 * entry then. */
guint mm_task_table_remove_if(MmTaskTable *table,
                              gboolean (*may_remove)(const MmTask *task, gconstpointer context),
                              gconstpointer context);
