#include "heartbeat/heartbeat.h"

#include <stdlib.h>

#include "base/wire.h"
#include "jobs/job-spec.h"

/* Maximum number of tasks in one heartbeat; a heartbeat with more is rejected. */
#define REPORTED_TASKS_MAX 4096

/* Wire names of the task states, indexed by MmReportedState. */
static const char *const wire_states[]
    = { "fetching", "gathering", "running", "flushing", "ended" };
/* Wire names of the end causes, indexed by MmEndCause. */
static const char *const wire_causes[]
    = { "", "done", "halted", "peers", "alone", "error", "no_room", "busy", "no_such" };

static gboolean
parse_state(MmReportedTask *task, const char *word) {
  for (guint i = 0; i < G_N_ELEMENTS(wire_states); i++) {
    if (g_strcmp0(word, wire_states[i]) == 0) {
      task->state = (guint8)i;
      return TRUE;
    }
  }
  return FALSE;
}

/* Sets the end cause of the task. If an ended task reports an unknown cause, MM_CAUSE_STOPPED is
 * set, because the task no longer runs on the machine. */
static void
parse_cause(MmReportedTask *task, const char *word) {
  task->cause = task->state == MM_REPORTED_ENDED ? MM_CAUSE_STOPPED : MM_CAUSE_NONE;
  for (guint i = MM_CAUSE_NONE + 1; i < G_N_ELEMENTS(wire_causes); i++)
    if (g_strcmp0(word, wire_causes[i]) == 0)
      task->cause = (guint8)i;
}

static gboolean
parse_task(MmReportedTask *task, const MmJson *json) {
  const char *task_path = mm_json_string(json, WIRE_TASK);
  const char *slash = task_path != NULL ? strrchr(task_path, '/') : NULL;
  char *number_end;
  guint64 number;

  memset(task, 0, sizeof *task);
  if (slash == NULL || slash - task_path > MM_NAME_MAX || !g_ascii_isdigit(slash[1]))
    return FALSE;
  memcpy(task->job.s, task_path, (gsize)(slash - task_path));
  number = g_ascii_strtoull(slash + 1, &number_end, 10);
  if (number >= MM_JOB_MAX_TASKS)
    return FALSE;
  task->number = (guint)number;
  task->attempt.v = mm_json_count(json, WIRE_ATTEMPT, 0);
  task->is_checkpointed = mm_json_flag(json, WIRE_CHECKPOINTED);
  if (*number_end != '\0' || !parse_state(task, mm_json_string(json, WIRE_STATE)))
    return FALSE;
  parse_cause(task, mm_json_string(json, WIRE_CAUSE));
  return TRUE;
}

gboolean
mm_heartbeat_parse(MmHeartbeat *heartbeat, const MmJson *body, const char **reason) {
  const MmJson *tasks = mm_json_get(body, WIRE_TASKS);
  const char *addr = mm_json_string(body, WIRE_ADDRESS);
  size_t i;
  MmJson *item;

  memset(heartbeat, 0, sizeof *heartbeat);
  heartbeat->tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask));
  if (!mm_json_is_object(body) || mm_json_string(body, WIRE_MACHINE) == NULL
      || !mm_json_is_count(mm_json_get(body, WIRE_INCARNATION))
      || !mm_json_is_count(mm_json_get(body, WIRE_SEQUENCE))
      || (tasks != NULL
          && (!mm_json_is_array(tasks) || mm_json_array_size(tasks) > REPORTED_TASKS_MAX))
      || strlen(mm_json_string(body, WIRE_MACHINE)) > MM_NAME_MAX) {
    *reason = "not a worker's report";
    return FALSE;
  }
  heartbeat->machine_id = mm_name(mm_json_string(body, WIRE_MACHINE));
  if (addr != NULL)
    g_strlcpy(heartbeat->addr, addr, sizeof heartbeat->addr);
  heartbeat->type = mm_name(mm_json_string(body, WIRE_TYPE));
  heartbeat->zone = mm_name(mm_json_string(body, WIRE_ZONE));
  heartbeat->is_spot = mm_json_flag(body, WIRE_SPOT);
  heartbeat->heartbeat_id.incarnation = mm_json_count(body, WIRE_INCARNATION, 0);
  heartbeat->heartbeat_id.sequence = mm_json_count(body, WIRE_SEQUENCE, 0);
  heartbeat->fencing_token.v = mm_json_count(body, WIRE_FENCING_TOKEN, 0);
  heartbeat->has_termination_notice = mm_json_get(body, WIRE_TERMINATION_NOTICE) != NULL;
  heartbeat->termination_notice_s = mm_json_number(body, WIRE_TERMINATION_NOTICE, 0);
  MM_JSON_ARRAY_FOREACH (tasks, i, item) {
    MmReportedTask task;
    if (!parse_task(&task, item)) {
      *reason = "a task in the report is not readable";
      return FALSE;
    }
    g_array_append_val(heartbeat->tasks, task);
  }
  return TRUE;
}

void
mm_heartbeat_clear(MmHeartbeat *heartbeat) {
  g_clear_pointer(&heartbeat->tasks, g_array_unref);
}

MmJson *
mm_command_to_json(const MmCommand *command) {
  static const char *const ops[] = { WIRE_START, WIRE_STOP, WIRE_FORGET };
  g_autofree char *task_path = g_strdup_printf("%s/%u", command->job.s, command->number);
  MmJson *json = mm_json_pack("{s:s, s:s, s:I}", WIRE_COMMAND_KIND, ops[command->op], WIRE_TASK,
                              task_path, WIRE_ATTEMPT, command->attempt.v);

  if (command->op == MM_OP_STOP)
    mm_json_object_set(json, WIRE_GRACE, mm_json_new_real(command->grace_s));
  return json;
}

MmJson *
mm_heartbeat_response_to_json(MmTerm term, const GArray *commands) {
  MmJson *list = mm_json_new_array();

  for (guint i = 0; i < commands->len; i++)
    mm_json_array_append(list, mm_command_to_json(&g_array_index(commands, MmCommand, i)));
  return mm_json_pack("{s:I, s:o}", WIRE_FENCING_TOKEN, term.v, WIRE_COMMANDS, list);
}
