/* How many tasks one machine may have, whatever resources they name.
 *
 * Users may name tasks so small that thousands of them fit on a machine by its resources. Two
 * things limit their number: a worker's report lists all tasks of its machine, and must not be
 * longer than the protocol allows, as the worker could not renew its lease any more; and every node
 * keeps each reported task in memory. */
#pragma once

#include "machines/machine-table.h"

/* No machine may have more tasks than this. */
#define MM_TASK_SLOTS_MAX 256

/* Returns the maximum number of tasks that a machine may have at the present size of the fleet. */
guint mm_task_slots_per_machine(const MmMachineTable *machine_table);
/* Returns how many more tasks the machine may get. Counts the tasks that it reports and those that
 * this node has placed on it as shard leader. */
guint mm_task_slots_free(const MmMachineTable *machine_table, const MmMachine *machine);
