#include "checker.h"

#include "base/json.h"
#include <string.h>

#define CORES_TOLERANCE 1e-6
/* When a job is cancelled while a start of one of its tasks is in flight, the task starts at most
 * this long after the cancellation. A machine discards responses that take longer than 4 s, and it
 * fetches the image for up to 1.5 s. */
#define START_DELAY_MAX_S 6.0

static const char *const kinds[] = { "accepted", "done", "cancelled", "start", "end", "refused" };

typedef struct {
  guint tasks;
  gboolean was_accepted;
  gint64 cancelled_at_us; /* 0: not cancelled */
  gboolean was_answered_done;
  GHashTable *completed; /* set of task number + 1, stored with GUINT_TO_POINTER */
} Job;

/* A task that is running on a machine. */
typedef struct {
  char machine[32];
  char job[32];
  gint64 since_us;
  double cores;
} RunningTask;

typedef struct {
  const HistoryRules *rules;
  GPtrArray *violations;
  GHashTable *jobs;          /* id -> Job */
  GHashTable *running_tasks; /* "job/task" -> RunningTask */
  GHashTable *used_cores;    /* machine -> double */
} Check;

static void
job_free(gpointer data) {
  g_hash_table_unref(((Job *)data)->completed);
  g_free(data);
}

static void
G_GNUC_PRINTF(3, 4)
    report_violation(Check *check, const HistoryEvent *event, const char *format, ...) {
  g_autofree char *text = NULL;
  va_list args;

  va_start(args, format);
  text = g_strdup_vprintf(format, args);
  va_end(args);
  g_ptr_array_add(check->violations,
                  g_strdup_printf("%.3f s: %s", (double)event->time_us / G_USEC_PER_SEC, text));
}

static Job *
find_job(Check *check, const char *id) {
  Job *job = g_hash_table_lookup(check->jobs, id);

  if (job != NULL)
    return job;
  job = g_new0(Job, 1);
  job->completed = g_hash_table_new(NULL, NULL);
  g_hash_table_insert(check->jobs, g_strdup(id), job);
  return job;
}

static gboolean
is_complete(const Job *job) {
  return job->tasks > 0 && g_hash_table_size(job->completed) == job->tasks;
}

static void
add_used_cores(Check *check, const HistoryEvent *event, double cores) {
  double *used = g_hash_table_lookup(check->used_cores, event->machine);

  if (used == NULL) {
    used = g_new0(double, 1);
    g_hash_table_insert(check->used_cores, g_strdup(event->machine), used);
  }
  *used += cores;
  if (cores > 0 && *used > event->capacity + CORES_TOLERANCE)
    report_violation(check, event, "%s has %g cores but its tasks use %g", event->machine,
                     event->capacity, *used);
}

static void
record_start(Check *check, const HistoryEvent *event, const char *task) {
  const Job *job = find_job(check, event->job);
  const RunningTask *already_running = g_hash_table_lookup(check->running_tasks, task);
  RunningTask *running;

  if (already_running != NULL)
    report_violation(check, event, "%s starts on %s while it is running on %s", task,
                     event->machine, already_running->machine);
  if (job->cancelled_at_us != 0
      && (double)(event->time_us - job->cancelled_at_us) > START_DELAY_MAX_S * G_USEC_PER_SEC)
    report_violation(check, event, "%s starts after its job's cancellation was confirmed", task);
  running = g_new0(RunningTask, 1);
  g_strlcpy(running->machine, event->machine, sizeof running->machine);
  g_strlcpy(running->job, event->job, sizeof running->job);
  running->since_us = event->time_us;
  running->cores = event->cores;
  g_hash_table_replace(check->running_tasks, g_strdup(task), running);
  add_used_cores(check, event, event->cores);
}

static void
record_end(Check *check, const HistoryEvent *event, const char *task) {
  Job *job = find_job(check, event->job);
  const RunningTask *running = g_hash_table_lookup(check->running_tasks, task);
  gpointer number = GUINT_TO_POINTER(event->task + 1);

  if (running == NULL || strcmp(running->machine, event->machine) != 0) {
    report_violation(check, event, "%s ends on %s, where it was not running", task, event->machine);
    return;
  }
  /* A machine keeps the results of finished tasks. When a finished task is started on that machine
   * again, the task ends at the same time as it starts. This is not a second run. */
  if (event->completed && running->since_us < event->time_us
      && !g_hash_table_add(job->completed, number))
    report_violation(check, event, "%s ran again after it had completed", task);
  if (event->completed)
    g_hash_table_add(job->completed, number);
  add_used_cores(check, event, -running->cores);
  g_hash_table_remove(check->running_tasks, task);
}

static void
record_answer(Check *check, const HistoryEvent *event) {
  Job *job = find_job(check, event->job);

  if (event->kind == HISTORY_ACCEPTED) {
    job->was_accepted = TRUE;
    job->tasks = event->tasks;
  } else if (event->kind == HISTORY_DONE) {
    if (!is_complete(job))
      report_violation(check, event, "%s is reported as done with %u of %u tasks completed",
                       event->job, g_hash_table_size(job->completed), job->tasks);
    if (job->cancelled_at_us != 0)
      report_violation(check, event, "%s is reported as done after it was reported as cancelled",
                       event->job);
    job->was_answered_done = TRUE;
  } else {
    if (job->was_answered_done)
      report_violation(check, event, "%s is reported as cancelled after it was reported as done",
                       event->job);
    if (job->cancelled_at_us == 0)
      job->cancelled_at_us = event->time_us;
  }
}

static void
check_late_tasks(Check *check, const HistoryEvent *event) {
  GHashTableIter iter;
  gpointer task, value;

  g_hash_table_iter_init(&iter, check->running_tasks);
  while (g_hash_table_iter_next(&iter, &task, &value)) {
    const RunningTask *running = value;
    const Job *job = find_job(check, running->job);
    if (job->cancelled_at_us == 0
        || (double)(event->time_us - job->cancelled_at_us)
               <= check->rules->cancel_s * G_USEC_PER_SEC)
      continue;
    report_violation(check, event, "%s is still running on %s too long after its cancellation",
                     (char *)task, running->machine);
    g_hash_table_iter_remove(&iter);
  }
}

static void
check_final_state(Check *check, const HistoryEvent *last) {
  GHashTableIter iter;
  gpointer id, value;

  g_hash_table_iter_init(&iter, check->jobs);
  while (g_hash_table_iter_next(&iter, &id, &value)) {
    const Job *job = value;
    if (!job->was_accepted && g_hash_table_size(job->completed) > 0)
      report_violation(check, last, "%s ran but was never accepted", (char *)id);
    if (!job->was_accepted || job->cancelled_at_us != 0)
      continue;
    if (!is_complete(job))
      report_violation(check, last, "%s was lost: %u of %u tasks completed", (char *)id,
                       g_hash_table_size(job->completed), job->tasks);
    else if (!job->was_answered_done)
      report_violation(check, last, "%s is done but its user was not told", (char *)id);
  }
}

static void
record_event(Check *check, const HistoryEvent *event) {
  g_autofree char *task = g_strdup_printf("%s/%u", event->job, event->task);

  switch (event->kind) {
  case HISTORY_ACCEPTED:
  case HISTORY_DONE:
  case HISTORY_CANCELLED:
    record_answer(check, event);
    break;
  case HISTORY_START:
    record_start(check, event, task);
    break;
  case HISTORY_END:
    record_end(check, event, task);
    break;
  case HISTORY_REFUSED:
  default:
    report_violation(check, event, "%s received %s without resources for it", event->machine, task);
    break;
  }
  check_late_tasks(check, event);
}

GPtrArray *
history_check(const GArray *events, const HistoryRules *rules) {
  Check check = { rules, g_ptr_array_new_with_free_func(g_free),
                  g_hash_table_new_full(g_str_hash, g_str_equal, g_free, job_free),
                  g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
                  g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free) };

  for (guint i = 0; i < events->len; i++)
    record_event(&check, &g_array_index(events, HistoryEvent, i));
  if (events->len > 0)
    check_final_state(&check, &g_array_index(events, HistoryEvent, events->len - 1));
  g_hash_table_unref(check.jobs);
  g_hash_table_unref(check.running_tasks);
  g_hash_table_unref(check.used_cores);
  return check.violations;
}

/* Serialization */

char *
history_event_to_line(const HistoryEvent *event) {
  MmJson *json
      = mm_json_pack("{s:I, s:s, s:s, s:i, s:i, s:s, s:f, s:f, s:b}", "us", (guint64)event->time_us,
                     "kind", kinds[event->kind], "job", event->job, "tasks", (int)event->tasks,
                     "task", (int)event->task, "machine", event->machine, "cores", event->cores,
                     "capacity", event->capacity, "completed", event->completed);
  char *line = mm_json_to_text(json);

  mm_json_unref(json);
  return line;
}

gboolean
history_event_from_line(HistoryEvent *event, const char *line) {
  g_autoptr(MmJson) json = mm_json_parse(line, strlen(line), NULL);
  const char *kind = mm_json_string(json, "kind");
  const char *job = mm_json_string(json, "job");
  const char *machine = mm_json_string(json, "machine");

  memset(event, 0, sizeof *event);
  if (!mm_json_is_count(mm_json_get(json, "us")) || kind == NULL || job == NULL || machine == NULL
      || !mm_json_is_count(mm_json_get(json, "tasks"))
      || !mm_json_is_count(mm_json_get(json, "task"))
      || !mm_json_is_number(mm_json_get(json, "cores"))
      || !mm_json_is_number(mm_json_get(json, "capacity"))
      || !mm_json_is_boolean(mm_json_get(json, "completed")))
    return FALSE;
  event->time_us = (gint64)mm_json_count(json, "us", 0);
  event->tasks = (guint)mm_json_count(json, "tasks", 0);
  event->task = (guint)mm_json_count(json, "task", 0);
  event->cores = mm_json_number(json, "cores", 0);
  event->capacity = mm_json_number(json, "capacity", 0);
  event->completed = mm_json_flag(json, "completed");
  g_strlcpy(event->job, job, sizeof event->job);
  g_strlcpy(event->machine, machine, sizeof event->machine);
  event->kind = HISTORY_REFUSED;
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++)
    if (strcmp(kinds[i], kind) == 0)
      event->kind = (HistoryKind)i;
  return TRUE;
}
