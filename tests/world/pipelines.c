/* Jobs that depend on other jobs: submission, and the state that follows from their dependencies.
 */
#include "world/world.h"

#include "base/wire.h"

WorldJob *
world_submit_dependent(World *world, MmJson *overrides, double run_s, WorldJob *const *dependencies,
                       guint n_dependencies) {
  MmJson *list = mm_json_new_array();
  WorldJob *job;

  for (guint i = 0; i < n_dependencies; i++)
    mm_json_array_append(list, mm_json_new_string(dependencies[i]->id));
  mm_json_object_set(overrides, WIRE_DEPENDENCIES, list);
  job = world_submit(world, overrides, run_s);
  for (guint i = 0; i < n_dependencies; i++)
    g_ptr_array_add(job->dependencies, dependencies[i]);
  return job;
}

gboolean
world_job_is_ready(const WorldJob *job) {
  for (guint i = 0; i < job->dependencies->len; i++) {
    const WorldJob *dependency = g_ptr_array_index(job->dependencies, i);
    if (dependency->n_done < dependency->spec.n_tasks)
      return FALSE;
  }
  return TRUE;
}

/* Returns the job, as the first element, and all its direct and indirect dependencies. */
static GPtrArray *
job_and_ancestors(const WorldJob *job) {
  GPtrArray *all = g_ptr_array_new();

  g_ptr_array_add(all, (gpointer)job);
  for (guint next = 0; next < all->len; next++) {
    const WorldJob *current = g_ptr_array_index(all, next);
    for (guint i = 0; i < current->dependencies->len; i++)
      if (!g_ptr_array_find(all, g_ptr_array_index(current->dependencies, i), NULL))
        g_ptr_array_add(all, g_ptr_array_index(current->dependencies, i));
  }
  return all;
}

gboolean
world_job_may_be_cancelled(const WorldJob *job) {
  g_autoptr(GPtrArray) all = NULL;

  if (job->is_cancel_requested || job->dependencies->len == 0)
    return job->is_cancel_requested;
  all = job_and_ancestors(job);
  for (guint i = 0; i < all->len; i++)
    if (((const WorldJob *)g_ptr_array_index(all, i))->is_cancel_requested)
      return TRUE;
  return FALSE;
}

gint64
world_job_ancestor_cancelled_us(const WorldJob *job) {
  g_autoptr(GPtrArray) all = job_and_ancestors(job);
  gint64 first_us = 0;

  for (guint i = 1; i < all->len; i++) {
    const WorldJob *ancestor = g_ptr_array_index(all, i);
    if (ancestor->user_view == USER_SEES_CANCELLED
        && (first_us == 0 || ancestor->cancelled_at_us < first_us))
      first_us = ancestor->cancelled_at_us;
  }
  return first_us != 0 ? MAX(first_us, job->submitted_at_us) : 0;
}

void
world_record_ready_jobs(World *world) {
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (job->ready_at_us == 0 && world_job_is_ready(job))
      job->ready_at_us = job->dependencies->len == 0 ? job->submitted_at_us : world->now_us;
  }
}
