#include "machines/task-slots.h"

/* Share of a node's memory for the tasks on all machines. */
#define TASKS_MEMORY_SHARE 0.25
/* Tasks that a machine may list in its report for each slot. Ended tasks are listed until their
 * results are stored, which may take long while the key-value store is out. */
#define LISTED_TASKS_PER_SLOT 4
/* Memory of a slot, at the leader of the shard: the task's entry in the task table, in the
 * machine's list of placed tasks and in the newest report, and the ended tasks in that report. */
#define SLOT_BYTES 800
/* In a fleet of any size, a machine may have this many tasks. */
#define SLOTS_MIN 64
/* Maximum length of a worker's report, with room for the fields of the machine, and length of a
 * task in it without the id of the task's job. */
#define REPORT_BYTES_MAX (63 * 1024)
#define REPORTED_TASK_BYTES 96

guint
mm_task_slots_per_machine(const MmMachineTable *machine_table) {
  gsize task_bytes = mm_settings_memory_bytes(machine_table->node->settings, TASKS_MEMORY_SHARE);
  guint n_machines = MAX(machine_table->sorted_machines->len, 1);

  return (guint)CLAMP(task_bytes / SLOT_BYTES / n_machines, SLOTS_MIN, MM_TASK_SLOTS_MAX);
}

static gsize
length_in_report(const MmName *job_id) {
  return strlen(job_id->s) + REPORTED_TASK_BYTES;
}

static guint
subtract_down_to_0(guint a, guint b) {
  return a > b ? a - b : 0;
}

guint
mm_task_slots_free(const MmMachineTable *machine_table, const MmMachine *machine) {
  guint n_slots = mm_task_slots_per_machine(machine_table);
  guint n_listed = machine->reported_tasks->len, n_live = 0, n_free;
  gsize report_bytes = 0, n_reportable;

  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    n_live += task->state != MM_REPORTED_ENDED;
    report_bytes += length_in_report(&task->job);
  }
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->task->state != MM_TASK_START_SENT && placed->task->state != MM_TASK_PLACE_RESERVED)
      continue;
    n_live++;
    n_listed++;
    report_bytes += length_in_report(&placed->job->spec.id);
  }
  n_reportable = report_bytes < REPORT_BYTES_MAX
                     ? (REPORT_BYTES_MAX - report_bytes) / (REPORTED_TASK_BYTES + MM_NAME_MAX)
                     : 0;
  n_free = MIN(subtract_down_to_0(n_slots, n_live),
               subtract_down_to_0(n_slots * LISTED_TASKS_PER_SLOT, n_listed));
  return (guint)MIN(n_free, n_reportable);
}
