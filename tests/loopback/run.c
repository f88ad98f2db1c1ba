/* Three nodes as processes on loopback, forty stand-in machines, groups that move every few seconds
 * while nodes are killed, paused and continued; then each job's tasks are counted from the record
 * of what the machines did. README.md, "Test", has the commands. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "base/wire.h"
#include "checker.h"
#include "processes.h"
#include "stand-ins.h"

#define EXIT_USAGE 2
#define MACHINES 40
#define GROUPS 64
#define OPERATORS                                                                                  \
  "<martenmount><groups>64</groups><group-hold-s>1</group-hold-s>"                                 \
  "<rent>0</rent><idle-return-s>100000</idle-return-s></martenmount>"
#define OPERATORS_OTHER "<martenmount><groups>32</groups></martenmount>"
#define NEVER_MS 3600000
#define OPERATORS_WITHOUT                                                                          \
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
  GHashTable *seen_views; /* job id -> WorldUserView + 1, as recorded */
  GMainLoop *loop;
  gint64 until_us; /* in the world's time: when faults, moves and jobs end */
  guint kills;
  guint pauses;
  guint programs;       /* that run to their end, */
  guint wrong_programs; /* and that ended otherwise than they should */
} Run;

static gint seconds = 15;
static gint seed = 1;
static gchar *record_path;
static gboolean without_groups;
static gchar *other_binary;
static gboolean is_takeover;

/* ---- the history ---- */

static void
record_task_event(gpointer data, const WorldMachine *machine, const WorldTask *task,
                  WorldTaskEvent task_event) {
  Run *run = data;
  HistoryEvent event = { .us = machine->world->now_us,
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

/* Records what users have been answered since the last call. */
static void
record_answers(Run *run) {
  for (guint i = 0; i < run->world->jobs->len; i++) {
    const WorldJob *job = world_job_at(run->world, i);
    guint before = GPOINTER_TO_UINT(g_hash_table_lookup(run->seen_views, job->id));
    HistoryEvent event = { .us = run->world->now_us,
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

/* ---- load and faults ---- */

static gboolean
is_before_end(const Run *run) {
  return run->world->now_us < run->until_us;
}

static gboolean
submit(gpointer data) {
  Run *run = data;
  World *world = run->world;

  if (!is_before_end(run))
    return G_SOURCE_REMOVE;
  world_submit(world, world_random_job_body(world), world_uniform(world, 0.5, 4));
  if (world_uniform(world, 0, 1) < CANCELLED_SHARE)
    world_cancel(world_any_job(world));
  return G_SOURCE_CONTINUE;
}

static gboolean
move(gpointer data) {
  Run *run = data;

  if (!is_before_end(run))
    return G_SOURCE_REMOVE;
  world_random_move(run->world);
  return G_SOURCE_CONTINUE;
}

static gboolean
inject_fault(gpointer data) {
  Run *run = data;
  World *world = run->world;
  guint node = (guint)g_rand_int_range(world->rand, 0, WORLD_NODES);
  double what = world_uniform(world, 0, 1);

  if (!is_before_end(run))
    return G_SOURCE_REMOVE;
  if (what < 0.4) {
    run->kills++;
    processes_kill(run->processes, node, what < 0.2 ? 100 : 2000);
  } else {
    /* Some well beyond the node's lease. */
    run->pauses++;
    processes_pause(run->processes, node, (guint)(world_uniform(world, 0.3, 6) * 1000));
  }
  return G_SOURCE_CONTINUE;
}

/* Kills all nodes, which ran the other binary, and starts the program on what they stored. */
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
is_over(const World *world) {
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

/* ---- the program's commands, after the faults ---- */

typedef struct {
  Run *run;
  int expected;
  char *what;
} Program;

static void
program_ended(GPid pid, gint wait_status, gpointer data) {
  g_autofree Program *program = data;
  Run *run = program->run;
  int status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -1;

  if (status != program->expected) {
    fprintf(stderr, "%s: status %d, not %d\n", program->what, status, program->expected);
    run->wrong_programs++;
  }
  g_free(program->what);
  g_spawn_close_pid(pid);
  if (--run->programs == 0)
    g_main_loop_quit(run->loop);
}

/* The arguments in one string. */
static void
expect_status(Run *run, int expected, const char *arguments) {
  Program *program = g_new(Program, 1);
  g_autofree char *line = g_strconcat(run->program, " ", arguments, NULL);
  g_auto(GStrv) words = g_strsplit(line, " ", -1);
  g_autoptr(GError) error = NULL;
  GPid pid;

  *program = (Program){ run, expected, g_strdup(arguments) };
  if (!g_spawn_async(NULL, words, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pid, &error))
    g_error("%s", error->message);
  run->programs++;
  g_child_watch_add(pid, program_ended, program);
}

/* Lists and moves by hand; then the first node comes back with another number of groups, finds what
 * is stored, and ends. */
static void
check_programs(Run *run) {
  Processes *processes = run->processes;
  const char *front = processes->fronts[1];
  g_autofree char *list = g_strdup_printf("groups --front %s", front);
  g_autofree char *no_group
      = g_strdup_printf("groups --front %s --move %d --to n-1", front, GROUPS);
  g_autofree char *no_node = g_strdup_printf("groups --front %s --move 1 --to nobody", front);
  g_autofree char *other = g_build_filename(processes->folder, "operators-other.xml", NULL);
  g_autofree char *node
      = g_strdup_printf("--config %s --operators %s", processes->settings[0], other);

  expect_status(run, EXIT_SUCCESS, list);
  expect_status(run, EXIT_FAILURE, no_group);
  expect_status(run, EXIT_FAILURE, no_node);
  expect_status(run, EXIT_FAILURE, "groups --front 127.0.0.1:1");
  expect_status(run, EXIT_USAGE, "groups");
  expect_status(run, EXIT_USAGE, "groups --front 127.0.0.1:1 --move 3");
  g_assert_true(g_file_set_contents(other, OPERATORS_OTHER, -1, NULL));
  processes_kill(processes, 0, NEVER_MS);
  expect_status(run, EXIT_USAGE, node);
}

static gboolean
record_periodically(gpointer data) {
  Run *run = data;

  record_answers(run);
  world_check_invariants(run->world);
  if (is_before_end(run))
    return G_SOURCE_CONTINUE;
  processes_continue_all(run->processes);
  cancel_services(run->world);
  if (!is_over(run->world))
    return G_SOURCE_CONTINUE;
  if (without_groups)
    g_main_loop_quit(run->loop);
  else
    check_programs(run);
  return G_SOURCE_REMOVE;
}

/* ---- the outcome ---- */

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
  g_autoptr(GPtrArray) wrong = history_check(run->history, &rules);

  for (guint i = 0; i < wrong->len; i++)
    printf("# wrong: %s\n", (char *)g_ptr_array_index(wrong, i));
  for (guint i = 0; i < run->world->violations->len; i++)
    printf("# broken: %s\n", (char *)g_ptr_array_index(run->world->violations, i));
  printf("# %u jobs, %u events, %u moves begun, %u kills, %u pauses, %u ends unasked\n",
         run->world->jobs->len, run->history->len, run->world->n_moves_started, run->kills,
         run->pauses, run->processes->ends);
  return wrong->len == 0 && run->world->violations->len == 0 && run->processes->ends == 0
                 && run->wrong_programs == 0 && run->history->len > 0
                 && (without_groups || run->world->n_moves_started > 0)
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
                           without_groups ? OPERATORS_WITHOUT : OPERATORS);
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (other_binary != NULL && (i == 0 || is_takeover))
      processes_set_program(run->processes, i, other_binary);
    processes_start(run->processes, i);
  }
  if (is_takeover)
    g_timeout_add((guint)seconds * 1000 / 2, take_over, run);
  g_timeout_add(SUBMIT_EVERY_MS, submit, run);
  if (!without_groups)
    g_timeout_add(MOVE_EVERY_MS, move, run);
  g_timeout_add(FAULT_EVERY_MS, inject_fault, run);
  g_timeout_add(RECORD_EVERY_MS, record_periodically, run);
}

static int
play(const char *program) {
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
  run.world->observe_task = record_task_event;
  run.world->observer_data = &run;
  run.stand_ins = stand_ins_new(run.world, (const char *const *)run.processes->fronts, &error);
  if (run.stand_ins == NULL)
    g_error("%s", error->message);
  run.until_us = run.world->now_us + (gint64)seconds * G_USEC_PER_SEC;
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
    { "seconds", 's', 0, G_OPTION_ARG_INT, &seconds, "How long faults and jobs come", "N" },
    { "seed", 'r', 0, G_OPTION_ARG_INT, &seed, "What is drawn", "N" },
    { "record", 'o', 0, G_OPTION_ARG_FILENAME, &record_path, "Write the history there", "FILE" },
    { "without-groups", 0, 0, G_OPTION_ARG_NONE, &without_groups,
      "Machines are not shared out, for comparison", NULL },
    { "other-binary", 0, 0, G_OPTION_ARG_FILENAME, &other_binary,
      "Node n-0 runs this build instead of PROGRAM", "FILE" },
    { "take-over", 0, 0, G_OPTION_ARG_NONE, &is_takeover,
      "All nodes run the other build for half of the time, then PROGRAM on the same store", NULL },
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
    fprintf(stderr, "loopback: --take-over wants --other-binary\n");
    return EXIT_USAGE;
  }
  return play(argv[1]);
}
