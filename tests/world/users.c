/* Simulated users. A user submits a job repeatedly until a response arrives, then polls the state
 * of the job. Each response is checked against the earlier responses. */
#include "world/world.h"

#include "base/wire.h"

/* Maximum time between the sending of a response and its arrival at the user. */
#define ANSWER_MAX_AGE_S 2

static void submit_job(gpointer data);
static void poll_job(gpointer data);
static void cancel_job(gpointer data);

WorldJob *
world_find_job(World *world, const char *id) {
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (strcmp(job->id, id) == 0)
      return job;
  }
  return NULL;
}

static guint
pick_node(World *world) {
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);

  return (gint)node == world->avoided_node ? (node + 1) % WORLD_NODES : node;
}

/* A request, and what the user knew about the job when the request was sent. A response must be
 * consistent only with that knowledge, because two pending requests may be answered in either
 * order. */
typedef struct {
  WorldJob *job;
  WorldUserView user_view_when_sent;
  gboolean was_accepted_when_sent;
} UserRequest;

static UserRequest *
user_request_new(WorldJob *job) {
  UserRequest *request = g_new(UserRequest, 1);

  *request = (UserRequest){ job, job->user_view, job->was_accepted };
  return request;
}

static void
check_ancestor_cancelled(const WorldJob *job, const char *state) {
  World *world = job->world;
  gint64 cancelled_us = world_job_ancestor_cancelled_us(job);

  if (cancelled_us != 0
      && (double)(world->now_us - cancelled_us)
             > (world->cancel_s + ANSWER_MAX_AGE_S) * G_USEC_PER_SEC)
    world_report_violation(
        world,
        "orphaned: job %s is still reported as %s %.1f s after the cancellation of a job that it"
        " depends on was confirmed",
        job->id, state, (double)(world->now_us - cancelled_us) / G_USEC_PER_SEC);
}

static void
record_job_state(const UserRequest *request, const MmJson *body) {
  WorldJob *job = request->job;
  World *world = job->world;
  const char *state = mm_json_string(body, WIRE_STATE);

  job->last_answer_at_us = world->now_us;
  if (g_strcmp0(state, WIRE_DONE) == 0) {
    if (job->n_done < job->spec.n_tasks)
      world_report_violation(world, "not_done: job %s reported as done with %u of %u tasks done",
                             job->id, job->n_done, job->spec.n_tasks);
    if (job->user_view == USER_SEES_CANCELLED)
      world_report_violation(world, "went_back: job %s changed from cancelled to done", job->id);
    job->user_view = USER_SEES_DONE;
  } else if (g_strcmp0(state, WIRE_CANCELLED) == 0) {
    if (!world_job_may_be_cancelled(job) || job->user_view == USER_SEES_DONE)
      world_report_violation(
          world, "went_back: job %s reported as cancelled without a request or after it was done",
          job->id);
    if (job->user_view != USER_SEES_CANCELLED)
      job->cancelled_at_us = world->now_us;
    job->user_view = USER_SEES_CANCELLED;
  } else {
    if (request->user_view_when_sent == USER_SEES_DONE
        || request->user_view_when_sent == USER_SEES_CANCELLED)
      world_report_violation(world, "went_back: job %s reported as %s after it had finished",
                             job->id, state);
    check_ancestor_cancelled(job, state);
    job->user_view = MAX(job->user_view, USER_SEES_ACCEPTED);
  }
}

static void
on_submit_response(gpointer data, int status, MmJson *body) {
  g_autofree UserRequest *request = data;
  WorldJob *job = request->job;
  World *world = job->world;

  if (status == 200 || status == 201) {
    record_job_state(request, body);
    job->was_accepted = TRUE;
    world_schedule(world, world->now_us + G_USEC_PER_SEC, poll_job, job);
    return;
  }
  if (request->was_accepted_when_sent && (status == 400 || status == 422 || status == 404))
    world_report_violation(world,
                           "forgotten: submission of the accepted job %s answered with status %d",
                           job->id, status);
  g_assert_true(status == 0 || status == 503 || status == 429);
  world_schedule(world, world->now_us + G_USEC_PER_SEC, submit_job, job);
}

static void
submit_job(gpointer data) {
  WorldJob *job = data;

  if (job->world->is_shutting_down)
    return;
  world_send_request(job->world, pick_node(job->world), NULL, "POST", WIRE_JOBS_PATH,
                     mm_json_copy(job->body), 5 * (gint64)G_USEC_PER_SEC, on_submit_response,
                     user_request_new(job));
}

static void
on_resubmit_response(gpointer data, int status, MmJson *body) {
  g_autofree UserRequest *request = data;
  WorldJob *job = request->job;

  if (status == 200 || status == 201)
    record_job_state(request, body);
  else if (status == 400 || status == 422 || status == 404)
    world_report_violation(job->world,
                           "forgotten: repeated submission of job %s answered with status %d",
                           job->id, status);
}

static void
on_poll_response(gpointer data, int status, MmJson *body) {
  g_autofree UserRequest *request = data;
  WorldJob *job = request->job;
  World *world = job->world;

  if (status == 200)
    record_job_state(request, body);
  else if (status == 404)
    world_report_violation(world, "forgotten: query of job %s answered with status 404", job->id);
  /* Users continue to poll finished jobs, but less often, and sometimes submit a job again. */
  if (world_uniform(world, 0, 1) < 0.05)
    world_send_request(world, pick_node(world), NULL, "POST", WIRE_JOBS_PATH,
                       mm_json_copy(job->body), 5 * (gint64)G_USEC_PER_SEC, on_resubmit_response,
                       user_request_new(job));
  world_schedule(world,
                 world->now_us
                     + (job->user_view >= USER_SEES_CANCELLED ? 9 : 3) * (gint64)G_USEC_PER_SEC,
                 poll_job, job);
}

static void
poll_job(gpointer data) {
  WorldJob *job = data;
  g_autofree char *path = g_strdup_printf(WIRE_JOBS_PATH "/%s", job->id);

  if (!job->world->is_shutting_down)
    world_send_request(job->world, pick_node(job->world), NULL, "GET", path, NULL,
                       2 * (gint64)G_USEC_PER_SEC, on_poll_response, user_request_new(job));
}

static void
on_cancel_response(gpointer data, int status, MmJson *body) {
  g_autofree UserRequest *request = data;
  WorldJob *job = request->job;

  if (status == 200)
    record_job_state(request, body);
  else
    world_schedule(job->world, job->world->now_us + G_USEC_PER_SEC, cancel_job, job);
}

static void
cancel_job(gpointer data) {
  WorldJob *job = data;
  g_autofree char *path = g_strdup_printf(WIRE_JOBS_PATH "/%s/" WIRE_CANCEL_WORD, job->id);

  if (job->world->is_shutting_down)
    return;
  if (!job->was_accepted) {
    world_schedule(job->world, job->world->now_us + G_USEC_PER_SEC, cancel_job, job);
    return;
  }
  job->is_cancel_requested = TRUE;
  world_send_request(job->world, pick_node(job->world), NULL, "POST", path, NULL,
                     5 * (gint64)G_USEC_PER_SEC, on_cancel_response, user_request_new(job));
}

void
world_cancel(WorldJob *job) {
  cancel_job(job);
}

static void
on_unknown_job_response(gpointer data, int status, MmJson *body) {
  if (status == 200)
    world_report_violation(
        data, "invented: query of a job that was never submitted answered with status 200");
}

WorldJob *
world_submit(World *world, MmJson *overrides, double run_s) {
  WorldJob *job = g_new0(WorldJob, 1);
  const char *reason = NULL, *field;
  MmJson *value;

  job->world = world;
  job->run_s = run_s;
  job->submitted_at_us = world->now_us;
  g_snprintf(job->id, sizeof job->id, "run-%06u", (++world->last_job_number * 7919) % 1000000);
  job->body = mm_json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f, s:f}",
      WIRE_JOB_ID, job->id, WIRE_CLASS, "work", WIRE_TEAM, "team-0", WIRE_KIND, WIRE_KIND_ARRAY,
      WIRE_PRIORITY, "normal", WIRE_TASKS, 4, WIRE_CORES, 2.0, WIRE_ACCELERATORS, 0.0, WIRE_MEMORY,
      4.0, WIRE_IMAGE, "img-1", WIRE_IMAGE_GB, 1.0, WIRE_ONE_ZONE, 0, WIRE_SPREAD, 0, WIRE_SPOT, 1,
      WIRE_ESTIMATE, run_s, WIRE_CHECKPOINT_INTERVAL, 0.0, WIRE_CHECKPOINT_DURATION, 0.0);
  MM_JSON_OBJECT_FOREACH (overrides, field, value)
    mm_json_object_set(job->body, field, mm_json_ref(value));
  mm_json_unref(overrides);
  g_assert_true(mm_job_spec_parse(&job->spec, job->body, &reason));
  job->is_task_done = g_new0(gboolean, job->spec.n_tasks);
  job->dependencies = g_ptr_array_new();
  g_ptr_array_add(world->jobs, job);
  submit_job(job);
  world_send_request(world, pick_node(world), NULL, "GET", WIRE_JOBS_PATH "/run-77777777", NULL,
                     2 * (gint64)G_USEC_PER_SEC, on_unknown_job_response, world);
  return job;
}

MmJson *
world_random_job_body(World *world) {
  static const char *const kinds[]
      = { WIRE_KIND_ARRAY, WIRE_KIND_ARRAY, WIRE_KIND_SERVICE, WIRE_KIND_GANG };
  static const char *const priorities[] = { "low", "normal", "urgent", "critical" };
  guint kind = (guint)g_rand_int_range(world->rand, 0, 4);
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  g_autofree char *image = g_strdup_printf("img-%d", g_rand_int_range(world->rand, 0, 5));
  gint max_tasks = kind < 2 ? 9 : 5;
  MmJson *job = mm_json_pack(
      "{s:s, s:s, s:s, s:s, s:i, s:b, s:b, s:b}", WIRE_TEAM, team, WIRE_KIND, kinds[kind],
      WIRE_IMAGE, image, WIRE_PRIORITY, priorities[g_rand_int_range(world->rand, 0, 4)], WIRE_TASKS,
      g_rand_int_range(world->rand, 1, max_tasks), WIRE_SPOT, g_rand_boolean(world->rand),
      WIRE_SPREAD, kind == 2, WIRE_ONE_ZONE, kind == 3 && g_rand_boolean(world->rand));

  if (world_uniform(world, 0, 1) < 0.2)
    mm_json_object_set(job, WIRE_ZONE, mm_json_new_string("b"));
  return job;
}
