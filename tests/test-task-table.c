/* Tests of the task table of a job together with its set of completed tasks, against a plain array
 * with one state for each task. */
#include "jobs/job.h"

#define TASKS_MAX 300
#define ROUNDS 300
#define CHANGES_PER_ROUND 200

typedef struct {
  MmJob job;
  guint8 states[TASKS_MAX]; /* MmTaskState, by task number */
} Model;

static void
model_init(Model *model, guint n_tasks) {
  *model = (Model){ .job.spec.n_tasks = n_tasks };
  mm_completed_tasks_init(&model->job.completed, n_tasks);
  model->job.tasks = mm_task_table_new((MmTime){ 1 });
}

static void
model_clear(Model *model) {
  mm_completed_tasks_clear(&model->job.completed);
  mm_task_table_free(model->job.tasks);
}

/* Changes a random task: it runs, is pending again, completes, or its history is forgotten. */
static void
change_random_task(Model *model, GRand *rand) {
  guint number = (guint)g_rand_int_range(rand, 0, (gint32)model->job.spec.n_tasks);
  MmTask *task;

  if (model->states[number] == MM_TASK_DONE)
    return;
  switch (g_rand_int_range(rand, 0, 4)) {
  case 0:
  case 1:
    task = mm_job_edit_task(&model->job, number);
    task->state = model->states[number] = g_rand_boolean(rand) ? MM_TASK_RUNNING : MM_TASK_PENDING;
    task->state_since.us = g_rand_int_range(rand, 1, 100);
    break;
  case 2:
    mm_completed_tasks_add(&model->job.completed, number);
    mm_task_table_remove(model->job.tasks, number);
    model->states[number] = MM_TASK_DONE;
    break;
  default:
    if (g_rand_int_range(rand, 0, 20) == 0)
      mm_job_forget_task_history(&model->job, (MmTime){ 50 }, (MmTime){ 100 });
    break;
  }
}

static void
assert_states_match(const Model *model) {
  for (guint i = 0; i < model->job.spec.n_tasks; i++)
    g_assert_cmpuint(mm_job_task(&model->job, i)->state, ==, model->states[i]);
}

/* Asserts that the runs from `from` on contain each pending task once and in order. */
static void
assert_pending_runs_match(const Model *model, guint from) {
  guint next = from;
  MmPendingRun run;

  for (guint i = from; mm_job_next_pending_run(&model->job, i, &run); i = run.first + run.length) {
    for (; next < run.first; next++)
      g_assert_cmpuint(model->states[next], !=, MM_TASK_PENDING);
    g_assert_cmpuint(run.length, >, 0);
    for (; next < run.first + run.length; next++)
      g_assert_cmpuint(model->states[next], ==, MM_TASK_PENDING);
  }
  for (; next < model->job.spec.n_tasks; next++)
    g_assert_cmpuint(model->states[next], !=, MM_TASK_PENDING);
}

static void
test_table_matches_plain_array(void) {
  GRand *rand = g_rand_new_with_seed(11);

  for (guint round = 0; round < ROUNDS; round++) {
    Model model;
    model_init(&model, (guint)g_rand_int_range(rand, 1, TASKS_MAX));
    for (guint change = 0; change < CHANGES_PER_ROUND; change++) {
      change_random_task(&model, rand);
      assert_pending_runs_match(&model,
                                (guint)g_rand_int_range(rand, 0, (gint32)model.job.spec.n_tasks));
    }
    assert_states_match(&model);
    model_clear(&model);
  }
  g_rand_free(rand);
}

/* A gang whose members were lost after some had completed is run again as a whole. Its completed
 * tasks are pending then, and must not count as done when their history is forgotten. */
static void
test_repeated_task_is_not_forgotten(void) {
  Model model;
  MmPendingRun run;

  model_init(&model, 2);
  mm_completed_tasks_add(&model.job.completed, 0);
  mm_job_edit_task(&model.job, 0)->state = MM_TASK_PENDING;
  mm_job_edit_task(&model.job, 1)->state = MM_TASK_PENDING;
  g_assert_cmpuint(mm_job_forget_task_history(&model.job, (MmTime){ 50 }, (MmTime){ 100 }), ==, 1);
  g_assert_cmpuint(mm_job_task(&model.job, 0)->state, ==, MM_TASK_PENDING);
  g_assert_true(mm_job_next_pending_run(&model.job, 0, &run));
  g_assert_cmpuint(run.first, ==, 0);
  model_clear(&model);
}

/* The memory of a job with the most tasks that the protocol allows is that of a small one. */
static void
test_waiting_tasks_need_no_memory(void) {
  Model large, small;

  model_init(&large, MM_JOB_MAX_TASKS);
  model_init(&small, 1);
  g_assert_cmpuint(mm_job_tasks_memory_bytes(&large.job), ==,
                   mm_job_tasks_memory_bytes(&small.job));
  for (guint i = 0; i < MM_JOB_MAX_TASKS; i++)
    mm_completed_tasks_add(&large.job.completed, i);
  g_assert_cmpuint(large.job.completed.n_completed, ==, MM_JOB_MAX_TASKS);
  mm_completed_tasks_add(&small.job.completed, 0);
  g_assert_cmpuint(mm_job_tasks_memory_bytes(&large.job), ==,
                   mm_job_tasks_memory_bytes(&small.job));
  model_clear(&large);
  model_clear(&small);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/task-table/matches-plain-array", test_table_matches_plain_array);
  g_test_add_func("/task-table/repeated-task-is-not-forgotten",
                  test_repeated_task_is_not_forgotten);
  g_test_add_func("/task-table/waiting-tasks-need-no-memory", test_waiting_tasks_need_no_memory);
  return g_test_run();
}
