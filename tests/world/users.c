/* Users: they submit until they are answered, poll until the job is over, and remember what they
 * were told. */
#include "world/world.h"

#include "base/wire.h"

/* How old an answer may be by the time that its user has it. */
#define ANSWER_S 2

static void submit(gpointer data);
static void poll(gpointer data);
static void cancel(gpointer data);

WorldJob *
world_find_job(World *world, const char *id) {
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = g_ptr_array_index(world->jobs, i);
    if (strcmp(job->id, id) == 0)
      return job;
  }
  return NULL;
}

static guint
any_node(World *world) {
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);

  return (gint)node == world->users_shun ? (node + 1) % WORLD_NODES : node;
}

/* A request, with what its user had been told when it was sent: of two under way at once either may
 * be answered first, so only what was known before binds. */
typedef struct {
  WorldJob *job;
  WorldTold told;
  gboolean accepted;
} Ask;

static Ask *
ask_new(WorldJob *job) {
  Ask *question = g_new(Ask, 1);

  *question = (Ask){ job, job->told, job->ever_accepted };
  return question;
}

static void
check_orphaned(const WorldJob *job, const char *state) {
  World *world = job->world;
  gint64 cancelled_us = world_job_orphaned_us(job);

  if (cancelled_us != 0
      && (double)(world->now_us - cancelled_us) > (world->cancel_s + ANSWER_S) * G_USEC_PER_SEC)
    world_break(world,
                "orphaned: %s is still called %s %.1f s after its user or that of one before it"
                " was told",
                job->id, state, (double)(world->now_us - cancelled_us) / G_USEC_PER_SEC);
}

static void
told(const Ask *question, const json_t *body) {
  WorldJob *job = question->job;
  World *world = job->world;
  const char *state = mm_json_string(body, WIRE_STATE);

  job->answered_us = world->now_us;
  if (g_strcmp0(state, WIRE_DONE) == 0) {
    if (job->n_done < job->spec.n_tasks)
      world_break(world, "not_done: %s is called done with %u of %u tasks", job->id, job->n_done,
                  job->spec.n_tasks);
    if (job->told == TOLD_CANCELLED)
      world_break(world, "went_back: %s from cancelled to done", job->id);
    job->told = TOLD_DONE;
  } else if (g_strcmp0(state, WIRE_CANCELLED) == 0) {
    if (!world_job_may_be_cancelled(job) || job->told == TOLD_DONE)
      world_break(world, "went_back: %s is called cancelled", job->id);
    if (job->told != TOLD_CANCELLED)
      job->told_us = world->now_us;
    job->told = TOLD_CANCELLED;
  } else {
    if (question->told == TOLD_DONE || question->told == TOLD_CANCELLED)
      world_break(world, "went_back: %s is %s after it was over", job->id, state);
    check_orphaned(job, state);
    job->told = MAX(job->told, ACCEPTED);
  }
}

static void
submitted(gpointer data, int status, json_t *body) {
  g_autofree Ask *question = data;
  WorldJob *job = question->job;
  World *world = job->world;

  if (status == 200 || status == 201) {
    told(question, body);
    job->ever_accepted = TRUE;
    world_at(world, world->now_us + G_USEC_PER_SEC, poll, job);
    return;
  }
  if (question->accepted && (status == 400 || status == 422 || status == 404))
    world_break(world, "forgotten: %s gets %d", job->id, status);
  g_assert_true(status == 0 || status == 503 || status == 429);
  world_at(world, world->now_us + G_USEC_PER_SEC, submit, job);
}

static void
submit(gpointer data) {
  WorldJob *job = data;

  if (job->world->closing)
    return;
  world_ask_node(job->world, any_node(job->world), NULL, "POST", WIRE_JOBS_PATH,
                 json_deep_copy(job->body), 5 * (gint64)G_USEC_PER_SEC, submitted, ask_new(job));
}

static void
ignore_submitted(gpointer data, int status, json_t *body) {
  g_autofree Ask *question = data;
  WorldJob *job = question->job;

  if (status == 200 || status == 201)
    told(question, body);
  else if (status == 400 || status == 422 || status == 404)
    world_break(job->world, "forgotten: a repeated submission of %s gets %d", job->id, status);
}

static void
polled(gpointer data, int status, json_t *body) {
  g_autofree Ask *question = data;
  WorldJob *job = question->job;
  World *world = job->world;

  if (status == 200)
    told(question, body);
  else if (status == 404)
    world_break(world, "forgotten: %s gets 404", job->id);
  /* Those that are over are asked for again, more rarely, and now and then submitted again. */
  if (world_uniform(world, 0, 1) < 0.05)
    world_ask_node(world, any_node(world), NULL, "POST", WIRE_JOBS_PATH, json_deep_copy(job->body),
                   5 * (gint64)G_USEC_PER_SEC, ignore_submitted, ask_new(job));
  world_at(world, world->now_us + (job->told >= TOLD_CANCELLED ? 9 : 3) * (gint64)G_USEC_PER_SEC,
           poll, job);
}

static void
poll(gpointer data) {
  WorldJob *job = data;
  g_autofree char *path = g_strdup_printf(WIRE_JOBS_PATH "/%s", job->id);

  if (!job->world->closing)
    world_ask_node(job->world, any_node(job->world), NULL, "GET", path, NULL,
                   2 * (gint64)G_USEC_PER_SEC, polled, ask_new(job));
}

static void
cancel_answered(gpointer data, int status, json_t *body) {
  g_autofree Ask *question = data;
  WorldJob *job = question->job;

  if (status == 200)
    told(question, body);
  else
    world_at(job->world, job->world->now_us + G_USEC_PER_SEC, cancel, job);
}

static void
cancel(gpointer data) {
  WorldJob *job = data;
  g_autofree char *path = g_strdup_printf(WIRE_JOBS_PATH "/%s/" WIRE_CANCEL_WORD, job->id);

  if (job->world->closing)
    return;
  if (!job->ever_accepted) {
    world_at(job->world, job->world->now_us + G_USEC_PER_SEC, cancel, job);
    return;
  }
  job->asked_cancel = TRUE;
  world_ask_node(job->world, any_node(job->world), NULL, "POST", path, NULL,
                 5 * (gint64)G_USEC_PER_SEC, cancel_answered, ask_new(job));
}

void
world_cancel(WorldJob *job) {
  cancel(job);
}

static void
nobody_submitted(gpointer data, int status, json_t *body) {
  if (status == 200)
    world_break(data, "invented: a job nobody submitted is answered 200");
}

WorldJob *
world_submit(World *world, json_t *overrides, double run_s) {
  WorldJob *job = g_new0(WorldJob, 1);
  const char *reason = NULL;

  job->world = world;
  job->run_s = run_s;
  job->submitted_us = world->now_us;
  g_snprintf(job->id, sizeof job->id, "run-%06u", (++world->next_job * 7919) % 1000000);
  job->body = json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f, s:f}",
      WIRE_JOB_ID, job->id, WIRE_CLASS, "work", WIRE_TEAM, "team-0", WIRE_KIND, WIRE_KIND_ARRAY,
      WIRE_PRIORITY, "normal", WIRE_TASKS, 4, WIRE_CORES, 2.0, WIRE_ACCELERATORS, 0.0, WIRE_MEMORY,
      4.0, WIRE_IMAGE, "img-1", WIRE_IMAGE_GB, 1.0, WIRE_ONE_ZONE, 0, WIRE_SPREAD, 0, WIRE_SPOT, 1,
      WIRE_ESTIMATE, run_s, WIRE_CHECKPOINT, 0.0, WIRE_SAVE, 0.0);
  json_object_update(job->body, overrides);
  json_decref(overrides);
  g_assert_true(mm_job_spec_parse(&job->spec, job->body, &reason));
  job->done = g_new0(gboolean, job->spec.n_tasks);
  job->needs = g_ptr_array_new();
  g_ptr_array_add(world->jobs, job);
  submit(job);
  world_ask_node(world, any_node(world), NULL, "GET", WIRE_JOBS_PATH "/run-77777777", NULL,
                 2 * (gint64)G_USEC_PER_SEC, nobody_submitted, world);
  return job;
}

json_t *
world_random_job(World *world) {
  static const char *const kinds[]
      = { WIRE_KIND_ARRAY, WIRE_KIND_ARRAY, WIRE_KIND_SERVICE, WIRE_KIND_GANG };
  static const char *const priorities[] = { "low", "normal", "urgent", "critical" };
  guint kind = (guint)g_rand_int_range(world->rand, 0, 4);
  g_autofree char *team = g_strdup_printf("team-%d", g_rand_int_range(world->rand, 0, 4));
  g_autofree char *image = g_strdup_printf("img-%d", g_rand_int_range(world->rand, 0, 5));
  gint max_tasks = kind < 2 ? 9 : 5;
  json_t *job = json_pack(
      "{s:s, s:s, s:s, s:s, s:i, s:b, s:b, s:b}", WIRE_TEAM, team, WIRE_KIND, kinds[kind],
      WIRE_IMAGE, image, WIRE_PRIORITY, priorities[g_rand_int_range(world->rand, 0, 4)], WIRE_TASKS,
      g_rand_int_range(world->rand, 1, max_tasks), WIRE_SPOT, g_rand_boolean(world->rand),
      WIRE_SPREAD, kind == 2, WIRE_ONE_ZONE, kind == 3 && g_rand_boolean(world->rand));

  if (world_uniform(world, 0, 1) < 0.2)
    json_object_set_new(job, WIRE_ZONE, json_string("b"));
  return job;
}
