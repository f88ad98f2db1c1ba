/* End-to-end test with three nodes as processes on loopback and forty simulated machines. A random
 * machine group is moved every MOVE_EVERY_MS while nodes are killed, paused and resumed. Afterwards
 * the test checks the recorded history, which consists of the machines' tasks and of the responses
 * to users. The section "Test" of README.md has the commands. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "base/wire.h"
#include "checker.h"
#include "processes.h"
#include "stand-ins.h"

#define EXIT_USAGE 2
#define MACHINES 40
#define MEMORY_MB 512
#define GROUPS 64
#define OPERATORS_XML                                                                              \
  "<martenmount><groups>64</groups><group-hold-s>1</group-hold-s>"                                 \
  "<rent>0</rent><idle-return-s>100000</idle-return-s></martenmount>"
#define OPERATORS_XML_32_GROUPS "<martenmount><groups>32</groups></martenmount>"
#define NEVER_MS 3600000
#define OPERATORS_XML_NO_GROUPS                                                                    \
  "<martenmount><rent>0</rent><idle-return-s>100000</idle-return-s></martenmount>"
#define MOVE_EVERY_MS 300
#define FAULT_EVERY_MS 3000
#define SUBMIT_EVERY_MS 400
#define RECORD_EVERY_MS 50
#define CANCELLED_SHARE 0.1
#define TAKEOVER_DOWN_MS 100

typedef struct {
  const char *program;
  World *world;
  StandIns *stand_ins;
  Processes *processes;
  GArray *history;        /* HistoryEvent */
  GHashTable *seen_views; /* job id -> last recorded WorldUserView + 1, GUINT_TO_POINTER */
  GMainLoop *loop;
  gint64 load_end_us; /* simulated time at which faults, moves and submissions end */
  guint n_kills;
  guint n_pauses;
  guint n_running_commands; /* commands that have not exited yet */
  guint n_failed_commands;  /* commands with an unexpected exit status */
} Run;

static gint seconds = 15;
static gint seed = 1;
static gchar *record_path;
static gboolean without_groups;
static gchar *other_binary;
static gboolean is_takeover;

/* Recording of the history */

static void
record_task_event(gpointer data, const WorldMachine *machine, const WorldTask *task,
                  WorldTaskEvent task_event) {
  Run *run = data;
  HistoryEvent event = { .time_us = machine->world->now_us,
                         .task = task->number,
                         .cores = task->job->spec.task_resources.cores,
                         .capacity = strcmp(machine->type, "small") == 0 ? 4 : 16,
                         .completed = task->cause == MM_CAUSE_DONE };

  event.kind = task_event == WORLD_TASK_STARTS ? HISTORY_START
               : task_event == WORLD_TASK_ENDS ? HISTORY_END
                                               : HISTORY_REFUSED;
  g_strlcpy(event.job, task->job->id, sizeof event.job);
  g_strlcpy(event.machine, machine->id, sizeof event.machine);
  g_array_append_val(run->history, event);
}

static HistoryKind
kind_of_view(WorldUserView view) {
  return view == USER_SEES_ACCEPTED ? HISTORY_ACCEPTED
         : view == USER_SEES_DONE   ? HISTORY_DONE
                                    : HISTORY_CANCELLED;
}

/* Records the responses that users have received since the last call. */
static void
record_user_answers(Run *run) {
  for (guint i = 0; i < run->world->jobs->len; i++) {
    const WorldJob *job = world_job_at(run->world, i);
    guint before = GPOINTER_TO_UINT(g_hash_table_lookup(run->seen_views, job->id));
    HistoryEvent event = { .time_us = run->world->now_us,
                           .tasks = job->spec.kind == MM_JOB_KIND_SERVICE ? 0 : job->spec.n_tasks };

    g_strlcpy(event.job, job->id, sizeof event.job);
    for (guint view = MAX(before, USER_SEES_ACCEPTED);
         view <= (guint)job->user_view && before <= view; view++) {
      if (view == USER_SEES_CANCELLED && job->user_view == USER_SEES_DONE)
        continue;
      event.kind = kind_of_view((WorldUserView)view);
      g_array_append_val(run->history, event);
      g_hash_table_replace(run->seen_views, g_strdup(job->id), GUINT_TO_POINTER(view + 1));
    }
  }
}

/* Load and faults */

static gboolean
is_load_running(const Run *run) {
  return run->world->now_us < run->load_end_us;
}

static gboolean
submit_job(gpointer data) {
  Run *run = data;
  World *world = run->world;

  if (!is_load_running(run))
    return G_SOURCE_REMOVE;
  world_submit(world, world_random_job_body(world), world_uniform(world, 0.5, 4));
  if (world_uniform(world, 0, 1) < CANCELLED_SHARE)
    world_cancel(world_any_job(world));
  return G_SOURCE_CONTINUE;
}

static gboolean
start_random_move(gpointer data) {
  Run *run = data;

  if (!is_load_running(run))
    return G_SOURCE_REMOVE;
  world_random_move(run->world);
  return G_SOURCE_CONTINUE;
}

static gboolean
inject_fault(gpointer data) {
  Run *run = data;
  World *world = run->world;
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  double draw = world_uniform(world, 0, 1);

  if (!is_load_running(run))
    return G_SOURCE_REMOVE;
  if (draw < 0.4) {
    run->n_kills++;
    processes_kill(run->processes, node, draw < 0.2 ? 100 : 2000);
  } else {
    /* Some pauses are much longer than the node's lease. */
    run->n_pauses++;
    processes_pause(run->processes, node, (guint)(world_uniform(world, 0.3, 6) * 1000));
  }
  return G_SOURCE_CONTINUE;
}

/* Until this call, all nodes run the binary given by --other-binary. Kills all nodes and restarts
 * them with the program under test, on the state that the other binary stored. */
static gboolean
take_over(gpointer data) {
  Run *run = data;

  processes_continue_all(run->processes);
  for (guint i = 0; i < WORLD_NODES; i++) {
    processes_set_program(run->processes, i, run->program);
    processes_kill(run->processes, i, TAKEOVER_DOWN_MS);
  }
  return G_SOURCE_REMOVE;
}

static gboolean
are_all_jobs_finished(const World *world) {
  for (guint i = 0; i < world->jobs->len; i++)
    if (((const WorldJob *)g_ptr_array_index(world->jobs, i))->user_view < USER_SEES_CANCELLED)
      return FALSE;
  return TRUE;
}

static void
cancel_services(World *world) {
  for (guint i = 0; i < world->jobs->len; i++) {
    WorldJob *job = world_job_at(world, i);
    if (job->spec.kind == MM_JOB_KIND_SERVICE && !job->is_cancel_requested)
      world_cancel(job);
  }
}

/* Commands of the program under test, run after the faults */

typedef struct {
  Run *run;
  int expected;
  char *arguments;
} CommandRun;

static void
on_command_exit(GPid pid, gint wait_status, gpointer data) {
  g_autofree CommandRun *command = data;
  Run *run = command->run;
  int status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -1;

  if (status != command->expected) {
    fprintf(stderr, "%s: unexpected exit: status=%d expected=%d\n", command->arguments, status,
            command->expected);
    run->n_failed_commands++;
  }
  g_free(command->arguments);
  g_spawn_close_pid(pid);
  if (--run->n_running_commands == 0)
    g_main_loop_quit(run->loop);
}

/* Runs the program under test with `arguments`, separated by single spaces, and checks its exit
 * status when it has exited. The main loop quits when no command is running any more. */
static void
expect_status(Run *run, int expected, const char *arguments) {
  CommandRun *command = g_new(CommandRun, 1);
  g_autofree char *line = g_strconcat(run->program, " ", arguments, NULL);
  g_auto(GStrv) words = g_strsplit(line, " ", -1);
  g_autoptr(GError) error = NULL;
  GPid pid;

  *command = (CommandRun){ run, expected, g_strdup(arguments) };
  if (!g_spawn_async(NULL, words, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pid, &error))
    g_error("%s", error->message);
  run->n_running_commands++;
  g_child_watch_add(pid, on_command_exit, command);
}

/* Checks the exit status of the commands that list and move groups. Then starts the first node with
 * a number of groups that differs from the stored number; the node must exit with EXIT_USAGE. */
static void
check_commands(Run *run) {
  Processes *processes = run->processes;
  const char *address = processes->http_addresses[1];
  g_autofree char *list = g_strdup_printf("groups --front %s", address);
  g_autofree char *no_group
      = g_strdup_printf("groups --front %s --move %d --to n-1", address, GROUPS);
  g_autofree char *no_node = g_strdup_printf("groups --front %s --move 1 --to nobody", address);
  g_autofree char *other = g_build_filename(processes->folder, "operators-other.xml", NULL);
  g_autofree char *node
      = g_strdup_printf("--config %s --operators %s", processes->settings_paths[0], other);

  expect_status(run, EXIT_SUCCESS, list);
  expect_status(run, EXIT_FAILURE, no_group);
  expect_status(run, EXIT_FAILURE, no_node);
  expect_status(run, EXIT_FAILURE, "groups --front 127.0.0.1:1");
  expect_status(run, EXIT_USAGE, "groups");
  expect_status(run, EXIT_USAGE, "groups --front 127.0.0.1:1 --move 3");
  g_assert_true(g_file_set_contents(other, OPERATORS_XML_32_GROUPS, -1, NULL));
  processes_kill(processes, 0, NEVER_MS);
  expect_status(run, EXIT_USAGE, node);
}

static gboolean
record_periodically(gpointer data) {
  Run *run = data;

  record_user_answers(run);
  world_check_invariants(run->world);
  if (is_load_running(run))
    return G_SOURCE_CONTINUE;
  processes_continue_all(run->processes);
  cancel_services(run->world);
  if (!are_all_jobs_finished(run->world))
    return G_SOURCE_CONTINUE;
  if (without_groups)
    g_main_loop_quit(run->loop);
  else
    check_commands(run);
  return G_SOURCE_REMOVE;
}

/* Outcome */

static void
write_record(const Run *run) {
  FILE *file = record_path != NULL ? fopen(record_path, "w") : NULL;

  for (guint i = 0; file != NULL && i < run->history->len; i++) {
    g_autofree char *line = history_event_to_line(&g_array_index(run->history, HistoryEvent, i));
    fprintf(file, "%s\n", line);
  }
  if (file != NULL)
    fclose(file);
}

static int
print_outcome(const Run *run) {
  HistoryRules rules = { run->world->cancel_s };
  g_autoptr(GPtrArray) violations = history_check(run->history, &rules);

  for (guint i = 0; i < violations->len; i++)
    printf("# wrong: %s\n", (char *)g_ptr_array_index(violations, i));
  for (guint i = 0; i < run->world->violations->len; i++)
    printf("# broken: %s\n", (char *)g_ptr_array_index(run->world->violations, i));
  printf("# %u jobs, %u events, %u moves begun, %u kills, %u pauses, %u ends unasked\n",
         run->world->jobs->len, run->history->len, run->world->n_moves_started, run->n_kills,
         run->n_pauses, run->processes->n_unexpected_exits);
  return violations->len == 0 && run->world->violations->len == 0
                 && run->processes->n_unexpected_exits == 0 && run->n_failed_commands == 0
                 && run->history->len > 0 && (without_groups || run->world->n_moves_started > 0)
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}

static void
start_all(Run *run) {
  World *world = run->world;

  for (guint i = 0; i < MACHINES; i++) {
    WorldMachine *machine = world_add_machine(world, i % 4 == 3 ? "big" : "small",
                                              i % 3 == 0   ? "a"
                                              : i % 3 == 1 ? "b"
                                                           : "c",
                                              FALSE, 0.1);
    stand_ins_add_machine(run->stand_ins, machine);
  }
  processes_write_settings(run->processes, world, stand_ins_address(run->stand_ins),
                           without_groups ? OPERATORS_XML_NO_GROUPS : OPERATORS_XML);
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (other_binary != NULL && (i == 0 || is_takeover))
      processes_set_program(run->processes, i, other_binary);
    processes_start(run->processes, i);
  }
  if (is_takeover)
    g_timeout_add((guint)seconds * 1000 / 2, take_over, run);
  g_timeout_add(SUBMIT_EVERY_MS, submit_job, run);
  if (!without_groups)
    g_timeout_add(MOVE_EVERY_MS, start_random_move, run);
  g_timeout_add(FAULT_EVERY_MS, inject_fault, run);
  g_timeout_add(RECORD_EVERY_MS, record_periodically, run);
}

static int
run_scenario(const char *program) {
  g_autoptr(GError) error = NULL;
  Run run = { .program = program,
              .world = world_new((guint32)seed),
              .processes = processes_new(program),
              .history = g_array_new(FALSE, FALSE, sizeof(HistoryEvent)),
              .seen_views = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
              .loop = g_main_loop_new(NULL, FALSE) };
  int status;

  run.world->group_count = GROUPS;
  run.world->team_cores = 60;
  run.world->memory_mb = MEMORY_MB;
  run.world->observe_task = record_task_event;
  run.world->observer_data = &run;
  run.stand_ins
      = stand_ins_new(run.world, (const char *const *)run.processes->http_addresses, &error);
  if (run.stand_ins == NULL)
    g_error("%s", error->message);
  run.load_end_us = run.world->now_us + (gint64)seconds * G_USEC_PER_SEC;
  start_all(&run);
  g_main_loop_run(run.loop);
  status = print_outcome(&run);
  write_record(&run);
  run.world->is_shutting_down = TRUE;
  processes_stop(run.processes);
  stand_ins_stop(run.stand_ins);
  world_free(run.world);
  stand_ins_free(run.stand_ins);
  processes_free(run.processes);
  g_array_unref(run.history);
  g_hash_table_unref(run.seen_views);
  g_main_loop_unref(run.loop);
  return status;
}

int
main(int argc, char **argv) {
  const GOptionEntry entries[] = {
    { "seconds", 's', 0, G_OPTION_ARG_INT, &seconds, "Duration of faults and job submissions",
      "N" },
    { "seed", 'r', 0, G_OPTION_ARG_INT, &seed, "Seed of the random number generator", "N" },
    { "record", 'o', 0, G_OPTION_ARG_FILENAME, &record_path, "Write the history to FILE", "FILE" },
    { "without-groups", 0, 0, G_OPTION_ARG_NONE, &without_groups,
      "Do not share machines among the nodes, for comparison", NULL },
    { "other-binary", 0, 0, G_OPTION_ARG_FILENAME, &other_binary,
      "Node n-0 runs this build instead of PROGRAM", "FILE" },
    { "take-over", 0, 0, G_OPTION_ARG_NONE, &is_takeover,
      "All nodes run the other build for half of the duration, then PROGRAM on the same store",
      NULL },
    { NULL },
  };
  g_autoptr(GOptionContext) context = g_option_context_new("PROGRAM - three nodes on loopback");
  g_autoptr(GError) error = NULL;

  g_option_context_add_main_entries(context, entries, NULL);
  if (!g_option_context_parse(context, &argc, &argv, &error) || argc != 2) {
    fprintf(stderr, "loopback: %s\n", error != NULL ? error->message : "PROGRAM is required");
    return EXIT_USAGE;
  }
  if (is_takeover && other_binary == NULL) {
    fprintf(stderr, "loopback: --take-over requires --other-binary\n");
    return EXIT_USAGE;
  }
  return run_scenario(argv[1]);
}
