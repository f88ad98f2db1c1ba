#include "sharing/grants.h"

#include "jobs/job-table.h"
#include "sharing/group-set.h"

static void
grant_list_free(gpointer data) {
  g_array_unref(data);
}

MmGrants *
mm_grants_new(MmNode *node) {
  MmGrants *grants = g_new0(MmGrants, 1);

  grants->node = node;
  grants->outstanding = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, grant_list_free);
  return grants;
}

void
mm_grants_free(MmGrants *grants) {
  g_hash_table_unref(grants->outstanding);
  g_free(grants);
}

static gboolean
is_in_heartbeat(const MmMachine *machine, const MmGrant *grant) {
  return mm_machine_find_reported_task(machine, &grant->job, grant->number, grant->attempt) != NULL;
}

/* Subtracts from `remaining` the resources of reported tasks that have not ended. Returns FALSE if
 * one of these tasks belongs to a job that this node does not know, because the task's resources
 * are then unknown. */
static gboolean
subtract_reported(const MmGrants *grants, const MmMachine *machine, MmResources *remaining) {
  for (guint i = 0; i < machine->reported_tasks->len; i++) {
    const MmReportedTask *task = &g_array_index(machine->reported_tasks, MmReportedTask, i);
    const MmJob *job;

    if (task->state == MM_REPORTED_ENDED)
      continue;
    job = mm_job_table_find(grants->node->job_table, task->job.s);
    if (job == NULL)
      return FALSE;
    *remaining = mm_resources_sub(*remaining, job->spec.task_resources);
  }
  return TRUE;
}

/* Subtracts from `remaining` the resources of places reserved for gang tasks. */
static void
subtract_reserved(const MmMachine *machine, MmResources *remaining) {
  for (guint i = 0; i < machine->placed_tasks->len; i++) {
    const MmPlacedTask *placed = g_ptr_array_index(machine->placed_tasks, i);
    if (placed->task->state == MM_TASK_PLACE_RESERVED)
      *remaining = mm_resources_sub(*remaining, placed->job->spec.task_resources);
  }
}

/* Subtracts from `remaining` the resources of outstanding grants. Returns FALSE if one of these
 * grants belongs to a job that this node no longer knows, because the grant's resources are then
 * unknown. */
static gboolean
subtract_outstanding(const MmGrants *grants, const MmMachine *machine, MmResources *remaining) {
  const GArray *list = g_hash_table_lookup(grants->outstanding, machine->id.s);

  for (guint i = 0; list != NULL && i < list->len; i++) {
    const MmGrant *grant = &g_array_index(list, MmGrant, i);
    const MmJob *job = mm_job_table_find(grants->node->job_table, grant->job.s);
    if (job == NULL)
      return FALSE;
    *remaining = mm_resources_sub(*remaining, job->spec.task_resources);
  }
  return TRUE;
}

MmResources
mm_grants_free_resources(const MmGrants *grants, const MmMachine *machine) {
  MmResources remaining;

  if (machine->type == NULL)
    return (MmResources){ 0 };
  remaining = machine->type->resources;
  subtract_reserved(machine, &remaining);
  if (!subtract_reported(grants, machine, &remaining)
      || !subtract_outstanding(grants, machine, &remaining))
    return (MmResources){ 0 };
  return remaining;
}

static gboolean
is_same_start(const MmGrant *a, const MmGrant *b) {
  return a->attempt.v == b->attempt.v && a->number == b->number && mm_name_equal(&a->job, &b->job);
}

static gboolean
is_outstanding(const GArray *list, const MmGrant *grant) {
  for (guint i = 0; list != NULL && i < list->len; i++)
    if (is_same_start(&g_array_index(list, MmGrant, i), grant))
      return TRUE;
  return FALSE;
}

gboolean
mm_grants_try_grant(MmGrants *grants, MmMachine *machine, const MmGrant *grant) {
  GArray *list = g_hash_table_lookup(grants->outstanding, machine->id.s);
  const MmJob *job = mm_job_table_find(grants->node->job_table, grant->job.s);

  if (is_outstanding(list, grant))
    return TRUE;
  if (job == NULL || mm_heartbeat_id_is_newer(machine->latest_message_id, grant->heartbeat_id)
      || !mm_resources_fits(job->spec.task_resources, mm_grants_free_resources(grants, machine))) {
    grants->n_refused++;
    return FALSE;
  }
  if (list == NULL) {
    list = g_array_new(FALSE, FALSE, sizeof(MmGrant));
    g_hash_table_insert(grants->outstanding, g_strdup(machine->id.s), list);
  }
  g_array_append_val(list, *grant);
  grants->n_granted++;
  return TRUE;
}

/* Returns whether a message that does not show the granted start proves that the start was not
 * executed and never will be. A direct reply from the same incarnation is no such proof, because
 * the worker may have sent it before the response with the start arrived. */
static gboolean
proves_not_started(const MmGrant *grant, MmHeartbeatId heartbeat_id, gboolean is_direct_reply) {
  return heartbeat_id.incarnation > grant->heartbeat_id.incarnation
         || (!is_direct_reply && mm_heartbeat_id_is_newer(heartbeat_id, grant->heartbeat_id));
}

void
mm_grants_heartbeat_received(MmGrants *grants, const MmMachine *machine, MmHeartbeatId heartbeat_id,
                             gboolean is_direct_reply) {
  GArray *list = g_hash_table_lookup(grants->outstanding, machine->id.s);

  for (guint i = list != NULL ? list->len : 0; i > 0; i--) {
    const MmGrant *grant = &g_array_index(list, MmGrant, i - 1);
    if (is_in_heartbeat(machine, grant) || proves_not_started(grant, heartbeat_id, is_direct_reply))
      g_array_remove_index_fast(list, i - 1);
  }
  if (list != NULL && list->len == 0)
    g_hash_table_remove(grants->outstanding, machine->id.s);
}

void
mm_grants_machine_gone(MmGrants *grants, const char *machine) {
  g_hash_table_remove(grants->outstanding, machine);
}

void
mm_grants_drop_group(MmGrants *grants, guint group, guint n_groups) {
  GHashTableIter iter;
  gpointer machine;

  g_hash_table_iter_init(&iter, grants->outstanding);
  while (g_hash_table_iter_next(&iter, &machine, NULL))
    if (mm_group_of_machine(machine, n_groups) == group)
      g_hash_table_iter_remove(&iter);
}

guint
mm_grants_count_outstanding(const MmGrants *grants, guint group, guint n_groups) {
  GHashTableIter iter;
  gpointer machine;
  guint n = 0;

  g_hash_table_iter_init(&iter, grants->outstanding);
  while (g_hash_table_iter_next(&iter, &machine, NULL))
    n += mm_group_of_machine(machine, n_groups) == group;
  return n;
}
