/* Random load and faults, unusual user requests, and the end of a test run. */
#include "world/world.h"

#include "base/wire.h"
#include "leases/shard-ownership.h"

#define SECOND ((gint64)G_USEC_PER_SEC)

WorldJob *
world_any_job(World *world) {
  return g_ptr_array_index(world->jobs,
                           (guint)g_rand_int_range(world->rand, 0, (gint32)world->jobs->len));
}

void
world_inject_random_fault(World *world) {
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  WorldMachine *machine = g_ptr_array_index(
      world->machines, (guint)g_rand_int_range(world->rand, 0, (gint32)world->machines->len));

  switch (g_rand_int_range(world->rand, 0, 10)) {
  case 0:
    world_kill_node(world, node, world_uniform(world, 0, 1) < 0.3 ? 0.2 : 3);
    break;
  case 1:
    world_kv_outage(world, world_uniform(world, 1, 10));
    break;
  case 2:
    world->nodes[node].kv_refuses_until_us
        = world->now_us + (gint64)(world_uniform(world, 1, 10) * SECOND);
    break;
  case 3:
    machine->suspended_until_us = world->now_us + (gint64)(world_uniform(world, 1, 12) * SECOND);
    break;
  case 4:
    machine->partitioned_until_us = world->now_us + (gint64)(world_uniform(world, 1, 20) * SECOND);
    break;
  case 5:
    world_suspend_node(world, node, world_uniform(world, 0.2, 2 * world->worker_lease_s));
    break;
  case 6:
    world_partition_zone(world, node, world_uniform(world, 1, 20), g_rand_boolean(world->rand));
    break;
  case 7:
    world->kv_slow_s = world_uniform(world, 0.1, 1);
    world->kv_slow_until_us = world->now_us + 10 * SECOND;
    break;
  case 8:
    if (machine->is_up)
      world_kill_machine(world, machine);
    break;
  default:
    world_refuse_links(world, world_uniform(world, 2, 15));
    break;
  }
}

void
world_add_random_activity(World *world, guint second) {
  if (second % 3 == 0)
    world_submit(world, world_random_job_body(world), world_uniform(world, 1, 12));
  if (second % 13 == 7)
    world_cancel(world_any_job(world));
  if (second > 10 && world_uniform(world, 0, 1) < 0.15)
    world_inject_random_fault(world);
}

guint
world_node_leading_most_shards(World *world) {
  guint leader = G_MAXUINT, max_led = 0;

  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmNode *node = world->nodes[i].node;
    const MmShardOwnership *ownership = node != NULL ? node->shard_ownership : NULL;
    guint n_led = 0;
    for (guint k = 0; ownership != NULL && k < ownership->shard_names->len; k++)
      n_led += mm_shard_ownership_leads(ownership, g_ptr_array_index(ownership->shard_names, k));
    if (ownership != NULL && (leader == G_MAXUINT || n_led > max_led)) {
      leader = i;
      max_led = n_led;
    }
  }
  g_assert_cmpuint(leader, !=, G_MAXUINT);
  return leader;
}

guint
world_count_cancelled_tasks(const World *world) {
  guint n_cancelled = 0;

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    for (guint k = 0; k < machine->tasks->len; k++) {
      const WorldTask *task = g_ptr_array_index(machine->tasks, k);
      n_cancelled += world_task_is_on_machine(task) && task->job->user_view == USER_SEES_CANCELLED;
    }
  }
  return n_cancelled;
}

/* Unusual user requests */

/* The response that an unusual request must get. */
typedef struct {
  World *world;
  int status;
  const char *state; /* expected state of the job; NULL: not checked */
  char *description;
} ExpectedResponse;

static void
on_unusual_response(gpointer data, int status, MmJson *body) {
  ExpectedResponse *expected = data;
  const char *state = mm_json_string(body, WIRE_STATE);

  if (status == expected->status
      && (expected->state == NULL || g_strcmp0(state, expected->state) == 0))
    expected->world->n_unusual_requests_correct++;
  else if (status != 0 && status != 503)
    world_report_violation(expected->world, "odd_request: %s: unexpected response %d %s",
                           expected->description, status, state);
  g_free(expected->description);
  g_free(expected);
}

static void
send_unusual_request(World *world, const char *method, const char *path, MmJson *body, int status,
                     const char *state, const char *description) {
  ExpectedResponse *expected = g_new(ExpectedResponse, 1);
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);

  *expected = (ExpectedResponse){ world, status, state, g_strdup(description) };
  world_send_request(world, node, NULL, method, path, body, 2 * (gint64)G_USEC_PER_SEC,
                     on_unusual_response, expected);
}

static MmJson *
copy_body_with_new_id(World *world, const WorldJob *template) {
  MmJson *body = mm_json_copy(template->body);
  g_autofree char *id = g_strdup_printf("run-9%08u", ++world->last_job_number);

  mm_json_object_set(body, WIRE_JOB_ID, mm_json_new_string(id));
  return body;
}

void
world_send_unusual_requests(World *world) {
  WorldJob *template = world_job_at(world, 0);
  MmJson *body = copy_body_with_new_id(world, template);
  const char *field;
  MmJson *value;

  mm_json_object_set(body, WIRE_CORES, mm_json_new_real(17));
  send_unusual_request(world, "POST", WIRE_JOBS_PATH, body, 422, NULL,
                       "submission of a job that fits no machine");
  MM_JSON_OBJECT_FOREACH (template->body, field, value) {
    /* These two fields may be null and may therefore also be absent. */
    if (strcmp(field, WIRE_ZONE) == 0 || strcmp(field, WIRE_DEPENDENCIES) == 0)
      continue;
    body = copy_body_with_new_id(world, template);
    mm_json_object_remove(body, field);
    send_unusual_request(world, "POST", WIRE_JOBS_PATH, body, 400, NULL, field);
  }
  send_unusual_request(world, "GET", WIRE_JOBS_PATH "/run-555555555", NULL, 404, NULL,
                       "query of a job that was never submitted");
  send_unusual_request(world, "POST", WIRE_JOBS_PATH "/run-555555555/" WIRE_CANCEL_WORD, NULL, 404,
                       NULL, "cancellation of a job that was never submitted");
  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    g_autofree char *path = g_strdup_printf(WIRE_JOBS_PATH "/%s/" WIRE_CANCEL_WORD, job->id);
    if (job->user_view == USER_SEES_DONE)
      send_unusual_request(world, "POST", path, NULL, 200, WIRE_DONE, job->id);
    else if (job->was_accepted)
      send_unusual_request(world, "POST", WIRE_JOBS_PATH, mm_json_copy(job->body), 200, NULL,
                           job->id);
  }
}

void
world_add_nine_machines(World *world) {
  for (guint i = 0; i < 9; i++)
    world_add_machine(world, i % 4 == 3 ? "big" : "small",
                      i % 3 == 0   ? "a"
                      : i % 3 == 1 ? "b"
                                   : "c",
                      FALSE, 0.1);
}

void
world_finish_run(World *world) {
  world->late_write_rate = 0;
  world->delays_acquisitions = FALSE;
  /* Faults that are still active may continue for a while. The checks assume that all faults have
   * ended after 45 s. */
  world->faults_ended_at_us = world->now_us + 45 * SECOND;
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (job->spec.kind == MM_JOB_KIND_SERVICE && !job->is_cancel_requested)
      world_cancel(job);
  }
  world_run(world, 200);
  world_assert_invariants(world);
  world_assert_all_jobs_finished(world);
  world_free(world);
}
