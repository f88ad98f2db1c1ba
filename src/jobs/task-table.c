#include "jobs/task-table.h"

MmTaskTable *
mm_task_table_new(MmTime pending_since) {
  MmTaskTable *table = g_new0(MmTaskTable, 1);

  table->entries = g_ptr_array_new_with_free_func(g_free);
  table->untouched_pending.state = MM_TASK_PENDING;
  table->untouched_pending.state_since = pending_since;
  table->untouched_done.state = MM_TASK_DONE;
  table->untouched_done.state_since = pending_since;
  return table;
}

void
mm_task_table_free(MmTaskTable *table) {
  g_ptr_array_unref(table->entries);
  g_free(table);
}

gsize
mm_task_table_memory_bytes(const MmTaskTable *table) {
  return sizeof *table + table->entries->len * (sizeof(MmTask) + sizeof(gpointer));
}

guint
mm_task_table_find_index(const MmTaskTable *table, guint number) {
  guint low = 0, high = table->entries->len;

  while (low < high) {
    guint middle = low + (high - low) / 2;
    if (mm_task_table_at(table, middle)->number < number)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

MmTask *
mm_task_table_find(const MmTaskTable *table, guint number) {
  guint index = mm_task_table_find_index(table, number);
  MmTask *task = index < table->entries->len ? mm_task_table_at(table, index) : NULL;

  return task != NULL && task->number == number ? task : NULL;
}

MmTask *
mm_task_table_add(MmTaskTable *table, guint number, const MmTask *task) {
  MmTask *added = g_new(MmTask, 1);

  *added = *task;
  added->number = number;
  g_ptr_array_insert(table->entries, (gint)mm_task_table_find_index(table, number), added);
  return added;
}

void
mm_task_table_remove(MmTaskTable *table, guint number) {
  guint index = mm_task_table_find_index(table, number);

  if (index < table->entries->len && mm_task_table_at(table, index)->number == number)
    g_ptr_array_remove_index(table->entries, index);
}

guint
mm_task_table_remove_if(MmTaskTable *table,
                        gboolean (*may_remove)(const MmTask *task, gconstpointer context),
                        gconstpointer context) {
  gpointer *entries = table->entries->pdata;
  guint n_kept = 0, n_pending = 0;

  /* Moves the entries that are kept to the front, in order, and thus the others to the end. */
  for (guint i = 0; i < table->entries->len; i++) {
    MmTask *task = entries[i];
    if (may_remove(task, context))
      continue;
    entries[i] = entries[n_kept];
    entries[n_kept++] = task;
    n_pending += task->state == MM_TASK_PENDING;
  }
  g_ptr_array_set_size(table->entries, (gint)n_kept);
  return n_pending;
}
